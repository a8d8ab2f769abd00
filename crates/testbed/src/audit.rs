//! The auditor: the six rules, judged from outside on what really passed ([`Observation`]). It knows nothing of what a
//! dispatcher meant; each break names message, time, rule and evidence.
//!
//! Two things that happen in one order may be seen in the other, since they come over different sockets. Where that can be,
//! the verdict waits for [`Slack::order`]; in virtual time the order is exact and the slack zero.

use crate::record::*;
use crate::world::Answer;
use bellsill_core::interface::*;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

const MS: Nanos = 1_000_000;
/// After its time is up a message is looked at no more after this span.
const RETENTION: Nanos = 30_000 * MS;
/// Breaks are counted for ever and kept in words up to so many.
const MAX_SAMPLES: usize = 200;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// 1: no end within its queue lifetime.
    Lost,
    /// 1: two ends that contradict.
    EndedTwice,
    /// 1: something went out after the end, or after the queue lifetime.
    AfterEnd,
    /// 2: two connects of one message at once.
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
pub struct Violation {
    pub at: Nanos,
    pub rule: Rule,
    #[serde(rename = "mail")]
    pub message: Option<u64>,
    pub evidence: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let message = self
            .message
            .map_or(String::new(), |m| format!(" mail {m:016x}:"));
        write!(
            f,
            "at {:.3} s, {:?}:{message} {}",
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
pub struct AuditSettings {
    pub classes: Vec<ClassSettings>,
    /// The zone of each endpoint, and what its waits bind: equal for endpoints that share them.
    pub endpoints: Vec<(usize, usize)>,
    pub drain_grace: Nanos,
    pub key_rest: Nanos,
    pub max_attempts: u32,
    pub slack: Slack,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    Delivered,
    /// After it had been accepted; the platform was notified.
    Rejected,
    Failed,
}

// Evidence keeps its words, so that the results of earlier versions can be compared with new ones.
impl std::fmt::Display for Ending {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Ending::Delivered => "Relayed",
            Ending::Rejected => "Deferred",
            Ending::Failed => "Bounced",
        })
    }
}

/// An answer in the words of the evidence.
fn described(answer: Option<Answer>) -> String {
    match answer {
        None => "None".into(),
        Some(Answer::Delivered) => "Some(Relayed)".into(),
        Some(Answer::ServerError) => "Some(Errored)".into(),
        Some(Answer::RateLimited(wait)) => format!("Some(Full({wait:?}))"),
        Some(Answer::Malformed) => "Some(Spoilt)".into(),
    }
}

struct MessageState {
    submission: Submission,
    accepted_at: Option<Nanos>,
    abandoned: bool,
    in_flight: Option<CallNumber>,
    attempts: u32,
    /// The calls that may have run, and when and where the first was sent.
    ran: Vec<(CallNumber, Nanos, usize)>,
    end: Option<(Ending, Nanos)>,
    /// Since then it can go nowhere any more.
    exhausted_since: Option<Nanos>,
}

struct Call {
    message: MessageId,
    endpoint: EndpointId,
    dispatcher: usize,
}

/// Something that looks like a break, until the order in which it was seen is sure.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Suspicion {
    /// The earlier call must turn out to have been closed by then.
    StillInFlight {
        by: MessageId,
        earlier: CallNumber,
        rule: Rule,
    },
    /// The earlier message must turn out to have ended by then.
    NotEnded { by: MessageId, earlier: MessageId },
    /// The answer must turn out to have crossed the end of its connection.
    AfterDelivery { by: MessageId, answered: CallNumber },
}

#[derive(Default)]
struct KeyQueue {
    /// As they were taken, with when.
    messages: VecDeque<(MessageId, Nanos)>,
    out: BTreeSet<(CallNumber, MessageId)>,
    /// After a loose end: until then only that message may go.
    rest: Option<(Nanos, MessageId)>,
}

#[derive(Clone, Copy, Default)]
struct DispatcherState {
    ready_since: Option<Nanos>,
    ended_at: Nanos,
}

#[derive(Default)]
struct Effects {
    /// Which message took effect where and when, as something new.
    of: Vec<(MessageId, EndpointId, Nanos)>,
}

/// What the auditor found in all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    #[serde(rename = "mails")]
    pub messages: u64,
    pub calls: u64,
    pub applied: u64,
    /// Effects of calls whose answer never reached the dispatcher: once applied, not twice sent.
    #[serde(rename = "applied_unheard")]
    pub applied_unanswered: u64,
    #[serde(rename = "breaks")]
    pub violations: BTreeMap<Rule, u64>,
    #[serde(rename = "words")]
    pub samples: Vec<Violation>,
}

