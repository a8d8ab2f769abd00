//! An LRU cache of the destinations outside of a dispatcher's buckets that it has looked up.

use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of destinations outside of its buckets for which a control process sends entries to a dispatcher.
/// The cache never holds more destinations.
pub const MAX_CACHED_DESTINATIONS: usize = 4_096;

/// Orders the uses of cached destinations.
type UseSequence = u64;

/// Whether the entries of a cached destination are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookupState {
    /// The lookup is not complete.
    Pending,
    Known,
}

#[derive(Clone, Copy, Debug)]
struct CachedDestination {
    last_use: UseSequence,
    state: LookupState,
}

/// The cached destinations, without their entries.
#[derive(Clone, Debug)]
pub(crate) struct DestinationCache {
    /// The soft limit, which is exceeded only while all cached destinations are in use.
    capacity: usize,
    destinations: BTreeMap<u64, CachedDestination>,
    by_use: BTreeMap<UseSequence, u64>,
    uses: UseSequence,
    /// Destinations that are no longer cached, but for which the control process still sends entries.
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

    /// Whether the capacity is reached, so that adding a destination requires an eviction.
    pub(crate) fn is_full(&self) -> bool {
        self.len() >= self.capacity
    }

    /// Marks a destination as the most recently used one. A new destination is added as [`LookupState::Pending`].
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

    /// Marks the entries of a destination as known, if it is cached.
    pub(crate) fn mark_known(&mut self, destination: u64) {
        if let Some(cached) = self.destinations.get_mut(&destination) {
            cached.state = LookupState::Known;
        }
    }

    /// Adds a destination to look up. The lookup makes the control process send its entries, so it no longer
    /// counts as evicted.
    pub(crate) fn request_lookup(&mut self, destination: u64) {
        self.touch(destination);
        self.evicted.remove(&destination);
    }

    /// Removes a destination, if it is cached. The control process continues to send its entries until it is released.
    pub(crate) fn evict(&mut self, destination: u64) {
        if let Some(cached) = self.destinations.remove(&destination) {
            self.by_use.remove(&cached.last_use);
            self.evicted.insert(destination);
        }
    }

    /// The evicted destinations for which the control process still sends entries, in ascending order.
    pub(crate) fn evicted(&self) -> impl Iterator<Item = u64> {
        self.evicted.iter().copied()
    }

    /// Notes that the control process has stopped sending entries of these destinations.
    pub(crate) fn mark_released(&mut self, destinations: &[u64]) {
        self.evicted
            .retain(|destination| !destinations.contains(destination));
    }

    /// Notes that the control process has stopped sending entries of all evicted destinations.
    pub(crate) fn mark_all_released(&mut self) {
        self.evicted.clear();
    }

    /// The least recently used destination that is not in use.
    pub(crate) fn eviction_candidate(&self, in_use: &dyn Fn(u64) -> bool) -> Option<u64> {
        self.by_use
            .values()
            .copied()
            .find(|destination| !in_use(*destination))
    }

    /// The destinations in this state, in ascending order.
    pub(crate) fn in_state(&self, state: LookupState) -> impl Iterator<Item = u64> {
        self.destinations
            .iter()
            .filter(move |(_, cached)| cached.state == state)
            .map(|(destination, _)| *destination)
    }

    /// All destinations, least recently used first.
    pub(crate) fn least_recently_used_first(&self) -> impl Iterator<Item = u64> {
        self.by_use.values().copied()
    }
}
