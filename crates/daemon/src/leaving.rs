//! How a dispatcher leaves, and how an operator drains it: whom it still lets in, serves and waits for.

use crate::conns::{ConnId, Role};
use crate::event_loop::Daemon;
use crate::messages::Due;
use bellsill_core::interface::Nanos;

const MS: Nanos = 1_000_000;
/// Leaving, counted from the signal. The platform lets new clients come for 400 ms and kills after 3.7 s. Those inside
/// ask on for as long as they are let: parted with early, all of their messages would go to dispatchers that have work enough.
pub const LET_IN_FOR: Nanos = 500 * MS;
const ANSWER_FOR: Nanos = 2_300 * MS;
const DECIDE_FOR: Nanos = 2_900 * MS;
const GONE_AFTER: Nanos = 3_500 * MS;

/// How far a dispatcher is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Leaving {
    No,
    /// All as ever: clients still come.
    Told,
    /// No new clients; those inside are served.
    Shut,
    /// No more clients; messages held still go out.
    Parting,
    /// The decisions are asked no more; calls that are out still end. What is held is the next process's.
    Ending,
    Gone,
}

impl Daemon {
    /// Whether a process on its way out has nothing left to wait for. Only then are messages and connections looked
    /// through: with a large backlog a look in each turn took more time than the messages themselves.
    pub(crate) fn may_end(&self) -> bool {
        if self.leaving < Leaving::Parting {
            return false;
        }
        // A client still here is within a request, has not read its answer, or has not ended its side.
        let inside = self
            .runtime
            .conns
            .iter()
            .any(|(_, c)| c.role == Role::Client);
        let recorded = !self.runtime.journal.has_unwritten();
        let quiet = self.runtime.messages.is_empty()
            && self.runtime.notices.owed() == 0
            && !inside
            && recorded;
        let out = || self.runtime.messages.iter().any(|(_, m)| m.call.is_some());
        (self.leaving == Leaving::Parting && quiet)
            || (self.leaving == Leaving::Ending && !inside && !out())
    }

    /// The next step of leaving.
    pub(crate) fn leave_on(&mut self) {
        let (next, then) = match self.leaving {
            Leaving::Told => (Leaving::Shut, ANSWER_FOR),
            Leaving::Shut => (Leaving::Parting, DECIDE_FOR),
            Leaving::Parting => (Leaving::Ending, GONE_AFTER),
            _ => {
                self.leaving = Leaving::Gone;
                return;
            }
        };
        self.leaving = next;
        self.runtime
            .deadlines
            .set(Due::Leave, self.told_to_leave + then);
        if next == Leaving::Shut {
            // Whoever has come is let in: closed over them, the listener would reset them.
            while self.let_in() {}
            self.runtime.deadlines.clear(Due::Accept);
            self.runtime.conns.close_listener();
        }
        if next == Leaving::Parting {
            for id in self.clients() {
                self.client_ready(id);
                self.part(id);
            }
        }
    }

    /// All clients that are inside now.
    fn clients(&self) -> Vec<ConnId> {
        self.runtime
            .conns
            .iter()
            .filter(|(_, c)| c.role == Role::Client)
            .map(|(id, _)| id)
            .collect()
    }

    /// On the way out, parts with a client whose last request is answered; it sends its next one elsewhere.
    pub(crate) fn part(&mut self, id: ConnId) {
        let between = |c: &crate::conns::Conn| c.between() && !c.lingers;
        let parts = self.leaving >= Leaving::Parting || self.draining;
        if parts && self.runtime.conns.get(id).is_some_and(between) {
            self.runtime.part_with(id);
        }
    }

    /// Whether clients are told yes: neither drained nor leaving.
    pub fn serves(&self) -> bool {
        !self.draining && self.leaving < Leaving::Shut
    }

    /// Drains, or takes clients again. Those between requests go at once; the others once they are answered.
    pub fn drain(&mut self, on: bool) {
        if std::mem::replace(&mut self.draining, on) == on {
            return;
        }
        log::info!(
            "{}",
            if on {
                "drained by a call"
            } else {
                "takes clients again"
            }
        );
        if on {
            for id in self.clients() {
                // What has come is met first; and one that came just now has its time to ask.
                self.client_ready(id);
                if self.runtime.conns.get(id).is_some_and(|c| c.asked) {
                    self.part(id);
                }
            }
        }
    }

    /// Whether new messages are still taken.
    pub fn accepts_messages(&self) -> bool {
        self.leaving < Leaving::Ending
    }
}
