//! What one dispatcher keeps of the scoped configuration: the entries of its buckets, and for a while those of other
//! destinations. No sockets, clock or threads.

use crate::cell_cache::{CellCache, CellState};
use bellsill_directory::line::{EndpointEntry, EndpointState, ScopedLine, Version};
use bellsill_placement::{BucketId, Epoch, Layout, ZoneName};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;
use std::sync::Arc;

/// How many destinations outside of a dispatcher's buckets are kept, unless it is told otherwise.
pub const CACHE_DESTINATIONS: usize = 1_024;
/// The most destinations that a control process tells beside a dispatcher's buckets; the cache is never larger.
pub const MOST_CELLS: usize = 4_096;
/// How many removed endpoints are remembered by their versions: what was asked for before a removal may be answered after it.
const REMOVED_REMEMBERED: usize = 4_096;
/// The most destinations that one request names in `forget`.
const FORGET_EACH_TIME: usize = 256;

/// Says which bucket a destination is in; the layout of the installation.
pub trait BucketMap: Send + Sync {
    /// The bucket of a destination in the region of this zone; none where the zone is of no region.
    fn bucket_of(&self, zone: &str, destination: u64) -> Option<BucketId>;
}

impl BucketMap for Layout {
    fn bucket_of(&self, zone: &str, destination: u64) -> Option<BucketId> {
        let region = self.region_of(&ZoneName::from(zone))?;
        Some(Layout::bucket_of(self, region, destination))
    }
}

/// Why a line of the watch cannot be applied. Nothing of it is.
#[derive(Debug)]
pub enum ScopedLineError {
    NotALine(serde_json::Error),
    /// It says to be a whole list, as a plain discovery's does: what it does not name would be gone.
    FullList,
    /// Its version is before the one that is told already.
    VersionWentBack {
        known: Version,
        told: Version,
    },
    /// The answer to a lookup is of another history than the watch.
    OtherLog(String),
}

impl std::fmt::Display for ScopedLineError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            ScopedLineError::NotALine(e) => write!(f, "it is no line of a scoped watch: {e}"),
            ScopedLineError::FullList => {
                write!(
                    f,
                    "it is a whole list: the address is that of a plain discovery, not of a control process"
                )
            }
            ScopedLineError::VersionWentBack { known, told } => {
                write!(
                    f,
                    "its version {} is before {}, which was told already",
                    told.0, known.0
                )
            }
            ScopedLineError::OtherLog(log) => {
                write!(f, "it is of the log {log}, the watch is of another one")
            }
        }
    }
}

impl std::error::Error for ScopedLineError {}

/// What a line has changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applied {
    /// Entries that are new or others than before.
    pub changed: Vec<EndpointEntry>,
    /// Entries that are kept no longer, as they were last: removed, or of no concern to this dispatcher any more.
    pub dropped: Vec<EndpointEntry>,
    /// Buckets that are held from now on, or told anew.
    pub gained: Vec<BucketId>,
    pub lost: Vec<BucketId>,
    pub filled: Vec<BucketId>,
}

/// What a dispatcher knows of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// Its endpoints are kept with the bucket that they are in.
    Held,
    /// It is in the cache, with all of its endpoints.
    Cached,
    /// It is asked for.
    Pending,
    /// It has to be asked for.
    Unknown,
}

/// There is no room for one more destination outside of the buckets: all that are cached are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheFull;

/// What has happened to the list, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListCounters {
    pub lines: u64,
    /// Lines that could not be applied.
    pub refused_lines: u64,
    pub applied_entries: u64,
    /// Entries that were older than what was known, and entries that were known already.
    pub stale_entries: u64,
    pub duplicate_entries: u64,
    /// Entries of destinations that are neither held nor cached.
    pub entries_out_of_scope: u64,
    /// Entries that were swept because a bucket was told anew without them.
    pub swept_entries: u64,
    /// Destinations that gave way in the cache.
    pub evicted_destinations: u64,
    /// Times that another history began.
    pub other_logs: u64,
}

/// How far a held bucket is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BucketState {
    /// Its entries are being told.
    Filling,
    /// Every entry is known.
    Complete,
}

