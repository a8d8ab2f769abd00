//! The commands of clients: PING, QUIT and MSG.PUT.

use super::session::{IDLE_TIMEOUT, LINGER_TIMEOUT, REQUEST_TIMEOUT};
use crate::client::resp;
use crate::connection::ConnectionId;
use crate::delivery::Runtime;
use crate::delivery::admission::Rejection;
use crate::event_loop::Daemon;
use crate::journal::JournaledMessage;
use crate::timer::Timer;
use bellsill_core::interface::MessageId;

const COMMANDS_PER_TURN: usize = 64;

/// The longest text that PING gives back.
const MAX_PING_BYTES: usize = 1024;

/// After so many errors a client is parted with.
const MAX_PROTOCOL_ERRORS: u32 = 16;

impl Daemon {
    /// Answers the commands that have come whole. False: the connection is done.
    pub(crate) fn answer_commands(&mut self, id: ConnectionId) -> bool {
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
    pub(crate) fn put_message(&mut self, conn: ConnectionId, put: resp::PutCommand, body: Vec<u8>) {
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
                    self.runtime.metrics.count(class, crate::admin::REJECTED);
                }
                say(&mut self.runtime, "-BUSY\r\n")
            }
        }
    }
}
