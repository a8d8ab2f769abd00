//! The sockets: the table of connections, the listeners and the poller. Nothing here knows what is said on a connection.

use crate::slot_table::SlotId;
use bellsill_core::interface::EndpointId;

mod limits;
mod listeners;
mod socket;
mod table;

pub use limits::MAX_ADMIN_CONNECTIONS;
pub use socket::Connection;
pub use table::{ConnectionTable, PollEvent};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

impl SlotId for ConnectionId {
    fn from_raw(raw: u64) -> Self {
        ConnectionId(raw)
    }
    fn raw(self) -> u64 {
        self.0
    }
}

/// Whom a connection is with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    Client,
    Endpoint(EndpointId),
    Watch,
    Notifications,
    /// An operator's caller on the management listener.
    Admin,
}
