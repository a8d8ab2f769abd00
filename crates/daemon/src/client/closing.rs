//! Closing of client connections, and their timeouts.

use super::close_reason::CloseReason;
use super::policy::ClientPolicy;
use super::resp;
use crate::action_rules::{ClientFacts, Prohibition, RestrictedAction, may_close_client};
use crate::connection::{Connection, ConnectionId};
use crate::delivery::Runtime;
use crate::timer::Timer;
use bellsill_core::interface::Nanos;
use std::io;

/// Timeout for a client's first command, for the rest of a command that has begun, and for reading a reply.
pub(super) const REQUEST_TIMEOUT: Nanos = 2_600_000_000;
/// How long a client may stay connected between requests.
pub(super) const IDLE_TIMEOUT: Nanos = 8_000_000_000;
/// How long a client may take to close its side after its last reply.
pub(super) const LINGER_TIMEOUT: Nanos = 2_000_000_000;

/// The facts that decide whether a client's connection may be closed for this reason.
fn facts(runtime: &mut Runtime, id: ConnectionId, reason: CloseReason) -> Option<ClientFacts> {
    let is_unread = runtime.connections.has_call_to_repeat(id);
    let conn = runtime.connections.get_mut(id)?;
    let has_complete_command =
        !matches!(resp::parse_command(conn.input.make_contiguous()), Ok(None));
    Some(ClientFacts {
        client_gone: conn.peer_closed
            || matches!(reason, CloseReason::PeerClosed | CloseReason::CallFailed),
        session_ended: conn.lingering
            || (conn.close_after_output && conn.output.is_empty())
            || reason == CloseReason::LingerTimeout,
        is_unread,
        has_complete_command,
        has_unsent_reply: !conn.output.is_empty(),
        overdue: reason == CloseReason::Overdue,
    })
}

/// Whether a client's connection may be closed now for this reason.
pub(super) fn may_close(
    runtime: &mut Runtime,
    id: ConnectionId,
    reason: CloseReason,
) -> Result<(), Prohibition> {
    facts(runtime, id, reason).map_or(Ok(()), may_close_client)
}

/// Counts and logs a violation if a client's connection may not be closed, or its sending side shut down, now.
fn check_close(runtime: &mut Runtime, id: ConnectionId, reason: CloseReason) {
    let permission = may_close(runtime, id, reason);
    runtime.metrics.violations.check(
        RestrictedAction::CloseClient,
        permission,
        format_args!("connection {id}: {}", reason.name()),
    );
}

/// Closes a client's connection at once.
pub(super) fn close(runtime: &mut Runtime, id: ConnectionId, reason: CloseReason) {
    check_close(runtime, id, reason);
    if let Some(conn) = runtime.connections.get(id) {
        log::debug!(
            "connection {id} (Client): closed: {}; {} bytes of input unhandled, {} bytes of replies unsent",
            reason.name(),
            conn.input.len(),
            conn.output.len()
        );
        runtime.metrics.count_client_close(reason);
    }
    runtime.timers.cancel(Timer::Connection(id));
    runtime.timers.cancel(Timer::ReadClient(id));
    runtime.connections.close(id);
}

/// Shuts down the sending side, then reads and discards input until the client closes its side too, or until
/// [`LINGER_TIMEOUT`]. Closing a socket with unread input would reset the connection, and the client could lose replies
/// that it has not read yet. A request that crosses the shutdown is discarded; the client repeats it elsewhere. The
/// connection counts towards the limits until it is closed.
///
/// A client without a reply has none to lose and is closed at once: its first request stays unread, whereas it would be
/// lost if it were read and discarded.
pub(super) fn close_gracefully(runtime: &mut Runtime, id: ConnectionId, reason: CloseReason) {
    runtime.timers.cancel(Timer::ReadClient(id));
    let lingers = |c: &Connection| {
        (c.replied || c.error_replies > 0) && !c.lingering && !c.peer_closed && c.output.is_empty()
    };
    if runtime.connections.get(id).is_some_and(lingers) && linger(runtime, id, reason).is_ok() {
        // Input that has already arrived is discarded when this timer expires.
        runtime.timers.set(Timer::ReadClient(id), runtime.now);
    } else {
        close(runtime, id, reason);
    }
}

/// Shuts down the sending side of a client's connection, which is closed after [`LINGER_TIMEOUT`] at the latest.
pub(super) fn linger(
    runtime: &mut Runtime,
    id: ConnectionId,
    reason: CloseReason,
) -> io::Result<()> {
    check_close(runtime, id, reason);
    log::debug!(
        "connection {id} (Client): shutting down the sending side: {}",
        reason.name()
    );
    runtime.connections.shutdown_write(id)?;
    runtime.connections.arm(id)?;
    runtime
        .timers
        .set(Timer::Connection(id), runtime.now + LINGER_TIMEOUT);
    Ok(())
}

/// Closes a client that is between requests, if the policy demands it.
pub(crate) fn close_if_idle(runtime: &mut Runtime, id: ConnectionId, policy: ClientPolicy) {
    let idle = |c: &Connection| c.is_idle() && !c.lingering;
    if policy.close_idle
        && runtime.connections.get(id).is_some_and(idle)
        && may_close(runtime, id, CloseReason::Draining).is_ok()
    {
        close_gracefully(runtime, id, CloseReason::Draining);
    }
}
