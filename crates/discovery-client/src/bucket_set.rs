//! The buckets that one dispatcher holds, and whether their entries are complete.

use bellsill_directory::line::ScopedLine;
use bellsill_placement::BucketId;
use std::collections::{BTreeMap, BTreeSet};

/// Whether the entries of a held bucket are complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BucketState {
    /// The entries of the bucket are being received.
    Filling,
    /// All entries of the bucket are known.
    Complete,
}

#[derive(Default)]
pub(crate) struct BucketSet {
    states: BTreeMap<BucketId, BucketState>,
    /// Buckets that were filling when the last connection was lost, and that the current connection has not named yet.
    unconfirmed: BTreeSet<BucketId>,
}

impl BucketSet {
    pub(crate) fn restore(complete: Vec<BucketId>, filling: Vec<BucketId>) -> BucketSet {
        let complete = complete
            .into_iter()
            .map(|bucket| (bucket, BucketState::Complete));
        let filling = filling
            .into_iter()
            .map(|bucket| (bucket, BucketState::Filling));
        BucketSet {
            states: complete.chain(filling).collect(),
            unconfirmed: BTreeSet::new(),
        }
    }

    pub(crate) fn holds(&self, bucket: BucketId) -> bool {
        self.states.contains_key(&bucket)
    }

    pub(crate) fn state(&self, bucket: BucketId) -> Option<BucketState> {
        self.states.get(&bucket).copied()
    }

    /// The buckets in this state, in ascending order.
    pub(crate) fn in_state(&self, state: BucketState) -> impl Iterator<Item = BucketId> {
        self.states
            .iter()
            .filter(move |(_, s)| **s == state)
            .map(|(bucket, _)| *bucket)
    }

    pub(crate) fn add(&mut self, bucket: BucketId) {
        self.states.insert(bucket, BucketState::Filling);
    }

    /// Returns whether the bucket was held.
    pub(crate) fn remove(&mut self, bucket: BucketId) -> bool {
        self.states.remove(&bucket).is_some()
    }

    pub(crate) fn complete(&mut self, bucket: BucketId) {
        self.states.insert(bucket, BucketState::Complete);
    }

    /// Marks all buckets as filling, because a new log resends them.
    pub(crate) fn refill(&mut self) {
        self.states
            .values_mut()
            .for_each(|state| *state = BucketState::Filling);
    }

    /// Returns the buckets that are no longer assigned. A connection starts with the assigned buckets that are not
    /// complete, as gained buckets on one or more lines, of which the first has the log id. The first line without
    /// gained buckets ends this sequence, and a filling bucket that was not named by then is lost.
    pub(crate) fn take_unconfirmed(&mut self, line: &ScopedLine) -> BTreeSet<BucketId> {
        if !line.log.is_empty() {
            self.unconfirmed = self.in_state(BucketState::Filling).collect();
        }
        self.unconfirmed
            .retain(|bucket| !line.gained.contains(bucket));
        if line.gained.is_empty() {
            std::mem::take(&mut self.unconfirmed)
        } else {
            BTreeSet::new()
        }
    }
}
