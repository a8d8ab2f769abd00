//! Attempts in flight: from the connection they wait for to their outcome.

use crate::client::resp::MAX_COMMAND_BYTES;
use crate::connection::{ConnectionId, Role};
use crate::delivery::Runtime;
use crate::delivery::message::{DeliveryState, MessageSlot};
use crate::endpoint::{MAX_BODY_BYTES, RESPONSE_TIMEOUT, ResponseProgress};
use crate::event_loop::Daemon;
use crate::http;
use crate::timer::Timer;
use bellsill_core::interface::{AttemptEnd, EndpointId, Outcome};

/// Whether a connection could not be opened for want of something on this machine.
fn is_local(e: &std::io::Error) -> bool {
    matches!(
        e.raw_os_error(),
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL)
    )
}

impl Runtime {
    /// Finds a connection for an attempt: an idle one, or a new one that has to come up.
    pub fn connect_attempt(&mut self, slot: MessageSlot, endpoint: EndpointId) {
        while let Some(conn) = self.endpoints[endpoint].idle.pop() {
            // After a stand-still its time may be up, and its deadline not seen yet.
            let in_time = !self.deadlines.is_expired(Timer::Connection(conn), self.now);
            self.deadlines.clear(Timer::Connection(conn));
            // The other side may have closed it, and the poller not yet told: a call written then would be lost.
            let good = in_time
                && self.connections.read(conn).is_ok()
                && self
                    .connections
                    .get(conn)
                    .is_some_and(|c| !c.peer_closed && c.input.is_empty());
            if good {
                return self.write_request(slot, conn);
            }
            self.connections.close(conn);
        }
        if self.connections.is_full() {
            self.close_oldest_idle();
        }
        let bounds = (http::MAX_HEAD_BYTES, MAX_COMMAND_BYTES);
        let opened = match !self.connections.is_full() {
            true => self.connections.open(
                self.endpoints[endpoint].addr,
                Role::Endpoint(endpoint),
                bounds,
            ),
            false => Err(std::io::Error::other("no descriptor is left")),
        };
        match opened {
            Ok(conn) => {
                self.endpoints.attempts.insert(conn, slot);
                self.deadlines
                    .set(Timer::Connection(conn), self.now + self.connect_timeout);
                if let Some(call) = self.messages.get_mut(slot).and_then(|m| m.attempt.as_mut()) {
                    call.connection = Some(conn);
                }
                self.transition(slot, crate::delivery::message::DeliveryState::Connecting);
            }
            // Nobody was asked: taken for a refusal it would speak against the endpoint.
            Err(e) if self.connections.is_full() || is_local(&e) => {
                self.end_attempt(slot, Outcome::NotStarted, false)
            }
            Err(_) => self.end_attempt(slot, Outcome::ConnectFailed, false),
        }
    }

    /// Writes a message to a connection that is up, the journal first.
    pub fn write_request(&mut self, slot: MessageSlot, conn: ConnectionId) {
        let (now, Some(message)) = (self.now, self.messages.get_mut(slot)) else {
            return;
        };
        let Some(call) = &mut message.attempt else {
            return;
        };
        let endpoint = &self.endpoints[call.endpoint];
        let room = self.journal.append_attempt(message.id, now, &endpoint.zone);
        let head = crate::http::event_request(
            message.id.0,
            &message.idempotency_key,
            endpoint.addr,
            call.deadline.saturating_sub(now),
            message.body.len(),
        );
        call.connection = Some(conn);
        if room.is_err() {
            self.endpoints.attempts.remove(&conn);
            self.pool(conn);
            self.end_attempt(slot, Outcome::NotStarted, false);
            return;
        }
        call.request_started = true;
        log::debug!(
            "message {:016x}: attempt {} to {} started, {} ms after the decision",
            message.id.0,
            call.number.0,
            endpoint.addr,
            (now - call.started_at) / 1_000_000
        );
        self.metrics.attempts += 1;
        if let Some(to) = self.connections.get_mut(conn) {
            // The ring is made for the longest call and was empty.
            to.output.push(head.as_bytes());
            to.output.push(&message.body);
        }
        self.endpoints.attempts.insert(conn, slot);
        self.transition(slot, DeliveryState::InFlight);
        if self.connections.flush(conn).is_err() {
            self.abort_attempt(slot, Outcome::ConnectionReset);
        }
    }

    /// Ends a message's attempt: the decisions are told once they are not at work. The connection is the caller's.
    pub fn end_attempt(&mut self, slot: MessageSlot, outcome: Outcome, over: bool) {
        let Some(message) = self.messages.get_mut(slot) else {
            return;
        };
        let Some(call) = message.attempt.take() else {
            return;
        };
        if outcome == Outcome::NotStarted {
            message.attempts -= 1;
        }
        let (id, stage) = (message.id, message.state);
        log::debug!(
            "message {:016x}: attempt {} ended, request started: {}: {outcome:?}",
            id.0,
            call.number.0,
            call.request_started
        );
        self.deadlines.clear(Timer::Attempt(slot));
        let was_over = stage.is_final();
        if call.request_started && !was_over && outcome != Outcome::Delivered {
            // Until it is written the message counts as one that may have run.
            let _ = self.journal.append_outcome(id, outcome.may_have_run());
        }
        let over = over || was_over || outcome == Outcome::Delivered;
        self.transition(
            slot,
            match outcome {
                _ if was_over => stage,
                Outcome::Delivered => DeliveryState::Delivered,
                _ if over => DeliveryState::Withdrawn,
                _ => DeliveryState::Waiting,
            },
        );
        let took = self.now - call.started_at;
        self.attempt_ends.push_back(AttemptEnd {
            message: id,
            number: call.number,
            outcome,
            message_ended: over,
            elapsed: took,
            reported_limit: call.reported_limit,
        });
    }

