//! A scripted outlet that carries out the answers and checks the six rules at every one of them.
#![allow(dead_code)]

use bellsill_core::control::Dispatcher;
use bellsill_core::interface::*;
use std::collections::{BTreeMap, BTreeSet};

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;

/// How an endpoint treats what comes to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    Answers(Nanos),
    Hangs,
    Errs,
    Refuses(Nanos),
    /// The same untold, and not at once.
    RefusesLate,
    Down,
    TableFull,
    Resets,
    NoSlot,
    /// Does the work; every third answer is lost.
    LosesAnswers,
    /// Does the work, then breaks the connection.
    LosesLate,
}

pub struct Sent {
    pub at: Nanos,
    pub mail: MessageId,
    pub to: u32,
    pub time_out: Nanos,
}

struct Known {
    class: usize,
    key: Option<KeyId>,
    dest: u64,
    due: Nanos,
    connects: u32,
    out: Option<(u32, Nanos)>,
    ran: Option<(Nanos, usize)>,
    ended: bool,
    call: u64,
}

/// The last call made, and how it will end.
#[derive(Clone, Copy)]
struct Call {
    no: u64,
    at: Nanos,
    to: u32,
    mails: usize,
    fate: (Nanos, Outcome),
}

enum Due {
    Wake,
    End(MessageId, Outcome),
}

pub struct Outside {
    pub now: Nanos,
    pub settings: Settings,
    pub entries: Vec<EndpointEntry>,
    pub ways: Vec<Way>,
    pub sent: Vec<Sent>,
    pub deferred: Vec<(MessageId, Nanos)>,
    pub bounced: Vec<MessageId>,
    pub relayed: Vec<MessageId>,
    pub lines: Vec<String>,
    pub hung_up: Vec<u32>,
    pub forgotten: Vec<u32>,
    pub asked: Vec<Nanos>,
    /// What each answer tells of the limit.
    pub limit: f64,
    mails: BTreeMap<MessageId, Known>,
    order: BTreeMap<KeyId, Vec<MessageId>>,
    rests: BTreeMap<KeyId, (Nanos, MessageId)>,
    told: BTreeMap<u64, Nanos>,
    due: BTreeMap<(Nanos, u64), Due>,
    seq: u64,
    call: Option<Call>,
}

/// Four endpoints to each of three destinations; of the last the endpoints are routes apart.
pub fn facts() -> Settings {
    let class = |importance, repeat, ordered| ClassSettings {
        priority_weight: importance,
        latency_objective: 2 * S,
        lifetime: 12 * S,
        late_value_share: 0.4,
        semantics: repeat,
        ordered,
    };
    let tagged = |scope| DeliverySemantics::IdempotencyKey {
        window: 6 * S,
        scope,
    };
    Settings {
        dispatcher_index: Some(0),
        seed: 7,
        dispatchers: 1,
        classes: vec![
            class(1.0, DeliverySemantics::Idempotent, false),
            class(2.0, tagged(DeduplicationScope::Destination), false),
            class(2.0, tagged(DeduplicationScope::Zone), true),
            class(4.0, DeliverySemantics::AtMostOnce, true),
        ],
        per_endpoint_limits: vec![false, true],
        max_batch: vec![],
        value_decay: ValueDecay::Linear,
        max_in_flight: 8,
        queue_capacity: 60,
        caller_admission: false,
        max_attempts: 6,
        connect_timeout: S,
        max_retry_after: Some(2 * S),
        cold_capacity_share: 0.2,
        slow_start: 10 * S,
        overload_multiple: 2.0,
        overload_window: 2 * S,
        key_cooldown: 100 * MS,
        watch_request_limit: None,
        clock_resolution: 5 * MS,
    }
}

