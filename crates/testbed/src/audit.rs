//! The auditor: the six rules, judged from outside on what really passed ([`Seen`]). It knows nothing of what a
//! dispatcher meant; each break names mail, time, rule and evidence.
//!
//! Two things that happen in one order may be seen in the other, since they come over different sockets. Where that can be,
//! the verdict waits for [`Slack::order`]; in virtual time the order is exact and the slack nought.

use crate::record::*;
use crate::world::Answer;
use bellsill_core::interface::*;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

const MS: Nanos = 1_000_000;
/// After its time is up a mail is looked at no more after this span.
const KEPT: Nanos = 30_000 * MS;
/// Breaks are counted for ever and kept in words up to so many.
const WORDS: usize = 200;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// 1: no end within its queue lifetime.
    Lost,
    /// 1: two ends that contradict.
    EndedTwice,
    /// 1: something went out after the end, or after the queue lifetime.
    AfterEnd,
    /// 2: two connects of one mail at once.
    TwoAtOnce,
    /// 2: a further connect that its class forbids.
    Repeated,
    /// 2: took effect twice.
    EffectTwice,
    /// 3: something new to an endpoint that drains or is gone, after the grace.
    Drained,
    /// 4: a cold endpoint was pushed over by those who had seen its outage.
    Tipped,
    /// 5: something was sent while a told wait ran.
    ToldWait,
    /// 6: out of order, two of a key at once, or within the key's rest.
    Order,
    /// What had been given up was not answered at once.
    HeldBack,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Break {
    pub at: Nanos,
    pub rule: Rule,
    pub mail: Option<u64>,
    pub evidence: String,
}

impl std::fmt::Display for Break {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let mail = self
            .mail
            .map_or(String::new(), |m| format!(" mail {m:016x}:"));
        write!(
            f,
            "at {:.3} s, {:?}:{mail} {}",
            self.at as f64 / 1e9,
            self.rule,
            self.evidence
        )
    }
}

/// What the real world is allowed for, over the rules' own figures.
#[derive(Clone, Copy, Debug)]
pub struct Slack {
    /// On top of the queue lifetime, until an end must be known.
    pub end: Nanos,
    /// On top of the drain's grace and of the lifetime of what is sent.
    pub time: Nanos,
    /// After a wait was written, until it must be known.
    pub told: Nanos,
    /// Within this, two events may be seen the wrong way round.
    pub order: Nanos,
    /// Until what has been given up must be answered.
    pub given_up: Nanos,
    /// After a dispatcher is ready again, until ends that were due meanwhile must be known.
    pub ready: Nanos,
}

impl Slack {
    pub const SOCKETS: Slack = Slack {
        end: 300 * MS,
        time: 50 * MS,
        told: 100 * MS,
        order: 60 * MS,
        given_up: 1_500 * MS,
        ready: 1_500 * MS,
    };
    pub const VIRTUAL: Slack = Slack {
        end: MS,
        time: MS,
        told: 0,
        order: 0,
        given_up: 1_500 * MS,
        ready: 1_500 * MS,
    };
}

/// What the auditor must know of the world; all else it sees.
#[derive(Clone, Debug)]
pub struct Facts {
    pub classes: Vec<ClassSettings>,
    /// The zone of each endpoint, and what its waits bind: equal for endpoints that share them.
    pub endpoints: Vec<(usize, usize)>,
    pub drain_grace: Nanos,
    pub key_rest: Nanos,
    pub max_connects: u32,
    pub slack: Slack,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Relayed,
    Deferred,
    Bounced,
}

struct Mail {
    hand_in: HandIn,
    taken: Option<Nanos>,
    unheard: bool,
    out: Option<CallNo>,
    connects: u32,
    /// The calls that may have run, and when and where the first was sent.
    ran: Vec<(CallNo, Nanos, usize)>,
    end: Option<(End, Nanos)>,
    /// Since then it can go nowhere any more.
    spent: Option<Nanos>,
}

struct Call {
    mail: MessageId,
    endpoint: EndpointId,
    dispatcher: usize,
}

