//! Connections to endpoints, and how their calls are accepted, rejected and answered.

use super::draw::draw;
use super::effects::{Answer, CallId, CallRequest, ConnId, ConnectResult, Effect, Reachability};
use super::endpoint::Endpoint;
use super::state::{Call, CallState, Conn, World};
use super::time::{MS, S, ms};
use bellsill_core::interface::{EndpointId, Nanos};

/// How long a connection may be idle before an endpoint with the `reaped` fault drops it.
const REAPED_IDLE_LIMIT: Nanos = 300 * MS;
/// A dispatcher that closes the connection of a running call sooner than this did not do so because the call seemed to fail,
/// so it doesn't count as having seen the outage.
const MIN_WAIT_TO_NOTICE_FAULT: Nanos = 2 * S;

impl World {
    /// How an endpoint currently responds to new connections.
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

    /// A dispatcher's connection attempt has timed out.
    pub fn connect_timed_out(&mut self, dispatcher: usize, endpoint: EndpointId) {
        self.note_outage_seen(endpoint.0 as usize, dispatcher);
    }

    /// A dispatcher has closed a connection. A queued call is dropped; a call in progress is finished, but its response is
    /// lost.
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

    /// Handles a completely received call. Returns `None` if the connection is reset and the call never runs.
    pub fn call(&mut self, conn: ConnId, new: CallRequest) -> Option<CallId> {
        let now = self.now;
        let at = self.conns.get_mut(conn)?;
        let (e, idle) = (at.endpoint, now - at.used);
        let fresh = std::mem::replace(&mut at.fresh, false);
        at.used = now;
        // With real sockets, the dispatcher behind a connection is unknown until its first call.
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
        // A silent endpoint never processes the call.
        if !condition.silent {
            self.accept_or_reject(id);
        }
        Some(id)
    }

    /// Starts a call, queues it, or rejects it if a limit is exceeded or the queue is full.
    fn accept_or_reject(&mut self, id: CallId) {
        let Some(e) = self.calls.get(id).map(|call| call.endpoint) else {
            return;
        };
        if let Some(rejection) = self.check_limits(id) {
            self.answer(id, rejection);
            return;
        }
        let condition = self.endpoints[e].condition;
        let workers = self.workers(e);
        if !condition.hung && self.endpoints[e].working < workers {
            self.start_work(id);
        } else if self.endpoints[e].queue.len() < self.plan.endpoints[e].queue || condition.hung {
            self.calls[id].state = CallState::Queued;
            self.endpoints[e].queue.push_back(id);
        } else {
            self.answer(id, Answer::RateLimited(None));
        }
    }

    /// The rejection of a call that exceeds the rate limit or arrives while the endpoint is shut.
    fn check_limits(&mut self, id: CallId) -> Option<Answer> {
        let call = self.calls.get(id)?;
        let (e, message, dispatcher, count) = (
            call.endpoint,
            call.new.message,
            call.new.dispatcher,
            call.count,
        );
        let (now, seed) = (self.now, self.plan.seed);
        let kind = &self.plan.spec.kinds[self.plan.endpoints[e].kind];
        let sends_retry_after = || draw(seed, message.0, count, 1) < kind.told_share;
        if let Some(until) = self.endpoints[e].condition.shut_until {
            let wait = sends_retry_after().then(|| until.saturating_sub(now).max(MS));
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
        Some(Answer::RateLimited(
            sends_retry_after().then_some(wait.max(MS)),
        ))
    }

    /// Whether neither side has closed a connection.
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

    /// Drops the response to a call. The call is kept while its caller is still waiting on the connection.
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

    /// Drops all queued and running calls of an endpoint and resets its connections.
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
