//! Graceful shutdown and draining: which clients are still accepted and served, and what the process waits for.

use crate::action_rules::{ProcessFacts, RestrictedAction, may_end_process};
use crate::client::{self, AcceptStatus, ClientPolicy, Clients};
use crate::clock::NANOS_PER_MS;
use crate::delivery::Delivery;
use crate::timer::Timer;
use bellsill_core::interface::Nanos;

/// How long after the signal clients are accepted: the platform keeps sending new ones for 400 ms. Connected clients
/// are served for as long as the platform allows, because closing them early would move all their messages to other
/// dispatchers.
const ACCEPT_CLIENTS_UNTIL: Nanos = 500 * NANOS_PER_MS;
/// How long after the signal connected clients are served.
const SERVE_CLIENTS_UNTIL: Nanos = 2_300 * NANOS_PER_MS;
/// How long after the signal new attempts are started.
const CLOSE_CLIENTS_UNTIL: Nanos = 2_900 * NANOS_PER_MS;
/// The deadline for the process to exit; the platform kills it 3.7 s after the signal.
const FINISH_BY: Nanos = 3_500 * NANOS_PER_MS;

/// The phases of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownPhase {
    /// No shutdown has been requested.
    Running,
    /// New clients are still accepted.
    AcceptingClients,
    /// New clients are not accepted; connected ones are served.
    ServingClients,
    /// Clients are closed between requests; new attempts are still started.
    ClosingClients,
    /// The decision logic is no longer called; attempts in flight may complete. Pending messages are left to the next
    /// process.
    FinishingAttempts,
    /// Shutdown is complete and the process exits.
    Finished,
}

/// The progress of the shutdown, and whether an operator has drained the process.
pub(crate) struct Shutdown {
    phase: ShutdownPhase,
    requested_at: Nanos,
    draining: bool,
    time_limit_reached: bool,
}

impl Shutdown {
    /// Creates the state of a process that is running normally.
    pub(crate) fn new() -> Shutdown {
        Shutdown {
            phase: ShutdownPhase::Running,
            requested_at: 0,
            draining: false,
            time_limit_reached: false,
        }
    }

    pub(crate) fn phase(&self) -> ShutdownPhase {
        self.phase
    }

    /// Whether clients are accepted: the process is neither drained nor past accepting clients in a shutdown.
    pub(crate) fn is_ready(&self) -> bool {
        !self.draining && self.phase < ShutdownPhase::ServingClients
    }

    /// The client policy of the current phase.
    pub(crate) fn client_policy(&self) -> ClientPolicy {
        ClientPolicy {
            ready: self.is_ready(),
            close_idle: self.phase >= ShutdownPhase::ClosingClients || self.draining,
        }
    }

    /// Starts the shutdown, unless it is already in progress.
    pub(crate) fn request(&mut self, delivery: &mut Delivery) {
        if self.phase != ShutdownPhase::Running {
            return;
        }
        let runtime = &mut delivery.runtime;
        log::info!(
            "shutdown requested, {} messages pending",
            runtime.messages().len()
        );
        self.phase = ShutdownPhase::AcceptingClients;
        self.requested_at = runtime.now;
        runtime.timers.set(
            Timer::ShutdownPhase,
            self.requested_at + ACCEPT_CLIENTS_UNTIL,
        );
    }

    /// Handles the end of the current phase.
    pub(crate) fn advance(&mut self, delivery: &mut Delivery, clients: &mut Clients) {
        let (next, until) = match self.phase {
            ShutdownPhase::AcceptingClients => (ShutdownPhase::ServingClients, SERVE_CLIENTS_UNTIL),
            ShutdownPhase::ServingClients => (ShutdownPhase::ClosingClients, CLOSE_CLIENTS_UNTIL),
            ShutdownPhase::ClosingClients => (ShutdownPhase::FinishingAttempts, FINISH_BY),
            _ => {
                self.time_limit_reached = true;
                self.phase = ShutdownPhase::Finished;
                return;
            }
        };
        self.phase = next;
        delivery
            .runtime
            .timers
            .set(Timer::ShutdownPhase, self.requested_at + until);
        match next {
            ShutdownPhase::ServingClients => self.close_listener(delivery, clients),
            ShutdownPhase::ClosingClients => {
                let policy = self.client_policy();
                for id in delivery.runtime.connections.clients() {
                    client::handle_ready_and_close_idle(delivery, id, policy);
                }
            }
            ShutdownPhase::FinishingAttempts => {
                self.close_listener(delivery, clients);
                delivery.stop();
            }
            _ => {}
        }
    }