/// Something that looks like a break, until the order in which it was seen is sure.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Doubt {
    /// The earlier call must turn out to have been closed by then.
    StillOut {
        by: MessageId,
        earlier: CallNo,
        rule: Rule,
    },
    /// The earlier mail must turn out to have ended by then.
    NotEnded { by: MessageId, earlier: MessageId },
    /// The answer must turn out to have crossed the end of its connection.
    AfterRelayed { by: MessageId, answered: CallNo },
}

#[derive(Default)]
struct KeyLine {
    /// As they were taken, with when.
    mails: VecDeque<(MessageId, Nanos)>,
    out: BTreeSet<(CallNo, MessageId)>,
    /// After a loose end: until then only that mail may go.
    rest: Option<(Nanos, MessageId)>,
}

#[derive(Clone, Copy, Default)]
struct Host {
    ready_since: Option<Nanos>,
    ended_at: Nanos,
}

#[derive(Default)]
struct Effects {
    /// Which mail took effect where and when, as something new.
    of: Vec<(MessageId, EndpointId, Nanos)>,
}

/// What the auditor found in all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    pub mails: u64,
    pub calls: u64,
    pub applied: u64,
    /// Effects of calls whose answer never reached the dispatcher: once applied, not twice sent.
    pub applied_unheard: u64,
    pub breaks: BTreeMap<Rule, u64>,
    pub words: Vec<Break>,
}

impl Verdict {
    pub fn kept(&self) -> bool {
        self.breaks.is_empty()
    }
}

pub struct Auditor {
    facts: Facts,
    mails: HashMap<MessageId, Mail>,
    calls: HashMap<CallNo, Call>,
    /// Calls that ended, for what is learnt of them later: how, and when.
    closed: HashMap<CallNo, (Option<Answer>, Option<Nanos>)>,
    effects: HashMap<u64, Effects>,
    keys: HashMap<(usize, u64), KeyLine>,
    drains: HashMap<(usize, EndpointId), Nanos>,
    waits: HashMap<(usize, usize), Vec<(Nanos, Nanos)>>,
    hosts: BTreeMap<usize, Host>,
    /// When a mail is looked at, or forgotten.
    looks: BinaryHeap<Reverse<(Nanos, MessageId)>>,
    doubts: BinaryHeap<Reverse<(Nanos, Doubt)>>,
    forget: VecDeque<(Nanos, CallNo)>,
    verdict: Verdict,
}

impl Auditor {
    pub fn new(facts: Facts) -> Auditor {
        Auditor {
            facts,
            mails: HashMap::new(),
            calls: HashMap::new(),
            closed: HashMap::new(),
            effects: HashMap::new(),
            keys: HashMap::new(),
            drains: HashMap::new(),
            waits: HashMap::new(),
            hosts: BTreeMap::new(),
            looks: BinaryHeap::new(),
            doubts: BinaryHeap::new(),
            forget: VecDeque::new(),
            verdict: Verdict::default(),
        }
    }

    /// An endpoint that was not there at the start; they are numbered on.
    pub fn endpoint_appeared(&mut self, zone: usize, gate: usize) {
        self.facts.endpoints.push((zone, gate));
    }

    fn broken(&mut self, at: Nanos, rule: Rule, mail: Option<MessageId>, evidence: String) {
        *self.verdict.breaks.entry(rule).or_default() += 1;
        if self.verdict.words.len() < WORDS {
            self.verdict.words.push(Break {
                at,
                rule,
                mail: mail.map(|m| m.0),
                evidence,
            });
        }
    }

    fn doubt(&mut self, at: Nanos, doubt: Doubt) {
        self.doubts
            .push(Reverse((at + self.facts.slack.order, doubt)));
    }

