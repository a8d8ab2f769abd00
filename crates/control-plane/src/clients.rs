//! Client connections: reads requests, writes responses and streams lines to watchers.

use crate::connection::{BufferBounds, Connection, ConnectionId, Purpose};
use crate::connections::WriteOutcome;
use crate::context::Context;
use crate::http_server::{self, MAX_HEAD_BYTES, Received, Request, Response, WATCH_HEAD};
use crate::time::SECOND;
use bellsill_directory::complete_line::MAX_COMPLETE_LINE_BYTES;
use bellsill_directory::watchers::WatcherId;
use bellsill_net::Nanos;
use std::collections::HashMap;

/// The initial buffer bounds of a client connection. The input bound is raised for a body that does not fit.
pub(crate) const CLIENT_BOUNDS: BufferBounds = BufferBounds {
    input: MAX_HEAD_BYTES,
    output: 2 * MAX_COMPLETE_LINE_BYTES,
};
/// No more lines are queued for a watcher while its output holds at least this many unsent bytes.
const MAX_UNSENT_BYTES: usize = 64 * 1024;
/// The maximum number of connections whose input has been grown beyond [`MAX_HEAD_BYTES`] for a long body.
const MAX_LONG_BODIES: usize = 16;
/// The maximum memory of unfinished requests, not counting those up to [`SMALL_REQUEST_BYTES`] each, and long bodies.
const MAX_PARTIAL_REQUEST_BYTES: usize = 32 * 1024 * 1024;
/// The length up to which an unfinished request is not closed for memory.
const SMALL_REQUEST_BYTES: usize = 4 * 1024;
/// The memory of unfinished requests is added up again after this many received bytes.
const MEMORY_CHECK_BYTES: usize = 1024 * 1024;
/// A watch with unsent output is closed if none of it can be written for this long.
const WATCHER_READ_TIMEOUT: Nanos = 3 * SECOND;
/// A connection with an incomplete request or unsent output is closed if no response was queued and no output was written
/// for this long. Received bytes do not extend the time.
const REQUEST_TIMEOUT: Nanos = 30 * SECOND;
/// A connection without a request in progress is closed after this time.
const IDLE_TIMEOUT: Nanos = 120 * SECOND;

/// The client connections of a process.
#[derive(Default)]
pub(crate) struct Clients {
    /// The connection of each watcher.
    watch_connections: HashMap<WatcherId, ConnectionId>,
    /// The number of bytes received since the memory of unfinished requests was added up.
    unchecked_bytes: usize,
}

/// Whether reading of a long body continues now.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BodyAdmission {
    /// The input buffer was grown and a read was done, so the request can be parsed again.
    Continue,
    /// Nothing more can be done until the next event of the connection.
    Stop,
}

impl Clients {
    /// Accepts all pending connections.
    pub(crate) fn accept(&self, context: &mut Context) {
        loop {
            match context.connections.accept(CLIENT_BOUNDS, context.now) {
                Ok(Some(id)) => context.connections.mark_unflushed(id),
                Ok(None) => break,
                Err(error) => {
                    log::error!("cannot accept a connection: {error}");
                    break;
                }
            }
        }
        context.connections.arm_listener();
    }

    /// Reads available input from a client; closes the connection on an error.
    pub(crate) fn receive(&mut self, context: &mut Context, id: ConnectionId) {
        let before = input_length(context, id);
        match context.connections.read(id) {
            Ok(()) => context.connections.mark_unflushed(id),
            Err(_) => return self.close(context, id),
        }
        self.unchecked_bytes += input_length(context, id) - before;
        if self.unchecked_bytes >= MEMORY_CHECK_BYTES {
            self.unchecked_bytes = 0;
            self.limit_partial_requests(context);
        }
    }

