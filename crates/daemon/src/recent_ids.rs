//! The ids of messages that ended recently. A client whose connection closed before it had read its answer repeats the
//! request under the same id, and what was accepted once must not be accepted again.

use bellsill_core::interface::{MessageId, Nanos};
use std::collections::{BTreeSet, VecDeque};

/// How long an id is kept after the end of its message, in nanoseconds: a client repeats its request within the timeout
/// of its answer, or once it finds a restarted dispatcher.
const RETENTION: Nanos = 10_000_000_000;
/// The most ids that are kept, the latest.
pub const MAX_RECENT_IDS: usize = 4096;

/// A bounded set of ids, which forgets the oldest.
#[derive(Default)]
pub struct RecentIds {
    /// With the time of each message's end, the oldest first.
    by_end: VecDeque<(Nanos, MessageId)>,
    ids: BTreeSet<MessageId>,
}

impl RecentIds {
    /// Adds the id of a message that has ended at `now`, and drops those that are too old or too many.
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

    /// Whether a message of this id has ended recently.
    pub fn contains(&self, id: MessageId) -> bool {
        self.ids.contains(&id)
    }
}
