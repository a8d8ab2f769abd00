//! The connections of clients: reading requests, writing responses, and sending watchers their lines.

use crate::connections::{BufferBounds, ConnectionId, Purpose, WriteOutcome};
use crate::context::Context;
use crate::http_server::{self, MAX_HEAD_BYTES, Received, Request, Response, WATCH_HEAD};
use crate::time::SECOND;
use bellsill_directory::complete_line::MAX_COMPLETE_LINE_BYTES;
use bellsill_directory::watchers::WatcherId;
use bellsill_net::Nanos;
use std::collections::HashMap;

/// The bounds of a client's input, unless it sends a longer body, and of its output.
pub(crate) const CLIENT_BOUNDS: BufferBounds = BufferBounds {
    input: MAX_HEAD_BYTES,
    output: 2 * MAX_COMPLETE_LINE_BYTES,
};
/// A watcher is sent nothing more as long as this many bytes wait in its output.
const MAX_UNREAD_BYTES: usize = 64 * 1024;
/// The most bodies longer than a head that may be arriving at a time.
const MAX_LONG_BODIES: usize = 16;
/// A watch is closed if the watcher reads nothing of its output for this long.
const WATCHER_READ_TIMEOUT: Nanos = 3 * SECOND;
/// The longest time for a request to arrive, and for its response to be read.
const REQUEST_TIMEOUT: Nanos = 30 * SECOND;
/// A connection without a request is closed after this time.
const IDLE_TIMEOUT: Nanos = 120 * SECOND;

/// The clients of a process.
#[derive(Default)]
pub(crate) struct Clients {
    /// The connection of each watcher.
    watch_connections: HashMap<WatcherId, ConnectionId>,
}

/// Whether a long body may arrive.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BodyAdmission {
    /// The input has grown, and more of the body has been read.
    MoreRead,
    /// Nothing more can be read now.
    Wait,
}

impl Clients {
    /// Accepts the connections that wait.
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
        if let Err(error) = context.connections.arm_listener() {
            log::error!("cannot wait for connections: {error}");
        }
    }

    /// Reads what a client has sent, or closes the connection if it has failed.
    pub(crate) fn receive(&mut self, context: &mut Context, id: ConnectionId) {
        match context.connections.read(id) {
            Ok(()) => context.connections.mark_unflushed(id),
            Err(_) => self.close(context, id),
        }
    }

    /// The next complete request of a client. A malformed one is answered here.
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
                    if self.admit_long_body(context, id, length) == BodyAdmission::Wait {
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

    /// Ends the reading of a client's requests: after its last one the connection is closed.
    pub(crate) fn finish_requests(&self, context: &mut Context, id: ConnectionId) {
        if let Some(connection) = context.connections.get_mut(id)
            && connection.end_of_stream
            && connection.purpose == Purpose::Client
        {
            connection.close_when_written = true;
        }
    }

    /// Queues the response to a request.
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

    /// Turns a client's connection into a watch.
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
        // If responses that wait to be read leave no capacity for the head, the watcher reads no valid answer.
        connection.send(WATCH_HEAD).ok();
        self.watch_connections.insert(watcher, id);
    }

    /// Handles an event of a watch: the watcher has closed it, or can be sent more.
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
        // A watcher has nothing more to request.
        connection.discard_input();
        if read.is_err() || connection.end_of_stream {
            return self.close(context, id);
        }
        context.replica.watchers_mut().mark_ready(watcher);
        context.connections.mark_unflushed(id);
    }

    /// Sends watchers their new lines, and writes the output of all connections.
    pub(crate) fn flush(&mut self, context: &mut Context) {
        for watcher in context.replica.watchers_mut().take_ready() {
            self.notify(context, watcher);
        }
        for id in context.connections.take_unflushed() {
            match context.connections.write(id, context.now) {
                Ok(WriteOutcome::Open) => {}
                Ok(WriteOutcome::Complete) | Err(_) => self.close(context, id),
            }
        }
    }

    /// Closes connections that have exceeded their timeout.
    pub(crate) fn close_overdue(&mut self, context: &mut Context) {
        let mut overdue = Vec::new();
        for (id, connection) in context.connections.iter() {
            let since = context.now.saturating_sub(connection.last_progress);
            let busy = !connection.input.is_empty() || !connection.output.is_empty();
            let timeout = match connection.purpose {
                Purpose::Watch(_) if busy => WATCHER_READ_TIMEOUT,
                Purpose::Client if busy => REQUEST_TIMEOUT,
                Purpose::Client => IDLE_TIMEOUT,
                _ => continue,
            };
            if since > timeout {
                overdue.push((id, connection.purpose));
            }
        }
        for (id, purpose) in overdue {
            match purpose {
                Purpose::Watch(_) => context.metrics.closed_slow += 1,
                _ => context.metrics.closed_idle += 1,
            }
            self.close(context, id);
        }
    }

    /// Closes a connection, and ends its watch.
    pub(crate) fn close(&mut self, context: &mut Context, id: ConnectionId) {
        if let Some(Purpose::Watch(watcher)) = context.connections.close(id) {
            context.replica.watchers_mut().close(watcher);
            self.watch_connections.remove(&watcher);
        }
    }

    /// Closes the connection of a watch that another one has replaced.
    pub(crate) fn close_replaced(&mut self, context: &mut Context, replaced: WatcherId) {
        if let Some(id) = self.watch_connections.remove(&replaced) {
            self.close(context, id);
        }
    }

    /// Closes all watches: the watchers ask another process, or this one again.
    pub(crate) fn close_watches(&mut self, context: &mut Context) {
        let open: Vec<ConnectionId> = self.watch_connections.values().copied().collect();
        open.into_iter().for_each(|id| self.close(context, id));
    }

    /// Sends a watcher lines until there are none, or it does not keep up.
    fn notify(&mut self, context: &mut Context, watcher: WatcherId) {
        let Some(id) = self.watch_connections.get(&watcher).copied() else {
            return;
        };
        while let Some(connection) = context.connections.get_mut(id) {
            while connection.output.len() < MAX_UNREAD_BYTES {
                let Some(line) = context.replica.next_line(watcher, context.now) else {
                    break;
                };
                context.metrics.count_line(line.kind, line.bytes.len());
                // The output's bound exceeds the unread bytes and the longest line together.
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
            return BodyAdmission::Wait;
        };
        if connection.input_bound() >= length {
            return BodyAdmission::Wait;
        }
        if long_bodies >= MAX_LONG_BODIES {
            let response = Response::error(503, "too many long requests at once: send it again");
            self.respond_and_close(context, id, response);
            return BodyAdmission::Wait;
        }
        connection.grow_input(length);
        match context.connections.read(id) {
            Ok(()) => BodyAdmission::MoreRead,
            Err(_) => {
                self.close(context, id);
                BodyAdmission::Wait
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
