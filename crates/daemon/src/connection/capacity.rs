//! Connection limits, and the choice of the client to evict at the limit.

use super::id::ConnectionId;
use super::limits::MAX_ADMIN_CONNECTIONS;
use super::role::Role;
use super::socket::Connection;
use super::table::ConnectionTable;
use bellsill_core::interface::Nanos;

impl ConnectionTable {
    /// Whether the limit on client connections is reached.
    pub(crate) fn client_limit_reached(&self) -> bool {
        self.client_count >= self.limits.clients
    }

    pub(crate) fn has_clients(&self) -> bool {
        self.client_count > 0
    }

    /// Whether the limit on connections, admin connections excluded, is reached.
    pub(crate) fn is_full(&self) -> bool {
        self.len() - self.admin_count >= self.limits.connections
    }

    /// Whether the limit on admin connections is reached.
    pub(crate) fn admin_limit_reached(&self) -> bool {
        self.admin_count >= MAX_ADMIN_CONNECTIONS
    }

    /// The client to evict for a new one. In order of preference: a client that lingers after its last reply, one that
    /// connected before `silent_since` and never sent anything, one between requests, and one in the middle of a request,
    /// the last two only if they have sent nothing since `idle_since`. Among equals, the one that has been silent longest.
    pub(crate) fn eviction_candidate(
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
