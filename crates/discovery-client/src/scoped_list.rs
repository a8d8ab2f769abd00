//! One dispatcher's part of the scoped configuration: the entries of its buckets, and a cache of the entries of other
//! destinations that it has looked up. Performs no I/O and reads no clock.

use crate::applied::Applied;
use crate::bucket_map::BucketMap;
use crate::bucket_set::BucketState;
use crate::counters::ListCounters;
use crate::destination_cache::LookupState;
use crate::error::{CacheFull, ScopedLineError};
use crate::query;
use crate::scope::Scope;
use bellsill_directory::line::{EndpointEntry, ScopedLine, Version};
use bellsill_placement::{BucketId, Epoch};
use std::sync::Arc;

pub use crate::destination_cache::MAX_CACHED_DESTINATIONS;

/// The default capacity of the cache of destinations outside of a dispatcher's buckets.
pub const DEFAULT_CACHE_DESTINATIONS: usize = 1_024;
/// The maximum number of evicted destinations that one request names.
const MAX_EVICTED_IN_REQUEST: usize = 256;

/// The state of a destination in a dispatcher's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DestinationStatus {
    /// Not cached, but with endpoints in held buckets.
    Held,
    /// Cached, with all of its endpoints known.
    Cached,
    /// The lookup of the destination is not complete.
    Pending,
    /// Neither cached nor with known endpoints; it must be looked up.
    Unknown,
}

/// The state of a list that is saved and restored after a restart.
pub(crate) struct SavedList {
    pub(crate) log: String,
    pub(crate) version: Version,
    pub(crate) epoch: Option<Epoch>,
    pub(crate) complete: Vec<BucketId>,
    pub(crate) filling: Vec<BucketId>,
    /// The cached destinations whose entries are known, least recently used first.
    pub(crate) cached: Vec<u64>,
    pub(crate) entries: Vec<EndpointEntry>,
}

/// The part of the scoped configuration that a dispatcher holds.
pub struct ScopedList {
    /// The log id; empty before the first line of a control process.
    log: String,
    version: Version,
    epoch: Option<Epoch>,
    scope: Scope,
}

impl ScopedList {
    /// Creates an empty list.
    pub fn new(layout: Arc<dyn BucketMap>, cache_destinations: usize) -> ScopedList {
        ScopedList {
            log: String::new(),
            version: Version(0),
            epoch: None,
            scope: Scope::new(layout, cache_destinations),
        }
    }

    /// Creates a list from its saved state.
    pub(crate) fn restore(
        layout: Arc<dyn BucketMap>,
        cache_destinations: usize,
        saved: SavedList,
    ) -> ScopedList {
        let mut list = ScopedList::new(layout, cache_destinations);
        (list.log, list.version, list.epoch) = (saved.log, saved.version, saved.epoch);
        list.scope
            .restore(saved.complete, saved.filling, saved.cached, saved.entries);
        list
    }

    /// A copy of the state that is saved and restored.
    pub fn copy(&self, layout: Arc<dyn BucketMap>, cache_destinations: usize) -> ScopedList {
        let saved = SavedList {
            log: self.log.clone(),
            version: self.version,
            epoch: self.epoch,
            complete: self.complete_buckets().collect(),
            filling: self.filling_buckets().collect(),
            cached: self.known_destinations().collect(),
            entries: self.entries().cloned().collect(),
        };
        ScopedList::restore(layout, cache_destinations, saved)
    }

    /// The id of the log that [`version`](ScopedList::version) refers to; empty before the first line of a control
    /// process.
    pub fn log(&self) -> &str {
        &self.log
    }

    /// The version up to which changes have been applied.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The epoch of the bucket assignment, once known.
    pub fn epoch(&self) -> Option<Epoch> {
        self.epoch
    }

    /// The counters of lines and entries.
    pub fn counters(&self) -> ListCounters {
        self.scope.counters()
    }

    /// A number that changes with every change of the list.
    pub fn revision(&self) -> u64 {
        self.scope.revision()
    }

