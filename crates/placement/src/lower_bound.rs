//! A lower bound of the moves of a plan.

use crate::change::REPLICAS;
use crate::region_state::RegionState;

/// The least number of moves of any plan with the same bounds from this state on. Every replica without a holder and every
/// one above a bound must go somewhere, and every replica that a member lacks must come; one move may do both, but not
/// where a replica without a holder goes to the zone of its bucket's other replica.
pub(crate) fn least_moves(state: &RegionState) -> usize {
    let over_bounds: usize = state
        .candidates()
        .iter()
        .map(|candidate| candidate.over_bound())
        .sum();
    let must_go = over_bounds + missing_replicas(state);
    let lacking = lacking_by_zone(state);
    let of_one_zone = must_go_elsewhere(state)
        .into_iter()
        .zip(&lacking)
        .map(|(go, come)| go + come)
        .max();
    must_go
        .max(lacking.iter().sum())
        .max(of_one_zone.unwrap_or(0))
}

fn missing_replicas(state: &RegionState) -> usize {
    let missing = |holders: &[Option<usize>; REPLICAS]| {
        let present = holders.iter().flatten().count();
        state.replicas().saturating_sub(present)
    };
    state.holders().iter().map(missing).sum()
}

/// For each zone the replicas that must go to another zone, because the other replica of their bucket is in this one.
fn must_go_elsewhere(state: &RegionState) -> Vec<usize> {
    let mut must_go = vec![0; state.zones()];
    if state.replicas() == REPLICAS {
        for holders in state.holders() {
            if let [Some(holder), None] | [None, Some(holder)] = holders {
                must_go[state.candidates()[*holder].zone()] += 1;
            }
        }
    }
    must_go
}

/// For each zone the replicas that its members lack that are far below their share.
fn lacking_by_zone(state: &RegionState) -> Vec<usize> {
    let mut lacking = vec![0; state.zones()];
    let candidates = state.candidates().iter();
    for candidate in candidates.filter(|candidate| candidate.is_deficient()) {
        lacking[candidate.zone()] += candidate.floor() - candidate.load();
    }
    lacking
}
