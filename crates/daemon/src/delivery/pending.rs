//! The pending messages, indexed by slot, id and destination, and the ids of recently ended messages.

use super::message::{AttemptInFlight, PendingMessage};
use crate::message_slot::MessageSlot;
use crate::recent_ids::RecentIds;
use crate::slot_table::SlotTable;
use bellsill_core::interface::{MessageId, Nanos};
use std::collections::BTreeMap;

/// The pending messages of this process.
#[derive(Default)]
pub(crate) struct PendingMessages {
    table: SlotTable<MessageSlot, PendingMessage>,
    by_id: BTreeMap<MessageId, MessageSlot>,
    by_destination: BTreeMap<u64, usize>,
    recently_ended: RecentIds,
}

impl PendingMessages {
    /// Adds a message.
    pub(super) fn insert(&mut self, message: PendingMessage) {
        let (id, destination) = (message.id, message.destination);
        let slot = self.table.insert(|_| message);
        self.by_id.insert(id, slot);
        *self.by_destination.entry(destination).or_default() += 1;
    }

    /// Removes an ended message and keeps its id for a while to detect duplicates.
    pub(super) fn remove(&mut self, now: Nanos, slot: MessageSlot) {
        let Some(message) = self.table.remove(slot) else {
            return;
        };
        if let Some(count) = self.by_destination.get_mut(&message.destination) {
            *count -= 1;
            if *count == 0 {
                self.by_destination.remove(&message.destination);
            }
        }
        self.by_id.remove(&message.id);
        self.recently_ended.insert(now, message.id);
    }

    /// Records that a message of an earlier process has ended.
    pub(super) fn record_ended(&mut self, now: Nanos, id: MessageId) {
        self.recently_ended.insert(now, id);
    }

    /// Returns a message by its slot.
    pub(super) fn get(&self, slot: MessageSlot) -> Option<&PendingMessage> {
        self.table.get(slot)
    }

    /// Returns a message by its slot, mutably.
    pub(super) fn get_mut(&mut self, slot: MessageSlot) -> Option<&mut PendingMessage> {
        self.table.get_mut(slot)
    }

    /// Returns the attempt in flight of a message.
    pub(super) fn attempt(&self, slot: MessageSlot) -> Option<AttemptInFlight> {
        self.table.get(slot).and_then(|m| m.attempt)
    }

    /// Returns the attempt in flight of a message, mutably.
    pub(super) fn attempt_mut(&mut self, slot: MessageSlot) -> Option<&mut AttemptInFlight> {
        self.table.get_mut(slot).and_then(|m| m.attempt.as_mut())
    }

    /// Returns the slot of a pending message.
    pub(super) fn slot_of(&self, id: MessageId) -> Option<MessageSlot> {
        self.by_id.get(&id).copied()
    }

    /// Whether a message is pending or ended recently.
    pub(super) fn is_known(&self, id: MessageId) -> bool {
        self.by_id.contains_key(&id) || self.recently_ended.contains(id)
    }

    /// Whether any message for the destination is pending.
    pub(super) fn has_destination(&self, destination: u64) -> bool {
        self.by_destination.contains_key(&destination)
    }

    /// The number of pending messages.
    pub(crate) fn len(&self) -> usize {
        self.table.len()
    }

    /// The number of messages with an attempt in flight. Iterates over all pending messages.
    pub(crate) fn in_flight(&self) -> usize {
        self.table
            .iter()
            .filter(|(_, m)| m.attempt.is_some())
            .count()
    }

    /// Whether any message has an attempt in flight. Iterates over all pending messages in the worst case.
    pub(crate) fn any_in_flight(&self) -> bool {
        self.table.iter().any(|(_, m)| m.attempt.is_some())
    }
}
