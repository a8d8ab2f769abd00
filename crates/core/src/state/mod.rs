//! The state of a dispatcher: records, queues and indexes. Nothing here decides; [`crate::control`] does.

pub mod attempts;
pub mod idle_connections;
pub mod keys;
pub mod messages;
pub mod queues;
pub mod routes;
mod sends;
mod transitions;

use crate::interface::*;
use crate::random::Random;
use std::collections::{BTreeMap, BTreeSet};

/// A time that does not come.
pub const NEVER: Nanos = Nanos::MAX;

/// One instance. Its state is declared here; the methods that decide are in [`crate::control`].
#[derive(Default)]
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) random: Random,
    /// The time of the latest event.
    pub(crate) now: Nanos,
    /// The usual answer time of each class, over all routes.
    pub(crate) usual_latency: Vec<f64>,
    pub(crate) routes: routes::Routes,
    pub(crate) messages: BTreeMap<MessageId, messages::Message>,
    pub(crate) waiting: queues::WaitingQueues,
    pub(crate) keys: keys::KeyQueues,
    pub(crate) in_flight: attempts::AttemptsInFlight,
    /// The number of the latest call.
    pub(crate) calls: u64,
    /// Disabled by an operator: nothing new is sent there, whatever the list says.
    pub(crate) disabled: BTreeSet<EndpointId>,
    /// No slot was free, contrary to the count here: nothing is sent until then.
    pub(crate) no_slot_until: Nanos,
    /// No trial of a suspect route until then.
    pub(crate) trial_until: Nanos,
    /// The moving share of attempts that were not answered in usual time.
    pub(crate) missed_share: f64,
    /// For each kind of destinations, how idle connections fared.
    pub(crate) idle_connections: BTreeMap<usize, idle_connections::IdleConnections>,
    /// Where lists come only on request: when to request a watch.
    pub(crate) watch_request_at: Nanos,
    /// Over how long the next such request is spread.
    pub(crate) watch_request_spread: Nanos,
    /// The soonest wake that was requested.
    pub(crate) wake_at: Nanos,
}

impl Dispatcher {
    /// The state at the start of an instance.
    pub(crate) fn with_latency(now: Nanos, settings: Settings, initial_latency: f64) -> Self {
        Dispatcher {
            random: Random::seeded(settings.seed),
            usual_latency: vec![initial_latency; settings.classes.len()],
            now,
            wake_at: NEVER,
            watch_request_at: NEVER,
            settings,
            ..Self::default()
        }
    }

    /// How many listed endpoints are avoided now: disabled by an operator, or held for silence or failures.
    pub fn unavailable_endpoints(&self) -> usize {
        self.routes
            .iter()
            .filter(|route| route.listed && (!route.entry.serving || route.suspect))
            .count()
    }

    /// Whether an endpoint serves and is not suspended.
    pub fn is_open(&self, now: Nanos, endpoint: EndpointId) -> bool {
        let route = self
            .routes
            .find(endpoint)
            .map(|number| &self.routes[number]);
        route.is_some_and(|route| route.entry.serving && route.suspended_until <= now)
    }

    /// Until when an endpoint is suspended; nought for one that is not known.
    pub fn suspended_until(&self, endpoint: EndpointId) -> Nanos {
        self.routes
            .find(endpoint)
            .map_or(0, |number| self.routes[number].suspended_until)
    }

    /// Whether one more call may be in flight.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.in_flight.count_calls(|_| true) < self.settings.max_in_flight
    }

    /// The usual answer time of a class at a destination.
    pub(crate) fn usual_latency(&self, destination: DestinationId, class: usize) -> f64 {
        let extra = self
            .routes
            .destination(destination)
            .map_or(0.0, |known| known.extra_latency);
        self.usual_latency[class] * (1.0 + extra)
    }

    /// From when on the order of its key lets a message be sent.
    pub(crate) fn turn_at(&self, id: MessageId) -> Nanos {
        if self.keys.is_empty() {
            0
        } else {
            self.keys.turn_at(&self.messages[&id])
        }
    }
}
