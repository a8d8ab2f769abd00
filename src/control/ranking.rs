//! Which of the waiting mails goes first.

use super::*;

/// How far ahead the ranking looks at least, and by how much less than the backlog takes; worth counts too.
pub(super) const HORIZON: Nanos = 1_500 * MS;
const SHORT_BACKLOG: f64 = 2e9;
const WORTH_ITSELF: f64 = 0.03;

impl Dispatcher {
    /// What a mail of the class is worth if it is relayed then.
    pub(super) fn worth_at(&self, class: usize, due: Nanos, at: Nanos) -> f64 {
        let row = &self.facts.classes[class];
        let age = at.saturating_sub(due.saturating_sub(row.lifetime));
        let late = age.saturating_sub(row.target_delay) as f64;
        let share = if at >= due {
            0.0
        } else if self.facts.halves {
            0.5f64.powf(late / row.target_delay as f64).max(row.late_share)
        } else {
            1.0 - (1.0 - row.late_share) * late / (row.lifetime - row.target_delay).max(1) as f64
        };
        row.importance * share
    }

    /// What waiting for the horizon would lose of the mail's worth, for its slot time; else it goes by worth.
    fn loss_rate(&self, slot: f64, class: usize, due: Nanos, horizon: Nanos) -> f64 {
        let at = self.now + slot as Nanos;
        let (then, later) = (self.worth_at(class, due, at), self.worth_at(class, due, at + horizon));
        ((1.0 + WORTH_ITSELF) * then - later) / slot
    }

    /// Through a long backlog all mails would go out just before their end. Harm: a burst is late.
    fn horizon(&self) -> Nanos {
        let takes = self.waiting.lines().map(|(like, line)| self.usual[like.class] * line.len() as f64);
        let takes = takes.sum::<f64>();
        HORIZON.max((takes / self.facts.slots as f64 - SHORT_BACKLOG) as Nanos)
    }

    /// The mail that loses most by waiting, of those that have a route and their turn.
    pub(super) fn first_to_send(&self) -> Option<MailId> {
        let horizon = self.horizon();
        let mut best: Option<(f64, Place)> = None;
        for (like, line) in self.waiting.lines().filter(|(_, line)| self.has_route(line)) {
            let slot = self.usual(like.destination, like.class);
            for &place in line.iter().filter(|place| self.turn_at(place.id) <= self.now) {
                let loss = self.loss_rate(slot, like.class, place.due, horizon);
                if best.is_none_or(|(most, first)| loss > most || (loss == most && place < first)) {
                    best = Some((loss, place));
                }
            }
        }
        best.map(|(_, place)| place.id)
    }

    /// The mails that go in one call, as the kind allows. A trial goes alone: its silence would hold all.
    pub(super) fn batch(&self, first: MailId, route: usize) -> Vec<MailId> {
        let most = self.facts.batch.get(self.routes[route].entry.kind.0).copied().unwrap_or(1);
        if most < 2 || self.routes[route].suspect {
            return vec![first];
        }
        let destination = self.mails[&first].new.destination;
        let open = |id| self.turn_at(id) <= self.now && self.opens_at(route, &self.mails[&id]) <= self.now;
        let mut rest: Vec<(f64, Place)> = vec![];
        for (like, line) in self.waiting.lines().filter(|(like, _)| like.destination == destination) {
            let slot = self.usual(destination, like.class);
            let loss = |due| self.loss_rate(slot, like.class, due, HORIZON);
            let along = line.iter().filter(|place| place.id != first && open(place.id));
            rest.extend(along.map(|&place| (loss(place.due), place)));
        }
        rest.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        std::iter::once(first).chain(rest.into_iter().map(|(_, place)| place.id)).take(most).collect()
    }
}