    /// Breaks an attempt off: its connection is closed, which tells the endpoint. What has come until then is read first: an
    /// answer that arrived in the moment in which its time fell due, or in which it is called off, is an answer.
    pub fn abort_attempt(&mut self, slot: MessageSlot, outcome: Outcome) {
        let Some(call) = self.messages.get(slot).and_then(|m| m.attempt) else {
            return;
        };
        let in_time = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
        if let Some(conn) = call.connection.filter(|_| call.request_started && in_time) {
            // What cannot be read is as good as not come.
            let _ = self.connections.read(conn);
            if matches!(self.read_attempt_response(conn, slot), Ok(true)) {
                return;
            }
        }
        let written = call
            .connection
            .and_then(|c| self.connections.get(c))
            .is_some_and(|c| c.output.is_empty());
        let outcome = match outcome {
            Outcome::NotSent { .. } | Outcome::NotStarted => outcome,
            // Not all of it was written: it never ran.
            _ if !call.request_started || !written => Outcome::ConnectFailed,
            outcome => outcome,
        };
        if let Some(conn) = call.connection {
            self.endpoints.attempts.remove(&conn);
            self.endpoints.responses.remove(&conn);
            self.deadlines.clear(Timer::Connection(conn));
            self.connections.close(conn);
        }
        self.end_attempt(slot, outcome, false);
    }

    /// Whether an attempt's time is not up.
    pub(crate) fn in_time(&self, slot: MessageSlot) -> bool {
        self.messages
            .get(slot)
            .and_then(|m| m.attempt)
            .is_some_and(|c| self.now < c.deadline)
    }

    /// The answer to a call, as far as it has come. True: it is known. Anything but a message relayed is believed only when
    /// the answer is whole and sound: a spoilt one may stand for a message that ran, and would go out again.
    pub fn read_attempt_response(
        &mut self,
        id: ConnectionId,
        slot: MessageSlot,
    ) -> Result<bool, http::Malformed> {
        let Some(conn) = self.connections.get_mut(id) else {
            return Ok(true);
        };
        if conn.input.is_empty() && !conn.peer_closed {
            return Ok(false);
        }
        let written = conn.output.is_empty();
        let begun = self.endpoints.responses.remove(&id);
        if begun.is_none() {
            self.deadlines
                .set(Timer::Connection(id), self.now + RESPONSE_TIMEOUT);
        }
        let mut answer = begun.unwrap_or(ResponseProgress {
            head: None,
            left: MAX_BODY_BYTES,
        });
        let read = self.read_response(id, &mut answer);
        let first = self
            .connections
            .get_mut(id)
            .is_some_and(|c| http::starts_with_success(c.input.contiguous()));
        let (status, retry_after) = answer
            .head
            .as_ref()
            .map_or((0, None), |head| (head.status, head.retry_after));
        let relayed = status == 200 || (answer.head.is_none() && first);
        let outcome = match status {
            _ if relayed => Outcome::Delivered,
            _ if !read? => {
                self.endpoints.responses.insert(id, answer);
                return Ok(false);
            }
            503 if retry_after.is_none()
                && answer.head.as_ref().is_some_and(|head| head.no_capacity) =>
            {
                Outcome::NotSent { no_capacity: true }
            }
            // A server with no place for one more connection takes it, says so and closes it: no limit was met. Could
            // take another refusal for that, where the server closes after each: that route alone then rests.
            503 if retry_after.is_none()
                && answer
                    .head
                    .as_ref()
                    .is_some_and(|head| head.closes_connection) =>
            {
                Outcome::ConnectFailed
            }
            429 | 503 => Outcome::RateLimited { retry_after },
            504 | 410 => Outcome::NotSent { no_capacity: false },
            _ => Outcome::ServerError,
        };
        let report = answer
            .head
            .as_ref()
            .and_then(|head| head.load_report)
            .filter(|_| self.reports_limits);
        self.apply_load_report(slot, report);
        self.endpoints.attempts.remove(&id);
        match read {
            Ok(whole)
                if written
                    && !answer
                        .head
                        .as_ref()
                        .is_some_and(|head| head.closes_connection) =>
            {
                self.endpoints.draining_responses.insert(id, answer);
                if whole {
                    self.response_complete(id);
                } else if self.connections.arm(id).is_err() {
                    self.close_idle(id);
                }
            }
            _ => self.close_idle(id),
        }
        self.end_attempt(slot, outcome, status == 410);
        Ok(true)
    }

