//! The routes to endpoints, indexed by number, endpoint and destination.

use crate::interface::{DestinationId, EndpointEntry, EndpointId, Nanos};
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

/// The route to an endpoint, with its observed condition.
#[derive(Default)]
pub(crate) struct Route {
    /// The entry of the endpoint list, except that `serving` is false while the endpoint is
    /// disabled by an operator, and that `rate_limit` may come from an answer.
    pub(crate) entry: EndpointEntry,
    /// Whether the endpoint is listed as serving.
    pub(crate) listed: bool,
    /// The route that holds the state of the limiter this route is subject to: itself, or the first
    /// of the routes that share the limiter.
    pub(crate) limiter_route: usize,
    /// The state of the limiter, if this is the route that holds it.
    pub(crate) limiter: Limiter,
    /// Whether the route is avoided for silence or failures, apart from half-open trials.
    pub(crate) suspect: bool,
    /// The start of the slow start, or `None` if the route is not warming up.
    pub(crate) warming_since: Option<Nanos>,
    /// The moving share of failed attempts.
    pub(crate) failure_share: f64,
    /// The end of the suspension; in the past if the route is not suspended.
    pub(crate) suspended_until: Nanos,
    /// The length of the next suspension that is not determined by a Retry-After.
    pub(crate) backoff: Nanos,
    /// The time of the last send, or of the last change of `entry.serving`.
    pub(crate) last_sent_at: Nanos,
    /// The number of delivered messages, with exponential decay while the route is warm and not
    /// ejected.
    pub(crate) traffic: f64,
    /// The time up to which `traffic` has decayed.
    pub(crate) traffic_updated_at: Nanos,
    /// When the route last delivered a message in usual time.
    pub(crate) answered_at: Nanos,
    /// The number of connections refused immediately since the last delivery.
    pub(crate) refused_connections: u32,
    /// The random factor for spacing, pacing and backoff, drawn again with each send.
    pub(crate) jitter: f64,
    /// Whether the route failed, or was rate-limited for long, since it was last healthy: it has to
    /// recover with a slow start.
    pub(crate) ejected: bool,
}

impl Route {
    /// Applies an entry of the endpoint list.
    pub(crate) fn apply(&mut self, entry: &EndpointEntry, disabled: bool, now: Nanos) {
        self.listed = entry.serving;
        if entry.rate_limit.is_some() {
            // Without a listed rate limit, one reported in an answer stays in effect.
            self.entry.rate_limit = entry.rate_limit;
        }
        let serving = entry.serving && !disabled;
        if std::mem::replace(&mut self.entry.serving, serving) != serving {
            // All dispatchers learn of the change at the same time, so the spacing starts now.
            self.last_sent_at = now;
        }
    }

    /// Disables or enables the endpoint.
    pub(crate) fn set_disabled(&mut self, disabled: bool, now: Nanos) {
        self.entry.serving = self.listed && !disabled;
        self.last_sent_at = now;
    }

    /// Decays the traffic up to now with this time constant and adds the delivered messages, if the
    /// route is warm and not ejected.
    pub(crate) fn add_traffic(&mut self, now: Nanos, delivered: f64, time_constant: f64) {
        if self.is_warm() && !self.ejected {
            let decay = (-((now - self.traffic_updated_at) as f64) / time_constant).exp();
            self.traffic = self.traffic * decay + delivered;
            self.traffic_updated_at = now;
        }
    }

    /// Whether the route is neither suspect nor warming up.
    pub(crate) fn is_warm(&self) -> bool {
        !self.suspect && self.warming_since.is_none()
    }
}

/// The state of a rate limiter, from the attempts over all routes that are subject to it.
#[derive(Default)]
pub(crate) struct Limiter {
    /// The minimum time between two sends.
    pub(crate) pacing_interval: Nanos,
    pub(crate) last_sent_at: Nanos,
    /// When the limiter last rejected an attempt that was not sent before the previous such
    /// rejection.
    pub(crate) rate_limited_at: Nanos,
    /// The time of the first rejection since the last delivery.
    pub(crate) rate_limited_since: Option<Nanos>,
}

