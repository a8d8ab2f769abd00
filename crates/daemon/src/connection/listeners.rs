//! The listeners for clients and for operators, and the pipe on which signals arrive.

use super::id::ConnectionId;
use super::role::Role;
use super::socket::BufferBounds;
use super::table::{ADMIN_LISTENER, CLIENT_LISTENER, ConnectionTable, Handshake, SIGNALS, add};
use crate::ring_buffer::RingBuffer;
use polling::Event;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A read of the signals' pipe takes this much.
const SIGNAL_BUFFER_BYTES: usize = 64;

impl ConnectionTable {
    /// The next client that waits to be accepted; `bound` is that of both buffers.
    pub(crate) fn accept_client(&mut self, bound: usize) -> io::Result<Option<ConnectionId>> {
        let Some(listener) = &self.listener else {
            return Ok(None);
        };
        self.insert_accepted(listener.accept(), Role::Client, bound)
    }

    fn insert_accepted(
        &mut self,
        accepted: io::Result<(TcpStream, SocketAddr)>,
        role: Role,
        bound: usize,
    ) -> io::Result<Option<ConnectionId>> {
        match accepted {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                let bounds = BufferBounds {
                    input: bound,
                    output: bound,
                };
                self.insert(stream, role, bounds, Handshake::Over).map(Some)
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Listens for operators too.
    pub(crate) fn listen_admin(&mut self, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        add(&self.poller, &listener, Event::readable(ADMIN_LISTENER))?;
        self.admin_listener = Some(listener);
        self.limits.reserve_for_admin();
        Ok(())
    }

    /// The next operator that waits to be accepted; `bound` is that of both buffers. The listener is armed again.
    pub(crate) fn accept_admin(&mut self, bound: usize) -> io::Result<Option<ConnectionId>> {
        let Some(listener) = &self.admin_listener else {
            return Ok(None);
        };
        let accepted = listener.accept();
        self.poller
            .modify(listener, Event::readable(ADMIN_LISTENER))?;
        self.insert_accepted(accepted, Role::Admin, bound)
    }

    /// Has the poller watch the clients' listener again.
    pub(crate) fn arm_listener(&self) -> io::Result<()> {
        self.listener.as_ref().map_or(Ok(()), |l| {
            self.poller.modify(l, Event::readable(CLIENT_LISTENER))
        })
    }

    /// Closes the clients' listener.
    pub(crate) fn close_listener(&mut self) {
        if let Some(listener) = self.listener.take() {
            // It is closed all the same, and the kernel removes it then.
            self.poller.delete(&listener).ok();
        }
    }

    /// Empties the pipe of signals and arms it again.
    pub(crate) fn drain_signals(&mut self) -> io::Result<()> {
        let mut ring = RingBuffer::new(SIGNAL_BUFFER_BYTES);
        ring.read_from(&mut self.signals)?;
        self.poller.modify(&self.signals, Event::readable(SIGNALS))
    }
}
