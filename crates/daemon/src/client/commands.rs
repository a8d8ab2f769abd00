//! The commands of clients: PING, QUIT and MSG.PUT.

use super::closing::{IDLE_TIMEOUT, REQUEST_TIMEOUT, linger};
use super::policy::ClientPolicy;
use super::resp::{self, MAX_COMMAND_BYTES, PutCommand};
use crate::connection::{Connection, ConnectionId};
use crate::delivery::{Admission, Delivery, Rejection, Runtime};
use crate::journal::JournaledMessage;
use crate::metrics::End;
use crate::timer::Timer;
use bellsill_core::interface::{MessageId, Nanos};

/// The most commands of one client answered before other events are handled.
const COMMANDS_PER_TURN: usize = 64;
/// The longest text that PING returns.
const MAX_PING_BYTES: usize = 1024;
/// After this many errors a client is closed.
const MAX_PROTOCOL_ERRORS: u32 = 16;
/// With less room for answers than this, input waits until the client has read some.
const MIN_ANSWER_ROOM: usize = MAX_COMMAND_BYTES / 2;
const NANOS_PER_MS: Nanos = 1_000_000;

/// The connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SessionEnded;

/// A message that a client hands in.
struct NewMessage {
    put: PutCommand,
    body: Vec<u8>,
}

/// What came of the next command.
enum Step {
    /// None is complete, or none can be answered now.
    Wait,
    /// It is answered.
    Answered,
    /// It is answered once the message is accepted or rejected.
    Put(NewMessage),
}

