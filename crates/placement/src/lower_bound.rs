//! A lower bound of the number of moves of a plan.

use crate::change::REPLICAS;
use crate::region_state::RegionState;

/// A lower bound of the number of moves of any plan that starts from this state and keeps the same load bounds. Every
/// replica without a holder and every replica above a member's maximum load must be placed elsewhere, and every
/// deficient member must receive replicas up to its floor. One move can do both, except that a replica without a holder
/// cannot be placed in the zone of the other replica of its bucket.
pub(crate) fn min_moves(state: &RegionState) -> usize {
    let over_max_load: usize = state
        .candidates()
        .iter()
        .map(|candidate| candidate.over_max_load())
        .sum();
    let must_leave = over_max_load + missing_replicas(state);
    let shortfalls = shortfall_by_zone(state);
    let max_of_one_zone = barred_by_zone(state)
        .into_iter()
        .zip(&shortfalls)
        .map(|(barred, shortfall)| barred + shortfall)
        .max();
    must_leave
        .max(shortfalls.iter().sum())
        .max(max_of_one_zone.unwrap_or(0))
}

fn missing_replicas(state: &RegionState) -> usize {
    let missing = |holders: &[Option<usize>; REPLICAS]| {
        let present = holders.iter().flatten().count();
        state.replicas().saturating_sub(present)
    };
    state.holders().iter().map(missing).sum()
}

/// For each zone, the number of replicas without a holder that must be placed in another zone because the other replica
/// of their bucket is in this zone.
fn barred_by_zone(state: &RegionState) -> Vec<usize> {
    let mut barred = vec![0; state.zones()];
    if state.replicas() == REPLICAS {
        for holders in state.holders() {
            if let [Some(holder), None] | [None, Some(holder)] = holders {
                barred[state.candidates()[*holder].zone()] += 1;
            }
        }
    }
    barred
}

/// For each zone, the number of replicas that its deficient members need to reach their floor.
fn shortfall_by_zone(state: &RegionState) -> Vec<usize> {
    let mut shortfalls = vec![0; state.zones()];
    let candidates = state.candidates().iter();
    for candidate in candidates.filter(|candidate| candidate.is_deficient()) {
        shortfalls[candidate.zone()] += candidate.floor() - candidate.load();
    }
    shortfalls
}
