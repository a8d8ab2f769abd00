//! All decisions of a dispatcher: which mail goes next, by which route, when one is given up. Call the method
//! for what happens, with the clock and an [`Outlet`] that acts at once. `docs/design.md` says why.

mod admission;
mod discovery;
mod endings;
mod idle;
mod outcomes;
mod pacing;
mod ranking;
mod sending;
mod suspension;
mod suspicion;
mod timeouts;
mod wakes;

pub use crate::state::Dispatcher;

use crate::chance::Chance;
use crate::interface::*;
use crate::state::{NEVER, connects::*, idle::*, mails::*, routes::*, waiting::*};
use std::collections::BTreeSet;

const MS: Nanos = 1_000_000;

impl Dispatcher {
    /// An instance that has just been started.
    pub fn boot(now: Nanos, facts: BootFacts) -> Self {
        let rng = Chance::seeded(facts.seed);
        let usual = vec![timeouts::FIRST_USUAL; facts.classes.len()];
        let margin = 2 * facts.tick;
        let mut dispatcher =
            Dispatcher { now, rng, usual, margin, wake_at: NEVER, ask_at: NEVER, facts, ..Self::default() };
        dispatcher.ask_later();
        dispatcher
    }

    /// Mails were taken on.
    pub fn mails_taken(&mut self, now: Nanos, all: impl IntoIterator<Item = NewMail>, out: &mut impl Outlet) {
        self.now = now;
        all.into_iter().for_each(|new| self.take_mail(new, out));
        self.go_on(out);
    }

    fn take_mail(&mut self, new: NewMail, out: &mut impl Outlet) {
        self.hold(new);
        if !self.may_go_again(&self.mails[&new.id]) {
            self.give_up(new.id, out); // By its past.
        }
    }

    /// A connect has its outcome.
    pub fn connect_ended(&mut self, now: Nanos, end: ConnectEnd, out: &mut impl Outlet) {
        self.now = now;
        let Some(connect) = self.out.remove(end.mail, end.no) else { return };
        if !self.mails.contains_key(&end.mail) {
            return;
        }
        self.note_run(&connect, end.outcome);
        // A call is one piece of news; but a wait binds from the first mail that tells it.
        if matches!(end.outcome, Outcome::Full(_)) || self.out.count_calls(|o| o.call == connect.call) == 0 {
            self.learn(connect, &end, out);
        }
        self.rest_key(&end);
        self.continue_mail(&end, out);
        self.go_on(out);
        // Idle connections fill tables; what is sent on one dropped unseen is lost. New ones cost handshakes.
        if self.tight(connect.route) {
            out.hang_up(self.routes[connect.route].entry.endpoint);
        }
    }

    /// The wake that was asked for.
    pub fn woken(&mut self, now: Nanos, out: &mut impl Outlet) {
        self.now = now;
        // A wake may come a little early; taken for a stale one its mails would be lost.
        if self.wake_at <= now + self.facts.tick {
            self.wake_at = NEVER;
        }
        self.go_on(out);
    }

    /// The client wants no answer any more.
    pub fn mail_withdrawn(&mut self, now: Nanos, mail: MailId, out: &mut impl Outlet) {
        self.now = now;
        if self.mails.get(&mail).is_some_and(|mail| !mail.stage.ended()) {
            self.shift(mail, Stage::Over, out);
        }
        self.go_on(out);
    }

    /// Decides all that may have changed with what happened.
    fn go_on(&mut self, out: &mut impl Outlet) {
        if self.now >= self.ask_at {
            self.ask_at = NEVER;
            out.ask();
        }
        self.watch_silence(out);
        self.end_overdue(out);
        self.send_all(out);
        if !self.facts.own_door {
            self.make_room(out);
        }
        self.free_slot(out);
        self.ask_for_wake(out);
    }
}
