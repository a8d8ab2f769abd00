//! State transitions of messages, with the updates of queues and counters that depend on them.

use super::Dispatcher;
use super::attempts::Attempt;
use super::messages::{Message, MessageState};
use crate::interface::{AttemptEnd, MessageId, NewMessage, Outcome, PossibleRun};

impl Dispatcher {
    /// Adds a newly accepted message in the waiting state.
    pub(crate) fn add_message(&mut self, new: NewMessage) {
        let key = new
            .key
            .filter(|_| self.settings.classes[new.class.0].ordered);
        if let Some(key) = key {
            self.keys.push(key, new.id);
        }
        let message = Message::waiting(new, key);
        self.waiting.insert(message.group(), message.entry());
        self.messages.insert(new.id, message);
    }

    /// Records an attempt that may have run, unless an earlier one is recorded.
    pub(crate) fn record_possible_run(&mut self, attempt: &Attempt, outcome: Outcome) {
        let Some(message) = self.messages.get_mut(&attempt.message) else {
            return;
        };
        if outcome.may_have_run() && message.possible_run.is_none() {
            message.possible_run = Some(PossibleRun {
                sent_at: attempt.sent_at,
                zone: self.routes[attempt.route].entry.zone,
            });
        }
    }

    /// Takes back the count of an attempt that was not started.
    pub(crate) fn revert_unstarted_attempt(&mut self, end: &AttemptEnd) {
        if let Some(message) = self
            .messages
            .get_mut(&end.message)
            .filter(|_| end.outcome == Outcome::NotStarted)
        {
            message.attempts -= 1;
        }
    }

    /// Changes the state of a message and updates the queues and counters. All state changes go
    /// through this method, to keep them consistent.
    pub(crate) fn transition(&mut self, id: MessageId, to: MessageState) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        let from = std::mem::replace(&mut message.state, to);
        if to == MessageState::Waiting {
            self.waiting.insert(message.group(), message.entry());
        } else if from == MessageState::Waiting {
            self.waiting.remove(message.group(), message.entry());
        }
        if to == MessageState::InFlight && from != to {
            message.attempts += 1;
        }
        if to.ended() {
            self.end(id, from);
        }
    }

    /// Removes an ended message from its key's queue, and drops it once it has no attempt in
    /// flight.
    fn end(&mut self, id: MessageId, from: MessageState) {
        let in_flight = self.in_flight.has_message(id);
        if !from.ended() {
            self.keys
                .remove(self.messages[&id].key, id, in_flight, self.now);
        }
        if !in_flight {
            self.messages.remove(&id);
        }
    }
}