impl Outside {
    pub fn taken_at(&self, mail: MessageId) -> Nanos {
        self.mails[&mail].due - 12 * S
    }
    fn gate(&self, to: u32) -> u64 {
        let e = &self.entries[to as usize];
        if self.settings.per_endpoint_limits[e.kind.0] {
            100 + u64::from(to)
        } else {
            e.destination.0
        }
    }
    fn later(&mut self, at: Nanos, what: Due) {
        self.seq += 1;
        self.due.insert((at, self.seq), what);
    }
    /// What rule 2 says of one more connect, or of a deferral (which names no zone).
    fn may_repeat(&self, mail: &Known, zone: Option<usize>) -> bool {
        match (mail.ran, self.settings.classes[mail.class].semantics) {
            (None, _) | (_, DeliverySemantics::Idempotent) => true,
            (Some(_), DeliverySemantics::AtMostOnce) => false,
            (Some((at, first)), DeliverySemantics::IdempotencyKey { window, scope }) => {
                let any_zone = scope == DeduplicationScope::Destination;
                self.now < at + window && (any_zone || zone == Some(first))
            }
        }
    }
    fn end(&mut self, id: MessageId) {
        let mail = self
            .mails
            .get_mut(&id)
            .expect("a final answer for a mail that was taken");
        assert!(!mail.ended, "rule 1: a second final answer for {id:?}");
        assert!(self.now <= mail.due, "rule 1: {id:?} answered late");
        mail.ended = true;
        if let Some(line) = mail.key.and_then(|k| self.order.get_mut(&k)) {
            line.retain(|m| *m != id);
        }
    }
}