/// The routes of one destination.
#[derive(Default)]
pub(crate) struct DestinationRoutes {
    /// The route numbers, those picked in the current round first.
    pub(crate) routes: Vec<usize>,
    /// The number of routes picked in the current round.
    pub(crate) picked: usize,
    /// The route that holds the state of the limiter shared by the destination's routes.
    pub(crate) shared_limiter_route: Option<usize>,
    /// The fraction by which answer times exceed the usual ones of the class.
    pub(crate) extra_latency: f64,
    /// The number of answers observed for `extra_latency`.
    pub(crate) latency_samples: f64,
}

impl DestinationRoutes {
    /// Returns the route that holds the limiter state for a new route. That is the new route itself
    /// if its limiter is separate or not known yet.
    pub(crate) fn assign_limiter_route(&mut self, new: usize, separate_limits: bool) -> usize {
        let limiter_route = self
            .shared_limiter_route
            .filter(|_| !separate_limits)
            .unwrap_or(new);
        self.shared_limiter_route = Some(limiter_route).filter(|_| !separate_limits);
        limiter_route
    }
}

/// All routes; the number of a route is its index here.
#[derive(Default)]
pub(crate) struct Routes {
    all: Vec<Route>,
    by_endpoint: BTreeMap<EndpointId, usize>,
    by_destination: BTreeMap<DestinationId, DestinationRoutes>,
}

impl Routes {
    /// The route to an endpoint.
    pub(crate) fn find(&self, endpoint: EndpointId) -> Option<usize> {
        self.by_endpoint.get(&endpoint).copied()
    }

    /// All routes, ordered by number.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Route> {
        self.all.iter()
    }

    /// The routes of a destination with their shared state.
    pub(crate) fn destination(&self, destination: DestinationId) -> Option<&DestinationRoutes> {
        self.by_destination.get(&destination)
    }

    /// Returns the routes of a destination mutably, and creates them if the destination is new.
    pub(crate) fn destination_mut(&mut self, destination: DestinationId) -> &mut DestinationRoutes {
        self.by_destination.entry(destination).or_default()
    }

    /// The numbers of a destination's routes.
    pub(crate) fn of(&self, destination: DestinationId) -> &[usize] {
        self.by_destination
            .get(&destination)
            .map_or(&[], |known| &known.routes)
    }

    /// The routes that are subject to the same limiter, including this one.
    pub(crate) fn sharing_limiter(&self, route: usize) -> Vec<usize> {
        let shares_limiter =
            |&other: &usize| self[other].limiter_route == self[route].limiter_route;
        self.of(self[route].entry.destination)
            .iter()
            .copied()
            .filter(shares_limiter)
            .collect()
    }

    /// The limiter that a route is subject to.
    pub(crate) fn limiter(&self, route: usize) -> &Limiter {
        &self[self[route].limiter_route].limiter
    }

    /// The limiter that a route is subject to, mutably.
    pub(crate) fn limiter_mut(&mut self, route: usize) -> &mut Limiter {
        let limiter_route = self[route].limiter_route;
        &mut self[limiter_route].limiter
    }

    /// The number of the next added route.
    pub(crate) fn next_number(&self) -> usize {
        self.all.len()
    }

    /// Adds a route under the next number, or replaces a route of the same destination and returns
    /// the endpoint of the replaced route.
    pub(crate) fn put(&mut self, number: usize, route: Route) -> Option<EndpointId> {
        let endpoint = route.entry.endpoint;
        let replaced = if number == self.all.len() {
            self.destination_mut(route.entry.destination)
                .routes
                .push(number);
            self.all.push(route);
            None
        } else {
            Some(
                std::mem::replace(&mut self.all[number], route)
                    .entry
                    .endpoint,
            )
        };
        if let Some(replaced) = replaced {
            self.by_endpoint.remove(&replaced);
        }
        self.by_endpoint.insert(endpoint, number);
        replaced
    }

    /// Marks all endpoints as unlisted before a snapshot of the list is applied.
    pub(crate) fn mark_all_unlisted(&mut self, now: Nanos) {
        for route in &mut self.all {
            if std::mem::take(&mut route.entry.serving) {
                route.last_sent_at = now;
            }
            route.listed = false;
        }
    }
}

impl Index<usize> for Routes {
    type Output = Route;

    fn index(&self, route: usize) -> &Route {
        &self.all[route]
    }
}

impl IndexMut<usize> for Routes {
    fn index_mut(&mut self, route: usize) -> &mut Route {
        &mut self.all[route]
    }
}
