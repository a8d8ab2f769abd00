//! The ids of messages that have ended of late. A client whose connection ended before it had read its answer sends the
//! request once more, under the same id: what was taken on must not be taken on again.

use bellsill_core::interface::{MessageId, Nanos};
use std::collections::{BTreeSet, VecDeque};

/// For so long after its end an id is known: a client comes again within its answer's time, or once a restarted dispatcher
/// is found.
const KEPT_FOR: Nanos = 10_000_000_000;
/// No more than so many are kept, the latest.
pub const MOST: usize = 4096;

#[derive(Default)]
pub struct RecentIds {
    by_end: VecDeque<(Nanos, MessageId)>,
    ids: BTreeSet<MessageId>,
}

impl RecentIds {
    /// A message has ended.
    pub fn note(&mut self, now: Nanos, id: MessageId) {
        if self.ids.insert(id) {
            self.by_end.push_back((now, id));
        }
        while let Some(&(at, id)) = self.by_end.front()
            && (at + KEPT_FOR <= now || self.by_end.len() > MOST)
        {
            self.by_end.pop_front();
            self.ids.remove(&id);
        }
    }

    pub fn contains(&self, id: MessageId) -> bool {
        self.ids.contains(&id)
    }
}
