//! Moves single replicas from one member to another; the steps of a plan decide which members.

use crate::change::REPLICAS;
use crate::region_state::{RegionState, Replica};

/// Which replicas may be moved away from a member.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Movable {
    /// Those that this plan has moved already.
    AlreadyMoved,
    Any,
}

/// No replica can be moved as asked.
#[derive(Debug)]
pub(crate) struct NothingMovable;

/// Moves one replica to the target from the member furthest above its share that has one for it.
pub(crate) fn transfer_from_any(
    state: &mut RegionState,
    target: usize,
    movable: Movable,
) -> Result<(), NothingMovable> {
    let mut sources = sources(state);
    if sources.is_empty() {
        return Err(NothingMovable);
    }
    // The first nearly always has one, so the others are sorted only where it has not.
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
    Err(NothingMovable)
}

/// Moves one replica from the member furthest above its share by way of a member of a third zone.
pub(crate) fn transfer_from_any_through_another_zone(
    state: &mut RegionState,
    target: usize,
) -> Result<(), NothingMovable> {
    let source = sources(state)
        .into_iter()
        .min_by(|a, b| state.compare_surplus(*a, *b))
        .ok_or(NothingMovable)?;
    transfer_through_another_zone(state, source, target)
}

/// Moves a replica of a third member to the target, and one of the source to that member.
pub(crate) fn transfer_through_another_zone(
    state: &mut RegionState,
    source: usize,
    target: usize,
) -> Result<(), NothingMovable> {
    let between = free_capacity_by(state, target).ok_or(NothingMovable)?;
    transfer(state, source, between, Movable::Any)
}

pub(crate) fn transfer(
    state: &mut RegionState,
    source: usize,
    target: usize,
    movable: Movable,
) -> Result<(), NothingMovable> {
    let replica = best_replica(state, source, target, movable).ok_or(NothingMovable)?;
    state.set_holder(replica, target);
    Ok(())
}

/// Frees capacity on a member outside of a zone, and returns that member.
pub(crate) fn free_capacity_outside(state: &mut RegionState, zone: usize) -> Option<usize> {
    let candidates = state.candidates();
    let in_zone = |index: &usize| {
        let candidate = &candidates[*index];
        candidate.zone() == zone && candidate.spare_capacity().is_some()
    };
    let target = (0..candidates.len())
        .filter(in_zone)
        .min_by(|a, b| state.compare_excess(*a, *b))?;
    free_capacity_by(state, target)
}

/// Moves a replica of a bucket that has none in the target's zone to the target, and returns the member that held it.
fn free_capacity_by(state: &mut RegionState, target: usize) -> Option<usize> {
    let zone = state.candidates()[target].zone();
    let (bucket, holders) = state
        .holders()
        .iter()
        .enumerate()
        .find(|(bucket, holders)| {
            !state.is_held_in(*bucket, zone) && **holders != [None; REPLICAS]
        })?;
    let slot = holders.iter().position(Option::is_some)?;
    let relieved = holders[slot];
    state.set_holder(Replica { bucket, slot }, target);
    relieved
}

/// The members that hold more than the least they are given.
fn sources(state: &RegionState) -> Vec<usize> {
    let candidates = state.candidates();
    (0..candidates.len())
        .filter(|index| candidates[*index].load() > candidates[*index].floor())
        .collect()
}

/// The replica of the source that the target may hold: one that has moved already before one that has not, one whose
/// other replica stays before one whose other replica is new too, and the best score.
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
        .min_by(|(a, _), (b, _)| a.partial_cmp(b).expect("scores are numbers"))
        .map(|(_, replica)| replica)
}
