//! Routing: by which route a message goes, and which slots it may take.

use super::*;

/// The share of the slots that one destination may hold.
const DESTINATION_SLOT_SHARE: f64 = 0.35;
const LEAST_DESTINATION_SLOTS: usize = 2;

impl Dispatcher {
    /// Sends messages while slots are free.
    pub(super) fn send_all(&mut self, out: &mut impl Actions) {
        while self.has_free_slot() && self.now >= self.no_slot_until {
            let Some(id) = self.next_message() else {
                return;
            };
            let Some(route) = self.pick_route(id) else {
                return;
            };
            let batch = self.batch(id, route);
            self.calls += 1;
            batch.into_iter().for_each(|id| self.send(id, route, out));
        }
    }

    /// From when on a message may go by a route, as things stand; NEVER: not before another event.
    pub(super) fn eligible_at(&self, number: usize, message: &Message) -> Nanos {
        let route = &self.routes[number];
        let repeat = self.settings.classes[message.class].semantics;
        let zone_bound = matches!(
            repeat,
            DeliverySemantics::IdempotencyKey {
                scope: DeduplicationScope::Zone,
                ..
            }
        );
        let other_zone = message
            .possible_run
            .is_some_and(|run| run.zone != route.entry.zone);
        if !route.entry.serving || (zone_bound && other_zone) {
            return NEVER;
        }
        let limiter = self.routes.limiter(number);
        let paced_until = limiter.sent_at + limiter.pacing_interval;
        let at = route
            .suspended_until
            .max(paced_until)
            .max(self.spaced_until(number));
        if route.suspect {
            at.max(self.trial_at(number, repeat))
        } else {
            at
        }
    }

    pub(super) fn is_eligible(&self, route: usize, message: &Message) -> bool {
        self.eligible_at(route, message) <= self.now
    }

    /// Whether the first message of a queue, and so each of them, has an eligible route.
    pub(super) fn has_eligible_route(&self, queue: &WaitingQueue) -> bool {
        let Some(message) = queue.first().map(|entry| &self.messages[&entry.id]) else {
            return false;
        };
        let destination = message.destination;
        let share = (self.settings.max_in_flight as f64 * DESTINATION_SLOT_SHARE) as usize;
        let held = self
            .in_flight
            .count_calls(|o| self.routes[o.route].entry.destination == destination);
        held < share.max(LEAST_DESTINATION_SLOTS)
            && self
                .routes
                .of(destination)
                .iter()
                .any(|&route| self.is_eligible(route, message))
    }

    /// Picks each eligible route once a round, in random order; first the one that was used last and has no
    /// attempt in flight, for it may have an idle connection.
    fn pick_route(&mut self, id: MessageId) -> Option<usize> {
        let (message, destination) = (&self.messages[&id], self.messages[&id].destination);
        let routes = self.routes.of(destination).to_vec();
        let eligible = routes
            .iter()
            .map(|&route| self.is_eligible(route, message))
            .collect();
        let eligible = self.narrow_to_subset(&routes, eligible);
        let picked = self.routes.destination(destination)?.picked;
        let picked = if eligible[picked..].contains(&true) {
            picked
        } else {
            0
        };
        let left: Vec<usize> = (picked..routes.len())
            .filter(|&index| eligible[index])
            .collect();
        let free =
            |index: usize| Some(routes[index]).filter(|&route| !self.in_flight.has_route(route));
        let last_used = |&index: &usize| free(index).map(|route| self.routes[route].sent_at);
        let latest = left.iter().map(last_used).max()?;
        let best: Vec<usize> = left
            .into_iter()
            .filter(|index| last_used(index) == latest)
            .collect();
        let pick = best[self.random.range(0..best.len())];
        let destination = self.routes.destination_mut(destination);
        destination.routes.swap(picked, pick);
        destination.picked = picked + 1;
        Some(destination.routes[picked])
    }

    fn send(&mut self, id: MessageId, route: usize, out: &mut impl Actions) {
        let message = &self.messages[&id];
        let left = message.deadline - self.now - self.deadline_margin();
        let timeout = self.timeout(message, route).min(left);
        let fresh_connection = self.avoids_idle_connections(route);
        let endpoint = self.routes[route].entry.endpoint;
        if fresh_connection {
            out.close_idle_connections(endpoint);
        }
        self.record_send(id, route, fresh_connection);
        self.routes[route].jitter = self.random.range(0.5..1.5);
        self.transition(id, Stage::InFlight, out);
        out.send_attempt(id, endpoint, timeout);
    }

    /// Cancels one overdue call if a message waits for a slot. An at-most-once message may be bounced early.
    pub(super) fn free_slot(&mut self, out: &mut impl Actions) {
        if self.has_free_slot() || self.in_flight.iter().any(|attempt| attempt.cancelled) {
            return;
        }
        let overdue = |attempt: &Attempt| self.is_overdue(attempt);
        let call = self
            .in_flight
            .calls()
            .find(|call| call.iter().all(overdue))
            .map(|call| call[0].call);
        let Some(call) = call else { return };
        let has_turn =
            |queue: &WaitingQueue| queue.iter().any(|entry| self.turn_at(entry.id) <= self.now);
        if self
            .waiting
            .iter()
            .any(|(_, queue)| self.has_eligible_route(queue) && has_turn(queue))
        {
            let cancelled = self.in_flight.cancel(call);
            cancelled
                .into_iter()
                .for_each(|attempt| out.cancel_attempt(attempt.message, attempt.number));
        }
    }

    fn is_overdue(&self, attempt: &Attempt) -> bool {
        let message = &self.messages[&attempt.message];
        let repeatable = self.is_repeatable(message, Some(attempt.sent_at), self.now);
        let patience =
            self.silent_after(attempt.route, attempt.class) * if repeatable { 1 } else { 2 };
        let route = &self.routes[attempt.route];
        let expected = !route.suspect && route.answered_at <= attempt.sent_at;
        !expected && self.now >= attempt.sent_at + patience
    }
}
