//! Admission control, and load shedding when the queue is full.

use super::retries;
use crate::interface::{Actions, ClassId, DestinationId, EndpointId, MessageId, Nanos, Settings};
use crate::state::Dispatcher;
use crate::state::messages::Message;
use crate::state::queues::{QueueEntry, WaitingQueues};

/// The queue space that one destination's backlog may occupy, as a multiple of the free capacity,
/// for messages of the class with the highest priority weight (the dynamic threshold algorithm for
/// shared buffers).
const ADMISSION_SHARE: f64 = 4.0;

impl Dispatcher {
    /// Whether a caller that does its own admission control may accept one more message. Each
    /// destination is limited to a share of the free capacity, scaled by priority weight, so that a
    /// hanging destination leaves capacity for the others.
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

    /// Whether an attempt may still be written now that its connection is established. Since the
    /// decision, its route may have started draining or been suspended, or its deduplication window
    /// may have ended.
    pub fn may_start_attempt(&self, now: Nanos, message: MessageId, endpoint: EndpointId) -> bool {
        let repeatable =
            |message: &Message| retries::is_repeatable(&self.settings, message, None, now);
        self.accepts_attempts(now, endpoint) && self.messages.get(&message).is_some_and(repeatable)
    }

    /// While the queue is full, gives up the least valuable message of the destination with the
    /// longest backlog.
    pub(super) fn shed_excess_messages(&mut self, actions: &mut impl Actions) {
        let pending = |dispatcher: &Self| {
            dispatcher
                .messages
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
    let longest_backlog = destinations.max_by_key(|&destination| waiting.backlog(destination))?;
    let value = |class, entry: &QueueEntry| (settings.value_at(class, entry.deadline, now), *entry);
    let queues = waiting.of(longest_backlog);
    let candidates =
        queues.flat_map(|(group, queue)| queue.iter().map(|entry| value(group.class, entry)));
    let lowest = candidates.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    lowest.map(|(_, entry)| entry.id)
}
