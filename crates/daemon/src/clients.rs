//! Clients: commands in, in order, an answer to each.

use crate::conns::ConnectionId;
use crate::event_loop::Daemon;
use crate::journal::JournaledMessage;
use crate::messages::{Rejection, Runtime, Timer};
use crate::resp;
use bellsill_core::interface::*;

/// How long no more clients are let in when there is no place for them.
const ACCEPT_BACKOFF: Nanos = 50_000_000;
/// The most clients let in, and the most commands of one client answered, before all others have their turn.
const ACCEPTS_PER_TURN: usize = 32;
const COMMANDS_PER_TURN: usize = 64;
/// The longest text that PING gives back.
const MAX_PING_BYTES: usize = 1024;
/// How long a client may take to its first command, and from a command's first byte to its last, or to read an answer.
const REQUEST_TIMEOUT: Nanos = 2_600_000_000;
/// How long a client may stay that asks no more.
const IDLE_TIMEOUT: Nanos = 8_000_000_000;
/// With no place left, clients that have said nothing for so long give way; and after those, the ones that have asked no
/// more, or sent no more of what they ask, for so long.
const SILENT_EVICTION_AGE: Nanos = 250_000_000;
const IDLE_EVICTION_AGE: Nanos = 500_000_000;
/// How long a client that was told something last may take to end its side.
const LINGER_TIMEOUT: Nanos = 2_000_000_000;
/// After so many errors a client is parted with.
const MAX_PROTOCOL_ERRORS: u32 = 16;