    /// Accepts the clients in the queue, since closing the listener would reset their connections, then closes it. While
    /// they cannot be accepted, it stays open, until [`ShutdownPhase::FinishingAttempts`] at the latest.
    pub(crate) fn close_listener(&self, delivery: &mut Delivery, clients: &mut Clients) {
        let runtime = &mut delivery.runtime;
        let mut status = AcceptStatus::MoreMayWait;
        while status == AcceptStatus::MoreMayWait {
            status = clients.accept(runtime);
        }
        if status == AcceptStatus::BackingOff && self.phase < ShutdownPhase::FinishingAttempts {
            return;
        }
        runtime.timers.cancel(Timer::AcceptClients);
        runtime.connections.close_listener();
    }

    /// Finishes the shutdown early if there is nothing left to wait for.
    pub(crate) fn finish_if_idle(&mut self, delivery: &Delivery) {
        if self.is_idle(delivery) {
            self.phase = ShutdownPhase::Finished;
        }
    }

    /// Scans messages and connections only from `ClosingClients` on: with a large backlog, a scan in each iteration of
    /// the event loop took more time than processing the messages.
    fn is_idle(&self, delivery: &Delivery) -> bool {
        if self.phase < ShutdownPhase::ClosingClients || delivery.runtime.connections.has_clients()
        {
            return false;
        }
        may_end_process(self.process_facts(delivery)).is_ok()
    }

    /// Counts and logs a violation if the process ends though it may not.
    pub(crate) fn check_end(&self, delivery: &mut Delivery) {
        let permission = may_end_process(self.process_facts(delivery));
        delivery.runtime.metrics.violations.check(
            RestrictedAction::EndProcess,
            permission,
            "shutdown",
        );
    }

    /// The facts that decide whether the process may end. In [`ShutdownPhase::FinishingAttempts`] pending messages are left
    /// to the next process.
    fn process_facts(&self, delivery: &Delivery) -> ProcessFacts {
        let runtime = &delivery.runtime;
        let may_start_attempts = self.phase < ShutdownPhase::FinishingAttempts;
        ProcessFacts {
            time_limit_reached: self.time_limit_reached,
            // A client that is still connected is in the middle of a request, has not read its reply, or has not closed its
            // side.
            has_clients: runtime.connections.has_clients(),
            // While attempts may start, the number of messages below tells it without a scan.
            has_attempts: !may_start_attempts && runtime.messages().any_in_flight(),
            // Records that are not written are lost with the process.
            has_pending_work: runtime.has_pending_writes()
                || (may_start_attempts
                    && (runtime.messages().len() > 0 || runtime.pending_notifications() > 0)),
        }
    }

    /// Starts or ends draining. When draining starts, clients between requests are closed at once and the others after
    /// their reply.
    pub(crate) fn set_draining(&mut self, draining: bool, delivery: &mut Delivery) {
        if std::mem::replace(&mut self.draining, draining) == draining {
            return;
        }
        if !draining {
            log::info!("admin request: draining ended");
            return;
        }
        log::info!("admin request: draining started");
        let policy = self.client_policy();
        for id in delivery.runtime.connections.clients() {
            // Requests that have already arrived get their replies first. A client that has had no reply yet keeps its
            // time to send a request.
            client::handle_ready(delivery, id, policy);
            let runtime = &mut delivery.runtime;
            if runtime.connections.get(id).is_some_and(|c| c.replied) {
                client::close_if_idle(runtime, id, policy);
            }
        }
    }
}
