//! The transitions of a message between its stages, with the queues and counts that follow them.

use super::{Dispatcher, attempts::Attempt, messages::*};
use crate::interface::*;

impl Dispatcher {
    /// Holds a message that was accepted; it waits to be sent.
    pub(crate) fn hold(&mut self, new: NewMessage) {
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

    /// An attempt that was not begun is none.
    pub(crate) fn discount(&mut self, end: &AttemptEnd) {
        if let Some(message) = self
            .messages
            .get_mut(&end.message)
            .filter(|_| end.outcome == Outcome::NotStarted)
        {
            message.attempts -= 1;
        }
    }

    /// The only place where a message changes its stage: sends the final answers and keeps the counts.
    pub(crate) fn transition(&mut self, id: MessageId, to: Stage, out: &mut impl Actions) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        let from = std::mem::replace(&mut message.stage, to);
        if to == Stage::Waiting {
            self.waiting.insert(message.group(), message.entry());
        } else if from == Stage::Waiting {
            self.waiting.remove(message.group(), message.entry());
        }
        match to {
            Stage::InFlight if from != to => message.attempts += 1,
            Stage::Deferred if from != to => out.reject(id, self.retry_after(id)),
            Stage::Bounced if from != to => out.fail(id),
            _ => {}
        }
        if to.ended() {
            self.end(id, from);
        }
    }

    /// Drops a message that has ended, once no attempt of it is in flight.
    fn end(&mut self, id: MessageId, from: Stage) {
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
