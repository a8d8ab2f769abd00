//! Whether connections are left, and which client is closed first when none is.

use super::id::ConnectionId;
use super::limits::MAX_ADMIN_CONNECTIONS;
use super::role::Role;
use super::socket::Connection;
use super::table::ConnectionTable;
use bellsill_core::interface::Nanos;

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
            _ if !c.replied && c.is_idle() && c.last_received <= silent_since => Some(1),
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
