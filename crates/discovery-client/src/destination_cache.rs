//! The destinations outside of a dispatcher's buckets that it has looked up: a least-recently-used order of them.

use std::collections::{BTreeMap, BTreeSet};

/// The most destinations outside of a dispatcher's buckets that a control process sends; the cache is never larger.
pub const MAX_CACHED_DESTINATIONS: usize = 4_096;

/// Numbers the uses of the cache, so that they have an order.
type UseNumber = u64;

/// Whether the entries of a cached destination are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookupState {
    /// The lookup has not been answered yet.
    Pending,
    Known,
}

#[derive(Clone, Copy, Debug)]
struct CachedDestination {
    last_use: UseNumber,
    state: LookupState,
}

/// The cached destinations, without their entries.
#[derive(Clone, Debug)]
pub(crate) struct DestinationCache {
    /// How many destinations are cached while some of them are not in use.
    capacity: usize,
    destinations: BTreeMap<u64, CachedDestination>,
    by_use: BTreeMap<UseNumber, u64>,
    uses: UseNumber,
    /// Destinations that are not cached any more, and that the control process still sends.
    evicted: BTreeSet<u64>,
}

impl DestinationCache {
    pub(crate) fn new(capacity: usize) -> DestinationCache {
        DestinationCache {
            capacity,
            destinations: BTreeMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            evicted: BTreeSet::new(),
        }
    }

    pub(crate) fn state(&self, destination: u64) -> Option<LookupState> {
        let cached = self.destinations.get(&destination);
        cached.map(|cached| cached.state)
    }

    pub(crate) fn contains(&self, destination: u64) -> bool {
        self.destinations.contains_key(&destination)
    }

    pub(crate) fn len(&self) -> usize {
        self.destinations.len()
    }

    /// Whether another destination has to be evicted before one is added.
    pub(crate) fn is_full(&self) -> bool {
        self.len() >= self.capacity
    }

    /// Notes a use of a destination, which is added as [`LookupState::Pending`] where it is new.
    pub(crate) fn touch(&mut self, destination: u64) {
        self.uses += 1;
        let new = CachedDestination {
            last_use: self.uses,
            state: LookupState::Pending,
        };
        let cached = self.destinations.entry(destination).or_insert(new);
        self.by_use.remove(&cached.last_use);
        cached.last_use = self.uses;
        self.by_use.insert(self.uses, destination);
    }

    /// The entries of a destination are known, if it is cached.
    pub(crate) fn mark_known(&mut self, destination: u64) {
        if let Some(cached) = self.destinations.get_mut(&destination) {
            cached.state = LookupState::Known;
        }
    }

    /// Notes a use of a destination that has to be looked up, which sends it from then on.
    pub(crate) fn request_lookup(&mut self, destination: u64) {
        self.touch(destination);
        self.evicted.remove(&destination);
    }

    /// Removes a destination, if it is cached; the control process sends it until it is released.
    pub(crate) fn evict(&mut self, destination: u64) {
        if let Some(cached) = self.destinations.remove(&destination) {
            self.by_use.remove(&cached.last_use);
            self.evicted.insert(destination);
        }
    }

    /// The evicted destinations that the control process still sends, by number.
    pub(crate) fn evicted(&self) -> impl Iterator<Item = u64> {
        self.evicted.iter().copied()
    }

    /// The control process does not send these destinations any more.
    pub(crate) fn mark_released(&mut self, destinations: &[u64]) {
        self.evicted
            .retain(|destination| !destinations.contains(destination));
    }

    /// The control process sends no evicted destination any more.
    pub(crate) fn mark_all_released(&mut self) {
        self.evicted.clear();
    }

    /// The least recently used destination that is not in use now.
    pub(crate) fn oldest_unused(&self, in_use: &dyn Fn(u64) -> bool) -> Option<u64> {
        self.by_use
            .values()
            .copied()
            .find(|destination| !in_use(*destination))
    }

    /// The destinations in that state, by number.
    pub(crate) fn in_state(&self, state: LookupState) -> impl Iterator<Item = u64> {
        self.destinations
            .iter()
            .filter(move |(_, cached)| cached.state == state)
            .map(|(destination, _)| *destination)
    }

    /// All destinations, the least recently used one first.
    pub(crate) fn by_use(&self) -> impl Iterator<Item = u64> {
        self.by_use.values().copied()
    }
}
