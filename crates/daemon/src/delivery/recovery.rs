//! Recovery: passes the messages of earlier processes, with their attempts, to the decision logic.

use super::coordinator::Delivery;
use super::message::DeliveryState;
use crate::journal::Recovered;
use crate::timer::{SHARED_STATE_CHECK_INTERVAL, UNSHARED_STATE_CHECK_INTERVAL};
use bellsill_core::interface::Nanos;

/// Whether every journal of other processes in the state directory has been adopted.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdoptionStatus {
    /// No journal is left to adopt, until another process shares the state directory.
    Complete,
    /// A journal is left to adopt later: another process still holds it, or its adoption failed or is unfinished.
    Incomplete,
}

impl AdoptionStatus {
    /// Converts the flag reported by the journal.
    pub(crate) fn from_incomplete(is_incomplete: bool) -> AdoptionStatus {
        if is_incomplete {
            AdoptionStatus::Incomplete
        } else {
            AdoptionStatus::Complete
        }
    }

    /// The time after which the state directory has to be checked again. Another process may share it at any time, and
    /// end before this one.
    pub(crate) fn check_interval(self) -> Nanos {
        match self {
            AdoptionStatus::Complete => UNSHARED_STATE_CHECK_INTERVAL,
            AdoptionStatus::Incomplete => SHARED_STATE_CHECK_INTERVAL,
        }
    }
}

impl Delivery {
    /// Adopts the journals that other processes left in the state directory, unless this one is about to end: then the
    /// next process adopts them together with its own.
    pub(crate) fn adopt_journals(&mut self) -> AdoptionStatus {
        if self.stopped {
            return AdoptionStatus::Complete;
        }
        let adopted = self.runtime.journal.adopt();
        self.recover(adopted.recovered);
        AdoptionStatus::from_incomplete(adopted.is_incomplete)
    }

    /// Takes over the contents of a journal: messages go to the decision logic, and notifications are sent until
    /// acknowledged.
    pub(crate) fn recover(&mut self, recovered: Recovered) {
        for id in self.runtime.journal.take_resolved() {
            self.runtime.messages.record_ended(self.runtime.now, id);
        }
        for (id, resolution) in recovered.pending_notifications {
            self.runtime.notifications.enqueue(id, resolution);
        }
        // Two journals can contain the same message.
        let mut messages = recovered.messages;
        messages.retain(|message| self.runtime.messages.slot_of(message.id).is_none());
        for message in &messages {
            self.insert(message.clone());
        }
        for message in &messages {
            self.look_up_for_pending(message.destination);
        }
        let (configured, unconfigured): (Vec<_>, Vec<_>) = messages
            .into_iter()
            .partition(|message| self.class_index(&message.class).is_some());
        for message in unconfigured {
            if let Some(slot) = self.runtime.messages.slot_of(message.id) {
                log::warn!(
                    "message {:016x}: failed, because its queue class is no longer configured",
                    message.id.0
                );
                self.runtime.transition(slot, DeliveryState::Failed);
            }
        }
        if !configured.is_empty() {
            self.dispatch(&configured);
        }
    }

    /// Requests a lookup of a destination that has pending messages.
    pub(super) fn look_up_for_pending(&mut self, destination: u64) {
        if self.look_up(destination).is_err() {
            log::warn!(
                "destination {destination}: cannot be looked up, because every cache entry is in use"
            );
        }
    }
}
