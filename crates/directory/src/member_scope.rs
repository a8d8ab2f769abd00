//! The scope of a dispatcher's watch: the buckets that it holds, and destinations that it keeps beside them.

use crate::entries::EntryIndex;
use crate::entry::longest_on_line;
use crate::line::{EndpointEntry, EndpointState, LONGEST_LINE, ScopedLine, Version};
use crate::state::Directory;
use bellsill_placement::{BucketId, MemberName};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

/// The most destinations outside of its buckets that a watch is told the changes of.
pub const MOST_CELLS: usize = 4096;
/// The most buckets that one line says are gained or lost.
const MOST_BUCKETS_ON_LINE: usize = 1024;
/// What a line may take beside its entries: the fields of [`ScopedLine`], with the most buckets.
const BYTES_BESIDE_ENTRIES: usize = 256 + 3 * MOST_BUCKETS_ON_LINE * 11;
/// The bytes of a line's entries, as far as they are known beforehand.
const ENTRY_BYTES: usize = LONGEST_LINE - BYTES_BESIDE_ENTRIES;
/// The bytes of a filling's entries: short lines, so that a change never waits long behind one.
const FILLING_BYTES: usize = 8 * 1024;
/// Entries whose changes wait to be told; where there are more, the scope is looked through for them.
const MOST_PENDING: usize = 4096;

/// What one dispatcher is told of, and how far.
pub(crate) struct MemberScope {
    name: MemberName,
    /// All changes in the scope up to this version have been told.
    told: Version,
    /// The first line has been told.
    begun: bool,
    held: BTreeSet<BucketId>,
    cells: HashSet<u64>,
    /// Entries whose changes are to be told.
    pending: Vec<EntryIndex>,
    /// There were too many of them: every entry in the scope that is later than `told` is to be told.
    rescan: bool,
    gained: BTreeSet<BucketId>,
    lost: BTreeSet<BucketId>,
    /// Held buckets that are still to be filled, with the version at which each was gained: later changes are told as
    /// such, and left out of the filling.
    unfilled: HashMap<BucketId, Version>,
    fill_order: VecDeque<BucketId>,
    /// The last entry told of the bucket that is being filled.
    filled_to: Option<EntryIndex>,
}

impl MemberScope {
    /// Begins where all changes up to `since` are known of these buckets and cells, or nothing where they are not `known`.
    pub fn start(
        name: &MemberName,
        since: Version,
        known: bool,
        buckets: &BTreeSet<BucketId>,
        cells: &BTreeSet<u64>,
        directory: &Directory,
    ) -> MemberScope {
        let held = directory.held_by(name);
        let kept: BTreeSet<BucketId> = match known {
            true => held.intersection(buckets).copied().collect(),
            false => BTreeSet::new(),
        };
        let gained: BTreeSet<BucketId> = held.difference(&kept).copied().collect();
        let mut scope = MemberScope {
            name: name.clone(),
            told: since,
            begun: false,
            lost: buckets.difference(&held).copied().collect(),
            held,
            cells: cells.iter().copied().collect(),
            pending: Vec::new(),
            rescan: known,
            gained: BTreeSet::new(),
            unfilled: HashMap::new(),
            fill_order: VecDeque::new(),
            filled_to: None,
        };
        gained
            .into_iter()
            .for_each(|bucket| scope.gain(bucket, directory.version()));
        if !known {
            scope.pending = cells
                .iter()
                .flat_map(|cell| directory.of_destination(*cell))
                .collect();
        }
        scope
    }

    pub fn name(&self) -> &MemberName {
        &self.name
    }

    pub fn told(&self) -> Version {
        self.told
    }

    pub fn cells(&self) -> &HashSet<u64> {
        &self.cells
    }

    /// An entry that is in the scope, or was when it changed.
    pub fn entry_changed(&mut self, index: EntryIndex) {
        if self.rescan {
            return;
        }
        self.pending.push(index);
        if self.pending.len() > MOST_PENDING {
            self.pending.clear();
            self.rescan = true;
        }
    }

