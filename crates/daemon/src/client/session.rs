//! A client's session: reading, time limits and the end of its connection.

use super::closing::{close, close_gracefully, close_if_idle};
use super::commands::{SessionEnded, answer_commands};
use super::policy::ClientPolicy;
use crate::connection::ConnectionId;
use crate::delivery::{Delivery, Runtime};
use std::io;

/// What a read has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Input {
    Nothing,
    Received,
}

/// Reads what has arrived from a client.
pub(super) fn read(runtime: &mut Runtime, id: ConnectionId) -> io::Result<Input> {
    let now = runtime.now;
    let Some(conn) = runtime.connections.get_mut(id) else {
        return Ok(Input::Nothing);
    };
    let before = conn.input.len();
    if conn.replied && conn.is_idle() {
        // The time limit of its next command begins.
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

/// Something happened on a client's connection.
pub(crate) fn handle_ready(delivery: &mut Delivery, id: ConnectionId, policy: ClientPolicy) {
    let runtime = &mut delivery.runtime;
    let read = read(runtime, id);
    let Some(conn) = runtime.connections.get_mut(id) else {
        return;
    };
    if conn.lingering {
        conn.input.consume(conn.input.len());
        if read.is_err() || conn.peer_closed || runtime.connections.arm(id).is_err() {
            close(runtime, id);
        }
    } else {
        answer_or_close(delivery, id, policy, &read);
    }
}

/// Like [`handle_ready`]; afterwards the client is closed if it is between requests and the policy says so.
pub(crate) fn handle_ready_and_close_idle(
    delivery: &mut Delivery,
    id: ConnectionId,
    policy: ClientPolicy,
) {
    handle_ready(delivery, id, policy);
    close_if_idle(&mut delivery.runtime, id, policy);
}

fn answer_or_close(
    delivery: &mut Delivery,
    id: ConnectionId,
    policy: ClientPolicy,
    read: &io::Result<Input>,
) {
    if read.is_err() || answer_commands(delivery, id, policy) == Err(SessionEnded) {
        close(&mut delivery.runtime, id);
    }
}

/// A client has reached a time limit: for its first command, the rest of one, reading an answer, or staying without a
/// request. Clients that send nothing, stop half-way or read no answers would otherwise occupy their places for good. A
/// client that is slower than that is closed unheard. What arrived last is still answered.
pub(crate) fn handle_timeout(delivery: &mut Delivery, id: ConnectionId, policy: ClientPolicy) {
    let runtime = &mut delivery.runtime;
    if runtime.connections.get(id).is_some_and(|c| c.lingering) {
        return close(runtime, id);
    }
    // A request that begins now has its own time limit from now on.
    match read(runtime, id) {
        Ok(Input::Nothing) => end_overdue(runtime, id),
        read => answer_or_close(delivery, id, policy, &read),
    }
}

/// Ends a client that has reached a time limit. In the middle of a request it gets an error, since the rest of
/// the request may still arrive and is then discarded without an answer.
fn end_overdue(runtime: &mut Runtime, id: ConnectionId) {
    let now = runtime.now;
    let Some(conn) = runtime.connections.get_mut(id) else {
        return;
    };
    if !conn.input.is_empty() && conn.output.is_empty() {
        conn.input.consume(conn.input.len());
        conn.queue_answer("-ERR the request did not come whole in time\r\n", now);
        if runtime.connections.flush(id).is_err() {
            return close(runtime, id);
        }
    }
    close_gracefully(runtime, id);
}