    /// A report that cannot be read changes nothing; that is said once.
    pub(crate) fn apply_load_report(
        &mut self,
        slot: MessageSlot,
        report: Option<Result<f64, http::InvalidLoadReport>>,
    ) {
        match (
            report,
            self.messages.get_mut(slot).and_then(|m| m.attempt.as_mut()),
        ) {
            (Some(Ok(limit)), Some(call)) => call.reported_limit = Some(limit),
            (Some(Err(http::InvalidLoadReport)), _)
                if !std::mem::replace(&mut self.invalid_report_logged, true) =>
            {
                log::warn!(
                    "a load report has no `{}` between 0 and 1e9; such reports are ignored",
                    http::LIMIT
                )
            }
            _ => {}
        }
    }
}

impl Daemon {
    /// Something happened on a connection to an endpoint.
    pub fn endpoint_ready(&mut self, id: ConnectionId) {
        let runtime = &mut self.runtime;
        let Some(conn) = runtime.connections.get(id) else {
            return;
        };
        let Some(&slot) = runtime.endpoints.attempts.get(&id) else {
            return self.unassigned_ready(id);
        };
        if conn.connecting {
            return self.connection_established(id, slot);
        }
        let filled = runtime.connections.read(id);
        let ended = filled.is_err() || runtime.connections.get(id).is_some_and(|c| c.peer_closed);
        match self.runtime.read_attempt_response(id, slot) {
            Ok(true) => {}
            // What is not written by its time is not written later: its deadline is the next thing seen.
            Ok(false) if !ended && !self.runtime.in_time(slot) => {}
            // Half written, and its window has closed, or a drain or a wait has begun: what is not whole never runs.
            Ok(false) if !ended && self.must_abort_partial_request(slot) => {
                self.runtime.abort_attempt(slot, Outcome::ConnectionReset)
            }
            Ok(false) if !ended && self.runtime.connections.flush(id).is_ok() => {}
            // The end before an answer: nobody knows whether it ran.
            Ok(_) => self.runtime.abort_attempt(slot, Outcome::ConnectionReset),
            Err(_) => self.runtime.abort_attempt(slot, Outcome::MalformedResponse),
        }
    }

    /// While the connection came up its endpoint may have started to drain, a wait may have begun there, or the window in
    /// which the message may be repeated may have closed: only the decisions know. Or its time is up, and its deadline is the
    /// next thing seen: a dispatcher that stood still would otherwise send messages whose queue lifetime is long over. A message
    /// turned back here has not been sent, and the connection is kept.
    pub(crate) fn connection_established(&mut self, id: ConnectionId, slot: MessageSlot) {
        let runtime = &mut self.runtime;
        match runtime.connections.finish_connect(id) {
            Ok(()) => {
                runtime.deadlines.clear(Timer::Connection(id));
                let call = runtime
                    .messages
                    .get(slot)
                    .and_then(|m| Some((m.id, m.attempt?.endpoint)));
                let open = call.is_some_and(|(message, e)| {
                    self.dispatcher.may_start_attempt(runtime.now, message, e)
                });
                if open && runtime.in_time(slot) {
                    runtime.write_request(slot, id);
                } else {
                    runtime.endpoints.attempts.remove(&id);
                    runtime.pool(id);
                    runtime.end_attempt(slot, Outcome::NotSent { no_capacity: false }, false);
                }
            }
            Err(_) => runtime.abort_attempt(slot, Outcome::ConnectFailed),
        }
    }

    /// Whether a call is not whole yet, and might not begin now.
    pub(crate) fn must_abort_partial_request(&self, slot: MessageSlot) -> bool {
        let Some((id, call)) = self
            .runtime
            .messages
            .get(slot)
            .and_then(|m| Some((m.id, m.attempt?)))
        else {
            return false;
        };
        let half = call
            .connection
            .and_then(|c| self.runtime.connections.get(c))
            .is_some_and(|c| !c.output.is_empty());
        half && !self
            .dispatcher
            .may_start_attempt(self.runtime.now, id, call.endpoint)
    }

    pub(crate) fn unassigned_ready(&mut self, id: ConnectionId) {
        let runtime = &mut self.runtime;
        let mut good = runtime.connections.read(id).is_ok();
        let Some(conn) = runtime.connections.get_mut(id) else {
            return;
        };
        good &= !conn.peer_closed;
        let empty = conn.input.is_empty();
        if let Some(mut answer) = runtime.endpoints.draining_responses.remove(&id) {
            let last = |answer: &ResponseProgress| {
                answer
                    .head
                    .as_ref()
                    .is_some_and(|head| head.closes_connection)
            };
            match runtime.read_response(id, &mut answer) {
                Ok(true) if !last(&answer) => return runtime.response_complete(id),
                Ok(false) if good && !last(&answer) => {
                    runtime.endpoints.draining_responses.insert(id, answer);
                }
                _ => good = false,
            }
        } else {
            // Nothing is owed on an idle connection.
            good &= empty;
        }
        if !good || runtime.connections.arm(id).is_err() {
            runtime.close_idle(id);
        }
    }
}
