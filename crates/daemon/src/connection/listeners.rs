//! The client and admin listeners, and the pipe that reports signals.

use super::failed_calls::SocketCall;
use super::id::ConnectionId;
use super::registration::{ADMIN_LISTENER, add};
use super::repeats::Source;
use super::role::Role;
use super::socket::BufferBounds;
use super::table::{ConnectionTable, Handshake};
use crate::ring_buffer::RingBuffer;
use nix::sys::socket::{SockFlag, accept4};
use polling::Event;
use std::io;
use std::net::{TcpListener, TcpStream};

/// Size of the buffer for reads from the signal pipe.
const SIGNAL_BUFFER_BYTES: usize = 64;

impl ConnectionTable {
    /// Accepts the next waiting client, if any; `bound` limits its input and its output buffer.
    pub(crate) fn accept_client(&mut self, bound: usize) -> io::Result<Option<ConnectionId>> {
        let Some(listener) = &self.listener else {
            return Ok(None);
        };
        let accepted = accept(listener);
        self.insert_accepted(accepted, Role::Client, bound)
    }

    fn insert_accepted(
        &mut self,
        accepted: io::Result<TcpStream>,
        role: Role,
        bound: usize,
    ) -> io::Result<Option<ConnectionId>> {
        match accepted {
            Ok(stream) => {
                let bounds = BufferBounds {
                    input: bound,
                    output: bound,
                };
                self.insert(stream, role, bounds, Handshake::Complete)
                    .map(Some)
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(e) => {
                self.failed_calls.record(SocketCall::Accept, &e);
                Err(e)
            }
        }
    }

    /// Adds the admin listener.
    pub(crate) fn listen_admin(&mut self, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        add(&self.poller, &listener, Event::readable(ADMIN_LISTENER))?;
        self.admin_listener = Some(listener);
        self.limits.reserve_for_admin();
        Ok(())
    }

    /// Accepts the next waiting admin connection, if any, and re-arms the listener; `bound` limits its input and its output
    /// buffer.
    pub(crate) fn accept_admin(&mut self, bound: usize) -> io::Result<Option<ConnectionId>> {
        let Some(listener) = &self.admin_listener else {
            return Ok(None);
        };
        let accepted = accept(listener);
        self.arm_source(Source::AdminListener);
        self.insert_accepted(accepted, Role::Admin, bound)
    }

    /// Re-arms the client listener in the poller.
    pub(crate) fn arm_listener(&mut self) {
        self.arm_source(Source::ClientListener);
    }

    /// Closes the client listener.
    pub(crate) fn close_listener(&mut self) {
        if let Some(listener) = self.listener.take() {
            // Ignored: the kernel removes the descriptor from the poller when it is closed.
            self.poller.delete(&listener).ok();
        }
    }

    /// Drains the signal pipe and re-arms it. What cannot be read stays in the pipe and is reported again.
    pub(crate) fn drain_signals(&mut self) {
        let mut ring = RingBuffer::new(SIGNAL_BUFFER_BYTES);
        if let Err(e) = ring.read_from(&mut self.signals) {
            self.failed_calls.record(SocketCall::Read, &e);
        }
        self.arm_source(Source::Signals);
    }
}

/// Takes a connection from the queue. It is non-blocking from the start: a further call could fail, and the client would be
/// closed with its request unread.
fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    let socket = accept4(listener, SockFlag::SOCK_CLOEXEC | SockFlag::SOCK_NONBLOCK)?;
    Ok(TcpStream::from(socket))
}
