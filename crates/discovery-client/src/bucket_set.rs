//! The buckets that one dispatcher holds, and how far their entries are known.

use bellsill_directory::line::ScopedLine;
use bellsill_placement::BucketId;
use std::collections::{BTreeMap, BTreeSet};

/// How far a held bucket is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BucketState {
    /// Its entries are being received.
    Filling,
    /// Every entry is known.
    Complete,
}

#[derive(Default)]
pub(crate) struct BucketSet {
    states: BTreeMap<BucketId, BucketState>,
    /// Buckets that were filling when the last connection broke, and that the present one has not named yet.
    unnamed: BTreeSet<BucketId>,
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
            unnamed: BTreeSet::new(),
        }
    }

    pub(crate) fn holds(&self, bucket: BucketId) -> bool {
        self.states.contains_key(&bucket)
    }

    pub(crate) fn state(&self, bucket: BucketId) -> Option<BucketState> {
        self.states.get(&bucket).copied()
    }

    /// The buckets in that state, by number.
    pub(crate) fn in_state(&self, state: BucketState) -> impl Iterator<Item = BucketId> {
        self.states
            .iter()
            .filter(move |(_, s)| **s == state)
            .map(|(bucket, _)| *bucket)
    }

    pub(crate) fn gain(&mut self, bucket: BucketId) {
        self.states.insert(bucket, BucketState::Filling);
    }

    /// Returns whether the bucket was held.
    pub(crate) fn lose(&mut self, bucket: BucketId) -> bool {
        self.states.remove(&bucket).is_some()
    }

    pub(crate) fn complete(&mut self, bucket: BucketId) {
        self.states.insert(bucket, BucketState::Complete);
    }

    /// Another log begins: all buckets are sent again.
    pub(crate) fn refill(&mut self) {
        self.states
            .values_mut()
            .for_each(|state| *state = BucketState::Filling);
    }

    /// The buckets that are lost because this line ends the naming of gained ones without them. A connection begins with
    /// the buckets that are assigned and were not complete, on as many lines as they need. Its first line has the log.
    pub(crate) fn take_unnamed(&mut self, line: &ScopedLine) -> BTreeSet<BucketId> {
        if !line.log.is_empty() {
            self.unnamed = self.in_state(BucketState::Filling).collect();
        }
        self.unnamed.retain(|bucket| !line.gained.contains(bucket));
        if line.gained.is_empty() {
            std::mem::take(&mut self.unnamed)
        } else {
            BTreeSet::new()
        }
    }
}
