//! Client connections: each command gets a reply, in the order of arrival.

mod accept;
mod close_reason;
mod closing;
mod commands;
mod policy;
pub mod resp;
mod session;

pub(crate) use accept::{AcceptStatus, Clients};
pub use close_reason::CloseReason;
pub(crate) use closing::close_if_idle;
pub(crate) use policy::ClientPolicy;
pub(crate) use session::{handle_ready, handle_ready_and_close_idle, handle_timeout};

/// Upper bound of the memory for the buffers of one client.
pub(crate) const CLIENT_BUFFER_BYTES: usize = resp::MAX_COMMAND_BYTES + 8 * 1024;
