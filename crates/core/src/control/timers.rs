//! Timers: when a decision may change though no event comes.

use super::*;

impl Dispatcher {
    /// Requests a wake, if it is sooner than the one that was requested.
    pub(super) fn request_wake(&mut self, out: &mut impl Actions) {
        let at = self.next_wake();
        if at < self.wake_at {
            self.wake_at = at;
            out.schedule_wakeup(at - self.now);
        }
    }

    fn next_wake(&self) -> Nanos {
        let mut at = NEVER;
        let mut note = |time: Nanos| at = if time > self.now { at.min(time) } else { at };
        note(self.watch_request_at);
        self.in_flight
            .iter()
            .for_each(|attempt| self.note_attempt(attempt, &mut note));
        for (group, queue) in self.waiting.iter() {
            let Some(first) = queue.first() else { continue };
            note(first.deadline - self.deadline_margin().min(first.deadline));
            if self.has_free_slot() {
                self.note_eligibility(group, queue, &mut note);
            }
        }
        at
    }

    /// Notes when an attempt is silent, overdue, and later than its message's lifetime.
    fn note_attempt(&self, attempt: &Attempt, note: &mut impl FnMut(Nanos)) {
        let silent_at = self.silent_at(attempt);
        note(silent_at);
        note(2 * silent_at - attempt.sent_at);
        let message = &self.messages[&attempt.message];
        if !message.stage.ended() {
            note(message.deadline);
        }
    }

    /// Notes when a queue has an eligible route, and when the keys of its messages let them be sent.
    fn note_eligibility(
        &self,
        group: &MessageGroup,
        queue: &WaitingQueue,
        note: &mut impl FnMut(Nanos),
    ) {
        let Some(message) = queue.first().map(|entry| &self.messages[&entry.id]) else {
            return;
        };
        let most = if self.settings.classes[group.class].ordered {
            queue.len()
        } else {
            1
        };
        let turns: BTreeSet<Nanos> = queue
            .iter()
            .take(most)
            .map(|entry| self.turn_at(entry.id))
            .collect();
        for &route in self.routes.of(group.destination) {
            let eligible_at = self.eligible_at(route, message).max(self.no_slot_until);
            turns.iter().for_each(|&turn| note(eligible_at.max(turn)));
        }
    }
}
