//! Places the buckets of one region by weighted rendezvous hashing with bounded loads, starting from the current
//! holders.
//!
//! The steps, each of which tries to move as few replicas as possible:
//! 1. Place replicas without a holder, preferably on members below their fair share, and among those on the member with
//!    the best score.
//! 2. Balance the replicas that step 1 placed. This moves no additional replicas.
//! 3. Fill members far below their fair share, such as new ones, from the members furthest above theirs.
//! 4. Move the remaining replicas above a member's maximum load to the members furthest below their share.
//!
//! If all members outside a zone are full, a replica of another bucket is first moved into that zone to free capacity.
//! This always works unless the zone already holds every bucket, because the maximum loads of the other zones suffice
//! for one replica of each bucket.

use crate::candidate::SpareCapacity;
use crate::place_missing::place_missing_replicas;
use crate::region_state::RegionState;
use crate::transfer::{
    Movable, transfer, transfer_from_any, transfer_from_any_through_other_zone,
    transfer_through_other_zone,
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
            .or_else(|_no_movable_replica| transfer_from_any_through_other_zone(state, target));
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
        while state.candidates()[source].over_max_load() > 0 {
            if !move_one_away(state, source) {
                break;
            }
        }
    }
}

/// Moves one replica of the source to the member furthest below its share that can hold it. Returns whether a replica
/// was moved.
fn move_one_away(state: &mut RegionState, source: usize) -> bool {
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
    let least_loaded = targets.first();
    least_loaded.is_some_and(|target| transfer_through_other_zone(state, source, *target).is_ok())
}
