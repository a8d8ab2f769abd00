//! A pending message and its attempt in flight.

use crate::connection::ConnectionId;
use bellsill_core::interface::{AttemptNumber, EndpointId, MessageId, Nanos};

/// The most bytes that the body of a message can have.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;

/// How far a message has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeliveryState {
    /// It has no attempt.
    Waiting,
    /// Its attempt waits for a connection; nothing of it is sent.
    Connecting,
    /// Its first byte may be sent.
    InFlight,
    /// An endpoint has taken it.
    Delivered,
    /// It was given back; its client may send it again.
    Rejected {
        /// After this time.
        retry_after: Nanos,
    },
    /// It failed for good.
    Failed,
    /// Its destination has said that it is over.
    Withdrawn,
}

impl DeliveryState {
    /// Whether the message has ended.
    pub(crate) fn is_final(self) -> bool {
        !matches!(
            self,
            DeliveryState::Waiting | DeliveryState::Connecting | DeliveryState::InFlight
        )
    }
}

/// An attempt that has no outcome yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptInFlight {
    /// Its number among those of its message.
    pub(crate) number: AttemptNumber,
    /// Where it goes.
    pub(crate) endpoint: EndpointId,
    /// None before one is opened.
    pub(crate) connection: Option<ConnectionId>,
    /// When it was decided on.
    pub(crate) started_at: Nanos,
    /// When it is aborted.
    pub(crate) deadline: Nanos,
    /// Its first byte may be sent, and the journal says so.
    pub(crate) request_started: bool,
    /// The rate limit that its response reported.
    pub(crate) reported_limit: Option<f64>,
}

/// A message that was accepted and has not ended.
pub(crate) struct PendingMessage {
    /// The client's id of it.
    pub(crate) id: MessageId,
    /// Where it goes.
    pub(crate) destination: u64,
    /// When its queue lifetime ends.
    pub(crate) deadline: Nanos,
    /// The index of its class; none if that is not configured now.
    pub(crate) class: Option<usize>,
    /// Empty in a class without idempotency keys.
    pub(crate) idempotency_key: String,
    /// Emptied once the message has ended.
    pub(crate) body: Vec<u8>,
    /// How far it has come.
    pub(crate) state: DeliveryState,
    /// How many attempts it has had.
    pub(crate) attempts: u32,
    /// Its attempt in flight.
    pub(crate) attempt: Option<AttemptInFlight>,
}
