//! Which dispatchers hold which buckets, as the workers tell it.

use super::plan::DispatcherIndex;
use bellsill_core::interface::Nanos;
use bellsill_placement::BucketId;
use std::collections::{BTreeMap, BTreeSet};

/// A bucket of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Replica {
    pub bucket: BucketId,
    pub dispatcher: DispatcherIndex,
}

/// The replicas that are live: every entry of the bucket is in force at a running dispatcher.
#[derive(Default)]
pub struct Holders {
    live: BTreeMap<BucketId, BTreeSet<DispatcherIndex>>,
    /// Buckets that had a live holder once and have none, and since when.
    bare: BTreeMap<BucketId, Nanos>,
    events: HolderEvents,
}

/// What has happened since a moment.
#[derive(Clone, Debug, Default)]
pub struct HolderEvents {
    /// Buckets that dispatchers were told they gain and did not hold.
    pub gained: u64,
    /// Buckets that dispatchers held and were told anew.
    pub told_anew: u64,
    /// How long buckets had no live holder, of those that have one again.
    pub bare_spans: Vec<Nanos>,
}

impl Holders {
    pub fn gained(&mut self, dispatcher: DispatcherIndex, buckets: &[BucketId]) {
        for &bucket in buckets {
            match self.holds(dispatcher, bucket) {
                true => self.events.told_anew += 1,
                false => self.events.gained += 1,
            }
        }
    }

    fn holds(&self, dispatcher: DispatcherIndex, bucket: BucketId) -> bool {
        self.live
            .get(&bucket)
            .is_some_and(|holders| holders.contains(&dispatcher))
    }

    pub fn filled(&mut self, dispatcher: DispatcherIndex, buckets: &[BucketId], at: Nanos) {
        for &bucket in buckets {
            self.live.entry(bucket).or_default().insert(dispatcher);
            if let Some(since) = self.bare.remove(&bucket) {
                self.events.bare_spans.push(at.saturating_sub(since));
            }
        }
    }

    pub fn lost(&mut self, dispatcher: DispatcherIndex, buckets: &[BucketId], at: Nanos) {
        for &bucket in buckets {
            let Some(holders) = self.live.get_mut(&bucket) else {
                continue;
            };
            if holders.remove(&dispatcher) && holders.is_empty() {
                self.bare.insert(bucket, at);
            }
        }
    }

    pub fn stopped(&mut self, dispatcher: DispatcherIndex, at: Nanos) {
        let held = self
            .live
            .iter()
            .filter(|(_, holders)| holders.contains(&dispatcher));
        let buckets: Vec<BucketId> = held.map(|(&bucket, _)| bucket).collect();
        self.lost(dispatcher, &buckets, at);
    }

    pub fn of(&self, bucket: BucketId) -> BTreeSet<DispatcherIndex> {
        self.live.get(&bucket).cloned().unwrap_or_default()
    }

    /// All live replicas.
    pub fn replicas(&self) -> BTreeSet<Replica> {
        let of_bucket =
            |(&bucket, holders): (&BucketId, &BTreeSet<DispatcherIndex>)| -> Vec<Replica> {
                holders
                    .iter()
                    .map(|&dispatcher| Replica { bucket, dispatcher })
                    .collect()
            };
        self.live.iter().flat_map(of_bucket).collect()
    }

    /// How many buckets have at least so many live holders.
    pub fn with_holders(&self, least: usize) -> usize {
        self.live
            .values()
            .filter(|holders| holders.len() >= least)
            .count()
    }

    /// How many buckets had a live holder once and have none.
    pub fn bare(&self) -> usize {
        self.bare.len()
    }

    /// How many buckets have no live holder but these dispatchers.
    pub fn held_by_these_alone(&self, dispatchers: &[DispatcherIndex]) -> usize {
        let alone = |holders: &&BTreeSet<DispatcherIndex>| {
            !holders.is_empty() && holders.iter().all(|holder| dispatchers.contains(holder))
        };
        self.live.values().filter(alone).count()
    }

    /// What has happened since the events were cleared.
    pub fn events(&self) -> &HolderEvents {
        &self.events
    }

    pub fn clear_events(&mut self) {
        self.events = HolderEvents::default();
    }
}
