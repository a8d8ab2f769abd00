//! The sockets and the poller of a process. Every socket is owned here.

use bellsill_directory::watchers::WatcherId;
use bellsill_net::Nanos;
use bellsill_net::ring_buffer::RingBuffer;
use bellsill_net::slot_table::{SlotId, SlotTable};
use polling::{Event, Events, Poller};
use socket2::{Domain, Socket, Type};
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// The most connections at a time; one more is closed as soon as it is accepted.
const MAX_CONNECTIONS: usize = 8192;
/// A connection fails if written bytes are not acknowledged for this long. Something is written to a watch twice a second,
/// so the failure of its machine is noticed.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(5);
/// The length of the listener's accept queue.
const BACKLOG: i32 = 1024;
/// The error of a non-blocking connect that is in progress.
const EINPROGRESS: i32 = 115;

/// The poller keys of the listener and the stop socket; connection ids stay far below.
const LISTENER_KEY: usize = usize::MAX - 1;
const STOP_KEY: usize = usize::MAX - 2;
/// A connection id is used as a poller key.
const _: () = assert!(usize::BITS == 64);

/// Identifies a connection; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(u64);

impl SlotId for ConnectionId {
    fn from_raw(raw: u64) -> Self {
        ConnectionId(raw)
    }
    fn raw(self) -> u64 {
        self.0
    }
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Requests of a client.
    Client,
    /// The watch of a client.
    Watch(WatcherId),
    /// This process's watch on the leader.
    LeaderWatch,
    /// A call that sends the leader heartbeats of the dispatchers that have a watch here.
    HeartbeatRequest,
}

/// One connection.
pub(crate) struct Connection {
    stream: TcpStream,
    pub(crate) purpose: Purpose,
    pub(crate) input: RingBuffer,
    pub(crate) output: RingBuffer,
    /// Whether its connect is still in progress.
    connecting: bool,
    /// The peer sends nothing more.
    pub(crate) end_of_stream: bool,
    /// Whether it is closed once its output is written.
    pub(crate) close_when_written: bool,
    /// When it was accepted, a request was answered, or output was written, whichever was last.
    pub(crate) last_progress: Nanos,
    /// What the poller watches for; none after it has reported an event.
    armed: Option<Interest>,
}

/// A socket that is ready.
pub(crate) enum PollEvent {
    Listener,
    Stop,
    Connection(ConnectionId),
}

/// What the poller watches a connection for.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Interest {
    readable: bool,
    writable: bool,
}

impl Interest {
    fn event(self, id: ConnectionId) -> Event {
        Event::new(id.0 as usize, self.readable, self.writable)
    }
}

/// How many bytes the buffers of a connection may hold.
#[derive(Clone, Copy)]
pub(crate) struct BufferBounds {
    pub(crate) input: usize,
    pub(crate) output: usize,
}

/// What a write leaves to do with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The connection stays open.
    Open,
    /// All output is written, and the connection was to be closed then.
    Complete,
}

/// The output of a connection has no capacity for more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OutputFull;

/// All connections.
pub(crate) struct Connections {
    poller: Poller,
    events: Events,
    slots: SlotTable<ConnectionId, Connection>,
    listener: TcpListener,
    stop: UnixStream,
    /// Connections whose output is written, and whose interest is renewed, at the end of the iteration.
    unflushed: BTreeSet<ConnectionId>,
}

/// The only place where a source is added to the poller.
#[allow(unsafe_code)]
fn add(poller: &Poller, source: &impl AsRawFd, event: Event) -> io::Result<()> {
    // SAFETY: every added source is owned by `Connections`, which deletes it from the poller before it is closed.
    unsafe { poller.add(source, event) }
}

/// Opens a listener whose address can be reused as soon as the process has ended.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

