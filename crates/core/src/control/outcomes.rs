//! What the outcome of an attempt says of its route.

use super::{suspension::DOWN_AFTER, *};

/// The weight of one outcome in a route's failure share, and the share above which a route is suspect.
const FAILURE_WEIGHT: f64 = 0.25;
const FAILURE_THRESHOLD: f64 = 0.4;
/// How many ticks nothing is sent after an attempt found no slot, contrary to the count here.
const NO_SLOT_TICKS: Nanos = 10;

impl Dispatcher {
    /// Draws the conclusions from one observation: the last outcome of a call, or a retry-after.
    pub(super) fn observe(&mut self, attempt: Attempt, end: &AttemptEnd, out: &mut impl Actions) {
        let (route, outcome) = (attempt.route, end.outcome);
        if let Some(rate) = end.reported_limit {
            self.observe_rate(route, rate);
        }
        let late = end.elapsed > self.silent_after(route, attempt.class);
        self.observe_patience(outcome, late);
        self.space_trials(route, end, late);
        let at_once =
            outcome == Outcome::ConnectFailed && end.elapsed < self.settings.connect_timeout / 2;
        // A reset as late as an answer is no dropped connection, a repeated refusal no full table.
        let usual = self.usual_latency(self.routes[route].entry.destination, attempt.class);
        let early_reset = outcome == Outcome::ConnectionReset && (end.elapsed as f64) < usual / 2.0;
        let dropped =
            !attempt.fresh_connection && ((at_once && self.is_sound(route)) || early_reset);
        self.observe_idle(&attempt, outcome == Outcome::ConnectionReset, dropped, out);
        match outcome {
            Outcome::Delivered => self.observe_delivery(attempt, end.elapsed, late, out),
            Outcome::RateLimited { retry_after } => {
                self.refused(route, attempt.sent_at, retry_after)
            }
            Outcome::ConnectFailed if at_once => self.connection_refused(route),
            Outcome::ConnectionReset if !attempt.fresh_connection && early_reset => {} // Perhaps dropped while idle.
            Outcome::NotSent { no_capacity: true } | Outcome::NotStarted => {
                self.no_slot_until = self.now + NO_SLOT_TICKS * self.settings.clock_resolution
            }
            Outcome::NotSent { no_capacity: false } | Outcome::Cancelled => {}
            outcome => self.observe_failure(route, outcome, out),
        }
    }

    fn observe_delivery(
        &mut self,
        attempt: Attempt,
        took: Nanos,
        late: bool,
        out: &mut impl Actions,
    ) {
        let route = attempt.route;
        self.narrow_pacing(route);
        self.reset_backoff(route);
        self.update_traffic(route, 1.0);
        self.routes[route].failure_share *= 1.0 - FAILURE_WEIGHT;
        if !late {
            self.routes[route].answered_at = self.now;
            self.observe_latency(route, attempt.class, took);
        }
        if self.routes[route].suspect && late {
            self.suspect(route, "", out);
        } else {
            self.recover(attempt, took, out);
        }
    }

    /// A connection was refused at once: the endpoint's table is full, or it is down. Only it is suspended.
    fn connection_refused(&mut self, route: usize) {
        self.suspend(route, 0);
        self.routes[route].refused_connections += 1;
        let seldom_met = u32::from(self.fleet_factor(route) > 1.0); // So one fewer is enough.
        if self.routes[route].refused_connections + seldom_met >= DOWN_AFTER {
            self.eject(route);
        }
    }

    fn observe_failure(&mut self, route: usize, outcome: Outcome, out: &mut impl Actions) {
        // Any route's answer may be garbled on the way; a route that garbles all is found out later.
        let garbled = outcome == Outcome::MalformedResponse;
        let weight = if garbled {
            FAILURE_WEIGHT / 4.0
        } else {
            FAILURE_WEIGHT
        };
        let share = self.routes[route].failure_share * (1.0 - weight) + weight;
        self.routes[route].failure_share = share;
        // Each dispatcher of a large fleet meets a route seldom: one connection timed out, and it is gone.
        let gone = outcome == Outcome::ConnectFailed && self.fleet_factor(route) > 1.0;
        if (garbled || self.routes[route].is_warm()) && share <= FAILURE_THRESHOLD && !gone {
            return;
        }
        self.eject(route);
        self.routes[route].cold_since = None;
        self.suspect(route, &format!("failure share {share:.2}"), out);
    }
}
