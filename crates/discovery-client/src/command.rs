//! What a watch answers with: commands for the owner of the sockets and timers, and what was received.

use crate::applied::Applied;
use crate::call::CallId;
use bellsill_net::Nanos;
use std::net::SocketAddr;

/// The timers of a watch; each has one time at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    /// The next call is due.
    Reconnect,
    /// A call has timed out: before its connection was up, before its first line, or between two lines.
    Call(CallId),
    /// Destinations are looked up again after a lookup has failed.
    LookupRetry,
}

/// A command for the owner of the sockets and timers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Connect, and send the request once the connection is up.
    Connect {
        /// The id under which the connection is reported.
        call: CallId,
        /// The server.
        address: SocketAddr,
        /// The bytes to send.
        request: Vec<u8>,
    },
    /// Close the connection of a call, and report nothing of it any more.
    Close(CallId),
    /// Set when a timer fires, in place of what was set before.
    SetTimer(Timer, Nanos),
    /// Stop a timer, if it is set.
    ClearTimer(Timer),
}

/// What came of bytes that were received.
#[derive(Debug, Default, PartialEq)]
pub struct Received {
    /// Complete JSON documents, in their order.
    pub documents: Vec<Vec<u8>>,
    /// What is to be done next.
    pub commands: Vec<Command>,
    /// What a lookup has changed in the list of a scoped watch.
    pub looked_up: Applied,
}

/// What came of a request for a destination to be looked up.
#[derive(Debug, Default, PartialEq)]
pub struct LookupRequested {
    /// What was evicted for it.
    pub applied: Applied,
    /// What is to be done next.
    pub commands: Vec<Command>,
}