impl Actions for Outside {
    fn send_attempt(&mut self, id: MessageId, endpoint: EndpointId, time_out: Nanos) {
        let (now, to) = (self.now, endpoint.0);
        let entry = self.entries[to as usize];
        let mail = &self.mails[&id];
        assert!(
            !mail.ended && now < mail.due,
            "rule 1: {id:?} sent after its end"
        );
        assert!(mail.out.is_none(), "rule 2: two connects of {id:?} at once");
        assert!(
            self.may_repeat(mail, Some(entry.zone.0)),
            "rule 2: {id:?} may run twice"
        );
        assert!(
            entry.serving,
            "rule 3: {id:?} sent to an endpoint that drains or is gone"
        );
        assert_eq!(entry.destination.0, mail.dest, "a foreign destination");
        let told = self.told.get(&self.gate(to)).copied().unwrap_or(0);
        assert!(
            now >= told,
            "rule 5: {id:?} sent {} ns before the end of a told wait",
            told - now
        );
        if let Some(key) = mail.key {
            assert_eq!(
                self.order[&key].first(),
                Some(&id),
                "rule 6: {id:?} sent out of turn"
            );
            let other =
                |(m, k): (&MessageId, &Known)| k.key == Some(key) && *m != id && k.out.is_some();
            assert!(
                !self.mails.iter().any(other),
                "rule 6: an earlier connect has no outcome yet"
            );
            if let Some(&(until, by)) = self.rests.get(&key) {
                assert!(
                    now >= until || by == id,
                    "rule 6: {id:?} sent while its key rests"
                );
            }
        }
        // What goes to one endpoint at once is one call, with one slot and one fate, as far as its kind allows.
        let most = self
            .settings
            .max_batch
            .get(entry.kind.0)
            .copied()
            .unwrap_or(1);
        let calls: BTreeSet<u64> = self
            .mails
            .values()
            .filter(|m| m.out.is_some())
            .map(|m| m.call)
            .collect();
        let same = self
            .call
            .filter(|c| (c.at, c.to) == (now, to) && c.mails < most && calls.contains(&c.no));
        assert!(
            same.is_some() || calls.len() < self.settings.max_in_flight,
            "a connect without a slot"
        );
        let mail = self.mails.get_mut(&id).expect("checked above");
        mail.out = Some((to, now));
        mail.connects += 1;
        mail.call = same.map_or(self.seq + 1, |c| c.no);
        assert!(mail.connects <= self.settings.max_attempts && now + time_out <= mail.due);
        let (after, outcome) = match self.ways[to as usize] {
            Way::Answers(after) => (after, Outcome::Delivered),
            Way::Hangs => (time_out + 1, Outcome::TimedOut),
            Way::Errs => (30 * MS, Outcome::ServerError),
            Way::RefusesLate => (100 * MS, Outcome::RateLimited { retry_after: None }),
            Way::Refuses(told) => {
                let retry_after = Some(told).filter(|&wait| wait > 0);
                (20 * MS, Outcome::RateLimited { retry_after })
            }
            Way::Down => (self.settings.connect_timeout, Outcome::ConnectFailed),
            Way::TableFull => (20 * MS, Outcome::ConnectFailed),
            Way::Resets => (50 * MS, Outcome::ConnectionReset),
            Way::NoSlot => (1, Outcome::NotSent { no_capacity: true }),
            Way::LosesAnswers if id.0.is_multiple_of(3) => (time_out + 1, Outcome::TimedOut),
            Way::LosesAnswers => (100 * MS, Outcome::Delivered),
            Way::LosesLate => (100 * MS, Outcome::ConnectionReset),
        };
        let fate = same.map_or((after, outcome), |c| c.fate);
        let mails = same.map_or(0, |c| c.mails) + 1;
        self.call = Some(Call {
            no: mail.call,
            at: now,
            to,
            mails,
            fate,
        });
        // The answers of one call come apart on their way.
        let (after, outcome) = (fate.0 + (mails as u64 - 1) * 5 * MS, fate.1);
        let (after, outcome) = if after > time_out {
            (time_out, Outcome::TimedOut)
        } else {
            (after, outcome)
        };
        self.sent.push(Sent {
            at: now,
            mail: id,
            to,
            time_out,
        });
        self.later(now + after.max(1), Due::End(id, outcome));
    }
    fn reject(&mut self, id: MessageId, come_back: Nanos) {
        let mail = &self.mails[&id];
        assert!(
            mail.out.is_none() || mail.ended,
            "rule 2: {id:?} deferred with a connect out"
        );
        let zone = mail.ran.map(|_| usize::MAX);
        assert!(
            self.may_repeat(mail, zone),
            "rule 2: {id:?} deferred though it may have run"
        );
        assert!(come_back <= self.settings.max_retry_after.unwrap_or(0));
        self.end(id);
        self.deferred.push((id, come_back));
    }
    fn fail(&mut self, id: MessageId) {
        self.end(id);
        self.bounced.push(id);
    }
    fn cancel_attempt(&mut self, id: MessageId, no: AttemptNumber) {
        assert_eq!(
            no.0 + 1,
            self.mails[&id].connects,
            "called off a connect that is not out"
        );
        self.due
            .retain(|_, d| !matches!(d, Due::End(m, _) if *m == id));
        self.later(self.now + 1, Due::End(id, Outcome::Cancelled));
    }
    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        self.hung_up.push(endpoint.0);
    }
    fn endpoint_removed(&mut self, endpoint: EndpointId) {
        assert!(
            !self.entries[endpoint.0 as usize].serving,
            "forgotten while it serves"
        );
        let out = self
            .mails
            .values()
            .any(|m| m.out.is_some_and(|(to, _)| to == endpoint.0));
        assert!(!out, "forgotten with a connect out");
        self.forgotten.push(endpoint.0);
    }
    fn request_watch(&mut self) {
        self.asked.push(self.now);
    }
    fn schedule_wakeup(&mut self, after: Nanos) {
        assert!(after > 0);
        // As the bench does, a little early.
        self.later(self.now + after.max(100) - 99, Due::Wake);
    }
    fn log(&mut self, line: &str) {
        self.lines.push(line.to_string());
    }
}

pub struct World {
    pub d: Dispatcher,
    pub o: Outside,
    taken: u64,
}

impl World {
    pub fn new(facts: Settings) -> Self {
        Self::sized(facts, 12)
    }

    /// Of the third destination, whose endpoints are routes apart, only endpoint 8 serves.
    pub fn lone(facts: Settings) -> Self {
        let mut w = Self::new(facts);
        (9..12).for_each(|to| w.serve(to, false, EndpointUpdate::Delta));
        w
    }

