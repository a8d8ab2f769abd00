//! The routes that a dispatcher knows, by number, by endpoint and by destination.

use crate::interface::*;
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

/// The way to one endpoint, and what was observed of it.
#[derive(Default)]
pub struct Route {
    /// `serving` there is what the list says, unless the endpoint is disabled by an operator.
    pub entry: EndpointEntry,
    pub listed: bool,
    /// The route that stands for the limiter it is subject to: itself, or the first of those that share it.
    pub limiter_route: usize,
    /// What was observed of the limiter, on the route that stands for it.
    pub limiter: Limiter,
    /// Held for silence or failures: one trial at a time.
    pub suspect: bool,
    /// The start of its slow-start ramp.
    pub cold_since: Option<Nanos>,
    /// The moving share of its attempts that failed.
    pub failure_share: f64,
    pub suspended_until: Nanos,
    /// The next suspension, for a refusal without a retry-after.
    pub backoff: Nanos,
    /// When something was last sent there, or its serving changed.
    pub sent_at: Nanos,
    /// Messages delivered of late, decaying while it is sound.
    pub traffic: f64,
    /// When `traffic` was last brought up to date.
    pub traffic_at: Nanos,
    /// When it last answered in usual time.
    pub answered_at: Nanos,
    /// Connections that it refused at once since it last delivered.
    pub refused_connections: u32,
    /// The factor for its spacing and its backoff, drawn anew with each send.
    pub jitter: f64,
    /// It failed, or refused for long, since it was last sound: it will return cold.
    pub ejected: bool,
}

impl Route {
    /// Applies what the list says of the endpoint.
    pub fn apply(&mut self, entry: &EndpointEntry, disabled: bool, now: Nanos) {
        self.listed = entry.serving;
        if entry.rate.is_some() {
            self.entry.rate = entry.rate; // Otherwise an answer may have reported it.
        }
        let serving = entry.serving && !disabled;
        if std::mem::replace(&mut self.entry.serving, serving) != serving {
            self.sent_at = now; // All dispatchers hear of its return at once.
        }
    }

    /// Disables or enables the endpoint.
    pub fn set_disabled(&mut self, disabled: bool, now: Nanos) {
        self.entry.serving = self.listed && !disabled;
        self.sent_at = now;
    }

    /// Decays the traffic up to now with this time constant and adds to it, while the route is warm and not ejected.
    pub fn update_traffic(&mut self, now: Nanos, delivered: f64, span: f64) {
        if self.is_warm() && !self.ejected {
            let decay = (-((now - self.traffic_at) as f64) / span).exp();
            self.traffic = self.traffic * decay + delivered;
            self.traffic_at = now;
        }
    }

    /// Whether it is neither suspect nor cold.
    pub fn is_warm(&self) -> bool {
        !self.suspect && self.cold_since.is_none()
    }
}

/// What the attempts by all routes that are subject to a limiter show of it.
#[derive(Default)]
pub struct Limiter {
    /// The time kept between sends.
    pub pacing_interval: Nanos,
    pub sent_at: Nanos,
    /// The last refusal that was news.
    pub refused_at: Nanos,
    /// The first refusal since something was delivered.
    pub refused_since: Option<Nanos>,
}

/// The routes of one destination.
#[derive(Default)]
pub struct DestinationRoutes {
    /// Their numbers, those picked in this round first.
    pub routes: Vec<usize>,
    /// How many of them were picked in this round.
    pub picked: usize,
    /// The route that stands for the limiter that the destination's routes share.
    pub shared_limiter_route: Option<usize>,
    /// By which part its answer times exceed the usual ones.
    pub extra_latency: f64,
    /// From how many answers that was learnt.
    pub latency_samples: f64,
}

impl DestinationRoutes {
    /// The route that stands for the limiter of a new route.
    pub fn limiter_route(&mut self, new: usize, separate_limits: bool) -> usize {
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
pub struct Routes {
    all: Vec<Route>,
    by_endpoint: BTreeMap<EndpointId, usize>,
    by_destination: BTreeMap<DestinationId, DestinationRoutes>,
}

impl Routes {
    /// The route to an endpoint.
    pub fn find(&self, endpoint: EndpointId) -> Option<usize> {
        self.by_endpoint.get(&endpoint).copied()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.all.iter()
    }

    /// What is known of a destination.
    pub fn destination(&self, destination: DestinationId) -> Option<&DestinationRoutes> {
        self.by_destination.get(&destination)
    }

    /// What is known of a destination, for changes; created for a new one.
    pub fn destination_mut(&mut self, destination: DestinationId) -> &mut DestinationRoutes {
        self.by_destination.entry(destination).or_default()
    }

    /// The numbers of a destination's routes.
    pub fn of(&self, destination: DestinationId) -> &[usize] {
        self.by_destination
            .get(&destination)
            .map_or(&[], |known| &known.routes)
    }

    /// The routes that are subject to the same limiter, this one among them.
    pub fn sharing_limiter(&self, route: usize) -> Vec<usize> {
        let same = |&other: &usize| self[other].limiter_route == self[route].limiter_route;
        self.of(self[route].entry.destination)
            .iter()
            .copied()
            .filter(same)
            .collect()
    }

    /// The limiter that a route is subject to.
    pub fn limiter(&self, route: usize) -> &Limiter {
        &self[self[route].limiter_route].limiter
    }

    /// The limiter that a route is subject to, for changes.
    pub fn limiter_mut(&mut self, route: usize) -> &mut Limiter {
        let limiter_route = self[route].limiter_route;
        &mut self[limiter_route].limiter
    }

    /// The number of the next route that is added.
    pub fn next_number(&self) -> usize {
        self.all.len()
    }

    /// Adds a route under the next number, or replaces one of the same destination. Returns the endpoint that was
    /// replaced.
    pub fn put(&mut self, number: usize, route: Route) -> Option<EndpointId> {
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

    /// Takes all endpoints for gone, before a whole list is applied.
    pub fn unlist(&mut self, now: Nanos) {
        for route in &mut self.all {
            if std::mem::take(&mut route.entry.serving) {
                route.sent_at = now;
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
