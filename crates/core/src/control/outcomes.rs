//! What the outcome of an attempt shows of its route.

use super::idle_connections::ConnectionObservation;
use super::suspension::DOWN_AFTER;
use crate::interface::{Actions, AttemptEnd, Nanos, Outcome, Settings};
use crate::state::Dispatcher;
use crate::state::attempts::Attempt;
use crate::state::routes::Route;

/// The weight of one outcome in a route's failure share.
const FAILURE_WEIGHT: f64 = 0.25;
/// The failure share above which a route is suspect.
const FAILURE_THRESHOLD: f64 = 0.4;
/// For how long nothing is sent after the caller had no capacity, contrary to the count here: in
/// steps of the caller's clock.
const NO_CAPACITY_CLOCK_STEPS: u64 = 10;

impl Route {
    /// Counts a failure in the failure share.
    fn count_failure(&mut self, weight: f64) {
        self.failure_share = self.failure_share * (1.0 - weight) + weight;
    }

    /// A connection was refused at once: the endpoint's connection table is full, or it is down.
    /// Only this route is suspended, not those that share its limiter.
    fn connection_refused(&mut self, settings: &Settings, now: Nanos) {
        self.suspend(settings, now, None);
        self.refused_connections += 1;
        // Each dispatcher of a large fleet uses a route seldom, so one refusal fewer is enough.
        let seldom_used = u32::from(self.fleet_factor(settings) > 1.0);
        if self.refused_connections + seldom_used >= DOWN_AFTER {
            self.eject(now);
        }
    }

    fn observe_failure(
        &mut self,
        settings: &Settings,
        now: Nanos,
        outcome: Outcome,
        actions: &mut impl Actions,
    ) {
        // Any route's answer may be garbled on the way; a route that garbles all exceeds the
        // threshold later.
        let garbled = outcome == Outcome::MalformedResponse;
        self.count_failure(if garbled {
            FAILURE_WEIGHT / 4.0
        } else {
            FAILURE_WEIGHT
        });
        let share = self.failure_share;
        // Each dispatcher of a large fleet uses a route seldom: one connection that timed out
        // counts as an outage.
        let down = outcome == Outcome::ConnectFailed && self.fleet_factor(settings) > 1.0;
        if (garbled || self.is_warm()) && share <= FAILURE_THRESHOLD && !down {
            return;
        }
        self.eject(now);
        self.warming_since = None;
        self.mark_suspect(now, &format!("failure share {share:.2}"), actions);
    }
}

impl Dispatcher {
    /// Draws the conclusions from one observation: the last outcome of a call, or a Retry-After.
    pub(super) fn observe(
        &mut self,
        attempt: Attempt,
        end: &AttemptEnd,
        actions: &mut impl Actions,
    ) {
        let (route, outcome) = (attempt.route, end.outcome);
        if let Some(rate) = end.reported_rate_limit {
            self.routes
                .observe_reported_rate(&self.settings, route, rate);
        }
        let silent_after = self
            .answer_times
            .silent_after(&self.routes, route, attempt.class);
        let late = end.elapsed > silent_after;
        self.answer_times.observe_promptness(outcome, late);
        self.pause_trials(route, end, late);
        let at_once =
            outcome == Outcome::ConnectFailed && end.elapsed < self.settings.connect_timeout / 2;
        let early_reset = self.is_early_reset(&attempt, end);
        // A connection that is refused again is no sign of a full table.
        let dropped = !attempt.fresh_connection
            && ((at_once && self.routes[route].is_healthy()) || early_reset);
        let reset = outcome == Outcome::ConnectionReset;
        let seen = ConnectionObservation { reset, dropped };
        self.observe_idle_connections(&attempt, &seen, actions);
        match outcome {
            Outcome::Delivered => self.observe_delivery(attempt, end.elapsed, late, actions),
            Outcome::RateLimited { retry_after } => self.routes.observe_rate_limited(
                &self.settings,
                self.now,
                &attempt,
                retry_after.filter(|&wait| wait > 0),
            ),
            Outcome::ConnectFailed if at_once => {
                self.routes[route].connection_refused(&self.settings, self.now)
            }
            // Perhaps the connection was dropped while idle.
            Outcome::ConnectionReset if !attempt.fresh_connection && early_reset => {}
            Outcome::NotSent { no_capacity: true } | Outcome::NotStarted => {
                self.no_capacity_until =
                    self.now + NO_CAPACITY_CLOCK_STEPS * self.settings.clock_resolution
            }
            Outcome::NotSent { no_capacity: false } | Outcome::Cancelled => {}
            outcome => {
                self.routes[route].observe_failure(&self.settings, self.now, outcome, actions)
            }
        }
    }

    /// Whether a connection broke sooner than an answer usually comes. A later reset is no dropped
    /// idle connection.
    fn is_early_reset(&self, attempt: &Attempt, end: &AttemptEnd) -> bool {
        let destination = self.routes[attempt.route].entry.destination;
        let usual = self
            .answer_times
            .usual(&self.routes, destination, attempt.class);
        end.outcome == Outcome::ConnectionReset && (end.elapsed as f64) < usual / 2.0
    }

    fn observe_delivery(
        &mut self,
        attempt: Attempt,
        elapsed: Nanos,
        late: bool,
        actions: &mut impl Actions,
    ) {
        let number = attempt.route;
        self.routes.limiter_mut(number).narrow_pacing();
        self.routes.reset_backoff(number);
        let route = &mut self.routes[number];
        route.observe_traffic(self.now, 1.0);
        route.failure_share *= 1.0 - FAILURE_WEIGHT;
        if !late {
            route.answered_at = self.now;
            self.answer_times
                .observe_answer(&mut self.routes, number, attempt.class, elapsed);
        }
        let route = &mut self.routes[number];
        if route.suspect && late {
            route.mark_suspect(self.now, "", actions);
        } else {
            route.recover(&self.settings, self.now, attempt.idle_for, elapsed, actions);
        }
    }
}
