//! Idle connections to endpoints, kept for the next attempt.

use crate::connection::{ConnectionId, Role};
use crate::delivery::Runtime;
use crate::timer::Timer;
use bellsill_core::interface::EndpointId;

impl Runtime {
    /// Keeps a connection for the next call, while it is sure to be good.
    pub fn pool(&mut self, id: ConnectionId) {
        let Some(conn) = self.connections.get(id) else {
            return;
        };
        let Role::Endpoint(endpoint) = conn.role else {
            return;
        };
        let row = &self.endpoints[endpoint];
        // An endpoint that has moved while the call was out is elsewhere now.
        let there = conn.opened_to == Some(row.addr);
        if conn.peer_closed || !conn.input.is_empty() || !row.serving || !there {
            self.connections.close(id);
            return;
        }
        self.endpoints[endpoint].idle.push(id);
        // A request written when the other side has just closed is lost, so it is closed here a little earlier.
        self.deadlines
            .set(Timer::Connection(id), self.now + self.keep_alive / 20 * 19);
        if self.connections.arm(id).is_err() {
            self.close_idle(id);
        }
    }

    /// Closes a connection that no call is on.
    pub fn close_idle(&mut self, id: ConnectionId) {
        if let Some(Role::Endpoint(endpoint)) = self.connections.get(id).map(|c| c.role) {
            self.endpoints[endpoint].idle.retain(|c| *c != id);
        }
        self.endpoints.draining_responses.remove(&id);
        self.deadlines.clear(Timer::Connection(id));
        self.connections.close(id);
    }

    /// Gives back the idle connection that was used longest ago, so that a client or a call finds a descriptor.
    pub fn close_oldest_idle(&mut self) -> bool {
        let idle = |id: EndpointId| self.endpoints[id].idle.first().copied();
        let Some(oldest) = self.endpoints.ids().filter_map(idle).next() else {
            return false;
        };
        self.close_idle(oldest);
        true
    }

    /// An answer is whole: its connection is kept for the next call.
    pub(crate) fn response_complete(&mut self, id: ConnectionId) {
        self.endpoints.draining_responses.remove(&id);
        self.deadlines.clear(Timer::Connection(id));
        self.pool(id);
    }
}
