//! The table of connections: the one owner of every socket and of the poller.

use super::limits::{CLIENT_BYTES, RESERVED_DESCRIPTORS};
use crate::connection::{Connection, ConnectionId, Role};
use crate::ring_buffer::RingBuffer;
use crate::slot_table::SlotTable;
use polling::{Event, Events, Poller};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// The poller's keys of what is no connection; connections' numbers stay far below.
pub(super) const CLIENT_LISTENER: usize = usize::MAX - 1;

pub(super) const SIGNALS: usize = usize::MAX - 2;

pub(super) const ADMIN_LISTENER: usize = usize::MAX - 3;

/// A connection's number goes through the poller as a key.
const _: () = assert!(usize::BITS == 64);

/// What the poller saw.
pub enum PollEvent {
    ClientListener,
    AdminListener,
    Signals,
    Connection(ConnectionId),
}

pub struct ConnectionTable {
    pub(super) poller: Poller,
    events: Events,
    connections: SlotTable<ConnectionId, Connection>,
    pub(super) listener: Option<TcpListener>,
    pub(super) admin_listener: Option<TcpListener>,
    pub(super) signals: UnixStream,
    /// The most connections that may be open, and of these the most that clients may hold.
    pub max_connections: usize,
    pub max_clients: usize,
    pub(super) clients: usize,
    pub(super) admins: usize,
}

/// The one place where the poller is handed a source.
#[allow(unsafe_code)]
pub(super) fn add(poller: &Poller, source: &impl AsRawFd, event: Event) -> io::Result<()> {
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

    pub(crate) fn insert(
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
