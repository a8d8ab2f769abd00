//! Accepting clients, and making room for them.

use super::closing::{REQUEST_TIMEOUT, close};
use super::resp::MAX_COMMAND_BYTES;
use super::session::{Input, read};
use crate::connection::ConnectionId;
use crate::delivery::Runtime;
use crate::timer::Timer;
use bellsill_core::interface::Nanos;
use std::io;

/// How long no client is accepted when there is no room for one.
const ACCEPT_BACKOFF: Nanos = 50_000_000;
/// The most clients accepted before other events are handled.
const ACCEPTS_PER_TURN: usize = 32;
/// At the limit, clients that have sent nothing for this long are closed for new ones.
const SILENT_EVICTION_AGE: Nanos = 250_000_000;
/// After those, clients whose last request, or part of one, is this long ago.
const IDLE_EVICTION_AGE: Nanos = 500_000_000;

/// Whether more clients may wait to be accepted.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptStatus {
    /// The turn was over first.
    MoreMayWait,
    /// None waits, or none can be accepted now.
    Done,
}

/// There is no room for one more client.
struct AtLimit;

/// Accepts clients.
#[derive(Default)]
pub(crate) struct Clients {
    /// There was no room for the last client; logged once until there is.
    at_limit: bool,
}

impl Clients {
    /// Accepts clients as long as there are descriptors for them. At the limit new ones wait in the kernel's queue for a
    /// while, so that those connected are served.
    pub(crate) fn accept(&mut self, runtime: &mut Runtime) -> AcceptStatus {
        for _ in 0..ACCEPTS_PER_TURN {
            if make_room(runtime).is_err() {
                if !std::mem::replace(&mut self.at_limit, true) {
                    log::warn!(
                        "client limit reached, {} connections are open",
                        runtime.connections.len()
                    );
                }
                back_off(runtime);
                return AcceptStatus::Done;
            }
            match runtime.connections.accept_client(MAX_COMMAND_BYTES) {
                Ok(Some(id)) => {
                    self.at_limit = false;
                    welcome(runtime, id);
                }
                Ok(None) => {
                    arm_listener(runtime, Ok(()));
                    return AcceptStatus::Done;
                }
                // The client has closed its connection while it waited.
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    arm_listener(runtime, Err(e));
                    return AcceptStatus::Done;
                }
            }
        }
        arm_listener(runtime, Ok(()));
        AcceptStatus::MoreMayWait
    }
}

fn welcome(runtime: &mut Runtime, id: ConnectionId) {
    let now = runtime.now;
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

/// Has the poller watch the listener again, unless accepting failed.
fn arm_listener(runtime: &mut Runtime, accepted: io::Result<()>) {
    if let Err(e) = accepted.and_then(|()| runtime.connections.arm_listener()) {
        log::warn!("a client connection could not be accepted: {e}");
        back_off(runtime);
    }
}

/// Makes room for one more client. Idle connections to endpoints are closed for it, and at the clients' limit the least
/// needed client: hundreds that are silent, or that ask once and stay, would otherwise lock out all others. A client
/// closed just before its next request sends it again, as always when its connection is closed between requests. One
/// whose request has arrived is served instead, since its message would be lost.
fn make_room(runtime: &mut Runtime) -> Result<(), AtLimit> {
    while runtime.connections.clients_full() {
        let now = runtime.now;
        let least_needed = runtime.connections.least_needed_client(
            now.saturating_sub(SILENT_EVICTION_AGE),
            now.saturating_sub(IDLE_EVICTION_AGE),
        );
        let id = least_needed.ok_or(AtLimit)?;
        // A lingering client has had its last answer, long enough ago to have read it.
        let lingering = runtime.connections.get(id).is_some_and(|c| c.lingering);
        if !lingering && matches!(read(runtime, id), Ok(Input::Received)) {
            runtime.timers.set(Timer::ReadClient(id), now);
        } else {
            close(runtime, id);
        }
    }
    if runtime.connections.is_full() {
        runtime.close_oldest_idle().or(Err(AtLimit))
    } else {
        Ok(())
    }
}
