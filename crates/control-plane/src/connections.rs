//! The sockets and the poller of a process. [`Connections`] owns every socket.

use crate::connection::{BufferBounds, Connection, ConnectionId, Interest, Purpose};
use bellsill_net::Nanos;
use bellsill_net::call_errors::is_transient;
use bellsill_net::ring_buffer::RingBuffer;
use bellsill_net::slot_table::SlotTable;
use polling::{Event, Events, Poller};
use socket2::{Domain, Socket, Type};
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// The maximum number of open connections; further ones are closed immediately after they are accepted.
const MAX_CONNECTIONS: usize = 8192;
/// A connection fails if written bytes are not acknowledged for this long. Watches are written to twice a second, so
/// the failure of a watcher's machine is detected.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);
/// The length of the listener's accept queue.
const LISTEN_BACKLOG: i32 = 1024;
/// The `errno` of a non-blocking connect in progress (Linux).
const EINPROGRESS: i32 = 115;

/// The delay before a call that failed for a moment is repeated.
const REPEAT_DELAY: Duration = Duration::from_millis(5);
/// The poller keys of the listener and the stop socket. Connection ids never reach these values.
const LISTENER_KEY: usize = usize::MAX - 1;
const STOP_KEY: usize = usize::MAX - 2;
// Connection ids are 64 bits and are used as poller keys, which are `usize`.
const _: () = assert!(usize::BITS == 64);

/// A readiness event.
pub(crate) enum PollEvent {
    Listener,
    Stop,
    Connection(ConnectionId),
}

/// The result of writing the output of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The connection stays open.
    Open,
    /// All output is written and `close_when_written` is set: the caller closes the connection.
    Complete,
}

/// The poller with the sockets registered in it.
pub(crate) struct Connections {
    poller: Poller,
    events: Events,
    slots: SlotTable<ConnectionId, Connection>,
    listener: TcpListener,
    stop: UnixStream,
    /// Connections to write and rearm at the end of the iteration.
    unflushed: BTreeSet<ConnectionId>,
    /// Sources whose rearming failed for a moment; it is repeated by the next wait.
    unarmed: BTreeSet<Source>,
}

/// A source of events other than a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Source {
    Listener,
    Stop,
}

/// Registers a source with the poller. No other function does.
#[allow(unsafe_code)]
fn register(poller: &Poller, source: &impl AsRawFd, event: Event) -> io::Result<()> {
    // SAFETY: every registered source is owned by `Connections`, which deletes it from the poller before it is closed.
    unsafe { poller.add(source, event) }
}

/// Opens a listener with `SO_REUSEADDR`, so that a restarted process can bind the address immediately.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

impl Connections {
    /// Registers the listener and the stop socket. A byte received on `stop` wakes the poller.
    pub(crate) fn new(listener: TcpListener, stop: UnixStream) -> io::Result<Connections> {
        let poller = Poller::new()?;
        listener.set_nonblocking(true)?;
        stop.set_nonblocking(true)?;
        register(&poller, &listener, Event::readable(LISTENER_KEY))?;
        register(&poller, &stop, Event::readable(STOP_KEY))?;
        Ok(Connections {
            poller,
            events: Events::new(),
            slots: SlotTable::default(),
            listener,
            stop,
            unflushed: BTreeSet::new(),
            unarmed: BTreeSet::new(),
        })
    }

