//! The records that still count, by message, as they stand in the journal or are to be written: from them alone a file
//! is written anew.

use super::{Recovered, record};
use bellsill_core::interface::MessageId;
use std::collections::BTreeMap;

#[derive(Default)]
struct Entry {
    /// Its place among all entries: that of the message when it was taken.
    order: u64,
    bytes: Vec<u8>,
}

#[derive(Default)]
pub struct LiveRecords {
    entries: BTreeMap<MessageId, Entry>,
    next_order: u64,
    total: u64,
}

impl LiveRecords {
    pub fn of(kept: &Recovered) -> LiveRecords {
        let mut live = LiveRecords::default();
        kept.messages
            .iter()
            .for_each(|message| live.put(message.id, record::message(message)));
        kept.pending_notifications
            .iter()
            .for_each(|&(id, ending)| live.put(id, record::ended(id, Some(ending))));
        live
    }

    pub fn contains(&self, id: MessageId) -> bool {
        self.entries.contains_key(&id)
    }

    /// How many bytes they are.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// The records of a message, in place of any that it had.
    pub fn put(&mut self, id: MessageId, bytes: Vec<u8>) {
        self.remove(id);
        self.total += bytes.len() as u64;
        self.entries.insert(
            id,
            Entry {
                order: self.next_order,
                bytes,
            },
        );
        self.next_order += 1;
    }

    /// One more record of a message that has some.
    pub fn extend(&mut self, id: MessageId, bytes: &[u8]) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.bytes.extend(bytes);
            self.total += bytes.len() as u64;
        }
    }

    pub fn remove(&mut self, id: MessageId) {
        self.total -= self
            .entries
            .remove(&id)
            .map_or(0, |entry| entry.bytes.len() as u64);
    }

    pub fn append(&mut self, other: LiveRecords) {
        let mut entries: Vec<(MessageId, Entry)> = other.entries.into_iter().collect();
        entries.sort_by_key(|(_, entry)| entry.order);
        entries
            .into_iter()
            .for_each(|(id, entry)| self.put(id, entry.bytes));
    }

    /// All of them, in order.
    pub fn bytes(&self) -> Vec<u8> {
        let mut entries: Vec<&Entry> = self.entries.values().collect();
        entries.sort_by_key(|entry| entry.order);
        entries
            .into_iter()
            .flat_map(|entry| entry.bytes.iter().copied())
            .collect()
    }
}
