//! Sending notifications: one request at a time, again after a while if it failed.

use super::queue::{MIN_BACKOFF, Notifications};
use crate::connection::{BufferBounds, ConnectionId, Role};
use crate::http::{self, Body, MalformedResponse};
use crate::io::Io;
use crate::timer::Timer;
use bellsill_core::interface::{MessageId, Nanos};
use std::net::SocketAddr;

/// How long to wait for an answer.
const ANSWER_TIMEOUT: Nanos = 400_000_000;
/// The longest backoff; it doubles with each failure.
const MAX_BACKOFF: Nanos = 200_000_000;
/// The most notifications of one request, and the most bytes that it can have.
const MAX_BATCH: usize = 256;
const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// What became of the request in flight.
#[must_use]
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum NotificationEvent {
    /// It has no answer yet, or there is none in flight.
    Waiting,
    /// The platform has acknowledged the notifications of these messages.
    Acknowledged(Vec<MessageId>),
}

impl Notifications {
    /// Sends what is pending, unless a request is in flight or one has just failed.
    pub(crate) fn send(&mut self, io: &mut Io) {
        if self.pending.is_empty() || !self.in_flight.is_empty() || self.backing_off {
            return;
        }
        let unrecorded = &self.unrecorded_until;
        let may_go = |id: &MessageId| unrecorded.get(id).is_none_or(|&until| io.now >= until);
        let batch = self.pending.keys().copied().filter(may_go);
        self.in_flight = batch.take(MAX_BATCH).collect();
        if self.in_flight.is_empty() {
            return;
        }
        let request = http::notification_request(self.addr, &self.body());
        let bounds = BufferBounds {
            input: http::MAX_HEAD_BYTES,
            output: MAX_REQUEST_BYTES,
        };
        let id = match self.connection {
            Some(id) => id,
            None => match io.connections.open(self.addr, Role::Notifications, bounds) {
                Ok(id) => id,
                Err(_) => return self.fail(io),
            },
        };
        self.connection = Some(id);
        if let Some(conn) = io.connections.get_mut(id) {
            conn.output.push(request.as_bytes());
        }
        io.timers
            .set(Timer::Connection(id), io.now + ANSWER_TIMEOUT);
        if io.connections.flush(id).is_err() {
            self.fail(io);
        }
    }

    /// The request failed, or an idle connection ended. What was in flight stays pending: the platform accepts a
    /// notification twice.
    pub(crate) fn fail(&mut self, io: &mut Io) {
        if let Some(id) = self.connection.take() {
            io.timers.cancel(Timer::Connection(id));
            io.connections.close(id);
        }
        self.head = None;
        if !std::mem::take(&mut self.in_flight).is_empty() {
            self.backing_off = true;
            io.timers
                .set(Timer::NotificationRetry, io.now + self.backoff);
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Sends to another address from now on, also what is in flight.
    pub(crate) fn relocate(&mut self, io: &mut Io, addr: SocketAddr) {
        if addr != self.addr {
            self.addr = addr;
            self.fail(io);
            io.timers.cancel(Timer::NotificationRetry);
            (self.backing_off, self.backoff) = (false, MIN_BACKOFF);
        }
    }

    /// The pause after a failure is over.
    pub(crate) fn end_backoff(&mut self) {
        self.backing_off = false;
    }

    /// Something happened on the connection.
    pub(crate) fn ready(&mut self, io: &mut Io, id: ConnectionId) -> NotificationEvent {
        let mut event = NotificationEvent::Waiting;
        if self.read_answer(io, id, &mut event).is_err() {
            self.fail(io);
        }
        event
    }

    /// The error says that the connection cannot be used for another request.
    fn read_answer(
        &mut self,
        io: &mut Io,
        id: ConnectionId,
        event: &mut NotificationEvent,
    ) -> Result<(), MalformedResponse> {
        // A broken connection and a malformed answer have the same consequence here.
        let broken = |_: std::io::Error| MalformedResponse;
        if io.connections.get(id).is_some_and(|c| c.connecting) {
            io.connections.finish_connect(id).map_err(broken)?;
        }
        io.connections.read(id).map_err(broken)?;
        let Some(conn) = io.connections.get_mut(id) else {
            return Ok(());
        };
        if self.head.is_none() {
            self.head = http::take_response_head(&mut conn.input)?;
        }
        if let Some(head) = &mut self.head {
            head.body.take(&mut conn.input, |_| {})?;
            if head.body == Body::Done {
                let (status, last) = (head.status, head.closes_connection);
                self.head = None;
                if status != 204 && status != 200 {
                    log::warn!(
                        "notifications: a request with {} of them was answered with status {status}",
                        self.in_flight.len()
                    );
                    return Err(MalformedResponse);
                }
                *event = self.acknowledged(io, id);
                if last {
                    return Err(MalformedResponse);
                }
            }
        }
        if io.connections.get(id).is_some_and(|c| c.peer_closed) {
            return Err(MalformedResponse);
        }
        io.connections.flush(id).map_err(broken)
    }

    fn acknowledged(&mut self, io: &mut Io, id: ConnectionId) -> NotificationEvent {
        io.timers.cancel(Timer::Connection(id));
        self.backoff = MIN_BACKOFF;
        let batch = std::mem::take(&mut self.in_flight);
        for message in &batch {
            self.pending.remove(message);
            self.unrecorded_until.remove(message);
        }
        NotificationEvent::Acknowledged(batch)
    }
}
