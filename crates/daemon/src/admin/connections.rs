//! Connections of operators: reading requests and sending answers.

use super::request::{MAX_LINE_BYTES, Request, RequestError, parse};
use crate::connection::{ConnectionId, MAX_ADMIN_CONNECTIONS, Role};
use crate::delivery::Runtime;
use crate::timer::Timer;
use bellsill_core::interface::Nanos;
use std::io;

/// Room for the answer to `show-stat`: a few lines a class.
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// How long an operator may take to send a complete line, and to read its answer.
const REQUEST_TIMEOUT: Nanos = 2_000_000_000;

/// The next line of an operator.
#[must_use]
pub(crate) enum AdminInput {
    /// The connection is closed.
    Closed,
    /// No line is complete.
    Waiting,
    /// A request, or what is wrong with the line.
    Line(Result<Request, RequestError>),
}

/// Closes a connection.
pub(crate) fn close(runtime: &mut Runtime, id: ConnectionId) {
    runtime.timers.cancel(Timer::Connection(id));
    runtime.connections.close(id);
}

/// Accepts operators. With all their places taken, the connection that was used longest ago is closed: connections that
/// send nothing would otherwise hold all places. A slow operator among many may be cut off.
pub(crate) fn accept(runtime: &mut Runtime) {
    for _ in 0..MAX_ADMIN_CONNECTIONS {
        if runtime.connections.admin_full() {
            let admins = runtime
                .connections
                .iter()
                .filter(|(_, c)| c.role == Role::Admin);
            if let Some((_, id)) = admins.map(|(id, c)| (c.last_active, id)).min() {
                close(runtime, id);
            }
        }
        match runtime
            .connections
            .accept_admin(MAX_LINE_BYTES.max(MAX_ANSWER_BYTES))
        {
            Ok(Some(id)) => {
                let now = runtime.now;
                if let Some(conn) = runtime.connections.get_mut(id) {
                    conn.last_active = now;
                }
                runtime
                    .timers
                    .set(Timer::Connection(id), now + REQUEST_TIMEOUT);
            }
            Ok(None) => return,
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(e) => return log::warn!("an admin connection could not be accepted: {e}"),
        }
    }
}

/// Reads what an operator has sent.
pub(crate) fn read(runtime: &mut Runtime, id: ConnectionId) -> io::Result<()> {
    runtime.connections.read(id)
}

/// The next line of what has been read.
pub(crate) fn next_request(runtime: &mut Runtime, id: ConnectionId) -> AdminInput {
    let Some(conn) = runtime.connections.get_mut(id) else {
        return AdminInput::Closed;
    };
    let bytes = conn.input.make_contiguous();
    let Some(end) = bytes.iter().position(|&b| b == b'\n') else {
        if conn.input.len() >= MAX_LINE_BYTES {
            let failure = format!("FAILURE {}\n", RequestError::TooLong);
            conn.output.push(failure.as_bytes());
            conn.close_after_output = true;
            conn.input.consume(conn.input.len());
        }
        return AdminInput::Waiting;
    };
    let line = bytes[..end].strip_suffix(b"\r").unwrap_or(&bytes[..end]);
    let request = if end >= MAX_LINE_BYTES {
        Err(RequestError::TooLong)
    } else {
        parse(line)
    };
    conn.input.consume(end + 1);
    AdminInput::Line(request)
}

/// Queues an answer.
pub(crate) fn queue_reply(runtime: &mut Runtime, id: ConnectionId, text: &str) {
    let now = runtime.now;
    if let Some(conn) = runtime.connections.get_mut(id) {
        if !conn.output.push(text.as_bytes()) {
            conn.close_after_output = true;
        }
        conn.last_active = now;
    }
}

/// Sends the answers, and closes the connection if it is broken or done.
pub(crate) fn flush_or_close(runtime: &mut Runtime, id: ConnectionId, read: &io::Result<()>) {
    let Some(conn) = runtime.connections.get(id) else {
        return;
    };
    let done = (conn.close_after_output || conn.peer_closed) && conn.output.is_empty();
    if read.is_err() || runtime.connections.flush(id).is_err() || done {
        return close(runtime, id);
    }
    let used = runtime
        .connections
        .get(id)
        .map_or(runtime.now, |c| c.last_active);
    runtime
        .timers
        .set(Timer::Connection(id), used + REQUEST_TIMEOUT);
}
