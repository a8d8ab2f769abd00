//! The loop: one thread that waits for sockets, signals and deadlines, and tells the decisions what happened.

use crate::backoff::Backoff;
use crate::clock;
use crate::conns::{ConnId, Conns, Role, Seen};
use crate::discovery::{Discovery, WatchTimer};
use crate::endpoint_list;
use crate::endpoints::Endpoints;
use crate::journal::{MessageJournal, Recovered};
use crate::leaving::{LET_IN_FOR, Leaving};
use crate::messages::{Due, Runtime, Stage};
use crate::notices::Notices;
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
const BESIDE_EVERY: Nanos = 100 * MS;
/// Between lines on how things stand.
const STANDING: Nanos = 10_000 * MS;

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
fn watch_of(start: &Start) -> (Watch, Option<ScopeFile>) {
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
        "the configuration of {} destinations is known, version {}",
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
fn busy() -> Nanos {
    let text = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    text.split(' ')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

/// What a dispatcher is told from outside: a byte on `wake` has it look at the two.
pub struct Told {
    pub wake: UnixStream,
    /// It is to leave.
    pub leave: Arc<AtomicBool>,
    /// It is to read its configuration again.
    pub reread: Arc<AtomicBool>,
}

impl Told {
    /// SIGTERM and SIGINT tell it to leave, SIGHUP to read its configuration again.
    pub fn by_signals() -> io::Result<Told> {
        let (wake, sender) = UnixStream::pair()?;
        let told = Told {
            wake,
            leave: Arc::default(),
            reread: Arc::default(),
        };
        for (signal, what) in [
            (SIGTERM, &told.leave),
            (SIGINT, &told.leave),
            (SIGHUP, &told.reread),
        ] {
            // In this order: whoever is woken finds what for.
            signal_hook::flag::register(signal, Arc::clone(what))?;
            signal_hook::low_level::pipe::register(signal, sender.try_clone()?)?;
        }
        Ok(told)
    }
}

pub struct Daemon {
    pub dispatcher: Dispatcher,
    pub runtime: Runtime,
    pub classes: Vec<ClassSettings>,
    /// There was no place for a client that came last.
    pub turned_away: bool,
    leave: Arc<AtomicBool>,
    reread: Arc<AtomicBool>,
    /// What the configuration was read from, and what of it only a restart takes.
    source: Option<Source>,
    fixed: Vec<(&'static str, Value)>,
    pub(crate) leaving: Leaving,
    pub(crate) told_to_leave: Nanos,
    /// Drained by an operator: `PING` says no, clients are parted with between requests; all else goes on.
    pub(crate) draining: bool,
    /// The folder that lasts.
    pub state: std::path::PathBuf,
    /// Of the list of endpoints held out there, as it was read or written last.
    pub held_stamp: Option<(u64, SystemTime)>,
    /// What calls have changed of that list and is not written yet: whether the endpoint is out.
    pub held_unwritten: BTreeMap<String, bool>,
    /// What is kept of the scoped configuration, where there is one.
    pub scope_file: Option<ScopeFile>,
}

impl Daemon {
    /// Takes up what the journal holds, and listens. Clients are answered once it runs.
    pub fn start(start: Start, told: Told) -> io::Result<Daemon> {
        let now = clock::now();
        let (watch, scope_file) = watch_of(&start);
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
        let (mut journal, mut kept) = start_retry::wait_out(&told.leave, || {
            MessageJournal::open(&start.state, journal_bytes)
        })
        .map_err(in_folder)?;
        // What an old process left is taken before clients are answered; one that still runs is looked for again.
        let (adopted, others_held) = journal.adopt();
        let held_out = start_retry::wait_out(&told.leave, || crate::mgmt::load_held(&start.state))
            .map_err(in_folder)?;
        kept.messages.extend(adopted.messages);
        kept.pending_notifications
            .extend(adopted.pending_notifications);
        let held_stamp = crate::mgmt::held_stamp(&start.state);
        let bind = start_retry::wait_out(&told.leave, || shared_listener(start.listen));
        let listener =
            bind.map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", start.listen)))?;
        // Kept for calls, the watch and notices.
        let reserve = facts.max_in_flight + 8;
        let mut daemon = Daemon {
            classes: facts.classes.clone(),
            runtime: Runtime {
                now,
                conns: Conns::new(
                    listener,
                    told.wake,
                    start.sockets,
                    reserve,
                    start.memory_bytes as usize / 2,
                )?,
                deadlines: TimerQueue::default(),
                messages: SlotTable::default(),
                slots: BTreeMap::new(),
                held_for: BTreeMap::new(),
                endpoints: Endpoints::default(),
                discovery: Discovery::new(watch, names),
                notices: Notices::new(start.discovery),
                journal,
                ended: VecDeque::new(),
                class_names,
                connect_timeout: facts.connect_timeout,
                keep_alive: boot.keep_alive,
                reports_limits: boot.reports_limits,
                bad_report_said: false,
                figures: Default::default(),
                held_out,
                recent: Default::default(),
            },
            dispatcher: Dispatcher::new(now, facts),
            turned_away: false,
            leave: told.leave,
            reread: told.reread,
            source: start.source,
            fixed: start.fixed,
            leaving: Leaving::No,
            told_to_leave: 0,
            draining: false,
            held_stamp,
            held_unwritten: BTreeMap::new(),
            scope_file,
            state: start.state.clone(),
        };
        if let Some(mgmt) = start.mgmt {
            let bind = start_retry::wait_out(&daemon.leave, || TcpListener::bind(mgmt));
            let bind = bind.and_then(|listener| daemon.runtime.conns.listen_mgmt(listener));
            bind.map_err(|e| io::Error::new(e.kind(), format!("mgmt: {mgmt}: {e}")))?;
            log::info!("operators' calls on {mgmt}");
            daemon
                .runtime
                .deadlines
                .set(Due::HeldOut, now + BESIDE_EVERY);
        }
        daemon.list_known(&start.known);
        let (discovery, mut io) = daemon.runtime.watch();
        discovery.start(&mut io, boot.drain_grace);
        daemon.recover(kept);
        daemon.runtime.deadlines.set(Due::Standing, now + STANDING);
        if daemon.scope_file.is_some() {
            daemon
                .runtime
                .deadlines
                .set(Due::SaveScope, now + SAVE_EVERY);
        }
        if others_held {
            daemon.runtime.deadlines.set(Due::Adopt, now + BESIDE_EVERY);
        }
        daemon.settle();
        daemon.runtime.send_notices();
        log::info!(
            "{} listens on {}, {} messages held",
            start.name,
            start.listen,
            daemon.runtime.messages.len()
        );
        Ok(daemon)
    }

    /// Something happened on a connection of the watch.
    fn watch_ready(&mut self, id: ConnId) {
        let (discovery, mut io) = self.runtime.watch();
        let received = discovery.conn_ready(&mut io, id);
        self.apply_changes(&received.looked_up);
        for document in received.documents {
            if self.scope_file.is_none() {
                self.list_document(&document);
            } else if !self.scoped_document(id, &document) {
                break;
            }
        }
        let (discovery, mut io) = self.runtime.watch();
        discovery.go_on(&mut io, id);
    }

    /// A document of a plain watch.
    fn list_document(&mut self, document: &[u8]) {
        match serde_json::from_slice::<Value>(document) {
            Ok(json) => self.list(&json),
            Err(e) => log::warn!("discovery: a line that is no JSON was skipped: {e}"),
        }
    }

    /// A document of a scoped watch. False: it could not be applied, and the connection is closed.
    fn scoped_document(&mut self, id: ConnId, document: &[u8]) -> bool {
        let (discovery, mut io) = self.runtime.watch();
        let applied = discovery.apply(&mut io, id, document);
        match &applied {
            Ok(applied) => self.apply_changes(applied),
            Err(e) => {
                log::warn!(
                    "configuration: a line was not taken, another control process is asked: {e}"
                )
            }
        }
        applied.is_ok()
    }

    /// The endpoints that are known at the start: of the scoped configuration those that it kept, else those that the
    /// platform's file names.
    fn list_known(&mut self, known: &Value) {
        let Some(list) = self.runtime.discovery.scoped_list() else {
            return self.list(known);
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
    fn list(&mut self, json: &Value) {
        if let Some(list) = endpoint_list::read(json, self.runtime.discovery.names()) {
            self.apply_list(&list);
        }
    }

    /// Messages go back to the decisions with their past; notices are owed until they are answered.
    fn recover(&mut self, kept: Recovered) {
        for id in self.runtime.journal.take_resolved() {
            self.runtime.recent.note(self.runtime.now, id);
        }
        for (id, ending) in kept.pending_notifications {
            self.runtime.notices.owe(id, ending);
        }
        // One met twice, in two journals, is taken once.
        let mut kept = Recovered {
            pending_notifications: Vec::new(),
            ..kept
        };
        kept.messages
            .retain(|m| !self.runtime.slots.contains_key(&m.id));
        for message in &kept.messages {
            self.runtime.hold(message.clone());
        }
        for message in &kept.messages {
            if self.look_up(message.destination).is_err() {
                log::warn!(
                    "destination {} cannot be looked up, all in the cache are in use",
                    message.destination
                );
            }
        }
        let known =
            |m: &crate::journal::JournaledMessage| self.runtime.class_of(&m.class).is_some();
        let (known, unknown): (Vec<_>, Vec<_>) = kept.messages.into_iter().partition(known);
        for message in unknown {
            if let Some(&slot) = self.runtime.slots.get(&message.id) {
                log::warn!(
                    "message {:016x} is of no class that is known now",
                    message.id.0
                );
                self.runtime.shift(slot, Stage::Bounced);
            }
        }
        if !known.is_empty() {
            self.decide_on(&known);
        }
    }

    /// Runs until it is told to leave and has left.
    pub fn run(&mut self) -> io::Result<()> {
        while self.leaving != Leaving::Gone {
            self.turn()?;
        }
        self.save_scope();
        log::info!(
            "left, {} messages held for the next process",
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
        let seen = self.runtime.conns.wait(wait.map(Duration::from_nanos))?;
        for what in seen {
            self.runtime.now = clock::now();
            match what {
                Seen::Listener => drop(self.let_in()),
                Seen::Mgmt => self.let_callers_in(),
                Seen::Signals => self.told()?,
                Seen::Conn(id) => self.ready(id),
            }
            self.settle();
        }
        self.runtime.now = clock::now();
        let mut wake = false;
        while let Some(due) = self.runtime.deadlines.pop_expired(self.runtime.now) {
            // After a stand-still much is due at once: woken first, the decisions would take attempts for out that have
            // had their time, and bounce what never ran.
            wake |= due == Due::Wake;
            if due != Due::Wake {
                self.fell_due(due);
                self.settle();
            }
        }
        if wake {
            self.fell_due(Due::Wake);
            self.settle();
        }
        self.runtime.watch_journal();
        self.runtime.send_notices();
        if self.may_end() {
            self.leaving = Leaving::Gone;
        }
        Ok(())
    }

    /// Tells the decisions of the outcomes that became known while they were at work.
    fn settle(&mut self) {
        while let Some(end) = self.runtime.ended.pop_front() {
            if self.leaving < Leaving::Ending {
                self.dispatcher
                    .attempt_ended(self.runtime.now, end, &mut self.runtime);
            }
        }
    }

    fn ready(&mut self, id: ConnId) {
        match self.runtime.conns.get(id).map(|c| c.role) {
            Some(Role::Client) => {
                self.client_ready(id);
                self.part(id);
            }
            Some(Role::Endpoint(_)) => self.endpoint_ready(id),
            Some(Role::Watch) => self.watch_ready(id),
            Some(Role::Notices) => self.runtime.notices_ready(id),
            Some(Role::Caller) => self.caller_ready(id),
            None => {}
        }
    }

    fn fell_due(&mut self, due: Due) {
        let runtime = &mut self.runtime;
        let now = runtime.now;
        match due {
            Due::Wake if self.leaving < Leaving::Ending => self.dispatcher.wakeup(now, runtime),
            Due::Wake => {}
            Due::Call(slot) => runtime.break_call(slot, Outcome::TimedOut),
            Due::Conn(id) => match runtime.conns.get(id).map(|c| c.role) {
                Some(Role::Endpoint(_)) => match runtime.endpoints.calls.get(&id) {
                    Some(&slot) if runtime.endpoints.answers.contains_key(&id) => {
                        runtime.break_call(slot, Outcome::MalformedResponse)
                    }
                    Some(&slot) => runtime.break_call(slot, Outcome::ConnectFailed),
                    None => runtime.drop_idle(id),
                },
                Some(Role::Watch) => runtime.watch_timer(WatchTimer::Conn(id)),
                Some(Role::Notices) => runtime.notices_broke(),
                Some(Role::Caller) => runtime.close_caller(id),
                Some(Role::Client) => self.client_overdue(id),
                None => {}
            },
            Due::Read(id) => self.ready(id),
            Due::Watch => runtime.watch_timer(WatchTimer::Reconnect),
            Due::SaveScope => {
                runtime.deadlines.set(Due::SaveScope, now + SAVE_EVERY);
                self.save_scope();
            }
            Due::LookUp => runtime.watch_timer(WatchTimer::LookUp),
            Due::Notices => runtime.notices_rested(),
            Due::Journal => runtime.catch_up_journal(),
            Due::Accept => drop(self.let_in()),
            Due::Leave => self.leave_on(),
            Due::Adopt => {
                let (kept, again) = runtime.journal.adopt();
                if again {
                    runtime.deadlines.set(Due::Adopt, now + BESIDE_EVERY);
                }
                self.recover(kept);
            }
            Due::HeldOut => {
                runtime.deadlines.set(Due::HeldOut, now + BESIDE_EVERY);
                self.heed_held_out();
            }
            Due::Standing => {
                let out = runtime
                    .messages
                    .iter()
                    .filter(|(_, m)| m.call.is_some())
                    .count();
                let (held, owed, open) = (
                    runtime.messages.len(),
                    runtime.notices.owed(),
                    runtime.conns.len(),
                );
                let busy = busy() / MS;
                log::info!(
                    "standing: {held} messages held, {out} out, {owed} notices owed, {open} connections, busy for {busy} ms"
                );
                runtime.deadlines.set(Due::Standing, now + STANDING);
            }
        }
    }

    fn told(&mut self) -> io::Result<()> {
        self.runtime.conns.take_signals()?;
        if self.reread.swap(false, Ordering::SeqCst) {
            self.read_again();
        }
        if self.leave.load(Ordering::SeqCst) && self.leaving == Leaving::No {
            log::info!(
                "told to leave, {} messages held",
                self.runtime.messages.len()
            );
            self.leaving = Leaving::Told;
            self.told_to_leave = self.runtime.now;
            self.runtime
                .deadlines
                .set(Due::Leave, self.told_to_leave + LET_IN_FOR);
        }
        Ok(())
    }

    /// Reads the configuration again. A bad one is not taken: a half-written file must not end a dispatcher that serves.
    fn read_again(&mut self) {
        let Some(Source { file, state }) = self.source.clone() else {
            return;
        };
        let new = match start::read(&file, state) {
            Ok(new) => new,
            Err(e) => {
                self.runtime.figures.reload_errors += 1;
                return log::error!("the new configuration is not taken: {e}");
            }
        };
        self.runtime.figures.reloads += 1;
        for ((field, old), (_, new)) in self.fixed.iter().zip(&new.fixed) {
            if old != new {
                log::warn!(
                    "the new configuration: another `{field}` needs a restart, the old one stays"
                );
            }
        }
        log::info!(
            "the configuration was read again, discovery is at {}",
            new.discovery
        );
        let (discovery, mut io) = self.runtime.watch();
        discovery.relocate(&mut io, new.discovery);
        self.runtime.notify_at(new.discovery);
    }
}
