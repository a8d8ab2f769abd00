//! The subset of a large destination's routes that this dispatcher uses: with few messages for each of many routes, every
//! one would go by a new connection.
//!
//! The routes stand in an order that all dispatchers share; each uses a few that follow one another, from a place that
//! follows from its position. The places of any number of dispatchers lie evenly, so that routes share the load evenly, and
//! a route that comes or goes moves a subset by one at most (deterministic subsetting; `docs/design.md` names the source).

use super::*;

/// How many routes a dispatcher uses at the least: a destination that has no more of them is not divided.
const SUBSET_SIZE: usize = 4;
/// How many dispatchers have to use each route. A small fleet uses more routes each, or all of them: those in nobody's
/// subset would stand idle, and the others would be overrun.
const USERS_OF_A_ROUTE: usize = 4;
/// The part of a turn between the places of one dispatcher and the next: by the golden ratio, any number of places in a
/// row lie about evenly.
const GOLDEN_TURN: f64 = 0.618_033_988_749_894_9;

impl Dispatcher {
    /// Of the eligible routes, by their index at the destination, those that are in the subset; all of them where none is,
    /// or where the destination is not divided.
    pub(super) fn narrow_to_subset(&self, routes: &[usize], eligible: Vec<bool>) -> Vec<bool> {
        let serving = |&index: &usize| self.routes[routes[index]].entry.serving;
        let mut order: Vec<usize> = (0..routes.len()).filter(serving).collect();
        let size = self.subset_size(order.len());
        if order.len() <= size {
            return eligible;
        }
        order.sort_unstable_by_key(|&index| {
            let entry = &self.routes[routes[index]].entry;
            (entry.name_hash, entry.endpoint)
        });
        let first = (self.subset_place() * order.len() as f64) as usize;
        let mut narrowed = vec![false; routes.len()];
        for &index in order.iter().cycle().skip(first).take(size) {
            narrowed[index] = eligible[index];
        }
        if narrowed.contains(&true) {
            narrowed
        } else {
            eligible
        }
    }

    fn subset_size(&self, routes: usize) -> usize {
        let for_all =
            (USERS_OF_A_ROUTE * routes).div_ceil(self.settings.dispatchers.max(1) as usize);
        for_all.max(SUBSET_SIZE)
    }

    /// Where the subset begins, as a part of the whole.
    fn subset_place(&self) -> f64 {
        let position = self
            .settings
            .dispatcher_index
            .unwrap_or(self.settings.seed as u32);
        (f64::from(position) * GOLDEN_TURN).fract()
    }
}
