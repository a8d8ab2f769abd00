//! Ranking: which waiting message is sent next, and which messages share a call.

use crate::interface::{MessageId, Nanos, Settings};
use crate::state::Dispatcher;
use crate::state::queues::QueueEntry;
use crate::units::MS;

/// The minimum look-ahead of the ranking.
const MIN_HORIZON: Nanos = 1_500 * MS;
/// Subtracted from the time needed to send a long backlog to obtain the look-ahead.
const SHORT_BACKLOG_NANOS: f64 = 2e9;
/// The weight of a message's value itself, relative to the value lost by waiting.
const VALUE_WEIGHT: f64 = 0.03;

/// The in-flight time that a message of a class takes up.
#[derive(Clone, Copy)]
struct Cost {
    class: usize,
    /// The usual answer time, in nanoseconds.
    time_in_flight: f64,
}

impl Cost {
    /// The value that a message loses if it is sent one horizon later, per nanosecond that it is in
    /// flight.
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
    /// The look-ahead, which grows with the backlog: with a fixed one, all messages of a long
    /// backlog would be sent just before their deadline. Trade-off: the messages of a burst are
    /// late.
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

    /// The message that loses most value by waiting, among those that have an eligible route and
    /// are first in line for their key.
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
                if best.is_none_or(|(max, first)| loss > max || (loss == max && entry < first)) {
                    best = Some((loss, entry));
                }
            }
        }
        best.map(|(_, entry)| entry.id)
    }

    /// Whether the order of its key allows a message to be sent now.
    pub(super) fn is_key_ready(&self, id: MessageId) -> bool {
        self.key_ready_at(id).is_some_and(|at| at <= self.now)
    }

    /// The messages to send in one call with `first`, itself included, up to the batch size of the
    /// kind. A half-open trial is sent alone.
    pub(super) fn batch(&self, first: MessageId, route: usize) -> Vec<MessageId> {
        let max_batch = self
            .settings
            .max_batch
            .get(self.routes[route].entry.kind.0)
            .copied()
            .unwrap_or(1);
        if max_batch < 2 || self.routes[route].suspect {
            return vec![first];
        }
        let destination = self.messages[&first].destination;
        let is_sendable =
            |id| self.is_key_ready(id) && self.is_eligible(route, &self.messages[&id]);
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
                .filter(|entry| entry.id != first && is_sendable(entry.id));
            rest.extend(others.map(|&entry| (loss(entry.deadline), entry)));
        }
        rest.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        std::iter::once(first)
            .chain(rest.into_iter().map(|(_, entry)| entry.id))
            .take(max_batch)
            .collect()
    }
}
