//! The sockets and timers of the watch on the configuration: carries out what [`Watch`] commands, and reports to it what
//! happened. Nothing here decides, and nothing here knows messages or the event loop.

use crate::connection::{BufferBounds, ConnectionId, ConnectionTable, Role};
use crate::timer_queue::TimerQueue;
use bellsill_discovery_client::{
    Applied, CacheFull, CallId, Command, Counters, Received, ScopedLineError, ScopedList, Timer,
    Watch,
};
use bellsill_net::Nanos;
use bellsill_settings::Names;
use std::net::SocketAddr;

pub use bellsill_discovery_client::watch::KEPT_FOR;

/// How much of an answer is buffered.
const INPUT_BYTES: usize = 64 * 1024;
/// Room for a request; a longer one gets more.
const OUTPUT_BYTES: usize = 1024;

/// The timers of the watch, as part of those of the event loop.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WatchTimer {
    /// The watch is to be opened again.
    Reconnect,
    /// Destinations are to be looked up again.
    LookupRetry,
    /// A connection has been without an expected answer for too long.
    Connection(ConnectionId),
}

/// What the watch's commands are carried out with.
pub(crate) struct WatchIo<'a, K> {
    pub(crate) now: Nanos,
    pub(crate) connections: &'a mut ConnectionTable,
    pub(crate) timers: &'a mut TimerQueue<K>,
}

/// A call of the watch and its connection.
struct OpenCall {
    call: CallId,
    connection: ConnectionId,
}

/// The watch, and the connections of its calls.
pub(crate) struct Discovery {
    watch: Watch,
    calls: Vec<OpenCall>,
    names: Names,
}

impl Discovery {
    /// A watch that is not open yet.
    pub(crate) fn new(watch: Watch, names: Names) -> Discovery {
        Discovery {
            watch,
            calls: Vec::new(),
            names,
        }
    }

    /// The names of classes, zones and kinds.
    pub(crate) fn names(&self) -> &Names {
        &self.names
    }

    /// The names of the zones.
    pub(crate) fn zones(&self) -> &[String] {
        &self.names.zones
    }

    /// The scoped configuration; none where discovery sends the complete one.
    pub(crate) fn scoped_list(&self) -> Option<&ScopedList> {
        self.watch.list()
    }

    /// What has happened to the calls of the watch.
    pub(crate) fn counters(&self) -> Counters {
        self.watch.counters()
    }

    /// Notes that a destination is used.
    pub(crate) fn touch(&mut self, destination: u64) {
        self.watch
            .list_mut()
            .into_iter()
            .for_each(|list| list.touch(destination));
    }

    /// Has a destination looked up; `in_use` says which ones must not be evicted for it. Returns what was evicted.
    pub(crate) fn lookup<K>(
        &mut self,
        io: &mut WatchIo<K>,
        destination: u64,
        in_use: &dyn Fn(u64) -> bool,
    ) -> Result<Applied, CacheFull>
    where
        K: Ord + Copy + From<WatchTimer>,
    {
        let lookup = self.watch.want(io.now, destination, in_use)?;
        self.carry_out(io, lookup.commands);
        Ok(lookup.applied)
    }

    /// Applies a document of a scoped watch. One that cannot be applied ends the connection that it came on.
    pub(crate) fn apply<K>(
        &mut self,
        io: &mut WatchIo<K>,
        conn: ConnectionId,
        document: &[u8],
    ) -> Result<Applied, ScopedLineError>
    where
        K: Ord + Copy + From<WatchTimer>,
    {
        let applied = self.watch.apply(document);
        if applied.is_err()
            && let Some(call) = self.call_of(conn)
        {
            self.broken(io, call);
        }
        applied
    }

    /// A document of this version has been applied.
    pub(crate) fn applied(&mut self, version: u64) {
        self.watch.told(version);
    }

    /// Opens the watch.
    pub(crate) fn start<K>(&mut self, io: &mut WatchIo<K>, drain_grace: Nanos)
    where
        K: Ord + Copy + From<WatchTimer>,
    {
        let commands = self.watch.start(io.now, drain_grace);
        self.carry_out(io, commands);
    }

    /// Discovery has another address.
    pub(crate) fn relocate<K>(&mut self, io: &mut WatchIo<K>, address: SocketAddr)
    where
        K: Ord + Copy + From<WatchTimer>,
    {
        let commands = self.watch.relocate(io.now, address);
        self.carry_out(io, commands);
    }

