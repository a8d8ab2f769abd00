//! The ids of recently ended messages. A client whose connection closed before it received the reply repeats the
//! request with the same id, and a message that was accepted once must not be accepted again.

use bellsill_core::interface::{MessageId, Nanos};
use std::collections::{BTreeSet, VecDeque};

/// How long an id is kept after the end of its message, in nanoseconds. A client repeats its request within its
/// reply timeout, or once it reaches a restarted dispatcher.
const RETENTION: Nanos = 10_000_000_000;
/// The maximum number of ids that are kept; the oldest are removed first.
pub const MAX_RECENT_IDS: usize = 4096;

/// A set of ids, bounded by age and number.
#[derive(Default)]
pub struct RecentIds {
    /// The ids with the end time of their messages, oldest first.
    by_end: VecDeque<(Nanos, MessageId)>,
    ids: BTreeSet<MessageId>,
}

impl RecentIds {
    /// Adds the id of a message that ended at `now`, and removes ids that are too old or exceed [`MAX_RECENT_IDS`].
    pub fn insert(&mut self, now: Nanos, id: MessageId) {
        if self.ids.insert(id) {
            self.by_end.push_back((now, id));
        }
        while let Some(&(ended_at, id)) = self.by_end.front()
            && (ended_at + RETENTION <= now || self.by_end.len() > MAX_RECENT_IDS)
        {
            self.by_end.pop_front();
            self.ids.remove(&id);
        }
    }

    /// Whether the message with this id ended recently.
    pub fn contains(&self, id: MessageId) -> bool {
        self.ids.contains(&id)
    }
}
