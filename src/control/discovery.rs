//! Which endpoints there are: lists, when to ask for them, and endpoints held out by hand.

use super::{suspension::FIRST_WAIT, *};

/// What is learnt of an endpoint outlasts it by so long, in case it returns.
const FORGET_AFTER: Nanos = 60_000 * MS;

impl Dispatcher {
    /// Sets when discovery is asked: a call of each within `ask_within`, spread. A drain is learnt later.
    pub(super) fn ask_later(&mut self) {
        let Some(within) = self.facts.ask_within else { return };
        // After a failed call there is four times as long; shorter rests would fill the line in vain.
        let (least, most) = (self.ask_spread / 2, (self.ask_spread * 3 / 2).max(within / 4 * 3));
        self.ask_at = self.now + self.rng.range(least..most.max(least + 1));
        self.ask_spread = (self.ask_spread * 2).clamp(within, 2 * within);
    }

    /// A watch on the list broke, or was not to be had.
    pub fn list_lost(&mut self, now: Nanos, out: &mut impl Outlet) {
        self.now = now;
        self.ask_later();
        self.go_on(out);
    }

    /// Entries of the list were told.
    pub fn list_news(&mut self, now: Nanos, scope: ListScope, entries: &[ListEntry], out: &mut impl Outlet) {
        self.now = now;
        self.ask_spread *= Nanos::from(self.ask_at != NEVER); // Else the watch serves.
        if scope == ListScope::Whole {
            self.routes.unlist(now);
        }
        entries.iter().for_each(|entry| self.read_entry(entry, out));
        self.go_on(out);
    }

    fn read_entry(&mut self, entry: &ListEntry, out: &mut impl Outlet) {
        let known = self.routes.find(entry.endpoint);
        let new = || entry.serving.then(|| self.add_route(entry, out));
        let Some(route) = known.or_else(new) else { return };
        let held_out = self.held_out.contains(&entry.endpoint);
        self.routes[route].list(entry, held_out, self.now);
    }

    /// An endpoint is taken out by hand, or put back. It is restarted while it is out, so it returns cold.
    pub fn hold_out(&mut self, now: Nanos, endpoint: EndpointId, out: bool, outlet: &mut impl Outlet) {
        let changed = if out { self.held_out.insert(endpoint) } else { self.held_out.remove(&endpoint) };
        if !changed {
            return;
        }
        self.now = now;
        if let Some(number) = self.routes.find(endpoint) {
            self.routes[number].hold_out(out, now);
            outlet.hang_up(endpoint);
        }
        self.go_on(outlet);
    }

    fn add_route(&mut self, entry: &ListEntry, out: &mut impl Outlet) -> usize {
        let apart = self.facts.apart.get(entry.kind.0).copied().unwrap_or(false);
        let number = self.long_gone(entry.destination).unwrap_or(self.routes.next_number());
        let gate = self.routes.deck_mut(entry.destination).gate(number, apart);
        let entry = ListEntry { serving: !self.held_out.contains(&entry.endpoint), ..*entry };
        let new =
            Route { entry, listed: true, gate, wait: FIRST_WAIT, sent_at: self.now, ..Route::default() };
        if let Some(gone) = self.routes.put(number, new) {
            self.held_out.remove(&gone);
            out.forget(gone);
        }
        self.inherit(number);
        number
    }

    /// The place of a route long gone is taken: nothing grows with ids. One back still later is new.
    fn long_gone(&self, destination: DestinationId) -> Option<usize> {
        let shared_gate = self.routes.deck(destination).and_then(|deck| deck.shared_gate);
        let long_gone = |&number: &usize| {
            let route = &self.routes[number];
            let over = !route.listed && self.now >= route.closed_until.max(route.sent_at + FORGET_AFTER);
            over && shared_gate != Some(number) && !self.out.uses(number)
        };
        self.routes.cards(destination).iter().copied().find(long_gone)
    }

    /// A wait told before binds a newcomer too. One listed in an outage is as cold: all backlogs meet at it.
    fn inherit(&mut self, number: usize) {
        let (bound, routes) = (self.routes.bound(number), &mut self.routes);
        let closed_until = bound.iter().map(|&other| routes[other].closed_until).max();
        routes[number].closed_until = closed_until.unwrap_or(0);
        routes[number].struck = bound.iter().any(|&other| routes[other].struck);
        routes[number].traffic = routes[bound[0]].traffic;
        routes[number].stretch = self.rng.range(0.5..1.5);
    }
}
