//! Sends notifications, one request at a time, with an exponential backoff after a failure.

use super::queue::{MIN_BACKOFF, Notifications};
use crate::action_rules::{NotificationFacts, may_send_notification};
use crate::clock::NANOS_PER_MS;
use crate::connection::{BufferBounds, ConnectionId, Role};
use crate::http::{self, Body, MalformedResponse};
use crate::io::Io;
use crate::timer::Timer;
use bellsill_core::interface::{MessageId, Nanos};
use std::net::SocketAddr;

/// The timeout of a response.
const RESPONSE_TIMEOUT: Nanos = 400_000_000;
/// The maximum backoff. The backoff doubles with each failure.
const MAX_BACKOFF: Nanos = 200_000_000;
/// The maximum number of notifications in one request.
const MAX_BATCH: usize = 256;
/// The maximum size of a request.
const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// The result of handling an event on the notification connection.
#[must_use]
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum NotificationEvent {
    /// No notification was acknowledged.
    Waiting,
    /// The platform acknowledged the notifications of these messages.
    Acknowledged(Vec<MessageId>),
}

impl Notifications {
    /// Sends a batch of pending notifications, unless a request is in flight or the backoff has not ended.
    pub(crate) fn send(&mut self, io: &mut Io) {
        if self.pending.is_empty() || !self.in_flight.is_empty() || self.backing_off {
            return;
        }
        let facts = |id: &MessageId| self.facts(*id, io.now);
        let is_sendable = |id: &MessageId| may_send_notification(facts(id)).is_ok();
        let batch = self.pending.keys().copied().filter(is_sendable);
        self.in_flight = batch.take(MAX_BATCH).collect();
        if self.in_flight.is_empty() {
            return;
        }
        for message in &self.in_flight {
            log::debug!("message {:016x}: notification sent", message.0);
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
                Err(_) => return self.close_and_back_off(io),
            },
        };
        self.connection = Some(id);
        if let Some(conn) = io.connections.get_mut(id) {
            conn.output.push(request.as_bytes());
        }
        io.timers
            .set(Timer::Connection(id), io.now + RESPONSE_TIMEOUT);
        if io.connections.flush(id).is_err() {
            self.close_and_back_off(io);
        }
    }

    /// The messages of the request in flight.
    pub(crate) fn in_flight(&self) -> &[MessageId] {
        &self.in_flight
    }

    /// The facts that decide whether a pending notification may be sent. Only ended messages have one.
    pub(crate) fn facts(&self, id: MessageId, now: Nanos) -> NotificationFacts {
        let unrecorded_until = self.unrecorded_until.get(&id);
        NotificationFacts {
            message_ended: true,
            is_recorded: unrecorded_until.is_none(),
            lifetime_over: unrecorded_until.is_some_and(|&deadline| now >= deadline),
        }
    }

    /// Closes the connection and, if a request was in flight, starts the backoff. The notifications of that request
    /// stay pending: the platform accepts duplicates.
    pub(crate) fn close_and_back_off(&mut self, io: &mut Io) {
        if let Some(id) = self.connection.take() {
            io.timers.cancel(Timer::Connection(id));
            io.connections.close(id);
        }
        self.head = None;
        let unacknowledged = std::mem::take(&mut self.in_flight);
        if !unacknowledged.is_empty() {
            log::debug!(
                "notifications: {} unacknowledged, sent again in {} ms",
                unacknowledged.len(),
                self.backoff / NANOS_PER_MS
            );
            self.backing_off = true;
            io.timers
                .set(Timer::NotificationRetry, io.now + self.backoff);
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Changes the address. Notifications in flight to the previous address are sent again to the new one.
    pub(crate) fn relocate(&mut self, io: &mut Io, addr: SocketAddr) {
        if addr != self.addr {
            self.addr = addr;
            self.close_and_back_off(io);
            io.timers.cancel(Timer::NotificationRetry);
            (self.backing_off, self.backoff) = (false, MIN_BACKOFF);
        }
    }

    /// Ends the backoff after a failure.
    pub(crate) fn end_backoff(&mut self) {
        self.backing_off = false;
    }

    /// Handles readiness of the connection.
    pub(crate) fn connection_ready(&mut self, io: &mut Io, id: ConnectionId) -> NotificationEvent {
        let mut event = NotificationEvent::Waiting;
        if self.read_response(io, id, &mut event).is_err() {
            self.close_and_back_off(io);
        }
        event
    }

    /// Reads the response as far as it has arrived. An error means that the connection cannot be reused.
    fn read_response(
        &mut self,
        io: &mut Io,
        id: ConnectionId,
        event: &mut NotificationEvent,
    ) -> Result<(), MalformedResponse> {
        // A broken connection is handled like a malformed response.
        let io_error = |_: std::io::Error| MalformedResponse;
        if io.connections.get(id).is_some_and(|c| c.connecting) {
            io.connections.finish_connect(id).map_err(io_error)?;
        }
        io.connections.read(id).map_err(io_error)?;
        let Some(conn) = io.connections.get_mut(id) else {
            return Ok(());
        };
        if self.head.is_none() {
            self.head = http::take_response_head(&mut conn.input)?;
        }
        if let Some(head) = &mut self.head {
            head.body.take(&mut conn.input, |_| {})?;
            if head.body == Body::Done {
                let (status, closes_connection) = (head.status, head.closes_connection);
                self.head = None;
                if status != 204 && status != 200 {
                    log::warn!(
                        "notifications: the platform responded with status {status} to a batch of {}; will retry",
                        self.in_flight.len()
                    );
                    return Err(MalformedResponse);
                }
                *event = self.acknowledge_batch(io, id);
                if closes_connection {
                    return Err(MalformedResponse);
                }
            }
        }
        if io.connections.get(id).is_some_and(|c| c.peer_closed) {
            return Err(MalformedResponse);
        }
        io.connections.flush(id).map_err(io_error)
    }

    /// Removes the acknowledged batch from the queue.
    fn acknowledge_batch(&mut self, io: &mut Io, id: ConnectionId) -> NotificationEvent {
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
