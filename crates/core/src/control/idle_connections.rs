//! Whether idle connections are kept. They fill connection tables, and what is sent on one that was
//! dropped unnoticed is lost; new connections cost handshakes.

use crate::interface::{Actions, Nanos};
use crate::state::Dispatcher;
use crate::state::attempts::Attempt;
use crate::state::idle_connections::IdleConnections;
use crate::units::MS;

/// For how long no idle connections to a kind of destinations are kept.
const AVOID_SPAN: Nanos = 60_000 * MS;
/// The share of dropped connections at which that begins.
const DROP_THRESHOLD: f64 = 0.15;
/// The least weight of one attempt in the share.
const DROP_WEIGHT: f64 = 0.05;
/// After a pause of this length one drop is enough.
const LONG_IDLE: Nanos = 2_000 * MS;

/// What an attempt shows of idle connections.
pub(super) struct ConnectionObservation {
    /// The connection broke.
    pub(super) reset: bool,
    /// The attempt met a dropped idle connection or a full connection table.
    pub(super) dropped: bool,
}

impl IdleConnections {
    fn are_avoided(&self, now: Nanos) -> bool {
        now < self.avoided_until
    }

    /// Counts an attempt. Returns whether idle connections are avoided from now on and were not
    /// before.
    fn observe(&mut self, now: Nanos, attempt: &Attempt, seen: &ConnectionObservation) -> bool {
        self.count(seen.dropped, DROP_WEIGHT);
        if attempt.fresh_connection && seen.reset {
            // New connections break as well, so idle ones are not the reason.
            *self = IdleConnections {
                drop_share: 0.0,
                samples: 1.0 / DROP_WEIGHT,
                avoided_until: now,
            };
        }
        let many = self.drop_share > DROP_THRESHOLD || attempt.idle_for > LONG_IDLE;
        seen.dropped && many && std::mem::replace(&mut self.avoided_until, now + AVOID_SPAN) <= now
    }
}

impl Dispatcher {
    /// Whether no idle connections are kept to the endpoint of a route.
    pub(super) fn avoids_idle_connections(&self, route: usize) -> bool {
        let kind = self.idle_connections.get(&self.routes[route].entry.kind.0);
        kind.is_some_and(|kind| kind.are_avoided(self.now))
    }

    /// Counts an attempt for the kind of its destination, and closes the idle connections where
    /// they are to be avoided.
    pub(super) fn observe_idle_connections(
        &mut self,
        attempt: &Attempt,
        seen: &ConnectionObservation,
        actions: &mut impl Actions,
    ) {
        let kind = self.routes[attempt.route].entry.kind.0;
        let idle = self.idle_connections.entry(kind).or_default();
        if idle.observe(self.now, attempt, seen) {
            actions.log(&format!(
                "kind {kind}: idle connections are no longer kept, {:.2} of attempts met a dropped one",
                idle.drop_share
            ));
            let routes = self
                .routes
                .iter()
                .filter(|route| route.entry.kind.0 == kind);
            routes.for_each(|route| actions.close_idle_connections(route.entry.endpoint));
        }
    }
}
