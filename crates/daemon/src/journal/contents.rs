//! What a journal holds for its readers: pending messages, their attempts, and the notifications that the platform is
//! still owed.

use bellsill_core::interface::{MessageId, Nanos};

/// How a message ended that was not delivered: the notification that the platform is owed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Resolution {
    /// Its client may send it again after this time.
    Rejected {
        /// In nanoseconds; zero means at once.
        retry_after: Nanos,
    },
    /// It must not be sent again.
    Failed,
}

/// An attempt whose first byte may have been written.
#[derive(Clone, Debug, PartialEq)]
pub struct JournaledAttempt {
    /// When its first byte was about to be written, on the dispatcher's clock.
    pub sent_at: Nanos,
    /// The zone of the endpoint that it went to.
    pub zone: String,
    /// Whether the endpoint may have processed the message; `None` while no outcome is known.
    pub may_have_run: Option<bool>,
}

/// An accepted message as the journal stores it.
#[derive(Clone, Debug, PartialEq)]
pub struct JournaledMessage {
    /// The id under which the platform knows it.
    pub id: MessageId,
    /// The name of its class, which outlives a change of the settings' order.
    pub class: String,
    /// The hash of its ordering key.
    pub key: u64,
    /// The destination that it is for.
    pub destination: u64,
    /// On the dispatcher's clock.
    pub deadline: Nanos,
    /// Empty where its class is not deduplicated by a key.
    pub idempotency_key: String,
    /// What its endpoint receives.
    pub body: Vec<u8>,
    /// The attempts made so far, the first one first.
    pub attempts: Vec<JournaledAttempt>,
}

/// What a journal holds that still counts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// The pending messages in the order in which they were accepted.
    pub messages: Vec<JournaledMessage>,
    /// Messages that have ended and whose notification the platform has not confirmed.
    pub pending_notifications: Vec<(MessageId, Resolution)>,
}

/// What was taken over from the journals of other processes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdoptedJournals {
    /// Their messages and pending notifications.
    pub recovered: Recovered,
    /// Another process still holds a journal, or one cannot be taken over yet: adopting has to be tried again.
    pub is_incomplete: bool,
}
