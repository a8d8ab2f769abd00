//! The messages that wait to be sent, in one queue for each group that is eligible for the same
//! routes.
//!
//! Eligibility is the same for all messages of a group, so a long backlog is checked queue by
//! queue.

use crate::interface::{DestinationId, MessageId, Nanos};
use std::collections::{BTreeMap, BTreeSet};

/// What messages have in common that are eligible for the same routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MessageGroup {
    pub(crate) destination: DestinationId,
    pub(crate) class: usize,
    /// The zone in which they may have run.
    pub(crate) possible_run_zone: Option<usize>,
}

/// A waiting message; entries are ordered by their deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueEntry {
    /// When its lifetime is up.
    pub(crate) deadline: Nanos,
    pub(crate) id: MessageId,
}

/// The waiting messages of one group.
pub(crate) type WaitingQueue = BTreeSet<QueueEntry>;

/// All queues that are not empty.
#[derive(Default)]
pub(crate) struct WaitingQueues {
    by_group: BTreeMap<MessageGroup, WaitingQueue>,
}

impl WaitingQueues {
    /// Adds a message to the queue of its group.
    pub(crate) fn insert(&mut self, group: MessageGroup, entry: QueueEntry) {
        self.by_group.entry(group).or_default().insert(entry);
    }

    /// Removes a message from the queue of its group.
    pub(crate) fn remove(&mut self, group: MessageGroup, entry: QueueEntry) {
        let Some(queue) = self.by_group.get_mut(&group) else {
            return;
        };
        queue.remove(&entry);
        if queue.is_empty() {
            self.by_group.remove(&group);
        }
    }

    /// The queues, ordered by destination first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&MessageGroup, &WaitingQueue)> {
        self.by_group.iter()
    }

    /// The queues of one destination.
    pub(crate) fn of(
        &self,
        destination: DestinationId,
    ) -> impl Iterator<Item = (&MessageGroup, &WaitingQueue)> {
        let first = MessageGroup {
            destination,
            class: 0,
            possible_run_zone: None,
        };
        self.by_group
            .range(first..)
            .take_while(move |(group, _)| group.destination == destination)
    }

    /// How many messages wait for a destination.
    pub(crate) fn backlog(&self, destination: DestinationId) -> usize {
        self.of(destination).map(|(_, queue)| queue.len()).sum()
    }
}
