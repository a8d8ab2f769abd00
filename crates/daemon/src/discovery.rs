//! The sockets and deadlines of the watch on the configuration: carries out what [`Watch`] commands, and tells it what
//! happened. Nothing here decides, and nothing here knows messages or the loop.

use crate::connection::{ConnectionId, ConnectionTable, Role};
use crate::timer_queue::TimerQueue;
use bellsill_discovery_client::{
    Applied, CacheFull, CallId, Command, Counters, Received, ScopedLineError, ScopedList, Timer,
    Watch,
};
use bellsill_net::Nanos;
use bellsill_settings::Names;
use std::net::SocketAddr;

pub use bellsill_discovery_client::watch::KEPT_FOR;

/// How much of an answer is read before it is taken.
const INPUT_BYTES: usize = 64 * 1024;
/// Room for a request; a longer one is given what it needs.
const OUTPUT_BYTES: usize = 1024;

/// What falls due for the watch; whoever has the deadlines says what that is among them.
#[derive(Clone, Copy, Debug)]
pub enum WatchTimer {
    Reconnect,
    LookupRetry,
    Connection(ConnectionId),
}

/// What the watch's commands are carried out with.
pub struct WatchIo<'a, K> {
    pub now: Nanos,
    pub connections: &'a mut ConnectionTable,
    pub deadlines: &'a mut TimerQueue<K>,
}

/// The watch, and the connections of its calls.
pub struct Discovery {
    watch: Watch,
    calls: Vec<(CallId, ConnectionId)>,
    names: Names,
}

impl Discovery {
    pub fn new(watch: Watch, names: Names) -> Discovery {
        Discovery {
            watch,
            calls: Vec::new(),
            names,
        }
    }

    pub fn names(&self) -> &Names {
        &self.names
    }

    pub fn zones(&self) -> &[String] {
        &self.names.zones
    }

    /// What is kept of the scoped configuration; none where discovery tells everything.
    pub fn scoped_list(&self) -> Option<&ScopedList> {
        self.watch.list()
    }

    pub fn counters(&self) -> Counters {
        self.watch.counters()
    }

    /// Notes that a destination is used.
    pub fn touch(&mut self, destination: u64) {
        self.watch
            .list_mut()
            .into_iter()
            .for_each(|list| list.touch(destination));
    }

    /// Has a destination looked up; `in_use` says which ones must not give way to it. What gave way is answered.
    pub fn lookup<K>(
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
    pub fn apply<K>(
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

    /// A document of the watch has been applied, of that version.
    pub fn told(&mut self, version: u64) {
        self.watch.told(version);
    }

    /// Begins.
    pub fn start<K>(&mut self, io: &mut WatchIo<K>, drain_grace: Nanos)
    where
        K: Ord + Copy + From<WatchTimer>,
    {
        let commands = self.watch.start(io.now, drain_grace);
        self.carry_out(io, commands);
    }

    /// Discovery has moved.
    pub fn relocate<K>(&mut self, io: &mut WatchIo<K>, address: SocketAddr)
    where
        K: Ord + Copy + From<WatchTimer>,
    {
        let commands = self.watch.relocate(io.now, address);
        self.carry_out(io, commands);
    }

    /// A deadline of the watch has come.
    pub fn timer_fired<K>(&mut self, io: &mut WatchIo<K>, timer: WatchTimer)
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

    /// Something happened on a connection of the watch. What has come: a lookup's changes, or documents to be applied in
    /// their order.
    pub fn connection_ready<K>(&mut self, io: &mut WatchIo<K>, conn: ConnectionId) -> Received
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
    pub fn flush<K>(&mut self, io: &mut WatchIo<K>, conn: ConnectionId)
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
                    self.calls.retain(|(c, _)| *c != call);
                }
                Command::SetTimer(timer, at) => {
                    self.key(timer)
                        .into_iter()
                        .for_each(|key| io.deadlines.set(key, at));
                }
                Command::ClearTimer(timer) => {
                    self.key(timer)
                        .into_iter()
                        .for_each(|key| io.deadlines.clear(key));
                }
            }
        }
    }

    /// Connects to a server of the watch; the request goes out once the connection is up.
    fn connect<K>(&mut self, io: &mut WatchIo<K>, call: CallId, address: SocketAddr, request: &[u8])
    where
        K: Ord + Copy + From<WatchTimer>,
    {
        let bounds = (INPUT_BYTES, OUTPUT_BYTES.max(2 * request.len()));
        let Ok(conn) = io.connections.open(address, Role::Watch, bounds) else {
            return self.broken(io, call);
        };
        self.calls.push((call, conn));
        if let Some(to) = io.connections.get_mut(conn) {
            to.output.push(request);
        }
    }

    /// The deadline of a timer; none for that of a call whose connection is gone.
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
            .find(|(c, _)| *c == call)
            .map(|(_, conn)| *conn)
    }

    fn call_of(&self, conn: ConnectionId) -> Option<CallId> {
        self.calls
            .iter()
            .find(|(_, c)| *c == conn)
            .map(|(call, _)| *call)
    }
}
