//! The subset of a large destination's routes that this dispatcher uses: with few messages for each
//! of many routes, every one would go by a new connection.
//!
//! The routes have an order that all dispatchers share; each dispatcher uses a few that follow one
//! another, from a place that follows from its index. The places of any number of dispatchers are
//! spread evenly, so that routes share the load evenly, and a route that comes or goes moves a
//! subset by one at most (deterministic subsetting; `docs/design.md` names the source).

use crate::interface::Settings;
use crate::state::routes::Routes;

/// How many routes a dispatcher uses at least: a destination that has no more of them is not
/// divided.
const SUBSET_SIZE: usize = 4;
/// How many dispatchers have to use each route. The dispatchers of a small fleet use more routes
/// each, or all of them: otherwise some routes would be in no subset and idle, and the others
/// overloaded.
const USERS_OF_A_ROUTE: usize = 4;
/// The part of a turn between the places of one dispatcher and the next: by the golden ratio, any
/// number of places in a row are spread about evenly.
const GOLDEN_TURN: f64 = 0.618_033_988_749_894_9;

/// Of the eligible routes, by their index at the destination, those that are in the subset; all of
/// them where none is, or where the destination is not divided.
pub(super) fn restrict_to_subset(
    settings: &Settings,
    all: &Routes,
    routes: &[usize],
    eligible: Vec<bool>,
) -> Vec<bool> {
    let serving = |&index: &usize| all[routes[index]].entry.serving;
    let mut order: Vec<usize> = (0..routes.len()).filter(serving).collect();
    let size = subset_size(settings, order.len());
    if order.len() <= size {
        return eligible;
    }
    order.sort_unstable_by_key(|&index| {
        let entry = &all[routes[index]].entry;
        (entry.name_hash, entry.endpoint)
    });
    let first = (subset_place(settings) * order.len() as f64) as usize;
    let mut restricted = vec![false; routes.len()];
    for &index in order.iter().cycle().skip(first).take(size) {
        restricted[index] = eligible[index];
    }
    if restricted.contains(&true) {
        restricted
    } else {
        eligible
    }
}

fn subset_size(settings: &Settings, routes: usize) -> usize {
    let for_all = (USERS_OF_A_ROUTE * routes).div_ceil(settings.dispatchers.max(1) as usize);
    for_all.max(SUBSET_SIZE)
}

/// Where the subset begins, as a part of the whole.
fn subset_place(settings: &Settings) -> f64 {
    let index = settings.dispatcher_index.unwrap_or(settings.seed as u32);
    (f64::from(index) * GOLDEN_TURN).fract()
}
