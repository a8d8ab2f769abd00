//! Retries: whether a message goes again, when it is given up, and with which final answer.

use super::*;

/// How many ticks before the end of its lifetime a message is given up.
const DEADLINE_MARGIN_TICKS: Nanos = 2;
/// For so long a dispatcher may be held up between reading its clock and writing: a repeat that begins later than this
/// before the end of its window may come after it. Its cost: the last repeats of short windows.
const LONGEST_HOLD_UP: Nanos = 150 * MS;

impl Dispatcher {
    pub(super) fn deadline_margin(&self) -> Nanos {
        DEADLINE_MARGIN_TICKS * self.facts.tick
    }

    /// Whether attempts, lifetime and deduplication window allow one more attempt.
    pub(super) fn may_retry(&self, message: &Message) -> bool {
        message.attempts < self.facts.max_attempts
            && self.now + self.deadline_margin() < message.due
            && self.is_repeatable(message, None, self.now)
    }

    /// Whether the attempts made, and one sent at `then` that may have run, allow one more that begins now.
    pub(super) fn is_repeatable(&self, message: &Message, then: Option<Nanos>, now: Nanos) -> bool {
        let ran_at = message.ran.map(|(at, _)| at).or(then);
        match (ran_at, self.facts.classes[message.class].repeat) {
            (None, _) | (_, Repeat::Idempotent) => true,
            (Some(at), Repeat::Deduplicated { window, .. }) => {
                now + self.facts.tick + LONGEST_HOLD_UP < at + window
            }
            (Some(_), Repeat::AtMostOnce) => false,
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
            Outcome::TimedOut | Outcome::Reset | Outcome::CalledOff
        ) {
            queue.cooldown_until = self.now + self.facts.key_cooldown + self.facts.tick;
        }
    }

    /// Decides what becomes of a message after an attempt.
    pub(super) fn continue_message(&mut self, end: &AttemptEnd, out: &mut impl Outlet) {
        let message = &self.messages[&end.message];
        let done = end.over || end.outcome == Outcome::Relayed;
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
    pub(super) fn give_up(&mut self, id: MessageId, out: &mut impl Outlet) {
        let message = &self.messages[&id];
        let safe = match (message.ran, self.facts.classes[message.class].repeat) {
            (None, _) | (_, Repeat::Idempotent) => true,
            (
                Some((at, _)),
                Repeat::Deduplicated {
                    window,
                    same_zone: false,
                },
            ) => message.due <= at + window,
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
            .min(self.facts.max_retry_after)
    }

    /// Gives up the messages that can no longer be delivered.
    pub(super) fn expire_overdue(&mut self, out: &mut impl Outlet) {
        let in_flight = self
            .in_flight
            .iter()
            .map(|attempt| &self.messages[&attempt.message]);
        let late = in_flight.filter(|held| held.stage == Stage::InFlight && self.now >= held.due);
        let mut overdue: BTreeSet<MessageId> = late.map(|message| message.id).collect();
        for (group, queue) in self.waiting.iter() {
            // A queue ends in the order of its entries, unless windows or keys distinguish its messages.
            let check_all = group.ran_in.is_some() || self.facts.classes[group.class].ordered;
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
        let patience = self.facts.classes[message.class].target_delay;
        let Some((at, zone)) = message.ran.filter(|_| queued > 1) else {
            return false;
        };
        let sound =
            |route: &Route| route.entry.zone == zone && route.entry.serving && !route.suspect;
        let mut routes = self
            .routes
            .of(message.destination)
            .iter()
            .map(|&route| &self.routes[route]);
        self.now >= at + patience && !routes.any(sound)
    }
}
