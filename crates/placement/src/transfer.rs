//! Moves single replicas between members. The steps of a plan select the members.

use crate::change::REPLICAS;
use crate::region_state::{RegionState, Replica};

/// Which replicas of a member may be moved.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Movable {
    /// Only replicas that this plan has already moved.
    AlreadyMoved,
    Any,
}

/// No replica satisfies the conditions of the move.
#[derive(Debug)]
pub(crate) struct NoMovableReplica;

/// Moves one replica to the target from the member furthest above its share that has a suitable replica.
pub(crate) fn transfer_from_any(
    state: &mut RegionState,
    target: usize,
    movable: Movable,
) -> Result<(), NoMovableReplica> {
    let mut sources = sources(state);
    if sources.is_empty() {
        return Err(NoMovableReplica);
    }
    // The first source nearly always has a suitable replica; the others are sorted only if it does not.
    sources.select_nth_unstable_by(0, |a, b| state.compare_surplus(*a, *b));
    if transfer(state, sources[0], target, movable).is_ok() {
        return Ok(());
    }
    sources[1..].sort_unstable_by(|a, b| state.compare_surplus(*a, *b));
    for source in &sources[1..] {
        if transfer(state, *source, target, movable).is_ok() {
            return Ok(());
        }
    }
    Err(NoMovableReplica)
}

/// Relocates load from the member furthest above its share to the target through a member of another zone.
pub(crate) fn transfer_from_any_through_other_zone(
    state: &mut RegionState,
    target: usize,
) -> Result<(), NoMovableReplica> {
    let source = sources(state)
        .into_iter()
        .min_by(|a, b| state.compare_surplus(*a, *b))
        .ok_or(NoMovableReplica)?;
    transfer_through_other_zone(state, source, target)
}

/// Moves a replica of an intermediate member to the target, and a replica of the source to the intermediate member.
pub(crate) fn transfer_through_other_zone(
    state: &mut RegionState,
    source: usize,
    target: usize,
) -> Result<(), NoMovableReplica> {
    let intermediate = free_capacity_by_moving_to(state, target).ok_or(NoMovableReplica)?;
    transfer(state, source, intermediate, Movable::Any)
}

pub(crate) fn transfer(
    state: &mut RegionState,
    source: usize,
    target: usize,
    movable: Movable,
) -> Result<(), NoMovableReplica> {
    let replica = best_replica(state, source, target, movable).ok_or(NoMovableReplica)?;
    state.set_holder(replica, target);
    Ok(())
}

/// Frees capacity on a member outside the zone by moving one of its replicas into the zone. Returns that member.
pub(crate) fn free_capacity_outside(state: &mut RegionState, zone: usize) -> Option<usize> {
    let candidates = state.candidates();
    let in_zone = |index: &usize| {
        let candidate = &candidates[*index];
        candidate.zone() == zone && candidate.spare_capacity().is_some()
    };
    let target = (0..candidates.len())
        .filter(in_zone)
        .min_by(|a, b| state.compare_excess(*a, *b))?;
    free_capacity_by_moving_to(state, target)
}

/// Moves a replica of a bucket that has no replica in the target's zone to the target. Returns its previous holder.
fn free_capacity_by_moving_to(state: &mut RegionState, target: usize) -> Option<usize> {
    let zone = state.candidates()[target].zone();
    let (bucket, holders) = state
        .holders()
        .iter()
        .enumerate()
        .find(|(bucket, holders)| {
            !state.is_held_in(*bucket, zone) && **holders != [None; REPLICAS]
        })?;
    let slot = holders.iter().position(Option::is_some)?;
    let previous_holder = holders[slot];
    state.set_holder(Replica { bucket, slot }, target);
    previous_holder
}

/// The members whose load is above their floor.
fn sources(state: &RegionState) -> Vec<usize> {
    let candidates = state.candidates();
    (0..candidates.len())
        .filter(|index| candidates[*index].load() > candidates[*index].floor())
        .collect()
}

/// The best replica of the source to move to the target. Replicas that this plan has already moved are preferred, then
/// those whose other replica has not moved, then those with the best score.
fn best_replica(
    state: &RegionState,
    source: usize,
    target: usize,
    movable: Movable,
) -> Option<Replica> {
    let target_zone = Some(state.candidates()[target].zone());
    let rank = |replica: Replica| {
        (
            !state.has_moved(replica),
            state.has_moved(replica.other()),
            state.score(replica.bucket, target).order_for_one_member(),
        )
    };
    state.candidates()[source]
        .held()
        .iter()
        .map(|bucket| state.replica_of(*bucket, source))
        .filter(|replica| state.other_zone(*replica) != target_zone)
        .filter(|replica| movable == Movable::Any || state.has_moved(*replica))
        .map(|replica| (rank(replica), replica))
        .min_by(|(a, _), (b, _)| a.partial_cmp(b).expect("scores are never NaN"))
        .map(|(_, replica)| replica)
}
