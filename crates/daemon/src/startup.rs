//! Start: the parts are built, the journal is read, and the listeners are opened.

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
use crate::scope::{self, SAVE_EVERY, ScopeFile};
use crate::signals::{SignalFlags, Signals};
use crate::start::Start;
use crate::start_retry;
use crate::timer::{SHARED_STATE_CHECK_INTERVAL, STATUS_INTERVAL, Timer};
use bellsill_core::interface::Settings;
use bellsill_discovery_client::{ScopedList, ScopedOptions, Watch};
use serde_json::Value;
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;

/// Clients that may wait in the kernel's queue.
const LISTEN_BACKLOG: i32 = 1024;
/// Descriptors kept from clients beside those of attempts: for the watch, notifications and lookups.
const OTHER_CONNECTIONS: usize = 8;

/// What the event loop starts with.
pub(crate) struct Parts {
    pub(crate) delivery: Delivery,
    pub(crate) disabled_file: DisabledFile,
    /// None where discovery tells the whole configuration.
    pub(crate) scope_file: Option<ScopeFile>,
    pub(crate) configuration: Configuration,
    pub(crate) flags: SignalFlags,
}

/// What the state folder held.
struct Stored {
    journal: MessageJournal,
    recovered: Recovered,
    adoption: AdoptionStatus,
    disabled: BTreeSet<String>,
}

/// Builds the parts and opens the listeners. Clients are answered once the event loop runs.
pub(crate) fn build(start: Start, signals: Signals) -> io::Result<Parts> {
    let now = clock::now();
    let (wake, flags) = signals.split();
    let (watch, scope_file) = build_watch(&start);
    let stored = read_state(&start, &flags, scope_file.is_some())?;
    let disabled_file = DisabledFile::new(&start.state);
    let mut runtime = Runtime::new(
        now,
        listen(&start, &flags, wake)?,
        stored.journal,
        Notifications::new(start.discovery),
        AttemptSettings {
            connect_timeout: start.boot.settings.connect_timeout,
            keep_alive: start.boot.keep_alive,
            reports_limits: start.boot.reports_limits,
        },
    );
    if let Some(addr) = start.mgmt {
        listen_admin(&mut runtime, addr, &flags)?;
    }
    let settings = Settings {
        caller_admission: true,
        ..start.boot.settings
    };
    let discovery = Discovery::new(watch, start.boot.names);
    let mut delivery = Delivery::new(settings, discovery, runtime, stored.disabled);
    begin(
        &mut delivery,
        &start.known,
        start.boot.drain_grace,
        stored.recovered,
    );
    set_timers(&mut delivery.runtime, scope_file.is_some(), stored.adoption);
    delivery.report_attempt_ends();
    delivery.runtime.send_notifications();
    log::info!(
        "{} listens on {}, {} messages pending",
        start.name,
        start.listen,
        delivery.runtime.messages().len()
    );
    Ok(Parts {
        delivery,
        disabled_file,
        scope_file,
        configuration: Configuration::new(start.source, start.fixed),
        flags,
    })
}

/// Endpoints first, then the watch, then the messages of an earlier process.
fn begin(delivery: &mut Delivery, known: &Value, drain_grace: u64, recovered: Recovered) {
    delivery.apply_known_list(known);
    delivery.start_watch(drain_grace);
    delivery.recover(recovered);
}

fn set_timers(runtime: &mut Runtime, has_scope_file: bool, adoption: AdoptionStatus) {
    let (now, timers) = (runtime.now, &mut runtime.timers);
    timers.set(Timer::StatusLog, now + STATUS_INTERVAL);
    if has_scope_file {
        timers.set(Timer::SaveScope, now + SAVE_EVERY);
    }
    if adoption == AdoptionStatus::Incomplete {
        timers.set(Timer::AdoptJournals, now + SHARED_STATE_CHECK_INTERVAL);
    }
}

/// The watch of the configuration, and where a dispatcher holds a part of it the file in which that outlasts the process.
fn build_watch(start: &Start) -> (Watch, Option<ScopeFile>) {
    let settings = &start.boot.settings;
    let Some(installation) = &start.installation else {
        let backoff = Backoff::new(settings.seed, settings.dispatchers);
        return (Watch::plain(start.discovery, backoff), None);
    };
    let mut file = ScopeFile::new(&start.state, &installation.dispatcher, start.disk_bytes);
    let list = file.load(installation).unwrap_or_else(|| {
        let mut list =
            ScopedList::new(installation.layout.clone(), installation.cache_destinations);
        if let Some(known) = endpoint_list::read(&start.known, &start.boot.names) {
            list.import_entries(endpoint_list::entries_of(&known));
        }
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
        seed: settings.seed,
    };
    (Watch::scoped(options, list), Some(file))
}

/// Reads the journal and the disabled endpoints. What an earlier process left is taken over before clients are answered;
/// for one that still runs the state folder is looked at again later.
fn read_state(start: &Start, flags: &SignalFlags, has_scope_file: bool) -> io::Result<Stored> {
    let journal_bytes = if has_scope_file {
        scope::disk_left(start.disk_bytes)
    } else {
        start.disk_bytes
    };
    let in_folder =
        |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", start.state.display()));
    let (mut journal, mut recovered) = start_retry::wait_out(flags.shutdown(), || {
        MessageJournal::open(&start.state, journal_bytes)
    })
    .map_err(in_folder)?;
    let adopted = journal.adopt();
    let disabled = start_retry::wait_out(flags.shutdown(), || load_disabled(&start.state))
        .map_err(in_folder)?;
    recovered.messages.extend(adopted.recovered.messages);
    recovered
        .pending_notifications
        .extend(adopted.recovered.pending_notifications);
    Ok(Stored {
        journal,
        recovered,
        adoption: AdoptionStatus::from_incomplete(adopted.is_incomplete),
        disabled,
    })
}

/// Listens for clients.
fn listen(start: &Start, flags: &SignalFlags, wake: UnixStream) -> io::Result<ConnectionTable> {
    let bind = start_retry::wait_out(flags.shutdown(), || shared_listener(start.listen));
    let listener = bind.map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", start.listen)))?;
    let client_bytes = start.memory_bytes as usize / 2;
    let limits = ConnectionLimits::new(
        start.sockets,
        start.boot.settings.max_in_flight + OTHER_CONNECTIONS,
        client_bytes / CLIENT_BUFFER_BYTES,
    );
    ConnectionTable::new(listener, wake, limits)
}

/// A listener that a new version of the dispatcher shares with the old one until that has ended.
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

/// Listens for operators, whose list of disabled endpoints another process may then change.
fn listen_admin(runtime: &mut Runtime, addr: SocketAddr, flags: &SignalFlags) -> io::Result<()> {
    let bind = start_retry::wait_out(flags.shutdown(), || TcpListener::bind(addr));
    bind.and_then(|listener| runtime.connections.listen_admin(listener))
        .map_err(|e| io::Error::new(e.kind(), format!("mgmt: {addr}: {e}")))?;
    log::info!("admin requests are served on {addr}");
    runtime.timers.set(
        Timer::DisabledEndpoints,
        runtime.now + SHARED_STATE_CHECK_INTERVAL,
    );
    Ok(())
}