impl Runtime {
    /// Sees to it that one more client can be let in. Idle connections to endpoints give way first, then a client that
    /// will not be missed: hundreds that say nothing, or ask once and stay, would otherwise lock out all others. It also
    /// covers clients told their last answer that do not go. One that gives way just before its next request sends it
    /// once more, as whenever a connection is closed between requests; one whose request has come is served, for closed
    /// then, its message would be lost.
    fn make_room_for_client(&mut self) -> bool {
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

    /// Reads what has come from a client. True: something had.
    fn read_client(&mut self, id: ConnectionId) -> std::io::Result<bool> {
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
    fn close_client(&mut self, id: ConnectionId) {
        self.deadlines.clear(Timer::Connection(id));
        self.deadlines.clear(Timer::ReadClient(id));
        self.connections.close(id);
    }

    /// Ends a client that has had its time. One in the middle of a request is told so: its rest may still come, and read
    /// without an answer it would be lost.
    fn end_overdue(&mut self, id: ConnectionId) {
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
        let told = |c: &crate::conns::Connection| c.answered || c.protocol_errors > 0;
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
    fn answer_or_close(&mut self, id: ConnectionId, broken: bool) {
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

    /// Answers the commands that have come whole. False: the connection is done.
    fn answer_commands(&mut self, id: ConnectionId) -> bool {
        let now = self.runtime.now;
        let serves = self.accepts_clients();
        let mut left = COMMANDS_PER_TURN;
        loop {
            let Some(conn) = self.runtime.connections.get_mut(id) else {
                return true;
            };
            if left == 0 {
                // What else it sent waits until all others have had their turn.
                self.runtime.deadlines.set(Timer::ReadClient(id), now + 1);
                break;
            }
            left -= 1;
            // With no room for an answer, what has come waits until the client has read.
            if conn.close_after_output
                || conn.input.is_empty()
                || conn.output.available() < resp::MAX_COMMAND_BYTES / 2
            {
                break;
            }
            let full = conn.input.available() == 0;
            let bytes = conn.input.contiguous();
            let (words, taken) = match resp::command(bytes) {
                Ok(Some(command)) => command,
                Ok(None) if !full => break,
                bad => {
                    let why = bad.err().map_or("a command is too long", |bad| bad.0);
                    conn.output
                        .push(format!("-ERR Protocol error: {why}\r\n").as_bytes());
                    conn.close_after_output = true;
                    break;
                }
            };
            let words: Vec<&[u8]> = words.into_iter().map(|range| &bytes[range]).collect();
            let name = words
                .first()
                .map(|name| name.to_ascii_uppercase())
                .unwrap_or_default();
            let mut last = false;
            let mut new = None;
            let answer = match (name.as_slice(), words.len()) {
                (b"", _) => String::new(),
                (b"PING", _) if !serves => "-ERR draining\r\n".into(),
                (b"PING", 1) => "+PONG\r\n".into(),
                (b"PING", 2) if words[1].len() > MAX_PING_BYTES => {
                    "-ERR the text is too long\r\n".into()
                }
                (b"PING", 2) => {
                    let text = String::from_utf8_lossy(words[1]);
                    format!("${}\r\n{text}\r\n", text.len())
                }
                (b"QUIT", _) => {
                    last = true;
                    "+OK\r\n".into()
                }
                (b"MSG.PUT", _) => match resp::put(&words) {
                    Ok(put) => {
                        new = Some((put, words[4].to_vec()));
                        String::new()
                    }
                    Err(why) => format!("-ERR {why}\r\n"),
                },
                _ => format!("-ERR unknown command '{}'\r\n", name.escape_ascii()),
            };
            conn.input.consume(taken);
            conn.queue_answer(&answer, now);
            conn.close_after_output |= last;
            if let Some((put, body)) = new {
                self.put_message(id, put, body);
            }
            if let Some(conn) = self
                .runtime
                .connections
                .get_mut(id)
                .filter(|c| c.protocol_errors >= MAX_PROTOCOL_ERRORS)
            {
                conn.close_after_output = true;
            }
        }
        let runtime = &mut self.runtime;
        if runtime.connections.flush(id).is_err() {
            return false;
        }
        let Some(conn) = runtime.connections.get(id) else {
            return true;
        };
        if !conn.output.is_empty() || left == 0 || !(conn.close_after_output || conn.peer_closed) {
            let stay = if conn.answered && conn.is_idle() {
                IDLE_TIMEOUT
            } else {
                REQUEST_TIMEOUT
            };
            runtime
                .deadlines
                .set(Timer::Connection(id), conn.last_active + stay);
            return true;
        }
        // Closed with input unread, a connection is reset, and the answer to what was wrong with it may be lost.
        if !conn.peer_closed
            && runtime
                .connections
                .shutdown_write(id)
                .and_then(|()| runtime.connections.arm(id))
                .is_ok()
        {
            runtime
                .deadlines
                .set(Timer::Connection(id), runtime.now + LINGER_TIMEOUT);
            return true;
        }
        false
    }

    /// A message is handed in.
    fn put_message(&mut self, conn: ConnectionId, put: resp::PutCommand, body: Vec<u8>) {
        let say = |runtime: &mut Runtime, answer: &str| {
            let now = runtime.now;
            if let Some(to) = runtime.connections.get_mut(conn) {
                to.queue_answer(answer, now);
            }
            // At once, for the client's wait is short. A break shows when its commands are done.
            let _ = runtime.connections.flush(conn);
        };
        // A client that has ended its side may have given up waiting and handed the message in elsewhere: taken here too, it
        // would go out twice. It covers a dispatcher that stood still; the harm is a needless -BUSY to one that ends its
        // side early and yet listens.
        let listens = self
            .runtime
            .connections
            .get(conn)
            .is_some_and(|c| !c.peer_closed);
        let class = self.runtime.class_of(&put.class);
        let message = JournaledMessage {
            id: MessageId(put.id),
            class: put.class,
            key: put.key,
            destination: put.destination,
            deadline: self
                .runtime
                .now
                .saturating_add(put.lifetime_ms.saturating_mul(1_000_000)),
            idempotency_key: put.idempotency_key,
            body,
            attempts: vec![],
        };
        let taken = match listens {
            true => self.accept(message, |runtime| say(runtime, "+OK\r\n")),
            false => Err(Rejection::NoCapacity),
        };
        match taken {
            Ok(()) => {}
            Err(Rejection::UnknownClass) => say(&mut self.runtime, "-ERR c: unknown class\r\n"),
            Err(Rejection::UnknownDestination) => {
                say(&mut self.runtime, "-ERR dest: unknown destination\r\n")
            }
            Err(Rejection::LifetimeTooLong) => say(
                &mut self.runtime,
                "-ERR d: longer than the class allows\r\n",
            ),
            Err(Rejection::MissingIdempotencyKey) => {
                say(&mut self.runtime, "-ERR k: expected in this class\r\n")
            }
            Err(Rejection::NoCapacity) => {
                if let Some(class) = class {
                    self.runtime.metrics.count(class, crate::mgmt::REJECTED);
                }
                say(&mut self.runtime, "-BUSY\r\n")
            }
        }
    }
}
