//! Recovery: messages of an earlier process are handed to the decisions with their history.

use super::coordinator::Delivery;
use super::message::DeliveryState;
use crate::journal::Recovered;

/// Whether another process that shares the state folder still holds a journal.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdoptionStatus {
    /// None does.
    Complete,
    /// One does, which may leave it later.
    Incomplete,
}

impl AdoptionStatus {
    /// What the journal reported.
    pub(crate) fn from_incomplete(is_incomplete: bool) -> AdoptionStatus {
        if is_incomplete {
            AdoptionStatus::Incomplete
        } else {
            AdoptionStatus::Complete
        }
    }
}

impl Delivery {
    /// Takes over the journals that other processes have left in the state folder.
    pub(crate) fn adopt_journals(&mut self) -> AdoptionStatus {
        let adopted = self.runtime.journal.adopt();
        self.recover(adopted.recovered);
        AdoptionStatus::from_incomplete(adopted.is_incomplete)
    }

    /// Takes over what a journal held: messages go to the decisions, and notifications are sent until acknowledged.
    pub(crate) fn recover(&mut self, recovered: Recovered) {
        for id in self.runtime.journal.take_resolved() {
            self.runtime.messages.note_ended(self.runtime.now, id);
        }
        for (id, resolution) in recovered.pending_notifications {
            self.runtime.notifications.enqueue(id, resolution);
        }
        // A message can be in two journals.
        let mut messages = recovered.messages;
        messages.retain(|message| self.runtime.messages.slot_of(message.id).is_none());
        for message in &messages {
            self.insert(message.clone());
        }
        for message in &messages {
            self.look_up_for_pending(message.destination);
        }
        let (known, unknown): (Vec<_>, Vec<_>) = messages
            .into_iter()
            .partition(|message| self.class_index(&message.class).is_some());
        for message in unknown {
            if let Some(slot) = self.runtime.messages.slot_of(message.id) {
                log::warn!(
                    "message {:016x}: its queue class is not configured any more",
                    message.id.0
                );
                self.runtime.transition(slot, DeliveryState::Failed);
            }
        }
        if !known.is_empty() {
            self.dispatch(&known);
        }
    }

    /// Has a destination looked up for which messages are pending.
    pub(super) fn look_up_for_pending(&mut self, destination: u64) {
        if self.look_up(destination).is_err() {
            log::warn!(
                "destination {destination} cannot be looked up: every cache entry is in use"
            );
        }
    }
}
