//! Places the buckets of one region: weighted rendezvous hashing with bounded load, beginning from the current holders.
//!
//! The steps, each moving as little as it can:
//! 1. Replicas without a holder go to members below their fair share, the one with the best score first.
//! 2. Replicas that step 1 placed are spread evenly; that moves nothing more.
//! 3. Members far below their fair share, as new ones, are filled up to it from those that are furthest above theirs.
//! 4. Members above their bound give the rest of the excess to those that are furthest below their share.
//!
//! Where all members outside of a zone are full, a replica of another bucket is moved into that zone first to free
//! capacity. That always works while the zone does not hold every bucket, since the bounds of the other zones suffice for
//! one replica of each bucket.

use crate::candidate::SpareCapacity;
use crate::place_missing::place_missing_replicas;
use crate::region_state::RegionState;
use crate::transfer::{
    Movable, transfer, transfer_from_any, transfer_from_any_through_another_zone,
    transfer_through_another_zone,
};

/// Places every replica.
pub(crate) fn run(state: &mut RegionState) {
    place_missing_replicas(state);
    spread_moved_replicas(state);
    fill_deficient(state);
    relieve_overloaded(state);
}

fn spread_moved_replicas(state: &mut RegionState) {
    if state.moved_replicas() == 0 {
        return;
    }
    for target in 0..state.candidates().len() {
        while state.candidates()[target].load() < state.candidates()[target].floor() {
            if transfer_from_any(state, target, Movable::AlreadyMoved).is_err() {
                break;
            }
        }
    }
}

fn fill_deficient(state: &mut RegionState) {
    while let Some(target) = most_deficient(state) {
        let filled = transfer_from_any(state, target, Movable::Any)
            .or_else(|_nothing_movable| transfer_from_any_through_another_zone(state, target));
        if filled.is_err() {
            state.candidate_mut(target).clear_deficient();
        }
    }
}

fn most_deficient(state: &RegionState) -> Option<usize> {
    let far_below = |index: &usize| {
        state.candidates()[*index].spare_capacity() == Some(SpareCapacity::FarBelowShare)
    };
    (0..state.candidates().len())
        .filter(far_below)
        .min_by(|a, b| state.compare_excess(*a, *b))
}

fn relieve_overloaded(state: &mut RegionState) {
    for source in 0..state.candidates().len() {
        while state.candidates()[source].over_bound() > 0 {
            if !relieve(state, source) {
                break;
            }
        }
    }
}

/// Moves one replica to the member furthest below its share that can hold it. Returns whether there is one.
fn relieve(state: &mut RegionState, source: usize) -> bool {
    let candidates = state.candidates();
    let mut targets: Vec<usize> = (0..candidates.len())
        .filter(|index| candidates[*index].spare_capacity().is_some())
        .collect();
    targets.sort_by(|a, b| {
        let spare_capacity = |index: &usize| candidates[*index].spare_capacity();
        spare_capacity(a)
            .cmp(&spare_capacity(b))
            .then(state.compare_excess(*a, *b))
    });
    for target in &targets {
        if transfer(state, source, *target, Movable::Any).is_ok() {
            return true;
        }
    }
    let first = targets.first();
    first.is_some_and(|target| transfer_through_another_zone(state, source, *target).is_ok())
}
