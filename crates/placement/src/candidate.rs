//! Members of a region that can hold replicas, with their load.

use crate::hash::RendezvousScore;
use crate::ids::BucketId;
use crate::share::Share;

/// How much spare capacity a candidate has. Earlier variants are preferred as targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SpareCapacity {
    FarBelowShare,
    BelowShare,
    AtShare,
    BelowMaxLoad,
}

/// A member that can hold buckets of the region.
pub(crate) struct Candidate {
    name_hash: u64,
    weight: f64,
    zone: usize,
    share: Share,
    /// Whether it was far below its fair share before the plan.
    deficient: bool,
    /// The buckets it holds, as indices within the region.
    held: Vec<usize>,
    // Values derived from the load are cached because they are read far more often than the load changes.
    spare_capacity: Option<SpareCapacity>,
    over_max_load: usize,
    excess: f64,
}

impl Candidate {
    /// Creates a candidate that holds no buckets.
    pub(crate) fn new(name_hash: u64, weight: f64, zone: usize, share: Share) -> Candidate {
        let mut candidate = Candidate {
            name_hash,
            weight,
            zone,
            share,
            deficient: false,
            held: Vec::new(),
            spare_capacity: None,
            over_max_load: 0,
            excess: 0.0,
        };
        candidate.update_cached();
        candidate
    }

    pub(crate) fn zone(&self) -> usize {
        self.zone
    }

    pub(crate) fn held(&self) -> &[usize] {
        &self.held
    }

    /// The number of replicas it holds.
    pub(crate) fn load(&self) -> usize {
        self.held.len()
    }

    /// The load it is filled up to with replicas of other members.
    pub(crate) fn floor(&self) -> usize {
        self.share.floor
    }

    pub(crate) fn is_deficient(&self) -> bool {
        self.deficient
    }

    /// `None` if it has reached its maximum load.
    pub(crate) fn spare_capacity(&self) -> Option<SpareCapacity> {
        self.spare_capacity
    }

    /// The number of replicas above its maximum load.
    pub(crate) fn over_max_load(&self) -> usize {
        self.over_max_load
    }

    /// Its load minus its fair share, in replicas.
    pub(crate) fn excess(&self) -> f64 {
        self.excess
    }

    pub(crate) fn score(&self, bucket: BucketId) -> RendezvousScore {
        RendezvousScore::new(bucket, self.name_hash, self.weight)
    }

    pub(crate) fn add(&mut self, bucket: usize) {
        self.held.push(bucket);
        self.update_cached();
    }

    pub(crate) fn remove(&mut self, bucket: usize) {
        let position = self
            .held
            .iter()
            .position(|held| *held == bucket)
            .expect("the candidate holds the bucket");
        self.held.swap_remove(position);
        self.update_cached();
    }

    /// Marks it as deficient if its current load is far below its fair share.
    pub(crate) fn mark_deficient(&mut self) {
        self.deficient = self.share.is_deficient(self.load());
        self.update_cached();
    }

    /// Stops treating it as deficient because no further replica can be moved to it.
    pub(crate) fn clear_deficient(&mut self) {
        self.deficient = false;
        self.update_cached();
    }

    fn update_cached(&mut self) {
        let load = self.load();
        self.spare_capacity = self.spare_capacity_at(load);
        self.over_max_load = load.saturating_sub(self.share.max_load);
        self.excess = self.share.excess(load);
    }

    fn spare_capacity_at(&self, load: usize) -> Option<SpareCapacity> {
        if load < self.share.floor && self.deficient {
            Some(SpareCapacity::FarBelowShare)
        } else if load < self.share.floor {
            Some(SpareCapacity::BelowShare)
        } else if load < self.share.ceiling {
            Some(SpareCapacity::AtShare)
        } else if load < self.share.max_load {
            Some(SpareCapacity::BelowMaxLoad)
        } else {
            None
        }
    }
}
