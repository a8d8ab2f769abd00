//! Suspension: for how long a route that refuses is passed over, and when it is ejected, to return cold.

use super::*;

/// The backoff for refusals without a retry-after: shorter than the spans in which limits are counted.
pub(super) const FIRST_BACKOFF: Nanos = 250 * MS;
const MAX_BACKOFF: Nanos = 2_000 * MS;
/// The spread of the backoff, as a multiple of what a large fleet adds: those refused together return apart.
const FLEET_SPREAD: f64 = 3.0;
/// Refused for so long, a route was closed or hung.
const CLOSED_AFTER: Nanos = 2_500 * MS;
/// A route that refuses so many connections at once, and delivers nothing, is down.
pub(super) const DOWN_AFTER: u32 = 3;

impl Dispatcher {
    /// The limiter refused an attempt: suspends all its routes and widens the pacing. Attempts that were in
    /// flight together are one observation.
    pub(super) fn refused(&mut self, route: usize, sent_at: Nanos, retry_after: Option<Nanos>) {
        let retry_after = retry_after.unwrap_or(0);
        let closed_after = (CLOSED_AFTER as f64 / self.fleet_factor(route)) as Nanos;
        let first_interval = self.first_pacing_interval(route);
        let limiter = self.routes.limiter_mut(route);
        let news = sent_at >= limiter.refused_at;
        let since = *limiter.refused_since.get_or_insert(self.now);
        if news {
            limiter.refused_at = self.now;
            self.widen_pacing(route);
        }
        let refused_again = self.routes.limiter(route).pacing_interval > first_interval;
        let closed =
            retry_after >= CLOSED_AFTER || (self.now - since >= closed_after && refused_again);
        for sibling in self.routes.sharing_limiter(route) {
            if news || retry_after > 0 {
                self.suspend(sibling, retry_after);
            }
            if closed {
                self.eject(sibling);
            }
        }
    }

    /// Suspends a route for the retry-after, or for its backoff where there is none.
    pub(super) fn suspend(&mut self, number: usize, retry_after: Nanos) {
        let (told, fleet_factor) = (retry_after > 0, self.fleet_factor(number));
        let fair = self
            .fair_interval(number)
            .min(self.settings.longest_lifetime() as f64);
        let route = &mut self.routes[number];
        let doublings = route.backoff as f64 / FIRST_BACKOFF as f64;
        let most =
            doublings * (FIRST_BACKOFF as f64 * FLEET_SPREAD * (fleet_factor - 1.0)).max(fair);
        let spread = if fleet_factor > 1.0 {
            (most * (route.jitter - 0.5)) as Nanos
        } else {
            0
        };
        let base = if told { retry_after } else { route.backoff };
        let wait = if told && route.backoff == FIRST_BACKOFF {
            retry_after
        } else {
            base + spread
        };
        route.suspended_until = route.suspended_until.max(self.now + wait);
        if !told || fleet_factor != 1.0 {
            route.backoff = (route.backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// A delivery resets the backoff of all routes of the limiter, except of those that refuse connections.
    pub(super) fn reset_backoff(&mut self, route: usize) {
        self.routes[route].refused_connections = 0;
        for sibling in self.routes.sharing_limiter(route) {
            if self.routes[sibling].refused_connections == 0 {
                self.routes[sibling].backoff = FIRST_BACKOFF;
            }
        }
    }

    /// Whether a route was not refused since it last delivered, and is not ejected.
    pub(super) fn is_sound(&self, route: usize) -> bool {
        self.routes[route].backoff == FIRST_BACKOFF && !self.routes[route].ejected
    }

    /// Ejects a route: it will return cold.
    pub(super) fn eject(&mut self, route: usize) {
        self.update_traffic(route, 0.0);
        self.routes[route].ejected = true;
    }
}
