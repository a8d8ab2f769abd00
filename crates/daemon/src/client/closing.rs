//! The end of a client's connection, and the time limits that lead to it.

use super::policy::ClientPolicy;
use crate::connection::{Connection, ConnectionId};
use crate::delivery::Runtime;
use crate::timer::Timer;
use bellsill_core::interface::Nanos;
use std::io;

/// How long a client may take to its first command, from a command's first byte to its last, and to read an answer.
pub(super) const REQUEST_TIMEOUT: Nanos = 2_600_000_000;
/// How long a client may stay without a request.
pub(super) const IDLE_TIMEOUT: Nanos = 8_000_000_000;
/// How long a client may take to end its side after its last answer.
pub(super) const LINGER_TIMEOUT: Nanos = 2_000_000_000;

/// Closes a client's connection.
pub(super) fn close(runtime: &mut Runtime, id: ConnectionId) {
    runtime.timers.cancel(Timer::Connection(id));
    runtime.timers.cancel(Timer::ReadClient(id));
    runtime.connections.close(id);
}

/// Shuts down the sending side; what still arrives is read and discarded until the client ends its side too, or for a
/// while. Closed with unread bytes, the connection would be reset, and answers that the client has not read would be lost
/// with it. A request that crosses the end is not accepted; the client sends it again elsewhere. The place is occupied
/// for as long as that takes.
///
/// A client that has had no answer yet has none to lose and is closed: its first request is not read then, where read and
/// discarded it would be lost.
pub(super) fn close_gracefully(runtime: &mut Runtime, id: ConnectionId) {
    runtime.timers.cancel(Timer::ReadClient(id));
    let lingers = |c: &Connection| {
        (c.replied || c.protocol_errors > 0)
            && !c.lingering
            && !c.peer_closed
            && c.output.is_empty()
    };
    if runtime.connections.get(id).is_some_and(lingers) && linger(runtime, id).is_ok() {
        // What has arrived already is discarded in the next turn.
        runtime.timers.set(Timer::ReadClient(id), runtime.now);
    } else {
        close(runtime, id);
    }
}

/// Shuts down the sending side of a client's connection for [`LINGER_TIMEOUT`].
pub(super) fn linger(runtime: &mut Runtime, id: ConnectionId) -> io::Result<()> {
    runtime.connections.shutdown_write(id)?;
    runtime.connections.arm(id)?;
    runtime
        .timers
        .set(Timer::Connection(id), runtime.now + LINGER_TIMEOUT);
    Ok(())
}

/// Closes a client that is between requests, if the policy says so.
pub(crate) fn close_if_idle(runtime: &mut Runtime, id: ConnectionId, policy: ClientPolicy) {
    let done = |c: &Connection| c.is_idle() && !c.lingering;
    if policy.close_idle && runtime.connections.get(id).is_some_and(done) {
        close_gracefully(runtime, id);
    }
}
