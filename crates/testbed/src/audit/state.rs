//! What the auditor remembers of the messages, calls, keys and dispatchers that it has observed.

use super::settings::{AuditSettings, AuditedEndpoint, MILLISECOND};
use super::suspicions::Suspicion;
use super::verdict::{Rule, Verdict};
use crate::record::{CallNumber, Submission};
use crate::world::Answer;
use bellsill_core::interface::{EndpointId, MessageId, Nanos};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

/// For how long after its deadline a message is remembered, and a call after its end.
pub(super) const RETENTION: Nanos = 30_000 * MILLISECOND;

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Ending {
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

/// An attempt that may have taken effect.
#[derive(Clone, Copy, Debug)]
pub(super) struct PossibleEffect {
    pub(super) call: CallNumber,
    pub(super) sent_at: Nanos,
    pub(super) zone: usize,
}

pub(super) struct MessageState {
    pub(super) submission: Submission,
    pub(super) accepted_at: Option<Nanos>,
    /// Its client did not wait for the answer, or its loss has been reported: nothing is judged any more.
    pub(super) abandoned: bool,
    pub(super) in_flight: Option<CallNumber>,
    pub(super) attempts: u32,
    pub(super) possible_effects: Vec<PossibleEffect>,
    pub(super) ending: Option<(Ending, Nanos)>,
    /// Since when no further attempt is possible.
    pub(super) exhausted_since: Option<Nanos>,
}

impl MessageState {
    pub(super) fn new(submission: Submission) -> MessageState {
        MessageState {
            submission,
            accepted_at: None,
            abandoned: false,
            in_flight: None,
            attempts: 0,
            possible_effects: vec![],
            ending: None,
            exhausted_since: None,
        }
    }

    /// Whether its dispatcher still has to bring it to an end.
    pub(super) fn is_unresolved(&self) -> bool {
        self.accepted_at.is_some() && self.ending.is_none() && !self.abandoned
    }
}

pub(super) struct Call {
    pub(super) message: MessageId,
    pub(super) endpoint: EndpointId,
    pub(super) dispatcher: usize,
}

/// How a call ended; both where an answer crossed the closing of its connection.
#[derive(Clone, Copy, Default)]
pub(super) struct CallEnd {
    pub(super) answer: Option<Answer>,
    pub(super) closed_at: Option<Nanos>,
}

/// A key of messages that go in order, and the dispatcher that has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct OrderedKey {
    pub(super) dispatcher: usize,
    pub(super) key: u64,
}

impl OrderedKey {
    pub(super) fn of(submission: &Submission) -> Option<OrderedKey> {
        let dispatcher = submission.dispatcher;
        submission.key.map(|key| OrderedKey { dispatcher, key })
    }
}

/// After an attempt without an answer only its own message may go, until the cooldown is over.
#[derive(Clone, Copy)]
pub(super) struct Cooldown {
    pub(super) until: Nanos,
    pub(super) message: MessageId,
}

#[derive(Default)]
pub(super) struct KeyQueue {
    /// As they were accepted, and when.
    pub(super) messages: VecDeque<(MessageId, Nanos)>,
    pub(super) in_flight: BTreeSet<(CallNumber, MessageId)>,
    pub(super) cooldown: Option<Cooldown>,
}

#[derive(Clone, Copy, Default)]
pub(super) struct DispatcherState {
    pub(super) ready_since: Option<Nanos>,
    pub(super) stopped_at: Option<Nanos>,
}

/// Where and when a message took effect as something new.
#[derive(Clone, Copy)]
pub(super) struct FreshEffect {
    pub(super) message: MessageId,
    pub(super) endpoint: EndpointId,
    pub(super) at: Nanos,
}

/// A span in which nothing may be sent past a limit.
#[derive(Clone, Copy)]
pub(super) struct RetryAfterWait {
    pub(super) from: Nanos,
    pub(super) until: Nanos,
}

/// Judges the six rules on what it observes.
pub struct Auditor {
    pub(super) settings: AuditSettings,
    pub(super) messages: HashMap<MessageId, MessageState>,
    pub(super) calls: HashMap<CallNumber, Call>,
    /// Calls that ended, for what is learnt of them later.
    pub(super) ended_calls: HashMap<CallNumber, CallEnd>,
    /// By arrival.
    pub(super) effects: HashMap<u64, Vec<FreshEffect>>,
    pub(super) keys: HashMap<OrderedKey, KeyQueue>,
    /// Since when a dispatcher knows that an endpoint is draining.
    pub(super) drains: HashMap<(usize, EndpointId), Nanos>,
    /// By dispatcher and limit.
    pub(super) waits: HashMap<(usize, usize), Vec<RetryAfterWait>>,
    pub(super) dispatchers: BTreeMap<usize, DispatcherState>,
    /// When a message is checked, or forgotten.
    pub(super) deadline_checks: BinaryHeap<Reverse<(Nanos, MessageId)>>,
    pub(super) suspicions: BinaryHeap<Reverse<(Nanos, Suspicion)>>,
    /// When an ended call is forgotten.
    pub(super) call_expiry: VecDeque<(Nanos, CallNumber)>,
    pub(super) verdict: Verdict,
}

impl Auditor {
    /// An auditor that has observed nothing yet.
    pub fn new(settings: AuditSettings) -> Auditor {
        Auditor {
            settings,
            messages: HashMap::new(),
            calls: HashMap::new(),
            ended_calls: HashMap::new(),
            effects: HashMap::new(),
            keys: HashMap::new(),
            drains: HashMap::new(),
            waits: HashMap::new(),
            dispatchers: BTreeMap::new(),
            deadline_checks: BinaryHeap::new(),
            suspicions: BinaryHeap::new(),
            call_expiry: VecDeque::new(),
            verdict: Verdict::default(),
        }
    }

    /// Announces an endpoint that was not there at the start; they are numbered consecutively.
    pub fn endpoint_appeared(&mut self, endpoint: AuditedEndpoint) {
        self.settings.endpoints.push(endpoint);
    }

    /// How many accepted messages have not ended yet.
    pub fn unresolved(&self) -> usize {
        self.messages.values().filter(|m| m.is_unresolved()).count()
    }

    pub(super) fn violated(
        &mut self,
        at: Nanos,
        rule: Rule,
        message: Option<MessageId>,
        evidence: String,
    ) {
        self.verdict.record(at, rule, message, evidence);
    }

    pub(super) fn suspect(&mut self, at: Nanos, suspicion: Suspicion) {
        self.suspicions
            .push(Reverse((at + self.settings.slack.order, suspicion)));
    }

    pub(super) fn endpoint(&self, endpoint: EndpointId) -> AuditedEndpoint {
        self.settings
            .endpoints
            .get(endpoint.0 as usize)
            .copied()
            .unwrap_or(AuditedEndpoint::UNKNOWN)
    }

    pub(super) fn dispatcher(&self, dispatcher: usize) -> DispatcherState {
        self.dispatchers
            .get(&dispatcher)
            .copied()
            .unwrap_or_default()
    }
}
