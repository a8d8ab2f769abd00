//! The live records by message: those that are in the journal's file, or queued for it, and not obsolete. Compaction
//! writes exactly these.

use super::contents::Recovered;
use super::record;
use bellsill_core::interface::MessageId;
use std::collections::BTreeMap;

#[derive(Default)]
struct Entry {
    /// The sequence number of the insertion, which orders the entries in the compacted file.
    sequence: u64,
    /// The encoded records of one message.
    bytes: Vec<u8>,
}

/// The live records of all messages, encoded.
#[derive(Default)]
pub(super) struct LiveRecords {
    entries: BTreeMap<MessageId, Entry>,
    next_sequence: u64,
    total_bytes: u64,
}

impl LiveRecords {
    /// The records that encode this recovered state.
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

    /// Whether no message has live records.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether this message has live records.
    pub(super) fn contains(&self, id: MessageId) -> bool {
        self.entries.contains_key(&id)
    }

    /// The total length of the records.
    pub(super) fn total_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Sets the records of a message, replacing any earlier ones.
    pub(super) fn put(&mut self, id: MessageId, bytes: Vec<u8>) {
        self.remove(id);
        self.total_bytes += bytes.len() as u64;
        self.entries.insert(
            id,
            Entry {
                sequence: self.next_sequence,
                bytes,
            },
        );
        self.next_sequence += 1;
    }

    /// Adds a record to a message; ignored if the message has no live records.
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

    /// Appends all records of another collection, keeping their order.
    pub(super) fn append(&mut self, other: LiveRecords) {
        let mut entries: Vec<(MessageId, Entry)> = other.entries.into_iter().collect();
        entries.sort_by_key(|(_, entry)| entry.sequence);
        for (id, entry) in entries {
            self.put(id, entry.bytes);
        }
    }

    /// All records in order, encoded.
    pub(super) fn bytes(&self) -> Vec<u8> {
        let mut entries: Vec<&Entry> = self.entries.values().collect();
        entries.sort_by_key(|entry| entry.sequence);
        entries
            .into_iter()
            .flat_map(|entry| entry.bytes.iter().copied())
            .collect()
    }
}
