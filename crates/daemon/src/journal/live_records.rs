//! The records that still count, by message, as the journal's file has them or will have them. Compaction writes these
//! and no others.

use super::contents::Recovered;
use super::record;
use bellsill_core::interface::MessageId;
use std::collections::BTreeMap;

#[derive(Default)]
struct Entry {
    /// Its position among all entries: that of the message when it was accepted.
    order: u64,
    /// The encoded records of one message.
    bytes: Vec<u8>,
}

/// The live records of all messages, encoded.
#[derive(Default)]
pub(super) struct LiveRecords {
    entries: BTreeMap<MessageId, Entry>,
    next_order: u64,
    total_bytes: u64,
}

impl LiveRecords {
    /// The records that say what was recovered, and nothing else.
    pub(super) fn of(recovered: &Recovered) -> LiveRecords {
        let mut live = LiveRecords::default();
        for message in &recovered.messages {
            live.put(message.id, record::message(message));
        }
        for &(id, resolution) in &recovered.pending_notifications {
            live.put(id, record::resolved(id, Some(resolution)));
        }
        live
    }

    pub(super) fn contains(&self, id: MessageId) -> bool {
        self.entries.contains_key(&id)
    }

    /// The length of all of them.
    pub(super) fn total_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Sets the records of a message, in place of any that it had.
    pub(super) fn put(&mut self, id: MessageId, bytes: Vec<u8>) {
        self.remove(id);
        self.total_bytes += bytes.len() as u64;
        self.entries.insert(
            id,
            Entry {
                order: self.next_order,
                bytes,
            },
        );
        self.next_order += 1;
    }

    /// Adds a record to a message that has some.
    pub(super) fn extend(&mut self, id: MessageId, bytes: &[u8]) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.bytes.extend(bytes);
            self.total_bytes += bytes.len() as u64;
        }
    }

    pub(super) fn remove(&mut self, id: MessageId) {
        self.total_bytes -= self
            .entries
            .remove(&id)
            .map_or(0, |entry| entry.bytes.len() as u64);
    }

    /// Adds all records of another collection behind these, in their order.
    pub(super) fn append(&mut self, other: LiveRecords) {
        let mut entries: Vec<(MessageId, Entry)> = other.entries.into_iter().collect();
        entries.sort_by_key(|(_, entry)| entry.order);
        for (id, entry) in entries {
            self.put(id, entry.bytes);
        }
    }

    /// All of them, in order.
    pub(super) fn bytes(&self) -> Vec<u8> {
        let mut entries: Vec<&Entry> = self.entries.values().collect();
        entries.sort_by_key(|entry| entry.order);
        entries
            .into_iter()
            .flat_map(|entry| entry.bytes.iter().copied())
            .collect()
    }
}
