//! The listeners for clients and for admin requests, and the pipe on which signals arrive.

use super::table::{ADMIN_LISTENER, CLIENT_LISTENER, SIGNALS, add};
use crate::connection::{ConnectionId, ConnectionTable, MAX_ADMIN_CONNECTIONS, Role};
use crate::ring_buffer::RingBuffer;
use polling::Event;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

impl ConnectionTable {
    /// The next client that waits to be let in.
    pub fn accept_client(&mut self) -> io::Result<Option<ConnectionId>> {
        let Some(listener) = &self.listener else {
            return Ok(None);
        };
        self.insert_accepted(
            listener.accept(),
            Role::Client,
            crate::client::resp::MAX_COMMAND_BYTES,
        )
    }

    /// What came of accepting on a listener; `bound` is that of both rings.
    pub(crate) fn insert_accepted(
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

    /// Empties the pipe of signals and arms it again.
    pub fn drain_signals(&mut self) -> io::Result<()> {
        let mut ring = RingBuffer::new(64);
        ring.read_from(&mut self.signals)?;
        self.poller.modify(&self.signals, Event::readable(SIGNALS))
    }
}
