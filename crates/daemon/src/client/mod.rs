//! Clients: commands in, in order, an answer to each.

mod accept;
mod closing;
mod commands;
pub mod resp;
mod session;

pub(crate) use accept::{AcceptStatus, Clients};
pub(crate) use closing::close_if_done;
pub(crate) use session::{ready, ready_or_closing, timed_out};

/// The most memory that the buffers of a client take.
pub(crate) const CLIENT_BUFFER_BYTES: usize = resp::MAX_COMMAND_BYTES + 8 * 1024;

/// How clients are treated, as the phase of the shutdown and the operator have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientPolicy {
    /// `PING` is answered with `PONG`, else with an error.
    pub(crate) ready: bool,
    /// Clients between requests are closed; they send their next request elsewhere.
    pub(crate) close_idle: bool,
}
