//! How the process's descriptors are divided, and which client gives way when none is left.

use crate::connection::{Connection, ConnectionId, ConnectionTable, Role};
use bellsill_core::interface::Nanos;

/// Descriptors of the process that are no connections: standard streams, listener, poller, signals, journal.
pub(super) const RESERVED_DESCRIPTORS: usize = 16;

/// Operators' admins have so many descriptors of their own: in a crowd of clients they are still answered.
pub const MAX_ADMIN_CONNECTIONS: usize = 8;

/// The most that a client's rings hold in use.
pub(super) const CLIENT_BYTES: usize = crate::client::resp::MAX_COMMAND_BYTES + 8 * 1024;

impl ConnectionTable {
    /// Whether clients hold all that they may.
    pub fn clients_full(&self) -> bool {
        self.clients >= self.max_clients
    }

    /// Whether all descriptors are taken but those of admins.
    pub fn is_full(&self) -> bool {
        self.len() - self.admins >= self.max_connections
    }

    /// Whether admins hold all descriptors that they have.
    pub fn admin_full(&self) -> bool {
        self.admins >= MAX_ADMIN_CONNECTIONS
    }

    /// The client that is missed least, of those that may be parted with: one told its last answer, else one that never
    /// said anything, else one between requests, else one in the middle of a request; of these the one heard of longest
    /// ago. `silent` and `idle` are the times before which something must have come last from the second, and from the
    /// latter two.
    pub fn least_needed_client(&self, silent: Nanos, idle: Nanos) -> Option<ConnectionId> {
        let rank = |c: &Connection| match c {
            _ if c.role != Role::Client => None,
            _ if c.lingering => Some(0),
            _ if !c.answered && c.is_idle() && c.last_received <= silent => Some(1),
            _ if c.is_idle() && c.last_received <= idle => Some(2),
            _ if c.output.is_empty() && c.last_received <= idle => Some(3),
            _ => None,
        };
        let clients = self
            .iter()
            .filter_map(|(id, c)| Some((rank(c)?, c.last_received, id)));
        clients.min().map(|(_, _, id)| id)
    }
}
