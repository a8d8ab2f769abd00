//! The I/O of the watch on the configuration: executes the commands of [`Watch`] on sockets and timers, and reports
//! events back to it. The protocol logic is in [`Watch`]; this module does not depend on messages or the event loop.

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

/// The size of the buffer for responses.
const INPUT_BYTES: usize = 64 * 1024;
/// The minimum size of the buffer for requests; a longer request gets a larger one.
const OUTPUT_BYTES: usize = 1024;

/// A request of the watch in progress, and its connection.
struct OpenCall {
    call: CallId,
    connection: ConnectionId,
}

/// The watch and its connections.
pub(crate) struct Discovery {
    watch: Watch,
    calls: Vec<OpenCall>,
    names: PlatformNames,
}

impl Discovery {
    /// Wraps a watch that has not been opened.
    pub(crate) fn new(watch: Watch, names: PlatformNames) -> Discovery {
        Discovery {
            watch,
            calls: Vec::new(),
            names,
        }
    }

    /// The names of queue classes, zones and kinds.
    pub(crate) fn names(&self) -> &PlatformNames {
        &self.names
    }

    pub(crate) fn zones(&self) -> &[String] {
        &self.names.zones
    }

    /// The scoped configuration; `None` if discovery sends the complete one.
    pub(crate) fn scoped_list(&self) -> Option<&ScopedList> {
        self.watch.list()
    }

    /// The server of the watch.
    pub(crate) fn address(&self) -> SocketAddr {
        self.watch.address()
    }

    /// The version up to which the list is known.
    pub(crate) fn version(&self) -> u64 {
        self.watch.version()
    }

    /// The counters of the watch's calls.
    pub(crate) fn counters(&self) -> Counters {
        self.watch.counters()
    }

    /// Marks a destination as recently used, which delays its eviction from the cache.
    pub(crate) fn touch(&mut self, destination: u64) {
        self.watch
            .list_mut()
            .into_iter()
            .for_each(|list| list.touch(destination));
    }

    /// Requests a lookup of a destination. Destinations for which `in_use` returns true are not evicted to make room
    /// for it. Returns the evicted entries.
    pub(crate) fn lookup(
        &mut self,
        io: &mut Io,
        destination: u64,
        in_use: &dyn Fn(u64) -> bool,
    ) -> Result<Applied, CacheFull> {
        let lookup = self.watch.request_lookup(io.now, destination, in_use)?;
        self.execute(io, lookup.commands);
        Ok(lookup.applied)
    }

    /// Applies a document of a scoped watch. If it cannot be applied, the connection that it was received on is closed.
    pub(crate) fn apply(
        &mut self,
        io: &mut Io,
        conn: ConnectionId,
        document: &[u8],
    ) -> Result<Applied, ScopedLineError> {
        let applied = self.watch.apply(document);
        if applied.is_err()
            && let Some(call) = self.call_on(conn)
        {
            self.call_failed(io, call);
        }
        applied
    }

    /// Records the version of the last applied document.
    pub(crate) fn set_version(&mut self, version: u64) {
        self.watch.set_version(version);
    }

    /// Opens the watch.
    pub(crate) fn start(&mut self, io: &mut Io, drain_grace: Nanos) {
        let commands = self.watch.start(io.now, drain_grace);
        self.execute(io, commands);
    }

    /// Changes the address of discovery.
    pub(crate) fn relocate(&mut self, io: &mut Io, address: SocketAddr) {
        let commands = self.watch.relocate(io.now, address);
        self.execute(io, commands);
    }

    /// Handles the expiry of the reconnect timer: reopens the watch.
    pub(crate) fn reconnect(&mut self, io: &mut Io) {
        self.timer_expired(io, WatchTimer::Reconnect);
    }

    /// Handles the expiry of the lookup timer: repeats pending lookups.
    pub(crate) fn retry_lookups(&mut self, io: &mut Io) {
        self.timer_expired(io, WatchTimer::LookupRetry);
    }

