//! The table of pending messages: by slot, by id and by destination, and the ids of those that ended recently.

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

    /// Removes a message that has ended; its id is remembered for a while.
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

    /// Remembers a message of an earlier process as ended.
    pub(super) fn note_ended(&mut self, now: Nanos, id: MessageId) {
        self.recently_ended.insert(now, id);
    }

    /// A message by its slot.
    pub(super) fn get(&self, slot: MessageSlot) -> Option<&PendingMessage> {
        self.table.get(slot)
    }

    /// A message by its slot.
    pub(super) fn get_mut(&mut self, slot: MessageSlot) -> Option<&mut PendingMessage> {
        self.table.get_mut(slot)
    }

    /// The attempt in flight of a message.
    pub(super) fn attempt(&self, slot: MessageSlot) -> Option<AttemptInFlight> {
        self.table.get(slot).and_then(|m| m.attempt)
    }

    /// The attempt in flight of a message.
    pub(super) fn attempt_mut(&mut self, slot: MessageSlot) -> Option<&mut AttemptInFlight> {
        self.table.get_mut(slot).and_then(|m| m.attempt.as_mut())
    }

    /// The slot of a pending message.
    pub(super) fn slot_of(&self, id: MessageId) -> Option<MessageSlot> {
        self.by_id.get(&id).copied()
    }

    /// Whether a message is pending or has ended recently.
    pub(super) fn is_known(&self, id: MessageId) -> bool {
        self.by_id.contains_key(&id) || self.recently_ended.contains(id)
    }

    /// Whether messages for the destination are pending.
    pub(super) fn has_destination(&self, destination: u64) -> bool {
        self.by_destination.contains_key(&destination)
    }

    /// How many messages are pending.
    pub(crate) fn len(&self) -> usize {
        self.table.len()
    }

    /// How many have an attempt in flight. It passes over all of them.
    pub(crate) fn in_flight(&self) -> usize {
        self.table
            .iter()
            .filter(|(_, m)| m.attempt.is_some())
            .count()
    }

    /// Whether any has an attempt in flight. It may pass over all of them.
    pub(crate) fn any_in_flight(&self) -> bool {
        self.table.iter().any(|(_, m)| m.attempt.is_some())
    }
}
