//! The attempts in flight: connecting, sending the request, reading the response and recording the outcome.

use super::message::{DeliveryState, MAX_BODY_BYTES};
use super::runtime::Runtime;
use crate::action_rules::{RequestFacts, RestrictedAction, may_send_request};
use crate::clock::NANOS_PER_MS;
use crate::connection::{BufferBounds, ConnectionId, Role, is_transient};
use crate::endpoint::{
    ConnectionReuse, Evaluation, RESPONSE_TIMEOUT, ResponseReader, UnassignedState,
};
use crate::http::{self, InvalidLoadReport, MalformedResponse};
use crate::message_slot::MessageSlot;
use crate::timer::Timer;
use bellsill_core::interface::{AttemptEnd, EndpointId, Outcome};
use std::io;

/// The maximum size of a request head.
const REQUEST_HEAD_BYTES: usize = 4 * 1024;
const REQUEST_BUFFERS: BufferBounds = BufferBounds {
    input: http::MAX_HEAD_BYTES,
    output: MAX_BODY_BYTES + REQUEST_HEAD_BYTES,
};

/// Whether the response to an attempt has determined its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptProgress {
    /// The attempt is still in flight.
    InFlight,
    /// The outcome is known and recorded.
    Ended,
}

impl Runtime {
    /// Uses an idle connection for an attempt, or opens a new one.
    pub(super) fn connect_attempt(&mut self, slot: MessageSlot, endpoint: EndpointId) {
        let (endpoints, mut io) = self.endpoints_and_io();
        if let Some(conn) = endpoints.take_idle(&mut io, endpoint) {
            return self.write_request(slot, conn);
        }
        if self.connections.is_full() {
            // Without an idle connection to close, the table stays full, which is handled below.
            self.close_oldest_idle().ok();
        }
        let opened = match !self.connections.is_full() {
            true => self.connections.open(
                self.endpoints.addr(endpoint),
                Role::Endpoint(endpoint),
                REQUEST_BUFFERS,
            ),
            false => Err(io::Error::other("the connection table is full")),
        };
        match opened {
            Ok(conn) => {
                self.attempts.insert(conn, slot);
                self.timers.set(
                    Timer::Connection(conn),
                    self.now + self.settings.connect_timeout,
                );
                if let Some(attempt) = self.messages.attempt_mut(slot) {
                    attempt.connection = Some(conn);
                }
                self.transition(slot, DeliveryState::Connecting);
            }
            // A local failure is not `ConnectFailed`, which the decision logic would count against the endpoint.
            Err(e) if self.connections.is_full() || is_transient(&e) => {
                self.end_attempt(slot, Outcome::NotStarted, false);
            }
            Err(_) => self.end_attempt(slot, Outcome::ConnectFailed, false),
        }
    }

    /// The facts that decide whether the request of a message's attempt may be sent. `allowed` is the answer of the
    /// decision logic.
    pub(super) fn request_facts(&self, slot: MessageSlot, allowed: bool) -> RequestFacts {
        RequestFacts {
            message_ended: self.messages.get(slot).is_none_or(|m| m.state.is_final()),
            before_deadline: self.before_deadline(slot),
            allowed,
        }
    }

