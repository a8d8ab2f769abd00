//! Executes the commands of clients: PING, QUIT and MSG.PUT.

use super::close_reason::CloseReason;
use super::closing::{IDLE_TIMEOUT, REQUEST_TIMEOUT, linger};
use super::policy::ClientPolicy;
use super::resp::{self, MAX_COMMAND_BYTES, PutCommand};
use crate::clock::NANOS_PER_MS;
use crate::connection::{Connection, ConnectionId};
use crate::delivery::{Admission, Delivery, Rejection, Runtime};
use crate::journal::JournaledMessage;
use crate::metrics::MessageResult;
use crate::timer::Timer;
use bellsill_core::interface::{MessageId, Nanos};

/// Maximum number of commands of one client executed before other events are handled.
const MAX_COMMANDS_PER_EVENT: usize = 64;
/// Maximum length of the argument that PING returns.
const MAX_PING_BYTES: usize = 1024;
/// A client is closed after this many error replies.
const MAX_ERROR_REPLIES: u32 = 16;
/// No command is executed while the output buffer has less free space than this; the client has to read replies first.
const MIN_REPLY_CAPACITY: usize = MAX_COMMAND_BYTES / 2;

/// A message that a client submits.
struct NewMessage {
    put: PutCommand,
    body: Vec<u8>,
}

/// The state of the next command in the input.
enum NextCommand {
    /// No command is complete, or the session is over.
    Unavailable,
    /// The replies before it have to be sent first.
    NoReplyCapacity,
    /// The command was executed, and its reply is queued.
    Executed,
    /// The reply is sent once the message is accepted or rejected.
    Put(NewMessage),
}

/// The reply to a command.
enum Reply {
    Text(String),
    /// The last reply before the connection is closed.
    Last(&'static str),
    Put(NewMessage),
}

/// Whether complete commands may be left in the input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(super) enum ExecutedCommands {
    /// Every command that has arrived completely and has space for its reply was executed.
    All,
    /// [`MAX_COMMANDS_PER_EVENT`] was reached first; the others are executed after pending events.
    Limit,
}

/// Executes the commands that have arrived completely, up to [`MAX_COMMANDS_PER_EVENT`]. An error means that the
/// connection must be closed for this reason.
pub(super) fn execute_commands(
    delivery: &mut Delivery,
    id: ConnectionId,
    policy: ClientPolicy,
) -> Result<ExecutedCommands, CloseReason> {
    let now = delivery.runtime.now;
    let mut executed = ExecutedCommands::All;
    for count in 0.. {
        let Some(conn) = delivery.runtime.connections.get_mut(id) else {
            return Ok(ExecutedCommands::All);
        };
        if count == MAX_COMMANDS_PER_EVENT {
            // The other commands wait until pending events of other connections are handled.
            delivery.runtime.timers.set(Timer::ReadClient(id), now + 1);
            executed = ExecutedCommands::Limit;
            break;
        }
        match next_command(conn, now, policy) {
            NextCommand::Unavailable => break,
            NextCommand::NoReplyCapacity => {
                if !send_replies(&mut delivery.runtime, id)? {
                    break;
                }
            }
            NextCommand::Executed => {}
            NextCommand::Put(new) => put_message(delivery, id, new),
        }
        if let Some(conn) = delivery
            .runtime
            .connections
            .get_mut(id)
            .filter(|c| c.error_replies >= MAX_ERROR_REPLIES)
        {
            conn.close_after_output = true;
        }
    }
    flush_or_close(&mut delivery.runtime, id, executed)?;
    Ok(executed)
}

/// Sends the queued replies. Returns whether there is capacity for another one; if not, the connection is handled again once
/// the peer has read some.
fn send_replies(runtime: &mut Runtime, id: ConnectionId) -> Result<bool, CloseReason> {
    if runtime.connections.flush(id).is_err() {
        return Err(CloseReason::CallFailed);
    }
    let conn = runtime.connections.get(id);
    Ok(conn.is_some_and(|c| c.output.remaining_capacity() >= MIN_REPLY_CAPACITY))
}

/// The time by which a client has to send its next command or read its replies.
pub(super) fn deadline(conn: &Connection) -> Nanos {
    let timeout = if conn.replied && conn.is_idle() {
        IDLE_TIMEOUT
    } else {
        REQUEST_TIMEOUT
    };
    conn.last_active + timeout
}

/// Sends the queued replies. Closes the connection if that is due, unless output or commands may be left; otherwise
/// restarts its timeout.
fn flush_or_close(
    runtime: &mut Runtime,
    id: ConnectionId,
    executed: ExecutedCommands,
) -> Result<(), CloseReason> {
    let now = runtime.now;
    if let Some(conn) = runtime.connections.get_mut(id) {
        // A reply gives a client that was overdue new time.
        conn.overdue &= deadline(conn) <= now;
    }
    if runtime.connections.flush(id).is_err() {
        return Err(CloseReason::CallFailed);
    }
    let Some(conn) = runtime.connections.get(id) else {
        return Ok(());
    };
    let closing = conn.close_after_output || conn.peer_closed;
    if !conn.output.is_empty() || executed == ExecutedCommands::Limit || !closing {
        let at = deadline(conn);
        runtime.timers.set(Timer::Connection(id), at);
        return Ok(());
    }
    // Closing a socket with unread input resets the connection, and the client may lose the last reply.
    if conn.peer_closed {
        return Err(CloseReason::PeerClosed);
    }
    linger(runtime, id, CloseReason::SessionEnded).map_err(|_linger_failed| CloseReason::CallFailed)
}

