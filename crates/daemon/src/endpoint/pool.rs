//! The pool of idle connections to endpoints.

use super::exchange::{ReadProgress, ResponseReader};
use super::registry::EndpointRegistry;
use crate::connection::{ConnectionId, Role};
use crate::io::Io;
use crate::timer::Timer;
use bellsill_core::interface::EndpointId;

/// No endpoint has an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoIdleConnection;

/// The state of a connection whose attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnassignedState {
    /// No more data is expected on the connection.
    Idle,
    /// The rest of the response has not arrived.
    ResponseIncomplete,
}

impl EndpointRegistry {
    /// Takes the most recently used idle connection to an endpoint that passes the checks, and closes those that fail
    /// them.
    pub(crate) fn take_idle(&mut self, io: &mut Io, endpoint: EndpointId) -> Option<ConnectionId> {
        while let Some(conn) = self.row_mut(endpoint).idle.pop() {
            // After a suspension of the process, the keep-alive timer may have expired without having been handled.
            let within_keep_alive = !io.timers.is_expired(Timer::Connection(conn), io.now);
            io.timers.cancel(Timer::Connection(conn));
            // The endpoint may have closed it without the poller having reported that yet; a request on it would be
            // lost.
            let usable = within_keep_alive
                && io.connections.read(conn).is_ok()
                && !io.connections.has_call_to_repeat(conn)
                && io
                    .connections
                    .get(conn)
                    .is_some_and(|c| !c.peer_closed && c.input.is_empty());
            if usable {
                return Some(conn);
            }
            io.connections.close(conn);
        }
        None
    }

    /// Takes over a connection whose attempt has ended.
    pub(crate) fn release_connection(
        &mut self,
        io: &mut Io,
        id: ConnectionId,
        reader: ResponseReader,
        state: UnassignedState,
    ) {
        match state {
            UnassignedState::Idle => {
                io.timers.cancel(Timer::Connection(id));
                self.store_idle(io, id);
            }
            UnassignedState::ResponseIncomplete => {
                self.unfinished_responses.insert(id, reader);
                if io.connections.arm(id).is_err() {
                    self.close_connection(io, id);
                }
            }
        }
    }

    /// Adds a connection to the pool, or closes it if it cannot be reused.
    pub(crate) fn store_idle(&mut self, io: &mut Io, id: ConnectionId) {
        let Some(conn) = io.connections.get(id) else {
            return;
        };
        let Role::Endpoint(endpoint) = conn.role else {
            return;
        };
        let row = self.row_mut(endpoint);
        // The endpoint may have been relocated during the attempt.
        let addr_is_current = conn.opened_to == Some(row.addr);
        if conn.peer_closed || !conn.input.is_empty() || !row.serving || !addr_is_current {
            io.connections.close(id);
            return;
        }
        row.idle.push(id);
        // Closed shortly before the endpoint would close it, because a request sent at that moment would be lost.
        io.timers
            .set(Timer::Connection(id), io.now + self.keep_alive / 20 * 19);
        if io.connections.arm(id).is_err() {
            self.close_connection(io, id);
        }
    }

    /// Closes a connection without an attempt, and removes it from the pool.
    pub(crate) fn close_connection(&mut self, io: &mut Io, id: ConnectionId) {
        if let Some(Role::Endpoint(endpoint)) = io.connections.get(id).map(|c| c.role) {
            self.row_mut(endpoint).idle.retain(|c| *c != id);
        }
        self.unfinished_responses.remove(&id);
        io.timers.cancel(Timer::Connection(id));
        io.connections.close(id);
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn close_idle(&mut self, io: &mut Io, endpoint: EndpointId) {
        for conn in std::mem::take(&mut self.row_mut(endpoint).idle) {
            io.timers.cancel(Timer::Connection(conn));
            io.connections.close(conn);
        }
    }

    /// Closes an idle connection, the least recently used one of its endpoint, to free a descriptor for a client or an
    /// attempt.
    pub(crate) fn close_oldest_idle(&mut self, io: &mut Io) -> Result<(), NoIdleConnection> {
        let idle = |id: EndpointId| self.row(id).idle.first().copied();
        let oldest = self.ids().filter_map(idle).next();
        self.close_connection(io, oldest.ok_or(NoIdleConnection)?);
        Ok(())
    }

    /// Removes an endpoint and closes its connections, so that the next endpoint with the same id does not use them.
    pub(crate) fn remove_with_connections(&mut self, io: &mut Io, endpoint: EndpointId) {
        let connections: Vec<ConnectionId> = io
            .connections
            .iter()
            .filter(|(_, c)| c.role == Role::Endpoint(endpoint))
            .map(|(id, _)| id)
            .collect();
        for id in connections {
            self.close_connection(io, id);
        }
        self.remove(endpoint);
    }

    /// Handles readiness of a connection without an attempt.
    pub(crate) fn unassigned_connection_ready(&mut self, io: &mut Io, id: ConnectionId) {
        let read = io.connections.read(id);
        let Some(conn) = io.connections.get_mut(id) else {
            return;
        };
        let mut usable = read.is_ok() && !conn.peer_closed;
        // Data on an idle connection belongs to no response.
        let no_input = conn.input.is_empty();
        if let Some(mut reader) = self.unfinished_responses.remove(&id) {
            let read = reader.read(conn);
            let closes = reader.closes_connection();
            match read {
                Ok(ReadProgress::Complete) if !closes => {
                    io.timers.cancel(Timer::Connection(id));
                    return self.store_idle(io, id);
                }
                Ok(ReadProgress::Partial) if usable && !closes => {
                    self.unfinished_responses.insert(id, reader);
                }
                _ => usable = false,
            }
        } else {
            usable &= no_input;
        }
        if !usable || io.connections.arm(id).is_err() {
            self.close_connection(io, id);
        }
    }
}