    /// Records an attempt in the journal, then sends its request on an established connection. The decision logic has
    /// allowed the attempt for this moment.
    pub(super) fn write_request(&mut self, slot: MessageSlot, conn: ConnectionId) {
        let permission = may_send_request(self.request_facts(slot, true));
        let (now, Some(message)) = (self.now, self.messages.get_mut(slot)) else {
            return;
        };
        let Some(attempt) = &mut message.attempt else {
            return;
        };
        let addr = self.endpoints.addr(attempt.endpoint);
        let zone = self.endpoints.zone(attempt.endpoint);
        let recorded = self.journal.append_attempt(message.id, now, zone);
        let head = http::delivery_request_head(
            message.id.0,
            &message.idempotency_key,
            addr,
            attempt.deadline.saturating_sub(now),
            message.body.len(),
        );
        attempt.connection = Some(conn);
        if recorded.is_err() {
            self.attempts.remove(&conn);
            let (endpoints, mut io) = self.endpoints_and_io();
            endpoints.store_idle(&mut io, conn);
            self.end_attempt(slot, Outcome::NotStarted, false);
            return;
        }
        attempt.request_started = true;
        self.metrics.violations.check(
            RestrictedAction::SendRequest,
            permission,
            format_args!("message {:016x}", message.id.0),
        );
        log::debug!(
            "message {:016x}: attempt {} to {}: request started {} ms after the decision",
            message.id.0,
            attempt.number.0,
            addr,
            (now - attempt.started_at) / NANOS_PER_MS
        );
        self.metrics.attempts += 1;
        if let Some(to) = self.connections.get_mut(conn) {
            // The buffer has room for the largest request and was empty.
            to.output.push(head.as_bytes());
            to.output.push(&message.body);
        }
        self.attempts.insert(conn, slot);
        self.transition(slot, DeliveryState::InFlight);
        if self.connections.flush(conn).is_err() {
            self.abort_attempt(slot, Outcome::ConnectionReset);
        }
    }

    /// Ends an attempt and queues its outcome for the next `report_attempt_ends`. The caller closes the connection or
    /// returns it to the pool. `message_ended` ends the message whatever the outcome.
    pub(super) fn end_attempt(&mut self, slot: MessageSlot, outcome: Outcome, message_ended: bool) {
        let Some(message) = self.messages.get_mut(slot) else {
            return;
        };
        let Some(attempt) = message.attempt.take() else {
            return;
        };
        if outcome == Outcome::NotStarted {
            message.attempts -= 1;
            self.metrics.attempts_not_started += 1;
        }
        let (id, state) = (message.id, message.state);
        log::debug!(
            "message {:016x}: attempt {} ended: request started: {}, outcome: {outcome:?}",
            id.0,
            attempt.number.0,
            attempt.request_started
        );
        self.timers.cancel(Timer::Attempt(slot));
        let was_final = state.is_final();
        if attempt.request_started && !was_final && outcome != Outcome::Delivered {
            // If this write fails, a restart treats the message as possibly run.
            self.journal.append_outcome(id, outcome.may_have_run()).ok();
        }
        let message_ended = message_ended || was_final || outcome == Outcome::Delivered;
        let next = match outcome {
            _ if was_final => state,
            Outcome::Delivered => DeliveryState::Delivered,
            _ if message_ended => DeliveryState::Withdrawn,
            _ => DeliveryState::Waiting,
        };
        self.transition(slot, next);
        self.attempt_ends.push_back(AttemptEnd {
            message: id,
            number: attempt.number,
            outcome,
            message_ended,
            elapsed: self.now - attempt.started_at,
            reported_rate_limit: attempt.reported_limit,
        });
    }

    /// Aborts an attempt and closes its connection. On a timeout or a cancellation, data that has already arrived is
    /// read first, and a decisive response among it still determines the outcome.
    pub(crate) fn abort_attempt(&mut self, slot: MessageSlot, outcome: Outcome) {
        let Some(attempt) = self.messages.attempt(slot) else {
            return;
        };
        let may_have_response = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
        if let Some(conn) = attempt
            .connection
            .filter(|_| attempt.request_started && may_have_response)
        {
            // After a read error, only the data already buffered counts.
            self.connections.read(conn).ok();
            if matches!(self.read_response(conn, slot), Ok(AttemptProgress::Ended)) {
                return;
            }
        }
        let request_written = attempt
            .connection
            .and_then(|c| self.connections.get(c))
            .is_some_and(|c| c.output.is_empty());
        let outcome = match outcome {
            Outcome::NotSent { .. } | Outcome::NotStarted => outcome,
            // An incomplete request is never run by the endpoint.
            _ if !attempt.request_started || !request_written => Outcome::ConnectFailed,
            outcome => outcome,
        };
        if let Some(conn) = attempt.connection {
            self.attempts.remove(&conn);
            self.responses.remove(&conn);
            self.timers.cancel(Timer::Connection(conn));
            self.connections.close(conn);
        }
        self.end_attempt(slot, outcome, false);
    }

