//! The messages of each ordering key, in the order in which they were accepted.

use super::NEVER;
use super::messages::Message;
use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// The messages of one key.
#[derive(Default)]
pub struct KeyQueue {
    /// Those that have not ended.
    pub messages: VecDeque<MessageId>,
    /// Ended messages whose last attempt has no outcome yet.
    pub unresolved: u32,
    /// No next message of the key is sent until then.
    pub cooldown_until: Nanos,
}

/// The queues of all keys that have anything to remember.
#[derive(Default)]
pub struct KeyQueues {
    by_key: BTreeMap<KeyId, KeyQueue>,
}

impl KeyQueues {
    /// Whether no key has anything to remember.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// The queue of a message's key.
    pub fn get(&self, key: Option<KeyId>) -> Option<&KeyQueue> {
        key.and_then(|key| self.by_key.get(&key))
    }

    /// The queue of a message's key, for changes.
    pub fn get_mut(&mut self, key: Option<KeyId>) -> Option<&mut KeyQueue> {
        key.and_then(|key| self.by_key.get_mut(&key))
    }

    /// Adds a message at the end of the queue of its key.
    pub fn push(&mut self, key: KeyId, message: MessageId) {
        self.by_key
            .entry(key)
            .or_default()
            .messages
            .push_back(message);
    }

    /// Removes a message that has ended, and drops the queues that have nothing to remember.
    pub fn remove(&mut self, key: Option<KeyId>, message: MessageId, in_flight: bool, now: Nanos) {
        if let Some(queue) = self.get_mut(key) {
            queue.messages.retain(|other| *other != message);
            queue.unresolved += u32::from(in_flight);
        }
        self.by_key.retain(|_, queue| {
            !queue.messages.is_empty() || queue.unresolved > 0 || queue.cooldown_until > now
        });
    }

    /// From when on the order of its key lets a message be sent; [`NEVER`] while an earlier one holds it up.
    pub fn turn_at(&self, message: &Message) -> Nanos {
        let Some(queue) = self.get(message.key) else {
            return 0;
        };
        if queue.messages.front() != Some(&message.id) || queue.unresolved > 0 {
            return NEVER;
        }
        if message.attempts > 0 {
            0
        } else {
            queue.cooldown_until
        }
    }
}
