//! Pending messages and their attempts in flight.

use crate::connection::ConnectionId;
use bellsill_core::interface::{AttemptNumber, EndpointId, MessageId, Nanos};

/// The maximum size of a message body.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;

/// The delivery state of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeliveryState {
    /// No attempt is in flight.
    Waiting,
    /// The attempt is waiting for a connection; nothing has been sent.
    Connecting,
    /// The request may have been sent, in part or completely.
    InFlight,
    /// An endpoint accepted the message.
    Delivered,
    /// The message was rejected, and its client may submit it again.
    Rejected {
        /// The time that the client should wait first.
        retry_after: Nanos,
    },
    /// The message failed permanently.
    Failed,
    /// The destination ended the message, whatever the outcome of its attempt.
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

/// An attempt whose outcome is not yet known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptInFlight {
    /// The number of the attempt within its message.
    pub(crate) number: AttemptNumber,
    /// The target endpoint.
    pub(crate) endpoint: EndpointId,
    /// The connection; none before one is opened.
    pub(crate) connection: Option<ConnectionId>,
    /// When the decision logic ordered the attempt.
    pub(crate) started_at: Nanos,
    /// When the attempt times out.
    pub(crate) deadline: Nanos,
    /// The journal has recorded the attempt, and its request may have been sent.
    pub(crate) request_started: bool,
    /// The rate limit reported by the response.
    pub(crate) reported_limit: Option<f64>,
}

/// An accepted message that has not ended, or whose last attempt is still in flight.
pub(crate) struct PendingMessage {
    /// The id assigned by the client.
    pub(crate) id: MessageId,
    /// The destination.
    pub(crate) destination: u64,
    /// The end of the queue lifetime.
    pub(crate) deadline: Nanos,
    /// The index of the queue class; none if the class is no longer configured.
    pub(crate) class: Option<usize>,
    /// The idempotency key; empty if the client sent none.
    pub(crate) idempotency_key: String,
    /// The body; cleared once the message has ended.
    pub(crate) body: Vec<u8>,
    /// The delivery state.
    pub(crate) state: DeliveryState,
    /// The number of attempts so far, including those of earlier processes.
    pub(crate) attempts: u32,
    /// The attempt in flight, if any.
    pub(crate) attempt: Option<AttemptInFlight>,
}
