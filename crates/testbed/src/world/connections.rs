//! Connections to endpoints, and calls as they come in and are answered.

use super::draw::draw;
use super::effects::{Answer, CallId, CallRequest, ConnId, ConnectResult, Effect, Reachability};
use super::endpoint::Endpoint;
use super::state::{Call, CallState, Conn, World};
use super::time::{MS, S, ms};
use bellsill_core::interface::{EndpointId, Nanos};

/// Reaped: for how long a connection may be idle.
const REAPED_IDLE_LIMIT: Nanos = 300 * MS;
/// A caller that breaks a call off sooner has not seen it fail: it had other reasons.
const MIN_WAIT_TO_NOTICE_FAULT: Nanos = 2 * S;

impl World {
    /// What new connections to an endpoint meet now.
    pub fn reach(&self, endpoint: EndpointId) -> Reachability {
        self.endpoints
            .get(endpoint.0 as usize)
            .map_or(Reachability::Refusing, Endpoint::reach)
    }

    /// A dispatcher opens a connection.
    pub fn open(&mut self, dispatcher: usize, endpoint: EndpointId) -> ConnectResult {
        let e = endpoint.0 as usize;
        match self.reach(endpoint) {
            Reachability::Refusing => {
                self.note_outage_seen(e, dispatcher);
                ConnectResult::Refused
            }
            Reachability::Silent => ConnectResult::NoResponse,
            Reachability::Open => {
                if self.endpoints[e].conns.len()
                    >= self.plan.spec.kinds[self.plan.endpoints[e].kind].connections
                {
                    return ConnectResult::Refused;
                }
                let conn = self.conns.insert(Conn {
                    endpoint: e,
                    dispatcher,
                    call: None,
                    used: self.now,
                    fresh: true,
                });
                self.endpoints[e].conns.insert(conn);
                ConnectResult::Connected(conn)
            }
        }
    }

    /// A dispatcher has waited in vain for a connection to come up.
    pub fn connect_timed_out(&mut self, dispatcher: usize, endpoint: EndpointId) {
        self.note_outage_seen(endpoint.0 as usize, dispatcher);
    }

    /// A dispatcher has closed its side. A call that waits is dropped; one that is being worked on is finished, and its answer lost.
    pub fn close(&mut self, conn: ConnId) {
        let Some(gone) = self.conns.remove(conn) else {
            return;
        };
        let e = gone.endpoint;
        self.endpoints[e].conns.remove(&conn);
        let Some(id) = gone.call else { return };
        if self.now >= gone.used + MIN_WAIT_TO_NOTICE_FAULT {
            self.note_outage_seen(e, gone.dispatcher);
        }
        match self.calls.get(id).map(|c| c.state) {
            Some(CallState::Queued) => {
                self.endpoints[e].queue.retain(|q| *q != id);
                self.calls.remove(id);
            }
            Some(CallState::Unanswered) => drop(self.calls.remove(id)),
            _ => {}
        }
    }

    /// The last byte of a call has come. None: the connection breaks, and the call never ran.
    pub fn call(&mut self, conn: ConnId, new: CallRequest) -> Option<CallId> {
        let now = self.now;
        let at = self.conns.get_mut(conn)?;
        let (e, idle) = (at.endpoint, now - at.used);
        let fresh = std::mem::replace(&mut at.fresh, false);
        at.used = now;
        // On sockets it is not known whose connection this is before its first call.
        at.dispatcher = new.dispatcher;
        let condition = self.endpoints[e].condition;
        let keep_alive = ms(self.plan.spec.dispatchers.keep_alive_ms);
        if !fresh && (idle >= keep_alive || condition.reaped && idle >= REAPED_IDLE_LIMIT) {
            self.break_connection(conn);
            return None;
        }
        self.count_against_budget(e, new.dispatcher);
        if self.endpoints[e].reach() == Reachability::Refusing || condition.reset {
            self.note_outage_seen(e, new.dispatcher);
            self.break_connection(conn);
            return None;
        }
        self.calls_seen += 1;
        let kind = &self.plan.spec.kinds[self.plan.endpoints[e].kind];
        let handshake = if fresh { ms(kind.handshake_ms) } else { 0 };
        let call = Call {
            conn,
            endpoint: e,
            state: CallState::Unanswered,
            handshake,
            count: self.calls_seen,
            arrived_at: now,
            new,
        };
        let id = self.calls.insert(call);
        if let Some(at) = self.conns.get_mut(conn) {
            at.call = Some(id);
        }
        // A silent endpoint does nothing with it.
        if !condition.silent {
            self.accept_or_reject(id);
        }
        Some(id)
    }

