//! How the process's descriptors are divided, and which client is closed first when none is left.

use super::{Connection, ConnectionId, ConnectionTable, Role};
use bellsill_core::interface::Nanos;

/// Descriptors of the process that are not connections: standard streams, listener, poller, signals, journal.
const RESERVED_DESCRIPTORS: usize = 16;
/// A process can work with no fewer connections than this, whatever the limit says.
const MIN_CONNECTIONS: usize = 8;
/// Operators have this many descriptors of their own, so that they are answered in a crowd of clients.
pub(crate) const MAX_ADMIN_CONNECTIONS: usize = 8;

/// The most connections that may be open.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// All but those of operators.
    pub(super) connections: usize,
    /// Of these, the most that clients may hold.
    pub(super) clients: usize,
}

impl ConnectionLimits {
    /// From the limit on descriptors, of which `reserved` are kept from clients, and from how many clients' buffers the
    /// memory has place for.
    pub(crate) fn new(descriptors: usize, reserved: usize, clients_by_memory: usize) -> Self {
        let connections = descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CONNECTIONS);
        ConnectionLimits {
            connections,
            clients: connections
                .saturating_sub(reserved)
                .max(connections / 4)
                .min(clients_by_memory)
                .max(1),
        }
    }

    /// Sets the descriptors of operators aside.
    pub(super) fn reserve_for_admin(&mut self) {
        self.connections = self
            .connections
            .saturating_sub(MAX_ADMIN_CONNECTIONS)
            .max(MIN_CONNECTIONS);
        self.clients = self
            .clients
            .saturating_sub(MAX_ADMIN_CONNECTIONS)
            .max(self.connections / 4)
            .max(1);
    }
}

impl ConnectionTable {
    /// Whether clients hold all connections that they may.
    pub(crate) fn clients_full(&self) -> bool {
        self.clients >= self.limits.clients
    }

    /// Whether any client is connected.
    pub(crate) fn has_clients(&self) -> bool {
        self.clients > 0
    }

    /// Whether all descriptors are taken but those of operators.
    pub(crate) fn is_full(&self) -> bool {
        self.len() - self.admins >= self.limits.connections
    }

    /// Whether operators hold all connections that they may.
    pub(crate) fn admin_full(&self) -> bool {
        self.admins >= MAX_ADMIN_CONNECTIONS
    }

    /// The client to close when another one needs its place: first one that lingers after its last answer, then one that
    /// never sent anything, then one between requests, then one in the middle of a request; of equals the one that has
    /// been silent longest. `silent_since` and `idle_since` are the times since when the second kind, and the last two,
    /// must have sent nothing.
    pub(crate) fn least_needed_client(
        &self,
        silent_since: Nanos,
        idle_since: Nanos,
    ) -> Option<ConnectionId> {
        let rank = |c: &Connection| match c {
            _ if c.role != Role::Client => None,
            _ if c.lingering => Some(0),
            _ if !c.answered && c.is_idle() && c.last_received <= silent_since => Some(1),
            _ if c.is_idle() && c.last_received <= idle_since => Some(2),
            _ if c.output.is_empty() && c.last_received <= idle_since => Some(3),
            _ => None,
        };
        let clients = self
            .iter()
            .filter_map(|(id, c)| Some((rank(c)?, c.last_received, id)));
        clients.min().map(|(_, _, id)| id)
    }
}
