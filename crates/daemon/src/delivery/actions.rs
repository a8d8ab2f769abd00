//! What the decisions order, carried out.

use crate::connection::ConnectionId;
use crate::delivery::Runtime;
use crate::delivery::message::{AttemptInFlight, DeliveryState};
use crate::timer::Timer;
use bellsill_core::interface::{Actions, AttemptNumber, EndpointId, MessageId, Nanos, Outcome};

impl Actions for Runtime {
    fn send_attempt(&mut self, message: MessageId, endpoint: EndpointId, time_out: Nanos) {
        let Some(&slot) = self.by_id.get(&message) else {
            return;
        };
        let Some(held) = self.messages.get_mut(slot) else {
            return;
        };
        let (started_at, deadline) = (self.now, self.now + time_out);
        let number = AttemptNumber(held.attempts);
        held.attempts += 1;
        held.attempt = Some(AttemptInFlight {
            number,
            endpoint,
            connection: None,
            started_at,
            deadline,
            request_started: false,
            reported_limit: None,
        });
        self.deadlines.set(Timer::Attempt(slot), deadline);
        self.connect_attempt(slot, endpoint);
    }

    fn reject(&mut self, message: MessageId, retry_after: Nanos) {
        self.end_message(message, DeliveryState::Rejected { retry_after });
    }

    fn fail(&mut self, message: MessageId) {
        self.end_message(message, DeliveryState::Failed);
    }

    fn cancel_attempt(&mut self, message: MessageId, number: AttemptNumber) {
        let Some(&slot) = self.by_id.get(&message) else {
            return;
        };
        if self
            .messages
            .get(slot)
            .and_then(|m| m.attempt)
            .is_some_and(|c| c.number == number)
        {
            self.abort_attempt(slot, Outcome::Cancelled);
        }
    }

    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        for conn in std::mem::take(&mut self.endpoints[endpoint].idle) {
            self.deadlines.clear(Timer::Connection(conn));
            self.connections.close(conn);
        }
    }

    fn endpoint_removed(&mut self, endpoint: EndpointId) {
        let of = |c: &crate::connection::Connection| {
            c.role == crate::connection::Role::Endpoint(endpoint)
        };
        // What the next one of that number finds is its own.
        let connections: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, c)| of(c))
            .map(|(id, _)| id)
            .collect();
        connections
            .into_iter()
            .for_each(|conn| self.close_idle(conn));
        self.endpoints.remove(endpoint);
    }

    // The watch is kept open here, whatever the settings say.
    fn request_watch(&mut self) {}
    fn schedule_wakeup(&mut self, after: Nanos) {
        self.deadlines.set(Timer::Wakeup, self.now + after);
    }

    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}

impl Runtime {
    pub(crate) fn end_message(&mut self, message: MessageId, to: DeliveryState) {
        let Some(&slot) = self.by_id.get(&message) else {
            return;
        };
        self.transition(slot, to);
        // Once its end is told nothing of it may go out: an attempt that has not begun ends here.
        if self
            .messages
            .get(slot)
            .and_then(|m| m.attempt)
            .is_some_and(|c| !c.request_started)
        {
            self.abort_attempt(slot, Outcome::ConnectFailed);
        }
    }
}
