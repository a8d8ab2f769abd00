//! A follower: replicates the complete configuration through a watch on the leader, and sends the leader heartbeats of
//! the dispatchers that have a watch at this process.

use crate::connection::{BufferBounds, ConnectionId, Purpose};
use crate::connections::Connections;
use crate::context::Context;
use crate::presence::Heartbeat;
use crate::replica::Replica;
use crate::replication::{LineEffect, LineError, Replication, ReplicationError};
use crate::storage::StorageError;
use crate::time::SECOND;
use bellsill_directory::complete_line::MAX_COMPLETE_LINE_BYTES;
use bellsill_net::Nanos;
use bellsill_net::http::{self, Body, MalformedResponse};
use bellsill_placement::Layout;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The watch on the leader is closed if no complete line arrives for this long, including the time to connect.
const SILENCE_TIMEOUT: Nanos = 3 * SECOND / 2;
/// The delay before the watch is reopened.
const RETRY_DELAY: Nanos = SECOND / 2;
/// The delay after a response was rejected. It is longer because the leader is likely to send the same again.
const RETRY_DELAY_AFTER_REJECTION: Nanos = 5 * SECOND;
/// The buffer sizes of a connection to the leader, in bytes.
const BUFFER_BOUNDS: BufferBounds = BufferBounds {
    input: 256 * 1024,
    output: 1024 * 1024,
};

/// The state that only a follower has, in addition to the replicated state.
pub(crate) struct Follower {
    leader: SocketAddr,
    watch: Option<LeaderWatch>,
    /// The earliest time at which a watch may be opened.
    retry_at: Nanos,
    replication: Replication,
    heartbeat_call: Option<ConnectionId>,
}

struct LeaderWatch {
    id: ConnectionId,
    /// None until the head of the response has arrived.
    body: Option<Body>,
    /// The received bytes of an incomplete line.
    partial_line: Vec<u8>,
    /// When the last complete line arrived, or when the watch was opened if none has.
    last_line_at: Nanos,
}

