//! The members of a region that replicas may be placed on.

use crate::hash::RendezvousScore;
use crate::ids::BucketId;
use crate::share::Share;

/// How much spare capacity a candidate has; the first is chosen before the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SpareCapacity {
    FarBelowShare,
    BelowShare,
    AtShare,
    WithinBound,
}

/// A member that buckets of the region may be placed on.
pub(crate) struct Candidate {
    name_hash: u64,
    weight: f64,
    zone: usize,
    share: Share,
    /// Whether it was far below its share before the plan.
    deficient: bool,
    /// The buckets it holds, numbered within the region.
    held: Vec<usize>,
    // What follows from the load is cached, because it is read far more often than the load changes.
    spare_capacity: Option<SpareCapacity>,
    over_bound: usize,
    excess: f64,
}

impl Candidate {
    /// A candidate without buckets.
    pub(crate) fn new(name_hash: u64, weight: f64, zone: usize, share: Share) -> Candidate {
        let mut candidate = Candidate {
            name_hash,
            weight,
            zone,
            share,
            deficient: false,
            held: Vec::new(),
            spare_capacity: None,
            over_bound: 0,
            excess: 0.0,
        };
        candidate.update();
        candidate
    }

    pub(crate) fn zone(&self) -> usize {
        self.zone
    }

    pub(crate) fn held(&self) -> &[usize] {
        &self.held
    }

    /// How many replicas it holds.
    pub(crate) fn load(&self) -> usize {
        self.held.len()
    }

    /// What it is given where others have enough.
    pub(crate) fn floor(&self) -> usize {
        self.share.floor
    }

    pub(crate) fn is_deficient(&self) -> bool {
        self.deficient
    }

    /// None where it is at its bound.
    pub(crate) fn spare_capacity(&self) -> Option<SpareCapacity> {
        self.spare_capacity
    }

    /// By how many replicas it is above its bound.
    pub(crate) fn over_bound(&self) -> usize {
        self.over_bound
    }

    /// How far it is above its share; below 0 where it is below.
    pub(crate) fn excess(&self) -> f64 {
        self.excess
    }

    pub(crate) fn score(&self, bucket: BucketId) -> RendezvousScore {
        RendezvousScore::new(bucket, self.name_hash, self.weight)
    }

    pub(crate) fn add(&mut self, bucket: usize) {
        self.held.push(bucket);
        self.update();
    }

    pub(crate) fn remove(&mut self, bucket: usize) {
        let position = self
            .held
            .iter()
            .position(|held| *held == bucket)
            .expect("a bucket is removed from its holder");
        self.held.swap_remove(position);
        self.update();
    }

    /// Decides from the present load whether it is far below its share.
    pub(crate) fn mark_deficient(&mut self) {
        self.deficient = self.share.is_deficient(self.load());
        self.update();
    }

    /// Nothing more can be given to it as a deficient member.
    pub(crate) fn clear_deficient(&mut self) {
        self.deficient = false;
        self.update();
    }

    fn update(&mut self) {
        let load = self.load();
        self.spare_capacity = self.spare_capacity_at(load);
        self.over_bound = load.saturating_sub(self.share.most);
        self.excess = self.share.excess(load);
    }

    fn spare_capacity_at(&self, load: usize) -> Option<SpareCapacity> {
        if load < self.share.floor && self.deficient {
            Some(SpareCapacity::FarBelowShare)
        } else if load < self.share.floor {
            Some(SpareCapacity::BelowShare)
        } else if load < self.share.ceiling {
            Some(SpareCapacity::AtShare)
        } else if load < self.share.most {
            Some(SpareCapacity::WithinBound)
        } else {
            None
        }
    }
}
