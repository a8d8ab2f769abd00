//! Whether idle connections are kept. They fill connection tables, and what is sent on one that was dropped
//! unseen is lost; new connections cost handshakes.

use super::*;

/// For how long a kind of destinations keeps no idle connections.
const AVOID_SPAN: Nanos = 60_000 * MS;
/// The share of dropped connections at which that begins, and the least weight of one attempt in the share.
const DROP_THRESHOLD: f64 = 0.15;
const DROP_WEIGHT: f64 = 0.05;
/// After a pause of this length one drop is enough.
const LONG_IDLE: Nanos = 2_000 * MS;

impl Dispatcher {
    /// Whether no idle connections are kept to the endpoint of a route.
    pub(super) fn avoids_idle_connections(&self, route: usize) -> bool {
        let kind = self.idle_connections.get(&self.routes[route].entry.kind.0);
        kind.is_some_and(|kind| self.now < kind.avoided_until)
    }

    /// Counts an attempt, `dropped` if it met a dropped idle connection or a full connection table.
    pub(super) fn observe_idle(
        &mut self,
        attempt: &Attempt,
        reset: bool,
        dropped: bool,
        out: &mut impl Actions,
    ) {
        let kind = self.routes[attempt.route].entry.kind.0;
        let idle = self.idle_connections.entry(kind).or_default();
        idle.count(dropped, DROP_WEIGHT);
        if attempt.fresh_connection && reset {
            // New connections break as well, so idle ones are not the reason.
            *idle = IdleConnections {
                drop_share: 0.0,
                samples: 1.0 / DROP_WEIGHT,
                avoided_until: self.now,
            };
        }
        let (drop_share, until) = (idle.drop_share, self.now + AVOID_SPAN);
        let many = drop_share > DROP_THRESHOLD || attempt.idle_for > LONG_IDLE;
        if dropped && many && std::mem::replace(&mut idle.avoided_until, until) <= self.now {
            out.log(&format!(
                "kind {kind} keeps no idle connections: {drop_share:.2} of connects"
            ));
            let routes = self
                .routes
                .iter()
                .filter(|route| route.entry.kind.0 == kind);
            routes.for_each(|route| out.close_idle_connections(route.entry.endpoint));
        }
    }
}
