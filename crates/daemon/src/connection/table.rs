//! The table of connections: the one owner of every socket and of the poller.

use super::id::ConnectionId;
use super::limits::ConnectionLimits;
use super::role::Role;
use super::socket::{BufferBounds, Connection, Interest};
use crate::ring_buffer::RingBuffer;
use crate::slot_table::{SlotId, SlotTable};
use polling::{Event, Events, Poller};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// The poller's keys of what is not a connection; the numbers of connections stay far below.
pub(super) const CLIENT_LISTENER: usize = usize::MAX - 1;
pub(super) const SIGNALS: usize = usize::MAX - 2;
pub(super) const ADMIN_LISTENER: usize = usize::MAX - 3;
/// A connection's number is used as the poller's key.
const _: () = assert!(usize::BITS == 64);

/// What the poller has reported.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PollEvent {
    /// A client waits to be accepted.
    ClientListener,
    /// An operator waits to be accepted.
    AdminListener,
    /// A signal has arrived.
    Signals,
    /// A connection can be read or written.
    Connection(ConnectionId),
}

/// Whether the TCP handshake of a new connection is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Handshake {
    UnderWay,
    Over,
}

/// All connections of the process.
pub(crate) struct ConnectionTable {
    pub(super) poller: Poller,
    events: Events,
    connections: SlotTable<ConnectionId, Connection>,
    pub(super) listener: Option<TcpListener>,
    pub(super) admin_listener: Option<TcpListener>,
    pub(super) signals: UnixStream,
    pub(super) limits: ConnectionLimits,
    pub(super) clients: usize,
    pub(super) admins: usize,
}

/// The one place where the poller is handed a source.
#[expect(
    unsafe_code,
    reason = "the poller borrows descriptors without a lifetime"
)]
pub(super) fn add(poller: &Poller, source: &impl AsRawFd, event: Event) -> io::Result<()> {
    // SAFETY: whatever is added is owned by `ConnectionTable`, which deletes it from the poller before it is closed.
    unsafe { poller.add(source, event) }
}

impl ConnectionTable {
    /// A table with the clients' listener and the pipe of signals.
    pub(crate) fn new(
        listener: TcpListener,
        signals: UnixStream,
        limits: ConnectionLimits,
    ) -> io::Result<ConnectionTable> {
        let poller = Poller::new()?;
        listener.set_nonblocking(true)?;
        signals.set_nonblocking(true)?;
        add(&poller, &listener, Event::readable(CLIENT_LISTENER))?;
        add(&poller, &signals, Event::readable(SIGNALS))?;
        Ok(ConnectionTable {
            poller,
            events: Events::new(),
            connections: SlotTable::default(),
            listener: Some(listener),
            admin_listener: None,
            signals,
            limits,
            clients: 0,
            admins: 0,
        })
    }

