//! The single-threaded event loop: waits for sockets, signals and timers, and dispatches their events.

use crate::admin::{self, AdminContext, AdminInput, DisabledFile, DrainRequest, refresh_disabled};
use crate::client::{self, Clients};
use crate::clock;
use crate::connection::{ConnectionId, PollEvent, Role};
use crate::delivery::Delivery;
use crate::reload::{Configuration, ReloadOutcome};
use crate::scope::{SAVE_INTERVAL, SaveOutcome, ScopeFile};
use crate::shutdown::{Shutdown, ShutdownPhase};
use crate::signals::{SignalFlags, Signals};
use crate::start::StartConfig;
use crate::startup::{self, Components};
use crate::status::log_status;
use crate::timer::{RELOAD_RETRY_INTERVAL, SHARED_STATE_CHECK_INTERVAL, STATUS_INTERVAL, Timer};
use bellsill_core::interface::Outcome;
use std::io;
use std::time::Duration;

/// A running dispatcher.
pub struct Daemon {
    delivery: Delivery,
    clients: Clients,
    disabled_file: DisabledFile,
    scope_file: Option<ScopeFile>,
    shutdown: Shutdown,
    configuration: Configuration,
    flags: SignalFlags,
}

impl Daemon {
    /// Recovers the state and opens the listeners. Clients are served only once [`Daemon::run`] is called.
    pub fn start(config: StartConfig, signals: Signals) -> io::Result<Daemon> {
        let Components {
            delivery,
            disabled_file,
            scope_file,
            configuration,
            flags,
        } = startup::build(config, signals)?;
        Ok(Daemon {
            delivery,
            clients: Clients::default(),
            disabled_file,
            scope_file,
            shutdown: Shutdown::new(),
            configuration,
            flags,
        })
    }

    /// Runs until a requested shutdown is complete.
    pub fn run(&mut self) -> io::Result<()> {
        while self.shutdown.phase() != ShutdownPhase::Finished {
            self.run_once()?;
        }
        self.shutdown.check_end(&mut self.delivery);
        self.save_scope();
        log::info!(
            "shutdown complete, {} pending messages left in the journal for the next process",
            self.delivery.runtime.messages().len()
        );
        Ok(())
    }

    /// Waits for events and handles them, then expired timers, then the work that follows each iteration.
    fn run_once(&mut self) -> io::Result<()> {
        let wait = self
            .delivery
            .runtime
            .timers
            .next_deadline()
            .map(|at| at.saturating_sub(clock::now()));
        let events = self
            .delivery
            .runtime
            .connections
            .wait(wait.map(Duration::from_nanos))?;
        for event in events {
            self.delivery.runtime.now = clock::now();
            match event {
                PollEvent::ClientListener => self.accept_clients(),
                PollEvent::AdminListener => admin::accept(&mut self.delivery.runtime),
                PollEvent::Signals => self.delivery.runtime.connections.drain_signals(),
                PollEvent::Connection(id) => self.connection_ready(id),
            }
            self.delivery.report_attempt_ends();
        }
        self.delivery.runtime.now = clock::now();
        self.handle_signals();
        self.expire_timers();
        self.delivery.runtime.update_journal_retry();
        self.delivery.runtime.send_notifications();
        self.shutdown.finish_if_idle(&self.delivery);
        Ok(())
    }

    /// Handles all other timers before the wakeup of the decision logic. After the process was suspended, many timers
    /// expire together: a core woken first would count timed-out attempts as in flight, and fail messages that never
    /// ran.
    fn expire_timers(&mut self) {
        let now = self.delivery.runtime.now;
        self.delivery.runtime.timers.start_pass(now);
        let mut wakeup = false;
        while let Some(timer) = self.delivery.runtime.timers.pop_expired(now) {
            if timer == Timer::Wakeup {
                wakeup = true;
            } else {
                self.timer_expired(timer);
                self.delivery.report_attempt_ends();
            }
        }
        if wakeup {
            self.delivery.wakeup();
            self.delivery.report_attempt_ends();
        }
    }

    fn connection_ready(&mut self, id: ConnectionId) {
        let delivery = &mut self.delivery;
        match delivery.runtime.connections.get(id).map(|c| c.role) {
            Some(Role::Client) => {
                client::handle_ready_and_close_idle(delivery, id, self.shutdown.client_policy());
            }
            Some(Role::Endpoint(_)) => delivery.endpoint_ready(id),
            Some(Role::Watch) => delivery.watch_ready(id),
            Some(Role::Notifications) => delivery.runtime.notification_ready(id),
            Some(Role::Admin) => self.admin_ready(id),
            None => {}
        }
    }

    fn connection_timed_out(&mut self, id: ConnectionId) {
        let delivery = &mut self.delivery;
        match delivery.runtime.connections.get(id).map(|c| c.role) {
            Some(Role::Client) => {
                client::handle_timeout(delivery, id, self.shutdown.client_policy())
            }
            Some(Role::Endpoint(_)) => delivery.runtime.endpoint_connection_timed_out(id),
            Some(Role::Watch) => delivery.watch_connection_timed_out(id),
            Some(Role::Notifications) => delivery.runtime.notification_timed_out(),
            Some(Role::Admin) => admin::close(&mut delivery.runtime, id),
            None => {}
        }
    }

