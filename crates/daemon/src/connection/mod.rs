//! The sockets: the table of connections, the listeners and the poller. Nothing here knows what is said on a connection.

mod id;
mod limits;
mod listeners;
mod occupancy;
mod role;
mod socket;
mod table;

pub(crate) use id::ConnectionId;
pub(crate) use limits::{ConnectionLimits, MAX_ADMIN_CONNECTIONS};
pub(crate) use role::Role;
pub(crate) use socket::{BufferBounds, Connection};
pub(crate) use table::{ConnectionTable, PollEvent};