    /// Waits for readiness events, for at most the timeout. If waiting fails for a moment, it ends early.
    pub(crate) fn wait(&mut self, timeout: Duration) -> io::Result<Vec<PollEvent>> {
        self.events.clear();
        for source in std::mem::take(&mut self.unarmed) {
            self.arm_source(source);
        }
        let has_repeats = !self.unarmed.is_empty() || !self.unflushed.is_empty();
        let timeout = match has_repeats {
            true => timeout.min(REPEAT_DELAY),
            false => timeout,
        };
        if let Err(error) = self.poller.wait(&mut self.events, Some(timeout)) {
            if !is_transient(&error) {
                return Err(error);
            }
            // The poller may have collected events before its call failed; they are returned below.
            if self.events.is_empty() {
                std::thread::sleep(REPEAT_DELAY);
            }
        }
        let mut events = Vec::new();
        for event in self.events.iter() {
            match event.key {
                LISTENER_KEY => events.push(PollEvent::Listener),
                STOP_KEY => events.push(PollEvent::Stop),
                key => {
                    let id = ConnectionId(key as u64);
                    if let Some(connection) = self.slots.get_mut(id) {
                        // Events are one-shot: the source has to be rearmed.
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

    /// Schedules a connection to be written and rearmed at the end of the iteration.
    pub(crate) fn mark_unflushed(&mut self, id: ConnectionId) {
        self.unflushed.insert(id);
    }

    /// Removes and returns the connections to write.
    pub(crate) fn take_unflushed(&mut self) -> BTreeSet<ConnectionId> {
        std::mem::take(&mut self.unflushed)
    }

    pub(crate) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.slots.get_mut(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        self.slots.iter()
    }

    /// Discards the bytes that woke the poller, and rearms the stop socket. What cannot be read is reported again.
    pub(crate) fn drain_stop_socket(&mut self) {
        let mut bytes = RingBuffer::new(64);
        if let Err(error) = bytes.read_from(&mut self.stop) {
            log::warn!("cannot read the stop socket, will retry: {error}");
        }
        self.arm_source(Source::Stop);
    }

    fn arm_source(&mut self, source: Source) {
        let armed = match source {
            Source::Listener => self
                .poller
                .modify(&self.listener, Event::readable(LISTENER_KEY)),
            Source::Stop => self.poller.modify(&self.stop, Event::readable(STOP_KEY)),
        };
        if let Err(error) = armed {
            log::warn!("cannot rearm the {source:?} socket in the poller, will retry: {error}");
            self.unarmed.insert(source);
        }
    }

    /// Accepts the next pending connection, if there is one.
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
                // The client closed the connection before it was accepted.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Rearms the listener in the poller.
    pub(crate) fn arm_listener(&mut self) {
        self.arm_source(Source::Listener);
    }

    /// Starts a non-blocking connect to another control process.
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

    /// Closes a connection and returns its purpose, if it was open. No other function closes one.
    pub(crate) fn close(&mut self, id: ConnectionId) -> Option<Purpose> {
        let connection = self.slots.remove(id)?;
        self.unflushed.remove(&id);
        // An error is harmless: closing the socket also removes it from the poller.
        self.poller.delete(&connection.stream).ok();
        Some(connection.purpose)
    }

    /// Reads available input. Returns an error if the connection has failed.
    pub(crate) fn read(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(connection) = self.slots.get_mut(id) else {
            return Ok(());
        };
        if connection.connecting {
            if let Some(error) = connection.stream.take_error()? {
                return Err(error);
            }
            // The event means that the connect has finished. Without a peer address it has failed.
            connection.stream.peer_addr()?;
            connection.connecting = false;
        }
        connection.end_of_stream |= connection.input.read_from(&mut connection.stream)?;
        Ok(())
    }

    /// Writes as much output as the socket accepts, and rearms the connection in the poller.
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
        if connection.armed == Some(interest) {
            return Ok(());
        }
        match self.poller.modify(&connection.stream, interest.event(id)) {
            Ok(()) => connection.armed = Some(interest),
            Err(error) if is_transient(&error) => {
                connection.armed = None;
                self.unflushed.insert(id);
            }
            Err(error) => return Err(error),
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
        // Errors are ignored: without these options, short lines are delayed and a failed machine is detected later.
        let socket = socket2::SockRef::from(&stream);
        socket.set_tcp_nodelay(true).ok();
        socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)).ok();
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
        let connection = self.slots.get(id).expect("inserted above");
        if let Err(error) = register(&self.poller, &connection.stream, interest.event(id)) {
            self.close(id);
            return Err(error);
        }
        Ok(id)
    }
}

impl Drop for Connections {
    fn drop(&mut self) {
        let ids: Vec<ConnectionId> = self.iter().map(|(id, _)| id).collect();
        for id in ids {
            self.close(id);
        }
        // Errors are ignored because the poller is dropped next.
        self.poller.delete(&self.listener).ok();
        self.poller.delete(&self.stop).ok();
    }
}
