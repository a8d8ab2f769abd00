//! What is let in, and what must go when the hold is full.

use super::*;

/// Times what is free in the hold, what one destination's mails of the worthiest class may take of it.
const DOOR_SHARE: f64 = 4.0;

impl Dispatcher {
    /// Whether a front with a door of its own lets one more in; what is in goes on waiting. One destination's
    /// mails may take so much of what is free, by worth, that a hung one leaves room for the others.
    pub fn admits(&self, class: ClassId, destination: DestinationId) -> bool {
        let free = self.facts.holding_room.saturating_sub(self.mails.len() + 1) as f64;
        let importances = self.facts.classes.iter().map(|row| row.importance);
        let most = importances.fold(f64::MIN_POSITIVE, f64::max);
        let share = DOOR_SHARE * self.facts.classes[class.0].importance / most;
        (self.waiting.backlog(destination) as f64) < free * share
    }

    /// Whether a connect may be written whose connection came up now: no drain, wait or window's end since.
    pub fn may_begin(&self, now: Nanos, mail: MailId, endpoint: EndpointId) -> bool {
        let repeatable = |mail: &Mail| self.repeatable(mail, None, now);
        self.still_open(now, endpoint) && self.mails.get(&mail).is_some_and(repeatable)
    }

    /// Whether an endpoint still serves, and is not suspended.
    pub fn still_open(&self, now: Nanos, endpoint: EndpointId) -> bool {
        let open = |number| {
            let route: &Route = &self.routes[number];
            route.entry.serving && route.closed_until <= now
        };
        self.routes.find(endpoint).is_some_and(open)
    }

    /// At a full hold the destination with most mails waiting gives up the one worth least, for the others.
    pub(super) fn make_room(&mut self, out: &mut impl Outlet) {
        while self.mails.values().filter(|mail| !mail.stage.ended()).count() >= self.facts.holding_room {
            let Some(id) = self.least_worth() else { return };
            self.give_up(id, out);
        }
    }

    fn least_worth(&self) -> Option<MailId> {
        let destinations = self.waiting.lines().map(|(like, _)| like.destination);
        let longest = destinations.max_by_key(|&destination| self.waiting.backlog(destination));
        let lines = self.waiting.lines().filter(|(like, _)| Some(like.destination) == longest);
        let worth = |class, place: &Place| (self.worth_at(class, place.due, self.now), *place);
        let all = lines.flat_map(|(like, line)| line.iter().map(move |place| worth(like.class, place)));
        let least = all.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        least.map(|(_, place)| place.id)
    }
}
