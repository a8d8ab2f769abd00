//! For how long a route that refuses is passed over, and when it has refused so long that it returns cold.

use super::*;

/// Untold suspension: shorter than the spans in which limits are counted.
pub(super) const FIRST_WAIT: Nanos = 250 * MS;
const LONGEST_WAIT: Nanos = 2_000 * MS;
/// Its spread, from nought on, in the crowd's mean wait: a clump refused at one moment comes back apart.
const CROWD_SPREAD: f64 = 3.0;
/// Refused for so long, a route was shut or hung, and returns cold.
const SHUT_AFTER: Nanos = 2_500 * MS;
/// So many connections refused at once, and nothing relayed: it is down, and returns cold.
pub(super) const DOWN_AFTER: u32 = 3;

impl Dispatcher {
    /// A refusal as full: suspends all that the limit binds, widens the gap. Connects out then tell no more.
    pub(super) fn refused(&mut self, route: usize, sent: Nanos, told: Nanos) {
        let shut_after = (SHUT_AFTER as f64 / self.crowd(route)) as Nanos;
        let step = self.gap_step(route);
        let limit = self.routes.limit_mut(route);
        let fresh = sent >= limit.refused_at;
        let since = *limit.refused_since.get_or_insert(self.now);
        if fresh {
            limit.refused_at = self.now;
            self.widen_gap(route);
        }
        let long = self.now - since >= shut_after && self.routes.limit(route).gap > step;
        for bound in self.routes.bound(route) {
            if fresh || told > 0 {
                self.suspend(bound, told);
            }
            if told >= SHUT_AFTER || long {
                self.routes[bound].strike(self.now);
            }
        }
    }

    /// Suspends a route for the told wait, or for a longer one each time.
    pub(super) fn suspend(&mut self, number: usize, told: Nanos) {
        let crowd = self.crowd(number);
        let share = self.share(number).min(self.facts.longest_lifetime() as f64);
        let route = &mut self.routes[number];
        let times = route.wait as f64 / FIRST_WAIT as f64;
        let most = times * (FIRST_WAIT as f64 * CROWD_SPREAD * (crowd - 1.0)).max(share);
        let spread = if crowd > 1.0 { (most * (route.stretch - 0.5)) as Nanos } else { 0 };
        let base = if told > 0 { told } else { route.wait };
        let wait = if told > 0 && route.wait == FIRST_WAIT { told } else { base + spread };
        route.closed_until = route.closed_until.max(self.now + wait);
        route.wait = if told > 0 && crowd == 1.0 { route.wait } else { (route.wait * 2).min(LONGEST_WAIT) };
    }

    /// A relayed mail resets the untold waits. One that refuses connections is not opened by its siblings.
    pub(super) fn reset_waits(&mut self, route: usize) {
        self.routes[route].unmet = 0;
        for bound in self.routes.bound(route) {
            if self.routes[bound].unmet == 0 {
                self.routes[bound].wait = FIRST_WAIT;
            }
        }
    }

    /// Whether a route was neither refused since it last relayed, nor struck.
    pub(super) fn untroubled(&self, route: usize) -> bool {
        self.routes[route].wait == FIRST_WAIT && !self.routes[route].struck
    }
}

impl Route {
    /// From now on it returns cold.
    pub(super) fn strike(&mut self, now: Nanos) {
        self.count(now, 0.0);
        self.struck = true;
    }
}