    pub fn sized(facts: Settings, endpoints: u32) -> Self {
        let now = 1_000 * S;
        let entry = |i: u32| EndpointEntry {
            endpoint: EndpointId(i),
            destination: DestinationId(u64::from(i / 4)),
            zone: ZoneId((i % 2) as usize),
            kind: KindId(usize::from(i >= 8)),
            serving: true,
            rate: None,
            name_hash: i.wrapping_mul(0x9e37_79b9),
            retry_after_until: None,
        };
        let o = Outside {
            now,
            settings: facts.clone(),
            entries: (0..endpoints).map(entry).collect(),
            ways: vec![Way::Answers(100 * MS); endpoints as usize],
            sent: vec![],
            deferred: vec![],
            bounced: vec![],
            relayed: vec![],
            lines: vec![],
            hung_up: vec![],
            forgotten: vec![],
            asked: vec![],
            limit: 0.0,
            mails: BTreeMap::new(),
            order: BTreeMap::new(),
            rests: BTreeMap::new(),
            told: BTreeMap::new(),
            due: BTreeMap::new(),
            seq: 0,
            call: None,
        };
        let mut world = World {
            d: Dispatcher::new(now, facts),
            o,
            taken: 0,
        };
        world.list(EndpointUpdate::Snapshot);
        world
    }

    pub fn list(&mut self, scope: EndpointUpdate) {
        let entries: Vec<EndpointEntry> = self
            .o
            .entries
            .iter()
            .filter(|e| scope == EndpointUpdate::Delta || e.serving)
            .copied()
            .collect();
        self.d
            .update_endpoints(self.o.now, scope, &entries, &mut self.o);
    }

    /// An endpoint starts or stops to serve, and the news of it comes.
    pub fn serve(&mut self, to: u32, serving: bool, scope: EndpointUpdate) {
        self.o.entries[to as usize].serving = serving;
        self.list(scope);
    }

    pub fn mail(
        &mut self,
        class: usize,
        dest: u64,
        key: Option<u64>,
        lifetime: Nanos,
    ) -> MessageId {
        let key = key
            .filter(|_| self.o.settings.classes[class].ordered)
            .map(KeyId);
        let due = self.o.now + lifetime;
        self.taken += 1;
        let known = Known {
            class,
            key,
            dest,
            due,
            connects: 0,
            out: None,
            ran: None,
            ended: false,
            call: 0,
        };
        self.hand(MessageId(self.taken), known)
    }

    pub fn mail_with_past(&mut self, class: usize, dest: u64, past: MessageHistory) -> MessageId {
        let (due, ran) = (
            self.o.now + 12 * S,
            past.possible_run.map(|run| (run.sent_at, run.zone.0)),
        );
        self.taken += 1;
        let known = Known {
            class,
            key: None,
            dest,
            due,
            connects: past.attempts,
            out: None,
            ran,
            ended: false,
            call: 0,
        };
        self.hand(MessageId(self.taken), known)
    }

    /// Hands a mail to the decisions, with the past that is known of it.
    fn hand(&mut self, id: MessageId, mail: Known) -> MessageId {
        let new = self.note(id, mail);
        self.d.accept(self.o.now, [new], &mut self.o);
        id
    }

    /// So many mails of one sort that come at once.
    pub fn mails(&mut self, count: u64, class: usize, dest: u64) {
        let (due, first) = (self.o.now + 12 * S, self.taken + 1);
        let known = || Known {
            class,
            key: None,
            dest,
            due,
            connects: 0,
            out: None,
            ran: None,
            ended: false,
            call: 0,
        };
        let all: Vec<NewMessage> = (first..first + count)
            .map(|id| self.note(MessageId(id), known()))
            .collect();
        self.taken += count;
        self.d.accept(self.o.now, all, &mut self.o);
    }

