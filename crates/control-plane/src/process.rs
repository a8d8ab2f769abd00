//! The event loop of a control process. Each iteration handles events, syncs the new records to disk, and only then
//! writes responses and lines. This module passes events to the leader or follower role and executes the effects that
//! the request routing in `server` returns.

use crate::clients::Clients;
use crate::config::{Config, Role};
use crate::connection::{ConnectionId, Purpose};
use crate::connections::{self, Connections, PollEvent};
use crate::context::Context;
use crate::follower::Follower;
use crate::http_server::{Request, Response};
use crate::leader::Leader;
use crate::metrics::Metrics;
use crate::replica::Replica;
use crate::replication::LineEffect;
use crate::server::{self, Effect, ReadView, WatchStart, WriteKind};
use crate::storage::StorageError;
use crate::time::{MILLISECOND, SECOND};
use bellsill_directory::request::{LookUpRequest, WatchRequest};
use bellsill_directory::state::{ApplyError, Directory, LogId, Retention};
use bellsill_directory::watchers::WatcherId;
use bellsill_net::Nanos;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use thiserror::Error;

/// The interval of periodic work: heartbeats, bucket fills within their rate limit, and the timeout of a silent leader.
const TICK: Nanos = 100 * MILLISECOND;
/// Iterations of the event loop that take longer are logged.
const SLOW_ITERATION: Duration = Duration::from_millis(100);

/// The receiving side of a stop request.
pub struct Stop {
    /// A byte received on it makes the process check `requested`.
    pub wake: UnixStream,
    /// Whether the process should stop.
    pub requested: Arc<AtomicBool>,
}

