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

/// The live contents of journals.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// The pending messages, in the order of their acceptance.
    pub messages: Vec<JournaledMessage>,
    /// Messages that have ended but whose notification the platform has not confirmed.
    pub pending_notifications: Vec<(MessageId, Resolution)>,
}

impl Recovered {
    /// Adds the contents of another journal.
    pub fn extend(&mut self, other: Recovered) {
        self.messages.extend(other.messages);
        self.pending_notifications
            .extend(other.pending_notifications);
    }

    /// Splits the contents into those of the messages for which the condition holds, and the others.
    pub(super) fn partition(self, condition: impl Fn(MessageId) -> bool) -> (Recovered, Recovered) {
        let (messages, other_messages) = self.messages.into_iter().partition(|m| condition(m.id));
        let (pending_notifications, other_pending_notifications) = self
            .pending_notifications
            .into_iter()
            .partition(|pending| condition(pending.0));
        let matching = Recovered {
            messages,
            pending_notifications,
        };
        let others = Recovered {
            messages: other_messages,
            pending_notifications: other_pending_notifications,
        };
        (matching, others)
    }
}

/// The result of adopting the journals of other processes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdoptedJournals {
    /// The pending messages and notifications of the adopted journals.
    pub recovered: Recovered,
    /// Another process still holds a journal, or one could not be adopted, or the file of an adopted one is still there:
    /// adoption has to be repeated.
    pub is_incomplete: bool,
}
