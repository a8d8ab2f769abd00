//! One connection: its socket, its buffers and what is known of the other side.

use super::role::Role;
use crate::ring_buffer::RingBuffer;
use bellsill_core::interface::Nanos;
use std::net::{SocketAddr, TcpStream};

/// The most bytes that a connection buffers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BufferBounds {
    /// Received and not read yet.
    pub(crate) input: usize,
    /// Queued and not sent yet.
    pub(crate) output: usize,
}

/// What the poller watches a connection for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Interest {
    pub(super) read: bool,
    pub(super) write: bool,
}

/// One connection.
pub(crate) struct Connection {
    pub(super) stream: TcpStream,
    /// Who is at the other end.
    pub(crate) role: Role,
    /// The address that it was opened to; none where the other side opened it.
    pub(crate) opened_to: Option<SocketAddr>,
    /// Received and not read yet.
    pub(crate) input: RingBuffer,
    /// Queued and not sent yet.
    pub(crate) output: RingBuffer,
    /// The TCP handshake is not over.
    pub(crate) connecting: bool,
    /// It is closed once its output is sent.
    pub(crate) close_after_output: bool,
    /// The other side sends no more.
    pub(crate) peer_closed: bool,
    /// Its sending side is shut down; what still arrives is discarded until the other side ends too.
    pub(crate) lingering: bool,
    /// When it was established, or used last.
    pub(crate) last_active: Nanos,
    /// When a client sent something last.
    pub(crate) last_received: Nanos,
    /// A client that has had an answer.
    pub(crate) replied: bool,
    /// How many error answers a client has had.
    pub(crate) protocol_errors: u32,
    /// None once the poller has reported it, which it does once.
    pub(super) armed: Option<Interest>,
}

impl Connection {
    /// Queues an answer to a client.
    pub(crate) fn queue_answer(&mut self, answer: &str, now: Nanos) {
        match answer.starts_with('-') && !answer.starts_with("-BUSY") {
            true => self.protocol_errors += 1,
            false if answer.is_empty() => return,
            false => (self.replied, self.last_active) = (true, now),
        }
        self.output.push(answer.as_bytes());
    }

    /// Whether it is between requests: no request has begun to arrive and no answer is left to be read.
    pub(crate) fn is_idle(&self) -> bool {
        self.input.is_empty() && self.output.is_empty()
    }
}
