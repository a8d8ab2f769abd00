//! Startup: builds the components, reads the journal and opens the listeners.

use crate::admin::{DisabledFile, load_disabled};
use crate::backoff::Backoff;
use crate::client::CLIENT_BUFFER_BYTES;
use crate::clock;
use crate::connection::{ConnectionLimits, ConnectionTable};
use crate::delivery::{AdoptionStatus, AttemptSettings, Delivery, Runtime};
use crate::discovery::Discovery;
use crate::endpoint_list;
use crate::journal::{MessageJournal, Recovered};
use crate::notification::Notifications;
use crate::reload::Configuration;
use crate::scope::{self, SAVE_INTERVAL, ScopeFile};
use crate::signals::{SignalFlags, Signals};
use crate::start::StartConfig;
use crate::start_retry;
use crate::timer::{SHARED_STATE_CHECK_INTERVAL, STATUS_INTERVAL, Timer};
use crate::update_log::{Record, UpdateLog};
use bellsill_core::interface::Settings;
use bellsill_discovery_client::{ScopedList, ScopedOptions, Watch};
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;

/// Length of the kernel's accept queue for client connections.
const LISTEN_BACKLOG: i32 = 1024;
/// Sockets reserved for the watch, notifications and lookups, in addition to those reserved for attempts. Client
/// connections cannot use them.
const RESERVED_DISCOVERY_SOCKETS: usize = 8;

/// The components that the event loop runs.
pub(crate) struct Components {
    pub(crate) delivery: Delivery,
    pub(crate) disabled_file: DisabledFile,
    /// `None` if discovery sends the complete configuration.
    pub(crate) scope_file: Option<ScopeFile>,
    pub(crate) configuration: Configuration,
    pub(crate) flags: SignalFlags,
}

/// The state that was read from the state directory.
struct StoredState {
    journal: MessageJournal,
    recovered: Recovered,
    adoption: AdoptionStatus,
    disabled: BTreeSet<String>,
}

/// Builds the components and opens the listeners. Clients are served only once the event loop runs.
pub(crate) fn build(config: StartConfig, signals: Signals) -> io::Result<Components> {
    let now = clock::now();
    let (wake, flags) = signals.split();
    let (watch, scope_file) = build_watch(&config, &flags);
    let (updates, recorded) = open_updates(&config, &flags, scope_file.is_some())?;
    let stored = read_state(&config, &flags, scope_file.is_some())?;
    let disabled_file = DisabledFile::new(&config.state);
    let mut runtime = Runtime::new(
        now,
        listen(&config, &flags, &wake)?,
        stored.journal,
        Notifications::new(config.discovery),
        AttemptSettings {
            connect_timeout: config.platform.settings.connect_timeout,
            keep_alive: config.platform.keep_alive,
            reports_limits: config.platform.reports_limits,
        },
    );
    if let Some(addr) = config.mgmt {
        listen_admin(&mut runtime, addr, &flags)?;
    }
    let settings = Settings {
        caller_admission: true,
        ..config.platform.settings
    };
    let discovery = Discovery::new(watch, config.platform.names);
    let mut delivery = Delivery::new(settings, discovery, runtime, stored.disabled, updates);
    match &config.installation {
        None => delivery.apply_initial_list(&config.known, &recorded),
        Some(installation) => delivery.apply_initial_scope(installation, &recorded),
    }
    delivery.start_watch(config.platform.drain_grace);
    delivery.recover(stored.recovered);
    set_timers(&mut delivery.runtime, scope_file.is_some(), stored.adoption);
    delivery.report_attempt_ends();
    delivery.runtime.send_notifications();
    log::info!(
        "{}: listening on {}, {} messages pending",
        config.name,
        config.listen,
        delivery.runtime.messages().len()
    );
    Ok(Components {
        delivery,
        disabled_file,
        scope_file,
        configuration: Configuration::new(config.source, config.restart_only),
        flags,
    })
}

/// Opens the update log, and reads what earlier processes have recorded.
fn open_updates(
    config: &StartConfig,
    flags: &SignalFlags,
    has_scope_file: bool,
) -> io::Result<(UpdateLog, Vec<Record>)> {
    let open = if has_scope_file {
        UpdateLog::of_scope
    } else {
        UpdateLog::of_endpoints
    };
    let mut updates = open(&config.state, config.disk_bytes, &config.known);
    let operation = "read the recorded updates of the configuration";
    let recorded = start_retry::retry_transient(flags.shutdown(), operation, || updates.load())
        .map_err(|e| add_operation(operation, &e))?;
    Ok((updates, recorded))
}

