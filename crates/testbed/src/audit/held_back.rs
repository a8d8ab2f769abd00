//! A message without further possible attempts is rejected or failed promptly, not only at the end of its lifetime.

use super::state::{Auditor, Ending};
use super::verdict::Rule;
use bellsill_core::interface::{DeliverySemantics, MessageId, Nanos};

impl Auditor {
    /// Records the time from which no further attempt of a message is possible.
    pub(super) fn note_exhausted(&mut self, at: Nanos, id: MessageId) {
        let Some(message) = self
            .messages
            .get_mut(&id)
            .filter(|m| m.ending.is_none() && m.in_flight.is_none())
        else {
            return;
        };
        let class = &self.settings.classes[message.submission.class];
        let forbidden = class.semantics == DeliverySemantics::AtMostOnce
            && !message.possible_effects.is_empty();
        if forbidden || message.attempts >= self.settings.max_attempts {
            message.exhausted_since.get_or_insert(at);
        }
    }

    /// Checks a message that was just rejected or failed.
    pub(super) fn check_held_back(&mut self, at: Nanos, id: MessageId, ending: Ending) {
        let Some(message) = self.messages.get(&id).filter(|m| !m.abandoned) else {
            return;
        };
        let (deadline, dispatcher) = (message.submission.deadline, message.submission.dispatcher);
        let Some(exhausted_since) = message.exhausted_since else {
            return;
        };
        // Downtime of the dispatcher does not count as a delay.
        let state = self.dispatcher(dispatcher);
        let from = if state.stopped_at.is_some_and(|s| s >= exhausted_since) {
            state.ready_since.unwrap_or(at)
        } else {
            exhausted_since
        };
        if at > from + self.settings.slack.exhausted {
            let held = (at - from) as f64 / 1e9;
            let left = deadline as f64 / 1e9 - at as f64 / 1e9;
            let evidence = format!(
                "could go nowhere any more for {held:.3} s before it was {ending}, {left:.3} s before its due"
            );
            self.report_violation(at, Rule::HeldBack, Some(id), evidence);
        }
    }
}