    /// The assignment has changed.
    pub fn reassigned(&mut self, directory: &Directory) {
        let held = directory.held_by(&self.name);
        let gained: Vec<BucketId> = held.difference(&self.held).copied().collect();
        let lost: Vec<BucketId> = self.held.difference(&held).copied().collect();
        self.held = held;
        lost.into_iter().for_each(|bucket| self.lose(bucket));
        gained
            .into_iter()
            .for_each(|bucket| self.gain(bucket, directory.version()));
    }

    /// Has the changes of these destinations told from now on, and no longer those of the others.
    pub fn change_cells(&mut self, added: &BTreeSet<u64>, forgotten: &BTreeSet<u64>) {
        self.cells.retain(|cell| !forgotten.contains(cell));
        self.cells.extend(added);
    }

    /// The next line of changes; none where all have been told.
    pub fn next_changes(&mut self, directory: &Directory) -> Option<ScopedLine> {
        self.begin_anew_if_forgotten(directory);
        self.collect_pending(directory);
        let nothing_new = self.pending.is_empty() && self.gained.is_empty() && self.lost.is_empty();
        if self.begun && nothing_new {
            return None;
        }
        let mut line = self.new_line(directory);
        if !self.gained.is_empty() || !self.lost.is_empty() || !self.begun {
            line.epoch = Some(directory.epoch());
        }
        line.gained = take_first(&mut self.gained);
        line.lost = take_first(&mut self.lost);
        line.servers = self.take_pending(directory);
        self.told = self.version_after(directory);
        self.begun = true;
        line.version = self.told;
        Some(line)
    }

    /// The next line that fills buckets; call only when all changes have been told.
    pub fn next_filling(&mut self, directory: &Directory) -> Option<ScopedLine> {
        let mut line = self.new_line(directory);
        let mut room = FILLING_BYTES;
        while let Some(bucket) = self.fill_order.front().copied() {
            if !self.fill_from(bucket, directory, &mut line.servers, &mut room) {
                break;
            }
            self.fill_order.pop_front();
            self.unfilled.remove(&bucket);
            self.filled_to = None;
            line.filled.push(bucket);
            if line.filled.len() >= MOST_BUCKETS_ON_LINE {
                break;
            }
        }
        if line.servers.is_empty() && line.filled.is_empty() {
            return None;
        }
        self.told = directory.version();
        line.version = self.told;
        Some(line)
    }

    /// A line that tells just the current version; call only when all changes have been told.
    pub fn version_line(&mut self, directory: &Directory) -> ScopedLine {
        self.told = directory.version();
        ScopedLine {
            version: self.told,
            ..ScopedLine::default()
        }
    }

    fn gain(&mut self, bucket: BucketId, version: Version) {
        self.lost.remove(&bucket);
        self.gained.insert(bucket);
        self.unfilled.insert(bucket, version);
        self.fill_order.push_back(bucket);
    }

    fn lose(&mut self, bucket: BucketId) {
        self.gained.remove(&bucket);
        self.lost.insert(bucket);
        self.unfilled.remove(&bucket);
        if self.fill_order.front() == Some(&bucket) {
            self.filled_to = None;
        }
        self.fill_order.retain(|other| *other != bucket);
    }

    /// A watcher so slow that removals it was not told of are forgotten is told all anew.
    fn begin_anew_if_forgotten(&mut self, directory: &Directory) {
        let untold = self.rescan || !self.pending.is_empty();
        if !untold || self.told >= directory.forgotten() {
            return;
        }
        self.rescan = false;
        self.pending = self
            .cells
            .iter()
            .flat_map(|cell| directory.of_destination(*cell))
            .collect();
        self.told = directory.forgotten();
        for bucket in self.held.clone() {
            self.lose(bucket);
            self.gain(bucket, directory.version());
        }
    }

