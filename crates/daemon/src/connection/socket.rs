//! A connection: its socket, its buffers and the state of its peer.

use super::role::Role;
use crate::command_reader::CommandReader;
use crate::ring_buffer::RingBuffer;
use bellsill_core::interface::Nanos;
use std::net::{SocketAddr, TcpStream};

/// Maximum sizes of a connection's buffers in bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BufferBounds {
    /// Bytes received and not parsed yet.
    pub(crate) input: usize,
    /// Bytes queued and not sent yet.
    pub(crate) output: usize,
}

/// The readiness events that the poller reports for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Interest {
    pub(super) read: bool,
    pub(super) write: bool,
}

/// An open connection.
pub(crate) struct Connection {
    pub(super) stream: TcpStream,
    pub(crate) role: Role,
    /// The address that was connected to; `None` for an accepted connection.
    pub(crate) opened_to: Option<SocketAddr>,
    /// Bytes received and not parsed yet.
    pub(crate) input: RingBuffer,
    /// The progress of parsing a client's command at the beginning of the input.
    pub(crate) command: CommandReader,
    /// Bytes queued and not sent yet.
    pub(crate) output: RingBuffer,
    /// Whether the TCP handshake is still in progress.
    pub(crate) connecting: bool,
    /// Whether to close the connection once its output is sent.
    pub(crate) close_after_output: bool,
    /// Whether the peer has shut down its sending side.
    pub(crate) peer_closed: bool,
    /// Whether the peer has shut down its sending side, but input in front of that end is still unread.
    pub(crate) has_unread_end: bool,
    /// Whether the sending side is shut down; input is discarded until the peer closes its side too.
    pub(crate) lingering: bool,
    /// Whether a client's time is up. Its commands that have arrived are executed, but nothing more is read.
    pub(crate) overdue: bool,
    /// When the connection was established or last used.
    pub(crate) last_active: Nanos,
    /// When a client last sent something.
    pub(crate) last_received: Nanos,
    /// Whether a client has received a reply other than an error; `-BUSY` counts as a reply.
    pub(crate) replied: bool,
    /// Number of error replies to a client, without `-BUSY`.
    pub(crate) error_replies: u32,
    /// Whether the poller knows the connection.
    pub(super) is_registered: bool,
    /// The readiness that the poller is armed to report for the connection; `None` after an event, since the poller is
    /// in one-shot mode, and after a registration that failed.
    pub(super) armed: Option<Interest>,
}

impl Connection {
    /// Queues a reply to a client. Error replies do not count as activity.
    pub(crate) fn queue_reply(&mut self, reply: &str, now: Nanos) {
        match reply.starts_with('-') && !reply.starts_with("-BUSY") {
            true => self.error_replies += 1,
            false if reply.is_empty() => return,
            false => (self.replied, self.last_active) = (true, now),
        }
        self.output.push(reply.as_bytes());
    }

    /// Whether the peer has shut down its sending side or closed the connection, by what was known at the last read.
    pub(crate) fn has_peer_left(&self) -> bool {
        self.peer_closed || self.has_unread_end
    }

    /// Discards all input.
    pub(crate) fn discard_input(&mut self) {
        self.input.consume(self.input.len());
        self.command = CommandReader::default();
    }

    /// Whether the connection is between requests: both buffers are empty.
    pub(crate) fn is_idle(&self) -> bool {
        self.input.is_empty() && self.output.is_empty()
    }
}
