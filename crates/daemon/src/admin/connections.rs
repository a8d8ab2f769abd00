//! Admin connections: reading requests and sending replies.

use super::request::{MAX_LINE_BYTES, Request, RequestError, parse};
use crate::connection::{ConnectionId, MAX_ADMIN_CONNECTIONS, Role};
use crate::delivery::Runtime;
use crate::timer::Timer;
use bellsill_core::interface::Nanos;
use std::io;

/// Capacity of the buffers; holds the reply to `show-stat`, which has a few lines for each class.
const MAX_REPLY_BYTES: usize = 64 * 1024;
/// Timeout for sending a complete request line and for reading its reply.
const REQUEST_TIMEOUT: Nanos = 2_000_000_000;

/// The next line of an admin connection.
#[must_use]
pub(crate) enum AdminInput {
    /// The connection is closed.
    Closed,
    /// No complete line has arrived.
    Waiting,
    /// A complete line: the request, or why it is invalid.
    Line(Result<Request, RequestError>),
}

/// Closes an admin connection.
pub(crate) fn close(runtime: &mut Runtime, id: ConnectionId) {
    runtime.timers.cancel(Timer::Connection(id));
    runtime.connections.close(id);
}

/// Accepts admin connections. At the limit, the least recently used one is closed: otherwise connections that send nothing
/// would lock out all others. With many connections this may close that of a slow operator.
pub(crate) fn accept(runtime: &mut Runtime) {
    for _ in 0..MAX_ADMIN_CONNECTIONS {
        if runtime.connections.admin_limit_reached() {
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
            .accept_admin(MAX_LINE_BYTES.max(MAX_REPLY_BYTES))
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
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted
                ) => {}
            Err(e) => return log::warn!("cannot accept an admin connection: {e}"),
        }
    }
}

/// Reads the available input.
pub(crate) fn read(runtime: &mut Runtime, id: ConnectionId) -> io::Result<()> {
    runtime.connections.read(id)
}

/// Takes the next line out of the input that was read.
pub(crate) fn next_request(runtime: &mut Runtime, id: ConnectionId) -> AdminInput {
    let Some(conn) = runtime.connections.get_mut(id) else {
        return AdminInput::Closed;
    };
    if conn.close_after_output {
        // The replies do not fit into the output buffer: the peer does not read them.
        conn.input.consume(conn.input.len());
        return AdminInput::Waiting;
    }
    let Some(end) = conn.input.find_line_end() else {
        if conn.input.len() >= MAX_LINE_BYTES {
            let reply = format!("FAILURE {}\n", RequestError::TooLong);
            conn.output.push(reply.as_bytes());
            conn.close_after_output = true;
            conn.input.consume(conn.input.len());
        }
        return AdminInput::Waiting;
    };
    let line = &conn.input.make_contiguous()[..end];
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let request = if end >= MAX_LINE_BYTES {
        Err(RequestError::TooLong)
    } else {
        parse(line)
    };
    conn.input.consume(end + 1);
    AdminInput::Line(request)
}

/// Queues a reply; if it does not fit into the output buffer, the connection is closed.
pub(crate) fn queue_reply(runtime: &mut Runtime, id: ConnectionId, text: &str) {
    let now = runtime.now;
    if let Some(conn) = runtime.connections.get_mut(id) {
        if !conn.output.push(text.as_bytes()) {
            conn.close_after_output = true;
        }
        conn.last_active = now;
    }
}

/// Sends the queued replies, and closes the connection if it failed or is done; otherwise restarts its timeout.
pub(crate) fn flush_or_close(runtime: &mut Runtime, id: ConnectionId, read: &io::Result<()>) {
    let Some(conn) = runtime.connections.get(id) else {
        return;
    };
    let done = (conn.close_after_output || conn.peer_closed) && conn.output.is_empty();
    if read.is_err() || runtime.connections.flush(id).is_err() || done {
        return close(runtime, id);
    }
    let last_active = runtime
        .connections
        .get(id)
        .map_or(runtime.now, |c| c.last_active);
    runtime
        .timers
        .set(Timer::Connection(id), last_active + REQUEST_TIMEOUT);
}
