//! Registration with the poller: waiting for events, and telling the poller which ones to report.
//!
//! The poller is in one-shot mode, so every source has to be armed again after each of its events. A registration that
//! fails for a moment is repeated.

use super::failed_calls::SocketCall;
use super::id::ConnectionId;
use super::repeats::{REPEAT_DELAY, Source};
use super::socket::Interest;
use super::table::{ConnectionTable, PollEvent};
use crate::slot_table::SlotId;
use bellsill_net::call_errors::is_transient;
use polling::{Event, Poller};
use std::io;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// Poller keys of sources that are not connections; connection ids stay far below them.
pub(super) const CLIENT_LISTENER: usize = usize::MAX - 1;
pub(super) const SIGNALS: usize = usize::MAX - 2;
pub(super) const ADMIN_LISTENER: usize = usize::MAX - 3;
/// A connection id must fit into a poller key.
const _: () = assert!(usize::BITS == 64);

/// Adds a source to the poller. All sources are added here, which confines the unsafe code.
#[expect(
    unsafe_code,
    reason = "the poller borrows descriptors without a lifetime"
)]
pub(super) fn add(poller: &Poller, source: &impl AsRawFd, event: Event) -> io::Result<()> {
    // SAFETY: every source is owned by `ConnectionTable`, which deletes it from the poller before closing it.
    unsafe { poller.add(source, event) }
}

impl ConnectionTable {
    /// Waits for events, at most for `timeout`. Connections with a call to repeat are reported as ready. If waiting fails for
    /// a moment, it ends early.
    pub(crate) fn wait(&mut self, timeout: Option<Duration>) -> io::Result<Vec<PollEvent>> {
        self.events.clear();
        let timeout = match self.repeats.is_empty() {
            true => timeout,
            false => Some(timeout.map_or(REPEAT_DELAY, |timeout| timeout.min(REPEAT_DELAY))),
        };
        if let Err(e) = self.poller.wait(&mut self.events, timeout) {
            self.failed_calls.record(SocketCall::Wait, &e);
            if !is_transient(&e) {
                return Err(e);
            }
            // The poller may have collected events before its call failed; they are reported below.
            if self.events.is_empty() {
                std::thread::sleep(REPEAT_DELAY);
            }
        }
        let mut seen = Vec::new();
        for event in self.events.iter() {
            seen.push(match event.key {
                CLIENT_LISTENER => PollEvent::ClientListener,
                ADMIN_LISTENER => PollEvent::AdminListener,
                SIGNALS => PollEvent::Signals,
                key => {
                    let id = ConnectionId::from_raw(key as u64);
                    match self.connections.get_mut(id) {
                        // The poller is in one-shot mode: the connection must be re-armed.
                        Some(conn) => conn.armed = None,
                        None => continue,
                    }
                    self.repeats.remove_connection(id);
                    PollEvent::Connection(id)
                }
            });
        }
        seen.extend(self.repeat_failed_calls());
        Ok(seen)
    }

    /// Whether a call on this connection failed for a moment and will be repeated. Until then it is not known whether
    /// input has arrived.
    pub(crate) fn has_call_to_repeat(&self, id: ConnectionId) -> bool {
        self.repeats.contains(id)
    }

    /// Repeats the registrations that failed, and returns the established connections with a call to repeat: their next
    /// event handler makes the call.
    fn repeat_failed_calls(&mut self) -> Vec<PollEvent> {
        for source in self.repeats.take_sources() {
            self.arm_source(source);
        }
        let mut ready = Vec::new();
        for id in self.repeats.take_connections() {
            let Some(conn) = self.connections.get_mut(id) else {
                continue;
            };
            if !conn.connecting {
                conn.armed = None;
                ready.push(PollEvent::Connection(id));
            } else if self.arm(id).is_err() {
                // The handler of the event finds that the connection is not established.
                ready.push(PollEvent::Connection(id));
            }
        }
        ready
    }

    /// Arms a listener or the signal pipe.
    pub(super) fn arm_source(&mut self, source: Source) {
        let armed = match source {
            Source::ClientListener => self.listener.as_ref().map(|listener| {
                self.poller
                    .modify(listener, Event::readable(CLIENT_LISTENER))
            }),
            Source::AdminListener => self.admin_listener.as_ref().map(|listener| {
                self.poller
                    .modify(listener, Event::readable(ADMIN_LISTENER))
            }),
            Source::Signals => Some(self.poller.modify(&self.signals, Event::readable(SIGNALS))),
        };
        if let Some(Err(e)) = armed {
            self.failed_calls.record(SocketCall::Register, &e);
            self.repeats.add_source(source);
        }
    }

    /// Arms the connection in the poller. While the input buffer is full, or the output buffer is more than half full
    /// because the peer does not read, or its time is up, the connection is not watched for input. An error means that the
    /// connection cannot be registered at all.
    pub(crate) fn arm(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(conn) = self.connections.get_mut(id) else {
            return Ok(());
        };
        let peer_reads_slowly = conn.output.len() > conn.output.remaining_capacity();
        let interest = Interest {
            read: !conn.connecting
                && !conn.peer_closed
                && (!conn.overdue || conn.lingering)
                && conn.input.remaining_capacity() > 0
                && !peer_reads_slowly,
            write: conn.connecting || !conn.output.is_empty(),
        };
        if conn.armed == Some(interest) {
            return Ok(());
        }
        let registered = match conn.is_registered {
            true => self.poller.modify(&conn.stream, event(id, interest)),
            false => add(&self.poller, &conn.stream, event(id, interest)),
        };
        match registered {
            Ok(()) => {
                (conn.is_registered, conn.armed) = (true, Some(interest));
                Ok(())
            }
            Err(e) => {
                conn.armed = None;
                let role = conn.role;
                self.handle_failure(SocketCall::Register, id, role, e)
            }
        }
    }
}

fn event(id: ConnectionId, interest: Interest) -> Event {
    Event::new(id.raw() as usize, interest.read, interest.write)
}