    /// Something was seen. Times never go back.
    pub fn see(&mut self, at: Nanos, seen: &Seen) {
        self.pass(at);
        match seen {
            Seen::HandedIn(hand_in) => self.handed_in(*hand_in),
            Seen::Taken { mail } => self.taken(at, *mail),
            Seen::TurnedAway { mail, .. } => drop(self.mails.remove(mail)),
            Seen::Unheard { mail } => {
                if let Some(m) = self.mails.get_mut(mail) {
                    m.unheard = true;
                }
            }
            Seen::Call {
                call,
                mail,
                endpoint,
                dispatcher,
                begun,
                ..
            } => self.called(at, *call, *mail, *endpoint, *dispatcher, *begun),
            Seen::Answered { call, answer } => self.answered(at, *call, *answer),
            Seen::Broken { call, .. } => self.call_broken(at, *call),
            Seen::Applied { call, fresh } => self.applied(at, *call, *fresh),
            Seen::Notice { mail, deferred } => self.noticed(at, *mail, deferred.is_some()),
            Seen::Listed {
                dispatcher,
                endpoint,
                serving: true,
            } => {
                self.drains.remove(&(*dispatcher, *endpoint));
            }
            Seen::Listed {
                dispatcher,
                endpoint,
                ..
            } => {
                self.drains.entry((*dispatcher, *endpoint)).or_insert(at);
            }
            Seen::Started { dispatcher } => drop(self.hosts.entry(*dispatcher).or_default()),
            Seen::Ended { dispatcher } => {
                *self.hosts.entry(*dispatcher).or_default() = Host {
                    ready_since: None,
                    ended_at: at,
                };
                self.waits.retain(|(d, _), _| d != dispatcher);
            }
            Seen::Ready { dispatcher } => {
                self.hosts.entry(*dispatcher).or_default().ready_since = Some(at);
            }
            Seen::Tipped {
                endpoint,
                knowing,
                all,
            } => {
                if knowing * 3 >= all * 2 {
                    let evidence = format!(
                        "endpoint {} fell over on its return: {knowing} of the last {all} calls came from dispatchers \
                         that had seen its outage",
                        endpoint.0
                    );
                    self.broken(at, Rule::Tipped, None, evidence);
                }
            }
        }
    }

    /// All that is due by now is judged.
    fn pass(&mut self, now: Nanos) {
        while let Some(Reverse((at, _))) = self.doubts.peek()
            && *at < now
        {
            let Some(Reverse((at, doubt))) = self.doubts.pop() else {
                break;
            };
            self.resolve(at, doubt);
        }
        while let Some(&Reverse((at, mail))) = self.looks.peek()
            && at < now
        {
            self.looks.pop();
            self.look(at, mail);
        }
        while self.forget.front().is_some_and(|f| f.0 < now) {
            let Some((_, call)) = self.forget.pop_front() else {
                break;
            };
            self.calls.remove(&call);
            self.closed.remove(&call);
        }
    }

    /// Mails that are owed their end.
    pub fn open(&self) -> usize {
        self.mails
            .values()
            .filter(|m| m.taken.is_some() && m.end.is_none() && !m.unheard)
            .count()
    }

    /// The run is over: all has had its time.
    pub fn finish(mut self, now: Nanos) -> Verdict {
        self.pass(now + self.facts.slack.order + 1);
        let open: Vec<MessageId> = self.mails.keys().copied().collect();
        let mut open: Vec<MessageId> = open.into_iter().filter(|m| self.owed(*m, now)).collect();
        open.sort_unstable();
        for mail in open {
            self.broken(
                now,
                Rule::Lost,
                Some(mail),
                "no end by the end of the run".into(),
            );
        }
        self.verdict
    }

    fn owed(&self, mail: MessageId, now: Nanos) -> bool {
        self.mails.get(&mail).is_some_and(|m| {
            m.taken.is_some()
                && m.end.is_none()
                && !m.unheard
                && m.hand_in.due + self.facts.slack.end < now
        })
    }

    fn handed_in(&mut self, hand_in: HandIn) {
        self.verdict.mails += 1;
        self.looks
            .push(Reverse((hand_in.due + self.facts.slack.end, hand_in.mail)));
        let mail = Mail {
            hand_in,
            taken: None,
            unheard: false,
            out: None,
            connects: 0,
            ran: vec![],
            end: None,
            spent: None,
        };
        self.mails.insert(hand_in.mail, mail);
    }

    fn taken(&mut self, at: Nanos, id: MessageId) {
        let Some(mail) = self.mails.get_mut(&id) else {
            return;
        };
        mail.taken = Some(at);
        if let Some(key) = mail.hand_in.key {
            let line = self.keys.entry((mail.hand_in.dispatcher, key)).or_default();
            line.mails.push_back((id, at));
        }
    }

