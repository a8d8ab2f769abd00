//! The messages that a dispatcher holds.

use crate::interface::*;
use crate::state::queues::{MessageGroup, QueueEntry};

/// The stage of a message on its way to its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// To be sent, for the first time or again.
    Waiting,
    /// An attempt has no outcome yet.
    InFlight,
    /// Delivered or withdrawn: no final answer is owed.
    Done,
    /// Its client was told to come back.
    Deferred,
    /// Its client was told that it failed.
    Bounced,
}

impl Stage {
    /// Whether nothing more is owed for the message.
    pub fn ended(self) -> bool {
        !matches!(self, Stage::Waiting | Stage::InFlight)
    }
}

/// One message, with what has been done for it until now.
pub struct Message {
    pub id: MessageId,
    pub class: usize,
    /// Its ordering key, for a message of an ordered class.
    pub key: Option<KeyId>,
    pub destination: DestinationId,
    /// When its queue lifetime is up.
    pub deadline: Nanos,
    /// How many attempts were made.
    pub attempts: u32,
    /// The first attempt that may have run: when it was sent, and the zone it went to.
    pub possible_run: Option<PossibleRun>,
    pub stage: Stage,
}

impl Message {
    /// A message that was just accepted.
    pub fn waiting(new: NewMessage, key: Option<KeyId>) -> Message {
        Message {
            id: new.id,
            class: new.class.0,
            key,
            destination: new.destination,
            deadline: new.deadline,
            attempts: new.history.attempts,
            possible_run: new.history.possible_run,
            stage: Stage::Waiting,
        }
    }

    /// The group in whose queue it waits.
    pub fn group(&self) -> MessageGroup {
        MessageGroup {
            destination: self.destination,
            class: self.class,
            ran_in: self.possible_run.map(|run| run.zone.0),
        }
    }

    /// Its entry in that queue.
    pub fn entry(&self) -> QueueEntry {
        QueueEntry {
            deadline: self.deadline,
            id: self.id,
        }
    }
}
