//! Retries: whether a message is sent again, when it is given up, and the final answer it gets.

use crate::interface::{
    Actions, AttemptEnd, DeduplicationScope, DeliverySemantics, DestinationId, MessageId, Nanos,
    Outcome, Settings,
};
use crate::state::Dispatcher;
use crate::state::keys::KeyQueues;
use crate::state::messages::{Message, MessageState};
use crate::state::routes::{Route, Routes};
use crate::units::MS;
use std::collections::BTreeSet;

/// How long before its deadline a message is given up, in steps of the caller's clock.
const DEADLINE_MARGIN_CLOCK_STEPS: u64 = 2;
/// The longest assumed stall of the process between reading its clock and writing. A retry that
/// starts less than this before the end of its deduplication window could arrive after it.
/// Trade-off: short windows lose their last retries.
const MAX_PROCESS_STALL: Nanos = 150 * MS;

/// How long before its deadline a message is given up.
pub(super) fn deadline_margin(settings: &Settings) -> Nanos {
    DEADLINE_MARGIN_CLOCK_STEPS * settings.clock_resolution
}

/// Whether the attempt limit, the lifetime and the deduplication window allow another attempt.
pub(super) fn may_retry(settings: &Settings, now: Nanos, message: &Message) -> bool {
    message.attempts < settings.max_attempts
        && now + deadline_margin(settings) < message.deadline
        && is_repeatable(settings, message, None, now)
}

/// Whether the delivery semantics allow an attempt that starts now, given the attempts that may
/// have run and the one in flight since `in_flight_since`, if any.
pub(super) fn is_repeatable(
    settings: &Settings,
    message: &Message,
    in_flight_since: Option<Nanos>,
    now: Nanos,
) -> bool {
    let first_run_at = message
        .possible_run
        .map(|run| run.sent_at)
        .or(in_flight_since);
    match (first_run_at, settings.classes[message.class].semantics) {
        (None, _) | (_, DeliverySemantics::Idempotent) => true,
        (Some(at), DeliverySemantics::IdempotencyKey { window, .. }) => {
            now + settings.clock_resolution + MAX_PROCESS_STALL < at + window
        }
        (Some(_), DeliverySemantics::AtMostOnce) => false,
    }
}

/// Whether the client may submit the message again, although it may have run.
fn may_resubmit(settings: &Settings, message: &Message) -> bool {
    match (
        message.possible_run,
        settings.classes[message.class].semantics,
    ) {
        (None, _) | (_, DeliverySemantics::Idempotent) => true,
        (
            Some(run),
            DeliverySemantics::IdempotencyKey {
                window,
                scope: DeduplicationScope::Destination,
            },
        ) => message.deadline <= run.sent_at + window,
        _ => false,
    }
}

impl KeyQueues {
    /// Delays the next message of a key after an attempt that the endpoint may still be processing.
    pub(super) fn cool_down(
        &mut self,
        settings: &Settings,
        now: Nanos,
        message: &Message,
        end: &AttemptEnd,
    ) {
        let Some(queue) = self.get_mut(message.key) else {
            return;
        };
        queue.unresolved -= u32::from(message.state.ended());
        if matches!(
            end.outcome,
            Outcome::TimedOut | Outcome::ConnectionReset | Outcome::Cancelled
        ) {
            queue.cooldown_until = now + settings.key_cooldown + settings.clock_resolution;
        }
    }
}

impl Routes {
    /// The Retry-After for a client: the time until a route of the destination is no longer
    /// suspended, up to the limit that clients respect.
    fn retry_after(&self, settings: &Settings, now: Nanos, destination: DestinationId) -> Nanos {
        let routes = self.of(destination).iter().map(|&route| &self[route]);
        let serving = routes.filter(|route| route.entry.serving);
        let earliest = serving
            .map(|route| route.suspended_until)
            .min()
            .unwrap_or(0);
        earliest
            .saturating_sub(now)
            .min(settings.max_retry_after.unwrap_or(0))
    }
}

impl Dispatcher {
    /// Decides how a message continues after an attempt: done, retried or given up.
    pub(super) fn continue_message(&mut self, end: &AttemptEnd, actions: &mut impl Actions) {
        let message = &self.messages[&end.message];
        let done = end.message_ended || end.outcome == Outcome::Delivered;
        match message.state {
            MessageState::InFlight if done => self.transition(end.message, MessageState::Done),
            MessageState::InFlight if may_retry(&self.settings, self.now, message) => {
                self.transition(end.message, MessageState::Waiting)
            }
            MessageState::InFlight => self.give_up(end.message, actions),
            state => self.transition(end.message, state),
        }
    }

    /// Gives the final answer: rejects the message if its client may submit it again, otherwise
    /// fails it.
    pub(super) fn give_up(&mut self, id: MessageId, actions: &mut impl Actions) {
        let message = &self.messages[&id];
        if may_resubmit(&self.settings, message) && !self.in_flight.has_message(id) {
            let destination = message.destination;
            let retry_after = self
                .routes
                .retry_after(&self.settings, self.now, destination);
            self.transition(id, MessageState::Rejected);
            actions.reject(id, retry_after);
        } else {
            self.transition(id, MessageState::Failed);
            actions.fail(id);
        }
    }

    /// Gives up the messages that may not be sent again, those in flight past their deadline, and
    /// those that block their key.
    pub(super) fn expire_overdue(&mut self, actions: &mut impl Actions) {
        let in_flight = self
            .in_flight
            .iter()
            .map(|attempt| &self.messages[&attempt.message]);
        let late = in_flight.filter(|message| {
            message.state == MessageState::InFlight && self.now >= message.deadline
        });
        let mut overdue: BTreeSet<MessageId> = late.map(|message| message.id).collect();
        for (group, queue) in self.waiting.iter() {
            // Messages expire in queue order, unless deduplication windows or ordering keys make
            // them differ.
            let check_all =
                group.possible_run_zone.is_some() || self.settings.classes[group.class].ordered;
            for entry in queue {
                let message = &self.messages[&entry.id];
                if !may_retry(&self.settings, self.now, message) || self.blocks_key(message) {
                    overdue.insert(entry.id);
                } else if !check_all {
                    break;
                }
            }
        }
        overdue.into_iter().for_each(|id| self.give_up(id, actions));
    }

    /// Whether a message that may have run blocks its key while no usable route is left in its
    /// zone. Trade-off: the message may be given up early.
    fn blocks_key(&self, message: &Message) -> bool {
        let queued = self
            .keys
            .get(message.key)
            .map_or(0, |queue| queue.messages.len());
        let max_wait = self.settings.classes[message.class].latency_objective;
        let Some(run) = message.possible_run.filter(|_| queued > 1) else {
            return false;
        };
        let usable =
            |route: &Route| route.entry.zone == run.zone && route.entry.serving && !route.suspect;
        let mut routes = self
            .routes
            .of(message.destination)
            .iter()
            .map(|&route| &self.routes[route]);
        self.now >= run.sent_at + max_wait && !routes.any(usable)
    }
}
