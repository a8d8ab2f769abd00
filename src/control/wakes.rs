//! When something is to be decided though nothing happens.

use super::*;

impl Dispatcher {
    /// Asks for a wake where it is sooner than the one that was asked for.
    pub(super) fn ask_for_wake(&mut self, out: &mut impl Outlet) {
        let at = self.next_wake();
        if at < self.wake_at {
            self.wake_at = at;
            out.wake(at - self.now);
        }
    }

    fn next_wake(&self) -> Nanos {
        let mut at = NEVER;
        let mut note = |time: Nanos| at = if time > self.now { at.min(time) } else { at };
        note(self.ask_at);
        self.out.iter().for_each(|connect| self.note_connect(connect, &mut note));
        for (like, line) in self.waiting.lines() {
            let Some(first) = line.first() else { continue };
            note(first.due - self.margin.min(first.due));
            if self.has_slot() {
                self.note_openings(like, line, &mut note);
            }
        }
        at
    }

    fn note_connect(&self, connect: &Connect, note: &mut impl FnMut(Nanos)) {
        let silent_at = self.silent_at(connect);
        note(silent_at);
        note(2 * silent_at - connect.at);
        let mail = &self.mails[&connect.mail];
        if !mail.stage.ended() {
            note(mail.new.due);
        }
    }

    /// When a route opens for a line, and when the keys of its mails let them go.
    fn note_openings(&self, like: &Like, line: &WaitingLine, note: &mut impl FnMut(Nanos)) {
        let Some(mail) = line.first().map(|place| &self.mails[&place.id]) else { return };
        let most = if self.facts.classes[like.class].ordered { line.len() } else { 1 };
        let turns: BTreeSet<Nanos> = line.iter().take(most).map(|place| self.turn_at(place.id)).collect();
        for &route in self.routes.cards(like.destination) {
            let opens = self.opens_at(route, mail).max(self.no_slot_until);
            turns.iter().for_each(|&turn| note(opens.max(turn)));
        }
    }
}