/// Why a watch on the leader ends.
#[derive(Debug, Error)]
enum WatchFailure {
    #[error("{0}")]
    Connection(#[from] io::Error),
    #[error("no complete line arrived in time")]
    TimedOut,
    #[error("closed by the leader")]
    Closed,
    #[error("{0}")]
    Malformed(#[from] MalformedResponse),
    #[error("the leader responded with status {0}")]
    Status(u16),
    #[error("a line exceeds {MAX_COMPLETE_LINE_BYTES} bytes")]
    LineTooLong,
    #[error("{0}")]
    Line(#[from] LineError),
}

/// Why an event on the watch cannot be handled.
#[derive(Debug, Error)]
enum WatchError {
    /// The watch is closed and reopened later.
    #[error(transparent)]
    Failed(#[from] WatchFailure),
    /// The process cannot continue.
    #[error(transparent)]
    Storage(#[from] StorageError),
}

impl From<ReplicationError> for WatchError {
    fn from(error: ReplicationError) -> Self {
        match error {
            ReplicationError::Rejected(error) => WatchError::Failed(error.into()),
            ReplicationError::Storage(error) => WatchError::Storage(error),
        }
    }
}

impl WatchFailure {
    /// Whether the leader sent an invalid response, as opposed to none.
    fn is_rejection(&self) -> bool {
        !matches!(
            self,
            WatchFailure::Connection(_) | WatchFailure::TimedOut | WatchFailure::Closed
        )
    }
}

impl Follower {
    pub(crate) fn new(leader: SocketAddr, layout: Layout, now: Nanos) -> Follower {
        Follower {
            leader,
            watch: None,
            retry_at: now,
            replication: Replication::new(layout),
            heartbeat_call: None,
        }
    }

    pub(crate) fn leader(&self) -> SocketAddr {
        self.leader
    }

    /// Opens the watch on the leader when it is due, and closes one that has timed out.
    pub(crate) fn tick(&mut self, context: &mut Context) {
        let now = context.now;
        match &self.watch {
            Some(watch) if now.saturating_sub(watch.last_line_at) > SILENCE_TIMEOUT => {
                self.end_watch(context, &WatchFailure::TimedOut);
            }
            None if now >= self.retry_at => self.open_watch(context),
            _ => {}
        }
    }

    /// Sends heartbeats of the dispatchers that have a watch at this process. Must be called once a second.
    pub(crate) fn every_second(&mut self, context: &mut Context) {
        if let Some(overdue) = self.heartbeat_call.take() {
            context.connections.close(overdue);
        }
        let lines = heartbeat_lines(&context.replica);
        if lines.is_empty() {
            return;
        }
        let request = format!(
            "POST /v2/presence HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{lines}",
            self.leader,
            lines.len()
        );
        // No retry: if the request fails, the next one, a second later, has the same content.
        self.heartbeat_call = self
            .open_request(
                &mut context.connections,
                Purpose::HeartbeatRequest,
                &request,
                context.now,
            )
            .ok();
    }

    /// Handles an event on the connection of a heartbeat request. The response is discarded.
    pub(crate) fn heartbeat_call_ready(&mut self, context: &mut Context, id: ConnectionId) {
        let read = context.connections.read(id);
        let Some(connection) = context.connections.get_mut(id) else {
            return;
        };
        connection.discard_input();
        if read.is_ok() && !connection.end_of_stream {
            context.connections.mark_unflushed(id);
            return;
        }
        context.connections.close(id);
        self.heartbeat_call = None;
    }

    /// Handles an event on the watch on the leader. An error means that the process cannot continue.
    pub(crate) fn watch_ready(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
    ) -> Result<LineEffect, StorageError> {
        let mut effect = LineEffect::Applied;
        match self.read_and_apply(context, id, &mut effect) {
            Ok(()) => {}
            Err(WatchError::Failed(failure)) => {
                self.end_watch(context, &failure);
                return Ok(effect);
            }
            Err(WatchError::Storage(error)) => return Err(error),
        }
        context.connections.mark_unflushed(id);
        if context
            .connections
            .get_mut(id)
            .is_none_or(|connection| connection.end_of_stream)
        {
            self.end_watch(context, &WatchFailure::Closed);
        }
        Ok(effect)
    }

    /// Applies the lines that have arrived. `effect` is set even if a later line is rejected.
    fn read_and_apply(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        effect: &mut LineEffect,
    ) -> Result<(), WatchError> {
        for line in self.read_lines(&mut context.connections, id, context.now)? {
            match self.replication.apply_line(&line, &mut context.replica)? {
                LineEffect::Applied => {}
                LineEffect::ConfigurationReplaced => {
                    context.metrics.transfers_completed += 1;
                    *effect = LineEffect::ConfigurationReplaced;
                }
            }
        }
        Ok(())
    }

    /// Reads from the watch and returns the complete lines.
    fn read_lines(
        &mut self,
        connections: &mut Connections,
        id: ConnectionId,
        now: Nanos,
    ) -> Result<Vec<Vec<u8>>, WatchFailure> {
        connections.read(id)?;
        let (Some(watch), Some(connection)) = (
            self.watch.as_mut().filter(|watch| watch.id == id),
            connections.get_mut(id),
        ) else {
            return Ok(Vec::new());
        };
        if watch.body.is_none() {
            let Some(head) = http::take_response_head(&mut connection.input)? else {
                return Ok(Vec::new());
            };
            if head.status != 200 {
                return Err(WatchFailure::Status(head.status));
            }
            watch.body = Some(head.body);
        }
        let Some(body) = watch.body.as_mut() else {
            return Ok(Vec::new());
        };
        let mut lines = Vec::new();
        let partial = &mut watch.partial_line;
        body.take(&mut connection.input, |bytes| {
            split_lines(bytes, partial, &mut lines)
        })?;
        if partial.len() > MAX_COMPLETE_LINE_BYTES {
            return Err(WatchFailure::LineTooLong);
        }
        if !lines.is_empty() {
            watch.last_line_at = now;
        }
        Ok(lines)
    }

    fn open_watch(&mut self, context: &mut Context) {
        let position = match context.replica.directory() {
            Some(directory) => format!("since={}&log={}", directory.version().0, directory.log().0),
            None => "since=0".to_string(),
        };
        let request = format!(
            "GET /api/targets?follow=1&{position}&scope=all HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.leader
        );
        let opened = self.open_request(
            &mut context.connections,
            Purpose::LeaderWatch,
            &request,
            context.now,
        );
        match opened {
            Ok(id) => {
                self.watch = Some(LeaderWatch {
                    id,
                    body: None,
                    partial_line: Vec::new(),
                    last_line_at: context.now,
                });
            }
            Err(error) => self.end_watch(context, &error.into()),
        }
    }

    fn open_request(
        &self,
        connections: &mut Connections,
        purpose: Purpose,
        request: &str,
        now: Nanos,
    ) -> io::Result<ConnectionId> {
        let id = connections.connect(self.leader, purpose, BUFFER_BOUNDS, now)?;
        if let Some(connection) = connections.get_mut(id) {
            // A request that exceeds the output buffer is not sent; its connection is then closed by the timeout.
            connection.send(request.as_bytes()).ok();
        }
        Ok(id)
    }

    fn end_watch(&mut self, context: &mut Context, failure: &WatchFailure) {
        let delay = if failure.is_rejection() {
            RETRY_DELAY_AFTER_REJECTION
        } else {
            RETRY_DELAY
        };
        self.retry_at = context.now + delay;
        self.replication.abort_transfer();
        let watch = self.watch.take();
        if let Some(watch) = &watch {
            context.connections.close(watch.id);
        }
        let was_answered = watch.is_some_and(|watch| watch.body.is_some());
        let leader = self.leader;
        if failure.is_rejection() {
            context.metrics.leader_lines_rejected += 1;
            log::error!(
                "rejected the response of the leader at {leader}; keeping the current configuration: {failure}"
            );
        } else if was_answered {
            context.metrics.leader_watches_broken += 1;
            log::warn!("the watch on the leader at {leader} failed: {failure}");
        } else {
            // Logged at debug level: one warning for each lost watch, not for each retry while the leader is down.
            log::debug!("cannot open a watch on the leader at {leader}: {failure}");
        }
    }
}

fn heartbeat_lines(replica: &Replica) -> String {
    let lines = replica.watchers().members().filter_map(|member| {
        serde_json::to_string(&Heartbeat {
            dispatcher: member.clone(),
        })
        .ok()
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Appends bytes to a partial line, and moves the lines that this completes to `lines`.
fn split_lines(mut bytes: &[u8], partial: &mut Vec<u8>, lines: &mut Vec<Vec<u8>>) {
    while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
        partial.extend(&bytes[..end]);
        lines.push(std::mem::take(partial));
        bytes = &bytes[end + 1..];
    }
    partial.extend(bytes);
}
