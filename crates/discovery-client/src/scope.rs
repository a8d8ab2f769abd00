//! The entries in a dispatcher's scope: those of its held buckets and of its cached destinations.

use crate::applied::Applied;
use crate::bucket_map::BucketMap;
use crate::bucket_set::{BucketSet, BucketState};
use crate::counters::ListCounters;
use crate::destination_cache::{DestinationCache, LookupState, MAX_CACHED_DESTINATIONS};
use crate::endpoint_table::{CachedEntry, EndpointTable};
use crate::error::CacheFull;
use crate::tombstones::Tombstones;
use bellsill_directory::line::{EndpointEntry, EndpointState, ScopedLine, Version};
use bellsill_placement::BucketId;
use std::collections::BTreeSet;
use std::sync::Arc;

pub(crate) struct Scope {
    layout: Arc<dyn BucketMap>,
    buckets: BucketSet,
    endpoints: EndpointTable,
    cache: DestinationCache,
    tombstones: Tombstones,
    counters: ListCounters,
    /// Incremented with each change of the saved state.
    revision: u64,
}

impl Scope {
    pub(crate) fn new(layout: Arc<dyn BucketMap>, cache_destinations: usize) -> Scope {
        Scope {
            layout,
            buckets: BucketSet::default(),
            endpoints: EndpointTable::default(),
            cache: DestinationCache::new(cache_destinations),
            tombstones: Tombstones::default(),
            counters: ListCounters::default(),
            revision: 0,
        }
    }

    /// Restores an empty scope from the saved state; `cached` are the destinations whose entries are known.
    pub(crate) fn restore(
        &mut self,
        complete: Vec<BucketId>,
        filling: Vec<BucketId>,
        cached: Vec<u64>,
        entries: Vec<EndpointEntry>,
    ) {
        self.buckets = BucketSet::restore(complete, filling);
        for destination in cached {
            self.cache.touch(destination);
            self.cache.mark_known(destination);
        }
        for entry in entries {
            self.insert_entry(entry, false);
        }
    }

    pub(crate) fn buckets(&self) -> &BucketSet {
        &self.buckets
    }

    pub(crate) fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    pub(crate) fn cache(&self) -> &DestinationCache {
        &self.cache
    }

    pub(crate) fn counters(&self) -> ListCounters {
        self.counters
    }

