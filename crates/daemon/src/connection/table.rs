//! The connection table, which owns the poller and all sockets registered with it.

use super::call_errors::{call_twice, read_twice};
use super::failed_calls::{FailedCalls, SocketCall};
use super::id::ConnectionId;
use super::limits::ConnectionLimits;
use super::registration::{CLIENT_LISTENER, SIGNALS, add};
use super::repeats::PendingRepeats;
use super::role::Role;
use super::socket::{BufferBounds, Connection};
use crate::command_reader::CommandReader;
use crate::ring_buffer::RingBuffer;
use crate::slot_table::SlotTable;
use bellsill_net::call_errors::is_transient;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use polling::{Event, Events, Poller};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;

/// An event reported by the poller.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PollEvent {
    /// A client is waiting to be accepted.
    ClientListener,
    /// An admin connection is waiting to be accepted.
    AdminListener,
    /// A signal has been received.
    Signals,
    /// A connection is readable or writable.
    Connection(ConnectionId),
}

/// State of a new connection's TCP handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Handshake {
    InProgress,
    Complete,
}

/// All connections, the listeners and the signal pipe.
pub(crate) struct ConnectionTable {
    pub(super) poller: Poller,
    pub(super) events: Events,
    pub(super) connections: SlotTable<ConnectionId, Connection>,
    pub(super) listener: Option<TcpListener>,
    pub(super) admin_listener: Option<TcpListener>,
    pub(super) signals: UnixStream,
    pub(super) limits: ConnectionLimits,
    pub(super) client_count: usize,
    pub(super) admin_count: usize,
    pub(super) failed_calls: FailedCalls,
    pub(super) repeats: PendingRepeats,
}

impl ConnectionTable {
    /// Creates a table with the client listener and the signal pipe.
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
            client_count: 0,
            admin_count: 0,
            failed_calls: FailedCalls::default(),
            repeats: PendingRepeats::default(),
        })
    }

    /// Counts a failed call on a connection. One that failed for a moment is repeated later and is no error.
    pub(super) fn handle_failure(
        &mut self,
        call: SocketCall,
        id: ConnectionId,
        role: Role,
        error: io::Error,
    ) -> io::Result<()> {
        self.failed_calls.record_on(call, id, role, &error);
        if !is_transient(&error) {
            return Err(error);
        }
        self.repeats.add_connection(id);
        Ok(())
    }

    /// How many system calls on sockets have failed.
    pub(crate) fn failed_calls(&self) -> &FailedCalls {
        &self.failed_calls
    }

    /// The number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Starts to open a connection, which is established once it is writable without an error.
    pub(crate) fn open(
        &mut self,
        to: SocketAddr,
        role: Role,
        bounds: BufferBounds,
    ) -> io::Result<ConnectionId> {
        let stream =
            start_connect(to).inspect_err(|e| self.failed_calls.record(SocketCall::Connect, e))?;
        let id = self.insert(stream, role, bounds, Handshake::InProgress)?;
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
        // Small writes should not wait for acknowledgements. The connection works without the option too.
        if let Err(e) = stream.set_nodelay(true) {
            self.failed_calls.record(SocketCall::Configure, &e);
        }
        let connecting = handshake == Handshake::InProgress;
        let id = self.connections.insert(|_| Connection {
            stream,
            role,
            opened_to: None,
            input: RingBuffer::new(bounds.input),
            command: CommandReader::default(),
            output: RingBuffer::new(bounds.output),
            connecting,
            close_after_output: false,
            peer_closed: false,
            has_unread_end: false,
            lingering: false,
            overdue: false,
            last_active: 0,
            last_received: 0,
            replied: false,
            error_replies: 0,
            is_registered: false,
            armed: None,
        });
        self.client_count += usize::from(role == Role::Client);
        self.admin_count += usize::from(role == Role::Admin);
        if let Err(e) = self.arm(id) {
            self.close(id);
            return Err(e);
        }
        Ok(id)
    }

    /// Closes a connection and removes it from the poller. All connections are closed here.
    pub(crate) fn close(&mut self, id: ConnectionId) {
        if let Some(conn) = self.connections.remove(id) {
            self.client_count -= usize::from(conn.role == Role::Client);
            self.admin_count -= usize::from(conn.role == Role::Admin);
            self.repeats.remove_connection(id);
            // Ignored: the kernel removes the descriptor from the poller when it is closed.
            self.poller.delete(&conn.stream).ok();
        }
    }

    /// Returns a connection, if it is open.
    pub(crate) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(id)
    }

    /// Returns a connection mutably, if it is open.
    pub(crate) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(id)
    }

    /// All open connections.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        self.connections.iter()
    }

    /// The ids of all client connections.
    pub(crate) fn clients(&self) -> Vec<ConnectionId> {
        self.iter()
            .filter(|(_, c)| c.role == Role::Client)
            .map(|(id, _)| id)
            .collect()
    }

    /// Completes the handshake of a connection that the poller has reported, or returns the error of the handshake.
    pub(crate) fn finish_connect(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(conn) = self.connections.get_mut(id) else {
            return Ok(());
        };
        if let Some(e) = conn.stream.take_error()? {
            return Err(e);
        }
        // The poller reports the end of the handshake; a socket without a peer address has then failed to connect.
        conn.stream.peer_addr()?;
        conn.connecting = false;
        Ok(())
    }

    /// Shuts down the sending side, so that the peer can read everything that was sent before.
    pub(crate) fn shutdown_write(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(conn) = self.connections.get_mut(id) else {
            return Ok(());
        };
        conn.lingering = true;
        let role = conn.role;
        conn.stream.shutdown(Shutdown::Write).inspect_err(|e| {
            self.failed_calls
                .record_on(SocketCall::Shutdown, id, role, e)
        })
    }

    /// Reads the available input into the input buffer. An error means that the connection is broken; a call that
    /// failed for a moment is repeated after a short delay.
    pub(crate) fn read(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(conn) = self.connections.get_mut(id) else {
            return Ok(());
        };
        let role = conn.role;
        match read_twice(|| conn.input.read_from(&mut conn.stream)) {
            Ok(ended) => {
                conn.peer_closed |= ended;
                let is_full = conn.input.remaining_capacity() == 0;
                conn.has_unread_end = !ended && is_full && has_hung_up(&conn.stream);
                Ok(())
            }
            Err(e) => self.handle_failure(SocketCall::Read, id, role, e),
        }
    }

    /// Sends as much of the output buffer as the kernel accepts, and re-arms the connection. An error means that the
    /// connection is broken; a call that failed for a moment is repeated after a short delay.
    pub(crate) fn flush(&mut self, id: ConnectionId) -> io::Result<()> {
        let Some(conn) = self.connections.get_mut(id).filter(|c| !c.connecting) else {
            return Ok(());
        };
        let role = conn.role;
        if let Err(e) = call_twice(|| conn.output.write_to(&mut conn.stream)) {
            self.handle_failure(SocketCall::Write, id, role, e)?;
        }
        self.arm(id)
    }
}

