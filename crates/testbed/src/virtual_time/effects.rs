//! Handles the model's effects.

use super::simulation::{Event, Simulation};
use crate::audit::AuditedEndpoint;
use crate::record::Observation;
use crate::world::plan::DispatcherSignal;
use crate::world::time::MS;
use crate::world::{Answer, CallId, ConnId, Effect};
use bellsill_core::interface::{Nanos, Outcome};

/// How long a dispatcher keeps sending during a graceful shutdown.
const SHUTDOWN_DURATION: Nanos = 2_900 * MS;

fn outcome_of(answer: Answer) -> Outcome {
    match answer {
        Answer::Delivered => Outcome::Delivered,
        Answer::ServerError => Outcome::ServerError,
        Answer::RateLimited(wait) => Outcome::RateLimited {
            retry_after: wait.filter(|&wait| wait > 0),
        },
        Answer::Malformed => Outcome::MalformedResponse,
    }
}

impl Simulation {
    pub(super) fn handle_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { call, conn, answer } => self.answered(call, conn, answer),
            Effect::ConnectionBroken { conn } => self.connection_broken(conn),
            Effect::Applied { call, fresh, .. } => {
                if let Some(call) = self.call_numbers.get(&call).copied() {
                    self.observe(Observation::Applied { call, fresh });
                }
            }
            // Nothing to do: the model checks reachability whenever a connection is opened.
            Effect::ReachabilityChanged { .. } => {}
            Effect::EndpointAdded { endpoint } => {
                let plan = self.world.endpoint(endpoint);
                let endpoint = AuditedEndpoint {
                    zone: plan.zone,
                    rate_limit: plan.rate_limit,
                };
                self.ledger.audit.endpoint_appeared(endpoint);
            }
            Effect::ListPublished {
                dispatcher,
                version,
            } => self.list_published(dispatcher, version),
            Effect::DispatcherSignalled { dispatcher, signal } => self.signal(dispatcher, signal),
            Effect::Overloaded {
                endpoint,
                informed_calls,
                all_calls,
            } => self.observe(Observation::Overloaded {
                endpoint,
                informed_calls,
                all_calls,
            }),
        }
    }

    fn answered(&mut self, call: CallId, conn: ConnId, answer: Answer) {
        let Some((dispatcher, message)) = self.busy.remove(&conn) else {
            return;
        };
        if let Some(call) = self.call_numbers.remove(&call) {
            self.observe(Observation::Answered { call, answer });
        }
        let attempt = self.dispatchers[dispatcher].in_flight(message);
        match (answer, attempt) {
            (Answer::Malformed, _) | (_, None) => self.world.close(conn),
            (_, Some(attempt)) => self.keep_idle(dispatcher, attempt.endpoint, conn),
        }
        self.end_attempt(dispatcher, message, outcome_of(answer));
    }

    fn connection_broken(&mut self, conn: ConnId) {
        let Some((dispatcher, message)) = self.busy.remove(&conn) else {
            return;
        };
        let attempt = self.dispatchers[dispatcher].in_flight(message);
        if let Some(call) = attempt.and_then(|attempt| attempt.call) {
            self.observe(Observation::ConnectionClosed {
                call,
                by_endpoint: true,
            });
        }
        self.end_attempt(dispatcher, message, Outcome::ConnectionReset);
    }

    fn signal(&mut self, dispatcher: usize, signal: DispatcherSignal) {
        match signal {
            DispatcherSignal::Kill => self.kill(dispatcher),
            DispatcherSignal::Terminate => {
                let state = &mut self.dispatchers[dispatcher];
                state.shutting_down = true;
                let starts = state.starts;
                let timeout = Event::ShutdownTimeout { dispatcher, starts };
                self.schedule(self.now + SHUTDOWN_DURATION, timeout);
            }
            DispatcherSignal::Start => self.start(dispatcher),
        }
    }
}