    /// A timer of the watch has expired.
    pub(crate) fn timer_fired<K>(&mut self, io: &mut WatchIo<K>, timer: WatchTimer)
    where
        K: Ord + Copy + From<WatchTimer>,
    {
        let timer = match timer {
            WatchTimer::Reconnect => Timer::Reconnect,
            WatchTimer::LookupRetry => Timer::LookUp,
            WatchTimer::Connection(conn) => match self.call_of(conn) {
                Some(call) => Timer::Call(call),
                None => return,
            },
        };
        let commands = self.watch.timer_fired(io.now, timer);
        self.carry_out(io, commands);
    }

    /// Something happened on a connection of the watch. Returns what has arrived: the changes of a lookup, or documents to
    /// be applied in their order.
    pub(crate) fn connection_ready<K>(
        &mut self,
        io: &mut WatchIo<K>,
        conn: ConnectionId,
    ) -> Received
    where
        K: Ord + Copy + From<WatchTimer>,
    {
        let Some(call) = self.call_of(conn) else {
            return Received::default();
        };
        if io.connections.get(conn).is_some_and(|c| c.connecting) {
            if io.connections.finish_connect(conn).is_err() {
                self.broken(io, call);
                return Received::default();
            }
            let commands = self.watch.connected(io.now, call);
            self.carry_out(io, commands);
        }
        if io.connections.read(conn).is_err() {
            self.broken(io, call);
            return Received::default();
        }
        let Some(from) = io.connections.get_mut(conn) else {
            return Received::default();
        };
        let mut received = self
            .watch
            .received(io.now, call, &mut from.input, from.peer_closed);
        self.carry_out(io, std::mem::take(&mut received.commands));
        received
    }

    /// Writes what can be written, and waits for more on a connection of the watch.
    pub(crate) fn flush<K>(&mut self, io: &mut WatchIo<K>, conn: ConnectionId)
    where
        K: Ord + Copy + From<WatchTimer>,
    {
        let Some(call) = self.call_of(conn) else {
            return;
        };
        if io
            .connections
            .flush(conn)
            .and_then(|()| io.connections.arm(conn))
            .is_err()
        {
            self.broken(io, call);
        }
    }

    fn broken<K>(&mut self, io: &mut WatchIo<K>, call: CallId)
    where
        K: Ord + Copy + From<WatchTimer>,
    {
        let commands = self.watch.broken(io.now, call);
        self.carry_out(io, commands);
    }

    fn carry_out<K>(&mut self, io: &mut WatchIo<K>, commands: Vec<Command>)
    where
        K: Ord + Copy + From<WatchTimer>,
    {
        for command in commands {
            match command {
                Command::Connect {
                    call,
                    address,
                    request,
                } => self.connect(io, call, address, &request),
                Command::Close(call) => {
                    self.conn_of(call)
                        .into_iter()
                        .for_each(|conn| io.connections.close(conn));
                    self.calls.retain(|open| open.call != call);
                }
                Command::SetTimer(timer, at) => {
                    self.key(timer)
                        .into_iter()
                        .for_each(|key| io.timers.set(key, at));
                }
                Command::ClearTimer(timer) => {
                    self.key(timer)
                        .into_iter()
                        .for_each(|key| io.timers.clear(key));
                }
            }
        }
    }

    /// Connects to a server of the watch; the request goes out once the connection is up.
    fn connect<K>(&mut self, io: &mut WatchIo<K>, call: CallId, address: SocketAddr, request: &[u8])
    where
        K: Ord + Copy + From<WatchTimer>,
    {
        let bounds = BufferBounds {
            input: INPUT_BYTES,
            output: OUTPUT_BYTES.max(2 * request.len()),
        };
        let Ok(conn) = io.connections.open(address, Role::Watch, bounds) else {
            return self.broken(io, call);
        };
        self.calls.push(OpenCall {
            call,
            connection: conn,
        });
        if let Some(to) = io.connections.get_mut(conn) {
            to.output.push(request);
        }
    }

    /// The timer of the event loop; none for that of a call whose connection is closed.
    fn key<K: From<WatchTimer>>(&self, timer: Timer) -> Option<K> {
        Some(K::from(match timer {
            Timer::Reconnect => WatchTimer::Reconnect,
            Timer::LookUp => WatchTimer::LookupRetry,
            Timer::Call(call) => WatchTimer::Connection(self.conn_of(call)?),
        }))
    }

    fn conn_of(&self, call: CallId) -> Option<ConnectionId> {
        self.calls
            .iter()
            .find(|open| open.call == call)
            .map(|open| open.connection)
    }

    fn call_of(&self, conn: ConnectionId) -> Option<CallId> {
        self.calls
            .iter()
            .find(|open| open.connection == conn)
            .map(|open| open.call)
    }
}
