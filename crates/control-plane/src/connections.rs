//! The connections: the one owner of every socket and of the poller.

use bellsill_directory::watchers::WatcherId;
use bellsill_net::Nanos;
use bellsill_net::ring_buffer::RingBuffer;
use bellsill_net::slot_table::{SlotId, SlotTable};
use polling::{Event, Events, Poller};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// The most connections at a time; one more is closed as soon as it is accepted.
pub const MOST_CONNECTIONS: usize = 8192;
/// Bytes written that the other side has not acknowledged end a connection after so long: a watch has something written
/// twice a second, so a machine that is gone is noticed.
const UNACKNOWLEDGED_FOR: Duration = Duration::from_secs(5);
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// What a non-blocking connect answers while it is under way.
const EINPROGRESS: i32 = 115;

/// The poller's keys of what is no connection; the numbers of connections stay far below.
const LISTENER: usize = usize::MAX - 1;
const STOP: usize = usize::MAX - 2;
/// The number of a connection goes through the poller as a key.
const _: () = assert!(usize::BITS == 64);

/// Names a connection; never used for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

impl SlotId for ConnectionId {
    fn from_raw(raw: u64) -> Self {
        ConnectionId(raw)
    }
    fn raw(self) -> u64 {
        self.0
    }
}

/// Whom a connection is with, and what for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Somebody who sends requests.
    Client,
    /// A client that has a watch.
    Watch(WatcherId),
    /// This process's watch on the writer.
    WriterWatch,
    /// A call that tells the writer which dispatchers have a watch here.
    PresenceCall,
}

/// One connection.
pub struct Connection {
    stream: TcpStream,
    pub purpose: Purpose,
    pub input: RingBuffer,
    pub output: RingBuffer,
    /// Its connect is still under way.
    connecting: bool,
    /// The other side sends no more.
    pub ended: bool,
    /// It is closed once its output is written.
    pub close_when_written: bool,
    /// When it was accepted, a request was answered, or output was taken last.
    pub progress: Nanos,
    armed: Option<(bool, bool)>,
}

/// What the poller saw.
pub enum Seen {
    Listener,
    Stop,
    Connection(ConnectionId),
}

/// All connections.
pub struct Connections {
    poller: Poller,
    events: Events,
    slots: SlotTable<ConnectionId, Connection>,
    listener: TcpListener,
    stop: UnixStream,
}

/// The one place where the poller is handed a source.
#[allow(unsafe_code)]
fn add(poller: &Poller, source: &impl AsRawFd, event: Event) -> io::Result<()> {
    // SAFETY: whatever is added is owned by `Connections`, which deletes it from the poller before it is closed.
    unsafe { poller.add(source, event) }
}

/// A listener that can be opened again at once after a process has ended.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

impl Connections {
    /// Accepts on the listener; a byte on `stop` wakes the poller.
    pub fn new(listener: TcpListener, stop: UnixStream) -> io::Result<Connections> {
        let poller = Poller::new()?;
        listener.set_nonblocking(true)?;
        stop.set_nonblocking(true)?;
        add(&poller, &listener, Event::readable(LISTENER))?;
        add(&poller, &stop, Event::readable(STOP))?;
        Ok(Connections {
            poller,
            events: Events::new(),
            slots: SlotTable::default(),
            listener,
            stop,
        })
    }

    /// Waits for something to happen, no longer than this.
    pub fn wait(&mut self, most: Duration) -> io::Result<Vec<Seen>> {
        self.events.clear();
        match self.poller.wait(&mut self.events, Some(most)) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
            _ => {}
        }
        let mut seen = Vec::new();
        for event in self.events.iter() {
            match event.key {
                LISTENER => seen.push(Seen::Listener),
                STOP => seen.push(Seen::Stop),
                key => {
                    let id = ConnectionId(key as u64);
                    if let Some(connection) = self.slots.get_mut(id) {
                        // The poller tells once, then waits to be armed again.
                        connection.armed = None;
                        seen.push(Seen::Connection(id));
                    }
                }
            }
        }
        Ok(seen)
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.slots.get_mut(id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        self.slots.iter()
    }

    /// Takes the bytes that woke the poller, and has it tell of the next ones.
    pub fn take_stop(&mut self) -> io::Result<()> {
        let mut bytes = RingBuffer::new(64);
        bytes.read_from(&mut self.stop)?;
        self.poller.modify(&self.stop, Event::readable(STOP))
    }