    /// Leaves the entries to be told in `pending`, each once, in the order of their versions.
    fn collect_pending(&mut self, directory: &Directory) {
        if self.rescan {
            self.rescan = false;
            self.pending = self.later_than_told(directory);
        }
        let mut pending = std::mem::take(&mut self.pending);
        pending.retain(|index| self.is_in_scope(*index, directory));
        pending.sort_unstable_by_key(|index| (directory.entries().version(*index), *index));
        pending.dedup();
        self.pending = pending;
    }

    fn later_than_told(&self, directory: &Directory) -> Vec<EntryIndex> {
        let entries = directory.entries();
        let held = self
            .held
            .iter()
            .flat_map(|bucket| entries.in_bucket(*bucket).iter().copied());
        let kept = self
            .cells
            .iter()
            .flat_map(|cell| directory.of_destination(*cell));
        held.chain(kept)
            .filter(|index| entries.version(*index) > Some(self.told))
            .collect()
    }

    /// Whether a change of the entry is told: what a filling will tell is not told before.
    fn is_in_scope(&self, index: EntryIndex, directory: &Directory) -> bool {
        let entries = directory.entries();
        if entries
            .destination(index)
            .is_some_and(|destination| self.cells.contains(&destination))
        {
            return true;
        }
        let Some(bucket) = entries.bucket(index) else {
            return false;
        };
        let gained_at = self.unfilled.get(&bucket);
        self.held.contains(&bucket)
            && gained_at.is_none_or(|gained| entries.version(index) > Some(*gained))
    }

    fn take_pending(&mut self, directory: &Directory) -> Vec<EndpointEntry> {
        let mut told = Vec::new();
        let mut room = ENTRY_BYTES;
        let mut count = 0;
        for index in &self.pending {
            if let Some(entry) = directory.entries().entry(*index) {
                let Some(left) = room.checked_sub(longest_on_line(&entry)) else {
                    break;
                };
                room = left;
                told.push(entry);
            }
            count += 1;
        }
        self.pending.drain(..count);
        told
    }

    /// The version up to which all has been told, given what is still pending.
    fn version_after(&self, directory: &Directory) -> Version {
        match self
            .pending
            .first()
            .and_then(|index| directory.entries().version(*index))
        {
            Some(next) => self.told.max(Version(next.0 - 1)),
            None => directory.version(),
        }
    }

    /// Tells more of a bucket that is being filled. True: all of it has been told.
    fn fill_from(
        &mut self,
        bucket: BucketId,
        directory: &Directory,
        servers: &mut Vec<EndpointEntry>,
        room: &mut usize,
    ) -> bool {
        let entries = directory.entries();
        let gained_at = self.unfilled.get(&bucket).copied();
        let in_bucket = entries.in_bucket(bucket);
        let told = in_bucket.partition_point(|index| Some(*index) <= self.filled_to);
        for index in &in_bucket[told..] {
            let changed_since = entries.version(*index) > gained_at;
            if changed_since || entries.state(*index) == Some(EndpointState::Removed) {
                continue;
            }
            let Some(entry) = entries.entry(*index) else {
                continue;
            };
            let Some(left) = room.checked_sub(longest_on_line(&entry)) else {
                return false;
            };
            *room = left;
            servers.push(entry);
            self.filled_to = Some(*index);
        }
        true
    }

    fn new_line(&self, directory: &Directory) -> ScopedLine {
        let log = if self.begun {
            String::new()
        } else {
            directory.log().0.clone()
        };
        ScopedLine {
            log,
            ..ScopedLine::default()
        }
    }
}

/// Takes out the first buckets, as many as a line may name.
fn take_first(buckets: &mut BTreeSet<BucketId>) -> Vec<BucketId> {
    std::iter::from_fn(|| buckets.pop_first())
        .take(MOST_BUCKETS_ON_LINE)
        .collect()
}
