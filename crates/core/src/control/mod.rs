//! All decisions of a dispatcher: which message goes next, by which route, and when one is given up. Every
//! event comes with the clock and an [`Actions`] that acts at once. `docs/design.md` gives the reasons.

mod admission;
mod discovery;
mod idle_connections;
mod outcomes;
mod pacing;
mod ranking;
mod retries;
mod routing;
mod subset;
mod suspension;
mod suspicion;
mod timeouts;
mod timers;

pub use crate::state::Dispatcher;

use crate::interface::*;
use crate::state::{NEVER, attempts::*, idle_connections::*, messages::*, queues::*, routes::*};
use std::collections::BTreeSet;

const MS: Nanos = 1_000_000;

impl Dispatcher {
    /// Starts an instance.
    pub fn new(now: Nanos, settings: Settings) -> Self {
        let mut dispatcher = Self::with_latency(now, settings, timeouts::INITIAL_LATENCY);
        dispatcher.schedule_watch_request();
        dispatcher
    }

    /// Messages were accepted from clients, or found in the journal.
    pub fn accept(
        &mut self,
        now: Nanos,
        new: impl IntoIterator<Item = NewMessage>,
        out: &mut impl Actions,
    ) {
        self.now = now;
        new.into_iter()
            .for_each(|message| self.accept_one(message, out));
        self.decide(out);
    }

    fn accept_one(&mut self, new: NewMessage, out: &mut impl Actions) {
        self.hold(new);
        if !self.may_retry(&self.messages[&new.id]) {
            self.give_up(new.id, out); // A former process used up what it may have.
        }
    }

    /// An attempt has its outcome.
    pub fn attempt_ended(&mut self, now: Nanos, end: AttemptEnd, out: &mut impl Actions) {
        self.now = now;
        let Some(attempt) = self.in_flight.remove(end.message, end.number) else {
            return;
        };
        if !self.messages.contains_key(&end.message) {
            return;
        }
        self.record_possible_run(&attempt, end.outcome);
        // A call is one observation, made with its last answer; a retry-after binds from the first.
        let call_ended = self
            .in_flight
            .count_calls(|other| other.call == attempt.call)
            == 0;
        if call_ended || matches!(end.outcome, Outcome::RateLimited { .. }) {
            self.observe(attempt, &end, out);
        }
        self.discount(&end);
        self.cool_down_key(&end);
        self.continue_message(&end, out);
        self.decide(out);
        if self.avoids_idle_connections(attempt.route) {
            out.close_idle_connections(self.routes[attempt.route].entry.endpoint);
        }
    }

    /// The wake that was requested is due.
    pub fn wakeup(&mut self, now: Nanos, out: &mut impl Actions) {
        self.now = now;
        // A wake may come a little early; taken for a stale one its messages would be lost.
        if self.wake_at <= now + self.settings.clock_resolution {
            self.wake_at = NEVER;
        }
        self.decide(out);
    }

    /// The client wants no answer any more.
    pub fn message_withdrawn(&mut self, now: Nanos, message: MessageId, out: &mut impl Actions) {
        self.now = now;
        if self
            .messages
            .get(&message)
            .is_some_and(|held| !held.stage.ended())
        {
            self.transition(message, Stage::Done, out);
        }
        self.decide(out);
    }

    /// Takes every decision that the latest event may have changed.
    fn decide(&mut self, out: &mut impl Actions) {
        if self.now >= self.watch_request_at {
            self.watch_request_at = NEVER;
            out.request_watch();
        }
        self.detect_silence(out);
        self.expire_overdue(out);
        self.send_all(out);
        if !self.settings.caller_admission {
            self.make_room(out);
        }
        self.free_slot(out);
        self.request_wake(out);
    }
}
