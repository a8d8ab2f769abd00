//! How the process's descriptors are divided.

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
