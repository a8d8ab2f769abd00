//! The decision logic of a dispatcher: which message to send next, over which route, and when to
//! give up on one. Every event handler takes the current time and an [`Actions`] that carries out
//! each decision immediately. The rationale is in `docs/design.md`.
//!
//! Rules that use a single part of the state are methods of that part, so that their signatures
//! show what they read and change; the methods of [`Dispatcher`] combine the parts.

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

use crate::interface::{Actions, AttemptEnd, MessageId, Nanos, NewMessage, Outcome, Settings};
use crate::state::messages::MessageState;

impl Dispatcher {
    /// Creates a dispatcher instance and schedules its first watch request.
    pub fn new(now: Nanos, settings: Settings) -> Self {
        let mut dispatcher = Self::with_latency(now, settings, timeouts::INITIAL_LATENCY_NANOS);
        dispatcher.schedule_watch_request();
        dispatcher
    }

    /// Handles messages that were accepted from clients or recovered from the journal.
    pub fn accept(
        &mut self,
        now: Nanos,
        new: impl IntoIterator<Item = NewMessage>,
        actions: &mut impl Actions,
    ) {
        self.now = now;
        new.into_iter()
            .for_each(|message| self.accept_one(message, actions));
        self.decide(actions);
    }

    fn accept_one(&mut self, new: NewMessage, actions: &mut impl Actions) {
        self.add_message(new);
        if !retries::may_retry(&self.settings, self.now, &self.messages[&new.id]) {
            // An earlier process used up its attempts or its lifetime.
            self.give_up(new.id, actions);
        }
    }

    /// Handles the outcome of an attempt.
    pub fn attempt_ended(&mut self, now: Nanos, end: AttemptEnd, actions: &mut impl Actions) {
        self.now = now;
        let Some(attempt) = self.in_flight.remove(end.message, end.number) else {
            return;
        };
        if !self.messages.contains_key(&end.message) {
            return;
        }
        self.record_possible_run(&attempt, end.outcome);
        // A call counts as one observation, made when its last answer arrives. A Retry-After
        // applies as soon as the first answer reports it.
        let call_ended = self
            .in_flight
            .count_calls(|other| other.call == attempt.call)
            == 0;
        if call_ended || matches!(end.outcome, Outcome::RateLimited { .. }) {
            self.observe(attempt, &end, actions);
        }
        self.revert_unstarted_attempt(&end);
        let message = &self.messages[&end.message];
        self.keys.cool_down(&self.settings, now, message, &end);
        self.continue_message(&end, actions);
        self.decide(actions);
        if self.avoids_idle_connections(attempt.route) {
            actions.close_idle_connections(self.routes[attempt.route].entry.endpoint);
        }
    }

    /// Handles the wakeup requested with [`Actions::schedule_wakeup`].
    pub fn wakeup(&mut self, now: Nanos, actions: &mut impl Actions) {
        self.now = now;
        // A wakeup may fire slightly early. If `wakeup_at` were kept as still pending, no further
        // wakeup would be requested.
        let due_by = now + self.settings.clock_resolution;
        self.wakeup_at = self.wakeup_at.filter(|&at| at > due_by);
        self.decide(actions);
    }

    /// Handles a client's withdrawal of a message: no final answer is due any more.
    pub fn message_withdrawn(
        &mut self,
        now: Nanos,
        message: MessageId,
        actions: &mut impl Actions,
    ) {
        self.now = now;
        if self
            .messages
            .get(&message)
            .is_some_and(|pending| !pending.state.ended())
        {
            self.transition(message, MessageState::Done);
        }
        self.decide(actions);
    }

    /// Re-evaluates every decision that the latest event may have changed.
    fn decide(&mut self, actions: &mut impl Actions) {
        if self.watch_request.at.is_some_and(|at| self.now >= at) {
            self.watch_request.at = None;
            actions.request_watch();
        }
        self.detect_silence(actions);
        self.expire_overdue(actions);
        self.send_all(actions);
        if !self.settings.caller_admission {
            self.shed_excess_messages(actions);
        }
        self.cancel_overdue_call(actions);
        self.request_wakeup(actions);
    }
}
