//! The connections, in a table of numbered connections: the one owner of every socket and of the poller.

use crate::ring_buffer::RingBuffer;
use crate::slot_table::{SlotId, SlotTable};
use bellsill_core::interface::{EndpointId, Nanos};
use polling::{Event, Events, Poller};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixStream;
use std::time::Duration;

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

/// The poller's keys of what is no connection; connections' numbers stay far below.
const CLIENT_LISTENER: usize = usize::MAX - 1;
const SIGNALS: usize = usize::MAX - 2;
const ADMIN_LISTENER: usize = usize::MAX - 3;
/// Descriptors of the process that are no connections: standard streams, listener, poller, signals, journal.
const RESERVED_DESCRIPTORS: usize = 16;
/// Operators' admins have so many descriptors of their own: in a crowd of clients they are still answered.
pub const MAX_ADMIN_CONNECTIONS: usize = 8;
/// The most that a client's rings hold in use.
const CLIENT_BYTES: usize = crate::resp::MAX_COMMAND_BYTES + 8 * 1024;
/// A connection's number goes through the poller as a key.
const _: () = assert!(usize::BITS == 64);

/// Whom a connection is with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    Client,
    Endpoint(EndpointId),
    Watch,
    Notifications,
    /// An operator's caller on the management listener.
    Admin,
}

pub struct Connection {
    stream: TcpStream,
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
    armed: Option<(bool, bool)>,
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

/// What the poller saw.
pub enum PollEvent {
    ClientListener,
    AdminListener,
    Signals,
    Connection(ConnectionId),
}

pub struct ConnectionTable {
    poller: Poller,
    events: Events,
    connections: SlotTable<ConnectionId, Connection>,
    listener: Option<TcpListener>,
    admin_listener: Option<TcpListener>,
    signals: UnixStream,
    /// The most connections that may be open, and of these the most that clients may hold.
    pub max_connections: usize,
    pub max_clients: usize,
    clients: usize,
    admins: usize,
}

/// The one place where the poller is handed a source.
#[allow(unsafe_code)]
fn add(poller: &Poller, source: &impl AsRawFd, event: Event) -> io::Result<()> {
    // SAFETY: whatever is added is owned by `ConnectionTable`, which deletes it from the poller before it is closed.
    unsafe { poller.add(source, event) }
}

impl ConnectionTable {
    /// `sockets` is the limit on descriptors, of which `reserve` are kept from clients; `client_bytes` is the memory
    /// that clients' rings may take.
    pub fn new(
        listener: TcpListener,
        signals: UnixStream,
        sockets: usize,
        reserve: usize,
        client_bytes: usize,
    ) -> io::Result<ConnectionTable> {
        let poller = Poller::new()?;
        listener.set_nonblocking(true)?;
        signals.set_nonblocking(true)?;
        add(&poller, &listener, Event::readable(CLIENT_LISTENER))?;
        add(&poller, &signals, Event::readable(SIGNALS))?;
        let most = sockets.saturating_sub(RESERVED_DESCRIPTORS).max(8);
        Ok(ConnectionTable {
            poller,
            events: Events::new(),
            connections: SlotTable::default(),
            listener: Some(listener),
            admin_listener: None,
            signals,
            max_connections: most,
            max_clients: most
                .saturating_sub(reserve)
                .max(most / 4)
                .min(client_bytes / CLIENT_BYTES)
                .max(1),
            clients: 0,
            admins: 0,
        })
    }