    /// An endpoint begins with a call, queues it, or has no capacity for it.
    fn accept_or_reject(&mut self, id: CallId) {
        let Some(e) = self.calls.get(id).map(|call| call.endpoint) else {
            return;
        };
        if let Some(rejection) = self.limited(id) {
            self.answer(id, rejection);
            return;
        }
        let condition = self.endpoints[e].condition;
        let workers = self.workers(e);
        if !condition.hung && self.endpoints[e].working < workers {
            self.work(id);
        } else if self.endpoints[e].queue.len() < self.plan.endpoints[e].queue || condition.hung {
            self.calls[id].state = CallState::Queued;
            self.endpoints[e].queue.push_back(id);
        } else {
            self.answer(id, Answer::RateLimited(None));
        }
    }

    /// The answer to a call that is over the limit, or that comes to an endpoint which is shut.
    fn limited(&mut self, id: CallId) -> Option<Answer> {
        let call = self.calls.get(id)?;
        let (e, message, dispatcher, count) = (
            call.endpoint,
            call.new.message,
            call.new.dispatcher,
            call.count,
        );
        let (now, seed) = (self.now, self.plan.seed);
        let kind = &self.plan.spec.kinds[self.plan.endpoints[e].kind];
        let told = || draw(seed, message.0, count, 1) < kind.told_share;
        if let Some(until) = self.endpoints[e].condition.shut_until {
            let wait = told().then(|| until.saturating_sub(now).max(MS));
            self.note_outage_seen(e, dispatcher);
            return Some(Answer::RateLimited(wait));
        }
        let rate_limit = self.plan.endpoints[e].rate_limit;
        let drawn = draw(seed, message.0, count, 2);
        let wait = self.rate_limits[rate_limit].call(
            now,
            &self.plan.rate_limits[rate_limit],
            kind,
            drawn,
        )?;
        Some(Answer::RateLimited(told().then_some(wait.max(MS))))
    }

    /// Whether a connection has not been closed by either side.
    pub fn is_open(&self, conn: ConnId) -> bool {
        self.conns.contains_key(conn)
    }

    pub(super) fn answer(&mut self, id: CallId, answer: Answer) {
        let Some(call) = self.calls.remove(id) else {
            return;
        };
        if let Some(conn) = self.conns.get_mut(call.conn).filter(|c| c.call == Some(id)) {
            conn.call = None;
            conn.used = self.now;
            self.effects.push_back(Effect::Answer {
                call: id,
                conn: call.conn,
                answer,
            });
        }
    }

    /// The call gets no answer; its caller still waits, or has closed the connection.
    pub(super) fn leave_unanswered(&mut self, id: CallId) {
        let Some(conn) = self.calls.get(id).map(|c| c.conn) else {
            return;
        };
        if self.conns.get(conn).is_some_and(|c| c.call == Some(id)) {
            self.calls[id].state = CallState::Unanswered;
        } else {
            self.calls.remove(id);
        }
    }

    pub(super) fn break_connection(&mut self, conn: ConnId) {
        let Some(gone) = self.conns.remove(conn) else {
            return;
        };
        self.endpoints[gone.endpoint].conns.remove(&conn);
        if let Some(call) = gone.call.filter(|c| {
            self.calls
                .get(*c)
                .is_some_and(|c| c.state != CallState::Working)
        }) {
            self.endpoints[gone.endpoint].queue.retain(|q| *q != call);
            self.calls.remove(call);
        }
        self.effects.push_back(Effect::ConnectionBroken { conn });
    }

    /// All that an endpoint has in hand is lost, and its connections break.
    pub(super) fn collapse(&mut self, e: usize) {
        for conn in std::mem::take(&mut self.endpoints[e].conns) {
            if let Some(c) = self.conns.get(conn)
                && c.call.is_some()
            {
                let dispatcher = c.dispatcher;
                self.note_outage_seen(e, dispatcher);
            }
            self.conns.remove(conn);
            self.effects.push_back(Effect::ConnectionBroken { conn });
        }
        self.endpoints[e].queue.clear();
        self.endpoints[e].stalled.clear();
        self.endpoints[e].working = 0;
        self.calls.retain(|_, call| call.endpoint != e);
    }

    pub(super) fn report_reachability(&mut self, e: usize) {
        let endpoint = EndpointId(e as u32);
        self.effects.push_back(Effect::ReachabilityChanged {
            endpoint,
            reach: self.endpoints[e].reach(),
        });
    }
}
