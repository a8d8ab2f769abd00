//! Admission: what is let in, and what is given up when the hold is full.

use super::*;

/// What one destination's messages of the most important class may take of the hold, as a multiple of what is
/// free (the dynamic threshold of a shared buffer).
const ADMISSION_SHARE: f64 = 4.0;

impl Dispatcher {
    /// Whether a front that controls admission may accept one more message. A destination may take so much of
    /// what is free, by importance, that a hung one leaves room for the others.
    pub fn admits(&self, class: ClassId, destination: DestinationId) -> bool {
        let free = self
            .settings
            .queue_capacity
            .saturating_sub(self.messages.len() + 1) as f64;
        let importances = self
            .settings
            .classes
            .iter()
            .map(|class| class.priority_weight);
        let most = importances.fold(f64::MIN_POSITIVE, f64::max);
        let share = ADMISSION_SHARE * self.settings.classes[class.0].priority_weight / most;
        (self.waiting.backlog(destination) as f64) < free * share
    }

    /// Whether an attempt whose connection came up now may still be written: since it was decided its route
    /// may have drained or been suspended, or its deduplication window may have ended.
    pub fn may_start_attempt(&self, now: Nanos, message: MessageId, endpoint: EndpointId) -> bool {
        let repeatable = |message: &Message| self.is_repeatable(message, None, now);
        self.is_open(now, endpoint) && self.messages.get(&message).is_some_and(repeatable)
    }

    /// In a full hold the destination with the longest backlog gives up its least valuable message.
    pub(super) fn make_room(&mut self, out: &mut impl Actions) {
        let held = |all: &Self| {
            all.messages
                .values()
                .filter(|message| !message.stage.ended())
                .count()
        };
        while held(self) >= self.settings.queue_capacity {
            let Some(id) = self.least_valuable() else {
                return;
            };
            self.give_up(id, out);
        }
    }

    fn least_valuable(&self) -> Option<MessageId> {
        let destinations = self.waiting.iter().map(|(group, _)| group.destination);
        let longest = destinations.max_by_key(|&destination| self.waiting.backlog(destination))?;
        let value = |class, entry: &QueueEntry| {
            (
                self.settings.value_at(class, entry.deadline, self.now),
                *entry,
            )
        };
        let queues = self.waiting.of(longest);
        let all =
            queues.flat_map(|(group, queue)| queue.iter().map(|entry| value(group.class, entry)));
        let least = all.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        least.map(|(_, entry)| entry.id)
    }
}
