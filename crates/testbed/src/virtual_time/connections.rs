//! The pool of idle connections of a dispatcher.

use super::dispatcher::IdleConnection;
use super::simulation::Simulation;
use crate::world::ConnId;
use crate::world::time::ms;
use bellsill_core::interface::EndpointId;

/// Approximate number of descriptors that the daemon needs for purposes other than idle connections.
const RESERVED_SOCKETS: usize = 64;

impl Simulation {
    /// Takes the most recently used idle connection that is still open.
    pub(super) fn take_idle(&mut self, dispatcher: usize, endpoint: EndpointId) -> Option<ConnId> {
        self.close_expired(dispatcher);
        let state = &mut self.dispatchers[dispatcher];
        while let Some(idle) = state.idle.get_mut(&endpoint).and_then(Vec::pop) {
            state.idle_count -= 1;
            if self.world.is_open(idle.conn) {
                return Some(idle.conn);
            }
        }
        None
    }

    /// Closes connections that have exceeded the idle limit, and the oldest ones while there are too many.
    fn close_expired(&mut self, dispatcher: usize) {
        let settings = &self.world.plan.spec.dispatchers;
        // Slightly shorter than the endpoint's keep-alive, so that the dispatcher closes first.
        let idle_limit = ms(settings.keep_alive_ms) / 20 * 19;
        let max_idle = (settings.sockets as usize).saturating_sub(RESERVED_SOCKETS);
        let state = &mut self.dispatchers[dispatcher];
        while let Some(&(endpoint, oldest)) = state.idle_since.front()
            && (oldest.since + idle_limit <= self.now || state.idle_count > max_idle)
        {
            state.idle_since.pop_front();
            if let Some(idle) = state.idle.get_mut(&endpoint)
                && let Some(i) = idle.iter().position(|x| *x == oldest)
            {
                idle.remove(i);
                state.idle_count -= 1;
                self.world.close(oldest.conn);
            }
        }
    }

    pub(super) fn keep_idle(&mut self, dispatcher: usize, endpoint: EndpointId, conn: ConnId) {
        let idle = IdleConnection {
            since: self.now,
            conn,
        };
        let state = &mut self.dispatchers[dispatcher];
        state.idle.entry(endpoint).or_default().push(idle);
        state.idle_since.push_back((endpoint, idle));
        state.idle_count += 1;
    }

    pub(super) fn close_idle(&mut self, dispatcher: usize, endpoint: EndpointId) {
        let state = &mut self.dispatchers[dispatcher];
        for idle in state.idle.remove(&endpoint).unwrap_or_default() {
            state.idle_count -= 1;
            self.world.close(idle.conn);
        }
    }
}