/// An entry that is kept.
#[derive(Clone, Debug)]
struct Kept {
    entry: EndpointEntry,
    bucket: Option<BucketId>,
    /// It was told since its bucket was gained last; what was not when the bucket is filled is gone.
    confirmed: bool,
}

/// What one dispatcher keeps of the configuration.
pub struct ScopedList {
    layout: Arc<dyn BucketMap>,
    cache_destinations: usize,
    log: String,
    version: Version,
    epoch: Option<Epoch>,
    buckets: BTreeMap<BucketId, BucketState>,
    /// The names of the endpoints that are kept, by their buckets.
    members: BTreeMap<BucketId, BTreeSet<String>>,
    /// Buckets that were being told when the last connection broke, and that this one has not named yet.
    unnamed: BTreeSet<BucketId>,
    /// The endpoints of each destination, by their names.
    destinations: BTreeMap<u64, BTreeMap<String, Kept>>,
    destination_of: BTreeMap<String, u64>,
    cache: CellCache,
    /// Destinations that gave way and that the control process still tells.
    forgotten: BTreeSet<u64>,
    removed: BTreeMap<String, Version>,
    /// The names in `removed`, the one that came first at the front.
    removed_order: VecDeque<String>,
    counters: ListCounters,
    /// Counts the changes, so that whoever saves the list knows whether it has to.
    revision: u64,
}

impl ScopedList {
    /// An empty list, as at a first start.
    pub fn new(layout: Arc<dyn BucketMap>, cache_destinations: usize) -> ScopedList {
        ScopedList {
            layout,
            cache_destinations,
            log: String::new(),
            version: Version(0),
            epoch: None,
            buckets: BTreeMap::new(),
            members: BTreeMap::new(),
            unnamed: BTreeSet::new(),
            destinations: BTreeMap::new(),
            destination_of: BTreeMap::new(),
            cache: CellCache::default(),
            forgotten: BTreeSet::new(),
            removed: BTreeMap::new(),
            removed_order: VecDeque::new(),
            counters: ListCounters::default(),
            revision: 0,
        }
    }

    pub fn log(&self) -> &str {
        &self.log
    }

    pub fn version(&self) -> Version {
        self.version
    }

    pub fn epoch(&self) -> Option<Epoch> {
        self.epoch
    }

    pub fn counters(&self) -> ListCounters {
        self.counters
    }

    /// Another number than before: something has changed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The buckets of which every entry is known.
    pub fn complete_buckets(&self) -> impl Iterator<Item = BucketId> {
        self.buckets_in(BucketState::Complete)
    }

    /// The buckets whose entries are being told.
    pub fn filling_buckets(&self) -> impl Iterator<Item = BucketId> {
        self.buckets_in(BucketState::Filling)
    }

    fn buckets_in(&self, state: BucketState) -> impl Iterator<Item = BucketId> {
        self.buckets
            .iter()
            .filter(move |(_, s)| **s == state)
            .map(|(bucket, _)| *bucket)
    }

