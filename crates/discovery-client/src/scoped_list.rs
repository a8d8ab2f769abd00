//! One dispatcher's part of the scoped configuration: the entries of its buckets, and for a while those of other
//! destinations that it has looked up. No sockets, clock or threads.

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

/// How many destinations outside of a dispatcher's buckets are cached, unless the installation says otherwise.
pub const DEFAULT_CACHE_DESTINATIONS: usize = 1_024;
/// The most evicted destinations that one request names.
const MAX_EVICTED_IN_REQUEST: usize = 256;

/// What a dispatcher knows of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DestinationStatus {
    /// Its endpoints are known with the bucket that they are in.
    Held,
    /// It is in the cache, with all of its endpoints.
    Cached,
    /// It is being looked up.
    Pending,
    /// It has to be looked up.
    Unknown,
}

/// What of a list outlasts a restart.
pub(crate) struct SavedList {
    pub(crate) log: String,
    pub(crate) version: Version,
    pub(crate) epoch: Option<Epoch>,
    pub(crate) complete: Vec<BucketId>,
    pub(crate) filling: Vec<BucketId>,
    /// The cached destinations whose entries are known, the least recently used one first.
    pub(crate) cached: Vec<u64>,
    pub(crate) entries: Vec<EndpointEntry>,
}

/// One dispatcher's part of the configuration.
pub struct ScopedList {
    /// Empty before the first line of a control process.
    log: String,
    version: Version,
    epoch: Option<Epoch>,
    scope: Scope,
}

impl ScopedList {
    /// An empty list, as at a first start.
    pub fn new(layout: Arc<dyn BucketMap>, cache_destinations: usize) -> ScopedList {
        ScopedList {
            log: String::new(),
            version: Version(0),
            epoch: None,
            scope: Scope::new(layout, cache_destinations),
        }
    }

    /// The list that was saved.
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

    /// The log whose changes `version` counts; empty before the first line of a control process.
    pub fn log(&self) -> &str {
        &self.log
    }

    /// The version up to which changes are applied.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The epoch of the assignment of buckets, once one is known.
    pub fn epoch(&self) -> Option<Epoch> {
        self.epoch
    }

    /// What has happened to the list.
    pub fn counters(&self) -> ListCounters {
        self.scope.counters()
    }

    /// A number that differs from an earlier one if the list has changed since.
    pub fn revision(&self) -> u64 {
        self.scope.revision()
    }

    /// The buckets of which every entry is known.
    pub fn complete_buckets(&self) -> impl Iterator<Item = BucketId> {
        self.scope.buckets().in_state(BucketState::Complete)
    }

    /// The buckets whose entries are being received.
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