    fn look(&mut self, at: Nanos, id: MessageId) {
        let Some(mail) = self.mails.get(&id) else {
            return;
        };
        if at >= mail.hand_in.due + KEPT {
            if self.owed(id, at) {
                self.broken(
                    at,
                    Rule::Lost,
                    Some(id),
                    "its dispatcher did not come back, and nobody ended it".into(),
                );
            }
            let Some(mail) = self.mails.get(&id) else {
                return;
            };
            let (arrival, key) = (
                mail.hand_in.arrival,
                mail.hand_in.key.map(|k| (mail.hand_in.dispatcher, k)),
            );
            self.mails.remove(&id);
            self.effects.remove(&arrival);
            if let Some(key) = key
                && let Some(line) = self.keys.get_mut(&key)
            {
                line.mails.retain(|m| m.0 != id);
                if line.mails.is_empty() && line.out.is_empty() {
                    self.keys.remove(&key);
                }
            }
            return;
        }
        if self.owed(id, at + 1) {
            let host = self
                .hosts
                .get(&mail.hand_in.dispatcher)
                .copied()
                .unwrap_or_default();
            match host.ready_since {
                // Nothing is overdue while a dispatcher is away, and a little longer.
                None => return self.looks.push(Reverse((at + 500 * MS, id))),
                Some(since) if host.ended_at > 0 && at < since + self.facts.slack.ready => {
                    return self
                        .looks
                        .push(Reverse((since + self.facts.slack.ready, id)));
                }
                Some(_) => {}
            }
            let (due, connects, d) = (mail.hand_in.due, mail.connects, mail.hand_in.dispatcher);
            let evidence = format!(
                "taken by dispatcher {d}, due at {:.3} s, {connects} calls, no end",
                due as f64 / 1e9
            );
            self.broken(at, Rule::Lost, Some(id), evidence);
            // Said once.
            if let Some(mail) = self.mails.get_mut(&id) {
                mail.unheard = true;
            }
        }
        let due = self.mails.get(&id).map_or(0, |m| m.hand_in.due);
        self.looks.push(Reverse((due + KEPT, id)));
    }

