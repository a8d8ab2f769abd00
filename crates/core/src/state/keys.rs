//! The messages of each ordering key, in the order in which they were accepted.

use super::messages::Message;
use crate::interface::{KeyId, MessageId, Nanos};
use std::collections::{BTreeMap, VecDeque};

/// The messages of one key.
#[derive(Default)]
pub(crate) struct KeyQueue {
    /// The messages that have not ended.
    pub(crate) messages: VecDeque<MessageId>,
    /// The number of ended messages whose last attempt has no outcome yet.
    pub(crate) unresolved: u32,
    /// Until when the next message of the key is held back.
    pub(crate) cooldown_until: Nanos,
}

/// The queues of all keys that have messages, unresolved attempts or a cooldown.
#[derive(Default)]
pub(crate) struct KeyQueues {
    by_key: BTreeMap<KeyId, KeyQueue>,
}

impl KeyQueues {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// The queue of a message's key.
    pub(crate) fn get(&self, key: Option<KeyId>) -> Option<&KeyQueue> {
        key.and_then(|key| self.by_key.get(&key))
    }

    /// The queue of a message's key, mutably.
    pub(crate) fn get_mut(&mut self, key: Option<KeyId>) -> Option<&mut KeyQueue> {
        key.and_then(|key| self.by_key.get_mut(&key))
    }

    /// Appends a message to the queue of its key.
    pub(crate) fn push(&mut self, key: KeyId, message: MessageId) {
        self.by_key
            .entry(key)
            .or_default()
            .messages
            .push_back(message);
    }

    /// Removes a message that has ended and drops all queues that are no longer needed.
    pub(crate) fn remove(
        &mut self,
        key: Option<KeyId>,
        message: MessageId,
        in_flight: bool,
        now: Nanos,
    ) {
        if let Some(queue) = self.get_mut(key) {
            queue.messages.retain(|other| *other != message);
            queue.unresolved += u32::from(in_flight);
        }
        self.by_key.retain(|_, queue| {
            !queue.messages.is_empty() || queue.unresolved > 0 || queue.cooldown_until > now
        });
    }

    /// The earliest time at which the order of its key allows a message to be sent, or `None` while
    /// an earlier message blocks it.
    pub(crate) fn ready_at(&self, message: &Message) -> Option<Nanos> {
        let Some(queue) = self.get(message.key) else {
            return Some(0);
        };
        if queue.messages.front() != Some(&message.id) || queue.unresolved > 0 {
            None
        } else if message.attempts > 0 {
            Some(0) // The cooldown applies to the next message, not to a retry of the same one.
        } else {
            Some(queue.cooldown_until)
        }
    }
}
