//! Retries: whether a message goes again, when it is given up, and with which final answer.

use super::*;

/// How many ticks before the end of its lifetime a message is given up.
const DEADLINE_MARGIN_TICKS: Nanos = 2;
/// For so long a dispatcher may be held up between reading its clock and writing: a repeat that begins later than this
/// before the end of its window may come after it. Its cost: the last repeats of short windows.
const LONGEST_HOLD_UP: Nanos = 150 * MS;

impl Dispatcher {
    pub(super) fn deadline_margin(&self) -> Nanos {
        DEADLINE_MARGIN_TICKS * self.settings.clock_resolution
    }

    /// Whether attempts, lifetime and deduplication window allow one more attempt.
    pub(super) fn may_retry(&self, message: &Message) -> bool {
        message.attempts < self.settings.max_attempts
            && self.now + self.deadline_margin() < message.deadline
            && self.is_repeatable(message, None, self.now)
    }

    /// Whether the attempts made, and one sent at `then` that may have run, allow one more that begins now.
    pub(super) fn is_repeatable(&self, message: &Message, then: Option<Nanos>, now: Nanos) -> bool {
        let ran_at = message.possible_run.map(|run| run.sent_at).or(then);
        match (ran_at, self.settings.classes[message.class].semantics) {
            (None, _) | (_, DeliverySemantics::Idempotent) => true,
            (Some(at), DeliverySemantics::IdempotencyKey { window, .. }) => {
                now + self.settings.clock_resolution + LONGEST_HOLD_UP < at + window
            }
            (Some(_), DeliverySemantics::AtMostOnce) => false,
        }
    }

    /// After an attempt that may still be running the next message of its key waits.
    pub(super) fn cool_down_key(&mut self, end: &AttemptEnd) {
        let message = &self.messages[&end.message];
        let Some(queue) = self.keys.get_mut(message.key) else {
            return;
        };
        queue.unresolved -= u32::from(message.stage.ended());
        if matches!(
            end.outcome,
            Outcome::TimedOut | Outcome::ConnectionReset | Outcome::Cancelled
        ) {
            queue.cooldown_until =
                self.now + self.settings.key_cooldown + self.settings.clock_resolution;
        }
    }

    /// Decides what becomes of a message after an attempt.
    pub(super) fn continue_message(&mut self, end: &AttemptEnd, out: &mut impl Actions) {
        let message = &self.messages[&end.message];
        let done = end.message_ended || end.outcome == Outcome::Delivered;
        match message.stage {
            Stage::InFlight if done => self.transition(end.message, Stage::Done, out),
            Stage::InFlight if self.may_retry(message) => {
                self.transition(end.message, Stage::Waiting, out)
            }
            Stage::InFlight => self.give_up(end.message, out),
            stage => self.transition(end.message, stage, out),
        }
    }

    /// Gives the final answer: defers the message where its client may hand it in again, else bounces it.
    pub(super) fn give_up(&mut self, id: MessageId, out: &mut impl Actions) {
        let message = &self.messages[&id];
        let safe = match (
            message.possible_run,
            self.settings.classes[message.class].semantics,
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
        };
        let to = if safe && !self.in_flight.has_message(id) {
            Stage::Deferred
        } else {
            Stage::Bounced
        };
        self.transition(id, to, out);
    }

    /// The retry-after for a client: when a route of the destination opens again.
    pub(crate) fn retry_after(&self, id: MessageId) -> Nanos {
        let routes = self
            .routes
            .of(self.messages[&id].destination)
            .iter()
            .map(|&route| &self.routes[route]);
        let serving = routes.filter(|route| route.entry.serving);
        let soonest = serving
            .map(|route| route.suspended_until)
            .min()
            .unwrap_or(0);
        soonest
            .saturating_sub(self.now)
            .min(self.settings.max_retry_after.unwrap_or(0))
    }

    /// Gives up the messages that can no longer be delivered.
    pub(super) fn expire_overdue(&mut self, out: &mut impl Actions) {
        let in_flight = self
            .in_flight
            .iter()
            .map(|attempt| &self.messages[&attempt.message]);
        let late =
            in_flight.filter(|held| held.stage == Stage::InFlight && self.now >= held.deadline);
        let mut overdue: BTreeSet<MessageId> = late.map(|message| message.id).collect();
        for (group, queue) in self.waiting.iter() {
            // A queue ends in the order of its entries, unless windows or keys distinguish its messages.
            let check_all = group.ran_in.is_some() || self.settings.classes[group.class].ordered;
            for entry in queue {
                let message = &self.messages[&entry.id];
                if !self.may_retry(message) || self.blocks_key(message) {
                    overdue.insert(entry.id);
                } else if !check_all {
                    break;
                }
            }
        }
        overdue.into_iter().for_each(|id| self.give_up(id, out));
    }

    /// Whether a message that may have run holds up its key, its routes all suspect. It may be lost early.
    fn blocks_key(&self, message: &Message) -> bool {
        let queued = self
            .keys
            .get(message.key)
            .map_or(0, |queue| queue.messages.len());
        let patience = self.settings.classes[message.class].latency_objective;
        let Some(run) = message.possible_run.filter(|_| queued > 1) else {
            return false;
        };
        let sound =
            |route: &Route| route.entry.zone == run.zone && route.entry.serving && !route.suspect;
        let mut routes = self
            .routes
            .of(message.destination)
            .iter()
            .map(|&route| &self.routes[route]);
        self.now >= run.sent_at + patience && !routes.any(sound)
    }
}
