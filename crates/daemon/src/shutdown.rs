//! Graceful shutdown and draining: which clients are still accepted and served, and what is still waited for.

use crate::connection::Role;
use crate::event_loop::Daemon;
use crate::timer::Timer;
use bellsill_core::interface::Nanos;

const MS: Nanos = 1_000_000;

/// ShutdownPhase, counted from the signal. The platform lets new clients come for 400 ms and kills after 3.7 s. Those inside
/// ask on for as long as they are let: parted with early, all of their messages would go to dispatchers that have work enough.
pub const ACCEPT_CLIENTS_FOR: Nanos = 500 * MS;

const SERVE_CLIENTS_UNTIL: Nanos = 2_300 * MS;

const CLOSE_CLIENTS_UNTIL: Nanos = 2_900 * MS;

const FINISH_BY: Nanos = 3_500 * MS;

/// How far a dispatcher is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    Running,
    /// All as ever: clients still come.
    AcceptingClients,
    /// No new clients; those inside are served.
    ServingClients,
    /// No more clients; messages held still go out.
    ClosingClients,
    /// The decisions are asked no more; calls that are out still end. What is held is the next process's.
    FinishingAttempts,
    Finished,
}

impl Daemon {
    /// Whether a process on its way out has nothing left to wait for. Only then are messages and connections looked
    /// through: with a large backlog a look in each turn took more time than the messages themselves.
    pub(crate) fn shutdown_complete(&self) -> bool {
        if self.shutdown_phase < ShutdownPhase::ClosingClients {
            return false;
        }
        // A client still here is within a request, has not read its answer, or has not ended its side.
        let inside = self
            .runtime
            .connections
            .iter()
            .any(|(_, c)| c.role == Role::Client);
        let recorded = !self.runtime.journal.has_unwritten();
        let quiet = self.runtime.messages.is_empty()
            && self.runtime.notifications.pending() == 0
            && !inside
            && recorded;
        let out = || {
            self.runtime
                .messages
                .iter()
                .any(|(_, m)| m.attempt.is_some())
        };
        (self.shutdown_phase == ShutdownPhase::ClosingClients && quiet)
            || (self.shutdown_phase == ShutdownPhase::FinishingAttempts && !inside && !out())
    }

    /// The next step of leaving.
    pub(crate) fn advance_shutdown(&mut self) {
        let (next, then) = match self.shutdown_phase {
            ShutdownPhase::AcceptingClients => (ShutdownPhase::ServingClients, SERVE_CLIENTS_UNTIL),
            ShutdownPhase::ServingClients => (ShutdownPhase::ClosingClients, CLOSE_CLIENTS_UNTIL),
            ShutdownPhase::ClosingClients => (ShutdownPhase::FinishingAttempts, FINISH_BY),
            _ => {
                self.shutdown_phase = ShutdownPhase::Finished;
                return;
            }
        };
        self.shutdown_phase = next;
        self.runtime
            .deadlines
            .set(Timer::ShutdownPhase, self.shutdown_requested_at + then);
        if next == ShutdownPhase::ServingClients {
            // Whoever has come is let in: closed over them, the listener would reset them.
            while self.accept_clients() {}
            self.runtime.deadlines.clear(Timer::AcceptClients);
            self.runtime.connections.close_listener();
        }
        if next == ShutdownPhase::ClosingClients {
            for id in self.clients() {
                self.client_ready(id);
                self.close_if_done(id);
            }
        }
    }

    /// Whether clients are told yes: neither drained nor leaving.
    pub fn accepts_clients(&self) -> bool {
        !self.draining && self.shutdown_phase < ShutdownPhase::ServingClients
    }

    /// Drains, or takes clients again. Those between requests go at once; the others once they are answered.
    pub fn drain(&mut self, on: bool) {
        if std::mem::replace(&mut self.draining, on) == on {
            return;
        }
        log::info!(
            "{}",
            if on {
                "draining by an admin request"
            } else {
                "draining ended by an admin request"
            }
        );
        if on {
            for id in self.clients() {
                // What has come is met first; and one that came just now has its time to ask.
                self.client_ready(id);
                if self.runtime.connections.get(id).is_some_and(|c| c.answered) {
                    self.close_if_done(id);
                }
            }
        }
    }

    /// Whether new messages are still taken.
    pub fn accepts_messages(&self) -> bool {
        self.shutdown_phase < ShutdownPhase::FinishingAttempts
    }
}
