//! Deterministic subsetting: a dispatcher uses only some of the routes of a large destination. With
//! few messages for each of many routes, every message would need a new connection.
//!
//! All dispatchers order the routes alike, and each one uses a run of consecutive routes that
//! starts at an offset derived from its index. The offsets of any number of dispatchers are spread
//! evenly, so that the load on the routes is even, and adding or removing a route shifts a subset
//! by at most one route. `docs/design.md` cites the source.

use crate::interface::Settings;
use crate::state::routes::Routes;

/// The minimum number of routes in a subset. A destination with no more routes than that is not
/// divided into subsets.
const MIN_SUBSET_SIZE: usize = 4;
/// The minimum number of dispatchers that use a route, on average. Subsets are larger in a small
/// fleet, up to all routes: otherwise some routes would be in no subset and idle, and the others
/// overloaded.
const MIN_DISPATCHERS_PER_ROUTE: usize = 4;
/// The distance between the offsets of consecutive dispatchers, as a fraction of all routes. With
/// the golden ratio, any number of consecutive offsets is spread about evenly.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Restricts the eligible routes, by their index at the destination, to those in the subset.
/// Returns them unchanged if none is in the subset, or if the destination is not divided.
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
    let first = (subset_offset(settings) * order.len() as f64) as usize;
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
    let required =
        (MIN_DISPATCHERS_PER_ROUTE * routes).div_ceil(settings.dispatchers.max(1) as usize);
    required.max(MIN_SUBSET_SIZE)
}

/// The offset of the subset's first route, as a fraction of all routes.
fn subset_offset(settings: &Settings) -> f64 {
    let index = settings.dispatcher_index.unwrap_or(settings.seed as u32);
    (f64::from(index) * GOLDEN_RATIO_FRACTION).fract()
}
