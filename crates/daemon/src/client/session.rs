//! A client's session: reading, time limits and the end of its connection.

use crate::connection::{ConnectionId, Role};
use crate::delivery::Runtime;
use crate::event_loop::Daemon;
use crate::shutdown::ShutdownPhase;
use crate::timer::Timer;
use bellsill_core::interface::Nanos;

/// How long a client may take to its first command, and from a command's first byte to its last, or to read an answer.
pub(super) const REQUEST_TIMEOUT: Nanos = 2_600_000_000;

/// How long a client may stay that asks no more.
pub(super) const IDLE_TIMEOUT: Nanos = 8_000_000_000;

/// How long a client that was told something last may take to end its side.
pub(super) const LINGER_TIMEOUT: Nanos = 2_000_000_000;

impl Runtime {
    /// Reads what has come from a client. True: something had.
    pub(crate) fn read_client(&mut self, id: ConnectionId) -> std::io::Result<bool> {
        let now = self.now;
        let Some(conn) = self.connections.get_mut(id) else {
            return Ok(false);
        };
        let had = conn.input.len();
        if conn.answered && conn.is_idle() {
            // Its next command begins.
            conn.last_active = now;
        }
        let read = self.connections.read(id);
        let Some(conn) = self.connections.get_mut(id) else {
            return Ok(false);
        };
        let came = conn.input.len() != had;
        if came {
            conn.last_received = now;
        }
        read.map(|()| came)
    }

    /// Closes a client's connection.
    pub(crate) fn close_client(&mut self, id: ConnectionId) {
        self.deadlines.clear(Timer::Connection(id));
        self.deadlines.clear(Timer::ReadClient(id));
        self.connections.close(id);
    }

    /// Ends a client that has had its time. One in the middle of a request is told so: its rest may still come, and read
    /// without an answer it would be lost.
    pub(crate) fn end_overdue(&mut self, id: ConnectionId) {
        let now = self.now;
        let Some(conn) = self.connections.get_mut(id) else {
            return;
        };
        if !conn.input.is_empty() && conn.output.is_empty() {
            conn.input.consume(conn.input.len());
            conn.queue_answer("-ERR the request did not come whole in time\r\n", now);
            if self.connections.flush(id).is_err() {
                return self.close_client(id);
            }
        }
        self.close_gracefully(id);
    }

    /// Parts with a client: the own side ends, and what still comes is read and thrown away until the other side has ended
    /// too, or for a while. Closed over bytes that are not read, the connection would be reset, and answers that the client
    /// has not read would be lost with it. It covers a request that crosses the end: nothing of it is accepted, and the
    /// client sends it once more elsewhere. The harm: the place is held for as long as that takes.
    ///
    /// One that was told nothing yet has no answer to lose, and is closed: its first request is not read then, where read and
    /// thrown away it would be lost.
    pub fn close_gracefully(&mut self, id: ConnectionId) {
        self.deadlines.clear(Timer::ReadClient(id));
        let told = |c: &crate::connection::Connection| c.answered || c.protocol_errors > 0;
        let polite = self
            .connections
            .get(id)
            .is_some_and(|c| told(c) && !c.lingering && !c.peer_closed && c.output.is_empty());
        if polite
            && self
                .connections
                .shutdown_write(id)
                .and_then(|()| self.connections.arm(id))
                .is_ok()
        {
            // What is here already is met now.
            self.deadlines
                .set(Timer::Connection(id), self.now + LINGER_TIMEOUT);
            self.deadlines.set(Timer::ReadClient(id), self.now);
        } else {
            self.close_client(id);
        }
    }
}

impl Daemon {
    pub fn client_ready(&mut self, id: ConnectionId) {
        let runtime = &mut self.runtime;
        let broken = runtime.read_client(id).is_err();
        let Some(conn) = runtime.connections.get_mut(id) else {
            return;
        };
        if conn.lingering {
            conn.input.consume(conn.input.len());
            if broken || conn.peer_closed || runtime.connections.arm(id).is_err() {
                runtime.close_client(id);
            }
        } else {
            self.answer_or_close(id, broken);
        }
    }

    /// Answers what has come from a client, or closes its connection where that broke or is done.
    pub(crate) fn answer_or_close(&mut self, id: ConnectionId, broken: bool) {
        if broken || !self.answer_commands(id) {
            self.runtime.close_client(id);
        }
    }

    /// A client has had its time: to ask, to send the rest of what it asks, to read, or to stay without asking. Those who
    /// connect and say nothing, or stop half-way, would else hold their places for good; it covers those that read no
    /// answers too. The harm: one that is slower than that is parted with unheard. What came last is still met.
    pub fn client_overdue(&mut self, id: ConnectionId) {
        if self
            .runtime
            .connections
            .get(id)
            .is_some_and(|c| c.lingering)
        {
            return self.runtime.close_client(id);
        }
        // A request that begins now has its own time from now on.
        match self.runtime.read_client(id) {
            Ok(false) => self.runtime.end_overdue(id),
            heard => self.answer_or_close(id, heard.is_err()),
        }
    }

    /// All clients that are inside now.
    pub(crate) fn clients(&self) -> Vec<ConnectionId> {
        self.runtime
            .connections
            .iter()
            .filter(|(_, c)| c.role == Role::Client)
            .map(|(id, _)| id)
            .collect()
    }

    /// On the way out, parts with a client whose last request is answered; it sends its next one elsewhere.
    pub(crate) fn close_if_done(&mut self, id: ConnectionId) {
        let between = |c: &crate::connection::Connection| c.is_idle() && !c.lingering;
        let parts = self.shutdown_phase >= ShutdownPhase::ClosingClients || self.draining;
        if parts && self.runtime.connections.get(id).is_some_and(between) {
            self.runtime.close_gracefully(id);
        }
    }
}
