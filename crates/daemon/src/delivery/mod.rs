//! Pending messages and all that carries them: what the decisions order is done here, by connections, timers and the message
//! journal. Nothing here decides, and no action calls the decisions before it returns.

use crate::connection::ConnectionTable;
use crate::delivery::message::{DeliveryState, MessageSlot, PendingMessage};
use crate::discovery::{Discovery, WatchIo, WatchTimer};
use crate::endpoint::Endpoints;
use crate::journal::{JournaledMessage, MessageJournal, Resolution};
use crate::notification::Notifications;
use crate::recent_ids::RecentIds;
use crate::slot_table::SlotTable;
use crate::timer::Timer;
use crate::timer_queue::TimerQueue;
use bellsill_core::interface::{AttemptEnd, MessageId, Nanos};
use std::collections::{BTreeMap, VecDeque};

mod actions;
pub(crate) mod admission;
mod attempts;
pub(crate) mod message;
mod recovery;

/// Between two tries of a journal that cannot be written.
const JOURNAL_RETRY_INTERVAL: Nanos = 50_000_000;

/// Everything but the decisions.
pub struct Runtime {
    pub now: Nanos,
    pub connections: ConnectionTable,
    pub deadlines: TimerQueue<Timer>,
    pub messages: SlotTable<MessageSlot, PendingMessage>,
    pub by_id: BTreeMap<MessageId, MessageSlot>,
    /// How many messages are held for each destination.
    pub pending_by_destination: BTreeMap<u64, usize>,
    pub endpoints: Endpoints,
    pub discovery: Discovery,
    pub notifications: Notifications,
    pub journal: MessageJournal,
    /// Outcomes that the decisions have not been told.
    pub attempt_ends: VecDeque<AttemptEnd>,
    pub class_names: Vec<String>,
    pub connect_timeout: Nanos,
    pub keep_alive: Nanos,
    /// Answers may tell limits, as the settings say.
    pub reports_limits: bool,
    /// A report that cannot be read has been said.
    pub invalid_report_logged: bool,
    /// What operators are shown.
    pub metrics: crate::admin::Metrics,
    /// The endpoints taken out by hand, by their ids in the list; kept in the folder that lasts.
    pub disabled: std::collections::BTreeSet<String>,
    /// Messages that have ended of late.
    pub recently_ended: RecentIds,
}

impl Runtime {
    /// The watch, and what it works with.
    pub fn watch(&mut self) -> (&mut Discovery, WatchIo<'_, Timer>) {
        let io = WatchIo {
            now: self.now,
            connections: &mut self.connections,
            deadlines: &mut self.deadlines,
        };
        (&mut self.discovery, io)
    }

    /// A deadline of the watch has come.
    pub fn watch_timer(&mut self, timer: WatchTimer) {
        let (discovery, mut io) = self.watch();
        discovery.timer_fired(&mut io, timer);
    }

    /// The row of a class by its name.
    pub fn class_of(&self, name: &str) -> Option<usize> {
        self.class_names.iter().position(|c| c == name)
    }

    /// Holds a message that the journal knows.
    pub fn insert(&mut self, message: JournaledMessage) {
        let attempts = message.attempts.len() as u32;
        let class = self.class_of(&message.class);
        let slot = self.messages.insert(|_| PendingMessage {
            id: message.id,
            destination: message.destination,
            deadline: message.deadline,
            class,
            idempotency_key: message.idempotency_key,
            body: message.body,
            state: DeliveryState::Waiting,
            attempts,
            attempt: None,
        });
        self.by_id.insert(message.id, slot);
        *self
            .pending_by_destination
            .entry(message.destination)
            .or_default() += 1;
    }

    /// A message for a destination is held no longer.
    pub(crate) fn release(&mut self, destination: u64) {
        let Some(held) = self.pending_by_destination.get_mut(&destination) else {
            return;
        };
        *held -= 1;
        if *held == 0 {
            self.pending_by_destination.remove(&destination);
        }
    }

    /// Has the journal try again while it is behind.
    pub fn watch_journal(&mut self) {
        if self.journal.has_unwritten() {
            self.deadlines
                .set_if_unset(Timer::JournalRetry, self.now + JOURNAL_RETRY_INTERVAL);
        } else {
            self.notifications.recorded();
        }
    }

    /// The journal tries again.
    pub fn retry_journal(&mut self) {
        // Whether it went shows when it is looked at again.
        let _ = self.journal.write_pending();
    }

    /// The only place where a message changes its stage: keeps the journal, the notifications owed and the tables true.
    pub fn transition(&mut self, slot: MessageSlot, to: DeliveryState) {
        let Some(message) = self.messages.get_mut(slot) else {
            return;
        };
        let (id, due, from) = (
            message.id,
            message.deadline,
            std::mem::replace(&mut message.state, to),
        );
        if to.is_final() && !from.is_final() {
            let ending = match to {
                DeliveryState::Rejected { retry_after } => {
                    Some(Resolution::Rejected { retry_after })
                }
                DeliveryState::Failed => Some(Resolution::Failed),
                _ => None,
            };
            let counted = match to {
                DeliveryState::Delivered => Some(crate::admin::COMPLETED),
                DeliveryState::Rejected { .. } => Some(crate::admin::REJECTED),
                DeliveryState::Failed => Some(crate::admin::FAILED),
                _ => None,
            };
            if let (Some(class), Some(end)) = (message.class, counted) {
                self.metrics.count(class, end);
            }
            message.body = Vec::new();
            // A notice that went ahead of its record would be forgotten by a kill, and the message sent after it.
            let recorded = self.journal.append_resolved(id, ending).is_ok();
            match ending {
                Some(ending) if recorded => self.notifications.enqueue(id, ending),
                Some(ending) => self.notifications.enqueue_once_recorded(id, ending, due),
                None => {}
            }
        }
        if to.is_final() && self.messages.get(slot).is_some_and(|m| m.attempt.is_none()) {
            self.messages
                .remove(slot)
                .into_iter()
                .for_each(|gone| self.release(gone.destination));
            self.by_id.remove(&id);
            self.recently_ended.note(self.now, id);
        }
    }
}
