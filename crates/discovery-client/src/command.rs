//! The output of a watch: commands for the owner of the sockets and timers, and received documents.

use crate::applied::Applied;
use crate::call::CallId;
use bellsill_net::Nanos;
use std::net::SocketAddr;

/// The timers of a watch. Each is set to at most one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    /// The next call is due.
    Reconnect,
    /// The timeout of a call: for its connection to be established, its first line, or the next line.
    Call(CallId),
    /// The backoff after a failed lookup is over.
    LookupRetry,
}

/// A command for the owner of the sockets and timers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Connect, and send the request once the connection is established.
    Connect {
        /// Identifies the connection in reports to the watch.
        call: CallId,
        /// The address of the server.
        address: SocketAddr,
        /// The bytes to send.
        request: Vec<u8>,
    },
    /// Close the connection of a call, and stop reporting its events.
    Close(CallId),
    /// Set the time at which a timer fires; replaces an earlier time of the same timer.
    SetTimer(Timer, Nanos),
    /// Cancel a timer, if it is set.
    ClearTimer(Timer),
}

/// The result of received bytes.
#[derive(Debug, Default, PartialEq)]
pub struct Received {
    /// Complete JSON documents, in the order received.
    pub documents: Vec<Vec<u8>>,
    /// The commands to execute.
    pub commands: Vec<Command>,
    /// The changes of the list of a scoped watch by the response to a lookup.
    pub looked_up: Applied,
}

/// The result of a request to look up a destination.
#[derive(Debug, Default, PartialEq)]
pub struct LookupRequested {
    /// The changes of the list by evictions from the cache.
    pub applied: Applied,
    /// The commands to execute.
    pub commands: Vec<Command>,
}
