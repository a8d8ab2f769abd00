//! Sockets: the connection table, the listeners and the poller. This module is independent of the protocols spoken.

mod call_errors;
mod capacity;
mod failed_calls;
mod id;
mod limits;
mod listeners;
mod registration;
mod repeats;
mod role;
mod socket;
mod table;

pub(crate) use bellsill_net::call_errors::is_transient;
pub(crate) use failed_calls::SocketCall;
pub(crate) use id::ConnectionId;
pub(crate) use limits::{ConnectionLimits, MAX_ADMIN_CONNECTIONS};
pub(crate) use role::Role;
pub(crate) use socket::{BufferBounds, Connection};
pub(crate) use table::{ConnectionTable, PollEvent};