/// An error that prevents a control process from starting or continuing.
#[derive(Debug, Error)]
pub enum RunError {
    /// The listener cannot be opened.
    #[error("field listen: {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The state directory cannot be read or written.
    #[error("field state: {0}")]
    Storage(#[from] StorageError),
    /// A record created by this process cannot be applied to its own configuration.
    #[error("a record created by this process cannot be applied: {0}")]
    Apply(#[from] ApplyError),
    /// The operating system reported an error.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Runs a control process until a stop is requested. Records are on disk before any response or line that reflects them
/// is sent.
pub fn run(config: Config, stop: Stop) -> Result<(), RunError> {
    let listener = connections::listen(config.listen);
    let listener = listener.map_err(|source| RunError::Listen {
        address: config.listen,
        source,
    })?;
    run_on(listener, config, stop)
}

/// Like [`run`], on a listener that is already open.
pub fn run_on(listener: TcpListener, config: Config, stop: Stop) -> Result<(), RunError> {
    let mut process = ControlProcess::start(listener, config, stop)?;
    while !process.stopped {
        process.iterate()?;
    }
    log::info!(
        "{} stops at version {}",
        process.name,
        process.context.replica.version().0
    );
    Ok(())
}

/// The role of a process, with its state.
enum RoleState {
    Leader(Leader),
    Follower(Follower),
}

struct ControlProcess {
    name: String,
    context: Context,
    clients: Clients,
    role: RoleState,
    clock: Instant,
    next_tick: Nanos,
    next_second: Nanos,
    stop_requested: Arc<AtomicBool>,
    stopped: bool,
}

/// The result of serving a request.
enum Served {
    Respond(Response),
    WatchOpened(WatcherId),
}

/// The durations of the phases of an iteration.
struct IterationTimes {
    events: Duration,
    storage: Duration,
    sending: Duration,
}

impl IterationTimes {
    fn total(&self) -> Duration {
        self.events + self.storage + self.sending
    }
}

impl ControlProcess {
    fn start(
        listener: TcpListener,
        config: Config,
        stop: Stop,
    ) -> Result<ControlProcess, RunError> {
        let started = Instant::now();
        let mut replica = Replica::open(&config)?;
        if replica.directory().is_none() && config.role == Role::Leader {
            let layout = config.layout.clone();
            replica.replace(Directory::new(layout, new_log_id()?, Retention::default()))?;
        }
        replica.compact_log_at_start()?;
        let role = match config.role {
            Role::Leader => RoleState::Leader(Leader::new(0, config.restart_grace)),
            Role::Follower { leader } => {
                RoleState::Follower(Follower::new(leader, config.layout, 0))
            }
        };
        let connections = Connections::new(listener, stop.wake)?;
        let entries = replica
            .directory()
            .map_or(0, |directory| directory.entries().len());
        log::info!(
            "{} listens on {}, at version {} with {entries} endpoints, started in {} ms",
            config.name,
            config.listen,
            replica.version().0,
            started.elapsed().as_millis()
        );
        Ok(ControlProcess {
            name: config.name,
            context: Context {
                connections,
                replica,
                metrics: Metrics::default(),
                now: 0,
            },
            clients: Clients::default(),
            role,
            clock: Instant::now(),
            next_tick: 0,
            next_second: 0,
            stop_requested: stop.requested,
            stopped: false,
        })
    }

    fn iterate(&mut self) -> Result<(), RunError> {
        let timeout = self.next_tick.saturating_sub(self.context.now);
        let events = self
            .context
            .connections
            .wait(Duration::from_nanos(timeout))?;
        let started = Instant::now();
        self.update_clock();
        for event in events {
            self.handle_event(event)?;
        }
        if self.context.now >= self.next_tick {
            self.tick()?;
        }
        let handled = Instant::now();
        self.context.replica.sync()?;
        let synced = Instant::now();
        self.clients.flush(&mut self.context);
        self.record_iteration(&IterationTimes {
            events: handled - started,
            storage: synced - handled,
            sending: synced.elapsed(),
        });
        self.update_clock();
        Ok(())
    }

    fn update_clock(&mut self) {
        self.context.now = self.clock.elapsed().as_nanos() as Nanos;
    }

    fn record_iteration(&mut self, times: &IterationTimes) {
        let total = times.total();
        let metrics = &mut self.context.metrics;
        metrics.longest_iteration_ms = metrics.longest_iteration_ms.max(total.as_millis() as u64);
        if total > SLOW_ITERATION {
            metrics.slow_iterations += 1;
            log::warn!(
                "slow iteration: {} ms (events {} ms, disk sync {} ms, sending {} ms, {} watchers)",
                total.as_millis(),
                times.events.as_millis(),
                times.storage.as_millis(),
                times.sending.as_millis(),
                self.context.replica.watchers().len()
            );
        }
    }

    fn tick(&mut self) -> Result<(), RunError> {
        let now = self.context.now;
        self.next_tick = now + TICK;
        self.context.replica.watchers_mut().mark_all_ready();
        if let RoleState::Follower(follower) = &mut self.role {
            follower.tick(&mut self.context);
        }
        if now >= self.next_second {
            self.next_second = now + SECOND;
            match &mut self.role {
                RoleState::Leader(leader) => {
                    let Context {
                        replica, metrics, ..
                    } = &mut self.context;
                    leader.every_second(replica, metrics, now)?;
                }
                RoleState::Follower(follower) => follower.every_second(&mut self.context),
            }
            self.clients.close_timed_out(&mut self.context);
        }
        Ok(())
    }

    fn handle_event(&mut self, event: PollEvent) -> Result<(), RunError> {
        match event {
            PollEvent::Listener => self.clients.accept(&mut self.context),
            PollEvent::Stop => {
                self.context.connections.drain_stop_socket();
                self.stopped = self.stop_requested.load(Ordering::SeqCst);
            }
            PollEvent::Connection(id) => self.connection_ready(id)?,
        }
        Ok(())
    }

    fn connection_ready(&mut self, id: ConnectionId) -> Result<(), RunError> {
        let context = &mut self.context;
        let Some(connection) = context.connections.get_mut(id) else {
            return Ok(());
        };
        match (connection.purpose, &mut self.role) {
            (Purpose::Client, _) => self.client_ready(id),
            (Purpose::Watch(watcher), _) => self.clients.watch_ready(context, id, watcher),
            (Purpose::LeaderWatch, RoleState::Follower(follower)) => {
                if follower.watch_ready(context, id)? == LineEffect::ConfigurationReplaced {
                    self.clients.close_watches(context);
                }
            }
            (Purpose::HeartbeatRequest, RoleState::Follower(follower)) => {
                follower.heartbeat_call_ready(context, id);
            }
            // A leader does not connect to other processes.
            (Purpose::LeaderWatch | Purpose::HeartbeatRequest, RoleState::Leader(_)) => {}
        }
        Ok(())
    }

    fn client_ready(&mut self, id: ConnectionId) {
        self.clients.receive(&mut self.context, id);
        while let Some(request) = self.clients.next_request(&mut self.context, id) {
            match self.serve(&request) {
                Served::Respond(response) => {
                    let response = Response {
                        close: !request.keep_alive,
                        ..response
                    };
                    self.clients.respond(&mut self.context, id, response);
                }
                Served::WatchOpened(watcher) => {
                    self.clients.start_watch(&mut self.context, id, watcher);
                    break;
                }
            }
        }
        self.clients.finish_requests(&mut self.context, id);
    }

    /// Serves a request and executes its effect.
    fn serve(&mut self, request: &Request) -> Served {
        let view = ReadView {
            replica: &self.context.replica,
            metrics: &self.context.metrics,
            connections: self.context.connections.len(),
            leader: match &self.role {
                RoleState::Leader(_) => None,
                RoleState::Follower(follower) => Some(follower.leader()),
            },
        };
        match server::serve(request, &view) {
            Effect::Respond(response) => Served::Respond(response),
            Effect::OpenWatch(watch, start) => self.open_watch(watch, start),
            Effect::LookUp(look_up) => Served::Respond(self.look_up(&look_up)),
            Effect::Write(write) => Served::Respond(self.write(write, &request.body)),
        }
    }

    fn open_watch(&mut self, request: WatchRequest, start: WatchStart) -> Served {
        let opened = match self.context.replica.open_watch(request, self.context.now) {
            Some(Ok(opened)) => opened,
            Some(Err(reason)) => return Served::Respond(server::watch_rejection(reason)),
            None => return Served::Respond(server::no_configuration()),
        };
        let metrics = &mut self.context.metrics;
        metrics.watches_opened += 1;
        match start {
            WatchStart::Dispatcher | WatchStart::Follower => {}
            WatchStart::RestartedDispatcher => metrics.watches_restarted += 1,
            WatchStart::FollowerTransfer => metrics.transfers_started += 1,
        }
        if let (WatchStart::Follower | WatchStart::FollowerTransfer, RoleState::Leader(leader)) =
            (start, &mut self.role)
        {
            leader.follower_connected();
        }
        if let Some(replaced) = opened.replaced {
            self.clients.close_replaced(&mut self.context, replaced);
        }
        Served::WatchOpened(opened.id)
    }

    fn look_up(&mut self, request: &LookUpRequest) -> Response {
        let Context {
            replica, metrics, ..
        } = &mut self.context;
        if let Err(reason) = replica.watchers_mut().change_cached_destinations(request) {
            return server::watch_rejection(reason);
        }
        let Some(directory) = replica.directory() else {
            return server::no_configuration();
        };
        metrics.lookups += request.destinations.len() as u64;
        server::look_up_response(directory, request)
    }

    fn write(&mut self, write: WriteKind, body: &[u8]) -> Response {
        let Context {
            replica,
            metrics,
            now,
            ..
        } = &mut self.context;
        let leader = match &mut self.role {
            RoleState::Leader(leader) => leader,
            RoleState::Follower(follower) => return server::not_leader(follower.leader()),
        };
        let written = match write {
            WriteKind::Endpoints => leader.write_endpoints(replica, body),
            WriteKind::Members => leader.write_members(replica, body, *now),
            WriteKind::Heartbeats => leader.record_heartbeats(replica, body, *now),
        };
        if written.is_ok() && write != WriteKind::Heartbeats {
            metrics.writes += 1;
        }
        server::write_response(written)
    }
}

/// Generates a random id for a new log.
fn new_log_id() -> io::Result<LogId> {
    let number = getrandom::u64().map_err(|error| io::Error::other(error.to_string()))?;
    Ok(LogId(format!("{number:016x}")))
}