impl Drop for ConnectionTable {
    fn drop(&mut self) {
        let open: Vec<ConnectionId> = self.iter().map(|(id, _)| id).collect();
        open.into_iter().for_each(|id| self.close(id));
        self.close_listener();
        // Errors are ignored: the kernel removes the descriptors from the poller when they are closed next.
        if let Some(listener) = self.admin_listener.take() {
            self.poller.delete(&listener).ok();
        }
        self.poller.delete(&self.signals).ok();
    }
}

/// Creates a non-blocking socket and starts to connect it.
fn start_connect(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(to),
        socket2::Type::STREAM.nonblocking(),
        None,
    )?;
    match socket.connect(&to.into()) {
        Err(e) if !connect_in_progress(&e) => Err(e),
        _ => Ok(socket.into()),
    }
}

/// Whether the kernel has the end of the peer's sending side, even behind unread input. If the call fails, the end is found
/// once the input was read.
fn has_hung_up(stream: &TcpStream) -> bool {
    let ended = PollFlags::from_bits_retain(libc::POLLRDHUP);
    let mut fds = [PollFd::new(stream.as_fd(), ended)];
    if !poll(&mut fds, PollTimeout::ZERO).is_ok_and(|count| count > 0) {
        return false;
    }
    // nix has no name for `POLLRDHUP`, and returns no flags at all if it is among them.
    let found = fds[0].revents();
    found.is_none_or(|flags| flags.contains(PollFlags::POLLHUP))
}

/// Whether this error of `connect` means that the handshake is in progress; an interrupted one continues too.
fn connect_in_progress(e: &io::Error) -> bool {
    e.raw_os_error() == Some(libc::EINPROGRESS)
        || matches!(
            e.kind(),
            io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
        )
}