    /// The next connection that waits to be accepted. Its rings have these bounds.
    pub fn accept(
        &mut self,
        bounds: (usize, usize),
        now: Nanos,
    ) -> io::Result<Option<ConnectionId>> {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) if self.len() >= MOST_CONNECTIONS => {
                    log::warn!("there are {MOST_CONNECTIONS} connections: one more is closed");
                    drop(stream);
                }
                Ok((stream, _)) => {
                    stream.set_nonblocking(true)?;
                    return self
                        .admit(stream, Purpose::Client, bounds, false, now)
                        .map(Some);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                // The other side has given up meanwhile.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Has the poller tell of the next connection to accept.
    pub fn arm_listener(&mut self) -> io::Result<()> {
        self.poller
            .modify(&self.listener, Event::readable(LISTENER))
    }

    /// Starts a connection to another control process.
    pub fn open(
        &mut self,
        to: SocketAddr,
        purpose: Purpose,
        bounds: (usize, usize),
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

    /// The one place where a connection is given back.
    pub fn close(&mut self, id: ConnectionId) -> Option<Purpose> {
        let connection = self.slots.remove(id)?;
        let _ = self.poller.delete(&connection.stream);
        Some(connection.purpose)
    }

    /// Reads what has come; an error where the connection has failed.
    pub fn read(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(connection) = self.slots.get_mut(id) else {
            return Ok(());
        };
        if connection.connecting {
            if let Some(error) = connection.stream.take_error()? {
                return Err(error);
            }
            // It is told once the handshake is over: one that has no other side then has failed.
            connection.stream.peer_addr()?;
            connection.connecting = false;
        }
        connection.ended |= connection.input.read_from(&mut connection.stream)?;
        Ok(())
    }

    /// Writes what can be written, and has the poller watch for what the connection waits for. True: all is written and
    /// it was to be closed then.
    pub fn write(&mut self, id: ConnectionId, now: Nanos) -> io::Result<bool> {
        let Some(connection) = self.slots.get_mut(id) else {
            return Ok(false);
        };
        if !connection.connecting {
            let before = connection.output.len();
            connection.output.write_to(&mut connection.stream)?;
            if connection.output.len() < before {
                connection.progress = now;
            }
        }
        let done = connection.output.is_empty() && connection.close_when_written;
        self.arm(id)?;
        Ok(done)
    }

    fn arm(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(connection) = self.slots.get_mut(id) else {
            return Ok(());
        };
        let read = !connection.connecting && !connection.ended && connection.input.available() > 0;
        let write = connection.connecting || !connection.output.is_empty();
        if connection.armed != Some((read, write)) {
            connection.armed = Some((read, write));
            self.poller
                .modify(&connection.stream, Event::new(id.0 as usize, read, write))?;
        }
        Ok(())
    }

    fn admit(
        &mut self,
        stream: TcpStream,
        purpose: Purpose,
        (input, output): (usize, usize),
        connecting: bool,
        now: Nanos,
    ) -> io::Result<ConnectionId> {
        // Without these the connection still works: small lines come later, a machine that is gone is noticed later.
        let socket = socket2::SockRef::from(&stream);
        let _ = socket.set_tcp_nodelay(true);
        let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_FOR));
        let armed = (!connecting, connecting);
        let id = self.slots.insert(|_| Connection {
            stream,
            purpose,
            input: RingBuffer::new(input),
            output: RingBuffer::new(output),
            connecting,
            ended: false,
            close_when_written: false,
            progress: now,
            armed: Some(armed),
        });
        let connection = self.slots.get(id).expect("it was just added");
        if let Err(error) = add(
            &self.poller,
            &connection.stream,
            Event::new(id.0 as usize, armed.0, armed.1),
        ) {
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
        let _ = self.poller.delete(&self.listener);
        let _ = self.poller.delete(&self.stop);
    }
}

impl Connection {
    /// Queues bytes to be written; false where there is no room for them.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.output.push(bytes)
    }

    /// Lets a longer body come than the input was made for.
    pub fn make_room(&mut self, bound: usize) {
        let mut larger = RingBuffer::new(bound);
        larger.push(self.input.contiguous());
        self.input = larger;
    }
}
