//! The messages that a dispatcher keeps in memory.

use crate::interface::{DestinationId, KeyId, MessageId, Nanos, NewMessage, PossibleRun};
use crate::state::queues::{MessageGroup, QueueEntry};

/// The delivery state of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageState {
    /// Waiting to be sent, for the first time or again.
    Waiting,
    /// An attempt has no outcome yet.
    InFlight,
    /// Delivered or withdrawn: no final answer is due.
    Done,
    /// The client was told that it may submit the message again.
    Rejected,
    /// The client was told that the message failed.
    Failed,
}

impl MessageState {
    /// Whether the message has ended: no final answer is due any more.
    pub(crate) fn ended(self) -> bool {
        !matches!(self, MessageState::Waiting | MessageState::InFlight)
    }
}

/// A message and the progress of its delivery.
pub(crate) struct Message {
    pub(crate) id: MessageId,
    pub(crate) class: usize,
    /// The ordering key of the message, if its class is ordered.
    pub(crate) key: Option<KeyId>,
    pub(crate) destination: DestinationId,
    /// The end of the message's lifetime.
    pub(crate) deadline: Nanos,
    /// The number of attempts made.
    pub(crate) attempts: u32,
    /// The first attempt after which the endpoint may have processed the message.
    pub(crate) possible_run: Option<PossibleRun>,
    pub(crate) state: MessageState,
}

impl Message {
    /// Creates a waiting message from a newly accepted one.
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

    /// The group in whose queue the message waits.
    pub(crate) fn group(&self) -> MessageGroup {
        MessageGroup {
            destination: self.destination,
            class: self.class,
            possible_run_zone: self.possible_run.map(|run| run.zone.0),
        }
    }

    /// The entry of the message in that queue.
    pub(crate) fn entry(&self) -> QueueEntry {
        QueueEntry {
            deadline: self.deadline,
            id: self.id,
        }
    }
}
