//! Recovery: messages of an earlier process are handed to the decisions with their history.

use crate::delivery::message::DeliveryState;
use crate::event_loop::Daemon;
use crate::journal::JournaledMessage;
use crate::journal::Recovered;

impl Daemon {
    /// Messages go back to the decisions with their past; notifications are owed until they are answered.
    pub(crate) fn recover(&mut self, kept: Recovered) {
        for id in self.runtime.journal.take_resolved() {
            self.runtime.recently_ended.note(self.runtime.now, id);
        }
        for (id, ending) in kept.pending_notifications {
            self.runtime.notifications.enqueue(id, ending);
        }
        // One met twice, in two journals, is taken once.
        let mut kept = Recovered {
            pending_notifications: Vec::new(),
            ..kept
        };
        kept.messages
            .retain(|m| !self.runtime.by_id.contains_key(&m.id));
        for message in &kept.messages {
            self.runtime.insert(message.clone());
        }
        for message in &kept.messages {
            if self.look_up(message.destination).is_err() {
                log::warn!(
                    "destination {} cannot be looked up: every cache entry is in use",
                    message.destination
                );
            }
        }
        let known = |m: &JournaledMessage| self.runtime.class_of(&m.class).is_some();
        let (known, unknown): (Vec<_>, Vec<_>) = kept.messages.into_iter().partition(known);
        for message in unknown {
            if let Some(&slot) = self.runtime.by_id.get(&message.id) {
                log::warn!(
                    "message {:016x}: its queue class is not configured any more",
                    message.id.0
                );
                self.runtime.transition(slot, DeliveryState::Failed);
            }
        }
        if !known.is_empty() {
            self.decide_on(&known);
        }
    }
}