    fn timer_expired(&mut self, timer: Timer) {
        let delivery = &mut self.delivery;
        match timer {
            Timer::Wakeup => delivery.wakeup(),
            Timer::Attempt(slot) => delivery.runtime.abort_attempt(slot, Outcome::TimedOut),
            Timer::Connection(id) => self.connection_timed_out(id),
            Timer::ReadClient(id) => self.connection_ready(id),
            Timer::WatchReconnect => delivery.reconnect_watch(),
            Timer::LookupRetry => delivery.retry_lookups(),
            Timer::NotificationRetry => delivery.runtime.end_notification_backoff(),
            Timer::JournalRetry => delivery.runtime.retry_journal(),
            Timer::Reload => self.reload(),
            Timer::AcceptClients => self.accept_clients(),
            Timer::ShutdownPhase => self.shutdown.advance(delivery, &mut self.clients),
            Timer::SaveConfiguration => self.save_configuration(),
            Timer::AdoptJournals => {
                delivery.apply_shared_updates();
                let status = delivery.adopt_journals();
                self.set_timer(Timer::AdoptJournals, status.check_interval());
            }
            Timer::DisabledEndpoints => {
                refresh_disabled(delivery, &mut self.disabled_file);
                self.set_timer(Timer::DisabledEndpoints, SHARED_STATE_CHECK_INTERVAL);
            }
            Timer::StatusLog => {
                log_status(&delivery.runtime);
                self.set_timer(Timer::StatusLog, STATUS_INTERVAL);
            }
        }
    }

    fn set_timer(&mut self, timer: Timer, after: u64) {
        let runtime = &mut self.delivery.runtime;
        runtime.timers.set(timer, runtime.now + after);
    }

    /// Accepts waiting clients. If more are waiting, the poller reports the listener again. During a shutdown, the listener
    /// is open only because clients in its queue could not be accepted before.
    fn accept_clients(&mut self) {
        if self.shutdown.phase() >= ShutdownPhase::ServingClients {
            return self
                .shutdown
                .close_listener(&mut self.delivery, &mut self.clients);
        }
        let _more = self.clients.accept(&mut self.delivery.runtime);
    }

    /// Saves the scope file, or the list of which an update could not be recorded.
    fn save_configuration(&mut self) {
        if self.scope_file.is_some() {
            self.set_timer(Timer::SaveConfiguration, SAVE_INTERVAL);
            self.save_scope();
        } else {
            self.delivery.retry_updates();
        }
    }

    /// Saves the scope file. The updates that it includes are removed from the log afterwards, or before if the quota has
    /// no space for both.
    fn save_scope(&mut self) {
        let delivery = &mut self.delivery;
        let list = delivery.discovery().scoped_list();
        let (Some(file), Some(list)) = (&mut self.scope_file, list) else {
            return;
        };
        let Some(encoded) = file.encode_changes(list) else {
            return delivery.clear_updates();
        };
        if file.exceeds_quota(&encoded, delivery.updates_bytes()) {
            delivery.clear_updates();
        }
        if file.save(&encoded) == SaveOutcome::Saved {
            delivery.clear_updates();
        }
    }

    /// Checks the flags in every iteration: they do not depend on the pipe that wakes the loop.
    fn handle_signals(&mut self) {
        if self.flags.take_reload() {
            self.reload();
        }
        if self.flags.shutdown_requested() {
            self.shutdown.request(&mut self.delivery);
        }
    }

    fn reload(&mut self) {
        match self.configuration.reload() {
            ReloadOutcome::NoFile => {}
            ReloadOutcome::Unreadable => self.set_timer(Timer::Reload, RELOAD_RETRY_INTERVAL),
            ReloadOutcome::Rejected => self.delivery.runtime.metrics.reload_errors += 1,
            ReloadOutcome::Applied { discovery } => {
                self.delivery.runtime.metrics.reloads += 1;
                self.delivery.relocate_discovery(discovery);
            }
        }
    }

    fn admin_ready(&mut self, id: ConnectionId) {
        let read = admin::read(&mut self.delivery.runtime, id);
        loop {
            let reply = match admin::next_request(&mut self.delivery.runtime, id) {
                AdminInput::Closed => return,
                AdminInput::Waiting => break,
                AdminInput::Line(Ok(request)) => self.execute(request),
                AdminInput::Line(Err(e)) => format!("FAILURE {e}\n"),
            };
            admin::queue_reply(&mut self.delivery.runtime, id, &reply);
        }
        admin::flush_or_close(&mut self.delivery.runtime, id, &read);
    }

    /// Executes an admin request and returns the reply.
    fn execute(&mut self, request: admin::Request) -> String {
        let context = AdminContext {
            delivery: &mut self.delivery,
            disabled_file: &mut self.disabled_file,
            scope_file: self.scope_file.as_ref(),
            ready: self.shutdown.is_ready(),
        };
        let reply = admin::execute(request, context);
        if let Some(drain) = reply.drain {
            let draining = drain == DrainRequest::Drain;
            self.shutdown.set_draining(draining, &mut self.delivery);
        }
        reply.text
    }
}
