//! The messages that a dispatcher has accepted and not yet dropped.

use crate::interface::{DestinationId, KeyId, MessageId, Nanos, NewMessage, PossibleRun};
use crate::state::queues::{MessageGroup, QueueEntry};

/// The state of a message on its way to its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageState {
    /// To be sent, for the first time or again.
    Waiting,
    /// An attempt has no outcome yet.
    InFlight,
    /// Delivered or withdrawn: no final answer is due.
    Done,
    /// The client got the answer that it may retry.
    Rejected,
    /// The client got the answer that the message failed.
    Failed,
}

impl MessageState {
    /// Whether no further answer is due for the message.
    pub(crate) fn ended(self) -> bool {
        !matches!(self, MessageState::Waiting | MessageState::InFlight)
    }
}

/// One message, with what has been done for it until now.
pub(crate) struct Message {
    pub(crate) id: MessageId,
    pub(crate) class: usize,
    /// Its ordering key, for a message of an ordered class.
    pub(crate) key: Option<KeyId>,
    pub(crate) destination: DestinationId,
    /// When its lifetime is up.
    pub(crate) deadline: Nanos,
    /// How many attempts were made.
    pub(crate) attempts: u32,
    /// The first attempt that may have run.
    pub(crate) possible_run: Option<PossibleRun>,
    pub(crate) state: MessageState,
}

impl Message {
    /// A message that was just accepted.
    pub(crate) fn waiting(new: NewMessage, key: Option<KeyId>) -> Message {
        Message {
            id: new.id,
            class: new.class.0,
            key,
            destination: new.destination,
            deadline: new.deadline,
            attempts: new.history.attempts,
            possible_run: new.history.possible_run,
            state: MessageState::Waiting,
        }
    }

    /// The group in whose queue it waits.
    pub(crate) fn group(&self) -> MessageGroup {
        MessageGroup {
            destination: self.destination,
            class: self.class,
            possible_run_zone: self.possible_run.map(|run| run.zone.0),
        }
    }

    /// Its entry in that queue.
    pub(crate) fn entry(&self) -> QueueEntry {
        QueueEntry {
            deadline: self.deadline,
            id: self.id,
        }
    }
}
