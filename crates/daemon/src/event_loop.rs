//! The event loop: one thread that waits for sockets, signals and timers, and hands on what happened.

use crate::clock;
use crate::connection::{ConnectionId, PollEvent, Role};
use crate::delivery::Runtime;
use crate::discovery::WatchTimer;
use crate::scope::{SAVE_EVERY, ScopeFile};
use crate::shutdown::{ACCEPT_CLIENTS_FOR, ShutdownPhase};
use crate::start::Source;
use crate::timer::Timer;
use bellsill_core::control::Dispatcher;
use bellsill_core::interface::{ClassSettings, Nanos, Outcome};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

const MS: Nanos = 1_000_000;

/// Between looks at what a process beside this one does in the folder: the journal that it still holds, and the endpoints
/// that it was told to hold out.
pub(crate) const NEIGHBOUR_CHECK_INTERVAL: Nanos = 100 * MS;

/// Between lines on how things stand.
pub(crate) const STATUS_INTERVAL: Nanos = 10_000 * MS;

/// How long this process has been on a processor, as far as the system tells.
fn cpu_time() -> Nanos {
    let text = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    text.split(' ')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

pub struct Daemon {
    pub dispatcher: Dispatcher,
    pub runtime: Runtime,
    pub classes: Vec<ClassSettings>,
    /// There was no place for a client that came last.
    pub at_client_limit: bool,
    pub(crate) shutdown_requested: Arc<AtomicBool>,
    pub(crate) reload_requested: Arc<AtomicBool>,
    /// What the configuration was read from, and what of it only a restart takes.
    pub(crate) source: Option<Source>,
    pub(crate) fixed: Vec<(&'static str, Value)>,
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
    /// Saves what is kept of the scoped configuration.
    pub(crate) fn save_scope(&mut self) {
        if let (Some(file), Some(list)) =
            (&mut self.scope_file, self.runtime.discovery.scoped_list())
        {
            file.save(list);
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

    pub(crate) fn turn(&mut self) -> io::Result<()> {
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
    pub(crate) fn settle(&mut self) {
        while let Some(end) = self.runtime.attempt_ends.pop_front() {
            if self.shutdown_phase < ShutdownPhase::FinishingAttempts {
                self.dispatcher
                    .attempt_ended(self.runtime.now, end, &mut self.runtime);
            }
        }
    }

    pub(crate) fn ready(&mut self, id: ConnectionId) {
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

    pub(crate) fn timer_expired(&mut self, due: Timer) {
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

    pub(crate) fn handle_signals(&mut self) -> io::Result<()> {
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
}
