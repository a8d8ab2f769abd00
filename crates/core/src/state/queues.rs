//! The messages that wait to be sent, in one queue for each group that is eligible for the same routes.
//!
//! Eligibility is the same for all messages of a group, so a long backlog is checked queue by queue.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// What messages have in common that are eligible for the same routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageGroup {
    pub destination: DestinationId,
    pub class: usize,
    /// The zone in which they may have run.
    pub ran_in: Option<usize>,
}

/// A waiting message; entries are ordered by when they are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueEntry {
    /// When its queue lifetime is up.
    pub deadline: Nanos,
    pub id: MessageId,
}

/// The waiting messages of one group.
pub type WaitingQueue = BTreeSet<QueueEntry>;

/// All queues that are not empty.
#[derive(Default)]
pub struct WaitingQueues {
    by_group: BTreeMap<MessageGroup, WaitingQueue>,
}

impl WaitingQueues {
    /// Adds a message to the queue of its group.
    pub fn insert(&mut self, group: MessageGroup, entry: QueueEntry) {
        self.by_group.entry(group).or_default().insert(entry);
    }

    /// Removes a message from the queue of its group.
    pub fn remove(&mut self, group: MessageGroup, entry: QueueEntry) {
        let Some(queue) = self.by_group.get_mut(&group) else {
            return;
        };
        queue.remove(&entry);
        if queue.is_empty() {
            self.by_group.remove(&group);
        }
    }

    /// The queues, ordered by destination first.
    pub fn iter(&self) -> impl Iterator<Item = (&MessageGroup, &WaitingQueue)> {
        self.by_group.iter()
    }

    /// The queues of one destination.
    pub fn of(
        &self,
        destination: DestinationId,
    ) -> impl Iterator<Item = (&MessageGroup, &WaitingQueue)> {
        let first = MessageGroup {
            destination,
            class: 0,
            ran_in: None,
        };
        self.by_group
            .range(first..)
            .take_while(move |(group, _)| group.destination == destination)
    }

    /// How many messages wait for a destination.
    pub fn backlog(&self, destination: DestinationId) -> usize {
        self.of(destination).map(|(_, queue)| queue.len()).sum()
    }
}