    /// How many destinations have entries.
    pub fn len(&self) -> usize {
        self.scope.endpoints().destinations()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many destinations outside of the buckets are cached or being looked up.
    pub fn cached_destinations(&self) -> usize {
        self.scope.cache().len()
    }

    /// The cached destinations whose entries are known, the least recently used one first.
    pub(crate) fn known_destinations(&self) -> impl Iterator<Item = u64> {
        let cache = self.scope.cache();
        cache
            .by_use()
            .filter(|destination| cache.state(*destination) == Some(LookupState::Known))
    }

    /// What is known of a destination.
    pub fn status(&self, destination: u64) -> DestinationStatus {
        match self.scope.cache().state(destination) {
            Some(LookupState::Known) => DestinationStatus::Cached,
            Some(LookupState::Pending) => DestinationStatus::Pending,
            None if self.scope.endpoints().has_destination(destination) => DestinationStatus::Held,
            None => DestinationStatus::Unknown,
        }
    }

    /// The query of the request for a watch.
    pub fn watch_query(&self, dispatcher: &str) -> String {
        query::watch_query(
            self.version.0,
            &self.log,
            dispatcher,
            self.complete_buckets().map(|bucket| u64::from(bucket.0)),
            self.scope.cache().in_state(LookupState::Known),
        )
    }

    /// Applies a line of the watch, as it was received.
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
            self.begin_log(&line.log, &mut applied);
        }
        for bucket in self.scope.take_unnamed(&line) {
            self.scope.lose_bucket(bucket, &mut applied);
        }
        if line.epoch.is_some() && line.epoch != self.epoch {
            self.epoch = line.epoch;
            self.scope.note_change();
        }
        for bucket in &line.lost {
            self.scope.lose_bucket(*bucket, &mut applied);
        }
        for bucket in &line.gained {
            self.scope.gain_bucket(*bucket);
        }
        for entry in line.servers {
            self.scope.apply_entry(entry, line.version, &mut applied);
        }
        for bucket in &line.filled {
            self.scope.complete_bucket(*bucket, &mut applied);
        }
        if line.version != self.version {
            self.version = line.version;
            self.scope.note_change();
        }
        (applied.gained, applied.lost, applied.filled) = (line.gained, line.lost, line.filled);
        Ok(applied)
    }

    /// Another log begins, whose versions cannot be compared with the old ones.
    fn begin_log(&mut self, log: &str, applied: &mut Applied) {
        if !self.log.is_empty() {
            self.scope.counters_mut().log_changes += 1;
            log::warn!(
                "configuration: the log has changed from {} to {log}",
                self.log
            );
        }
        self.log = log.to_string();
        self.version = Version(0);
        self.scope.begin_log(applied);
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

    /// Notes that a cached destination is used, which postpones its eviction.
    pub fn touch(&mut self, destination: u64) {
        self.scope.touch(destination);
    }

    /// Has a destination looked up that is neither held nor cached. Where the cache is full, the least recently used
    /// destination that is not in use is evicted; what is dropped with it is returned. Where all are in use the cache
    /// grows, up to [`MAX_CACHED_DESTINATIONS`].
    pub fn request_lookup(
        &mut self,
        destination: u64,
        in_use: &dyn Fn(u64) -> bool,
    ) -> Result<Applied, CacheFull> {
        self.scope.request_lookup(destination, in_use)
    }

    /// Adds entries that are not from a control process, as if they had been looked up: the first line of a watch drops
    /// what it does not have. Entries beyond the capacity of the cache are skipped.
    pub fn import_entries(&mut self, entries: impl IntoIterator<Item = EndpointEntry>) {
        for entry in entries {
            self.scope.import_entry(entry);
        }
    }

    /// A destination is not wanted any more; nothing happens if it is known already.
    pub fn cancel_lookup(&mut self, destination: u64) -> Applied {
        self.scope.cancel_lookup(destination)
    }

    /// The destinations that have to be looked up, by number.
    pub fn pending(&self) -> impl Iterator<Item = u64> {
        self.scope.cache().in_state(LookupState::Pending)
    }

    /// Evicted destinations that the control process still sends, as many as one request may name.
    pub fn evicted(&self) -> Vec<u64> {
        let evicted = self.scope.cache().evicted();
        evicted.take(MAX_EVICTED_IN_REQUEST).collect()
    }

    /// The control process does not send these destinations any more.
    pub fn mark_released(&mut self, destinations: &[u64]) {
        self.scope.mark_released(destinations);
    }

    /// A new watch has been requested. Its scope is what the request says, so no evicted destination is sent any more.
    pub fn watch_requested(&mut self) {
        self.scope.mark_all_released();
    }

    /// The target of a request that looks up `destinations`, and releases those in `forget`.
    pub fn lookup_target(dispatcher: &str, destinations: &[u64], forget: &[u64]) -> String {
        query::lookup_target(dispatcher, destinations, forget)
    }

    /// Applies the answer to a lookup of these destinations: from now on all of their entries are known. Its version is not
    /// that of the watch, which may be ahead: an entry that the watch has in a newer version stays.
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
        self.scope.note_change();
        Ok(applied)
    }
}
