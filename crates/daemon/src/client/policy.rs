//! How clients are treated.

/// How clients are treated, as the phase of the shutdown and the operator have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientPolicy {
    /// `PING` is answered with `PONG`, else with an error.
    pub(crate) ready: bool,
    /// Clients between requests are closed; they send their next request elsewhere.
    pub(crate) close_idle: bool,
}
