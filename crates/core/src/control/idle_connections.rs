//! Whether to keep idle connections. They occupy connection table entries, and an attempt on a
//! connection that was silently dropped is lost; new connections cost a handshake each.

use crate::interface::{Actions, Nanos};
use crate::state::Dispatcher;
use crate::state::attempts::Attempt;
use crate::state::idle_connections::IdleConnections;
use crate::units::MS;

/// How long no idle connections are kept to destinations of a kind after drops were detected.
const AVOIDANCE_PERIOD: Nanos = 60_000 * MS;
/// The share of dropped connections above which idle connections are avoided.
const DROP_THRESHOLD: f64 = 0.15;
/// The minimum weight of one attempt in the share of dropped connections.
const DROP_WEIGHT: f64 = 0.05;
/// After a route has been unused for this long, a single drop is enough to avoid idle connections.
const LONG_IDLE_TIME: Nanos = 2_000 * MS;

/// An observation of idle connections from the outcome of an attempt.
pub(super) struct ConnectionObservation {
    /// The connection was reset.
    pub(super) reset: bool,
    /// The attempt used a dropped idle connection, or the endpoint's connection table was full.
    pub(super) dropped: bool,
}

impl IdleConnections {
    fn is_avoidance_active(&self, now: Nanos) -> bool {
        now < self.avoided_until
    }

    /// Counts an attempt. Returns true if it starts a period in which idle connections are avoided.
    fn observe(
        &mut self,
        now: Nanos,
        attempt: &Attempt,
        observation: &ConnectionObservation,
    ) -> bool {
        self.count(observation.dropped, DROP_WEIGHT);
        if attempt.fresh_connection && observation.reset {
            // New connections are reset as well, so idleness is not the cause.
            *self = IdleConnections {
                drop_share: 0.0,
                samples: 1.0 / DROP_WEIGHT,
                avoided_until: now,
            };
        }
        let drops_likely = self.drop_share > DROP_THRESHOLD || attempt.idle_for > LONG_IDLE_TIME;
        observation.dropped
            && drops_likely
            && std::mem::replace(&mut self.avoided_until, now + AVOIDANCE_PERIOD) <= now
    }
}

impl Dispatcher {
    /// Whether idle connections to the endpoint of a route are currently avoided.
    pub(super) fn avoids_idle_connections(&self, route: usize) -> bool {
        let kind = self.idle_connections.get(&self.routes[route].entry.kind.0);
        kind.is_some_and(|kind| kind.is_avoidance_active(self.now))
    }

    /// Counts an attempt for the kind of its destination, and closes that kind's idle connections
    /// if they are to be avoided from now on.
    pub(super) fn observe_idle_connections(
        &mut self,
        attempt: &Attempt,
        observation: &ConnectionObservation,
        actions: &mut impl Actions,
    ) {
        let kind = self.routes[attempt.route].entry.kind.0;
        let idle = self.idle_connections.entry(kind).or_default();
        if idle.observe(self.now, attempt, observation) {
            actions.log(&format!(
                "kind {kind}: stopped keeping idle connections; share of dropped connections {:.2}",
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
