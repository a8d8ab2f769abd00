//! Admission: which messages are admitted, and which are given up when the queue is full.

use super::retries;
use crate::interface::{Actions, ClassId, DestinationId, EndpointId, MessageId, Nanos, Settings};
use crate::state::Dispatcher;
use crate::state::messages::Message;
use crate::state::queues::{QueueEntry, WaitingQueues};

/// What one destination's messages of the most important class may take of the queue, as a multiple
/// of the free capacity (the dynamic threshold of a shared buffer).
const ADMISSION_SHARE: f64 = 4.0;

impl Dispatcher {
    /// Whether a caller that controls admission may accept one more message. A destination may take
    /// a part of the free capacity, by priority weight, so that one that hangs leaves capacity for
    /// the others.
    pub fn admits(&self, class: ClassId, destination: DestinationId) -> bool {
        let free = self
            .settings
            .queue_capacity
            .saturating_sub(self.messages.len() + 1) as f64;
        let weights = self
            .settings
            .classes
            .iter()
            .map(|class| class.priority_weight);
        let highest = weights.fold(f64::MIN_POSITIVE, f64::max);
        let share = ADMISSION_SHARE * self.settings.classes[class.0].priority_weight / highest;
        (self.waiting.backlog(destination) as f64) < free * share
    }

    /// Whether an attempt whose connection came up now may still be written: since it was decided
    /// its route may have been drained or suspended, or its deduplication window may have ended.
    pub fn may_start_attempt(&self, now: Nanos, message: MessageId, endpoint: EndpointId) -> bool {
        let repeatable =
            |message: &Message| retries::is_repeatable(&self.settings, message, None, now);
        self.accepts_attempts(now, endpoint) && self.messages.get(&message).is_some_and(repeatable)
    }

    /// While the queue is full, the destination with the longest backlog gives up its least
    /// valuable message.
    pub(super) fn shed_excess_messages(&mut self, actions: &mut impl Actions) {
        let pending = |all: &Self| {
            all.messages
                .values()
                .filter(|message| !message.state.ended())
                .count()
        };
        while pending(self) >= self.settings.queue_capacity {
            let Some(id) = least_valuable(&self.settings, self.now, &self.waiting) else {
                return;
            };
            self.give_up(id, actions);
        }
    }
}

fn least_valuable(settings: &Settings, now: Nanos, waiting: &WaitingQueues) -> Option<MessageId> {
    let destinations = waiting.iter().map(|(group, _)| group.destination);
    let longest = destinations.max_by_key(|&destination| waiting.backlog(destination))?;
    let value = |class, entry: &QueueEntry| (settings.value_at(class, entry.deadline, now), *entry);
    let queues = waiting.of(longest);
    let all = queues.flat_map(|(group, queue)| queue.iter().map(|entry| value(group.class, entry)));
    let least = all.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    least.map(|(_, entry)| entry.id)
}
