//! Start: the parts are built, the journal is read, and the listeners are opened.

use crate::backoff::Backoff;
use crate::clock;
use crate::connection::ConnectionTable;
use crate::delivery::Runtime;
use crate::discovery::Discovery;
use crate::endpoint::Endpoints;
use crate::endpoint_list;
use crate::event_loop::Daemon;
use crate::event_loop::{NEIGHBOUR_CHECK_INTERVAL, STATUS_INTERVAL};
use crate::journal::MessageJournal;
use crate::notification::Notifications;
use crate::scope;
use crate::scope::{SAVE_EVERY, ScopeFile};
use crate::shutdown::ShutdownPhase;
use crate::signals::Signals;
use crate::slot_table::SlotTable;
use crate::start::Start;
use crate::start_retry;
use crate::timer::Timer;
use crate::timer_queue::TimerQueue;
use bellsill_core::control::Dispatcher;
use bellsill_core::interface::Settings;
use bellsill_discovery_client::{ScopedList, ScopedOptions, Watch};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::TcpListener;

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
            crate::admin::load_disabled(&start.state)
        })
        .map_err(in_folder)?;
        kept.messages.extend(adopted.messages);
        kept.pending_notifications
            .extend(adopted.pending_notifications);
        let disabled_stamp = crate::admin::disabled_stamp(&start.state);
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
}
