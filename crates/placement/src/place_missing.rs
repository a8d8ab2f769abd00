//! The first step of a plan: places replicas that have no holder.

use crate::candidate::SpareCapacity;
use crate::change::REPLICAS;
use crate::region_state::{RegionState, Replica};
use crate::transfer::free_capacity_outside;
use std::cmp::Ordering;

/// A candidate that a replica can be placed on.
#[derive(Clone, Copy)]
struct Target {
    spare_capacity: SpareCapacity,
    score: f64,
    candidate: usize,
}

impl Target {
    fn compare(&self, other: &Target) -> Ordering {
        self.spare_capacity
            .cmp(&other.spare_capacity)
            .then(self.score.total_cmp(&other.score))
    }
}

pub(crate) fn place_missing_replicas(state: &mut RegionState) {
    for bucket in 0..state.holders().len() {
        if state.lacks_replica(bucket) {
            place_bucket(state, bucket);
        }
    }
}

fn place_bucket(state: &mut RegionState, bucket: usize) {
    let targets = best_targets(state, bucket);
    for slot in 0..REPLICAS {
        let replica = Replica { bucket, slot };
        if state.holder(replica).is_none() && state.lacks_replica(bucket) {
            place_replica(state, replica, &targets);
        }
    }
}

fn place_replica(state: &mut RegionState, replica: Replica, targets: &[Option<Target>]) {
    let other_zone = state.other_zone(replica);
    let in_other_zones = targets
        .iter()
        .enumerate()
        .filter(|(zone, _)| Some(*zone) != other_zone);
    let best = in_other_zones
        .filter_map(|(_, target)| *target)
        .min_by(Target::compare);
    let candidate = match best {
        Some(target) => Some(target.candidate),
        None => other_zone.and_then(|zone| free_capacity_outside(state, zone)),
    };
    if let Some(candidate) = candidate {
        state.set_holder(replica, candidate);
    }
}

/// For each zone without a replica of the bucket, the candidate with the most spare capacity; the best score breaks
/// ties.
fn best_targets(state: &RegionState, bucket: usize) -> Vec<Option<Target>> {
    let mut best: Vec<Option<Target>> = vec![None; state.zones()];
    let occupied: Vec<bool> = (0..state.zones())
        .map(|zone| state.is_held_in(bucket, zone))
        .collect();
    for (index, candidate) in state.candidates().iter().enumerate() {
        let (Some(spare_capacity), false) =
            (candidate.spare_capacity(), occupied[candidate.zone()])
        else {
            continue;
        };
        let best = &mut best[candidate.zone()];
        if best.is_some_and(|best| best.spare_capacity < spare_capacity) {
            continue;
        }
        let score = state.score(bucket, index);
        let is_better =
            |best: Target| spare_capacity < best.spare_capacity || score.is_below(best.score);
        if best.is_none_or(is_better) {
            *best = Some(Target {
                spare_capacity,
                score: score.value(),
                candidate: index,
            });
        }
    }
    best
}