    /// Handles the expiry of the timer of a connection to an endpoint.
    pub(crate) fn endpoint_connection_timed_out(&mut self, id: ConnectionId) {
        match self.attempts.get(&id) {
            Some(&slot) if self.responses.contains_key(&id) => {
                self.abort_attempt(slot, Outcome::MalformedResponse);
            }
            Some(&slot) => self.abort_attempt(slot, Outcome::ConnectFailed),
            None => {
                let (endpoints, mut io) = self.endpoints_and_io();
                endpoints.close_connection(&mut io, id);
            }
        }
    }

    /// Aborts the attempts that wait for a connection to the previous address of an endpoint: by the time it is
    /// established, the address may belong to another endpoint.
    pub(super) fn abort_connecting(&mut self, endpoint: EndpointId) {
        let connecting = |id: &ConnectionId| {
            self.connections
                .get(*id)
                .is_some_and(|c| c.connecting && c.role == Role::Endpoint(endpoint))
        };
        let attempts = self.attempts.iter().filter(|(id, _)| connecting(id));
        for slot in attempts.map(|(_, slot)| *slot).collect::<Vec<_>>() {
            self.abort_attempt(slot, Outcome::NotSent { no_capacity: false });
        }
    }

    /// Whether the deadline of the message's attempt is still ahead.
    pub(super) fn before_deadline(&self, slot: MessageSlot) -> bool {
        self.messages
            .attempt(slot)
            .is_some_and(|attempt| self.now < attempt.deadline)
    }

    /// Reads the response data that has arrived, and ends the attempt once its outcome is certain.
    pub(super) fn read_response(
        &mut self,
        id: ConnectionId,
        slot: MessageSlot,
    ) -> Result<AttemptProgress, MalformedResponse> {
        let Some(conn) = self.connections.get_mut(id) else {
            return Ok(AttemptProgress::Ended);
        };
        if conn.input.is_empty() && !conn.peer_closed {
            return Ok(AttemptProgress::InFlight);
        }
        let mut reader = self.responses.remove(&id).unwrap_or_else(|| {
            self.timers
                .set(Timer::Connection(id), self.now + RESPONSE_TIMEOUT);
            ResponseReader::new()
        });
        let response = match reader.evaluate(conn)? {
            Evaluation::Decided(response) => response,
            Evaluation::Incomplete => {
                self.responses.insert(id, reader);
                return Ok(AttemptProgress::InFlight);
            }
        };
        let report = response
            .load_report
            .filter(|_| self.settings.reports_limits);
        self.apply_load_report(slot, report);
        self.attempts.remove(&id);
        let (endpoints, mut io) = self.endpoints_and_io();
        match response.reuse {
            ConnectionReuse::Immediate => {
                endpoints.release_connection(&mut io, id, reader, UnassignedState::Idle)
            }
            ConnectionReuse::AfterResponse => endpoints.release_connection(
                &mut io,
                id,
                reader,
                UnassignedState::ResponseIncomplete,
            ),
            ConnectionReuse::Close => endpoints.close_connection(&mut io, id),
        }
        self.end_attempt(slot, response.outcome, response.ends_message);
        Ok(AttemptProgress::Ended)
    }

    /// Applies the load report of a response. An invalid report is ignored, and logged only the first time.
    fn apply_load_report(
        &mut self,
        slot: MessageSlot,
        report: Option<Result<f64, InvalidLoadReport>>,
    ) {
        match (report, self.messages.attempt_mut(slot)) {
            (Some(Ok(limit)), Some(attempt)) => attempt.reported_limit = Some(limit),
            (Some(Err(InvalidLoadReport)), _)
                if !std::mem::replace(&mut self.invalid_report_logged, true) =>
            {
                log::warn!(
                    "ignored a load report of an endpoint whose `{}` is missing or not between 0 and 1e9; later \
                     invalid load reports are ignored without a log line",
                    http::LIMIT_FIELD
                )
            }
            _ => {}
        }
    }
}
