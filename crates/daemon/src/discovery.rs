//! The sockets and timers of the watch on the configuration: carries out what [`Watch`] commands, and reports to it what
//! happened. Nothing here decides, and nothing here knows messages or the event loop.

use crate::connection::{BufferBounds, ConnectionId, Role};
use crate::io::Io;
use crate::timer::Timer;
use bellsill_discovery_client::{
    Applied, CacheFull, CallId, Command, Counters, Received, ScopedLineError, ScopedList,
    Timer as WatchTimer, Watch,
};
use bellsill_net::Nanos;
use bellsill_settings::PlatformNames;
use std::net::SocketAddr;

pub use bellsill_discovery_client::watch::LATE_CALL_TIMEOUT;

/// How much of an answer is buffered.
const INPUT_BYTES: usize = 64 * 1024;
/// Room for a request; a longer one gets more.
const OUTPUT_BYTES: usize = 1024;

/// A call of the watch and its connection.
struct OpenCall {
    call: CallId,
    connection: ConnectionId,
}

/// The watch, and the connections of its calls.
pub(crate) struct Discovery {
    watch: Watch,
    calls: Vec<OpenCall>,
    names: PlatformNames,
}

impl Discovery {
    /// A watch that is not open yet.
    pub(crate) fn new(watch: Watch, names: PlatformNames) -> Discovery {
        Discovery {
            watch,
            calls: Vec::new(),
            names,
        }
    }

    /// The names of classes, zones and kinds.
    pub(crate) fn names(&self) -> &PlatformNames {
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
    pub(crate) fn lookup(
        &mut self,
        io: &mut Io,
        destination: u64,
        in_use: &dyn Fn(u64) -> bool,
    ) -> Result<Applied, CacheFull> {
        let lookup = self.watch.request_lookup(io.now, destination, in_use)?;
        self.carry_out(io, lookup.commands);
        Ok(lookup.applied)
    }

    /// Applies a document of a scoped watch. One that cannot be applied ends the connection that it came on.
    pub(crate) fn apply(
        &mut self,
        io: &mut Io,
        conn: ConnectionId,
        document: &[u8],
    ) -> Result<Applied, ScopedLineError> {
        let applied = self.watch.apply(document);
        if applied.is_err()
            && let Some(call) = self.call_of(conn)
        {
            self.broken(io, call);
        }
        applied
    }

    /// A document of this version has been applied.
    pub(crate) fn set_version(&mut self, version: u64) {
        self.watch.set_version(version);
    }

    /// Opens the watch.
    pub(crate) fn start(&mut self, io: &mut Io, drain_grace: Nanos) {
        let commands = self.watch.start(io.now, drain_grace);
        self.carry_out(io, commands);
    }

    /// Discovery has another address.
    pub(crate) fn relocate(&mut self, io: &mut Io, address: SocketAddr) {
        let commands = self.watch.relocate(io.now, address);
        self.carry_out(io, commands);
    }

    /// The watch is to be opened again.
    pub(crate) fn reconnect(&mut self, io: &mut Io) {
        self.timer_expired(io, WatchTimer::Reconnect);
    }

    /// Destinations are to be looked up again.
    pub(crate) fn retry_lookups(&mut self, io: &mut Io) {
        self.timer_expired(io, WatchTimer::LookupRetry);
    }

    /// A connection of the watch has been without an expected answer for too long.
    pub(crate) fn connection_timed_out(&mut self, io: &mut Io, conn: ConnectionId) {
        if let Some(call) = self.call_of(conn) {
            self.timer_expired(io, WatchTimer::Call(call));
        }
    }

    fn timer_expired(&mut self, io: &mut Io, timer: WatchTimer) {
        let commands = self.watch.timer_fired(io.now, timer);
        self.carry_out(io, commands);
    }

    /// Something happened on a connection of the watch. Returns what has arrived: the changes of a lookup, or documents to
    /// be applied in their order.
    pub(crate) fn connection_ready(&mut self, io: &mut Io, conn: ConnectionId) -> Received {
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
    pub(crate) fn flush(&mut self, io: &mut Io, conn: ConnectionId) {
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

    fn broken(&mut self, io: &mut Io, call: CallId) {
        let commands = self.watch.call_failed(io.now, call);
        self.carry_out(io, commands);
    }

    fn carry_out(&mut self, io: &mut Io, commands: Vec<Command>) {
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
                        .for_each(|key| io.timers.cancel(key));
                }
            }
        }
    }

    /// Connects to a server of the watch; the request goes out once the connection is up.
    fn connect(&mut self, io: &mut Io, call: CallId, address: SocketAddr, request: &[u8]) {
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
    fn key(&self, timer: WatchTimer) -> Option<Timer> {
        Some(match timer {
            WatchTimer::Reconnect => Timer::WatchReconnect,
            WatchTimer::LookupRetry => Timer::LookupRetry,
            WatchTimer::Call(call) => Timer::Connection(self.conn_of(call)?),
        })
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
