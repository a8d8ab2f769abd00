//! The loop: one thread that waits for sockets, signals and deadlines, and tells the decisions what happened.

use crate::backoff::Backoff;
use crate::clock;
use crate::conns::{ConnectionId, ConnectionTable, PollEvent, Role};
use crate::discovery::{Discovery, WatchTimer};
use crate::endpoint_list;
use crate::endpoints::Endpoints;
use crate::journal::{MessageJournal, Recovered};
use crate::leaving::{ACCEPT_CLIENTS_FOR, ShutdownPhase};
use crate::messages::{DeliveryState, Runtime, Timer};
use crate::notices::Notifications;
use crate::scope::{self, SAVE_EVERY, ScopeFile};
use crate::slot_table::SlotTable;
use crate::start::{self, Source, Start};
use crate::start_retry;
use crate::timer_queue::TimerQueue;
use bellsill_core::control::Dispatcher;
use bellsill_core::interface::*;
use bellsill_discovery_client::{Applied, ScopedList, ScopedOptions, Watch};
use serde_json::Value;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

const MS: Nanos = 1_000_000;
/// Between looks at what a process beside this one does in the folder: the journal that it still holds, and the endpoints
/// that it was told to hold out.
const NEIGHBOUR_CHECK_INTERVAL: Nanos = 100 * MS;
/// Between lines on how things stand.
const STATUS_INTERVAL: Nanos = 10_000 * MS;

/// The clients' listener, which a new version of the dispatcher shares while the old one ends.
fn shared_listener(at: std::net::SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(at),
        socket2::Type::STREAM,
        None,
    )?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&at.into())?;
    socket.listen(1024)?;
    Ok(socket.into())
}

/// The watch that a dispatcher keeps, and for a part of the configuration the file in which that lasts.
fn build_watch(start: &Start) -> (Watch, Option<ScopeFile>) {
    let facts = &start.boot.settings;
    let Some(installation) = &start.installation else {
        let backoff = Backoff::new(facts.seed, facts.dispatchers);
        return (Watch::plain(start.discovery, backoff), None);
    };
    let mut file = ScopeFile::new(&start.state, &installation.dispatcher, start.disk_bytes);
    let list = file.load(installation).unwrap_or_else(|| {
        let mut list =
            ScopedList::new(installation.layout.clone(), installation.cache_destinations);
        let known = endpoint_list::read(&start.known, &start.boot.names);
        known
            .iter()
            .for_each(|known| list.adopt(scope::entries_of(known)));
        list
    });
    log::info!(
        "loaded the configuration of {} destinations, version {}",
        list.len(),
        list.version().0
    );
    let options = ScopedOptions {
        dispatcher: installation.dispatcher.clone(),
        servers: installation.control.clone(),
        seed: facts.seed,
    };
    (Watch::scoped(options, list), Some(file))
}