impl Verdict {
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }
}

pub struct Auditor {
    settings: AuditSettings,
    messages: HashMap<MessageId, MessageState>,
    calls: HashMap<CallNumber, Call>,
    /// Calls that ended, for what is learnt of them later: how, and when.
    closed: HashMap<CallNumber, (Option<Answer>, Option<Nanos>)>,
    effects: HashMap<u64, Effects>,
    keys: HashMap<(usize, u64), KeyQueue>,
    drains: HashMap<(usize, EndpointId), Nanos>,
    waits: HashMap<(usize, usize), Vec<(Nanos, Nanos)>>,
    dispatchers: BTreeMap<usize, DispatcherState>,
    /// When a message is looked at, or forgotten.
    deadline_checks: BinaryHeap<Reverse<(Nanos, MessageId)>>,
    suspicions: BinaryHeap<Reverse<(Nanos, Suspicion)>>,
    forget: VecDeque<(Nanos, CallNumber)>,
    verdict: Verdict,
}

impl Auditor {
    pub fn new(settings: AuditSettings) -> Auditor {
        Auditor {
            settings,
            messages: HashMap::new(),
            calls: HashMap::new(),
            closed: HashMap::new(),
            effects: HashMap::new(),
            keys: HashMap::new(),
            drains: HashMap::new(),
            waits: HashMap::new(),
            dispatchers: BTreeMap::new(),
            deadline_checks: BinaryHeap::new(),
            suspicions: BinaryHeap::new(),
            forget: VecDeque::new(),
            verdict: Verdict::default(),
        }
    }

    /// An endpoint that was not there at the start; they are numbered on.
    pub fn endpoint_appeared(&mut self, zone: usize, gate: usize) {
        self.settings.endpoints.push((zone, gate));
    }

    fn violated(&mut self, at: Nanos, rule: Rule, message: Option<MessageId>, evidence: String) {
        *self.verdict.violations.entry(rule).or_default() += 1;
        if self.verdict.samples.len() < MAX_SAMPLES {
            self.verdict.samples.push(Violation {
                at,
                rule,
                message: message.map(|m| m.0),
                evidence,
            });
        }
    }

    fn suspicion(&mut self, at: Nanos, suspicion: Suspicion) {
        self.suspicions
            .push(Reverse((at + self.settings.slack.order, suspicion)));
    }

    /// Something was seen. Times never go back.
    pub fn observe(&mut self, at: Nanos, observation: &Observation) {
        self.advance(at);
        match observation {
            Observation::Submitted(submission) => self.submitted(*submission),
            Observation::Accepted { message } => self.accepted(at, *message),
            Observation::Rejected { message, .. } => drop(self.messages.remove(message)),
            Observation::Abandoned { message } => {
                if let Some(m) = self.messages.get_mut(message) {
                    m.abandoned = true;
                }
            }
            Observation::Call {
                call,
                message,
                endpoint,
                dispatcher,
                started_at,
                ..
            } => self.called(at, *call, *message, *endpoint, *dispatcher, *started_at),
            Observation::Answered { call, answer } => self.answered(at, *call, *answer),
            Observation::ConnectionClosed { call, .. } => self.connection_closed(at, *call),
            Observation::Applied { call, fresh } => self.applied(at, *call, *fresh),
            Observation::Notified {
                message,
                retry_after: deferred,
            } => self.notified(at, *message, deferred.is_some()),
            Observation::EndpointListed {
                dispatcher,
                endpoint,
                serving: true,
            } => {
                self.drains.remove(&(*dispatcher, *endpoint));
            }
            Observation::EndpointListed {
                dispatcher,
                endpoint,
                ..
            } => {
                self.drains.entry((*dispatcher, *endpoint)).or_insert(at);
            }
            Observation::Started { dispatcher } => {
                self.dispatchers.entry(*dispatcher).or_default();
            }
            Observation::Stopped { dispatcher } => {
                *self.dispatchers.entry(*dispatcher).or_default() = DispatcherState {
                    ready_since: None,
                    ended_at: at,
                };
                self.waits.retain(|(d, _), _| d != dispatcher);
            }
            Observation::Ready { dispatcher } => {
                self.dispatchers.entry(*dispatcher).or_default().ready_since = Some(at);
            }
            Observation::Overloaded {
                endpoint,
                informed_calls,
                all_calls,
            } => {
                if informed_calls * 3 >= all_calls * 2 {
                    let evidence = format!(
                        "endpoint {} fell over on its return: {informed_calls} of the last {all_calls} calls came from dispatchers \
                         that had seen its outage",
                        endpoint.0
                    );
                    self.violated(at, Rule::Tipped, None, evidence);
                }
            }
        }
    }

