//! The state of a simulated dispatcher besides its decision logic.

use crate::load::Arrival;
use crate::record::CallNumber;
use crate::world::ConnId;
use bellsill_core::control::Dispatcher;
use bellsill_core::interface::{
    AttemptNumber, ClassId, DestinationId, EndpointId, KeyId, MessageHistory, MessageId, Nanos,
    NewMessage, PossibleRun, ZoneId,
};
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Copy)]
pub(super) struct AttemptInFlight {
    pub(super) number: AttemptNumber,
    pub(super) endpoint: EndpointId,
    pub(super) started_at: Nanos,
    pub(super) conn: Option<ConnId>,
    pub(super) call: Option<CallNumber>,
}

pub(super) struct PendingMessage {
    pub(super) arrival: Arrival,
    pub(super) deadline: Nanos,
    /// Its position in the order of acceptance.
    pub(super) accepted: u64,
    pub(super) attempts: u32,
    pub(super) possible_run: Option<PossibleRun>,
    pub(super) in_flight: Option<AttemptInFlight>,
    /// Whether it has been rejected or has failed while an attempt is still in flight.
    pub(super) ended: bool,
}

impl PendingMessage {
    pub(super) fn new(arrival: Arrival, deadline: Nanos, accepted: u64) -> PendingMessage {
        PendingMessage {
            arrival,
            deadline,
            accepted,
            attempts: 0,
            possible_run: None,
            in_flight: None,
            ended: false,
        }
    }

    pub(super) fn as_new_message(&self, id: MessageId) -> NewMessage {
        NewMessage {
            id,
            class: ClassId(self.arrival.class),
            key: self.arrival.key.map(KeyId),
            destination: DestinationId(self.arrival.destination as u64),
            deadline: self.deadline,
            history: MessageHistory {
                attempts: self.attempts,
                possible_run: self.possible_run,
            },
        }
    }

    /// Records an attempt that may have taken effect; only the first one is kept.
    pub(super) fn record_possible_run(&mut self, sent_at: Nanos, zone: ZoneId) {
        self.possible_run
            .get_or_insert(PossibleRun { sent_at, zone });
    }
}

#[derive(Clone, Copy, PartialEq)]
pub(super) struct IdleConnection {
    pub(super) since: Nanos,
    pub(super) conn: ConnId,
}

#[derive(Default)]
pub(super) struct SimulatedDispatcher {
    /// The decision logic; `None` while the process is not running.
    pub(super) decisions: Option<Dispatcher>,
    pub(super) accepts_from: Nanos,
    pub(super) shutting_down: bool,
    pub(super) messages: BTreeMap<MessageId, PendingMessage>,
    /// The number of messages that have not ended.
    pub(super) pending: usize,
    pub(super) accepted: u64,
    /// Idle connections by endpoint, the most recently used last.
    pub(super) idle: BTreeMap<EndpointId, Vec<IdleConnection>>,
    /// The same connections in the order in which they became idle; may contain connections that are in use again.
    pub(super) idle_since: VecDeque<(EndpointId, IdleConnection)>,
    pub(super) idle_count: usize,
    /// The number of wake-ups requested; only the latest request is valid.
    pub(super) wakeups: u64,
    pub(super) starts: u32,
    /// The version of the endpoint list that it has received.
    pub(super) version: usize,
}

impl SimulatedDispatcher {
    pub(super) fn accepts(&self, now: Nanos) -> bool {
        self.decisions.is_some() && !self.shutting_down && now >= self.accepts_from
    }

    pub(super) fn in_flight(&self, message: MessageId) -> Option<AttemptInFlight> {
        self.messages.get(&message).and_then(|m| m.in_flight)
    }
}