    /// Waits for something to happen, no longer than this.
    pub fn wait(&mut self, most: Option<Duration>) -> io::Result<Vec<PollEvent>> {
        self.events.clear();
        match self.poller.wait(&mut self.events, most) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        let mut seen = Vec::new();
        for event in self.events.iter() {
            seen.push(match event.key {
                CLIENT_LISTENER => PollEvent::ClientListener,
                ADMIN_LISTENER => PollEvent::AdminListener,
                SIGNALS => PollEvent::Signals,
                key => {
                    let id = ConnectionId(key as u64);
                    match self.connections.get_mut(id) {
                        // The poller tells once, then waits to be armed again.
                        Some(conn) => conn.armed = None,
                        None => continue,
                    }
                    PollEvent::Connection(id)
                }
            });
        }
        Ok(seen)
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Whether clients hold all that they may.
    pub fn clients_full(&self) -> bool {
        self.clients >= self.max_clients
    }

    /// Whether all descriptors are taken but those of admins.
    pub fn is_full(&self) -> bool {
        self.len() - self.admins >= self.max_connections
    }

    /// Whether admins hold all descriptors that they have.
    pub fn admin_full(&self) -> bool {
        self.admins >= MAX_ADMIN_CONNECTIONS
    }

    /// The client that is missed least, of those that may be parted with: one told its last answer, else one that never
    /// said anything, else one between requests, else one in the middle of a request; of these the one heard of longest
    /// ago. `silent` and `idle` are the times before which something must have come last from the second, and from the
    /// latter two.
    pub fn least_needed_client(&self, silent: Nanos, idle: Nanos) -> Option<ConnectionId> {
        let rank = |c: &Connection| match c {
            _ if c.role != Role::Client => None,
            _ if c.lingering => Some(0),
            _ if !c.answered && c.is_idle() && c.last_received <= silent => Some(1),
            _ if c.is_idle() && c.last_received <= idle => Some(2),
            _ if c.output.is_empty() && c.last_received <= idle => Some(3),
            _ => None,
        };
        let clients = self
            .iter()
            .filter_map(|(id, c)| Some((rank(c)?, c.last_received, id)));
        clients.min().map(|(_, _, id)| id)
    }

    /// The next client that waits to be let in.
    pub fn accept_client(&mut self) -> io::Result<Option<ConnectionId>> {
        let Some(listener) = &self.listener else {
            return Ok(None);
        };
        self.insert_accepted(
            listener.accept(),
            Role::Client,
            crate::resp::MAX_COMMAND_BYTES,
        )
    }

    /// What came of accepting on a listener; `bound` is that of both rings.
    fn insert_accepted(
        &mut self,
        accepted: io::Result<(TcpStream, SocketAddr)>,
        role: Role,
        bound: usize,
    ) -> io::Result<Option<ConnectionId>> {
        match accepted {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                self.insert(stream, role, (bound, bound), false).map(Some)
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Listens for operators' calls too.
    pub fn listen_admin(&mut self, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        add(&self.poller, &listener, Event::readable(ADMIN_LISTENER))?;
        self.admin_listener = Some(listener);
        self.max_connections = self
            .max_connections
            .saturating_sub(MAX_ADMIN_CONNECTIONS)
            .max(8);
        self.max_clients = self
            .max_clients
            .saturating_sub(MAX_ADMIN_CONNECTIONS)
            .max(self.max_connections / 4)
            .max(1);
        Ok(())
    }

    /// The next caller that waits on the management listener; the listener is armed again.
    pub fn accept_admin(&mut self, bound: usize) -> io::Result<Option<ConnectionId>> {
        let Some(listener) = &self.admin_listener else {
            return Ok(None);
        };
        let accepted = listener.accept();
        self.poller
            .modify(listener, Event::readable(ADMIN_LISTENER))?;
        self.insert_accepted(accepted, Role::Admin, bound)
    }

    pub fn arm_listener(&self) -> io::Result<()> {
        self.listener.as_ref().map_or(Ok(()), |l| {
            self.poller.modify(l, Event::readable(CLIENT_LISTENER))
        })
    }

    pub fn close_listener(&mut self) {
        if let Some(listener) = self.listener.take() {
            let _ = self.poller.delete(&listener);
        }
    }

    /// Starts a connection; it is up once it has become writable without an error.
    pub fn open(
        &mut self,
        to: SocketAddr,
        role: Role,
        bounds: (usize, usize),
    ) -> io::Result<ConnectionId> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(to),
            socket2::Type::STREAM,
            None,
        )?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Err(e) if !connect_in_progress(&e) => return Err(e),
            _ => {}
        }
        let id = self.insert(socket.into(), role, bounds, true)?;
        self.get_mut(id)
            .into_iter()
            .for_each(|conn| conn.opened_to = Some(to));
        Ok(id)
    }

