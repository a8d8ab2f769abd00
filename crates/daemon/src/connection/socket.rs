//! One connection: its socket, its buffers and what is known of the other side.

use crate::connection::Role;
use crate::ring_buffer::RingBuffer;
use bellsill_core::interface::Nanos;
use std::net::{SocketAddr, TcpStream};

pub struct Connection {
    pub(super) stream: TcpStream,
    pub role: Role,
    /// Where it was opened to; none where the other side came.
    pub opened_to: Option<SocketAddr>,
    pub input: RingBuffer,
    pub output: RingBuffer,
    /// Its handshake is still out.
    pub connecting: bool,
    /// It is closed once its output is written.
    pub close_after_output: bool,
    /// The other side sends no more.
    pub peer_closed: bool,
    /// Its last answer is written; what still comes is thrown away until the other side has read it and ended.
    pub lingering: bool,
    /// When it came up, or was used last.
    pub last_active: Nanos,
    /// When something came from a client last.
    pub last_received: Nanos,
    /// A client that was answered at least once.
    pub answered: bool,
    /// What it was told that was wrong with what it sent.
    pub protocol_errors: u32,
    /// What the poller watches it for: reading, writing.
    pub(super) armed: Option<(bool, bool)>,
}

impl Connection {
    /// Queues an answer to a client.
    pub fn queue_answer(&mut self, answer: &str, now: Nanos) {
        match answer.starts_with('-') && !answer.starts_with("-BUSY") {
            true => self.protocol_errors += 1,
            false if answer.is_empty() => return,
            false => (self.answered, self.last_active) = (true, now),
        }
        self.output.push(answer.as_bytes());
    }

    /// Nothing has begun to come, and nothing is left to be read by the other side.
    pub fn is_idle(&self) -> bool {
        self.input.is_empty() && self.output.is_empty()
    }
}
