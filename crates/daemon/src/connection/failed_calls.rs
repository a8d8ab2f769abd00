//! Counts and logs the system calls on sockets that fail.

use super::id::ConnectionId;
use super::role::Role;
use std::io;

/// A kind of system call on a socket or on the poller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SocketCall {
    /// Taking a connection from a listener's queue.
    Accept,
    /// Setting an option of a socket.
    Configure,
    /// Creating a socket and connecting it.
    Connect,
    /// Receiving.
    Read,
    /// Sending.
    Write,
    /// Shutting down the sending side.
    Shutdown,
    /// Registering a socket with the poller, or changing its registration.
    Register,
    /// Waiting for events.
    Wait,
}

impl SocketCall {
    /// All kinds, in the order in which they are reported.
    pub(crate) const ALL: [SocketCall; 8] = [
        SocketCall::Accept,
        SocketCall::Configure,
        SocketCall::Connect,
        SocketCall::Read,
        SocketCall::Write,
        SocketCall::Shutdown,
        SocketCall::Register,
        SocketCall::Wait,
    ];

    /// The name in metrics and log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            SocketCall::Accept => "accept",
            SocketCall::Configure => "configure",
            SocketCall::Connect => "connect",
            SocketCall::Read => "read",
            SocketCall::Write => "write",
            SocketCall::Shutdown => "shutdown",
            SocketCall::Register => "register",
            SocketCall::Wait => "wait",
        }
    }
}

/// How many calls of each kind have failed since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailedCalls {
    counts: [u64; SocketCall::ALL.len()],
}

impl FailedCalls {
    /// The number of failed calls of this kind.
    pub(crate) fn count(&self, call: SocketCall) -> u64 {
        self.counts[call as usize]
    }

    /// Counts and logs a failed call that concerns no single connection.
    pub(super) fn record(&mut self, call: SocketCall, error: &io::Error) {
        self.counts[call as usize] += 1;
        log::debug!("system call failed: {}: {error}", call.name());
    }

    /// Counts and logs a failed call on a connection.
    pub(super) fn record_on(
        &mut self,
        call: SocketCall,
        id: ConnectionId,
        role: Role,
        error: &io::Error,
    ) {
        self.counts[call as usize] += 1;
        log::debug!(
            "connection {id} ({role:?}): system call failed: {}: {error}",
            call.name()
        );
    }
}
