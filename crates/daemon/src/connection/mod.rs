//! The sockets: the table of connections, the listeners and the poller. Nothing here knows what is said on a connection.

use crate::slot_table::SlotId;
use bellsill_core::interface::EndpointId;

mod limits;
mod listeners;
mod socket;
mod table;

pub(crate) use limits::{ConnectionLimits, MAX_ADMIN_CONNECTIONS};
pub(crate) use socket::{BufferBounds, Connection};
pub(crate) use table::{ConnectionTable, PollEvent};

/// The number of a connection; a later connection never has the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(u64);

impl SlotId for ConnectionId {
    fn from_raw(raw: u64) -> Self {
        ConnectionId(raw)
    }
    fn raw(self) -> u64 {
        self.0
    }
}

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Role {
    /// A client that hands in messages.
    Client,
    /// An endpoint, to which messages are delivered.
    Endpoint(EndpointId),
    /// Discovery or a control process, whose configuration is watched.
    Watch,
    /// The platform, which takes notifications.
    Notifications,
    /// An operator.
    Admin,
}
