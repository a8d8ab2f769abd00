//! Accepts client connections and evicts existing ones at the connection limit.

use super::close_reason::CloseReason;
use super::closing::{REQUEST_TIMEOUT, close, may_close};
use super::resp::MAX_COMMAND_BYTES;
use super::session::{Input, read};
use crate::connection::ConnectionId;
use crate::delivery::Runtime;
use crate::timer::Timer;
use bellsill_core::interface::Nanos;
use std::io;

/// Pause in accepting clients at the connection limit or after a failed `accept`.
const ACCEPT_BACKOFF: Nanos = 50_000_000;
/// Maximum number of clients accepted before other events are handled.
const MAX_ACCEPTS_PER_EVENT: usize = 32;
/// At the limit, a client that never sent anything may be evicted after this time.
const SILENT_EVICTION_AGE: Nanos = 250_000_000;
/// At the limit, any other client may be evicted once it has sent nothing for this long.
const IDLE_EVICTION_AGE: Nanos = 500_000_000;

/// Whether more clients may be waiting in the accept queue.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptStatus {
    /// [`MAX_ACCEPTS_PER_EVENT`] was reached first.
    MoreMayWait,
    /// The queue is empty.
    QueueEmpty,
    /// No client can be accepted now, so some may be waiting. Accepting resumes after [`ACCEPT_BACKOFF`].
    BackingOff,
}

/// The connection limit is reached and no connection may be evicted.
struct AtLimit;

/// Accepts client connections.
#[derive(Default)]
pub(crate) struct Clients {
    /// Whether the limit was already logged; reset by the next client that is accepted.
    at_limit: bool,
}

impl Clients {
    /// Accepts clients while the limits allow it. At the limit, new clients stay in the kernel's accept queue for
    /// [`ACCEPT_BACKOFF`], and connected clients are served meanwhile.
    pub(crate) fn accept(&mut self, runtime: &mut Runtime) -> AcceptStatus {
        for _ in 0..MAX_ACCEPTS_PER_EVENT {
            if make_room(runtime).is_err() {
                if !std::mem::replace(&mut self.at_limit, true) {
                    log::warn!(
                        "connection limit reached with {} open connections; new clients wait in the accept \
                         queue until connections close",
                        runtime.connections.len()
                    );
                }
                back_off(runtime);
                return AcceptStatus::BackingOff;
            }
            match runtime.connections.accept_client(MAX_COMMAND_BYTES) {
                Ok(Some(id)) => {
                    self.at_limit = false;
                    start_session(runtime, id);
                }
                Ok(None) => {
                    runtime.connections.arm_listener();
                    return AcceptStatus::QueueEmpty;
                }
                // The client closed the connection while it was queued, or a signal came.
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted
                    ) => {}
                Err(e) => {
                    log::warn!("cannot accept client connections, will retry: {e}");
                    back_off(runtime);
                    return AcceptStatus::BackingOff;
                }
            }
        }
        runtime.connections.arm_listener();
        AcceptStatus::MoreMayWait
    }
}

fn start_session(runtime: &mut Runtime, id: ConnectionId) {
    let now = runtime.now;
    log::debug!("connection {id} (Client): accepted");
    if let Some(conn) = runtime.connections.get_mut(id) {
        (conn.last_active, conn.last_received) = (now, now);
    }
    runtime
        .timers
        .set(Timer::Connection(id), now + REQUEST_TIMEOUT);
}

fn back_off(runtime: &mut Runtime) {
    runtime
        .timers
        .set(Timer::AcceptClients, runtime.now + ACCEPT_BACKOFF);
}

/// Frees a connection for a new client. At the client limit a client is evicted: otherwise hundreds of clients that
/// send nothing, or that stay connected after one request, would lock out all others. At the limit on all connections
/// an idle connection to an endpoint is closed.
///
/// A client that is evicted just before its next request repeats the request elsewhere, as it does whenever its
/// connection is closed between requests. A client whose request has already arrived is served instead of evicted,
/// since its message would be lost.
fn make_room(runtime: &mut Runtime) -> Result<(), AtLimit> {
    while runtime.connections.client_limit_reached() {
        let now = runtime.now;
        let candidate = runtime.connections.eviction_candidate(
            now.saturating_sub(SILENT_EVICTION_AGE),
            now.saturating_sub(IDLE_EVICTION_AGE),
        );
        let id = candidate.ok_or(AtLimit)?;
        // A lingering client has had enough time to read its last reply.
        let lingering = runtime.connections.get(id).is_some_and(|c| c.lingering);
        let input = read(runtime, id);
        if !lingering && matches!(input, Ok(Input::Received)) {
            runtime.timers.set(Timer::ReadClient(id), now);
        } else if may_close(runtime, id, CloseReason::Evicted).is_err() {
            return Err(AtLimit);
        } else {
            close(runtime, id, CloseReason::Evicted);
        }
    }
    if runtime.connections.is_full() {
        runtime.close_oldest_idle().or(Err(AtLimit))
    } else {
        Ok(())
    }
}
