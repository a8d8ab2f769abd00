//! The connections, in a table of numbered slots: the one owner of every socket and of the poller.

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
pub struct ConnId(u64);

impl SlotId for ConnId {
    fn from_raw(raw: u64) -> Self {
        ConnId(raw)
    }
    fn raw(self) -> u64 {
        self.0
    }
}

/// The poller's keys of what is no connection; connections' numbers stay far below.
const LISTENER: usize = usize::MAX - 1;
const SIGNALS: usize = usize::MAX - 2;
const MGMT: usize = usize::MAX - 3;
/// Descriptors of the process that are no connections: standard streams, listener, poller, signals, journal.
const OTHERS: usize = 16;
/// Operators' callers have so many descriptors of their own: in a crowd of clients they are still answered.
pub const CALLERS_MOST: usize = 8;
/// The most that a client's rings hold in use.
const CLIENT_BYTES: usize = crate::resp::COMMAND_MOST + 8 * 1024;
/// A connection's number goes through the poller as a key.
const _: () = assert!(usize::BITS == 64);

/// Whom a connection is with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    Client,
    Endpoint(EndpointId),
    Watch,
    Notices,
    /// An operator's caller on the management listener.
    Caller,
}

pub struct Conn {
    stream: TcpStream,
    pub role: Role,
    /// Where it was opened to; none where the other side came.
    pub opened_to: Option<SocketAddr>,
    pub input: RingBuffer,
    pub output: RingBuffer,
    /// Its handshake is still out.
    pub rising: bool,
    /// It is closed once its output is written.
    pub last: bool,
    /// The other side sends no more.
    pub ended: bool,
    /// Its last answer is written; what still comes is thrown away until the other side has read it and ended.
    pub lingers: bool,
    /// When it came up, or was used last.
    pub used: Nanos,
    /// When something came from a client last.
    pub heard: Nanos,
    /// A client that was answered at least once.
    pub asked: bool,
    /// What it was told that was wrong with what it sent.
    pub errors: u32,
    /// What the poller watches it for: reading, writing.
    armed: Option<(bool, bool)>,
}

impl Conn {
    /// Queues an answer to a client.
    pub fn say(&mut self, answer: &str, now: Nanos) {
        match answer.starts_with('-') && !answer.starts_with("-BUSY") {
            true => self.errors += 1,
            false if answer.is_empty() => return,
            false => (self.asked, self.used) = (true, now),
        }
        self.output.push(answer.as_bytes());
    }

    /// Nothing has begun to come, and nothing is left to be read by the other side.
    pub fn between(&self) -> bool {
        self.input.is_empty() && self.output.is_empty()
    }
}

/// What the poller saw.
pub enum Seen {
    Listener,
    Mgmt,
    Signals,
    Conn(ConnId),
}

pub struct Conns {
    poller: Poller,
    events: Events,
    slots: SlotTable<ConnId, Conn>,
    listener: Option<TcpListener>,
    mgmt: Option<TcpListener>,
    signals: UnixStream,
    /// The most connections that may be open, and of these the most that clients may hold.
    pub most: usize,
    pub most_clients: usize,
    clients: usize,
    callers: usize,
}

/// The one place where the poller is handed a source.
#[allow(unsafe_code)]
fn add(poller: &Poller, source: &impl AsRawFd, event: Event) -> io::Result<()> {
    // SAFETY: whatever is added is owned by `Conns`, which deletes it from the poller before it is closed.
    unsafe { poller.add(source, event) }
}

impl Conns {
    /// `sockets` is the limit on descriptors, of which `reserve` are kept from clients; `client_bytes` is the memory
    /// that clients' rings may take.
    pub fn new(
        listener: TcpListener,
        signals: UnixStream,
        sockets: usize,
        reserve: usize,
        client_bytes: usize,
    ) -> io::Result<Conns> {
        let poller = Poller::new()?;
        listener.set_nonblocking(true)?;
        signals.set_nonblocking(true)?;
        add(&poller, &listener, Event::readable(LISTENER))?;
        add(&poller, &signals, Event::readable(SIGNALS))?;
        let most = sockets.saturating_sub(OTHERS).max(8);
        Ok(Conns {
            poller,
            events: Events::new(),
            slots: SlotTable::default(),
            listener: Some(listener),
            mgmt: None,
            signals,
            most,
            most_clients: most
                .saturating_sub(reserve)
                .max(most / 4)
                .min(client_bytes / CLIENT_BYTES)
                .max(1),
            clients: 0,
            callers: 0,
        })
    }

