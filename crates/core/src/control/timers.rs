//! Timers: when a decision may change though no event comes.

use super::retries;
use crate::interface::{Actions, Nanos};
use crate::state::Dispatcher;
use crate::state::attempts::Attempt;
use crate::state::queues::{MessageGroup, WaitingQueue};
use std::collections::BTreeSet;

/// The soonest of the times noted that are still to come.
struct Soonest {
    now: Nanos,
    at: Option<Nanos>,
}

impl Soonest {
    fn note(&mut self, time: Nanos) {
        if time > self.now {
            self.at = Some(self.at.map_or(time, |at| at.min(time)));
        }
    }
}

impl Dispatcher {
    /// Requests a wakeup, if it is sooner than the one that was requested.
    pub(super) fn request_wakeup(&mut self, actions: &mut impl Actions) {
        let Some(at) = self.next_wakeup() else { return };
        if self.wakeup_at.is_none_or(|requested| at < requested) {
            self.wakeup_at = Some(at);
            actions.schedule_wakeup(at - self.now);
        }
    }

    fn next_wakeup(&self) -> Option<Nanos> {
        let mut soonest = Soonest {
            now: self.now,
            at: None,
        };
        if let Some(at) = self.watch_request.at {
            soonest.note(at);
        }
        self.in_flight
            .iter()
            .for_each(|attempt| self.note_attempt(attempt, &mut soonest));
        for (group, queue) in self.waiting.iter() {
            let Some(first) = queue.first() else { continue };
            let margin = retries::deadline_margin(&self.settings);
            soonest.note(first.deadline - margin.min(first.deadline));
            if self.has_capacity() {
                self.note_eligibility(group, queue, &mut soonest);
            }
        }
        soonest.at
    }

    /// Notes when an attempt is silent, overdue, and later than its message's lifetime.
    fn note_attempt(&self, attempt: &Attempt, soonest: &mut Soonest) {
        let silent_at = self.answer_times.silent_at(&self.routes, attempt);
        soonest.note(silent_at);
        soonest.note(2 * silent_at - attempt.sent_at);
        let message = &self.messages[&attempt.message];
        if !message.state.ended() {
            soonest.note(message.deadline);
        }
    }

    /// Notes when a queue has an eligible route, and when the keys of its messages let them be
    /// sent.
    fn note_eligibility(&self, group: &MessageGroup, queue: &WaitingQueue, soonest: &mut Soonest) {
        let Some(message) = queue.first().map(|entry| &self.messages[&entry.id]) else {
            return;
        };
        let most = if self.settings.classes[group.class].ordered {
            queue.len()
        } else {
            1
        };
        let ready_times: BTreeSet<Nanos> = queue
            .iter()
            .take(most)
            .filter_map(|entry| self.key_ready_at(entry.id))
            .collect();
        for &route in self.routes.of(group.destination) {
            if let Some(eligible_at) = self.eligible_at(route, message) {
                let eligible_at = eligible_at.max(self.no_capacity_until);
                ready_times
                    .iter()
                    .for_each(|&ready_at| soonest.note(eligible_at.max(ready_at)));
            }
        }
    }
}
