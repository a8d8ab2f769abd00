//! Messages as they are handed to the decisions.

use super::ids::{ClassId, DestinationId, KeyId, MessageId, Nanos, ZoneId};

/// A message that was accepted.
#[derive(Clone, Copy, Debug)]
pub struct NewMessage {
    /// The message.
    pub id: MessageId,
    /// Its queue class.
    pub class: ClassId,
    /// Its ordering key.
    pub key: Option<KeyId>,
    /// The destination it is for.
    pub destination: DestinationId,
    /// When its lifetime is up.
    pub deadline: Nanos,
    /// What was done for it before.
    pub history: MessageHistory,
}

/// What a former process of this dispatcher did for a message.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageHistory {
    /// How many attempts it made.
    pub attempts: u32,
    /// The first attempt that may have run.
    pub possible_run: Option<PossibleRun>,
}

/// An attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PossibleRun {
    /// When it was sent.
    pub sent_at: Nanos,
    /// The zone that it was sent to.
    pub zone: ZoneId,
}