    /// Waits for something to happen, no longer than this.
    pub fn wait(&mut self, most: Option<Duration>) -> io::Result<Vec<Seen>> {
        self.events.clear();
        match self.poller.wait(&mut self.events, most) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        let mut seen = Vec::new();
        for event in self.events.iter() {
            seen.push(match event.key {
                LISTENER => Seen::Listener,
                MGMT => Seen::Mgmt,
                SIGNALS => Seen::Signals,
                key => {
                    let id = ConnId(key as u64);
                    match self.slots.get_mut(id) {
                        // The poller tells once, then waits to be armed again.
                        Some(conn) => conn.armed = None,
                        None => continue,
                    }
                    Seen::Conn(id)
                }
            });
        }
        Ok(seen)
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Whether clients hold all that they may.
    pub fn clients_full(&self) -> bool {
        self.clients >= self.most_clients
    }

    /// Whether all descriptors are taken but those of callers.
    pub fn full(&self) -> bool {
        self.len() - self.callers >= self.most
    }

    /// Whether callers hold all descriptors that they have.
    pub fn callers_full(&self) -> bool {
        self.callers >= CALLERS_MOST
    }

    /// The client that is missed least, of those that may be parted with: one told its last answer, else one that never
    /// said anything, else one between requests, else one in the middle of a request; of these the one heard of longest
    /// ago. `silent` and `idle` are the times before which something must have come last from the second, and from the
    /// latter two.
    pub fn least_client(&self, silent: Nanos, idle: Nanos) -> Option<ConnId> {
        let rank = |c: &Conn| match c {
            _ if c.role != Role::Client => None,
            _ if c.lingers => Some(0),
            _ if !c.asked && c.between() && c.heard <= silent => Some(1),
            _ if c.between() && c.heard <= idle => Some(2),
            _ if c.output.is_empty() && c.heard <= idle => Some(3),
            _ => None,
        };
        let clients = self
            .iter()
            .filter_map(|(id, c)| Some((rank(c)?, c.heard, id)));
        clients.min().map(|(_, _, id)| id)
    }

    /// The next client that waits to be let in.
    pub fn accept(&mut self) -> io::Result<Option<ConnId>> {
        let Some(listener) = &self.listener else {
            return Ok(None);
        };
        self.admit_accepted(listener.accept(), Role::Client, crate::resp::COMMAND_MOST)
    }

    /// What came of accepting on a listener; `bound` is that of both rings.
    fn admit_accepted(
        &mut self,
        accepted: io::Result<(TcpStream, SocketAddr)>,
        role: Role,
        bound: usize,
    ) -> io::Result<Option<ConnId>> {
        match accepted {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                self.admit(stream, role, (bound, bound), false).map(Some)
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Listens for operators' calls too.
    pub fn listen_mgmt(&mut self, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        add(&self.poller, &listener, Event::readable(MGMT))?;
        self.mgmt = Some(listener);
        self.most = self.most.saturating_sub(CALLERS_MOST).max(8);
        self.most_clients = self
            .most_clients
            .saturating_sub(CALLERS_MOST)
            .max(self.most / 4)
            .max(1);
        Ok(())
    }

    /// The next caller that waits on the management listener; the listener is armed again.
    pub fn accept_caller(&mut self, bound: usize) -> io::Result<Option<ConnId>> {
        let Some(listener) = &self.mgmt else {
            return Ok(None);
        };
        let accepted = listener.accept();
        self.poller.modify(listener, Event::readable(MGMT))?;
        self.admit_accepted(accepted, Role::Caller, bound)
    }

    pub fn arm_listener(&self) -> io::Result<()> {
        self.listener
            .as_ref()
            .map_or(Ok(()), |l| self.poller.modify(l, Event::readable(LISTENER)))
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
    ) -> io::Result<ConnId> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(to),
            socket2::Type::STREAM,
            None,
        )?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Err(e) if !goes_on(&e) => return Err(e),
            _ => {}
        }
        let id = self.admit(socket.into(), role, bounds, true)?;
        self.get_mut(id)
            .into_iter()
            .for_each(|conn| conn.opened_to = Some(to));
        Ok(id)
    }

