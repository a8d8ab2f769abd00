//! Messages as passed to the decision logic.

use super::ids::{ClassId, DestinationId, KeyId, MessageId, Nanos, ZoneId};

/// A newly accepted message.
#[derive(Clone, Copy, Debug)]
pub struct NewMessage {
    /// The message ID.
    pub id: MessageId,
    /// The queue class.
    pub class: ClassId,
    /// The ordering key, if any; it has an effect in ordered classes only.
    pub key: Option<KeyId>,
    /// The destination that the message is addressed to.
    pub destination: DestinationId,
    /// The end of the message's lifetime.
    pub deadline: Nanos,
    /// The attempts that an earlier process made.
    pub history: MessageHistory,
}

/// The attempts that an earlier process of this dispatcher made for a message.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageHistory {
    /// The number of attempts made.
    pub attempts: u32,
    /// The first attempt after which the endpoint may have processed the message.
    pub possible_run: Option<PossibleRun>,
}

/// An attempt that may have run: the endpoint may have processed the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PossibleRun {
    /// When the attempt was sent.
    pub sent_at: Nanos,
    /// The zone of the endpoint that the attempt was sent to.
    pub zone: ZoneId,
}