/// The answer to a command.
enum Reply {
    Text(String),
    /// The last answer before the connection is closed.
    Last(&'static str),
    Put(NewMessage),
}

/// Answers the commands that have arrived completely.
pub(super) fn answer_commands(
    delivery: &mut Delivery,
    id: ConnectionId,
    policy: ClientPolicy,
) -> Result<(), SessionEnded> {
    let now = delivery.runtime.now;
    let mut left = COMMANDS_PER_TURN;
    loop {
        let Some(conn) = delivery.runtime.connections.get_mut(id) else {
            return Ok(());
        };
        if left == 0 {
            // The rest waits until all others have had their turn.
            delivery.runtime.timers.set(Timer::ReadClient(id), now + 1);
            break;
        }
        left -= 1;
        match next_command(conn, now, policy) {
            Step::Wait => break,
            Step::Answered => {}
            Step::Put(new) => put_message(delivery, id, new),
        }
        if let Some(conn) = delivery
            .runtime
            .connections
            .get_mut(id)
            .filter(|c| c.protocol_errors >= MAX_PROTOCOL_ERRORS)
        {
            conn.close_after_output = true;
        }
    }
    end_turn(&mut delivery.runtime, id, left == 0)
}

/// Sends the answers, and closes the connection if it is to be closed and has had its turn.
fn end_turn(
    runtime: &mut Runtime,
    id: ConnectionId,
    turn_used_up: bool,
) -> Result<(), SessionEnded> {
    if runtime.connections.flush(id).is_err() {
        return Err(SessionEnded);
    }
    let Some(conn) = runtime.connections.get(id) else {
        return Ok(());
    };
    let ends = conn.close_after_output || conn.peer_closed;
    if !conn.output.is_empty() || turn_used_up || !ends {
        let limit = if conn.replied && conn.is_idle() {
            IDLE_TIMEOUT
        } else {
            REQUEST_TIMEOUT
        };
        let at = conn.last_active + limit;
        runtime.timers.set(Timer::Connection(id), at);
        return Ok(());
    }
    // Closed with unread input, a connection is reset, and the last answer may be lost.
    if !conn.peer_closed && linger(runtime, id).is_ok() {
        return Ok(());
    }
    Err(SessionEnded)
}

/// Answers the next command of the input, if it is complete.
fn next_command(conn: &mut Connection, now: Nanos, policy: ClientPolicy) -> Step {
    if conn.close_after_output
        || conn.input.is_empty()
        || conn.output.remaining_capacity() < MIN_ANSWER_ROOM
    {
        return Step::Wait;
    }
    let full = conn.input.remaining_capacity() == 0;
    let bytes = conn.input.make_contiguous();
    let (words, taken) = match resp::command(bytes) {
        Ok(Some(command)) => command,
        Ok(None) if !full => return Step::Wait,
        bad => {
            let why = bad.err().map_or("a command is too long", |bad| bad.0);
            conn.output
                .push(format!("-ERR Protocol error: {why}\r\n").as_bytes());
            conn.close_after_output = true;
            return Step::Wait;
        }
    };
    let words: Vec<&[u8]> = words.into_iter().map(|range| &bytes[range]).collect();
    let reply = reply_to(&words, policy);
    conn.input.consume(taken);
    match reply {
        Reply::Text(text) => conn.queue_answer(&text, now),
        Reply::Last(text) => {
            conn.queue_answer(text, now);
            conn.close_after_output = true;
        }
        Reply::Put(new) => return Step::Put(new),
    }
    Step::Answered
}

fn reply_to(words: &[&[u8]], policy: ClientPolicy) -> Reply {
    let name = words
        .first()
        .map(|name| name.to_ascii_uppercase())
        .unwrap_or_default();
    Reply::Text(match (name.as_slice(), words.len()) {
        (b"", _) => String::new(),
        (b"PING", _) if !policy.ready => "-ERR draining\r\n".into(),
        (b"PING", 1) => "+PONG\r\n".into(),
        (b"PING", 2) if words[1].len() > MAX_PING_BYTES => "-ERR the text is too long\r\n".into(),
        (b"PING", 2) => {
            let text = String::from_utf8_lossy(words[1]);
            format!("${}\r\n{text}\r\n", text.len())
        }
        (b"QUIT", _) => return Reply::Last("+OK\r\n"),
        (b"MSG.PUT", _) => match resp::put(words) {
            Ok(put) => {
                let body = words[4].to_vec();
                return Reply::Put(NewMessage { put, body });
            }
            Err(why) => format!("-ERR {why}\r\n"),
        },
        _ => format!("-ERR unknown command '{}'\r\n", name.escape_ascii()),
    })
}

/// Queues an answer and sends it at once, since the client waits for it only for a short while.
fn answer(runtime: &mut Runtime, id: ConnectionId, text: &str) {
    let now = runtime.now;
    if let Some(conn) = runtime.connections.get_mut(id) {
        conn.queue_answer(text, now);
    }
    // An error shows again at the end of the client's turn.
    runtime.connections.flush(id).ok();
}

/// A client hands in a message.
fn put_message(delivery: &mut Delivery, id: ConnectionId, new: NewMessage) {
    // A client that has ended its side may have given up and handed the message in elsewhere: accepted here too, it would
    // be sent twice. This happens when the process was suspended. A client that ends its side early and still listens
    // gets a needless -BUSY.
    let listens = delivery
        .runtime
        .connections
        .get(id)
        .is_some_and(|c| !c.peer_closed);
    let NewMessage { put, body } = new;
    let class = delivery.class_index(&put.class);
    let message = JournaledMessage {
        id: MessageId(put.id),
        class: put.class,
        key: put.key,
        destination: put.destination,
        deadline: delivery
            .runtime
            .now
            .saturating_add(put.lifetime_ms.saturating_mul(NANOS_PER_MS)),
        idempotency_key: put.idempotency_key,
        body,
        attempts: vec![],
    };
    let admission = match listens {
        true => delivery.admit(message),
        false => Err(Rejection::NoCapacity),
    };
    let text = match &admission {
        Ok(_) => "+OK\r\n",
        Err(Rejection::UnknownClass) => "-ERR c: unknown class\r\n",
        Err(Rejection::UnknownDestination) => "-ERR dest: unknown destination\r\n",
        Err(Rejection::LifetimeTooLong) => "-ERR d: longer than the class allows\r\n",
        Err(Rejection::MissingIdempotencyKey) => "-ERR k: expected in this class\r\n",
        Err(Rejection::NoCapacity) => {
            if let Some(class) = class {
                delivery.runtime.metrics.count(class, End::Rejected);
            }
            "-BUSY\r\n"
        }
    };
    answer(&mut delivery.runtime, id, text);
    if let Ok(Admission::New(message)) = admission {
        delivery.decide(&[message]);
    }
}
