//! The versions of the endpoint list, and when each dispatcher receives them.

use super::draw::{draw, interpolate};
use super::effects::{ListChange, ListState};
use super::state::{Timer, World};
use super::time::ms;
use bellsill_core::interface::{EndpointId, Nanos};
use std::collections::BTreeMap;

impl World {
    /// The version that all dispatchers have at the start of the run.
    pub fn first_version(&self) -> usize {
        self.listed_at_start
    }

    /// The latest version.
    pub fn versions(&self) -> usize {
        self.changes.len()
    }

    /// The changes after version `after`, up to and including version `up_to`.
    pub fn changes(&self, after: usize, up_to: usize) -> &[ListChange] {
        &self.changes[after.min(up_to)..up_to]
    }

    /// The list as it was at a version.
    pub fn listing(&self, up_to: usize) -> BTreeMap<EndpointId, ListState> {
        let mut list = BTreeMap::new();
        for change in &self.changes[..up_to] {
            match change.listed {
                ListState::Removed => list.remove(&change.endpoint),
                listed => list.insert(change.endpoint, listed),
            };
        }
        list
    }

    pub(super) fn record_change(&mut self, endpoint: usize, listed: ListState) {
        self.changes.push(ListChange {
            endpoint: EndpointId(endpoint as u32),
            listed,
        });
    }

    /// Publishes the latest version to all dispatchers, each with its own delay.
    pub(super) fn publish_list(&mut self) {
        let (up_to, seed) = (self.changes.len(), self.plan.seed);
        for d in 0..self.plan.spec.dispatchers.count {
            let drawn = draw(seed, up_to as u64, d as u64, 7);
            let lag = ms(interpolate(self.plan.spec.world.list_lag_ms, drawn)) as i64 + self.lag;
            self.schedule(self.now + lag.max(0) as Nanos, Timer::PublishList(d, up_to));
        }
    }
}
