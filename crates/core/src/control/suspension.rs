//! Suspension: how long a route that rejects attempts gets none, and when it is ejected and so has
//! to recover with a slow start.

use crate::interface::{Nanos, Settings};
use crate::state::attempts::Attempt;
use crate::state::routes::{Route, Routes};
use crate::units::MS;

/// The first backoff without a Retry-After. It is shorter than the windows over which limiters
/// count attempts.
pub(super) const FIRST_BACKOFF: Nanos = 250 * MS;
/// The maximum backoff.
const MAX_BACKOFF: Nanos = 2_000 * MS;
/// The random spread of the backoff, as a multiple of the extension for a large fleet. It makes
/// dispatchers that were rejected at the same time retry at different times.
const FLEET_SPREAD_FACTOR: f64 = 3.0;
/// A route that rejects for this long, or asks for such a Retry-After, had an outage.
const OUTAGE_THRESHOLD: Nanos = 2_500 * MS;
/// A route that immediately refuses this many connections without a delivery in between is down.
pub(super) const REFUSALS_UNTIL_DOWN: u32 = 3;

impl Routes {
    /// Handles an attempt that the limiter rejected: suspends all routes of the limiter and widens
    /// its pacing. Attempts that were in flight together count as one observation.
    pub(super) fn observe_rate_limited(
        &mut self,
        settings: &Settings,
        now: Nanos,
        attempt: &Attempt,
        retry_after: Option<Nanos>,
    ) {
        let route = attempt.route;
        let outage_threshold =
            (OUTAGE_THRESHOLD as f64 / self[route].fleet_factor(settings)) as Nanos;
        let first_interval = self[route].first_pacing_interval(settings);
        let limiter = self.limiter_mut(route);
        let is_new = attempt.sent_at >= limiter.rate_limited_at;
        let since = *limiter.rate_limited_since.get_or_insert(now);
        if is_new {
            limiter.rate_limited_at = now;
            self.widen_pacing(settings, route);
        }
        let rejected_again = self.limiter(route).pacing_interval > first_interval;
        let is_outage = retry_after.is_some_and(|wait| wait >= OUTAGE_THRESHOLD)
            || (now - since >= outage_threshold && rejected_again);
        for sibling in self.sharing_limiter(route) {
            if is_new || retry_after.is_some() {
                self[sibling].suspend(settings, now, retry_after);
            }
            if is_outage {
                self[sibling].eject(now);
            }
        }
    }

    /// Resets the backoff of all routes of the limiter after a delivery, except those that refuse
    /// connections.
    pub(super) fn reset_backoff(&mut self, route: usize) {
        self[route].refused_connections = 0;
        for sibling in self.sharing_limiter(route) {
            if self[sibling].refused_connections == 0 {
                self[sibling].backoff = FIRST_BACKOFF;
            }
        }
    }
}

impl Route {
    /// Suspends the route for the Retry-After, or for its backoff without one. Both are spread at
    /// random in a large fleet, except the first Retry-After.
    pub(super) fn suspend(&mut self, settings: &Settings, now: Nanos, retry_after: Option<Nanos>) {
        let fleet_factor = self.fleet_factor(settings);
        let fair_interval = self
            .fair_interval(settings)
            .unwrap_or(0.0)
            .min(settings.longest_lifetime() as f64);
        let doublings = self.backoff as f64 / FIRST_BACKOFF as f64;
        let max_spread = doublings
            * (FIRST_BACKOFF as f64 * FLEET_SPREAD_FACTOR * (fleet_factor - 1.0))
                .max(fair_interval);
        let spread = if fleet_factor > 1.0 {
            (max_spread * (self.jitter - 0.5)) as Nanos
        } else {
            0
        };
        let wait = match retry_after {
            Some(wait) if self.backoff == FIRST_BACKOFF => wait,
            Some(wait) => wait + spread,
            None => self.backoff + spread,
        };
        self.suspended_until = self.suspended_until.max(now + wait);
        if retry_after.is_none() || fleet_factor != 1.0 {
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Whether the route has not rejected an attempt since its last delivery and is not ejected.
    pub(super) fn is_healthy(&self) -> bool {
        self.backoff == FIRST_BACKOFF && !self.ejected
    }

    /// Ejects the route: it has to recover with a slow start.
    pub(super) fn eject(&mut self, now: Nanos) {
        self.observe_traffic(now, 0.0);
        self.ejected = true;
    }
}
