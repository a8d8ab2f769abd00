//! The routes that a dispatcher knows, by number, by endpoint and by destination.

use crate::interface::{DestinationId, EndpointEntry, EndpointId, Nanos};
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

/// The way to one endpoint, and what was observed of it.
#[derive(Default)]
pub(crate) struct Route {
    /// The entry of the endpoint list, except that `serving` is false while an operator has the
    /// endpoint disabled.
    pub(crate) entry: EndpointEntry,
    /// Whether the list has the endpoint as serving.
    pub(crate) listed: bool,
    /// The route that represents the limiter it is subject to: itself, or the first of those that
    /// share it.
    pub(crate) limiter_route: usize,
    /// What was observed of the limiter, on the route that represents it.
    pub(crate) limiter: Limiter,
    /// Avoided for silence or failures, apart from one half-open trial at a time.
    pub(crate) suspect: bool,
    /// The start of its slow start; `None` when it is not warming up.
    pub(crate) warming_since: Option<Nanos>,
    /// The moving share of its attempts that failed.
    pub(crate) failure_share: f64,
    /// Nothing is sent there until then; a time in the past when it is not suspended.
    pub(crate) suspended_until: Nanos,
    /// The length of the next suspension, for a rate-limited attempt without a Retry-After.
    pub(crate) backoff: Nanos,
    /// When something was last sent there, or its serving changed.
    pub(crate) last_sent_at: Nanos,
    /// The recently delivered messages, decaying while it is healthy.
    pub(crate) traffic: f64,
    /// When `traffic` was last brought up to date.
    pub(crate) traffic_updated_at: Nanos,
    /// When it last answered in usual time.
    pub(crate) answered_at: Nanos,
    /// The connections that it refused at once since it last delivered.
    pub(crate) refused_connections: u32,
    /// The factor for its spacing and its backoff, drawn again with each send.
    pub(crate) jitter: f64,
    /// It failed, or was rate-limited for long, since it was last healthy: it will return with a
    /// slow start.
    pub(crate) ejected: bool,
}

impl Route {
    /// Applies what the list says of the endpoint.
    pub(crate) fn apply(&mut self, entry: &EndpointEntry, disabled: bool, now: Nanos) {
        self.listed = entry.serving;
        if entry.rate_limit.is_some() {
            self.entry.rate_limit = entry.rate_limit; // Without a listed rate, one that an answer reported stays.
        }
        let serving = entry.serving && !disabled;
        if std::mem::replace(&mut self.entry.serving, serving) != serving {
            self.last_sent_at = now; // All dispatchers learn of its return at once, so the spacing starts here.
        }
    }

    /// Disables or enables the endpoint.
    pub(crate) fn set_disabled(&mut self, disabled: bool, now: Nanos) {
        self.entry.serving = self.listed && !disabled;
        self.last_sent_at = now;
    }

    /// Decays the traffic up to now with this time constant and adds to it, while the route is warm
    /// and not ejected.
    pub(crate) fn add_traffic(&mut self, now: Nanos, delivered: f64, time_constant: f64) {
        if self.is_warm() && !self.ejected {
            let decay = (-((now - self.traffic_updated_at) as f64) / time_constant).exp();
            self.traffic = self.traffic * decay + delivered;
            self.traffic_updated_at = now;
        }
    }

    /// Whether it is neither suspect nor warming up.
    pub(crate) fn is_warm(&self) -> bool {
        !self.suspect && self.warming_since.is_none()
    }
}

/// What the attempts by all routes that are subject to a limiter show of it.
#[derive(Default)]
pub(crate) struct Limiter {
    /// The least time between two sends.
    pub(crate) pacing_interval: Nanos,
    pub(crate) last_sent_at: Nanos,
    /// When it last rejected an attempt that was sent after the rejection before.
    pub(crate) rate_limited_at: Nanos,
    /// Its first rejection since something was delivered.
    pub(crate) rate_limited_since: Option<Nanos>,
}

/// The routes of one destination.
#[derive(Default)]
pub(crate) struct DestinationRoutes {
    /// Their numbers, those picked in this round first.
    pub(crate) routes: Vec<usize>,
    /// How many of them were picked in this round.
    pub(crate) picked: usize,
    /// The route that represents the limiter that the destination's routes share.
    pub(crate) shared_limiter_route: Option<usize>,
    /// The part by which its answer times exceed the usual ones.
    pub(crate) extra_latency: f64,
    /// The number of answers that this was learnt from.
    pub(crate) latency_samples: f64,
}

impl DestinationRoutes {
    /// The route that represents the limiter of a new route, which is the new one if it is the
    /// first.
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

    /// The routes in the order of their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Route> {
        self.all.iter()
    }

    /// What is known of a destination.
    pub(crate) fn destination(&self, destination: DestinationId) -> Option<&DestinationRoutes> {
        self.by_destination.get(&destination)
    }

    /// What is known of a destination, for changes; created for a new one.
    pub(crate) fn destination_mut(&mut self, destination: DestinationId) -> &mut DestinationRoutes {
        self.by_destination.entry(destination).or_default()
    }

    /// The numbers of a destination's routes.
    pub(crate) fn of(&self, destination: DestinationId) -> &[usize] {
        self.by_destination
            .get(&destination)
            .map_or(&[], |known| &known.routes)
    }

    /// The routes that are subject to the same limiter, this one among them.
    pub(crate) fn sharing_limiter(&self, route: usize) -> Vec<usize> {
        let same = |&other: &usize| self[other].limiter_route == self[route].limiter_route;
        self.of(self[route].entry.destination)
            .iter()
            .copied()
            .filter(same)
            .collect()
    }

    /// The limiter that a route is subject to.
    pub(crate) fn limiter(&self, route: usize) -> &Limiter {
        &self[self[route].limiter_route].limiter
    }

    /// The limiter that a route is subject to, for changes.
    pub(crate) fn limiter_mut(&mut self, route: usize) -> &mut Limiter {
        let limiter_route = self[route].limiter_route;
        &mut self[limiter_route].limiter
    }

    /// The number of the next route that is added.
    pub(crate) fn next_number(&self) -> usize {
        self.all.len()
    }

    /// Adds a route under the next number, or replaces one of the same destination. Returns the
    /// endpoint that was replaced.
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

    /// Marks all endpoints as gone, before a snapshot of the list is applied.
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
