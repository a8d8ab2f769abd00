//! Updates the state of a route from the outcomes of its attempts.

use super::idle_connections::ConnectionObservation;
use super::suspension::REFUSALS_UNTIL_DOWN;
use crate::interface::{Actions, AttemptEnd, Nanos, Outcome, Settings};
use crate::state::Dispatcher;
use crate::state::attempts::Attempt;
use crate::state::routes::Route;

/// The weight of one outcome in a route's moving failure share.
const FAILURE_WEIGHT: f64 = 0.25;
/// The failure share above which a route becomes suspect.
const FAILURE_THRESHOLD: f64 = 0.4;
/// How long sending pauses after the caller reported that it has no capacity although the in-flight
/// count allowed one more call, in steps of the caller's clock.
const NO_CAPACITY_PAUSE_CLOCK_STEPS: u64 = 10;

impl Route {
    /// Adds a failure of the given weight to the failure share.
    fn count_failure(&mut self, weight: f64) {
        self.failure_share = self.failure_share * (1.0 - weight) + weight;
    }

    /// Handles a connection that was refused immediately: the endpoint is down or its connection
    /// table is full. Suspends this route only, not the others that share its limiter.
    fn connection_refused(&mut self, settings: &Settings, now: Nanos) {
        self.suspend(settings, now, None);
        self.refused_connections += 1;
        // In a large fleet each dispatcher uses a route rarely, so one refusal fewer is enough.
        let rarely_used = u32::from(self.fleet_factor(settings) > 1.0);
        if self.refused_connections + rarely_used >= REFUSALS_UNTIL_DOWN {
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
        // An answer of any route may be corrupted in transit, so a malformed one has a lower
        // weight. A route whose answers are all malformed still exceeds the threshold, only later.
        let malformed = outcome == Outcome::MalformedResponse;
        self.count_failure(if malformed {
            FAILURE_WEIGHT / 4.0
        } else {
            FAILURE_WEIGHT
        });
        let share = self.failure_share;
        // In a large fleet each dispatcher uses a route rarely, so a single connect timeout counts
        // as an outage.
        let down = outcome == Outcome::ConnectFailed && self.fleet_factor(settings) > 1.0;
        if (malformed || self.is_warm()) && share <= FAILURE_THRESHOLD && !down {
            return;
        }
        self.eject(now);
        self.warming_since = None;
        self.mark_suspect(now, &format!("failure share {share:.2}"), actions);
    }
}

impl Dispatcher {
    /// Processes one observation: the last outcome of a call, or a rate-limited attempt.
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
        self.answer_times.observe_lateness(outcome, late);
        self.pause_trials(route, end, late);
        let refused =
            outcome == Outcome::ConnectFailed && end.elapsed < self.settings.connect_timeout / 2;
        let early_reset = self.is_early_reset(&attempt, end);
        // Repeated refusals indicate that the endpoint is down rather than a full connection table.
        let dropped = !attempt.fresh_connection
            && ((refused && self.routes[route].is_healthy()) || early_reset);
        let reset = outcome == Outcome::ConnectionReset;
        let observation = ConnectionObservation { reset, dropped };
        self.observe_idle_connections(&attempt, &observation, actions);
        match outcome {
            Outcome::Delivered => self.observe_delivery(attempt, end.elapsed, late, actions),
            Outcome::RateLimited { retry_after } => self.routes.observe_rate_limited(
                &self.settings,
                self.now,
                &attempt,
                retry_after.filter(|&wait| wait > 0),
            ),
            Outcome::ConnectFailed if refused => {
                self.routes[route].connection_refused(&self.settings, self.now)
            }
            // The connection was probably dropped while idle, which is no failure of the route.
            Outcome::ConnectionReset if !attempt.fresh_connection && early_reset => {}
            Outcome::NotSent { no_capacity: true } | Outcome::NotStarted => {
                self.no_capacity_until =
                    self.now + NO_CAPACITY_PAUSE_CLOCK_STEPS * self.settings.clock_resolution
            }
            Outcome::NotSent { no_capacity: false } | Outcome::Cancelled => {}
            outcome => {
                self.routes[route].observe_failure(&self.settings, self.now, outcome, actions)
            }
        }
    }

    /// Whether a connection was reset well before an answer usually arrives. A later reset is not
    /// attributed to a dropped idle connection.
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
