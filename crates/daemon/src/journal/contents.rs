//! The state that is read from a journal: pending messages, their attempts, and the notifications that the platform has
//! not confirmed.

use bellsill_core::interface::{MessageId, Nanos};

/// How a message that was not delivered ended; the platform is notified of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Resolution {
    /// The client may send the message again after this delay.
    Rejected {
        /// The delay in nanoseconds; zero means immediately.
        retry_after: Nanos,
    },
    /// The message failed, and the client must not send it again.
    Failed,
}

/// An attempt whose first byte may have been written.
#[derive(Clone, Debug, PartialEq)]
pub struct JournaledAttempt {
    /// The time just before the first byte of the request was written, on the dispatcher's clock.
    pub sent_at: Nanos,
    /// The zone of the endpoint.
    pub zone: String,
    /// Whether the endpoint may have processed the message; `None` while no outcome is known.
    pub may_have_run: Option<bool>,
}

/// An accepted message as the journal stores it.
#[derive(Clone, Debug, PartialEq)]
pub struct JournaledMessage {
    /// The message id that the platform uses.
    pub id: MessageId,
    /// The name of the queue class: unlike the position in the settings, a name stays valid when the classes are
    /// reordered.
    pub class: String,
    /// The hash of the ordering key.
    pub key: u64,
    /// The number of the destination.
    pub destination: u64,
    /// The deadline, on the dispatcher's clock.
    pub deadline: Nanos,
    /// The idempotency key; empty if the class is not deduplicated by a key.
    pub idempotency_key: String,
    /// The body that the endpoint receives.
    pub body: Vec<u8>,
    /// The attempts so far, oldest first.
    pub attempts: Vec<JournaledAttempt>,
}

/// The live contents of a journal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// The pending messages, in the order of their acceptance.
    pub messages: Vec<JournaledMessage>,
    /// Messages that have ended but whose notification the platform has not confirmed.
    pub pending_notifications: Vec<(MessageId, Resolution)>,
}

/// The result of adopting the journals of other processes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdoptedJournals {
    /// The pending messages and notifications of the adopted journals.
    pub recovered: Recovered,
    /// Another process still holds a journal, or one could not be adopted: adoption has to be retried.
    pub is_incomplete: bool,
}
