//! Accepting clients, and making room for them.

use super::session::REQUEST_TIMEOUT;
use crate::delivery::Runtime;
use crate::event_loop::Daemon;
use crate::timer::Timer;
use bellsill_core::interface::Nanos;

/// How long no more clients are let in when there is no place for them.
const ACCEPT_BACKOFF: Nanos = 50_000_000;

/// The most clients let in, and the most commands of one client answered, before all others have their turn.
const ACCEPTS_PER_TURN: usize = 32;

/// With no place left, clients that have said nothing for so long give way; and after those, the ones that have asked no
/// more, or sent no more of what they ask, for so long.
const SILENT_EVICTION_AGE: Nanos = 250_000_000;

const IDLE_EVICTION_AGE: Nanos = 500_000_000;

impl Runtime {
    /// Sees to it that one more client can be let in. Idle connections to endpoints give way first, then a client that
    /// will not be missed: hundreds that say nothing, or ask once and stay, would otherwise lock out all others. It also
    /// covers clients told their last answer that do not go. One that gives way just before its next request sends it
    /// once more, as whenever a connection is closed between requests; one whose request has come is served, for closed
    /// then, its message would be lost.
    pub(crate) fn make_room_for_client(&mut self) -> bool {
        while self.connections.clients_full() {
            let now = self.now;
            let least = self.connections.least_needed_client(
                now.saturating_sub(SILENT_EVICTION_AGE),
                now.saturating_sub(IDLE_EVICTION_AGE),
            );
            let Some(id) = least else { return false };
            // One that lingers has nothing more to say.
            let lingers = self.connections.get(id).is_some_and(|c| c.lingering);
            if !lingers && matches!(self.read_client(id), Ok(true)) {
                self.deadlines.set(Timer::ReadClient(id), now);
            } else {
                // Its place is lookup now; and what it was told last has long been read.
                self.close_client(id);
            }
        }
        !self.connections.is_full() || self.close_oldest_idle()
    }
}

impl Daemon {
    /// Lets clients in, while there are descriptors for them. Idle connections to endpoints give way first; then new
    /// clients wait a little in the kernel's queue, so that the ones served already are not starved.
    /// True: more may wait.
    pub fn accept_clients(&mut self) -> bool {
        let runtime = &mut self.runtime;
        let (mut again, mut more) = (Ok(()), true);
        for _ in 0..ACCEPTS_PER_TURN {
            if !runtime.make_room_for_client() {
                // Said once, until there is place again.
                if !std::mem::replace(&mut self.at_client_limit, true) {
                    log::warn!(
                        "client limit reached, {} connections are open",
                        runtime.connections.len()
                    );
                }
                runtime
                    .deadlines
                    .set(Timer::AcceptClients, runtime.now + ACCEPT_BACKOFF);
                return false;
            }
            match runtime.connections.accept_client() {
                Ok(Some(id)) => {
                    self.at_client_limit = false;
                    let now = runtime.now;
                    runtime
                        .connections
                        .get_mut(id)
                        .into_iter()
                        .for_each(|c| (c.last_active, c.last_received) = (now, now));
                    runtime
                        .deadlines
                        .set(Timer::Connection(id), now + REQUEST_TIMEOUT);
                }
                Ok(None) => {
                    more = false;
                    break;
                }
                // It has gone again while it waited.
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    (again, more) = (Err(e), false);
                    break;
                }
            }
        }
        if let Err(e) = again.and_then(|()| runtime.connections.arm_listener()) {
            log::warn!("a client connection could not be accepted: {e}");
            runtime
                .deadlines
                .set(Timer::AcceptClients, runtime.now + ACCEPT_BACKOFF);
        }
        more
    }
}