    /// The held buckets of which every entry is known.
    pub fn complete_buckets(&self) -> impl Iterator<Item = BucketId> {
        self.scope.buckets().in_state(BucketState::Complete)
    }

    /// The held buckets whose entries are being received.
    pub fn filling_buckets(&self) -> impl Iterator<Item = BucketId> {
        self.scope.buckets().in_state(BucketState::Filling)
    }

    /// All entries, by destination.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.scope.endpoints().entries()
    }

    /// The entries of one destination.
    pub fn entries_of(&self, destination: u64) -> impl Iterator<Item = &EndpointEntry> {
        let endpoints = self.scope.endpoints().of_destination(destination);
        endpoints.map(|cached| &cached.entry)
    }

    /// The number of destinations that have entries.
    pub fn len(&self) -> usize {
        self.scope.endpoints().destinations()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The number of destinations that are cached or being looked up.
    pub fn cached_destinations(&self) -> usize {
        self.scope.cache().len()
    }

    /// The cached destinations whose entries are known, least recently used first.
    pub(crate) fn known_destinations(&self) -> impl Iterator<Item = u64> {
        let cache = self.scope.cache();
        cache
            .least_recently_used_first()
            .filter(|destination| cache.state(*destination) == Some(LookupState::Known))
    }

    /// The state of a destination in the list.
    pub fn status(&self, destination: u64) -> DestinationStatus {
        match self.scope.cache().state(destination) {
            Some(LookupState::Known) => DestinationStatus::Cached,
            Some(LookupState::Pending) => DestinationStatus::Pending,
            None if self.scope.endpoints().has_destination(destination) => DestinationStatus::Held,
            None => DestinationStatus::Unknown,
        }
    }

    /// The query of a watch request that continues from this list.
    pub fn watch_query(&self, dispatcher: &str) -> String {
        query::watch_query(
            self.version.0,
            &self.log,
            dispatcher,
            self.complete_buckets().map(|bucket| u64::from(bucket.0)),
            self.scope.cache().in_state(LookupState::Known),
        )
    }

    /// Parses a line of the watch and applies it.
    pub fn apply_document(&mut self, document: &[u8]) -> Result<Applied, ScopedLineError> {
        match serde_json::from_slice(document) {
            Ok(line) => self.apply(line),
            Err(error) => {
                self.scope.counters_mut().rejected_lines += 1;
                Err(ScopedLineError::Malformed(error))
            }
        }
    }

    /// Applies a line of the watch.
    pub fn apply(&mut self, line: ScopedLine) -> Result<Applied, ScopedLineError> {
        let other_log = !line.log.is_empty() && line.log != self.log;
        if let Err(error) = self.check_line(&line, other_log) {
            self.scope.counters_mut().rejected_lines += 1;
            return Err(error);
        }
        self.scope.counters_mut().lines += 1;
        let mut applied = Applied::default();
        if other_log {
            self.start_log(&line.log, &mut applied);
        }
        for bucket in self.scope.take_unconfirmed(&line) {
            self.scope.remove_bucket(bucket, &mut applied);
        }
        if line.epoch.is_some() && line.epoch != self.epoch {
            self.epoch = line.epoch;
            self.scope.mark_changed();
        }
        for bucket in &line.lost {
            self.scope.remove_bucket(*bucket, &mut applied);
        }
        for bucket in &line.gained {
            self.scope.add_bucket(*bucket);
        }
        for entry in line.servers {
            self.scope.apply_entry(entry, line.version, &mut applied);
        }
        for bucket in &line.filled {
            self.scope.complete_bucket(*bucket, &mut applied);
        }
        if line.version != self.version {
            self.version = line.version;
            self.scope.mark_changed();
        }
        (applied.gained, applied.lost, applied.filled) = (line.gained, line.lost, line.filled);
        Ok(applied)
    }

    /// Starts a new log, whose versions are not comparable with those of the old one.
    fn start_log(&mut self, log: &str, applied: &mut Applied) {
        if !self.log.is_empty() {
            self.scope.counters_mut().log_changes += 1;
            log::warn!(
                "configuration: the log has changed from {} to {log}; all entries are received again",
                self.log
            );
        }
        self.log = log.to_string();
        self.version = Version(0);
        self.scope.start_log(applied);
    }

    fn check_line(&self, line: &ScopedLine, other_log: bool) -> Result<(), ScopedLineError> {
        if line.full {
            return Err(ScopedLineError::FullList);
        }
        if !other_log && line.version < self.version {
            return Err(ScopedLineError::VersionRegressed {
                known: self.version,
                found: line.version,
            });
        }
        Ok(())
    }

    /// Marks a cached destination as the most recently used one, which postpones its eviction.
    pub fn touch(&mut self, destination: u64) {
        self.scope.touch(destination);
    }

    /// Adds a destination that is neither held nor cached to the pending lookups. If the cache is full, the least
    /// recently used destination that is not in use is evicted, and its dropped entries are returned. If all are in
    /// use, the cache grows up to [`MAX_CACHED_DESTINATIONS`].
    pub fn request_lookup(
        &mut self,
        destination: u64,
        in_use: &dyn Fn(u64) -> bool,
    ) -> Result<Applied, CacheFull> {
        self.scope.request_lookup(destination, in_use)
    }

    /// Adds entries that are not from a control process, as if they had been looked up. The first line of a watch
    /// starts a log and drops the entries that it does not contain. Entries of destinations beyond the capacity of the
    /// cache are skipped.
    pub fn import_entries(&mut self, entries: impl IntoIterator<Item = EndpointEntry>) {
        for entry in entries {
            self.scope.import_entry(entry);
        }
    }

    /// Cancels the lookup of a destination. Does nothing if the lookup is complete.
    pub fn cancel_lookup(&mut self, destination: u64) -> Applied {
        self.scope.cancel_lookup(destination)
    }

    /// The destinations to look up, in ascending order.
    pub fn pending(&self) -> impl Iterator<Item = u64> {
        self.scope.cache().in_state(LookupState::Pending)
    }

    /// Evicted destinations for which the control process still sends entries, at most as many as one request may name.
    pub fn evicted(&self) -> Vec<u64> {
        let evicted = self.scope.cache().evicted();
        evicted.take(MAX_EVICTED_IN_REQUEST).collect()
    }

    /// Notes that the control process has stopped sending entries of these destinations.
    pub fn mark_released(&mut self, destinations: &[u64]) {
        self.scope.mark_released(destinations);
    }

    /// Notes that a new watch was requested. The request defines its scope, so entries of evicted destinations are no
    /// longer sent.
    pub fn watch_requested(&mut self) {
        self.scope.mark_all_released();
    }

    /// The target of a request that looks up `destinations`, and makes the control process stop sending entries of
    /// those in `forget`.
    pub fn lookup_target(dispatcher: &str, destinations: &[u64], forget: &[u64]) -> String {
        query::lookup_target(dispatcher, destinations, forget)
    }

    /// Applies the response to a lookup of these destinations, whose entries are all known afterwards. The version of
    /// the response does not become that of the list, since the watch may be ahead: entries with a newer version are
    /// kept.
    pub fn apply_lookup(
        &mut self,
        destinations: &[u64],
        line: ScopedLine,
    ) -> Result<Applied, ScopedLineError> {
        if line.full {
            self.scope.counters_mut().rejected_lines += 1;
            return Err(ScopedLineError::FullList);
        }
        if line.log != self.log {
            self.scope.counters_mut().rejected_lines += 1;
            return Err(ScopedLineError::LogMismatch(line.log));
        }
        let mut applied = Applied::default();
        for entry in line.servers {
            self.scope.apply_entry(entry, line.version, &mut applied);
        }
        for destination in destinations {
            self.scope.mark_known(*destination);
        }
        self.scope.mark_changed();
        Ok(applied)
    }
}
