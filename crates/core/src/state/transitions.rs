//! The transitions of a message between its states, with the queues and counts that follow them.

use super::Dispatcher;
use super::attempts::Attempt;
use super::messages::{Message, MessageState};
use crate::interface::{AttemptEnd, MessageId, NewMessage, Outcome, PossibleRun};

impl Dispatcher {
    /// Adds a message that was accepted; it waits to be sent.
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

    /// Records the first attempt of a message that may have run.
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

    /// An attempt that was not started does not count as one.
    pub(crate) fn uncount_unstarted(&mut self, end: &AttemptEnd) {
        if let Some(message) = self
            .messages
            .get_mut(&end.message)
            .filter(|_| end.outcome == Outcome::NotStarted)
        {
            message.attempts -= 1;
        }
    }

    /// The only place where a message changes its state: keeps the queues and counts in step with
    /// it.
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

    /// Drops a message that has ended, once no attempt of it is in flight.
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
