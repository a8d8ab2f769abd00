//! The state of a dispatcher: records, queues and indexes. Nothing here decides; [`crate::control`]
//! does.

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

/// One instance. Its state is declared here; the methods that decide are in [`crate::control`].
#[derive(Default)]
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) random: Random,
    /// The time of the latest event.
    pub(crate) now: Nanos,
    pub(crate) answer_times: AnswerTimes,
    pub(crate) routes: Routes,
    pub(crate) messages: BTreeMap<MessageId, Message>,
    pub(crate) waiting: WaitingQueues,
    pub(crate) keys: KeyQueues,
    pub(crate) in_flight: AttemptsInFlight,
    /// The number of the latest call.
    pub(crate) latest_call: u64,
    /// Disabled by an operator: nothing new is sent there, whatever the endpoint list says.
    pub(crate) disabled: BTreeSet<EndpointId>,
    /// The caller had no capacity for one more call although the count here allowed it: nothing is
    /// sent until then.
    pub(crate) no_capacity_until: Nanos,
    /// No half-open trial of a suspect route starts until then.
    pub(crate) trials_paused_until: Nanos,
    /// For each kind of destinations: how its idle connections fared.
    pub(crate) idle_connections: BTreeMap<usize, IdleConnections>,
    pub(crate) watch_request: WatchRequest,
    /// The soonest wakeup that was requested.
    pub(crate) wakeup_at: Option<Nanos>,
}

impl Dispatcher {
    /// The state at the start of an instance.
    pub(crate) fn with_latency(now: Nanos, settings: Settings, initial_latency_nanos: f64) -> Self {
        Dispatcher {
            random: Random::seeded(settings.seed),
            answer_times: AnswerTimes::new(settings.classes.len(), initial_latency_nanos),
            now,
            settings,
            ..Self::default()
        }
    }

    /// How many listed endpoints are avoided now: those that an operator disabled and those that
    /// are suspect.
    pub fn unavailable_endpoints(&self) -> usize {
        self.routes
            .iter()
            .filter(|route| route.listed && (!route.entry.serving || route.suspect))
            .count()
    }

    /// Whether an endpoint serves and is not suspended.
    pub fn accepts_attempts(&self, now: Nanos, endpoint: EndpointId) -> bool {
        let route = self
            .routes
            .find(endpoint)
            .map(|number| &self.routes[number]);
        route.is_some_and(|route| route.entry.serving && route.suspended_until <= now)
    }

    /// Until when an endpoint is suspended; zero for one that is not known.
    pub fn suspended_until(&self, endpoint: EndpointId) -> Nanos {
        self.routes
            .find(endpoint)
            .map_or(0, |number| self.routes[number].suspended_until)
    }

    /// Whether one more call may be in flight.
    pub(crate) fn has_capacity(&self) -> bool {
        self.in_flight.count_calls(|_| true) < self.settings.max_in_flight
    }

    /// From when on the order of its key lets a message be sent; `None` while an earlier message
    /// holds it up.
    pub(crate) fn key_ready_at(&self, id: MessageId) -> Option<Nanos> {
        if self.keys.is_empty() {
            Some(0) // Spares the look-up of the message where nothing is ordered.
        } else {
            self.keys.ready_at(&self.messages[&id])
        }
    }
}
