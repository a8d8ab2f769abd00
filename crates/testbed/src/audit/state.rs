//! State that the auditor keeps about observed messages, calls, keys and dispatchers.

use super::settings::{AuditSettings, AuditedEndpoint, MILLISECOND};
use super::suspicions::Suspicion;
use super::verdict::{Rule, Verdict};
use crate::record::{CallNumber, Submission};
use crate::world::Answer;
use bellsill_core::interface::{EndpointId, MessageId, Nanos};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

/// How long a message is kept after its deadline, and a call after its end.
pub(super) const RETENTION: Nanos = 30_000 * MILLISECOND;

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Ending {
    Delivered,
    /// Rejected after it had been accepted, with a notification to the platform.
    Rejected,
    Failed,
}

// The texts are stored as evidence and must stay unchanged to remain comparable with results of earlier versions.
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
    /// The client stopped waiting for the reply, or the loss has already been reported; no further checks apply.
    pub(super) abandoned: bool,
    pub(super) in_flight: Option<CallNumber>,
    pub(super) attempts: u32,
    pub(super) possible_effects: Vec<PossibleEffect>,
    pub(super) ending: Option<(Ending, Nanos)>,
    /// Time from which no further attempt is possible.
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

    /// Whether the message was accepted and has not ended yet.
    pub(super) fn is_unresolved(&self) -> bool {
        self.accepted_at.is_some() && self.ending.is_none() && !self.abandoned
    }
}

pub(super) struct Call {
    pub(super) message: MessageId,
    pub(super) endpoint: EndpointId,
    pub(super) dispatcher: usize,
}

/// How a call ended. Both fields are set if the response and the closing of the connection crossed.
#[derive(Clone, Copy, Default)]
pub(super) struct CallEnd {
    pub(super) answer: Option<Answer>,
    pub(super) closed_at: Option<Nanos>,
}

/// Key of messages that are delivered in order, per dispatcher.
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

/// After an attempt without a response, only the same message may be sent until the cooldown ends.
#[derive(Clone, Copy)]
pub(super) struct Cooldown {
    pub(super) until: Nanos,
    pub(super) message: MessageId,
}

#[derive(Default)]
pub(super) struct KeyQueue {
    /// Messages in order of acceptance, with the time of acceptance.
    pub(super) messages: VecDeque<(MessageId, Nanos)>,
    pub(super) in_flight: BTreeSet<(CallNumber, MessageId)>,
    pub(super) cooldown: Option<Cooldown>,
}

#[derive(Clone, Copy, Default)]
pub(super) struct DispatcherState {
    pub(super) ready_since: Option<Nanos>,
    pub(super) stopped_at: Option<Nanos>,
}

/// An effect of a message that the endpoint did not recognize as a duplicate.
#[derive(Clone, Copy)]
pub(super) struct FreshEffect {
    pub(super) message: MessageId,
    pub(super) endpoint: EndpointId,
    pub(super) at: Nanos,
}

/// Period during which a Retry-After forbids attempts through a rate limit.
#[derive(Clone, Copy)]
pub(super) struct RetryAfterWait {
    pub(super) from: Nanos,
    pub(super) until: Nanos,
}

/// Checks the six rules against observations.
pub struct Auditor {
    pub(super) settings: AuditSettings,
    pub(super) messages: HashMap<MessageId, MessageState>,
    pub(super) calls: HashMap<CallNumber, Call>,
    /// Ended calls, kept for observations that arrive later.
    pub(super) ended_calls: HashMap<CallNumber, CallEnd>,
    /// Effects by arrival number.
    pub(super) effects: HashMap<u64, Vec<FreshEffect>>,
    pub(super) keys: HashMap<OrderedKey, KeyQueue>,
    /// Time at which a dispatcher learnt that an endpoint is draining or removed.
    pub(super) draining_since: HashMap<(usize, EndpointId), Nanos>,
    /// Retry-After waits by dispatcher and rate limit.
    pub(super) retry_after_waits: HashMap<(usize, usize), Vec<RetryAfterWait>>,
    pub(super) dispatchers: BTreeMap<usize, DispatcherState>,
    /// Times at which messages are checked or discarded.
    pub(super) deadline_checks: BinaryHeap<Reverse<(Nanos, MessageId)>>,
    pub(super) suspicions: BinaryHeap<Reverse<(Nanos, Suspicion)>>,
    /// Times at which ended calls are discarded.
    pub(super) call_expiry: VecDeque<(Nanos, CallNumber)>,
    pub(super) verdict: Verdict,
}

impl Auditor {
    /// Creates an auditor without any observations.
    pub fn new(settings: AuditSettings) -> Auditor {
        Auditor {
            settings,
            messages: HashMap::new(),
            calls: HashMap::new(),
            ended_calls: HashMap::new(),
            effects: HashMap::new(),
            keys: HashMap::new(),
            draining_since: HashMap::new(),
            retry_after_waits: HashMap::new(),
            dispatchers: BTreeMap::new(),
            deadline_checks: BinaryHeap::new(),
            suspicions: BinaryHeap::new(),
            call_expiry: VecDeque::new(),
            verdict: Verdict::default(),
        }
    }

    /// Adds an endpoint that appeared during the run; endpoints are numbered consecutively.
    pub fn endpoint_appeared(&mut self, endpoint: AuditedEndpoint) {
        self.settings.endpoints.push(endpoint);
    }

    /// Number of accepted messages that have not ended yet.
    pub fn unresolved(&self) -> usize {
        self.messages.values().filter(|m| m.is_unresolved()).count()
    }

    pub(super) fn report_violation(
        &mut self,
        at: Nanos,
        rule: Rule,
        message: Option<MessageId>,
        evidence: String,
    ) {
        self.verdict.record(at, rule, message, evidence);
    }

    pub(super) fn add_suspicion(&mut self, at: Nanos, suspicion: Suspicion) {
        self.suspicions
            .push(Reverse((at + self.settings.slack.reordering, suspicion)));
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