    pub(crate) fn counters_mut(&mut self) -> &mut ListCounters {
        &mut self.counters
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Records a change of the saved state that the other methods do not count.
    pub(crate) fn mark_changed(&mut self) {
        self.revision += 1;
    }

    /// Starts a new log. Entries in held buckets stay until the buckets are resent. Entries of cached destinations are
    /// resent at once, so the old ones are dropped here; an entry that the new log does not have would otherwise never
    /// be removed.
    pub(crate) fn start_log(&mut self, applied: &mut Applied) {
        self.revision += 1;
        self.tombstones.clear();
        self.buckets.refill();
        self.endpoints.reset_versions();
        let cached: Vec<u64> = self.cache.least_recently_used_first().collect();
        for destination in cached {
            self.drop_destination(destination, applied);
        }
    }

    /// Returns the buckets that are no longer assigned; see [`BucketSet::take_unconfirmed`].
    pub(crate) fn take_unconfirmed(&mut self, line: &ScopedLine) -> BTreeSet<BucketId> {
        self.buckets.take_unconfirmed(line)
    }

    pub(crate) fn add_bucket(&mut self, bucket: BucketId) {
        self.revision += 1;
        self.buckets.add(bucket);
        for name in self.endpoints.names_in(bucket) {
            if let Some(cached) = self.endpoints.get_mut(&name) {
                cached.confirmed = false;
            }
        }
    }

    pub(crate) fn remove_bucket(&mut self, bucket: BucketId, applied: &mut Applied) {
        if !self.buckets.remove(bucket) {
            return;
        }
        self.revision += 1;
        for name in self.endpoints.names_in(bucket) {
            let destination = self.endpoints.destination_of(&name);
            if destination.is_none_or(|destination| !self.cache.contains(destination)) {
                applied.dropped.extend(self.remove_entry(&name));
            }
        }
    }

    /// Marks a bucket as complete. Entries of the bucket that were not received since it was gained are dropped, and
    /// destinations whose entries are all in complete buckets are evicted from the cache.
    pub(crate) fn complete_bucket(&mut self, bucket: BucketId, applied: &mut Applied) {
        if self.buckets.state(bucket) != Some(BucketState::Filling) {
            return;
        }
        self.revision += 1;
        self.buckets.complete(bucket);
        for name in self.endpoints.names_in(bucket) {
            let endpoint = self.endpoints.get_mut(&name);
            if endpoint.is_some_and(|cached| !cached.confirmed) {
                self.counters.dropped_entries += 1;
                applied.dropped.extend(self.remove_entry(&name));
            } else if let Some(destination) = self.endpoints.destination_of(&name)
                && self.all_in_complete_buckets(destination)
            {
                self.cache.evict(destination);
            }
        }
    }

    /// Whether every known endpoint of a destination is in a complete bucket, so that its changes are sent without the
    /// cache. A destination may have endpoints in several regions, but a bucket contains those of one region: changes
    /// of the others are only sent while the destination is cached.
    fn all_in_complete_buckets(&self, destination: u64) -> bool {
        let complete = |bucket| self.buckets.state(bucket) == Some(BucketState::Complete);
        self.endpoints
            .of_destination(destination)
            .all(|cached| cached.bucket.is_some_and(complete))
    }

    /// Adds, replaces or removes an entry, if its version is higher than the known one.
    pub(crate) fn apply_entry(
        &mut self,
        mut entry: EndpointEntry,
        line_version: Version,
        applied: &mut Applied,
    ) {
        if entry.version == Version(0) {
            entry.version = line_version;
        }
        let known = self.endpoints.get_mut(&entry.id);
        let known_version = known.as_ref().map(|cached| cached.entry.version);
        // Even a stale version confirms that the endpoint is still in its bucket.
        if let Some(cached) = known {
            cached.confirmed = true;
        }
        match known_version.max(self.tombstones.version(&entry.id)) {
            Some(version) if entry.version < version => {
                self.counters.stale_entries += 1;
                return;
            }
            Some(version) if entry.version == version => {
                self.counters.duplicate_entries += 1;
                return;
            }
            _ => {}
        }
        if !self.in_scope(&entry) {
            applied.dropped.extend(self.remove_entry(&entry.id));
            self.counters.out_of_scope_entries += 1;
        } else if entry.state == EndpointState::Removed {
            applied.dropped.extend(self.remove_entry(&entry.id));
            self.tombstones.insert(entry.id, entry.version);
        } else {
            self.replace_entry(entry, applied);
        }
    }

    fn replace_entry(&mut self, entry: EndpointEntry, applied: &mut Applied) {
        self.revision += 1;
        self.counters.applied_entries += 1;
        // An endpoint that has moved to another destination is removed from the old one.
        let known = self.endpoints.destination_of(&entry.id);
        if known.is_some_and(|destination| destination != entry.destination) {
            applied.dropped.extend(self.remove_entry(&entry.id));
        }
        applied.changed.push(entry.clone());
        self.insert_entry(entry, true);
    }

    /// Whether an entry is in a held bucket or of a cached destination.
    fn in_scope(&self, entry: &EndpointEntry) -> bool {
        let bucket = self.layout.bucket_of(&entry.zone, entry.destination);
        bucket.is_some_and(|bucket| self.buckets.holds(bucket))
            || self.cache.contains(entry.destination)
    }

    fn insert_entry(&mut self, entry: EndpointEntry, confirmed: bool) {
        // The known entry may be in another zone or of another destination, and so in another bucket.
        self.remove_entry(&entry.id);
        self.tombstones.remove(&entry.id);
        let bucket = self.layout.bucket_of(&entry.zone, entry.destination);
        self.endpoints.insert(CachedEntry {
            entry,
            bucket,
            confirmed,
        });
    }

    fn remove_entry(&mut self, name: &str) -> Option<EndpointEntry> {
        let entry = self.endpoints.remove(name)?;
        self.revision += 1;
        Some(entry)
    }

    /// Drops the entries of a destination, except those in held buckets.
    fn drop_destination(&mut self, destination: u64, applied: &mut Applied) {
        let held = |cached: &&CachedEntry| {
            let bucket = cached.bucket;
            bucket.is_some_and(|bucket| self.buckets.holds(bucket))
        };
        let endpoints = self.endpoints.of_destination(destination);
        let names: Vec<String> = endpoints
            .filter(|cached| !held(cached))
            .map(|cached| cached.entry.id.clone())
            .collect();
        for name in names {
            applied.dropped.extend(self.remove_entry(&name));
        }
    }

    /// Marks a destination as the most recently used one, if it is cached.
    pub(crate) fn touch(&mut self, destination: u64) {
        if self.cache.contains(destination) {
            self.cache.touch(destination);
        }
    }

    /// Adds a destination to look up to the cache, and evicts destinations that are not in use if the cache is full.
    pub(crate) fn request_lookup(
        &mut self,
        destination: u64,
        in_use: &dyn Fn(u64) -> bool,
    ) -> Result<Applied, CacheFull> {
        let mut applied = Applied::default();
        while self.cache.is_full() {
            let Some(oldest) = self.cache.eviction_candidate(in_use) else {
                break;
            };
            self.counters.evicted_destinations += 1;
            self.evict(oldest, &mut applied);
        }
        if self.cache.len() >= MAX_CACHED_DESTINATIONS {
            return Err(CacheFull);
        }
        self.revision += 1;
        self.cache.request_lookup(destination);
        Ok(applied)
    }

    /// Adds an entry that is not from a control process, and caches its destination as known.
    pub(crate) fn import_entry(&mut self, entry: EndpointEntry) {
        if self.cache.is_full() && !self.cache.contains(entry.destination) {
            log::warn!(
                "configuration: skipped endpoint {}: the destination cache is full",
                entry.id
            );
            return;
        }
        self.cache.touch(entry.destination);
        self.cache.mark_known(entry.destination);
        let version = Version(0);
        self.insert_entry(EndpointEntry { version, ..entry }, false);
    }

    /// Evicts a destination whose lookup is not complete.
    pub(crate) fn cancel_lookup(&mut self, destination: u64) -> Applied {
        let mut applied = Applied::default();
        if self.cache.state(destination) == Some(LookupState::Pending) {
            self.evict(destination, &mut applied);
        }
        applied
    }

    fn evict(&mut self, destination: u64, applied: &mut Applied) {
        self.revision += 1;
        self.cache.evict(destination);
        self.drop_destination(destination, applied);
    }

    /// Marks the entries of a destination as known, if it is cached.
    pub(crate) fn mark_known(&mut self, destination: u64) {
        self.cache.mark_known(destination);
    }

    /// Notes that the control process has stopped sending entries of these destinations.
    pub(crate) fn mark_released(&mut self, destinations: &[u64]) {
        self.cache.mark_released(destinations);
    }

    /// Notes that the control process has stopped sending entries of all evicted destinations.
    pub(crate) fn mark_all_released(&mut self) {
        self.cache.mark_all_released();
    }
}
