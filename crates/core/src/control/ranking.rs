//! Ranking: which of the waiting messages goes first.

use super::*;

/// How far ahead the ranking looks at least, and by how much less than a long backlog takes.
const MIN_HORIZON: Nanos = 1_500 * MS;
const SHORT_BACKLOG: f64 = 2e9;
/// The weight of the value itself beside what waiting would lose of it.
const VALUE_WEIGHT: f64 = 0.03;

impl Dispatcher {
    /// What waiting for the horizon would lose of a message's value, for each unit of its slot time.
    fn loss_rate(&self, slot_time: f64, class: usize, due: Nanos, horizon: Nanos) -> f64 {
        let at = self.now + slot_time as Nanos;
        let (sent_now, sent_later) = (
            self.settings.value_at(class, due, at),
            self.settings.value_at(class, due, at + horizon),
        );
        ((1.0 + VALUE_WEIGHT) * sent_now - sent_later) / slot_time
    }

    /// Through a long backlog all messages would go just before their end. Its cost: a burst is late.
    fn horizon(&self) -> Nanos {
        let slot_time = |class: usize, count: usize| self.usual_latency[class] * count as f64;
        let backlog = self
            .waiting
            .iter()
            .map(|(group, queue)| slot_time(group.class, queue.len()));
        MIN_HORIZON.max(
            (backlog.sum::<f64>() / self.settings.max_in_flight as f64 - SHORT_BACKLOG) as Nanos,
        )
    }

    /// The message that loses most by waiting, of those that have an eligible route and their turn.
    pub(super) fn next_message(&self) -> Option<MessageId> {
        let horizon = self.horizon();
        let mut best: Option<(f64, QueueEntry)> = None;
        for (group, queue) in self
            .waiting
            .iter()
            .filter(|(_, queue)| self.has_eligible_route(queue))
        {
            let slot_time = self.usual_latency(group.destination, group.class);
            for &entry in queue
                .iter()
                .filter(|entry| self.turn_at(entry.id) <= self.now)
            {
                let loss = self.loss_rate(slot_time, group.class, entry.deadline, horizon);
                if best.is_none_or(|(most, first)| loss > most || (loss == most && entry < first)) {
                    best = Some((loss, entry));
                }
            }
        }
        best.map(|(_, entry)| entry.id)
    }

    /// The messages that share a call with the first, as its kind allows. A trial goes alone.
    pub(super) fn batch(&self, first: MessageId, route: usize) -> Vec<MessageId> {
        let most = self
            .settings
            .max_batch
            .get(self.routes[route].entry.kind.0)
            .copied()
            .unwrap_or(1);
        if most < 2 || self.routes[route].suspect {
            return vec![first];
        }
        let destination = self.messages[&first].destination;
        let may_go =
            |id| self.turn_at(id) <= self.now && self.is_eligible(route, &self.messages[&id]);
        let mut rest: Vec<(f64, QueueEntry)> = vec![];
        for (group, queue) in self.waiting.of(destination) {
            let slot_time = self.usual_latency(destination, group.class);
            let loss = |due| self.loss_rate(slot_time, group.class, due, MIN_HORIZON);
            let others = queue
                .iter()
                .filter(|entry| entry.id != first && may_go(entry.id));
            rest.extend(others.map(|&entry| (loss(entry.deadline), entry)));
        }
        rest.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        std::iter::once(first)
            .chain(rest.into_iter().map(|(_, entry)| entry.id))
            .take(most)
            .collect()
    }
}