    /// Waits until something happens, at most for `timeout`.
    pub(crate) fn wait(&mut self, timeout: Option<Duration>) -> io::Result<Vec<PollEvent>> {
        self.events.clear();
        match self.poller.wait(&mut self.events, timeout) {
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
                    let id = ConnectionId::from_raw(key as u64);
                    match self.connections.get_mut(id) {
                        // The poller reports once, then waits to be armed again.
                        Some(conn) => conn.armed = None,
                        None => continue,
                    }
                    PollEvent::Connection(id)
                }
            });
        }
        Ok(seen)
    }

    /// How many connections are open.
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Opens a connection; it is established once it is writable without an error.
    pub(crate) fn open(
        &mut self,
        to: SocketAddr,
        role: Role,
        bounds: BufferBounds,
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
        let id = self.insert(socket.into(), role, bounds, Handshake::UnderWay)?;
        if let Some(conn) = self.get_mut(id) {
            conn.opened_to = Some(to);
        }
        Ok(id)
    }

    pub(super) fn insert(
        &mut self,
        stream: TcpStream,
        role: Role,
        bounds: BufferBounds,
        handshake: Handshake,
    ) -> io::Result<ConnectionId> {
        // Small writes should not wait for acknowledgements; without the option the connection works too.
        stream.set_nodelay(true).ok();
        let connecting = handshake == Handshake::UnderWay;
        let interest = Interest {
            read: !connecting,
            write: connecting,
        };
        let id = self.connections.insert(|_| Connection {
            stream,
            role,
            opened_to: None,
            input: RingBuffer::new(bounds.input),
            output: RingBuffer::new(bounds.output),
            connecting,
            close_after_output: false,
            peer_closed: false,
            lingering: false,
            last_active: 0,
            last_received: 0,
            replied: false,
            protocol_errors: 0,
            armed: Some(interest),
        });
        let conn = self.connections.get(id).expect("just inserted");
        let added = add(&self.poller, &conn.stream, event(id, interest));
        self.clients += usize::from(role == Role::Client);
        self.admins += usize::from(role == Role::Admin);
        if let Err(e) = added {
            self.close(id);
            return Err(e);
        }
        Ok(id)
    }

    /// The one place where a connection is closed.
    pub(crate) fn close(&mut self, id: ConnectionId) {
        if let Some(conn) = self.connections.remove(id) {
            self.clients -= usize::from(conn.role == Role::Client);
            self.admins -= usize::from(conn.role == Role::Admin);
            // It is closed all the same, and the kernel removes it then.
            self.poller.delete(&conn.stream).ok();
        }
    }

    /// A connection, if it is open.
    pub(crate) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(id)
    }

    /// A connection, if it is open.
    pub(crate) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(id)
    }

    /// All open connections.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        self.connections.iter()
    }

    /// The numbers of all clients' connections.
    pub(crate) fn clients(&self) -> Vec<ConnectionId> {
        self.iter()
            .filter(|(_, c)| c.role == Role::Client)
            .map(|(id, _)| id)
            .collect()
    }

    /// Ends the handshake of a connection that the poller has reported, with its error if it failed.
    pub(crate) fn finish_connect(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(conn) = self.connections.get_mut(id) else {
            return Ok(());
        };
        if let Some(e) = conn.stream.take_error()? {
            return Err(e);
        }
        // The poller reports when the handshake is over: with no peer then, it has failed.
        conn.stream.peer_addr()?;
        conn.connecting = false;
        Ok(())
    }

    /// Shuts down the sending side, so that the other side can read all that was sent before.
    pub(crate) fn shutdown_write(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(conn) = self.connections.get_mut(id) else {
            return Ok(());
        };
        conn.lingering = true;
        conn.stream.shutdown(Shutdown::Write)
    }

    /// Reads what has arrived into the input buffer.
    pub(crate) fn read(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(conn) = self.connections.get_mut(id) else {
            return Ok(());
        };
        conn.peer_closed |= conn.input.read_from(&mut conn.stream)?;
        Ok(())
    }

    /// Sends as much of the output buffer as the kernel takes.
    pub(crate) fn flush(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(conn) = self.connections.get_mut(id).filter(|c| !c.connecting) else {
            return Ok(());
        };
        conn.output.write_to(&mut conn.stream)?;
        self.arm(id)
    }

    /// Has the poller watch for what the connection waits for. With a full input buffer, or much output that the other
    /// side does not read, nothing more is read from it.
    pub(crate) fn arm(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(conn) = self.connections.get_mut(id) else {
            return Ok(());
        };
        let unread = conn.output.len() > conn.output.remaining_capacity();
        let interest = Interest {
            read: !conn.connecting
                && !conn.peer_closed
                && conn.input.remaining_capacity() > 0
                && !unread,
            write: conn.connecting || !conn.output.is_empty(),
        };
        if conn.armed != Some(interest) {
            conn.armed = Some(interest);
            self.poller.modify(&conn.stream, event(id, interest))?;
        }
        Ok(())
    }
}

impl Drop for ConnectionTable {
    fn drop(&mut self) {
        let open: Vec<ConnectionId> = self.iter().map(|(id, _)| id).collect();
        open.into_iter().for_each(|id| self.close(id));
        self.close_listener();
        // What is deleted here is closed next, and the kernel removes it then.
        if let Some(listener) = self.admin_listener.take() {
            self.poller.delete(&listener).ok();
        }
        self.poller.delete(&self.signals).ok();
    }
}

/// Whether a connect with this error is under way; one that was interrupted also continues by itself.
fn connect_in_progress(e: &io::Error) -> bool {
    e.raw_os_error() == Some(libc::EINPROGRESS)
        || matches!(
            e.kind(),
            io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
        )
}

fn event(id: ConnectionId, interest: Interest) -> Event {
    Event::new(id.raw() as usize, interest.read, interest.write)
}
