//! Graceful shutdown and draining: which clients are still accepted and served, and what is still waited for.

use crate::client::{self, AcceptStatus, ClientPolicy, Clients};
use crate::delivery::Delivery;
use crate::timer::Timer;
use bellsill_core::interface::Nanos;

const MS: Nanos = 1_000_000;
/// How long clients are accepted after the signal: the platform sends new ones for 400 ms. The connected ones are served
/// for as long as the platform allows: closed early, all of their messages would go to other dispatchers.
const ACCEPT_CLIENTS_UNTIL: Nanos = 500 * MS;
/// How long after the signal clients are served.
const SERVE_CLIENTS_UNTIL: Nanos = 2_300 * MS;
/// How long after the signal attempts begin.
const CLOSE_CLIENTS_UNTIL: Nanos = 2_900 * MS;
/// When the process ends at the latest; the platform kills it 3.7 s after the signal.
const FINISH_BY: Nanos = 3_500 * MS;

/// The phases of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownPhase {
    /// No shutdown is requested.
    Running,
    /// Clients are still accepted.
    AcceptingClients,
    /// No client is accepted; those connected are served.
    ServingClients,
    /// Clients are closed between requests; attempts still begin.
    ClosingClients,
    /// The decisions are not called any more; attempts in flight still end. What is pending is left to the next process.
    FinishingAttempts,
    /// The process ends.
    Finished,
}

/// How far the shutdown has come, and whether an operator drains the process.
pub(crate) struct Shutdown {
    phase: ShutdownPhase,
    requested_at: Nanos,
    draining: bool,
}

impl Shutdown {
    /// No shutdown is requested.
    pub(crate) fn new() -> Shutdown {
        Shutdown {
            phase: ShutdownPhase::Running,
            requested_at: 0,
            draining: false,
        }
    }

    /// The present phase.
    pub(crate) fn phase(&self) -> ShutdownPhase {
        self.phase
    }

    /// Whether clients are accepted: neither drained nor shutting down.
    pub(crate) fn is_ready(&self) -> bool {
        !self.draining && self.phase < ShutdownPhase::ServingClients
    }

    /// How clients are treated now.
    pub(crate) fn client_policy(&self) -> ClientPolicy {
        ClientPolicy {
            ready: self.is_ready(),
            close_idle: self.phase >= ShutdownPhase::ClosingClients || self.draining,
        }
    }

    /// Begins the shutdown, unless it has begun.
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

    /// The present phase is over.
    pub(crate) fn advance(&mut self, delivery: &mut Delivery, clients: &mut Clients) {
        let (next, until) = match self.phase {
            ShutdownPhase::AcceptingClients => (ShutdownPhase::ServingClients, SERVE_CLIENTS_UNTIL),
            ShutdownPhase::ServingClients => (ShutdownPhase::ClosingClients, CLOSE_CLIENTS_UNTIL),
            ShutdownPhase::ClosingClients => (ShutdownPhase::FinishingAttempts, FINISH_BY),
            _ => {
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
            ShutdownPhase::ServingClients => {
                // Clients that wait are accepted: the listener would reset them when it is closed.
                while clients.accept(&mut delivery.runtime) == AcceptStatus::MoreMayWait {}
                delivery.runtime.timers.cancel(Timer::AcceptClients);
                delivery.runtime.connections.close_listener();
            }
            ShutdownPhase::ClosingClients => {
                let policy = self.client_policy();
                for id in delivery.runtime.connections.clients() {
                    client::handle_ready_and_close_idle(delivery, id, policy);
                }
            }
            ShutdownPhase::FinishingAttempts => delivery.stop(),
            _ => {}
        }
    }

    /// Ends the process if it shuts down and has nothing left to wait for.
    pub(crate) fn finish_if_quiet(&mut self, delivery: &Delivery) {
        if self.is_quiet(delivery) {
            self.phase = ShutdownPhase::Finished;
        }
    }

    /// Only late in the shutdown are messages and connections passed over: with a large backlog, doing that in each turn
    /// took more time than the messages themselves.
    fn is_quiet(&self, delivery: &Delivery) -> bool {
        if self.phase < ShutdownPhase::ClosingClients {
            return false;
        }
        let runtime = &delivery.runtime;
        // A client that is still connected is within a request, has not read its answer, or has not ended its side.
        let has_clients = runtime.connections.has_clients();
        match self.phase {
            ShutdownPhase::ClosingClients => {
                !has_clients
                    && runtime.messages().len() == 0
                    && runtime.pending_notifications() == 0
                    && !runtime.has_unwritten_records()
            }
            ShutdownPhase::FinishingAttempts => !has_clients && !runtime.messages().any_in_flight(),
            _ => false,
        }
    }

    /// Drains, or accepts clients again. Clients between requests are closed at once, the others when they are answered.
    pub(crate) fn set_draining(&mut self, draining: bool, delivery: &mut Delivery) {
        if std::mem::replace(&mut self.draining, draining) == draining {
            return;
        }
        if !draining {
            log::info!("draining ended by an admin request");
            return;
        }
        log::info!("draining by an admin request");
        let policy = self.client_policy();
        for id in delivery.runtime.connections.clients() {
            // What has arrived is answered first, and a client without an answer still has its time for a request.
            client::handle_ready(delivery, id, policy);
            let runtime = &mut delivery.runtime;
            if runtime.connections.get(id).is_some_and(|c| c.replied) {
                client::close_if_idle(runtime, id, policy);
            }
        }
    }
}
