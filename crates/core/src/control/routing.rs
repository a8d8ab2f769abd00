//! Routing: which route a message is sent over, and how much of the in-flight capacity a
//! destination may use.

use super::retries;
use super::subset::restrict_to_subset;
use crate::interface::{Actions, DeduplicationScope, DeliverySemantics, MessageId, Nanos};
use crate::state::Dispatcher;
use crate::state::attempts::Attempt;
use crate::state::messages::{Message, MessageState};
use crate::state::queues::WaitingQueue;

/// The share of the in-flight capacity that one destination may use.
const DESTINATION_CAPACITY_SHARE: f64 = 0.35;
/// The number of calls that a destination may have in flight even if its share is smaller.
const MIN_DESTINATION_CALLS: usize = 2;

impl Dispatcher {
    /// Sends eligible messages while there is in-flight capacity.
    pub(super) fn send_all(&mut self, actions: &mut impl Actions) {
        while self.has_capacity() && self.now >= self.no_capacity_until {
            let Some(id) = self.next_message() else {
                return;
            };
            let Some(route) = self.pick_route(id) else {
                return;
            };
            let batch = self.batch(id, route);
            self.latest_call += 1;
            batch
                .into_iter()
                .for_each(|id| self.send(id, route, actions));
        }
    }

    /// The earliest time at which a message may be sent over a route, barring other events. `None`
    /// if only another event can make the route eligible.
    pub(super) fn eligible_at(&self, number: usize, message: &Message) -> Option<Nanos> {
        let route = &self.routes[number];
        let semantics = self.settings.classes[message.class].semantics;
        let zone_bound = matches!(
            semantics,
            DeliverySemantics::IdempotencyKey {
                scope: DeduplicationScope::Zone,
                ..
            }
        );
        let other_zone = message
            .possible_run
            .is_some_and(|run| run.zone != route.entry.zone);
        if !route.entry.serving || (zone_bound && other_zone) {
            return None;
        }
        let limiter = self.routes.limiter(number);
        let paced_until = limiter.last_sent_at + limiter.pacing_interval;
        let spaced_until = self.routes.spaced_until(&self.settings, self.now, number);
        let at = route.suspended_until.max(paced_until).max(spaced_until);
        if route.suspect {
            Some(at.max(self.half_open_trial_at(number, semantics)?))
        } else {
            Some(at)
        }
    }

    pub(super) fn is_eligible(&self, route: usize, message: &Message) -> bool {
        self.eligible_at(route, message)
            .is_some_and(|at| at <= self.now)
    }

    /// Whether the first message of a queue has an eligible route; the others of the queue are
    /// eligible for the same routes.
    pub(super) fn has_eligible_route(&self, queue: &WaitingQueue) -> bool {
        let Some(message) = queue.first().map(|entry| &self.messages[&entry.id]) else {
            return false;
        };
        let destination = message.destination;
        let share = (self.settings.max_in_flight as f64 * DESTINATION_CAPACITY_SHARE) as usize;
        let in_flight = self
            .in_flight
            .count_calls(|other| self.routes[other.route].entry.destination == destination);
        in_flight < share.max(MIN_DESTINATION_CALLS)
            && self
                .routes
                .of(destination)
                .iter()
                .any(|&route| self.is_eligible(route, message))
    }

    /// Picks a route so that each eligible one is used once per round. Among the routes left in the
    /// round, prefers the most recently used one without an attempt in flight, because it may have
    /// an idle connection; breaks ties at random.
    fn pick_route(&mut self, id: MessageId) -> Option<usize> {
        let (message, destination) = (&self.messages[&id], self.messages[&id].destination);
        let routes = self.routes.of(destination).to_vec();
        let eligible = routes
            .iter()
            .map(|&route| self.is_eligible(route, message))
            .collect();
        let eligible = restrict_to_subset(&self.settings, &self.routes, &routes, eligible);
        let picked = self.routes.destination(destination)?.picked;
        let picked = if eligible[picked..].contains(&true) {
            picked
        } else {
            0
        };
        let remaining: Vec<usize> = (picked..routes.len())
            .filter(|&index| eligible[index])
            .collect();
        let without_attempts =
            |index: usize| Some(routes[index]).filter(|&route| !self.in_flight.has_route(route));
        let last_used =
            |&index: &usize| without_attempts(index).map(|route| self.routes[route].last_sent_at);
        let latest = remaining.iter().map(last_used).max()?;
        let best: Vec<usize> = remaining
            .into_iter()
            .filter(|index| last_used(index) == latest)
            .collect();
        let pick = best[self.random.range(0..best.len())];
        let destination = self.routes.destination_mut(destination);
        destination.routes.swap(picked, pick);
        destination.picked = picked + 1;
        Some(destination.routes[picked])
    }

    fn send(&mut self, id: MessageId, route: usize, actions: &mut impl Actions) {
        let message = &self.messages[&id];
        let remaining = message.deadline - self.now - retries::deadline_margin(&self.settings);
        let timeout = self
            .answer_times
            .timeout(&self.settings, &self.routes, message, route)
            .min(remaining);
        let fresh_connection = self.avoids_idle_connections(route);
        let endpoint = self.routes[route].entry.endpoint;
        if fresh_connection {
            actions.close_idle_connections(endpoint);
        }
        self.record_send(id, route, fresh_connection);
        self.routes[route].jitter = self.random.range(0.5..1.5);
        self.transition(id, MessageState::InFlight);
        actions.send_attempt(id, endpoint, timeout);
    }

    /// Cancels one overdue call if a sendable message waits for in-flight capacity. Trade-off: an
    /// at-most-once message may fail early.
    pub(super) fn cancel_overdue_call(&mut self, actions: &mut impl Actions) {
        if self.has_capacity() || self.in_flight.iter().any(|attempt| attempt.cancelled) {
            return;
        }
        let overdue = |attempt: &Attempt| self.is_overdue(attempt);
        let call = self
            .in_flight
            .calls()
            .find(|call| call.iter().all(overdue))
            .map(|call| call[0].call);
        let Some(call) = call else { return };
        let has_ready_message =
            |queue: &WaitingQueue| queue.iter().any(|entry| self.is_key_ready(entry.id));
        if self
            .waiting
            .iter()
            .any(|(_, queue)| self.has_eligible_route(queue) && has_ready_message(queue))
        {
            let cancelled = self.in_flight.cancel(call);
            cancelled
                .into_iter()
                .for_each(|attempt| actions.cancel_attempt(attempt.message, attempt.number));
        }
    }

    /// Whether an attempt has been unanswered for unusually long while its route is suspect or has
    /// answered other attempts since. Attempts that cannot be repeated get twice the time.
    fn is_overdue(&self, attempt: &Attempt) -> bool {
        let message = &self.messages[&attempt.message];
        let repeatable =
            retries::is_repeatable(&self.settings, message, Some(attempt.sent_at), self.now);
        let silent_after =
            self.answer_times
                .silent_after(&self.routes, attempt.route, attempt.class);
        let max_wait = silent_after * if repeatable { 1 } else { 2 };
        let route = &self.routes[attempt.route];
        let answer_expected = !route.suspect && route.answered_at <= attempt.sent_at;
        !answer_expected && self.now >= attempt.sent_at + max_wait
    }
}