impl Connections {
    /// Takes over a listener; a byte on `stop` wakes the poller.
    pub(crate) fn new(listener: TcpListener, stop: UnixStream) -> io::Result<Connections> {
        let poller = Poller::new()?;
        listener.set_nonblocking(true)?;
        stop.set_nonblocking(true)?;
        add(&poller, &listener, Event::readable(LISTENER_KEY))?;
        add(&poller, &stop, Event::readable(STOP_KEY))?;
        Ok(Connections {
            poller,
            events: Events::new(),
            slots: SlotTable::default(),
            listener,
            stop,
            unflushed: BTreeSet::new(),
        })
    }

    /// Waits until a socket is ready, for at most the timeout.
    pub(crate) fn wait(&mut self, timeout: Duration) -> io::Result<Vec<PollEvent>> {
        self.events.clear();
        match self.poller.wait(&mut self.events, Some(timeout)) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
            _ => {}
        }
        let mut events = Vec::new();
        for event in self.events.iter() {
            match event.key {
                LISTENER_KEY => events.push(PollEvent::Listener),
                STOP_KEY => events.push(PollEvent::Stop),
                key => {
                    let id = ConnectionId(key as u64);
                    if let Some(connection) = self.slots.get_mut(id) {
                        // The poller reports an event once, and then has to be armed again.
                        connection.armed = None;
                        events.push(PollEvent::Connection(id));
                    }
                }
            }
        }
        Ok(events)
    }

    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Has the output of a connection written at the end of the iteration.
    pub(crate) fn mark_unflushed(&mut self, id: ConnectionId) {
        self.unflushed.insert(id);
    }

    /// The connections to be flushed, each once.
    pub(crate) fn take_unflushed(&mut self) -> BTreeSet<ConnectionId> {
        std::mem::take(&mut self.unflushed)
    }

    pub(crate) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.slots.get_mut(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        self.slots.iter()
    }

    /// Reads the bytes that woke the poller, and arms it for the next ones.
    pub(crate) fn drain_stop(&mut self) -> io::Result<()> {
        let mut bytes = RingBuffer::new(64);
        bytes.read_from(&mut self.stop)?;
        self.poller.modify(&self.stop, Event::readable(STOP_KEY))
    }

    /// Accepts the next waiting connection, if there is one.
    pub(crate) fn accept(
        &mut self,
        bounds: BufferBounds,
        now: Nanos,
    ) -> io::Result<Option<ConnectionId>> {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) if self.len() >= MAX_CONNECTIONS => {
                    log::warn!("limit of {MAX_CONNECTIONS} connections reached: closing a new one");
                    drop(stream);
                }
                Ok((stream, _)) => {
                    stream.set_nonblocking(true)?;
                    return self
                        .admit(stream, Purpose::Client, bounds, false, now)
                        .map(Some);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                // The client has given up before it was accepted.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Arms the poller for the next connection to accept.
    pub(crate) fn arm_listener(&mut self) -> io::Result<()> {
        self.poller
            .modify(&self.listener, Event::readable(LISTENER_KEY))
    }

    /// Starts a connection to another control process.
    pub(crate) fn connect(
        &mut self,
        to: SocketAddr,
        purpose: Purpose,
        bounds: BufferBounds,
        now: Nanos,
    ) -> io::Result<ConnectionId> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Err(error)
                if error.raw_os_error() != Some(EINPROGRESS)
                    && error.kind() != io::ErrorKind::WouldBlock =>
            {
                return Err(error);
            }
            _ => {}
        }
        self.admit(socket.into(), purpose, bounds, true, now)
    }

    /// Closes a connection; its purpose, if it was open. The only place where that happens.
    pub(crate) fn close(&mut self, id: ConnectionId) -> Option<Purpose> {
        let connection = self.slots.remove(id)?;
        self.unflushed.remove(&id);
        // Dropping the socket ends its registration in any case.
        self.poller.delete(&connection.stream).ok();
        Some(connection.purpose)
    }

    /// Reads what has arrived; an error if the connection has failed.
    pub(crate) fn read(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(connection) = self.slots.get_mut(id) else {
            return Ok(());
        };
        if connection.connecting {
            if let Some(error) = connection.stream.take_error()? {
                return Err(error);
            }
            // The event means that the handshake is over: without a peer address it has failed.
            connection.stream.peer_addr()?;
            connection.connecting = false;
        }
        connection.end_of_stream |= connection.input.read_from(&mut connection.stream)?;
        Ok(())
    }

    /// Writes as much output as possible, and arms the poller for what the connection waits for.
    pub(crate) fn write(&mut self, id: ConnectionId, now: Nanos) -> io::Result<WriteOutcome> {
        let Some(connection) = self.slots.get_mut(id) else {
            return Ok(WriteOutcome::Open);
        };
        if !connection.connecting {
            let before = connection.output.len();
            connection.output.write_to(&mut connection.stream)?;
            if connection.output.len() < before {
                connection.last_progress = now;
            }
        }
        let complete = connection.output.is_empty() && connection.close_when_written;
        self.arm(id)?;
        Ok(if complete {
            WriteOutcome::Complete
        } else {
            WriteOutcome::Open
        })
    }

    fn arm(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(connection) = self.slots.get_mut(id) else {
            return Ok(());
        };
        let interest = Interest {
            readable: !connection.connecting
                && !connection.end_of_stream
                && connection.input.remaining_capacity() > 0,
            writable: connection.connecting || !connection.output.is_empty(),
        };
        if connection.armed != Some(interest) {
            connection.armed = Some(interest);
            self.poller.modify(&connection.stream, interest.event(id))?;
        }
        Ok(())
    }

    fn admit(
        &mut self,
        stream: TcpStream,
        purpose: Purpose,
        bounds: BufferBounds,
        connecting: bool,
        now: Nanos,
    ) -> io::Result<ConnectionId> {
        // Without these options the connection still works: short lines are delayed, and a failed machine is noticed later.
        let socket = socket2::SockRef::from(&stream);
        socket.set_tcp_nodelay(true).ok();
        socket.set_tcp_user_timeout(Some(ACKNOWLEDGE_TIMEOUT)).ok();
        let interest = Interest {
            readable: !connecting,
            writable: connecting,
        };
        let id = self.slots.insert(|_| Connection {
            stream,
            purpose,
            input: RingBuffer::new(bounds.input),
            output: RingBuffer::new(bounds.output),
            connecting,
            end_of_stream: false,
            close_when_written: false,
            last_progress: now,
            armed: Some(interest),
        });
        let connection = self.slots.get(id).expect("it was just added");
        if let Err(error) = add(&self.poller, &connection.stream, interest.event(id)) {
            self.close(id);
            return Err(error);
        }
        Ok(id)
    }
}

impl Drop for Connections {
    fn drop(&mut self) {
        let open: Vec<ConnectionId> = self.iter().map(|(id, _)| id).collect();
        for id in open {
            self.close(id);
        }
        // The poller itself is dropped next.
        self.poller.delete(&self.listener).ok();
        self.poller.delete(&self.stop).ok();
    }
}

impl Connection {
    /// Queues all of the bytes to be written, or none of them.
    pub(crate) fn send(&mut self, bytes: &[u8]) -> Result<(), OutputFull> {
        if self.output.push(bytes) {
            Ok(())
        } else {
            Err(OutputFull)
        }
    }

    /// Drops everything that has arrived.
    pub(crate) fn discard_input(&mut self) {
        let length = self.input.len();
        self.input.consume(length);
    }

    /// How many bytes the input may hold.
    pub(crate) fn input_bound(&self) -> usize {
        self.input.len() + self.input.remaining_capacity()
    }

    /// Raises the bound of the input.
    pub(crate) fn grow_input(&mut self, bound: usize) {
        let mut larger = RingBuffer::new(bound);
        larger.push(self.input.make_contiguous());
        self.input = larger;
    }
}
