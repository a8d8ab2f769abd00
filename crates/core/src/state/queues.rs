//! The queues of messages that wait to be sent. Messages that are eligible for the same routes form
//! a group with a queue of its own, so that the eligibility of a long backlog is checked per queue
//! instead of per message.

use crate::interface::{DestinationId, MessageId, Nanos};
use std::collections::{BTreeMap, BTreeSet};

/// The properties that determine which routes a message is eligible for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MessageGroup {
    pub(crate) destination: DestinationId,
    pub(crate) class: usize,
    /// The zone in which the messages may have run, if any.
    pub(crate) possible_run_zone: Option<usize>,
}

/// A waiting message; entries are ordered by deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueEntry {
    /// The end of the message's lifetime.
    pub(crate) deadline: Nanos,
    pub(crate) id: MessageId,
}

/// The waiting messages of one group.
pub(crate) type WaitingQueue = BTreeSet<QueueEntry>;

/// All non-empty queues, by group.
#[derive(Default)]
pub(crate) struct WaitingQueues {
    by_group: BTreeMap<MessageGroup, WaitingQueue>,
}

impl WaitingQueues {
    /// Adds a message to the queue of its group.
    pub(crate) fn insert(&mut self, group: MessageGroup, entry: QueueEntry) {
        self.by_group.entry(group).or_default().insert(entry);
    }

    /// Removes a message from the queue of its group, and the queue if it is empty then.
    pub(crate) fn remove(&mut self, group: MessageGroup, entry: QueueEntry) {
        let Some(queue) = self.by_group.get_mut(&group) else {
            return;
        };
        queue.remove(&entry);
        if queue.is_empty() {
            self.by_group.remove(&group);
        }
    }

    /// All queues, ordered by destination first.
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

    /// The number of messages that wait for a destination.
    pub(crate) fn backlog(&self, destination: DestinationId) -> usize {
        self.of(destination).map(|(_, queue)| queue.len()).sum()
    }
}
