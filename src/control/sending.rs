//! By which route a mail goes, and which slots it may take.

use super::*;

/// The share of the slots that one destination may hold.
const SLOT_SHARE: f64 = 0.35;

impl Dispatcher {
    /// Sends while slots are free and a mail may go.
    pub(super) fn send_all(&mut self, out: &mut impl Outlet) {
        while self.has_slot() && self.now >= self.no_slot_until {
            let Some(id) = self.first_to_send() else { return };
            let Some(route) = self.deal(id) else { return };
            let batch = self.batch(id, route);
            self.calls += 1;
            batch.into_iter().for_each(|id| self.send(id, route, out));
        }
    }

    pub(super) fn has_slot(&self) -> bool {
        self.out.count_calls(|_| true) < self.facts.slots
    }

    /// When this mail may go by this route, as things stand; NEVER: not before something else happens.
    pub(super) fn opens_at(&self, number: usize, mail: &Mail) -> Nanos {
        let route = &self.routes[number];
        let repeat = self.facts.classes[mail.new.class.0].repeat;
        let elsewhere = mail.new.past.ran.is_some_and(|(_, zone)| zone != route.entry.zone);
        let bound = matches!(repeat, Repeat::Tagged { same_zone: true, .. });
        if !route.entry.serving || (bound && elsewhere) {
            return NEVER;
        }
        let limit = self.routes.limit(number);
        let at = route.closed_until.max(limit.sent_at + limit.gap).max(self.bears_at(number));
        if route.suspect { at.max(self.trial_at(number, repeat)) } else { at }
    }

    /// Whether the first mail of a line, and so each of them, has a route now.
    pub(super) fn has_route(&self, line: &WaitingLine) -> bool {
        let Some(mail) = line.first().map(|place| &self.mails[&place.id]) else { return false };
        let destination = mail.new.destination;
        let most = ((self.facts.slots as f64 * SLOT_SHARE) as usize).max(2);
        let cards = self.routes.cards(destination);
        self.out.count_calls(|o| self.routes[o.route].entry.destination == destination) < most
            && cards.iter().any(|&route| self.opens_at(route, mail) <= self.now)
    }

    /// In a round each route is dealt once; first the one used last, which may have an idle connection.
    fn deal(&mut self, id: MailId) -> Option<usize> {
        let (mail, destination) = (&self.mails[&id], self.mails[&id].new.destination);
        let cards = self.routes.cards(destination).to_vec();
        let open: Vec<bool> = cards.iter().map(|&route| self.opens_at(route, mail) <= self.now).collect();
        let dealt = self.routes.deck(destination)?.dealt;
        let dealt = if open[dealt..].contains(&true) { dealt } else { 0 };
        let open: Vec<usize> = (dealt..cards.len()).filter(|&card| open[card]).collect();
        let used = |card: usize| Some(cards[card]).filter(|&route| !self.out.uses(route));
        let last = |&card: &usize| used(card).map(|route| self.routes[route].sent_at);
        let latest = open.iter().map(last).max()?;
        let open: Vec<usize> = open.into_iter().filter(|card| last(card) == latest).collect();
        let pick = open[self.rng.range(0..open.len())];
        let deck = self.routes.deck_mut(destination);
        deck.cards.swap(dealt, pick);
        deck.dealt = dealt + 1;
        Some(deck.cards[dealt])
    }

    fn send(&mut self, id: MailId, number: usize, out: &mut impl Outlet) {
        let new = self.mails[&id].new;
        let left = new.due - self.now - self.margin;
        let time_out = self.time_out(&new, number);
        let fresh = self.tight(number);
        if fresh {
            out.hang_up(self.routes[number].entry.endpoint);
        }
        self.note_sent(id, number, fresh);
        self.routes[number].stretch = self.rng.range(0.5..1.5);
        self.shift(id, Stage::Out, out);
        out.connect(id, self.routes[number].entry.endpoint, time_out.min(left));
    }

    /// With all slots taken and a mail waiting, one overdue call goes. Could bounce a once-only mail early.
    pub(super) fn free_slot(&mut self, out: &mut impl Outlet) {
        if self.has_slot() || self.out.iter().any(|connect| connect.called_off) {
            return;
        }
        let overdue = |connect: &Connect| self.overdue(connect);
        let call = self.out.calls().find(|call| call.iter().all(overdue)).map(|call| call[0].call);
        let Some(call) = call else { return };
        let kept = |line: &WaitingLine| {
            self.has_route(line) && line.iter().any(|place| self.turn_at(place.id) <= self.now)
        };
        if self.waiting.lines().any(|(_, line)| kept(line)) {
            self.out.call_off(call).into_iter().for_each(|connect| out.call_off(connect.mail, connect.no));
        }
    }

    fn overdue(&self, connect: &Connect) -> bool {
        let repeatable = self.repeatable(&self.mails[&connect.mail], Some(connect.at), self.now);
        let times = if repeatable { 1 } else { 2 };
        let route = &self.routes[connect.route];
        (route.suspect || route.spoke_at > connect.at)
            && self.now >= connect.at + times * (self.silent_at(connect) - connect.at)
    }
}