    /// Closes the clients that have been at a large request for the longest time, while all incomplete requests together
    /// may take more than [`MAX_PARTIAL_REQUEST_BYTES`] before the next check. The number of long bodies is limited.
    fn limit_partial_requests(&mut self, context: &mut Context) {
        let is_large = |connection: &Connection| {
            connection.purpose == Purpose::Client
                && connection.input.len() > SMALL_REQUEST_BYTES
                && connection.input_bound() <= MAX_HEAD_BYTES
        };
        let clients = context.connections.iter();
        let mut large: Vec<_> = clients
            .filter(|(_, c)| is_large(c))
            .map(|(id, c)| (c.last_progress, id, c.input.len()))
            .collect();
        let mut total: usize = large.iter().map(|(_, _, length)| length).sum();
        large.sort_unstable();
        for (_, oldest, length) in large {
            if total <= MAX_PARTIAL_REQUEST_BYTES - MEMORY_CHECK_BYTES {
                break;
            }
            total -= length;
            context.metrics.closed_slow += 1;
            log::warn!(
                "closed a client in the middle of a request of {length} bytes so far: all unfinished requests exceed \
                 {MAX_PARTIAL_REQUEST_BYTES} bytes"
            );
            self.close(context, oldest);
        }
    }

    /// Returns the next complete request of a client. A malformed request is answered with an error, and its connection
    /// is closed after the response.
    pub(crate) fn next_request(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
    ) -> Option<Request> {
        loop {
            let connection = context.connections.get_mut(id)?;
            if connection.close_when_written {
                return None;
            }
            match http_server::receive(&mut connection.input) {
                Received::Complete(request) => return Some(request),
                Received::Incomplete => return None,
                Received::NeedsCapacity(length) => {
                    if self.admit_long_body(context, id, length) == BodyAdmission::Stop {
                        return None;
                    }
                }
                Received::Malformed(response) => {
                    self.respond_and_close(context, id, response);
                    return None;
                }
            }
        }
    }

    /// Marks a client connection to be closed after its output is written, if the peer has closed its sending side.
    pub(crate) fn finish_requests(&self, context: &mut Context, id: ConnectionId) {
        if let Some(connection) = context.connections.get_mut(id)
            && connection.end_of_stream
            && connection.purpose == Purpose::Client
        {
            connection.close_when_written = true;
        }
    }

    /// Queues a response; closes the connection if its output has no capacity for it.
    pub(crate) fn respond(&mut self, context: &mut Context, id: ConnectionId, response: Response) {
        context.metrics.rejected.count(response.status);
        let Some(connection) = context.connections.get_mut(id) else {
            return;
        };
        connection.last_progress = context.now;
        connection.close_when_written |= response.close;
        if connection.send(&response.into_bytes()).is_err() {
            self.close(context, id);
        }
    }

    /// Converts a client connection into a watch.
    pub(crate) fn start_watch(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        watcher: WatcherId,
    ) {
        let Some(connection) = context.connections.get_mut(id) else {
            return context.replica.watchers_mut().close(watcher);
        };
        connection.purpose = Purpose::Watch(watcher);
        // If earlier responses leave no capacity for the head, the client receives lines without a valid response head.
        connection.send(WATCH_HEAD).ok();
        self.watch_connections.insert(watcher, id);
    }

    /// Handles a poller event of a watch: the peer has closed it, or more can be written to it.
    pub(crate) fn watch_ready(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        watcher: WatcherId,
    ) {
        let read = context.connections.read(id);
        let Some(connection) = context.connections.get_mut(id) else {
            return;
        };
        // Requests after the start of a watch are ignored.
        connection.discard_input();
        if read.is_err() || connection.end_of_stream {
            return self.close(context, id);
        }
        context.replica.watchers_mut().mark_ready(watcher);
        context.connections.mark_unflushed(id);
    }

    /// Sends new lines to watchers, and writes the output of all unflushed connections.
    pub(crate) fn flush(&mut self, context: &mut Context) {
        for watcher in context.replica.watchers_mut().take_ready() {
            self.send_lines(context, watcher);
        }
        for id in context.connections.take_unflushed() {
            match context.connections.write(id, context.now) {
                Ok(WriteOutcome::Open) => {}
                Ok(WriteOutcome::Complete) | Err(_) => self.close(context, id),
            }
        }
    }

