//! The idle connections of a dispatcher.

use super::dispatcher::IdleConnection;
use super::simulation::Simulation;
use crate::world::ConnId;
use crate::world::time::ms;
use bellsill_core::interface::EndpointId;

/// Descriptors that the daemon needs for other things than idle connections, about.
const RESERVED_SOCKETS: usize = 64;

impl Simulation {
    /// An idle connection that is still good.
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

    /// Closes connections that have been idle for too long, and the oldest while there are too many.
    fn close_expired(&mut self, dispatcher: usize) {
        let settings = &self.world.plan.spec.dispatchers;
        // A little sooner than the endpoint does.
        let keep = ms(settings.keep_alive_ms) / 20 * 19;
        let most = (settings.sockets as usize).saturating_sub(RESERVED_SOCKETS);
        let state = &mut self.dispatchers[dispatcher];
        while let Some(&(endpoint, oldest)) = state.idle_since.front()
            && (oldest.since + keep <= self.now || state.idle_count > most)
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
