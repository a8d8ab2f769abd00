//! The assignment: the holders of each bucket and the buckets of each member.

use crate::change::{AssignmentChange, BucketHolders, REPLICAS};
use crate::error::PlacementError;
use crate::ids::{BucketId, Epoch};
use crate::layout::Layout;
use crate::names::MemberName;
use std::collections::BTreeMap;

/// The mapping between buckets and the members that hold them. Created empty or from a table, and modified only by
/// applying the next change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    layout: Layout,
    epoch: Epoch,
    holders: Vec<[Option<MemberName>; REPLICAS]>,
    buckets_by_member: BTreeMap<MemberName, Vec<BucketId>>,
}

impl Assignment {
    /// The initial assignment, in which no bucket has a holder.
    pub fn empty(layout: Layout) -> Assignment {
        let holders = vec![[const { None }; REPLICAS]; layout.buckets() as usize];
        Assignment {
            layout,
            epoch: Epoch(0),
            holders,
            buckets_by_member: BTreeMap::new(),
        }
    }

    pub(crate) fn from_holders(
        layout: Layout,
        epoch: Epoch,
        holders: Vec<[Option<MemberName>; REPLICAS]>,
    ) -> Assignment {
        let mut buckets_by_member: BTreeMap<MemberName, Vec<BucketId>> = BTreeMap::new();
        for (bucket, pair) in (0..).map(BucketId).zip(&holders) {
            for member in pair.iter().flatten() {
                buckets_by_member
                    .entry(member.clone())
                    .or_default()
                    .push(bucket);
            }
        }
        Assignment {
            layout,
            epoch,
            holders,
            buckets_by_member,
        }
    }

    /// Applies the change that leads to the next epoch. Any other change is rejected and modifies nothing.
    pub fn apply(&mut self, change: &AssignmentChange) -> Result<(), PlacementError> {
        let expected = self.next_epoch();
        if change.epoch != expected {
            return Err(PlacementError::EpochOutOfOrder {
                expected,
                found: change.epoch,
            });
        }
        change
            .moved
            .iter()
            .try_for_each(|moved| self.validate(moved))?;
        change
            .moved
            .iter()
            .for_each(|moved| self.set_holders(moved));
        self.epoch = change.epoch;
        Ok(())
    }

    /// The holders of a bucket of the layout. `None` stands for a replica without a holder.
    pub fn holders(&self, bucket: BucketId) -> [Option<&MemberName>; REPLICAS] {
        self.holders[bucket.0 as usize]
            .each_ref()
            .map(Option::as_ref)
    }

    /// The buckets that a member holds, in ascending order.
    pub fn buckets_of(&self, member: &MemberName) -> &[BucketId] {
        self.buckets_by_member
            .get(member)
            .map_or(&[], Vec::as_slice)
    }

    /// The members that hold at least one bucket, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = &MemberName> {
        self.buckets_by_member.keys()
    }

    /// All buckets, in ascending order.
    pub fn buckets(&self) -> impl Iterator<Item = BucketId> + use<> {
        (0..self.layout.buckets()).map(BucketId)
    }

    /// The epoch of the last applied change, or 0 before the first change.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The zones, regions and buckets that the assignment is for.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    pub(crate) fn next_epoch(&self) -> Epoch {
        Epoch(self.epoch.0 + 1)
    }

    fn validate(&self, moved: &BucketHolders) -> Result<(), PlacementError> {
        let buckets = self.layout.buckets();
        if moved.bucket.0 >= buckets {
            return Err(PlacementError::UnknownBucket {
                bucket: moved.bucket,
                buckets,
            });
        }
        match &moved.holders {
            [Some(first), Some(second)] if first == second => {
                Err(PlacementError::SameHolderTwice {
                    bucket: moved.bucket,
                    member: first.clone(),
                })
            }
            _ => Ok(()),
        }
    }

    fn set_holders(&mut self, moved: &BucketHolders) {
        let index = moved.bucket.0 as usize;
        let previous = std::mem::replace(&mut self.holders[index], moved.holders.clone());
        for member in previous.iter().flatten() {
            self.remove_from_index(member, moved.bucket);
        }
        for member in moved.holders.iter().flatten() {
            self.add_to_index(member, moved.bucket);
        }
    }

    fn add_to_index(&mut self, member: &MemberName, bucket: BucketId) {
        let held = self.buckets_by_member.entry(member.clone()).or_default();
        if let Err(position) = held.binary_search(&bucket) {
            held.insert(position, bucket);
        }
    }

    fn remove_from_index(&mut self, member: &MemberName, bucket: BucketId) {
        let Some(held) = self.buckets_by_member.get_mut(member) else {
            return;
        };
        if let Ok(position) = held.binary_search(&bucket) {
            held.remove(position);
        }
        if held.is_empty() {
            self.buckets_by_member.remove(member);
        }
    }
}
