//! A connection: its socket, its buffers and what it is used for.

use bellsill_directory::watchers::WatcherId;
use bellsill_net::Nanos;
use bellsill_net::ring_buffer::RingBuffer;
use bellsill_net::slot_table::SlotId;
use polling::Event;
use std::net::TcpStream;

/// Identifies a connection. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(pub(super) u64);

impl SlotId for ConnectionId {
    fn from_raw(raw: u64) -> Self {
        ConnectionId(raw)
    }
    fn raw(self) -> u64 {
        self.0
    }
}

/// The use of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Receives requests from a client.
    Client,
    /// Streams lines to a watcher.
    Watch(WatcherId),
    /// The watch of this follower on the leader.
    LeaderWatch,
    /// A request that sends the leader heartbeats of the dispatchers that have a watch at this follower.
    HeartbeatRequest,
}

/// An open connection with its buffers.
pub(crate) struct Connection {
    pub(super) stream: TcpStream,
    pub(crate) purpose: Purpose,
    pub(crate) input: RingBuffer,
    pub(crate) output: RingBuffer,
    /// Whether the non-blocking connect is still in progress.
    pub(super) connecting: bool,
    /// Whether the peer has closed its sending side.
    pub(crate) end_of_stream: bool,
    /// Whether to close the connection once all output is written.
    pub(crate) close_when_written: bool,
    /// The last time the connection was opened, a response was queued or output was written.
    pub(crate) last_progress: Nanos,
    /// The interest registered with the poller; `None` after it has reported an event, because events are one-shot.
    pub(super) armed: Option<Interest>,
}

/// The readiness events to wait for on a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct Interest {
    pub(super) readable: bool,
    pub(super) writable: bool,
}

impl Interest {
    pub(super) fn event(self, id: ConnectionId) -> Event {
        Event::new(id.0 as usize, self.readable, self.writable)
    }
}

/// The capacities of the buffers of a connection, in bytes.
#[derive(Clone, Copy)]
pub(crate) struct BufferBounds {
    pub(crate) input: usize,
    pub(crate) output: usize,
}

/// The output buffer has no capacity for the bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OutputFull;

impl Connection {
    /// Queues all of the bytes for writing, or none if they do not fit.
    pub(crate) fn send(&mut self, bytes: &[u8]) -> Result<(), OutputFull> {
        if self.output.push(bytes) {
            Ok(())
        } else {
            Err(OutputFull)
        }
    }

    /// Discards all buffered input.
    pub(crate) fn discard_input(&mut self) {
        let length = self.input.len();
        self.input.consume(length);
    }

    /// Returns the capacity of the input buffer, in bytes.
    pub(crate) fn input_bound(&self) -> usize {
        self.input.len() + self.input.remaining_capacity()
    }

    /// Raises the capacity of the input buffer, keeping its content.
    pub(crate) fn grow_input(&mut self, bound: usize) {
        let mut larger = RingBuffer::new(bound);
        larger.push(self.input.make_contiguous());
        self.input = larger;
    }
}