    /// Handles the timeout of a connection of the watch.
    pub(crate) fn connection_timed_out(&mut self, io: &mut Io, conn: ConnectionId) {
        if let Some(call) = self.call_on(conn) {
            self.timer_expired(io, WatchTimer::Call(call));
        }
    }

    fn timer_expired(&mut self, io: &mut Io, timer: WatchTimer) {
        let commands = self.watch.timer_fired(io.now, timer);
        self.execute(io, commands);
    }

    /// Handles a readiness event on a connection of the watch. Returns the data received: the changes from a lookup, or
    /// documents to apply in order.
    pub(crate) fn connection_ready(&mut self, io: &mut Io, conn: ConnectionId) -> Received {
        let Some(call) = self.call_on(conn) else {
            return Received::default();
        };
        if io.connections.get(conn).is_some_and(|c| c.connecting) {
            if io.connections.finish_connect(conn).is_err() {
                self.call_failed(io, call);
                return Received::default();
            }
            let commands = self.watch.connected(io.now, call);
            self.execute(io, commands);
        }
        if io.connections.read(conn).is_err() {
            self.call_failed(io, call);
            return Received::default();
        }
        let Some(connection) = io.connections.get_mut(conn) else {
            return Received::default();
        };
        let mut received =
            self.watch
                .received(io.now, call, &mut connection.input, connection.peer_closed);
        self.execute(io, std::mem::take(&mut received.commands));
        received
    }

    /// Writes buffered output of a connection of the watch, and registers it for further events.
    pub(crate) fn flush(&mut self, io: &mut Io, conn: ConnectionId) {
        let Some(call) = self.call_on(conn) else {
            return;
        };
        if io
            .connections
            .flush(conn)
            .and_then(|()| io.connections.arm(conn))
            .is_err()
        {
            self.call_failed(io, call);
        }
    }

    fn call_failed(&mut self, io: &mut Io, call: CallId) {
        let commands = self.watch.call_failed(io.now, call);
        self.execute(io, commands);
    }

    fn execute(&mut self, io: &mut Io, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Connect {
                    call,
                    address,
                    request,
                } => self.connect(io, call, address, &request),
                Command::Close(call) => {
                    self.connection_of(call)
                        .into_iter()
                        .for_each(|conn| io.connections.close(conn));
                    self.calls.retain(|open| open.call != call);
                }
                Command::SetTimer(timer, at) => {
                    self.event_loop_timer(timer)
                        .into_iter()
                        .for_each(|timer| io.timers.set(timer, at));
                }
                Command::ClearTimer(timer) => {
                    self.event_loop_timer(timer)
                        .into_iter()
                        .for_each(|timer| io.timers.cancel(timer));
                }
            }
        }
    }

    /// Connects to a server of the watch and buffers the request, which is sent once the connection is established.
    fn connect(&mut self, io: &mut Io, call: CallId, address: SocketAddr, request: &[u8]) {
        let bounds = BufferBounds {
            input: INPUT_BYTES,
            output: OUTPUT_BYTES.max(2 * request.len()),
        };
        let Ok(conn) = io.connections.open(address, Role::Watch, bounds) else {
            return self.call_failed(io, call);
        };
        self.calls.push(OpenCall {
            call,
            connection: conn,
        });
        if let Some(connection) = io.connections.get_mut(conn) {
            connection.output.push(request);
        }
    }

    /// The event loop timer for a timer of the watch; `None` for a call whose connection is closed.
    fn event_loop_timer(&self, timer: WatchTimer) -> Option<Timer> {
        Some(match timer {
            WatchTimer::Reconnect => Timer::WatchReconnect,
            WatchTimer::LookupRetry => Timer::LookupRetry,
            WatchTimer::Call(call) => Timer::Connection(self.connection_of(call)?),
        })
    }

    fn connection_of(&self, call: CallId) -> Option<ConnectionId> {
        self.calls
            .iter()
            .find(|open| open.call == call)
            .map(|open| open.connection)
    }

    fn call_on(&self, conn: ConnectionId) -> Option<CallId> {
        self.calls
            .iter()
            .find(|open| open.connection == conn)
            .map(|open| open.call)
    }
}
