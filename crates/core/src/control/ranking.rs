//! Ranking: which of the waiting messages goes first.

use crate::interface::{MessageId, Nanos, Settings};
use crate::state::Dispatcher;
use crate::state::queues::QueueEntry;
use crate::units::MS;

/// How far ahead the ranking looks at least.
const MIN_HORIZON: Nanos = 1_500 * MS;
/// How much less far ahead it looks than a long backlog takes.
const SHORT_BACKLOG_NANOS: f64 = 2e9;
/// The weight of the value itself beside what waiting would lose of it.
const VALUE_WEIGHT: f64 = 0.03;

/// A class of messages, and how long each of them is in flight.
#[derive(Clone, Copy)]
struct Cost {
    class: usize,
    /// In nanoseconds.
    time_in_flight: f64,
}

impl Cost {
    /// What waiting for the horizon would lose of a message's value, for each nanosecond that it is
    /// in flight.
    fn loss_rate(self, settings: &Settings, now: Nanos, deadline: Nanos, horizon: Nanos) -> f64 {
        let at = now + self.time_in_flight as Nanos;
        let (sent_now, sent_later) = (
            settings.value_at(self.class, deadline, at),
            settings.value_at(self.class, deadline, at + horizon),
        );
        ((1.0 + VALUE_WEIGHT) * sent_now - sent_later) / self.time_in_flight
    }
}

impl Dispatcher {
    /// With a fixed horizon all messages of a long backlog would go just before their deadline. The
    /// cost of the longer horizon: a burst is late.
    fn horizon(&self) -> Nanos {
        let total_time =
            |class: usize, count: usize| self.answer_times.by_class[class] * count as f64;
        let backlog = self
            .waiting
            .iter()
            .map(|(group, queue)| total_time(group.class, queue.len()));
        MIN_HORIZON.max(
            (backlog.sum::<f64>() / self.settings.max_in_flight as f64 - SHORT_BACKLOG_NANOS)
                as Nanos,
        )
    }

    /// The message that loses most by waiting, of those that have an eligible route and are next of
    /// their key.
    pub(super) fn next_message(&self) -> Option<MessageId> {
        let horizon = self.horizon();
        let mut best: Option<(f64, QueueEntry)> = None;
        for (group, queue) in self
            .waiting
            .iter()
            .filter(|(_, queue)| self.has_eligible_route(queue))
        {
            let cost = Cost {
                class: group.class,
                time_in_flight: self.answer_times.usual(
                    &self.routes,
                    group.destination,
                    group.class,
                ),
            };
            for &entry in queue.iter().filter(|entry| self.is_key_ready(entry.id)) {
                let loss = cost.loss_rate(&self.settings, self.now, entry.deadline, horizon);
                if best.is_none_or(|(most, first)| loss > most || (loss == most && entry < first)) {
                    best = Some((loss, entry));
                }
            }
        }
        best.map(|(_, entry)| entry.id)
    }

    /// Whether the order of its key lets a message be sent now.
    pub(super) fn is_key_ready(&self, id: MessageId) -> bool {
        self.key_ready_at(id).is_some_and(|at| at <= self.now)
    }

    /// The messages that share a call with the first, as its kind allows. A half-open trial goes
    /// alone.
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
        let may_go = |id| self.is_key_ready(id) && self.is_eligible(route, &self.messages[&id]);
        let mut rest: Vec<(f64, QueueEntry)> = vec![];
        for (group, queue) in self.waiting.of(destination) {
            let class = group.class;
            let time_in_flight = self.answer_times.usual(&self.routes, destination, class);
            let cost = Cost {
                class,
                time_in_flight,
            };
            let loss = |deadline| cost.loss_rate(&self.settings, self.now, deadline, MIN_HORIZON);
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
