//! Timers: the next time at which a decision may change without an event.

use super::retries;
use crate::interface::{Actions, Nanos};
use crate::state::Dispatcher;
use crate::state::attempts::Attempt;
use crate::state::queues::{MessageGroup, WaitingQueue};
use std::collections::BTreeSet;

/// The earliest of the added times that is in the future.
struct EarliestTime {
    now: Nanos,
    at: Option<Nanos>,
}

impl EarliestTime {
    fn add(&mut self, time: Nanos) {
        if time > self.now {
            self.at = Some(self.at.map_or(time, |at| at.min(time)));
        }
    }
}

impl Dispatcher {
    /// Requests a wakeup if it is due earlier than the one already requested.
    pub(super) fn request_wakeup(&mut self, actions: &mut impl Actions) {
        let Some(at) = self.next_wakeup() else { return };
        if self.wakeup_at.is_none_or(|requested| at < requested) {
            self.wakeup_at = Some(at);
            actions.schedule_wakeup(at - self.now);
        }
    }

    fn next_wakeup(&self) -> Option<Nanos> {
        let mut earliest = EarliestTime {
            now: self.now,
            at: None,
        };
        if let Some(at) = self.watch_request.at {
            earliest.add(at);
        }
        self.in_flight
            .iter()
            .for_each(|attempt| self.add_attempt_times(attempt, &mut earliest));
        for (group, queue) in self.waiting.iter() {
            let Some(first) = queue.first() else { continue };
            let margin = retries::deadline_margin(&self.settings);
            earliest.add(first.deadline - margin.min(first.deadline));
            if self.has_capacity() {
                self.add_eligibility_times(group, queue, &mut earliest);
            }
        }
        earliest.at
    }

    /// Adds the times at which an attempt becomes silent and overdue, and its message's deadline.
    fn add_attempt_times(&self, attempt: &Attempt, earliest: &mut EarliestTime) {
        let silent_at = self.answer_times.silent_at(&self.routes, attempt);
        earliest.add(silent_at);
        earliest.add(2 * silent_at - attempt.sent_at);
        let message = &self.messages[&attempt.message];
        if !message.state.ended() {
            earliest.add(message.deadline);
        }
    }

    /// Adds the times at which a queue has an eligible route and the order of their keys allows its
    /// messages to be sent.
    fn add_eligibility_times(
        &self,
        group: &MessageGroup,
        queue: &WaitingQueue,
        earliest: &mut EarliestTime,
    ) {
        let Some(message) = queue.first().map(|entry| &self.messages[&entry.id]) else {
            return;
        };
        let max_checked = if self.settings.classes[group.class].ordered {
            queue.len()
        } else {
            1
        };
        let ready_times: BTreeSet<Nanos> = queue
            .iter()
            .take(max_checked)
            .filter_map(|entry| self.key_ready_at(entry.id))
            .collect();
        for &route in self.routes.of(group.destination) {
            if let Some(eligible_at) = self.eligible_at(route, message) {
                let eligible_at = eligible_at.max(self.no_capacity_until);
                ready_times
                    .iter()
                    .for_each(|&ready_at| earliest.add(eligible_at.max(ready_at)));
            }
        }
    }
}