    fn admit(
        &mut self,
        stream: TcpStream,
        role: Role,
        bounds: (usize, usize),
        rising: bool,
    ) -> io::Result<ConnId> {
        // Small writes must not wait for acknowledgements; without it the connection still works.
        let _ = stream.set_nodelay(true);
        let armed = (!rising, rising);
        let id = self.slots.insert(|_| Conn {
            stream,
            role,
            opened_to: None,
            input: RingBuffer::new(bounds.0),
            output: RingBuffer::new(bounds.1),
            rising,
            last: false,
            ended: false,
            lingers: false,
            used: 0,
            heard: 0,
            asked: false,
            errors: 0,
            armed: Some(armed),
        });
        let conn = self.slots.get(id).expect("just added");
        let added = add(&self.poller, &conn.stream, event(id, armed));
        self.clients += usize::from(role == Role::Client);
        self.callers += usize::from(role == Role::Caller);
        if let Err(e) = added {
            self.close(id);
            return Err(e);
        }
        Ok(id)
    }

    /// The one place where a connection is given back.
    pub fn close(&mut self, id: ConnId) {
        if let Some(conn) = self.slots.remove(id) {
            self.clients -= usize::from(conn.role == Role::Client);
            self.callers -= usize::from(conn.role == Role::Caller);
            let _ = self.poller.delete(&conn.stream);
        }
    }

    pub fn get(&self, id: ConnId) -> Option<&Conn> {
        self.slots.get(id)
    }

    pub fn get_mut(&mut self, id: ConnId) -> Option<&mut Conn> {
        self.slots.get_mut(id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (ConnId, &Conn)> {
        self.slots.iter()
    }

    /// What came of a rising connection.
    pub fn risen(&mut self, id: ConnId) -> io::Result<()> {
        let Some(conn) = self.slots.get_mut(id) else {
            return Ok(());
        };
        if let Some(e) = conn.stream.take_error()? {
            return Err(e);
        }
        // It is told once the handshake is over: one that has no other side then has failed.
        conn.stream.peer_addr()?;
        conn.rising = false;
        Ok(())
    }

    /// Ends the sending side, so that the other side reads all that was written before the end.
    pub fn linger(&mut self, id: ConnId) -> io::Result<()> {
        let Some(conn) = self.slots.get_mut(id) else {
            return Ok(());
        };
        conn.lingers = true;
        conn.stream.shutdown(Shutdown::Write)
    }

    /// Reads what has come.
    pub fn fill(&mut self, id: ConnId) -> io::Result<()> {
        let Some(conn) = self.slots.get_mut(id) else {
            return Ok(());
        };
        conn.ended |= conn.input.read_from(&mut conn.stream)?;
        Ok(())
    }

    /// Writes what can be written.
    pub fn flush(&mut self, id: ConnId) -> io::Result<()> {
        let Some(conn) = self.slots.get_mut(id).filter(|c| !c.rising) else {
            return Ok(());
        };
        conn.output.write_to(&mut conn.stream)?;
        self.arm(id)
    }

    /// Has the poller watch for what the connection waits for. With a full input, or much unread output, nothing more
    /// is read from it.
    pub fn arm(&mut self, id: ConnId) -> io::Result<()> {
        let Some(conn) = self.slots.get_mut(id) else {
            return Ok(());
        };
        let unread = conn.output.len() > conn.output.available();
        let read = !conn.rising && !conn.ended && conn.input.available() > 0 && !unread;
        let wanted = (read, conn.rising || !conn.output.is_empty());
        if conn.armed != Some(wanted) {
            conn.armed = Some(wanted);
            self.poller.modify(&conn.stream, event(id, wanted))?;
        }
        Ok(())
    }

    /// Empties the pipe of signals and arms it again.
    pub fn take_signals(&mut self) -> io::Result<()> {
        let mut ring = RingBuffer::new(64);
        ring.read_from(&mut self.signals)?;
        self.poller.modify(&self.signals, Event::readable(SIGNALS))
    }
}

impl Drop for Conns {
    fn drop(&mut self) {
        let open: Vec<ConnId> = self.iter().map(|(id, _)| id).collect();
        open.into_iter().for_each(|id| self.close(id));
        self.close_listener();
        if let Some(mgmt) = self.mgmt.take() {
            let _ = self.poller.delete(&mgmt);
        }
        let _ = self.poller.delete(&self.signals);
    }
}

/// Whether a connect that answered this is under way: one that was interrupted goes on by itself too.
fn goes_on(e: &io::Error) -> bool {
    e.raw_os_error() == Some(libc::EINPROGRESS)
        || matches!(
            e.kind(),
            io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
        )
}

fn event(id: ConnId, (read, write): (bool, bool)) -> Event {
    Event::new(id.0 as usize, read, write)
}