fn set_timers(runtime: &mut Runtime, has_scope_file: bool, adoption: AdoptionStatus) {
    let (now, timers) = (runtime.now, &mut runtime.timers);
    timers.set(Timer::StatusLog, now + STATUS_INTERVAL);
    if has_scope_file {
        timers.set(Timer::SaveConfiguration, now + SAVE_INTERVAL);
    }
    timers.set(Timer::AdoptJournals, now + adoption.check_interval());
}

/// Creates the watch on the configuration, and the scope file if the dispatcher holds only a part of the configuration.
fn build_watch(config: &StartConfig, flags: &SignalFlags) -> (Watch, Option<ScopeFile>) {
    let settings = &config.platform.settings;
    let Some(installation) = &config.installation else {
        let backoff = Backoff::new(settings.seed, settings.dispatchers);
        return (Watch::plain(config.discovery, backoff), None);
    };
    let mut file = ScopeFile::new(&config.state, &installation.dispatcher, config.disk_bytes);
    let read =
        start_retry::retry_transient(flags.shutdown(), "read the scope file", || file.read());
    let list = file.load(read, installation).unwrap_or_else(|| {
        let mut list =
            ScopedList::new(installation.layout.clone(), installation.cache_destinations);
        if let Some(known) = endpoint_list::read(&config.known, &config.platform.names) {
            list.import_entries(endpoint_list::to_entries(&known));
        }
        list
    });
    log::info!(
        "loaded the configuration: {} destinations, version {}",
        list.len(),
        list.version().0
    );
    let options = ScopedOptions {
        dispatcher: installation.dispatcher.clone(),
        servers: installation.control.clone(),
        seed: settings.seed,
    };
    (Watch::scoped(options, list), Some(file))
}

/// Reads the journal and the disabled endpoints. Adopts the journals of processes that have exited before any client is
/// served; the journals of a process that is still running are checked again later.
fn read_state(
    config: &StartConfig,
    flags: &SignalFlags,
    has_scope_file: bool,
) -> io::Result<StoredState> {
    let journal_bytes = if has_scope_file {
        scope::remaining_disk_bytes(config.disk_bytes)
    } else {
        config.disk_bytes
    };
    let state = config.state.display();
    let open_journal = format!("open the message journal in the state directory {state}");
    let (mut journal, mut recovered) =
        start_retry::retry_transient(flags.shutdown(), &open_journal, || {
            MessageJournal::open(&config.state, journal_bytes)
        })
        .map_err(|e| add_operation(&open_journal, &e))?;
    let adopted = journal.adopt();
    let load = format!("load the list of disabled endpoints in the state directory {state}");
    let disabled =
        start_retry::retry_transient(flags.shutdown(), &load, || load_disabled(&config.state))
            .map_err(|e| add_operation(&load, &e))?;
    recovered.extend(adopted.recovered);
    Ok(StoredState {
        journal,
        recovered,
        adoption: AdoptionStatus::from_incomplete(adopted.is_incomplete),
        disabled,
    })
}

/// Adds the failed operation to the text of an I/O error.
fn add_operation(operation: &str, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("cannot {operation}: {error}"))
}

/// Opens the client listener.
fn listen(
    config: &StartConfig,
    flags: &SignalFlags,
    wake: &UnixStream,
) -> io::Result<ConnectionTable> {
    let operation = format!("listen for clients on {}", config.listen);
    let client_bytes = config.memory_bytes as usize / 2;
    let limits = ConnectionLimits::new(
        config.sockets,
        config.platform.settings.max_in_flight + RESERVED_DISCOVERY_SOCKETS,
        client_bytes / CLIENT_BUFFER_BYTES,
    );
    start_retry::retry_transient(flags.shutdown(), &operation, || {
        ConnectionTable::new(shared_listener(config.listen)?, wake.try_clone()?, limits)
    })
    .map_err(|e| add_operation(&operation, &e))
}

/// Opens a listener with `SO_REUSEPORT`, so that a new version of the dispatcher can listen on the same address while
/// the old one shuts down.
fn shared_listener(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(addr),
        socket2::Type::STREAM,
        None,
    )?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&addr.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// Opens the admin listener, and schedules re-reading the disabled endpoints, since an operator can change them through
/// another process that shares the state directory.
fn listen_admin(runtime: &mut Runtime, addr: SocketAddr, flags: &SignalFlags) -> io::Result<()> {
    let operation = format!("listen for admin requests on {addr}");
    start_retry::retry_transient(flags.shutdown(), &operation, || {
        runtime.connections.listen_admin(TcpListener::bind(addr)?)
    })
    .map_err(|e| {
        let reason = format!("mgmt: {addr}: cannot listen for admin requests: {e}");
        io::Error::new(e.kind(), reason)
    })?;
    log::info!("listening for admin requests on {addr}");
    runtime.timers.set(
        Timer::DisabledEndpoints,
        runtime.now + SHARED_STATE_CHECK_INTERVAL,
    );
    Ok(())
}
