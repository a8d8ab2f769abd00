//! Division of the process's file descriptors.

/// Descriptors reserved for what is not a connection: standard streams, listener, poller, signals, journal.
const RESERVED_DESCRIPTORS: usize = 16;
/// Lower bound of the connection limit, whatever the descriptor limit; the process cannot work with fewer.
const MIN_CONNECTIONS: usize = 8;
/// Maximum number of admin connections. Their descriptors are reserved, so that operators are served even when clients
/// have reached their limit.
pub(crate) const MAX_ADMIN_CONNECTIONS: usize = 8;

/// Maximum numbers of open connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// All connections except admin connections.
    pub(super) connections: usize,
    /// Client connections, which are among `connections`.
    pub(super) clients: usize,
}

impl ConnectionLimits {
    /// Computes the limits from the descriptor limit, of which `reserved` are not available to clients, and from the
    /// number of clients whose buffers fit into memory.
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

    /// Reserves the descriptors of admin connections.
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
