//! What happens on connections to endpoints.

use super::attempts::AttemptProgress;
use super::coordinator::Delivery;
use crate::connection::ConnectionId;
use crate::message_slot::MessageSlot;
use crate::timer::Timer;
use bellsill_core::interface::Outcome;

impl Delivery {
    /// Something happened on a connection to an endpoint.
    pub(crate) fn endpoint_ready(&mut self, id: ConnectionId) {
        let runtime = &mut self.runtime;
        let Some(conn) = runtime.connections.get(id) else {
            return;
        };
        let Some(&slot) = runtime.attempts.get(&id) else {
            let (endpoints, mut io) = runtime.pool();
            return endpoints.unassigned_ready(&mut io, id);
        };
        if conn.connecting {
            return self.connection_established(id, slot);
        }
        let read = runtime.connections.read(id);
        let ended = read.is_err() || runtime.connections.get(id).is_some_and(|c| c.peer_closed);
        match self.runtime.read_response(id, slot) {
            Ok(AttemptProgress::Ended) => {}
            // The deadline's timer has expired and is handled next; nothing is sent after it.
            Ok(AttemptProgress::InFlight) if !ended && !self.runtime.before_deadline(slot) => {}
            // A request that is sent partly never runs, and the decisions may not let it begin now.
            Ok(AttemptProgress::InFlight) if !ended && self.must_abort_partial_request(slot) => {
                self.runtime.abort_attempt(slot, Outcome::ConnectionReset);
            }
            Ok(AttemptProgress::InFlight)
                if !ended && self.runtime.connections.flush(id).is_ok() => {}
            // The connection ended before a response: the message may have run.
            Ok(AttemptProgress::InFlight) => {
                self.runtime.abort_attempt(slot, Outcome::ConnectionReset);
            }
            Err(_) => self.runtime.abort_attempt(slot, Outcome::MalformedResponse),
        }
    }

    /// A connection for an attempt is established, or has failed. Meanwhile its endpoint may have begun to drain, or been
    /// suspended, or the window in which the message may be repeated may have closed: the decisions are asked again. The
    /// attempt may also have reached its deadline, whose timer is handled next: after the process was suspended, messages
    /// would otherwise be sent long after their lifetime. What is not sent leaves its connection to the pool.
    fn connection_established(&mut self, id: ConnectionId, slot: MessageSlot) {
        let runtime = &mut self.runtime;
        if runtime.connections.finish_connect(id).is_err() {
            return runtime.abort_attempt(slot, Outcome::ConnectFailed);
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
        if allowed && runtime.before_deadline(slot) {
            runtime.write_request(slot, id);
        } else {
            runtime.attempts.remove(&id);
            let (endpoints, mut io) = runtime.pool();
            endpoints.pool(&mut io, id);
            runtime.end_attempt(slot, Outcome::NotSent { no_capacity: false }, false);
        }
    }

    /// Whether a request is sent partly and might not begin now.
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
        partial
            && !self
                .dispatcher
                .may_start_attempt(self.runtime.now, id, attempt.endpoint)
    }
}