    /// All that is due by now is judged.
    fn advance(&mut self, now: Nanos) {
        while let Some(Reverse((at, _))) = self.suspicions.peek()
            && *at < now
        {
            let Some(Reverse((at, suspicion))) = self.suspicions.pop() else {
                break;
            };
            self.resolve(at, suspicion);
        }
        while let Some(&Reverse((at, message))) = self.deadline_checks.peek()
            && at < now
        {
            self.deadline_checks.pop();
            self.check_deadline(at, message);
        }
        while self.forget.front().is_some_and(|f| f.0 < now) {
            let Some((_, call)) = self.forget.pop_front() else {
                break;
            };
            self.calls.remove(&call);
            self.closed.remove(&call);
        }
    }

    /// Messages that are owed their end.
    pub fn unresolved(&self) -> usize {
        self.messages
            .values()
            .filter(|m| m.accepted_at.is_some() && m.end.is_none() && !m.abandoned)
            .count()
    }

    /// The run is over: all has had its time.
    pub fn finish(mut self, now: Nanos) -> Verdict {
        self.advance(now + self.settings.slack.order + 1);
        let open: Vec<MessageId> = self.messages.keys().copied().collect();
        let mut open: Vec<MessageId> = open
            .into_iter()
            .filter(|m| self.is_overdue(*m, now))
            .collect();
        open.sort_unstable();
        for message in open {
            self.violated(
                now,
                Rule::Lost,
                Some(message),
                "no end by the end of the run".into(),
            );
        }
        self.verdict
    }

    fn is_overdue(&self, message: MessageId, now: Nanos) -> bool {
        self.messages.get(&message).is_some_and(|m| {
            m.accepted_at.is_some()
                && m.end.is_none()
                && !m.abandoned
                && m.submission.deadline + self.settings.slack.end < now
        })
    }

    fn submitted(&mut self, submission: Submission) {
        self.verdict.messages += 1;
        self.deadline_checks.push(Reverse((
            submission.deadline + self.settings.slack.end,
            submission.message,
        )));
        let message = MessageState {
            submission,
            accepted_at: None,
            abandoned: false,
            in_flight: None,
            attempts: 0,
            ran: vec![],
            end: None,
            exhausted_since: None,
        };
        self.messages.insert(submission.message, message);
    }

