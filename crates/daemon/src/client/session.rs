//! Events of a client's connection: input and timeouts.

use super::close_reason::CloseReason;
use super::closing::{close, close_gracefully, close_if_idle, may_close};
use super::commands::{ExecutedCommands, deadline, execute_commands};
use super::policy::ClientPolicy;
use crate::action_rules::Prohibition;
use crate::connection::ConnectionId;
use crate::delivery::{Delivery, Runtime};
use crate::timer::Timer;
use bellsill_core::interface::Nanos;
use std::io;

/// How long a timeout is put off while the connection cannot be read.
const UNREADABLE_RETRY_INTERVAL: Nanos = 50_000_000;

/// Whether a read returned any data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Input {
    Nothing,
    Received,
}

/// Reads the available input of a client.
pub(super) fn read(runtime: &mut Runtime, id: ConnectionId) -> io::Result<Input> {
    let now = runtime.now;
    let Some(conn) = runtime.connections.get_mut(id) else {
        return Ok(Input::Nothing);
    };
    if conn.overdue && !conn.lingering {
        return Ok(Input::Nothing);
    }
    let before = conn.input.len();
    if conn.replied && conn.is_idle() {
        // The timeout of the client's next command starts now.
        conn.last_active = now;
    }
    let read = runtime.connections.read(id);
    let Some(conn) = runtime.connections.get_mut(id) else {
        return Ok(Input::Nothing);
    };
    if conn.input.len() == before {
        return read.map(|()| Input::Nothing);
    }
    conn.last_received = now;
    read.map(|()| Input::Received)
}

/// Handles a readiness event of a client's connection.
pub(crate) fn handle_ready(delivery: &mut Delivery, id: ConnectionId, policy: ClientPolicy) {
    let runtime = &mut delivery.runtime;
    let read = read(runtime, id);
    let Some(conn) = runtime.connections.get_mut(id) else {
        return;
    };
    if conn.lingering {
        conn.discard_input();
        if conn.peer_closed {
            close(runtime, id, CloseReason::PeerClosed);
        } else if read.is_err() || runtime.connections.arm(id).is_err() {
            close(runtime, id, CloseReason::CallFailed);
        }
    } else {
        // Commands that are left are executed when their timer expires.
        let _all_or_limit = execute_or_close(delivery, id, policy, &read);
    }
}

/// Like [`handle_ready`]; then closes the client if it is between requests and the policy demands it.
pub(crate) fn handle_ready_and_close_idle(
    delivery: &mut Delivery,
    id: ConnectionId,
    policy: ClientPolicy,
) {
    handle_ready(delivery, id, policy);
    close_if_idle(&mut delivery.runtime, id, policy);
}

fn execute_or_close(
    delivery: &mut Delivery,
    id: ConnectionId,
    policy: ClientPolicy,
    read: &io::Result<Input>,
) -> ExecutedCommands {
    // Commands that arrived before the connection broke still get their replies, as far as these can be sent.
    if read.is_err()
        && let Some(conn) = delivery.runtime.connections.get_mut(id)
    {
        conn.peer_closed = true;
    }
    execute_commands(delivery, id, policy).unwrap_or_else(|reason| {
        close(&mut delivery.runtime, id, reason);
        ExecutedCommands::All
    })
}

/// Handles a client's timeout: for its first command, the rest of a command, reading a reply, or staying connected between
/// requests. Without these timeouts, clients that send nothing, send half a command or read no replies would hold their
/// connections forever. A merely slow client is closed too, but commands that have arrived by now are executed first.
/// Nothing more is read meanwhile, so a client that never stops sending is closed as well.
pub(crate) fn handle_timeout(delivery: &mut Delivery, id: ConnectionId, policy: ClientPolicy) {
    let runtime = &mut delivery.runtime;
    if runtime.connections.get(id).is_some_and(|c| c.lingering) {
        return close(runtime, id, CloseReason::LingerTimeout);
    }
    // A request whose first bytes are read here gets a timeout of its own.
    let input = read(runtime, id);
    if input.is_ok() && waits_for_repeat(runtime, id) {
        // A request may have arrived; it is read once the call succeeds.
        return put_off_timeout(runtime, id);
    }
    let executed = execute_or_close(delivery, id, policy, &input);
    let runtime = &mut delivery.runtime;
    let now = runtime.now;
    let Some(conn) = runtime.connections.get_mut(id).filter(|c| !c.lingering) else {
        return;
    };
    conn.overdue = deadline(conn) <= now;
    if conn.overdue && executed == ExecutedCommands::All {
        close_overdue(runtime, id);
    }
}

/// Whether a client's connection may not be closed because a call on it failed and is repeated.
fn waits_for_repeat(runtime: &mut Runtime, id: ConnectionId) -> bool {
    may_close(runtime, id, CloseReason::Overdue) == Err(Prohibition::InputUnread)
}

/// Handles the timeout of a client again after a short time.
fn put_off_timeout(runtime: &mut Runtime, id: ConnectionId) {
    let at = runtime.now + UNREADABLE_RETRY_INTERVAL;
    runtime.timers.set(Timer::Connection(id), at);
}

/// Closes a client that has reached a timeout. In the middle of a request it gets an error reply, since the rest of the
/// request may still arrive and is then discarded without a reply.
fn close_overdue(runtime: &mut Runtime, id: ConnectionId) {
    let now = runtime.now;
    let Some(conn) = runtime.connections.get_mut(id) else {
        return;
    };
    if !conn.input.is_empty() && conn.output.is_empty() {
        conn.discard_input();
        conn.queue_reply("-ERR the request did not come whole in time\r\n", now);
        if runtime.connections.flush(id).is_err() {
            return close(runtime, id, CloseReason::CallFailed);
        }
        if waits_for_repeat(runtime, id) {
            // The error reply is sent once the call succeeds.
            return put_off_timeout(runtime, id);
        }
    }
    close_gracefully(runtime, id, CloseReason::Overdue);
}
