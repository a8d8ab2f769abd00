//! Idle connections to endpoints, kept for the next attempt.

use super::exchange::{Arrived, ResponseProgress};
use super::registry::Endpoints;
use crate::connection::{ConnectionId, Role};
use crate::io::Io;
use crate::timer::Timer;
use bellsill_core::interface::EndpointId;

/// No endpoint has an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoIdleConnection;

/// How a connection without an attempt is handed to the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unassigned {
    /// Nothing is to come on it.
    Idle,
    /// The rest of a response is still to come.
    MoreToRead,
}

impl Endpoints {
    /// An idle connection to an endpoint that is certain to be good, or none. Those that are not are closed.
    pub(crate) fn take_idle(&mut self, io: &mut Io, endpoint: EndpointId) -> Option<ConnectionId> {
        while let Some(conn) = self.row_mut(endpoint).idle.pop() {
            // After the process was suspended its timer may have expired and not been handled yet.
            let in_time = !io.timers.is_expired(Timer::Connection(conn), io.now);
            io.timers.cancel(Timer::Connection(conn));
            // The other side may have closed it without the poller having reported that yet; a request would be lost.
            let good = in_time
                && io.connections.read(conn).is_ok()
                && io
                    .connections
                    .get(conn)
                    .is_some_and(|c| !c.peer_closed && c.input.is_empty());
            if good {
                return Some(conn);
            }
            io.connections.close(conn);
        }
        None
    }

    /// Takes a connection back whose attempt is over.
    pub(crate) fn give_back(
        &mut self,
        io: &mut Io,
        id: ConnectionId,
        response: ResponseProgress,
        state: Unassigned,
    ) {
        match state {
            Unassigned::Idle => {
                io.timers.cancel(Timer::Connection(id));
                self.pool(io, id);
            }
            Unassigned::MoreToRead => {
                self.draining.insert(id, response);
                if io.connections.arm(id).is_err() {
                    self.close_connection(io, id);
                }
            }
        }
    }

    /// Keeps a connection for the next attempt, unless it may not be good then.
    pub(crate) fn pool(&mut self, io: &mut Io, id: ConnectionId) {
        let Some(conn) = io.connections.get(id) else {
            return;
        };
        let Role::Endpoint(endpoint) = conn.role else {
            return;
        };
        let row = self.row_mut(endpoint);
        // The endpoint may have been relocated during the attempt.
        let current = conn.opened_to == Some(row.addr);
        if conn.peer_closed || !conn.input.is_empty() || !row.serving || !current {
            io.connections.close(id);
            return;
        }
        row.idle.push(id);
        // A request that is sent just when the other side closes is lost, so it is closed here a little earlier.
        io.timers
            .set(Timer::Connection(id), io.now + self.keep_alive / 20 * 19);
        if io.connections.arm(id).is_err() {
            self.close_connection(io, id);
        }
    }

    /// Closes a connection that has no attempt.
    pub(crate) fn close_connection(&mut self, io: &mut Io, id: ConnectionId) {
        if let Some(Role::Endpoint(endpoint)) = io.connections.get(id).map(|c| c.role) {
            self.row_mut(endpoint).idle.retain(|c| *c != id);
        }
        self.draining.remove(&id);
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

    /// Closes an idle connection, the oldest one of its endpoint, so that a client or an attempt finds a descriptor.
    pub(crate) fn close_oldest_idle(&mut self, io: &mut Io) -> Result<(), NoIdleConnection> {
        let idle = |id: EndpointId| self.row(id).idle.first().copied();
        let oldest = self.ids().filter_map(idle).next();
        self.close_connection(io, oldest.ok_or(NoIdleConnection)?);
        Ok(())
    }

    /// Removes an endpoint and closes its connections: the next endpoint of that number must not find them.
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

    /// Something happened on a connection that has no attempt.
    pub(crate) fn unassigned_ready(&mut self, io: &mut Io, id: ConnectionId) {
        let read = io.connections.read(id);
        let Some(conn) = io.connections.get_mut(id) else {
            return;
        };
        let mut good = read.is_ok() && !conn.peer_closed;
        // Nothing may arrive on an idle connection.
        let empty = conn.input.is_empty();
        if let Some(mut response) = self.draining.remove(&id) {
            let read = response.read(conn);
            let closes = response.closes_connection();
            match read {
                Ok(Arrived::Completely) if !closes => {
                    io.timers.cancel(Timer::Connection(id));
                    return self.pool(io, id);
                }
                Ok(Arrived::Partly) if good && !closes => {
                    self.draining.insert(id, response);
                }
                _ => good = false,
            }
        } else {
            good &= empty;
        }
        if !good || io.connections.arm(id).is_err() {
            self.close_connection(io, id);
        }
    }
}