/// Executes the next command of the input, if it is complete; `MSG.PUT` is only parsed.
fn next_command(conn: &mut Connection, now: Nanos, policy: ClientPolicy) -> NextCommand {
    if conn.close_after_output || conn.input.is_empty() {
        return NextCommand::Unavailable;
    }
    if conn.output.remaining_capacity() < MIN_REPLY_CAPACITY {
        return NextCommand::NoReplyCapacity;
    }
    let full = conn.input.remaining_capacity() == 0;
    let bytes = conn.input.make_contiguous();
    let (arguments, consumed) = match conn.command.read(bytes) {
        Ok(Some(command)) => command,
        Ok(None) if !full => return NextCommand::Unavailable,
        invalid => {
            let reason = invalid.err().map_or("a command is too long", |e| e.0);
            conn.output
                .push(format!("-ERR Protocol error: {reason}\r\n").as_bytes());
            conn.close_after_output = true;
            return NextCommand::Unavailable;
        }
    };
    let arguments: Vec<&[u8]> = arguments.into_iter().map(|range| &bytes[range]).collect();
    let reply = reply_to(&arguments, policy);
    conn.input.consume(consumed);
    match reply {
        Reply::Text(text) => conn.queue_reply(&text, now),
        Reply::Last(text) => {
            conn.queue_reply(text, now);
            conn.close_after_output = true;
        }
        Reply::Put(new) => return NextCommand::Put(new),
    }
    NextCommand::Executed
}

fn reply_to(arguments: &[&[u8]], policy: ClientPolicy) -> Reply {
    let name = arguments
        .first()
        .map(|name| name.to_ascii_uppercase())
        .unwrap_or_default();
    Reply::Text(match (name.as_slice(), arguments.len()) {
        (b"", _) => String::new(),
        (b"PING", _) if !policy.ready => "-ERR draining\r\n".into(),
        (b"PING", 1) => "+PONG\r\n".into(),
        (b"PING", 2) if arguments[1].len() > MAX_PING_BYTES => {
            "-ERR the text is too long\r\n".into()
        }
        (b"PING", 2) => {
            let text = String::from_utf8_lossy(arguments[1]);
            format!("${}\r\n{text}\r\n", text.len())
        }
        (b"QUIT", _) => return Reply::Last("+OK\r\n"),
        (b"MSG.PUT", _) => match resp::parse_put(arguments) {
            Ok(put) => {
                let body = arguments[4].to_vec();
                return Reply::Put(NewMessage { put, body });
            }
            Err(e) => format!("-ERR {e}\r\n"),
        },
        _ => format!("-ERR unknown command '{}'\r\n", name.escape_ascii()),
    })
}

/// Queues a reply and sends it at once, since the client waits for it only briefly.
fn send_reply(runtime: &mut Runtime, id: ConnectionId, text: &str) {
    let now = runtime.now;
    if let Some(conn) = runtime.connections.get_mut(id) {
        conn.queue_reply(text, now);
    }
    // `flush_or_close` flushes again and then reports the error.
    runtime.connections.flush(id).ok();
}

/// Submits a client's message for delivery and replies whether it was accepted.
fn put_message(delivery: &mut Delivery, id: ConnectionId, new: NewMessage) {
    // A client that has closed its side may have timed out and submitted the message elsewhere, as happens while this
    // process is suspended; accepted here too, the message would be delivered twice. A client that only shuts down its
    // sending side early gets an unnecessary -BUSY.
    let peer_open = delivery
        .runtime
        .connections
        .get(id)
        .is_some_and(|c| !c.has_peer_left());
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
    let admission = match peer_open {
        true => delivery.admit(message),
        false => Err(Rejection::ClientGone),
    };
    if let Err(rejection) = &admission {
        delivery.runtime.metrics.count_refusal(*rejection);
    }
    let text = match &admission {
        Ok(_) => "+OK\r\n",
        Err(Rejection::UnknownClass) => "-ERR c: unknown class\r\n",
        Err(Rejection::UnknownDestination) => "-ERR dest: unknown destination\r\n",
        Err(Rejection::LifetimeTooLong) => "-ERR d: longer than the class allows\r\n",
        Err(Rejection::MissingIdempotencyKey) => "-ERR k: expected in this class\r\n",
        Err(
            Rejection::NoCapacity
            | Rejection::Stopped
            | Rejection::LookupsFull
            | Rejection::JournalFailed
            | Rejection::ClientGone,
        ) => {
            if let Some(class) = class {
                delivery
                    .runtime
                    .metrics
                    .count_message(class, MessageResult::Rejected);
            }
            "-BUSY\r\n"
        }
    };
    log::debug!(
        "message {:016x}: on connection {id}: {}",
        put.id,
        describe(&admission)
    );
    send_reply(&mut delivery.runtime, id, text);
    if let Ok(Admission::New(message)) = admission {
        delivery.dispatch(&[message]);
    }
}

/// The admission of a message, for the log.
fn describe(admission: &Result<Admission, Rejection>) -> &'static str {
    match admission {
        Ok(Admission::New(_)) => "accepted",
        Ok(Admission::Duplicate) => "accepted before, the reply is repeated",
        Err(rejection) => rejection.name(),
    }
}