    fn called(
        &mut self,
        at: Nanos,
        call: CallNo,
        id: MessageId,
        endpoint: EndpointId,
        dispatcher: usize,
        begun: Nanos,
    ) {
        self.verdict.calls += 1;
        self.calls.insert(
            call,
            Call {
                mail: id,
                endpoint,
                dispatcher,
            },
        );
        let slack = self.facts.slack;
        let e = endpoint.0;
        if let Some(since) = self.drains.get(&(dispatcher, endpoint)).copied()
            && begun > since + self.facts.drain_grace + slack.time
        {
            let late = (begun - since) as f64 / 1e9;
            let evidence = format!(
                "sent to endpoint {e} {late:.3} s after dispatcher {dispatcher} was told it drains"
            );
            self.broken(at, Rule::Drained, Some(id), evidence);
        }
        let (zone, gate) = self
            .facts
            .endpoints
            .get(e as usize)
            .copied()
            .unwrap_or((usize::MAX, usize::MAX));
        if let Some(waits) = self.waits.get_mut(&(dispatcher, gate)) {
            waits.retain(|w| w.1 > at);
            let wait = waits
                .iter()
                .find(|w| begun > w.0 + slack.told && begun + MS < w.1)
                .copied();
            if let Some((told, until)) = wait {
                let (into, left) = ((begun - told) as f64 / 1e9, (until - begun) as f64 / 1e9);
                let evidence = format!(
                    "sent to endpoint {e} {into:.3} s into a told wait, {left:.3} s before its end"
                );
                self.broken(at, Rule::ToldWait, Some(id), evidence);
            }
        }
        let Some(mail) = self.mails.get_mut(&id) else {
            self.broken(
                at,
                Rule::AfterEnd,
                Some(id),
                format!("sent to endpoint {e}, but nobody handed it in"),
            );
            return;
        };
        let (class, due) = (
            self.facts.classes[mail.hand_in.class].clone(),
            mail.hand_in.due,
        );
        let (earlier, end, key, unheard) = (
            mail.out.replace(call),
            mail.end,
            mail.hand_in.key,
            mail.unheard,
        );
        mail.connects += 1;
        mail.spent = None;
        let ran = mail.ran.first().copied();
        let last_ran = mail.ran.last().copied();
        mail.ran.push((call, begun, zone));
        let home = mail.hand_in.dispatcher;
        if unheard {
            return;
        }
        if begun > due + slack.time {
            let late = (begun - due) as f64 / 1e9;
            self.broken(
                at,
                Rule::AfterEnd,
                Some(id),
                format!("sent {late:.3} s after its queue lifetime"),
            );
        }
        match end {
            Some((End::Relayed, since)) if begun > since + slack.order => {
                let restarted = self.hosts.get(&home).is_some_and(|h| h.ended_at > since);
                if let (false, Some((answered, _, _))) = (restarted, last_ran) {
                    self.doubt(at, Doubt::AfterRelayed { by: id, answered });
                }
            }
            Some((how @ (End::Deferred | End::Bounced), since)) if begun > since + slack.time => {
                let late = (begun - since) as f64 / 1e9;
                self.broken(
                    at,
                    Rule::AfterEnd,
                    Some(id),
                    format!("sent {late:.3} s after it had been {how:?}"),
                );
            }
            _ => {}
        }
        if let Some(earlier) = earlier {
            self.doubt(
                at,
                Doubt::StillOut {
                    by: id,
                    earlier,
                    rule: Rule::TwoAtOnce,
                },
            );
        }
        if let Some((_, first, first_zone)) = ran {
            let why = match class.semantics {
                DeliverySemantics::Idempotent => None,
                DeliverySemantics::AtMostOnce => {
                    Some("it is once-only and an earlier connect may have run".to_string())
                }
                DeliverySemantics::IdempotencyKey { window, .. }
                    if begun >= first + window + slack.time =>
                {
                    Some(format!(
                        "its first connect was sent {:.3} s before",
                        (begun - first) as f64 / 1e9
                    ))
                }
                DeliverySemantics::IdempotencyKey {
                    scope: DeduplicationScope::Zone,
                    ..
                } if zone != first_zone => Some(format!(
                    "its first connect went to zone {first_zone}, this one to {zone}"
                )),
                DeliverySemantics::IdempotencyKey { .. } => None,
            };
            if let Some(why) = why {
                let out = self
                    .closed
                    .get(&ran.map_or(call, |r| r.0))
                    .map_or("is out".into(), |c| format!("{c:?}"));
                let evidence = format!("sent again, to endpoint {e}: {why}; that connect {out}");
                self.broken(at, Rule::Repeated, Some(id), evidence);
            }
        }
        if let Some(key) = key {
            self.in_order(at, call, id, (dispatcher, key), begun);
        }
    }

    fn in_order(
        &mut self,
        at: Nanos,
        call: CallNo,
        id: MessageId,
        key: (usize, u64),
        begun: Nanos,
    ) {
        let slack = self.facts.slack;
        let Some(line) = self.keys.get_mut(&key) else {
            return;
        };
        let (mut doubts, mut evidence) = (vec![], None);
        for (earlier, out) in line.out.iter().map(|(c, m)| (*m, *c)) {
            if earlier != id {
                doubts.push(Doubt::StillOut {
                    by: id,
                    earlier: out,
                    rule: Rule::Order,
                });
            }
        }
        // Its call may be seen before the answer to its client.
        let own = line.mails.iter().find(|m| m.0 == id).map_or(at, |m| m.1);
        for (earlier, taken) in line.mails.iter().take_while(|m| m.0 != id) {
            // Taken at nearly the same time on two connections, either may have been first.
            if taken + slack.order <= own {
                doubts.push(Doubt::NotEnded {
                    by: id,
                    earlier: *earlier,
                });
            }
        }
        if let Some((until, by)) = line.rest
            && by != id
            && begun + slack.order / 3 < until
        {
            evidence = Some(format!(
                "sent {:.3} s before its key's rest was over",
                (until - begun) as f64 / 1e9
            ));
        }
        line.out.insert((call, id));
        doubts.into_iter().for_each(|doubt| self.doubt(at, doubt));
        if let Some(evidence) = evidence {
            self.broken(at, Rule::Order, Some(id), evidence);
        }
    }

