//! Events of connections to endpoints.

use super::attempts::AttemptProgress;
use super::coordinator::Delivery;
use crate::action_rules::may_send_request;
use crate::connection::{ConnectionId, is_transient};
use crate::message_slot::MessageSlot;
use crate::timer::Timer;
use bellsill_core::interface::Outcome;

impl Delivery {
    /// Handles readiness of a connection to an endpoint.
    pub(crate) fn endpoint_ready(&mut self, id: ConnectionId) {
        let runtime = &mut self.runtime;
        let Some(conn) = runtime.connections.get(id) else {
            return;
        };
        let Some(&slot) = runtime.attempts.get(&id) else {
            let (endpoints, mut io) = runtime.endpoints_and_io();
            return endpoints.unassigned_connection_ready(&mut io, id);
        };
        if conn.connecting {
            return self.connection_established(id, slot);
        }
        let read = runtime.connections.read(id);
        let closed = read.is_err() || runtime.connections.get(id).is_some_and(|c| c.peer_closed);
        match self.runtime.read_response(id, slot) {
            Ok(AttemptProgress::Ended) => {}
            // The deadline has passed and its timer event is handled next; nothing more is sent.
            Ok(AttemptProgress::InFlight) if !closed && !self.runtime.before_deadline(slot) => {}
            // A partially sent request never runs, so it is aborted if the decision logic would not allow it to start
            // now.
            Ok(AttemptProgress::InFlight) if !closed && self.must_abort_partial_request(slot) => {
                self.runtime.abort_attempt(slot, Outcome::ConnectionReset);
            }
            Ok(AttemptProgress::InFlight)
                if !closed && self.runtime.connections.flush(id).is_ok() => {}
            // The connection closed before a response arrived, so the message may have run.
            Ok(AttemptProgress::InFlight) => {
                self.runtime.abort_attempt(slot, Outcome::ConnectionReset);
            }
            Err(_) => self.runtime.abort_attempt(slot, Outcome::MalformedResponse),
        }
    }

    /// Completes or fails the connect of an attempt. The decision logic is asked again before the request is sent:
    /// while connecting, the endpoint may have started draining or been suspended, or the deduplication window of the
    /// message may have ended. The deadline is checked as well, because its timer event may not be handled yet: after a
    /// suspension of the process, messages would otherwise be sent long after their lifetime. If nothing is sent, the
    /// connection goes to the pool.
    fn connection_established(&mut self, id: ConnectionId, slot: MessageSlot) {
        let runtime = &mut self.runtime;
        if let Err(e) = runtime.connections.finish_connect(id) {
            // A local failure says nothing about the endpoint.
            let outcome = match is_transient(&e) {
                true => Outcome::NotStarted,
                false => Outcome::ConnectFailed,
            };
            return runtime.abort_attempt(slot, outcome);
        }
        runtime.timers.cancel(Timer::Connection(id));
        let attempt = runtime
            .messages
            .get(slot)
            .and_then(|m| Some((m.id, m.attempt?.endpoint)));
        let allowed = attempt.is_some_and(|(message, endpoint)| {
            self.dispatcher
                .may_start_attempt(runtime.now, message, endpoint)
        });
        let permission = may_send_request(runtime.request_facts(slot, allowed));
        if permission.is_ok() {
            runtime.write_request(slot, id);
        } else {
            runtime.attempts.remove(&id);
            let (endpoints, mut io) = runtime.endpoints_and_io();
            endpoints.store_idle(&mut io, id);
            runtime.end_attempt(slot, Outcome::NotSent { no_capacity: false }, false);
        }
    }

    /// Whether a request is partially sent and may not be sent any further.
    fn must_abort_partial_request(&self, slot: MessageSlot) -> bool {
        let Some((id, attempt)) = self
            .runtime
            .messages
            .get(slot)
            .and_then(|m| Some((m.id, m.attempt?)))
        else {
            return false;
        };
        let partial = attempt
            .connection
            .and_then(|c| self.runtime.connections.get(c))
            .is_some_and(|c| !c.output.is_empty());
        let allowed = self
            .dispatcher
            .may_start_attempt(self.runtime.now, id, attempt.endpoint);
        partial && may_send_request(self.runtime.request_facts(slot, allowed)).is_err()
    }
}