    fn insert(
        &mut self,
        stream: TcpStream,
        role: Role,
        bounds: (usize, usize),
        connecting: bool,
    ) -> io::Result<ConnectionId> {
        // Small writes must not wait for acknowledgements; without it the connection still works.
        let _ = stream.set_nodelay(true);
        let armed = (!connecting, connecting);
        let id = self.connections.insert(|_| Connection {
            stream,
            role,
            opened_to: None,
            input: RingBuffer::new(bounds.0),
            output: RingBuffer::new(bounds.1),
            connecting,
            close_after_output: false,
            peer_closed: false,
            lingering: false,
            last_active: 0,
            last_received: 0,
            answered: false,
            protocol_errors: 0,
            armed: Some(armed),
        });
        let conn = self.connections.get(id).expect("just added");
        let added = add(&self.poller, &conn.stream, event(id, armed));
        self.clients += usize::from(role == Role::Client);
        self.admins += usize::from(role == Role::Admin);
        if let Err(e) = added {
            self.close(id);
            return Err(e);
        }
        Ok(id)
    }

    /// The one place where a connection is given back.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(conn) = self.connections.remove(id) {
            self.clients -= usize::from(conn.role == Role::Client);
            self.admins -= usize::from(conn.role == Role::Admin);
            let _ = self.poller.delete(&conn.stream);
        }
    }

    pub fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(id)
    }

    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        self.connections.iter()
    }

    /// What came of a rising connection.
    pub fn finish_connect(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(conn) = self.connections.get_mut(id) else {
            return Ok(());
        };
        if let Some(e) = conn.stream.take_error()? {
            return Err(e);
        }
        // It is told once the handshake is over: one that has no other side then has failed.
        conn.stream.peer_addr()?;
        conn.connecting = false;
        Ok(())
    }

    /// Ends the sending side, so that the other side reads all that was written before the end.
    pub fn shutdown_write(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(conn) = self.connections.get_mut(id) else {
            return Ok(());
        };
        conn.lingering = true;
        conn.stream.shutdown(Shutdown::Write)
    }

    /// Reads what has come.
    pub fn read(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(conn) = self.connections.get_mut(id) else {
            return Ok(());
        };
        conn.peer_closed |= conn.input.read_from(&mut conn.stream)?;
        Ok(())
    }

    /// Writes what can be written.
    pub fn flush(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(conn) = self.connections.get_mut(id).filter(|c| !c.connecting) else {
            return Ok(());
        };
        conn.output.write_to(&mut conn.stream)?;
        self.arm(id)
    }

    /// Has the poller watch for what the connection waits for. With a full input, or much unread output, nothing more
    /// is read from it.
    pub fn arm(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(conn) = self.connections.get_mut(id) else {
            return Ok(());
        };
        let unread = conn.output.len() > conn.output.available();
        let read = !conn.connecting && !conn.peer_closed && conn.input.available() > 0 && !unread;
        let lookup = (read, conn.connecting || !conn.output.is_empty());
        if conn.armed != Some(lookup) {
            conn.armed = Some(lookup);
            self.poller.modify(&conn.stream, event(id, lookup))?;
        }
        Ok(())
    }

    /// Empties the pipe of signals and arms it again.
    pub fn drain_signals(&mut self) -> io::Result<()> {
        let mut ring = RingBuffer::new(64);
        ring.read_from(&mut self.signals)?;
        self.poller.modify(&self.signals, Event::readable(SIGNALS))
    }
}

impl Drop for ConnectionTable {
    fn drop(&mut self) {
        let open: Vec<ConnectionId> = self.iter().map(|(id, _)| id).collect();
        open.into_iter().for_each(|id| self.close(id));
        self.close_listener();
        if let Some(admin_listener) = self.admin_listener.take() {
            let _ = self.poller.delete(&admin_listener);
        }
        let _ = self.poller.delete(&self.signals);
    }
}

/// Whether a connect that answered this is under way: one that was interrupted goes on by itself too.
fn connect_in_progress(e: &io::Error) -> bool {
    e.raw_os_error() == Some(libc::EINPROGRESS)
        || matches!(
            e.kind(),
            io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
        )
}

fn event(id: ConnectionId, (read, write): (bool, bool)) -> Event {
    Event::new(id.0 as usize, read, write)
}
