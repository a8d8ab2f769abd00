//! The policy for client connections.

/// The policy for client connections; depends on the shutdown phase and on whether an operator drains the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientPolicy {
    /// Whether the reply to `PING` is `PONG` rather than an error.
    pub(crate) ready: bool,
    /// Whether clients between requests are closed, so that they send their next request elsewhere.
    pub(crate) close_idle: bool,
}