    fn resolve(&mut self, at: Nanos, doubt: Doubt) {
        let unheard = |a: &Auditor, m: &MessageId| a.mails.get(m).is_none_or(|m| m.unheard);
        match doubt {
            Doubt::StillOut { by, earlier, rule } => {
                if !self.closed.contains_key(&earlier) && !unheard(self, &by) {
                    let call = self.calls.get(&earlier);
                    let (mail, e) = call.map_or((0, 0), |c| (c.mail.0, c.endpoint.0));
                    let evidence = format!(
                        "sent while a connect of mail {mail:016x} to endpoint {e} was still out"
                    );
                    self.broken(at, rule, Some(by), evidence);
                }
            }
            Doubt::NotEnded { by, earlier } => {
                let open = self
                    .mails
                    .get(&earlier)
                    .is_some_and(|m| m.end.is_none() && !m.unheard);
                if open && !unheard(self, &by) {
                    let evidence = format!(
                        "sent before mail {:016x} of its key, taken earlier, had ended",
                        earlier.0
                    );
                    self.broken(at, Rule::Order, Some(by), evidence);
                }
            }
            Doubt::AfterRelayed { by, answered } => {
                let crossed = self.closed.get(&answered).is_some_and(|c| c.1.is_some());
                if !crossed && !unheard(self, &by) {
                    self.broken(
                        at,
                        Rule::AfterEnd,
                        Some(by),
                        "sent again after it had been relayed".into(),
                    );
                }
            }
        }
    }

    /// A call has ended: its mail is no more out. Says whose it was.
    fn call_over(&mut self, at: Nanos, call: CallNo) -> Option<(MessageId, usize)> {
        let known = self.calls.get(&call)?;
        let (id, dispatcher) = (known.mail, known.dispatcher);
        self.forget.push_back((at + KEPT, call));
        let mail = self.mails.get_mut(&id)?;
        if mail.out == Some(call) {
            mail.out = None;
        }
        if let Some(key) = mail.hand_in.key
            && let Some(line) = self.keys.get_mut(&(dispatcher, key))
        {
            line.out.remove(&(call, id));
        }
        Some((id, dispatcher))
    }

    fn answered(&mut self, at: Nanos, call: CallNo, answer: Answer) {
        self.closed.entry(call).or_default().0 = Some(answer);
        let Some((id, dispatcher)) = self.call_over(at, call) else {
            return;
        };
        if let (Answer::Full(Some(wait)), Some(known)) = (answer, self.calls.get(&call)) {
            let gate = self
                .facts
                .endpoints
                .get(known.endpoint.0 as usize)
                .map_or(usize::MAX, |e| e.1);
            self.waits
                .entry((dispatcher, gate))
                .or_default()
                .push((at, at + wait));
        }
        let Some(mail) = self.mails.get_mut(&id) else {
            return;
        };
        match answer {
            Answer::Full(_) => mail.ran.retain(|r| r.0 != call),
            Answer::Relayed if mail.end.is_none() => {
                mail.end = Some((End::Relayed, at));
                self.leave_line(id);
            }
            _ => {}
        }
        self.weigh(at, id);
    }

    fn call_broken(&mut self, at: Nanos, call: CallNo) {
        let closed = self.closed.entry(call).or_default();
        if closed.1.replace(at).is_some() || closed.0.is_some() {
            return;
        }
        let Some((id, dispatcher)) = self.call_over(at, call) else {
            return;
        };
        let rest = self.facts.key_rest;
        if let Some(key) = self.mails.get(&id).and_then(|m| m.hand_in.key)
            && let Some(line) = self.keys.get_mut(&(dispatcher, key))
        {
            line.rest = Some((at + rest, id));
        }
        self.weigh(at, id);
    }