    fn accepted(&mut self, at: Nanos, id: MessageId) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        message.accepted_at = Some(at);
        if let Some(key) = message.submission.key {
            let line = self
                .keys
                .entry((message.submission.dispatcher, key))
                .or_default();
            line.messages.push_back((id, at));
        }
    }

    fn check_deadline(&mut self, at: Nanos, id: MessageId) {
        let Some(message) = self.messages.get(&id) else {
            return;
        };
        if at >= message.submission.deadline + RETENTION {
            if self.is_overdue(id, at) {
                self.violated(
                    at,
                    Rule::Lost,
                    Some(id),
                    "its dispatcher did not come back, and nobody ended it".into(),
                );
            }
            let Some(message) = self.messages.get(&id) else {
                return;
            };
            let (arrival, key) = (
                message.submission.arrival,
                message
                    .submission
                    .key
                    .map(|k| (message.submission.dispatcher, k)),
            );
            self.messages.remove(&id);
            self.effects.remove(&arrival);
            if let Some(key) = key
                && let Some(line) = self.keys.get_mut(&key)
            {
                line.messages.retain(|m| m.0 != id);
                if line.messages.is_empty() && line.out.is_empty() {
                    self.keys.remove(&key);
                }
            }
            return;
        }
        if self.is_overdue(id, at + 1) {
            let state = self
                .dispatchers
                .get(&message.submission.dispatcher)
                .copied()
                .unwrap_or_default();
            match state.ready_since {
                // Nothing is overdue while a dispatcher is away, and a little longer.
                None => return self.deadline_checks.push(Reverse((at + 500 * MS, id))),
                Some(since) if state.ended_at > 0 && at < since + self.settings.slack.ready => {
                    return self
                        .deadline_checks
                        .push(Reverse((since + self.settings.slack.ready, id)));
                }
                Some(_) => {}
            }
            let (due, attempts, d) = (
                message.submission.deadline,
                message.attempts,
                message.submission.dispatcher,
            );
            let evidence = format!(
                "taken by dispatcher {d}, due at {:.3} s, {attempts} calls, no end",
                due as f64 / 1e9
            );
            self.violated(at, Rule::Lost, Some(id), evidence);
            // Said once.
            if let Some(message) = self.messages.get_mut(&id) {
                message.abandoned = true;
            }
        }
        let due = self.messages.get(&id).map_or(0, |m| m.submission.deadline);
        self.deadline_checks.push(Reverse((due + RETENTION, id)));
    }

    fn called(
        &mut self,
        at: Nanos,
        call: CallNumber,
        id: MessageId,
        endpoint: EndpointId,
        dispatcher: usize,
        started_at: Nanos,
    ) {
        self.verdict.calls += 1;
        self.calls.insert(
            call,
            Call {
                message: id,
                endpoint,
                dispatcher,
            },
        );
        let slack = self.settings.slack;
        let e = endpoint.0;
        if let Some(since) = self.drains.get(&(dispatcher, endpoint)).copied()
            && started_at > since + self.settings.drain_grace + slack.time
        {
            let late = (started_at - since) as f64 / 1e9;
            let evidence = format!(
                "sent to endpoint {e} {late:.3} s after dispatcher {dispatcher} was told it drains"
            );
            self.violated(at, Rule::Drained, Some(id), evidence);
        }
        let (zone, gate) = self
            .settings
            .endpoints
            .get(e as usize)
            .copied()
            .unwrap_or((usize::MAX, usize::MAX));
        if let Some(waits) = self.waits.get_mut(&(dispatcher, gate)) {
            waits.retain(|w| w.1 > at);
            let wait = waits
                .iter()
                .find(|w| started_at > w.0 + slack.told && started_at + MS < w.1)
                .copied();
            if let Some((told, until)) = wait {
                let (into, left) = (
                    (started_at - told) as f64 / 1e9,
                    (until - started_at) as f64 / 1e9,
                );
                let evidence = format!(
                    "sent to endpoint {e} {into:.3} s into a told wait, {left:.3} s before its end"
                );
                self.violated(at, Rule::ToldWait, Some(id), evidence);
            }
        }
        let Some(message) = self.messages.get_mut(&id) else {
            self.violated(
                at,
                Rule::AfterEnd,
                Some(id),
                format!("sent to endpoint {e}, but nobody handed it in"),
            );
            return;
        };
        let (class, due) = (
            self.settings.classes[message.submission.class].clone(),
            message.submission.deadline,
        );
        let (earlier, end, key, abandoned) = (
            message.in_flight.replace(call),
            message.end,
            message.submission.key,
            message.abandoned,
        );
        message.attempts += 1;
        message.exhausted_since = None;
        let ran = message.ran.first().copied();
        let last_ran = message.ran.last().copied();
        message.ran.push((call, started_at, zone));
        let home = message.submission.dispatcher;
        if abandoned {
            return;
        }
        if started_at > due + slack.time {
            let late = (started_at - due) as f64 / 1e9;
            self.violated(
                at,
                Rule::AfterEnd,
                Some(id),
                format!("sent {late:.3} s after its queue lifetime"),
            );
        }
        match end {
            Some((Ending::Delivered, since)) if started_at > since + slack.order => {
                let restarted = self
                    .dispatchers
                    .get(&home)
                    .is_some_and(|h| h.ended_at > since);
                if let (false, Some((answered, _, _))) = (restarted, last_ran) {
                    self.suspicion(at, Suspicion::AfterDelivery { by: id, answered });
                }
            }
            Some((how @ (Ending::Rejected | Ending::Failed), since))
                if started_at > since + slack.time =>
            {
                let late = (started_at - since) as f64 / 1e9;
                self.violated(
                    at,
                    Rule::AfterEnd,
                    Some(id),
                    format!("sent {late:.3} s after it had been {how}"),
                );
            }
            _ => {}
        }
        if let Some(earlier) = earlier {
            self.suspicion(
                at,
                Suspicion::StillInFlight {
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
                    if started_at >= first + window + slack.time =>
                {
                    Some(format!(
                        "its first connect was sent {:.3} s before",
                        (started_at - first) as f64 / 1e9
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
                    .map_or("is out".into(), |c| {
                        format!("({}, {:?})", described(c.0), c.1)
                    });
                let evidence = format!("sent again, to endpoint {e}: {why}; that connect {out}");
                self.violated(at, Rule::Repeated, Some(id), evidence);
            }
        }
        if let Some(key) = key {
            self.in_order(at, call, id, (dispatcher, key), started_at);
        }
    }

    fn in_order(
        &mut self,
        at: Nanos,
        call: CallNumber,
        id: MessageId,
        key: (usize, u64),
        started_at: Nanos,
    ) {
        let slack = self.settings.slack;
        let Some(line) = self.keys.get_mut(&key) else {
            return;
        };
        let (mut suspicions, mut evidence) = (vec![], None);
        for (earlier, out) in line.out.iter().map(|(c, m)| (*m, *c)) {
            if earlier != id {
                suspicions.push(Suspicion::StillInFlight {
                    by: id,
                    earlier: out,
                    rule: Rule::Order,
                });
            }
        }
        // Its call may be seen before the answer to its client.
        let own = line.messages.iter().find(|m| m.0 == id).map_or(at, |m| m.1);
        for (earlier, taken) in line.messages.iter().take_while(|m| m.0 != id) {
            // Taken at nearly the same time on two connections, either may have been first.
            if taken + slack.order <= own {
                suspicions.push(Suspicion::NotEnded {
                    by: id,
                    earlier: *earlier,
                });
            }
        }
        if let Some((until, by)) = line.rest
            && by != id
            && started_at + slack.order / 3 < until
        {
            evidence = Some(format!(
                "sent {:.3} s before its key's rest was over",
                (until - started_at) as f64 / 1e9
            ));
        }
        line.out.insert((call, id));
        suspicions
            .into_iter()
            .for_each(|suspicion| self.suspicion(at, suspicion));
        if let Some(evidence) = evidence {
            self.violated(at, Rule::Order, Some(id), evidence);
        }
    }

    fn resolve(&mut self, at: Nanos, suspicion: Suspicion) {
        let abandoned = |a: &Auditor, m: &MessageId| a.messages.get(m).is_none_or(|m| m.abandoned);
        match suspicion {
            Suspicion::StillInFlight { by, earlier, rule } => {
                if !self.closed.contains_key(&earlier) && !abandoned(self, &by) {
                    let call = self.calls.get(&earlier);
                    let (message, e) = call.map_or((0, 0), |c| (c.message.0, c.endpoint.0));
                    let evidence = format!(
                        "sent while a connect of mail {message:016x} to endpoint {e} was still out"
                    );
                    self.violated(at, rule, Some(by), evidence);
                }
            }
            Suspicion::NotEnded { by, earlier } => {
                let open = self
                    .messages
                    .get(&earlier)
                    .is_some_and(|m| m.end.is_none() && !m.abandoned);
                if open && !abandoned(self, &by) {
                    let evidence = format!(
                        "sent before mail {:016x} of its key, taken earlier, had ended",
                        earlier.0
                    );
                    self.violated(at, Rule::Order, Some(by), evidence);
                }
            }
            Suspicion::AfterDelivery { by, answered } => {
                let crossed = self.closed.get(&answered).is_some_and(|c| c.1.is_some());
                if !crossed && !abandoned(self, &by) {
                    self.violated(
                        at,
                        Rule::AfterEnd,
                        Some(by),
                        "sent again after it had been relayed".into(),
                    );
                }
            }
        }
    }

    /// A call has ended: its message is no more out. Says whose it was.
    fn call_over(&mut self, at: Nanos, call: CallNumber) -> Option<(MessageId, usize)> {
        let known = self.calls.get(&call)?;
        let (id, dispatcher) = (known.message, known.dispatcher);
        self.forget.push_back((at + RETENTION, call));
        let message = self.messages.get_mut(&id)?;
        if message.in_flight == Some(call) {
            message.in_flight = None;
        }
        if let Some(key) = message.submission.key
            && let Some(line) = self.keys.get_mut(&(dispatcher, key))
        {
            line.out.remove(&(call, id));
        }
        Some((id, dispatcher))
    }

    fn answered(&mut self, at: Nanos, call: CallNumber, answer: Answer) {
        self.closed.entry(call).or_default().0 = Some(answer);
        let Some((id, dispatcher)) = self.call_over(at, call) else {
            return;
        };
        if let (Answer::RateLimited(Some(wait)), Some(known)) = (answer, self.calls.get(&call)) {
            let gate = self
                .settings
                .endpoints
                .get(known.endpoint.0 as usize)
                .map_or(usize::MAX, |e| e.1);
            self.waits
                .entry((dispatcher, gate))
                .or_default()
                .push((at, at + wait));
        }
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        match answer {
            Answer::RateLimited(_) => message.ran.retain(|r| r.0 != call),
            Answer::Delivered if message.end.is_none() => {
                message.end = Some((Ending::Delivered, at));
                self.leave_key_queue(id);
            }
            _ => {}
        }
        self.note_exhausted(at, id);
    }

    fn connection_closed(&mut self, at: Nanos, call: CallNumber) {
        let closed = self.closed.entry(call).or_default();
        if closed.1.replace(at).is_some() || closed.0.is_some() {
            return;
        }
        let Some((id, dispatcher)) = self.call_over(at, call) else {
            return;
        };
        let rest = self.settings.key_rest;
        if let Some(key) = self.messages.get(&id).and_then(|m| m.submission.key)
            && let Some(line) = self.keys.get_mut(&(dispatcher, key))
        {
            line.rest = Some((at + rest, id));
        }
        self.note_exhausted(at, id);
    }

    /// Notes since when a message can go nowhere any more.
    fn note_exhausted(&mut self, at: Nanos, id: MessageId) {
        let most = self.settings.max_attempts;
        let Some(message) = self
            .messages
            .get_mut(&id)
            .filter(|m| m.end.is_none() && m.in_flight.is_none())
        else {
            return;
        };
        let forbidden = match self.settings.classes[message.submission.class].semantics {
            DeliverySemantics::AtMostOnce => !message.ran.is_empty(),
            _ => false,
        };
        if forbidden || message.attempts >= most {
            message.exhausted_since.get_or_insert(at);
        }
    }

    fn applied(&mut self, at: Nanos, call: CallNumber, fresh: bool) {
        self.verdict.applied += 1;
        let Some(known) = self.calls.get(&call) else {
            return;
        };
        let (id, endpoint) = (known.message, known.endpoint);
        if self.closed.contains_key(&call) {
            self.verdict.applied_unanswered += 1;
        }
        let Some(message) = self.messages.get(&id) else {
            return;
        };
        let (arrival, repeat) = (
            message.submission.arrival,
            self.settings.classes[message.submission.class].semantics,
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
        let heard = |m: &MessageId| self.messages.get(m).is_none_or(|m| !m.abandoned);
        let count: Vec<&(MessageId, EndpointId, Nanos)> =
            effects.iter().filter(|e| heard(&e.0)).collect();
        if count.len() > 1 && heard(&id) {
            let place = |e: &EndpointId| {
                self.settings
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
            self.violated(
                at,
                Rule::EffectTwice,
                Some(id),
                format!("took effect {}", words.join(", and ")),
            );
        }
    }

    fn notified(&mut self, at: Nanos, id: MessageId, deferred: bool) {
        let now = if deferred {
            Ending::Rejected
        } else {
            Ending::Failed
        };
        let slack = self.settings.slack.given_up;
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        let abandoned = message.abandoned;
        match message.end {
            Some((Ending::Delivered, _)) => {}
            Some((before, _)) if before != now && !abandoned => {
                self.violated(
                    at,
                    Rule::EndedTwice,
                    Some(id),
                    format!("{before}, and then {now}"),
                );
            }
            Some(_) => {}
            None => {
                message.end = Some((now, at));
                let (exhausted_since, dispatcher, due) = (
                    message.exhausted_since,
                    message.submission.dispatcher,
                    message.submission.deadline,
                );
                self.leave_key_queue(id);
                let state = self
                    .dispatchers
                    .get(&dispatcher)
                    .copied()
                    .unwrap_or_default();
                // Time in which the dispatcher was away is not its holding back.
                let from = exhausted_since.map(|s| {
                    if state.ended_at >= s {
                        state.ready_since.unwrap_or(at)
                    } else {
                        s
                    }
                });
                if let Some(from) = from.filter(|from| at > from + slack && !abandoned) {
                    let (held, left) =
                        ((at - from) as f64 / 1e9, due as f64 / 1e9 - at as f64 / 1e9);
                    let evidence = format!(
                        "could go nowhere any more for {held:.3} s before it was {now}, {left:.3} s before its due"
                    );
                    self.violated(at, Rule::HeldBack, Some(id), evidence);
                }
            }
        }
    }

    fn leave_key_queue(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else {
            return;
        };
        if let Some(key) = message.submission.key
            && let Some(line) = self.keys.get_mut(&(message.submission.dispatcher, key))
        {
            line.messages.retain(|m| m.0 != id);
        }
    }
}
