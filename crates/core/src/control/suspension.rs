//! Suspension: for how long nothing is sent by a route that rejects, and when it is ejected, to
//! return with a slow start.

use crate::interface::{Nanos, Settings};
use crate::state::attempts::Attempt;
use crate::state::routes::{Route, Routes};
use crate::units::MS;

/// The first backoff where there is no Retry-After: shorter than the spans in which limits are
/// counted.
pub(super) const FIRST_BACKOFF: Nanos = 250 * MS;
/// The longest backoff.
const MAX_BACKOFF: Nanos = 2_000 * MS;
/// The spread of the backoff, as a multiple of what a large fleet adds: dispatchers that were
/// rejected together return at different times.
const FLEET_SPREAD: f64 = 3.0;
/// A route that rejects for this long was closed or hung.
const CLOSED_AFTER: Nanos = 2_500 * MS;
/// A route that refuses this many connections at once, and delivers nothing, is down.
pub(super) const DOWN_AFTER: u32 = 3;

impl Routes {
    /// The limiter rejected an attempt: suspends all its routes and widens the pacing. Attempts
    /// that were in flight together are one observation.
    pub(super) fn observe_rate_limited(
        &mut self,
        settings: &Settings,
        now: Nanos,
        attempt: &Attempt,
        retry_after: Option<Nanos>,
    ) {
        let route = attempt.route;
        let closed_after = (CLOSED_AFTER as f64 / self[route].fleet_factor(settings)) as Nanos;
        let first_interval = self[route].first_pacing_interval(settings);
        let limiter = self.limiter_mut(route);
        let is_new = attempt.sent_at >= limiter.rate_limited_at;
        let since = *limiter.rate_limited_since.get_or_insert(now);
        if is_new {
            limiter.rate_limited_at = now;
            self.widen_pacing(settings, route);
        }
        let rejected_again = self.limiter(route).pacing_interval > first_interval;
        let closed = retry_after.is_some_and(|wait| wait >= CLOSED_AFTER)
            || (now - since >= closed_after && rejected_again);
        for sibling in self.sharing_limiter(route) {
            if is_new || retry_after.is_some() {
                self[sibling].suspend(settings, now, retry_after);
            }
            if closed {
                self[sibling].eject(now);
            }
        }
    }

    /// A delivery resets the backoff of all routes of the limiter, except of those that refuse
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
    /// Suspends the route for the Retry-After, or for its backoff where there is none.
    pub(super) fn suspend(&mut self, settings: &Settings, now: Nanos, retry_after: Option<Nanos>) {
        let fleet_factor = self.fleet_factor(settings);
        let fair = self
            .fair_interval(settings)
            .unwrap_or(0.0)
            .min(settings.longest_lifetime() as f64);
        let doublings = self.backoff as f64 / FIRST_BACKOFF as f64;
        let most =
            doublings * (FIRST_BACKOFF as f64 * FLEET_SPREAD * (fleet_factor - 1.0)).max(fair);
        let spread = if fleet_factor > 1.0 {
            (most * (self.jitter - 0.5)) as Nanos
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

    /// Whether the route has not rejected since it last delivered, and is not ejected.
    pub(super) fn is_healthy(&self) -> bool {
        self.backoff == FIRST_BACKOFF && !self.ejected
    }

    /// Ejects the route: it will return with a slow start.
    pub(super) fn eject(&mut self, now: Nanos) {
        self.observe_traffic(now, 0.0);
        self.ejected = true;
    }
}