    /// All entries, by destination.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.destinations
            .values()
            .flat_map(|endpoints| endpoints.values().map(|kept| &kept.entry))
    }

    /// The entries of one destination.
    pub fn entries_of(&self, destination: u64) -> impl Iterator<Item = &EndpointEntry> {
        let endpoints = self.destinations.get(&destination).into_iter();
        endpoints.flat_map(|endpoints| endpoints.values().map(|kept| &kept.entry))
    }

    /// How many destinations there are entries of.
    pub fn len(&self) -> usize {
        self.destinations.len()
    }

    pub fn is_empty(&self) -> bool {
        self.destinations.is_empty()
    }

    /// How many destinations outside of the buckets are kept or asked for.
    pub fn cached(&self) -> usize {
        self.cache.len()
    }

    pub fn knowledge(&self, destination: u64) -> Knowledge {
        match self.cache.state(destination) {
            Some(CellState::Known) => Knowledge::Cached,
            Some(CellState::Pending) => Knowledge::Pending,
            None if self.destinations.contains_key(&destination) => Knowledge::Held,
            None => Knowledge::Unknown,
        }
    }

    /// The fields of the request for the watch, as a query.
    pub fn query(&self, dispatcher: &str) -> String {
        let mut query = format!("since={}", self.version.0);
        if !self.log.is_empty() {
            let _ = write!(query, "&log={}", self.log);
        }
        let _ = write!(query, "&dispatcher={dispatcher}");
        push_numbers(
            &mut query,
            "buckets",
            self.complete_buckets().map(|bucket| u64::from(bucket.0)),
        );
        push_numbers(&mut query, "cells", self.cache.in_state(CellState::Known));
        query
    }

    /// Applies a line of the watch, as it came.
    pub fn apply_document(&mut self, document: &[u8]) -> Result<Applied, ScopedLineError> {
        match serde_json::from_slice(document) {
            Ok(line) => self.apply(line),
            Err(e) => {
                self.counters.refused_lines += 1;
                Err(ScopedLineError::NotALine(e))
            }
        }
    }

    /// Applies a line of the watch.
    pub fn apply(&mut self, line: ScopedLine) -> Result<Applied, ScopedLineError> {
        let other_log = !line.log.is_empty() && line.log != self.log;
        if let Err(e) = self.check_line(&line, other_log) {
            self.counters.refused_lines += 1;
            return Err(e);
        }
        self.counters.lines += 1;
        let mut applied = Applied::default();
        if other_log {
            self.begin_log(&line.log, &mut applied);
        }
        self.heed_unnamed(&line, &mut applied);
        if line.epoch.is_some() && line.epoch != self.epoch {
            self.epoch = line.epoch;
            self.revision += 1;
        }
        line.lost
            .iter()
            .for_each(|bucket| self.lose_bucket(*bucket, &mut applied));
        line.gained
            .iter()
            .for_each(|bucket| self.gain_bucket(*bucket));
        for entry in line.servers {
            self.apply_entry(entry, line.version, &mut applied);
        }
        line.filled
            .iter()
            .for_each(|bucket| self.complete_bucket(*bucket, &mut applied));
        if line.version != self.version {
            self.version = line.version;
            self.revision += 1;
        }
        (applied.gained, applied.lost, applied.filled) = (line.gained, line.lost, line.filled);
        Ok(applied)
    }

    fn check_line(&self, line: &ScopedLine, other_log: bool) -> Result<(), ScopedLineError> {
        if line.full {
            return Err(ScopedLineError::FullList);
        }
        if !other_log && line.version < self.version {
            return Err(ScopedLineError::VersionWentBack {
                known: self.version,
                told: line.version,
            });
        }
        Ok(())
    }

    /// Another history begins, in which versions say nothing of the old one's. What is held stays until it is told anew; what
    /// is cached is told at once, so that no old entry of it stays for good.
    fn begin_log(&mut self, log: &str, applied: &mut Applied) {
        if !self.log.is_empty() {
            self.counters.other_logs += 1;
            log::warn!(
                "configuration: another log begins, {log} after {}",
                self.log
            );
        }
        self.revision += 1;
        self.log = log.to_string();
        self.version = Version(0);
        self.removed.clear();
        self.removed_order.clear();
        self.buckets
            .values_mut()
            .for_each(|state| *state = BucketState::Filling);
        for endpoints in self.destinations.values_mut() {
            for kept in endpoints.values_mut() {
                kept.entry.version = Version(0);
                kept.confirmed = false;
            }
        }
        let cached: Vec<u64> = self.cache.by_use().collect();
        cached
            .into_iter()
            .for_each(|destination| self.drop_destination(destination, applied));
    }

    /// A connection begins with the buckets that are assigned and were not complete, on as many lines as they need. One that
    /// was being told when the last connection broke, and is not named, is lost.
    fn heed_unnamed(&mut self, line: &ScopedLine, applied: &mut Applied) {
        if !line.log.is_empty() {
            self.unnamed = self.filling_buckets().collect();
        }
        self.unnamed.retain(|bucket| !line.gained.contains(bucket));
        if line.gained.is_empty() {
            for bucket in std::mem::take(&mut self.unnamed) {
                self.lose_bucket(bucket, applied);
            }
        }
    }

    fn gain_bucket(&mut self, bucket: BucketId) {
        self.revision += 1;
        self.buckets.insert(bucket, BucketState::Filling);
        for name in self.members_of(bucket) {
            self.kept_mut(&name)
                .into_iter()
                .for_each(|kept| kept.confirmed = false);
        }
    }

    fn lose_bucket(&mut self, bucket: BucketId, applied: &mut Applied) {
        if self.buckets.remove(&bucket).is_none() {
            return;
        }
        self.revision += 1;
        for name in self.members_of(bucket) {
            let destination = self.destination_of.get(&name);
            if destination.is_none_or(|destination| self.cache.state(*destination).is_none()) {
                applied.dropped.extend(self.take_entry(&name));
            }
        }
    }

    /// All of a bucket has been told: what was not is gone, and what the cache has of it is held from now on.
    fn complete_bucket(&mut self, bucket: BucketId, applied: &mut Applied) {
        if self.buckets.get(&bucket) != Some(&BucketState::Filling) {
            return;
        }
        self.revision += 1;
        self.buckets.insert(bucket, BucketState::Complete);
        for name in self.members_of(bucket) {
            if self.kept_mut(&name).is_some_and(|kept| !kept.confirmed) {
                self.counters.swept_entries += 1;
                applied.dropped.extend(self.take_entry(&name));
            } else if let Some(destination) = self.destination_of.get(&name).copied()
                && self.all_in_complete_buckets(destination)
                && self.cache.remove(destination)
            {
                self.forgotten.insert(destination);
            }
        }
    }

    /// Whether changes of every known endpoint of a destination are told by its buckets. A destination may have endpoints in
    /// several regions, and a bucket has those of one: the others are told for as long as the destination is cached.
    fn all_in_complete_buckets(&self, destination: u64) -> bool {
        let complete = |bucket: BucketId| self.buckets.get(&bucket) == Some(&BucketState::Complete);
        let endpoints = self
            .destinations
            .get(&destination)
            .into_iter()
            .flat_map(BTreeMap::values);
        endpoints
            .into_iter()
            .all(|kept| kept.bucket.is_some_and(complete))
    }

    /// The names of the endpoints of a bucket.
    fn members_of(&self, bucket: BucketId) -> Vec<String> {
        self.members
            .get(&bucket)
            .into_iter()
            .flatten()
            .cloned()
            .collect()
    }

    /// Takes an entry in, if it is newer than what is known.
    fn apply_entry(
        &mut self,
        mut entry: EndpointEntry,
        line_version: Version,
        applied: &mut Applied,
    ) {
        if entry.version == Version(0) {
            entry.version = line_version;
        }
        let known = self.kept_mut(&entry.id);
        let known_version = known.as_ref().map(|kept| kept.entry.version);
        // It was told, in whatever version.
        known.into_iter().for_each(|kept| kept.confirmed = true);
        let removed_version = self.removed.get(&entry.id).copied();
        match known_version.max(removed_version) {
            Some(version) if entry.version < version => return self.counters.stale_entries += 1,
            Some(version) if entry.version == version => {
                return self.counters.duplicate_entries += 1;
            }
            _ => {}
        }
        let in_scope = self.in_scope(&entry);
        if !in_scope || entry.state == EndpointState::Removed {
            applied.dropped.extend(self.take_entry(&entry.id));
            match in_scope {
                true => self.remember_removed(entry.id, entry.version),
                false => self.counters.entries_out_of_scope += 1,
            }
            return;
        }
        self.revision += 1;
        self.counters.applied_entries += 1;
        // An endpoint may have moved to another destination.
        if self
            .destination_of
            .get(&entry.id)
            .is_some_and(|d| *d != entry.destination)
        {
            applied.dropped.extend(self.take_entry(&entry.id));
        }
        applied.changed.push(entry.clone());
        self.put_entry(entry, true);
    }

    /// Whether an entry is kept.
    fn in_scope(&self, entry: &EndpointEntry) -> bool {
        let bucket = self.layout.bucket_of(&entry.zone, entry.destination);
        bucket.is_some_and(|bucket| self.buckets.contains_key(&bucket))
            || self.cache.state(entry.destination).is_some()
    }

    fn kept_mut(&mut self, name: &str) -> Option<&mut Kept> {
        let destination = self.destination_of.get(name)?;
        self.destinations.get_mut(destination)?.get_mut(name)
    }

    pub(crate) fn put_entry(&mut self, entry: EndpointEntry, confirmed: bool) {
        // It may have been in another zone or of another destination.
        self.take_entry(&entry.id);
        let destination = entry.destination;
        let bucket = self.layout.bucket_of(&entry.zone, destination);
        self.removed.remove(&entry.id);
        self.destination_of.insert(entry.id.clone(), destination);
        if let Some(bucket) = bucket {
            self.members
                .entry(bucket)
                .or_default()
                .insert(entry.id.clone());
        }
        let endpoints = self.destinations.entry(destination).or_default();
        endpoints.insert(
            entry.id.clone(),
            Kept {
                entry,
                bucket,
                confirmed,
            },
        );
    }

    fn take_entry(&mut self, name: &str) -> Option<EndpointEntry> {
        let destination = self.destination_of.remove(name)?;
        let endpoints = self.destinations.get_mut(&destination)?;
        let kept = endpoints.remove(name)?;
        if endpoints.is_empty() {
            self.destinations.remove(&destination);
        }
        self.revision += 1;
        if let Some(bucket) = kept.bucket {
            self.leave_bucket(bucket, name);
        }
        Some(kept.entry)
    }

    fn leave_bucket(&mut self, bucket: BucketId, name: &str) {
        let Some(members) = self.members.get_mut(&bucket) else {
            return;
        };
        members.remove(name);
        if members.is_empty() {
            self.members.remove(&bucket);
        }
    }

    /// Drops the entries of a destination, except those of buckets that are held.
    fn drop_destination(&mut self, destination: u64, applied: &mut Applied) {
        let held = |kept: &Kept| {
            kept.bucket
                .is_some_and(|bucket| self.buckets.contains_key(&bucket))
        };
        let endpoints = self.destinations.get(&destination).into_iter().flatten();
        let names: Vec<String> = endpoints
            .filter(|(_, kept)| !held(kept))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            applied.dropped.extend(self.take_entry(&name));
        }
    }

    fn remember_removed(&mut self, name: String, version: Version) {
        if self.removed.insert(name.clone(), version).is_none() {
            self.removed_order.push_back(name);
        }
        while self.removed_order.len() > REMOVED_REMEMBERED {
            let Some(oldest) = self.removed_order.pop_front() else {
                return;
            };
            self.removed.remove(&oldest);
        }
    }

    /// Notes that a cached destination is used: it is not the next one to give way.
    pub fn touch(&mut self, destination: u64) {
        if self.cache.state(destination).is_some() {
            self.cache.touch(destination);
        }
    }

    /// Has a destination looked up that is neither held nor cached. Where the cache is full the one used longest ago gives
    /// way, of those that are not in use; what is dropped with it is answered. Where all are in use the cache grows, up to
    /// [`MOST_CELLS`].
    pub fn want(
        &mut self,
        destination: u64,
        in_use: &dyn Fn(u64) -> bool,
    ) -> Result<Applied, CacheFull> {
        let mut applied = Applied::default();
        while self.cache.len() >= self.cache_destinations {
            let Some(evicted) = self.cache.oldest_unused(in_use) else {
                break;
            };
            self.counters.evicted_destinations += 1;
            self.forget_cell(evicted, &mut applied);
        }
        if self.cache.len() >= MOST_CELLS {
            return Err(CacheFull);
        }
        self.revision += 1;
        self.cache.touch(destination);
        self.forgotten.remove(&destination);
        Ok(applied)
    }

    /// Takes in a list that comes from no control process, as if it had been looked up: the first line of a watch drops what
    /// it does not tell. As many destinations as the cache may hold.
    pub fn adopt(&mut self, entries: impl IntoIterator<Item = EndpointEntry>) {
        for entry in entries {
            if self.cache.state(entry.destination).is_none()
                && self.cache.len() >= self.cache_destinations
            {
                log::warn!(
                    "configuration: endpoint {} is passed over, there are too many destinations",
                    entry.id
                );
                continue;
            }
            self.cache.touch(entry.destination);
            self.cache.mark_known(entry.destination);
            self.put_entry(
                EndpointEntry {
                    version: Version(0),
                    ..entry
                },
                false,
            );
        }
    }

    /// A destination that was wanted is so no longer, and was not told.
    pub fn cancel(&mut self, destination: u64) -> Applied {
        let mut applied = Applied::default();
        if self.cache.state(destination) == Some(CellState::Pending) {
            self.forget_cell(destination, &mut applied);
        }
        applied
    }

    fn forget_cell(&mut self, destination: u64, applied: &mut Applied) {
        self.revision += 1;
        self.cache.remove(destination);
        self.forgotten.insert(destination);
        self.drop_destination(destination, applied);
    }

    /// The destinations that have to be looked up, by number.
    pub fn pending(&self) -> impl Iterator<Item = u64> {
        self.cache.in_state(CellState::Pending)
    }

    /// Evicted destinations that the control process is still to be told of, as many as go into one request.
    pub fn to_forget(&self) -> Vec<u64> {
        self.forgotten
            .iter()
            .copied()
            .take(FORGET_EACH_TIME)
            .collect()
    }

    /// The control process has been told of these.
    pub fn forgot(&mut self, destinations: &[u64]) {
        self.forgotten
            .retain(|destination| !destinations.contains(destination));
    }

    /// A new watch has been asked for: its scope is what the request said, so nothing is left to be forgotten.
    pub fn asked_anew(&mut self) {
        self.forgotten.clear();
    }

    /// The target of a request that looks up these destinations and forgets those.
    pub fn lookup_target(dispatcher: &str, destinations: &[u64], forget: &[u64]) -> String {
        let mut target = format!("/api/targets?dispatcher={dispatcher}");
        push_numbers(&mut target, "cells", destinations.iter().copied());
        push_numbers(&mut target, "forget", forget.iter().copied());
        target
    }

    /// Applies the answer to a lookup of these destinations: from now on all of their entries are known. Its version is not
    /// that of the watch, which may be ahead of it: an entry that the watch has told in a newer version stays.
    pub fn apply_lookup(
        &mut self,
        destinations: &[u64],
        line: ScopedLine,
    ) -> Result<Applied, ScopedLineError> {
        if line.full {
            self.counters.refused_lines += 1;
            return Err(ScopedLineError::FullList);
        }
        if line.log != self.log {
            self.counters.refused_lines += 1;
            return Err(ScopedLineError::OtherLog(line.log));
        }
        let mut applied = Applied::default();
        for entry in line.servers {
            self.apply_entry(entry, line.version, &mut applied);
        }
        destinations
            .iter()
            .for_each(|destination| self.cache.mark_known(*destination));
        self.revision += 1;
        Ok(applied)
    }
}