    fn note(&mut self, id: MessageId, mail: Known) -> NewMessage {
        if let Some(key) = mail.key {
            self.o.order.entry(key).or_default().push(id);
        }
        let (class, destination) = (ClassId(mail.class), DestinationId(mail.dest));
        let past = MessageHistory {
            attempts: mail.connects,
            possible_run: mail.ran.map(|(sent_at, zone)| PossibleRun {
                sent_at,
                zone: ZoneId(zone),
            }),
        };
        let new = NewMessage {
            id,
            class,
            key: mail.key,
            destination,
            deadline: mail.due,
            history: past,
        };
        self.o.mails.insert(id, mail);
        new
    }

    /// Killed and started again, with nothing but its list.
    pub fn restart(&mut self) {
        self.o.due.clear();
        self.o.mails.clear();
        self.o.order.clear();
        self.o.rests.clear();
        self.o.told.clear();
        self.d = Dispatcher::new(self.o.now, self.o.settings.clone());
        self.list(EndpointUpdate::Snapshot);
    }

    /// Killed and started again with its journal: each mail that is owed its end comes back, in the order in which they
    /// were taken; a connect that was out may have run.
    pub fn resume(&mut self) {
        let mails = std::mem::take(&mut self.o.mails);
        self.restart();
        for (id, mut mail) in mails.into_iter().filter(|(_, mail)| !mail.ended) {
            if let Some((to, at)) = mail.out.take() {
                mail.ran
                    .get_or_insert((at, self.o.entries[to as usize].zone.0));
            }
            self.hand(id, mail);
        }
    }

    pub fn withdraw(&mut self, id: MessageId) {
        if self.o.mails.get(&id).is_some_and(|m| !m.ended) {
            self.o.end(id);
        }
        self.d.message_withdrawn(self.o.now, id, &mut self.o);
    }

    /// Lets time pass; all that falls due on the way happens, and rule 1 is checked after each of it.
    pub fn pass(&mut self, span: Nanos) {
        let until = self.o.now + span;
        while let Some((&(at, seq), _)) =
            self.o.due.iter().next().filter(|((at, _), _)| *at <= until)
        {
            let what = self.o.due.remove(&(at, seq)).expect("just seen");
            self.o.now = at;
            match what {
                Due::Wake => self.d.wakeup(at, &mut self.o),
                Due::End(id, outcome) => self.ended(id, outcome),
            }
            self.check_due();
        }
        self.o.now = until;
        self.check_due();
    }

    fn check_due(&self) {
        let lost = self
            .o
            .mails
            .iter()
            .find(|(_, m)| !m.ended && m.due < self.o.now);
        assert!(
            lost.is_none(),
            "rule 1: {:?} has no final answer",
            lost.map(|l| l.0)
        );
    }

    fn ended(&mut self, id: MessageId, outcome: Outcome) {
        let now = self.o.now;
        let mail = self
            .o
            .mails
            .get_mut(&id)
            .expect("an end for a mail that was taken");
        let (to, at) = mail.out.take().expect("an end for a connect that is out");
        let zone = self.o.entries[to as usize].zone.0;
        if outcome.may_have_run() {
            mail.ran.get_or_insert((at, zone));
        }
        let (key, over, no) = (mail.key, mail.ended, AttemptNumber(mail.connects - 1));
        if let (Outcome::TimedOut | Outcome::Cancelled | Outcome::ConnectionReset, Some(key)) =
            (outcome, key)
        {
            self.o
                .rests
                .insert(key, (now + self.o.settings.key_cooldown, id));
        }
        if let Outcome::RateLimited { retry_after } = outcome {
            let wait = retry_after.unwrap_or(0);
            let gate = self.o.gate(to);
            let until = self.o.told.entry(gate).or_default();
            *until = (*until).max(now + wait);
        }
        if outcome == Outcome::Delivered && !over {
            self.o.end(id);
            self.o.relayed.push(id);
        }
        let over = over || outcome == Outcome::Delivered;
        let end = AttemptEnd {
            message: id,
            number: no,
            outcome,
            message_ended: over,
            elapsed: now - at,
            reported_limit: Some(self.o.limit).filter(|&limit| limit > 0.0),
        };
        self.d.attempt_ended(now, end, &mut self.o);
    }
}
