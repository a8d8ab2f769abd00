//! A pending message and its attempt in flight.

use crate::connection::ConnectionId;
use crate::slot_table::SlotId;
use bellsill_core::interface::{AttemptNumber, EndpointId, MessageId, Nanos};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageSlot(u64);

impl SlotId for MessageSlot {
    fn from_raw(raw: u64) -> Self {
        MessageSlot(raw)
    }
    fn raw(self) -> u64 {
        self.0
    }
}

/// Where a message stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryState {
    Waiting,
    /// Its attempt waits for a connection to come up; nothing of it is written.
    Connecting,
    /// Its first byte may be written.
    InFlight,
    Delivered,
    Rejected {
        retry_after: Nanos,
    },
    Failed,
    /// Over, by what its destination said.
    Withdrawn,
}

impl DeliveryState {
    pub fn is_final(self) -> bool {
        !matches!(
            self,
            DeliveryState::Waiting | DeliveryState::Connecting | DeliveryState::InFlight
        )
    }
}

/// An attempt that has no outcome yet.
#[derive(Clone, Copy, Debug)]
pub struct AttemptInFlight {
    pub number: AttemptNumber,
    pub endpoint: EndpointId,
    pub connection: Option<ConnectionId>,
    pub started_at: Nanos,
    pub deadline: Nanos,
    /// Its first byte may be written, and the journal says so.
    pub request_started: bool,
    /// The limit that its answer reported.
    pub reported_limit: Option<f64>,
}

pub struct PendingMessage {
    pub id: MessageId,
    pub destination: u64,
    pub deadline: Nanos,
    /// Its row of the classes; none for one of no class known now.
    pub class: Option<usize>,
    pub idempotency_key: String,
    pub body: Vec<u8>,
    pub state: DeliveryState,
    pub attempts: u32,
    pub attempt: Option<AttemptInFlight>,
}