    /// Closes connections that have exceeded their timeout.
    pub(crate) fn close_timed_out(&mut self, context: &mut Context) {
        let mut timed_out = Vec::new();
        for (id, connection) in context.connections.iter() {
            let elapsed = context.now.saturating_sub(connection.last_progress);
            let busy = !connection.input.is_empty() || !connection.output.is_empty();
            let timeout = match connection.purpose {
                Purpose::Watch(_) if busy => WATCHER_READ_TIMEOUT,
                Purpose::Client if busy => REQUEST_TIMEOUT,
                Purpose::Client => IDLE_TIMEOUT,
                _ => continue,
            };
            if elapsed > timeout {
                timed_out.push((id, connection.purpose));
            }
        }
        for (id, purpose) in timed_out {
            match purpose {
                Purpose::Watch(_) => context.metrics.closed_slow += 1,
                _ => context.metrics.closed_idle += 1,
            }
            self.close(context, id);
        }
    }

    /// Closes a connection and ends its watch, if it has one.
    pub(crate) fn close(&mut self, context: &mut Context, id: ConnectionId) {
        if let Some(Purpose::Watch(watcher)) = context.connections.close(id) {
            context.replica.watchers_mut().close(watcher);
            self.watch_connections.remove(&watcher);
        }
    }

    /// Closes the connection of a watch that a newer watch of the same dispatcher has replaced.
    pub(crate) fn close_replaced(&mut self, context: &mut Context, replaced: WatcherId) {
        if let Some(id) = self.watch_connections.remove(&replaced) {
            self.close(context, id);
        }
    }

    /// Closes all watches. The watchers reconnect to another process or to this one.
    pub(crate) fn close_watches(&mut self, context: &mut Context) {
        let ids: Vec<ConnectionId> = self.watch_connections.values().copied().collect();
        ids.into_iter().for_each(|id| self.close(context, id));
    }

    /// Sends lines to a watcher until none are left or its socket accepts no more.
    fn send_lines(&mut self, context: &mut Context, watcher: WatcherId) {
        let Some(id) = self.watch_connections.get(&watcher).copied() else {
            return;
        };
        while let Some(connection) = context.connections.get_mut(id) {
            while connection.output.len() < MAX_UNSENT_BYTES {
                let Some(line) = context.replica.next_line(watcher, context.now) else {
                    break;
                };
                context.metrics.count_line(line.kind, line.bytes.len());
                // Cannot fail: the output bound exceeds MAX_UNSENT_BYTES plus the longest line.
                connection.send(&http_server::chunk(&line.bytes)).ok();
            }
            if connection.output.is_empty() {
                return;
            }
            if context.connections.write(id, context.now).is_err() {
                return self.close(context, id);
            }
            if context
                .connections
                .get_mut(id)
                .is_some_and(|connection| !connection.output.is_empty())
            {
                return;
            }
        }
    }

    /// Grows the input for a body that does not fit, or rejects the request if too many connections have a grown input.
    fn admit_long_body(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        length: usize,
    ) -> BodyAdmission {
        let long_bodies = context
            .connections
            .iter()
            .filter(|(_, connection)| connection.input_bound() > MAX_HEAD_BYTES)
            .count();
        let Some(connection) = context.connections.get_mut(id) else {
            return BodyAdmission::Stop;
        };
        if connection.input_bound() >= length {
            return BodyAdmission::Stop;
        }
        if long_bodies >= MAX_LONG_BODIES {
            let response = Response::error(503, "too many long requests at once: send it again");
            self.respond_and_close(context, id, response);
            return BodyAdmission::Stop;
        }
        connection.grow_input(length);
        match context.connections.read(id) {
            Ok(()) => BodyAdmission::Continue,
            Err(_) => {
                self.close(context, id);
                BodyAdmission::Stop
            }
        }
    }

    fn respond_and_close(&mut self, context: &mut Context, id: ConnectionId, response: Response) {
        let response = Response {
            close: true,
            ..response
        };
        self.respond(context, id, response);
    }
}

/// The number of received bytes of a connection that are not handled yet; 0 if it is closed.
fn input_length(context: &mut Context, id: ConnectionId) -> usize {
    let connection = context.connections.get_mut(id);
    connection.map_or(0, |connection| connection.input.len())
}