/// Parts of a list that is saved.
impl ScopedList {
    pub(crate) fn saved_cells(&self) -> Vec<u64> {
        self.cache
            .by_use()
            .filter(|d| self.cache.state(*d) == Some(CellState::Known))
            .collect()
    }

    pub(crate) fn restore_history(&mut self, log: String, version: Version, epoch: Option<Epoch>) {
        (self.log, self.version, self.epoch) = (log, version, epoch);
    }

    pub(crate) fn restore_buckets(&mut self, complete: Vec<BucketId>, filling: Vec<BucketId>) {
        let complete = complete
            .into_iter()
            .map(|bucket| (bucket, BucketState::Complete));
        let filling = filling
            .into_iter()
            .map(|bucket| (bucket, BucketState::Filling));
        self.buckets = complete.chain(filling).collect();
    }

    pub(crate) fn restore_cells(&mut self, cells: Vec<u64>) {
        for destination in cells {
            self.cache.touch(destination);
            self.cache.mark_known(destination);
        }
    }
}

/// Appends a query field of numbers, if there are any.
fn push_numbers(query: &mut String, field: &str, numbers: impl Iterator<Item = u64>) {
    for (position, number) in numbers.enumerate() {
        let _ = match position {
            0 => write!(query, "&{field}={number}"),
            _ => write!(query, ",{number}"),
        };
    }
}
