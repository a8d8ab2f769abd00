//! The process: one thread, one loop that reads, writes to disk, and only then tells.

use crate::config::{Config, Role};
use crate::connections::{self, ConnectionId, Connections, Purpose, Seen};
use crate::disk::{Storage, StorageError};
use crate::figures::Figures;
use crate::follower::Follower;
use crate::writer::Writer;
use bellsill_directory::record::LoggedRecord;
use bellsill_directory::state::{Applied, ApplyError, Directory, Keeping, LogId};
use bellsill_directory::watchers::{WatcherId, Watchers};
use bellsill_net::Nanos;
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use thiserror::Error;

const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1_000 * MILLISECOND;
/// Between looks at what falls due with time: empty lines, fillings, silence of the writer.
const TICK: Nanos = 100 * MILLISECOND;
/// A turn of the loop that takes longer is logged.
const SLOW_TURN: Duration = Duration::from_millis(100);

/// What tells a control process to end: the flag says so, and a byte on the socket has it look.
pub struct Stop {
    pub wake: UnixStream,
    pub requested: Arc<AtomicBool>,
}

/// Why a control process cannot start, or cannot go on.
#[derive(Debug, Error)]
pub enum RunError {
    #[error("field listen: {address}: {source}")]
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("field state: {0}")]
    Storage(#[from] StorageError),
    #[error("a record that was taken cannot be applied: {0}")]
    Apply(#[from] ApplyError),
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Runs a control process until it is told to end. What it answered is on disk.
pub fn run(config: Config, stop: Stop) -> Result<(), RunError> {
    let listener = connections::listen(config.listen);
    let listener = listener.map_err(|source| RunError::Listen {
        address: config.listen,
        source,
    })?;
    run_on(listener, config, stop)
}

/// As [`run`], on a listener that is already open.
pub fn run_on(listener: std::net::TcpListener, config: Config, stop: Stop) -> Result<(), RunError> {
    let mut process = ControlProcess::start(listener, config, stop)?;
    while !process.stopped {
        process.turn()?;
    }
    log::info!(
        "{} ends at version {}",
        process.config.name,
        process.version()
    );
    Ok(())
}

/// What the process does with writes.
pub(crate) enum RoleState {
    Writer(Writer),
    Follower(Follower),
}

/// One control process.
pub(crate) struct ControlProcess {
    pub config: Config,
    pub now: Nanos,
    pub connections: Connections,
    /// None in a follower that has not been told the configuration yet.
    pub directory: Option<Directory>,
    pub watchers: Watchers,
    /// The connection of each watcher.
    pub watching: HashMap<WatcherId, ConnectionId>,
    /// Connections with output to be written at the end of the turn.
    pub touched: BTreeSet<ConnectionId>,
    pub storage: Storage,
    /// Records that are applied, but not yet on disk. Nothing is written to a connection before they are.
    pub unsynced: Vec<LoggedRecord>,
    pub role: RoleState,
    pub figures: Figures,
    clock: Instant,
    next_tick: Nanos,
    next_second: Nanos,
    stop: Arc<AtomicBool>,
    stopped: bool,
}

/// How long the parts of a turn took.
#[derive(Default)]
struct TurnTimes {
    handling: Duration,
    disk: Duration,
    telling: Duration,
}

impl ControlProcess {
    fn start(
        listener: std::net::TcpListener,
        config: Config,
        stop: Stop,
    ) -> Result<ControlProcess, RunError> {
        let begun = Instant::now();
        let (mut storage, mut directory) = Storage::open(
            &config.state,
            &config.name,
            config.layout.clone(),
            Keeping::default(),
        )?;
        if directory.is_none() && config.role == Role::Writer {
            let new = Directory::new(config.layout.clone(), new_log_id()?, Keeping::default());
            storage.begin_with(&new)?;
            directory = Some(new);
        }
        if let Some(directory) = directory.as_ref().filter(|_| storage.is_log_long()) {
            storage.write_snapshot(directory)?;
        }
        let role = match config.role {
            Role::Writer => RoleState::Writer(Writer::new(0, config.restart_grace)),
            Role::Follower { writer } => RoleState::Follower(Follower::new(writer, 0)),
        };
        let figures = Figures {
            torn_bytes: storage.torn_bytes(),
            rejected_snapshots: storage.rejected_snapshots(),
            ..Figures::default()
        };
        let process = ControlProcess {
            now: 0,
            connections: Connections::new(listener, stop.wake)?,
            directory,
            watchers: Watchers::new(config.fill_pace),
            watching: HashMap::new(),
            touched: BTreeSet::new(),
            storage,
            unsynced: Vec::new(),
            role,
            figures,
            clock: Instant::now(),
            next_tick: 0,
            next_second: 0,
            stop: stop.requested,
            stopped: false,
            config,
        };
        let entries = process
            .directory
            .as_ref()
            .map_or(0, |directory| directory.entries().len());
        log::info!(
            "{} listens on {}, at version {} with {entries} endpoints, started in {} ms",
            process.config.name,
            process.config.listen,
            process.version(),
            begun.elapsed().as_millis()
        );
        Ok(process)
    }

    pub fn version(&self) -> u64 {
        self.directory
            .as_ref()
            .map_or(0, |directory| directory.version().0)
    }

    /// Takes in a record. It is told once it is on disk.
    pub fn apply(&mut self, logged: LoggedRecord) -> Result<(), ApplyError> {
        let Some(directory) = &mut self.directory else {
            return Ok(());
        };
        let applied: Applied = directory.apply(&logged)?;
        self.watchers.applied(&applied, directory);
        self.unsynced.push(logged);
        Ok(())
    }

    /// Has the records that were taken in on disk.
    pub fn sync(&mut self) -> Result<(), RunError> {
        if self.unsynced.is_empty() {
            return Ok(());
        }
        self.storage.append(&self.unsynced)?;
        self.figures.records += self.unsynced.len() as u64;
        self.figures.syncs += 1;
        self.unsynced.clear();
        if let Some(directory) = self
            .directory
            .as_ref()
            .filter(|_| self.storage.is_log_too_long())
        {
            self.storage.write_snapshot(directory)?;
        }
        Ok(())
    }

    fn turn(&mut self) -> Result<(), RunError> {
        let seen = self.connections.wait(Duration::from_nanos(
            self.next_tick.saturating_sub(self.now),
        ))?;
        let (begun, mut times) = (Instant::now(), TurnTimes::default());
        self.now = self.clock.elapsed().as_nanos() as Nanos;
        for what in seen {
            match what {
                Seen::Listener => self.accept(),
                Seen::Stop => {
                    self.connections.take_stop()?;
                    self.stopped = self.stop.load(Ordering::SeqCst);
                }
                Seen::Connection(id) => self.ready(id)?,
            }
        }
        if self.now >= self.next_tick {
            self.tick()?;
        }
        times.handling = begun.elapsed();
        self.sync()?;
        times.disk = begun.elapsed() - times.handling;
        self.tell();
        times.telling = begun.elapsed() - times.handling - times.disk;
        self.count_turn(begun.elapsed(), &times);
        self.now = self.clock.elapsed().as_nanos() as Nanos;
        Ok(())
    }

    fn count_turn(&mut self, took: Duration, times: &TurnTimes) {
        self.figures.longest_turn_ms = self.figures.longest_turn_ms.max(took.as_millis() as u64);
        if took > SLOW_TURN {
            self.figures.slow_turns += 1;
            log::warn!(
                "a slow turn: {} ms, of these {} handling requests, {} on disk, {} telling {} watchers",
                took.as_millis(),
                times.handling.as_millis(),
                times.disk.as_millis(),
                times.telling.as_millis(),
                self.watchers.len()
            );
        }
    }

    fn tick(&mut self) -> Result<(), RunError> {
        self.next_tick = self.now + TICK;
        self.watchers.mark_all_ready();
        self.follower_tick();
        if self.now >= self.next_second {
            self.next_second = self.now + SECOND;
            self.writer_second()?;
            self.follower_second();
            self.close_overdue();
        }
        Ok(())
    }

    fn accept(&mut self) {
        loop {
            match self
                .connections
                .accept(crate::server::CLIENT_BOUNDS, self.now)
            {
                Ok(Some(id)) => drop(self.touched.insert(id)),
                Ok(None) => break,
                Err(error) => {
                    log::error!("a connection cannot be accepted: {error}");
                    break;
                }
            }
        }
        if let Err(error) = self.connections.arm_listener() {
            log::error!("connections cannot be listened for: {error}");
        }
    }

    fn ready(&mut self, id: ConnectionId) -> Result<(), RunError> {
        match self
            .connections
            .get_mut(id)
            .map(|connection| connection.purpose)
        {
            Some(Purpose::Client) => self.client_ready(id),
            Some(Purpose::Watch(watcher)) => self.watch_ready(id, watcher),
            Some(Purpose::WriterWatch) => self.writer_watch_ready(id)?,
            Some(Purpose::PresenceCall) => self.presence_call_ready(id),
            None => {}
        }
        Ok(())
    }
}

/// A name for a history that no other one has.
fn new_log_id() -> io::Result<LogId> {
    let number = getrandom::u64().map_err(|error| io::Error::other(error.to_string()))?;
    Ok(LogId(format!("{number:016x}")))
}