    /// Notes since when a mail can go nowhere any more.
    fn weigh(&mut self, at: Nanos, id: MessageId) {
        let most = self.facts.max_connects;
        let Some(mail) = self
            .mails
            .get_mut(&id)
            .filter(|m| m.end.is_none() && m.out.is_none())
        else {
            return;
        };
        let forbidden = match self.facts.classes[mail.hand_in.class].semantics {
            DeliverySemantics::AtMostOnce => !mail.ran.is_empty(),
            _ => false,
        };
        if forbidden || mail.connects >= most {
            mail.spent.get_or_insert(at);
        }
    }

    fn applied(&mut self, at: Nanos, call: CallNo, fresh: bool) {
        self.verdict.applied += 1;
        let Some(known) = self.calls.get(&call) else {
            return;
        };
        let (id, endpoint) = (known.mail, known.endpoint);
        if self.closed.contains_key(&call) {
            self.verdict.applied_unheard += 1;
        }
        let Some(mail) = self.mails.get(&id) else {
            return;
        };
        let (arrival, repeat) = (
            mail.hand_in.arrival,
            self.facts.classes[mail.hand_in.class].semantics,
        );
        if repeat == DeliverySemantics::Idempotent || !fresh {
            return;
        }
        self.effects
            .entry(arrival)
            .or_default()
            .of
            .push((id, endpoint, at));
        let effects = &self.effects[&arrival].of;
        // What went out under an id whose client heard nothing counts for nothing.
        let heard = |m: &MessageId| self.mails.get(m).is_none_or(|m| !m.unheard);
        let count: Vec<&(MessageId, EndpointId, Nanos)> =
            effects.iter().filter(|e| heard(&e.0)).collect();
        if count.len() > 1 && heard(&id) {
            let place = |e: &EndpointId| {
                self.facts
                    .endpoints
                    .get(e.0 as usize)
                    .map_or(usize::MAX, |x| x.0)
            };
            let words: Vec<String> = count
                .iter()
                .map(|(m, e, at)| {
                    let at = *at as f64 / 1e9;
                    format!(
                        "as {:016x} at endpoint {} in zone {} at {at:.3} s",
                        m.0,
                        e.0,
                        place(e)
                    )
                })
                .collect();
            self.broken(
                at,
                Rule::EffectTwice,
                Some(id),
                format!("took effect {}", words.join(", and ")),
            );
        }
    }

    fn noticed(&mut self, at: Nanos, id: MessageId, deferred: bool) {
        let now = if deferred {
            End::Deferred
        } else {
            End::Bounced
        };
        let slack = self.facts.slack.given_up;
        let Some(mail) = self.mails.get_mut(&id) else {
            return;
        };
        let unheard = mail.unheard;
        match mail.end {
            Some((End::Relayed, _)) => {}
            Some((before, _)) if before != now && !unheard => {
                self.broken(
                    at,
                    Rule::EndedTwice,
                    Some(id),
                    format!("{before:?}, and then {now:?}"),
                );
            }
            Some(_) => {}
            None => {
                mail.end = Some((now, at));
                let (spent, dispatcher, due) =
                    (mail.spent, mail.hand_in.dispatcher, mail.hand_in.due);
                self.leave_line(id);
                let host = self.hosts.get(&dispatcher).copied().unwrap_or_default();
                // Time in which the dispatcher was away is not its holding back.
                let from = spent.map(|s| {
                    if host.ended_at >= s {
                        host.ready_since.unwrap_or(at)
                    } else {
                        s
                    }
                });
                if let Some(from) = from.filter(|from| at > from + slack && !unheard) {
                    let (held, left) =
                        ((at - from) as f64 / 1e9, due as f64 / 1e9 - at as f64 / 1e9);
                    let evidence = format!(
                        "could go nowhere any more for {held:.3} s before it was {now:?}, {left:.3} s before its due"
                    );
                    self.broken(at, Rule::HeldBack, Some(id), evidence);
                }
            }
        }
    }

    fn leave_line(&mut self, id: MessageId) {
        let Some(mail) = self.mails.get(&id) else {
            return;
        };
        if let Some(key) = mail.hand_in.key
            && let Some(line) = self.keys.get_mut(&(mail.hand_in.dispatcher, key))
        {
            line.mails.retain(|m| m.0 != id);
        }
    }
}