/// How long this process has been on a processor, as far as the system tells.
fn cpu_time() -> Nanos {
    let text = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    text.split(' ')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

/// What a dispatcher is told from outside: a byte on `wake` has it look at the two.
pub struct Signals {
    pub wake: UnixStream,
    /// It is to leave.
    pub shutdown: Arc<AtomicBool>,
    /// It is to read its configuration again.
    pub reload: Arc<AtomicBool>,
}

impl Signals {
    /// SIGTERM and SIGINT tell it to leave, SIGHUP to read its configuration again.
    pub fn install() -> io::Result<Signals> {
        let (wake, sender) = UnixStream::pair()?;
        let signals = Signals {
            wake,
            shutdown: Arc::default(),
            reload: Arc::default(),
        };
        for (signal, what) in [
            (SIGTERM, &signals.shutdown),
            (SIGINT, &signals.shutdown),
            (SIGHUP, &signals.reload),
        ] {
            // In this order: whoever is woken finds what for.
            signal_hook::flag::register(signal, Arc::clone(what))?;
            signal_hook::low_level::pipe::register(signal, sender.try_clone()?)?;
        }
        Ok(signals)
    }
}

pub struct Daemon {
    pub dispatcher: Dispatcher,
    pub runtime: Runtime,
    pub classes: Vec<ClassSettings>,
    /// There was no place for a client that came last.
    pub at_client_limit: bool,
    shutdown_requested: Arc<AtomicBool>,
    reload_requested: Arc<AtomicBool>,
    /// What the configuration was read from, and what of it only a restart takes.
    source: Option<Source>,
    fixed: Vec<(&'static str, Value)>,
    pub(crate) shutdown_phase: ShutdownPhase,
    pub(crate) shutdown_requested_at: Nanos,
    /// Drained by an operator: `PING` says no, clients are parted with between requests; all else goes on.
    pub(crate) draining: bool,
    /// The folder that lasts.
    pub state_folder: std::path::PathBuf,
    /// Of the list of endpoints held out there, as it was read or written last.
    pub disabled_stamp: Option<(u64, SystemTime)>,
    /// What calls have changed of that list and is not written yet: whether the endpoint is out.
    pub unsaved_disabled: BTreeMap<String, bool>,
    /// What is kept of the scoped configuration, where there is one.
    pub scope_file: Option<ScopeFile>,
}

impl Daemon {
    /// Takes up what the journal holds, and listens. Clients are answered once it runs.
    pub fn start(start: Start, signals: Signals) -> io::Result<Daemon> {
        let now = clock::now();
        let (watch, scope_file) = build_watch(&start);
        let boot = start.boot;
        let (facts, names) = (
            Settings {
                caller_admission: true,
                ..boot.settings
            },
            boot.names,
        );
        let class_names = names.classes.clone();
        let journal_bytes = match scope_file {
            Some(_) => scope::disk_left(start.disk_bytes),
            None => start.disk_bytes,
        };
        let in_folder =
            |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", start.state.display()));
        let (mut journal, mut kept) = start_retry::wait_out(&signals.shutdown, || {
            MessageJournal::open(&start.state, journal_bytes)
        })
        .map_err(in_folder)?;
        // What an old process left is taken before clients are answered; one that still runs is looked for again.
        let (adopted, others_held) = journal.adopt();
        let disabled = start_retry::wait_out(&signals.shutdown, || {
            crate::mgmt::load_disabled(&start.state)
        })
        .map_err(in_folder)?;
        kept.messages.extend(adopted.messages);
        kept.pending_notifications
            .extend(adopted.pending_notifications);
        let disabled_stamp = crate::mgmt::disabled_stamp(&start.state);
        let bind = start_retry::wait_out(&signals.shutdown, || shared_listener(start.listen));
        let listener =
            bind.map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", start.listen)))?;
        // Kept for calls, the watch and notifications.
        let reserve = facts.max_in_flight + 8;
        let mut daemon = Daemon {
            classes: facts.classes.clone(),
            runtime: Runtime {
                now,
                connections: ConnectionTable::new(
                    listener,
                    signals.wake,
                    start.sockets,
                    reserve,
                    start.memory_bytes as usize / 2,
                )?,
                deadlines: TimerQueue::default(),
                messages: SlotTable::default(),
                by_id: BTreeMap::new(),
                pending_by_destination: BTreeMap::new(),
                endpoints: Endpoints::default(),
                discovery: Discovery::new(watch, names),
                notifications: Notifications::new(start.discovery),
                journal,
                attempt_ends: VecDeque::new(),
                class_names,
                connect_timeout: facts.connect_timeout,
                keep_alive: boot.keep_alive,
                reports_limits: boot.reports_limits,
                invalid_report_logged: false,
                metrics: Default::default(),
                disabled,
                recently_ended: Default::default(),
            },
            dispatcher: Dispatcher::new(now, facts),
            at_client_limit: false,
            shutdown_requested: signals.shutdown,
            reload_requested: signals.reload,
            source: start.source,
            fixed: start.fixed,
            shutdown_phase: ShutdownPhase::Running,
            shutdown_requested_at: 0,
            draining: false,
            disabled_stamp,
            unsaved_disabled: BTreeMap::new(),
            scope_file,
            state_folder: start.state.clone(),
        };
        if let Some(mgmt) = start.mgmt {
            let bind =
                start_retry::wait_out(&daemon.shutdown_requested, || TcpListener::bind(mgmt));
            let bind = bind.and_then(|listener| daemon.runtime.connections.listen_admin(listener));
            bind.map_err(|e| io::Error::new(e.kind(), format!("mgmt: {mgmt}: {e}")))?;
            log::info!("admin requests are served on {mgmt}");
            daemon
                .runtime
                .deadlines
                .set(Timer::DisabledEndpoints, now + NEIGHBOUR_CHECK_INTERVAL);
        }
        daemon.apply_known_list(&start.known);
        let (discovery, mut io) = daemon.runtime.watch();
        discovery.start(&mut io, boot.drain_grace);
        daemon.recover(kept);
        daemon
            .runtime
            .deadlines
            .set(Timer::StatusLog, now + STATUS_INTERVAL);
        if daemon.scope_file.is_some() {
            daemon
                .runtime
                .deadlines
                .set(Timer::SaveScope, now + SAVE_EVERY);
        }
        if others_held {
            daemon
                .runtime
                .deadlines
                .set(Timer::AdoptJournals, now + NEIGHBOUR_CHECK_INTERVAL);
        }
        daemon.settle();
        daemon.runtime.send_notifications();
        log::info!(
            "{} listens on {}, {} messages pending",
            start.name,
            start.listen,
            daemon.runtime.messages.len()
        );
        Ok(daemon)
    }

    /// Something happened on a connection of the watch.
    fn watch_ready(&mut self, id: ConnectionId) {
        let (discovery, mut io) = self.runtime.watch();
        let received = discovery.connection_ready(&mut io, id);
        self.apply_changes(&received.looked_up);
        for document in received.documents {
            if self.scope_file.is_none() {
                self.apply_plain_document(&document);
            } else if !self.apply_scoped_document(id, &document) {
                break;
            }
        }
        let (discovery, mut io) = self.runtime.watch();
        discovery.flush(&mut io, id);
    }

    /// A document of a plain watch.
    fn apply_plain_document(&mut self, document: &[u8]) {
        match serde_json::from_slice::<Value>(document) {
            Ok(json) => self.apply_json_list(&json),
            Err(e) => log::warn!("discovery: skipped a line that is not valid JSON: {e}"),
        }
    }

    /// A document of a scoped watch. False: it could not be applied, and the connection is closed.
    fn apply_scoped_document(&mut self, id: ConnectionId, document: &[u8]) -> bool {
        let (discovery, mut io) = self.runtime.watch();
        let applied = discovery.apply(&mut io, id, document);
        match &applied {
            Ok(applied) => self.apply_changes(applied),
            Err(e) => {
                log::warn!(
                    "configuration: rejected a line, reconnecting to another control process: {e}"
                )
            }
        }
        applied.is_ok()
    }

    /// The endpoints that are known at the start: of the scoped configuration those that it kept, else those that the
    /// platform's file names.
    fn apply_known_list(&mut self, known: &Value) {
        let Some(list) = self.runtime.discovery.scoped_list() else {
            return self.apply_json_list(known);
        };
        let entries = Applied {
            changed: list.entries().cloned().collect(),
            ..Applied::default()
        };
        self.apply_changes(&entries);
    }

    /// Saves what is kept of the scoped configuration.
    fn save_scope(&mut self) {
        if let (Some(file), Some(list)) =
            (&mut self.scope_file, self.runtime.discovery.scoped_list())
        {
            file.save(list);
        }
    }

    /// A list as discovery writes it.
    fn apply_json_list(&mut self, json: &Value) {
        if let Some(list) = endpoint_list::read(json, self.runtime.discovery.names()) {
            self.apply_list(&list);
        }
    }

    /// Messages go back to the decisions with their past; notifications are owed until they are answered.
    fn recover(&mut self, kept: Recovered) {
        for id in self.runtime.journal.take_resolved() {
            self.runtime.recently_ended.note(self.runtime.now, id);
        }
        for (id, ending) in kept.pending_notifications {
            self.runtime.notifications.enqueue(id, ending);
        }
        // One met twice, in two journals, is taken once.
        let mut kept = Recovered {
            pending_notifications: Vec::new(),
            ..kept
        };
        kept.messages
            .retain(|m| !self.runtime.by_id.contains_key(&m.id));
        for message in &kept.messages {
            self.runtime.insert(message.clone());
        }
        for message in &kept.messages {
            if self.look_up(message.destination).is_err() {
                log::warn!(
                    "destination {} cannot be looked up: every cache entry is in use",
                    message.destination
                );
            }
        }
        let known =
            |m: &crate::journal::JournaledMessage| self.runtime.class_of(&m.class).is_some();
        let (known, unknown): (Vec<_>, Vec<_>) = kept.messages.into_iter().partition(known);
        for message in unknown {
            if let Some(&slot) = self.runtime.by_id.get(&message.id) {
                log::warn!(
                    "message {:016x}: its queue class is not configured any more",
                    message.id.0
                );
                self.runtime.transition(slot, DeliveryState::Failed);
            }
        }
        if !known.is_empty() {
            self.decide_on(&known);
        }
    }

    /// Runs until it is told to leave and has left.
    pub fn run(&mut self) -> io::Result<()> {
        while self.shutdown_phase != ShutdownPhase::Finished {
            self.turn()?;
        }
        self.save_scope();
        log::info!(
            "shutdown complete, {} messages left in the journal for the next process",
            self.runtime.messages.len()
        );
        Ok(())
    }

    fn turn(&mut self) -> io::Result<()> {
        let wait = self
            .runtime
            .deadlines
            .next_deadline()
            .map(|at| at.saturating_sub(clock::now()));
        let seen = self
            .runtime
            .connections
            .wait(wait.map(Duration::from_nanos))?;
        for what in seen {
            self.runtime.now = clock::now();
            match what {
                PollEvent::ClientListener => drop(self.accept_clients()),
                PollEvent::AdminListener => self.accept_admin_connections(),
                PollEvent::Signals => self.handle_signals()?,
                PollEvent::Connection(id) => self.ready(id),
            }
            self.settle();
        }
        self.runtime.now = clock::now();
        let mut wake = false;
        while let Some(due) = self.runtime.deadlines.pop_expired(self.runtime.now) {
            // After a stand-still much is due at once: woken first, the decisions would take attempts for out that have
            // had their time, and bounce what never ran.
            wake |= due == Timer::Wakeup;
            if due != Timer::Wakeup {
                self.timer_expired(due);
                self.settle();
            }
        }
        if wake {
            self.timer_expired(Timer::Wakeup);
            self.settle();
        }
        self.runtime.watch_journal();
        self.runtime.send_notifications();
        if self.shutdown_complete() {
            self.shutdown_phase = ShutdownPhase::Finished;
        }
        Ok(())
    }

    /// Tells the decisions of the outcomes that became known while they were at work.
    fn settle(&mut self) {
        while let Some(end) = self.runtime.attempt_ends.pop_front() {
            if self.shutdown_phase < ShutdownPhase::FinishingAttempts {
                self.dispatcher
                    .attempt_ended(self.runtime.now, end, &mut self.runtime);
            }
        }
    }

    fn ready(&mut self, id: ConnectionId) {
        match self.runtime.connections.get(id).map(|c| c.role) {
            Some(Role::Client) => {
                self.client_ready(id);
                self.close_if_done(id);
            }
            Some(Role::Endpoint(_)) => self.endpoint_ready(id),
            Some(Role::Watch) => self.watch_ready(id),
            Some(Role::Notifications) => self.runtime.notification_ready(id),
            Some(Role::Admin) => self.admin_ready(id),
            None => {}
        }
    }

    fn timer_expired(&mut self, due: Timer) {
        let runtime = &mut self.runtime;
        let now = runtime.now;
        match due {
            Timer::Wakeup if self.shutdown_phase < ShutdownPhase::FinishingAttempts => {
                self.dispatcher.wakeup(now, runtime)
            }
            Timer::Wakeup => {}
            Timer::Attempt(slot) => runtime.abort_attempt(slot, Outcome::TimedOut),
            Timer::Connection(id) => match runtime.connections.get(id).map(|c| c.role) {
                Some(Role::Endpoint(_)) => match runtime.endpoints.attempts.get(&id) {
                    Some(&slot) if runtime.endpoints.responses.contains_key(&id) => {
                        runtime.abort_attempt(slot, Outcome::MalformedResponse)
                    }
                    Some(&slot) => runtime.abort_attempt(slot, Outcome::ConnectFailed),
                    None => runtime.close_idle(id),
                },
                Some(Role::Watch) => runtime.watch_timer(WatchTimer::Connection(id)),
                Some(Role::Notifications) => runtime.notification_failed(),
                Some(Role::Admin) => runtime.close_admin(id),
                Some(Role::Client) => self.client_overdue(id),
                None => {}
            },
            Timer::ReadClient(id) => self.ready(id),
            Timer::WatchReconnect => runtime.watch_timer(WatchTimer::Reconnect),
            Timer::SaveScope => {
                runtime.deadlines.set(Timer::SaveScope, now + SAVE_EVERY);
                self.save_scope();
            }
            Timer::LookupRetry => runtime.watch_timer(WatchTimer::LookupRetry),
            Timer::NotificationRetry => runtime.end_notification_backoff(),
            Timer::JournalRetry => runtime.retry_journal(),
            Timer::AcceptClients => drop(self.accept_clients()),
            Timer::ShutdownPhase => self.advance_shutdown(),
            Timer::AdoptJournals => {
                let (kept, again) = runtime.journal.adopt();
                if again {
                    runtime
                        .deadlines
                        .set(Timer::AdoptJournals, now + NEIGHBOUR_CHECK_INTERVAL);
                }
                self.recover(kept);
            }
            Timer::DisabledEndpoints => {
                runtime
                    .deadlines
                    .set(Timer::DisabledEndpoints, now + NEIGHBOUR_CHECK_INTERVAL);
                self.refresh_disabled();
            }
            Timer::StatusLog => {
                let in_flight = runtime
                    .messages
                    .iter()
                    .filter(|(_, m)| m.attempt.is_some())
                    .count();
                let (pending, notifications, open) = (
                    runtime.messages.len(),
                    runtime.notifications.pending(),
                    runtime.connections.len(),
                );
                let cpu_ms = cpu_time() / MS;
                log::info!(
                    "status: {pending} messages pending, {in_flight} in flight, {notifications} notifications pending, \
                     {open} connections, {cpu_ms} ms of CPU time"
                );
                runtime
                    .deadlines
                    .set(Timer::StatusLog, now + STATUS_INTERVAL);
            }
        }
    }

    fn handle_signals(&mut self) -> io::Result<()> {
        self.runtime.connections.drain_signals()?;
        if self.reload_requested.swap(false, Ordering::SeqCst) {
            self.reload();
        }
        if self.shutdown_requested.load(Ordering::SeqCst)
            && self.shutdown_phase == ShutdownPhase::Running
        {
            log::info!(
                "shutdown requested, {} messages pending",
                self.runtime.messages.len()
            );
            self.shutdown_phase = ShutdownPhase::AcceptingClients;
            self.shutdown_requested_at = self.runtime.now;
            self.runtime.deadlines.set(
                Timer::ShutdownPhase,
                self.shutdown_requested_at + ACCEPT_CLIENTS_FOR,
            );
        }
        Ok(())
    }

    /// Reads the configuration again. A bad one is not taken: a half-written file must not end a dispatcher that serves.
    fn reload(&mut self) {
        let Some(Source { file, state }) = self.source.clone() else {
            return;
        };
        let new = match start::read(&file, state) {
            Ok(new) => new,
            Err(e) => {
                self.runtime.metrics.reload_errors += 1;
                return log::error!("configuration not reloaded: {e}");
            }
        };
        self.runtime.metrics.reloads += 1;
        for ((field, old), (_, new)) in self.fixed.iter().zip(&new.fixed) {
            if old != new {
                log::warn!(
                    "configuration reload: `{field}` has changed but needs a restart, the old value stays in force"
                );
            }
        }
        log::info!("configuration reloaded, discovery is at {}", new.discovery);
        let (discovery, mut io) = self.runtime.watch();
        discovery.relocate(&mut io, new.discovery);
        self.runtime.set_notification_address(new.discovery);
    }
}
