//! The life cycle of attempts: sending, time-outs, closing and completion.

use super::dispatcher::AttemptInFlight;
use super::simulation::{Event, Simulation};
use crate::record::Observation;
use crate::world::time::ms;
use crate::world::{CallRequest, ConnId, ConnectResult};
use bellsill_core::interface::{
    AttemptEnd, AttemptNumber, EndpointId, MessageId, Nanos, Outcome, ZoneId,
};

impl Simulation {
    pub(super) fn send_attempt(
        &mut self,
        dispatcher: usize,
        message: MessageId,
        endpoint: EndpointId,
        timeout: Nanos,
    ) {
        let now = self.now;
        let Some(pending) = self.dispatchers[dispatcher].messages.get_mut(&message) else {
            return;
        };
        let number = AttemptNumber(pending.attempts);
        pending.attempts += 1;
        pending.in_flight = Some(AttemptInFlight {
            number,
            endpoint,
            started_at: now,
            conn: None,
            call: None,
        });
        let timeout_event = |unconnected| Event::AttemptTimeout {
            dispatcher,
            message,
            number: number.0,
            unconnected,
        };
        match self.connection(dispatcher, endpoint) {
            ConnectResult::Connected(conn) => {
                self.schedule(now + timeout, timeout_event(false));
                self.call(dispatcher, message, endpoint, conn);
            }
            ConnectResult::Refused => {
                self.end_attempt(dispatcher, message, Outcome::ConnectFailed);
            }
            ConnectResult::NoResponse => {
                let connect_timeout = ms(self.world.plan.spec.dispatchers.connect_timeout_ms);
                self.schedule(now + timeout.min(connect_timeout), timeout_event(true));
            }
        }
    }

    /// Takes an idle connection or opens a new one.
    fn connection(&mut self, dispatcher: usize, endpoint: EndpointId) -> ConnectResult {
        if let Some(conn) = self.take_idle(dispatcher, endpoint) {
            return ConnectResult::Connected(conn);
        }
        let result = self.world.open(dispatcher, endpoint);
        if let ConnectResult::Connected(_) = result {
            self.ledger.measure.opened(self.now);
        }
        result
    }

    fn call(&mut self, dispatcher: usize, message: MessageId, endpoint: EndpointId, conn: ConnId) {
        let Some(pending) = self.dispatchers[dispatcher].messages.get_mut(&message) else {
            return;
        };
        let request = CallRequest {
            message,
            class: pending.arrival.class,
            dispatcher,
            idempotency_key: pending.arrival.no,
        };
        let call = self.ledger.next_call_number();
        if let Some(attempt) = &mut pending.in_flight {
            (attempt.conn, attempt.call) = (Some(conn), Some(call));
        }
        let id = self.world.call(conn, request);
        self.observe(Observation::Call {
            call,
            message,
            endpoint,
            dispatcher,
            started_at: self.now,
            fresh: id.is_some(),
        });
        match id {
            Some(id) => {
                self.busy.insert(conn, (dispatcher, message));
                self.call_numbers.insert(id, call);
            }
            None => {
                self.observe(Observation::ConnectionClosed {
                    call,
                    by_endpoint: true,
                });
                self.end_attempt(dispatcher, message, Outcome::ConnectionReset);
            }
        }
    }

    pub(super) fn attempt_timed_out(
        &mut self,
        dispatcher: usize,
        message: MessageId,
        number: u32,
        unconnected: bool,
    ) {
        let attempt = self.dispatchers[dispatcher].in_flight(message);
        let Some(attempt) = attempt.filter(|attempt| attempt.number.0 == number) else {
            return;
        };
        if unconnected {
            self.world.connect_timed_out(dispatcher, attempt.endpoint);
        }
        self.close_attempt(dispatcher, message);
        let outcome = if unconnected {
            Outcome::ConnectFailed
        } else {
            Outcome::TimedOut
        };
        self.end_attempt(dispatcher, message, outcome);
    }

    /// Closes the connection of a message's attempt.
    pub(super) fn close_attempt(&mut self, dispatcher: usize, message: MessageId) {
        let Some(attempt) = self.dispatchers[dispatcher].in_flight(message) else {
            return;
        };
        if let Some(conn) = attempt.conn {
            self.busy.remove(&conn);
            self.world.close(conn);
        }
        if let Some(call) = attempt.call {
            self.observe(Observation::ConnectionClosed {
                call,
                by_endpoint: false,
            });
        }
    }

    pub(super) fn end_attempt(&mut self, dispatcher: usize, message: MessageId, outcome: Outcome) {
        let state = &mut self.dispatchers[dispatcher];
        let Some(pending) = state.messages.get_mut(&message) else {
            return;
        };
        let Some(attempt) = pending.in_flight.take() else {
            return;
        };
        if outcome.may_have_run() {
            let zone = ZoneId(self.world.endpoint(attempt.endpoint).zone);
            pending.record_possible_run(attempt.started_at, zone);
        }
        let message_ended = pending.ended || outcome == Outcome::Delivered;
        if message_ended {
            if !pending.ended {
                state.pending -= 1;
            }
            let arrival = pending.arrival.no;
            state.messages.remove(&message);
            if outcome == Outcome::Delivered {
                self.unresolved.remove(&arrival);
            }
        }
        let end = AttemptEnd {
            message,
            number: attempt.number,
            outcome,
            message_ended,
            elapsed: self.now - attempt.started_at,
            reported_rate_limit: None,
        };
        self.ended.push_back((dispatcher, end));
    }
}
