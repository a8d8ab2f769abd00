//! The state of a dispatcher: records, queues and indexes. All decisions are made in
//! [`crate::control`].

pub(crate) mod answer_times;
pub(crate) mod attempts;
pub(crate) mod idle_connections;
pub(crate) mod keys;
pub(crate) mod messages;
pub(crate) mod queues;
pub(crate) mod routes;
mod sends;
mod transitions;
pub(crate) mod watch_request;

use crate::interface::{EndpointId, MessageId, Nanos, Settings};
use crate::random::Random;
use answer_times::AnswerTimes;
use attempts::AttemptsInFlight;
use idle_connections::IdleConnections;
use keys::KeyQueues;
use messages::Message;
use queues::WaitingQueues;
use routes::Routes;
use std::collections::{BTreeMap, BTreeSet};
use watch_request::WatchRequest;

/// A dispatcher instance. Its state is declared here; its decision logic is in [`crate::control`].
#[derive(Default)]
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) random: Random,
    /// The time of the event that is being handled.
    pub(crate) now: Nanos,
    pub(crate) answer_times: AnswerTimes,
    pub(crate) routes: Routes,
    pub(crate) messages: BTreeMap<MessageId, Message>,
    pub(crate) waiting: WaitingQueues,
    pub(crate) keys: KeyQueues,
    pub(crate) in_flight: AttemptsInFlight,
    /// The number of the latest call.
    pub(crate) latest_call: u64,
    /// The endpoints disabled by an operator, which get no new attempts whatever the endpoint list
    /// says.
    pub(crate) disabled: BTreeSet<EndpointId>,
    /// Until when sending is paused because the caller had no capacity although the in-flight count
    /// allowed one more call.
    pub(crate) no_capacity_until: Nanos,
    /// Until when no half-open trial of a suspect route is started.
    pub(crate) trials_paused_until: Nanos,
    /// The observations of idle connections for each kind of destinations.
    pub(crate) idle_connections: BTreeMap<usize, IdleConnections>,
    pub(crate) watch_request: WatchRequest,
    /// The time of the wakeup that is currently requested.
    pub(crate) wakeup_at: Option<Nanos>,
}

impl Dispatcher {
    /// Creates the initial state, with the usual answer time to assume before the first answer.
    pub(crate) fn with_latency(now: Nanos, settings: Settings, initial_latency_nanos: f64) -> Self {
        Dispatcher {
            random: Random::seeded(settings.seed),
            answer_times: AnswerTimes::new(settings.classes.len(), initial_latency_nanos),
            now,
            settings,
            ..Self::default()
        }
    }

    /// The number of listed endpoints that are currently avoided: those disabled by an operator and
    /// those that are suspect.
    pub fn unavailable_endpoints(&self) -> usize {
        self.routes
            .iter()
            .filter(|route| route.listed && (!route.entry.serving || route.suspect))
            .count()
    }

    /// Whether an endpoint is serving and not suspended.
    pub fn accepts_attempts(&self, now: Nanos, endpoint: EndpointId) -> bool {
        let route = self
            .routes
            .find(endpoint)
            .map(|number| &self.routes[number]);
        route.is_some_and(|route| route.entry.serving && route.suspended_until <= now)
    }

    /// The end of an endpoint's suspension, in the past if it is not suspended; zero for an unknown
    /// endpoint.
    pub fn suspended_until(&self, endpoint: EndpointId) -> Nanos {
        self.routes
            .find(endpoint)
            .map_or(0, |number| self.routes[number].suspended_until)
    }

    /// Whether the in-flight limit allows another call.
    pub(crate) fn has_capacity(&self) -> bool {
        self.in_flight.count_calls(|_| true) < self.settings.max_in_flight
    }

    /// The earliest time at which the order of its key allows a message to be sent, or `None` while
    /// an earlier message blocks it.
    pub(crate) fn key_ready_at(&self, id: MessageId) -> Option<Nanos> {
        if self.keys.is_empty() {
            Some(0) // Avoids the message lookup while no key has a queue.
        } else {
            self.keys.ready_at(&self.messages[&id])
        }
    }
}
