//! The scope of a dispatcher's watch: the buckets that it holds, and the destinations outside of them that it caches.

use crate::bucket_fill::BucketFill;
use crate::entries::EntryIndex;
use crate::line::{LONGEST_LINE, ScopedLine, Version};
use crate::line_budget::LineBudget;
use crate::pending_changes::PendingChanges;
use crate::state::Directory;
use bellsill_placement::{BucketId, MemberName};
use std::collections::{BTreeSet, HashSet};

/// The maximum number of cached destinations of a watch.
pub(crate) const MAX_CACHED_DESTINATIONS: usize = 4096;
/// The maximum number of buckets in each of the fields `gained`, `lost` and `filled` of a line.
const MAX_BUCKETS_ON_LINE: usize = 1024;
/// The maximum size of a bucket number with the comma after it.
const BUCKET_BYTES: usize = 11;
/// The maximum size of a line without its entries: the fields of [`ScopedLine`], three of which name buckets.
const MAX_BYTES_WITHOUT_ENTRIES: usize = 256 + 3 * MAX_BUCKETS_ON_LINE * BUCKET_BYTES;
/// The maximum size of the entries on a line.
const MAX_ENTRY_BYTES: usize = LONGEST_LINE - MAX_BYTES_WITHOUT_ENTRIES;

/// What one dispatcher is sent, and how much of it has been sent.
pub(crate) struct MemberScope {
    name: MemberName,
    /// All changes in the scope up to this version have been sent.
    sent: Version,
    first_line_sent: bool,
    held: BTreeSet<BucketId>,
    /// The cached destinations, which are outside of the buckets held.
    cached: HashSet<u64>,
    pending: PendingChanges,
    gained: BTreeSet<BucketId>,
    lost: BTreeSet<BucketId>,
    fill: BucketFill,
}

impl MemberScope {
    /// Creates the scope of a dispatcher with these buckets and cached destinations. If `known`, the dispatcher knows
    /// all their changes up to `since`; otherwise it is sent everything.
    pub(crate) fn start(
        name: &MemberName,
        since: Version,
        known: bool,
        buckets: &BTreeSet<BucketId>,
        cached: &BTreeSet<u64>,
        directory: &Directory,
    ) -> MemberScope {
        let held = directory.held_by(name);
        let (gained, pending): (Vec<BucketId>, PendingChanges) = if known {
            let gained = held.difference(buckets).copied().collect();
            (gained, PendingChanges::incomplete())
        } else {
            let gained = held.iter().copied().collect();
            let pending = PendingChanges::listed(entries_of(cached, directory));
            (gained, pending)
        };
        let mut scope = MemberScope {
            name: name.clone(),
            sent: since,
            first_line_sent: false,
            lost: buckets.difference(&held).copied().collect(),
            held,
            cached: cached.iter().copied().collect(),
            pending,
            gained: BTreeSet::new(),
            fill: BucketFill::default(),
        };
        for bucket in gained {
            scope.gain(bucket, directory.version());
        }
        scope
    }

    pub(crate) fn name(&self) -> &MemberName {
        &self.name
    }

    pub(crate) fn sent(&self) -> Version {
        self.sent
    }

    pub(crate) fn cached(&self) -> &HashSet<u64> {
        &self.cached
    }

    /// Adds a changed entry to the pending ones. The entry may no longer be in the scope when its change is sent.
    pub(crate) fn entry_changed(&mut self, index: EntryIndex) {
        self.pending.add(index);
    }

    /// Updates the buckets held after a change of the assignment.
    pub(crate) fn assignment_changed(&mut self, directory: &Directory) {
        let held = directory.held_by(&self.name);
        let gained: Vec<BucketId> = held.difference(&self.held).copied().collect();
        let lost: Vec<BucketId> = self.held.difference(&held).copied().collect();
        self.held = held;
        for bucket in lost {
            self.lose(bucket);
        }
        for bucket in gained {
            self.gain(bucket, directory.version());
        }
    }

    /// Adds and evicts cached destinations. Subsequent changes of the added ones are sent, those of the evicted ones
    /// are not.
    pub(crate) fn change_cached(&mut self, added: &BTreeSet<u64>, evicted: &BTreeSet<u64>) {
        self.cached
            .retain(|destination| !evicted.contains(destination));
        self.cached.extend(added);
    }

    /// The next line of changes, or `None` if all have been sent.
    pub(crate) fn next_changes(&mut self, directory: &Directory) -> Option<ScopedLine> {
        self.resend_all_if_removals_were_purged(directory);
        self.collect_pending(directory);
        let nothing_new = self.pending.is_empty() && self.gained.is_empty() && self.lost.is_empty();
        if self.first_line_sent && nothing_new {
            return None;
        }
        let mut line = self.new_line(directory);
        if !self.gained.is_empty() || !self.lost.is_empty() || !self.first_line_sent {
            line.epoch = Some(directory.epoch());
        }
        line.gained = take_first(&mut self.gained);
        line.lost = take_first(&mut self.lost);
        line.servers = self
            .pending
            .take(directory, LineBudget::new(MAX_ENTRY_BYTES));
        self.sent = self.version_after(directory);
        self.first_line_sent = true;
        line.version = self.sent;
        Some(line)
    }

    /// The next line that fills buckets. Call only once all changes have been sent.
    pub(crate) fn next_filling(&mut self, directory: &Directory) -> Option<ScopedLine> {
        let fill = self.fill.next_line(directory, MAX_BUCKETS_ON_LINE)?;
        self.sent = directory.version();
        Some(ScopedLine {
            version: self.sent,
            servers: fill.entries,
            filled: fill.filled,
            ..self.new_line(directory)
        })
    }

    /// A line with only the current version. Call only once all changes have been sent.
    pub(crate) fn version_line(&mut self, directory: &Directory) -> ScopedLine {
        self.sent = directory.version();
        ScopedLine {
            version: self.sent,
            ..ScopedLine::default()
        }
    }

    fn gain(&mut self, bucket: BucketId, version: Version) {
        self.lost.remove(&bucket);
        self.gained.insert(bucket);
        self.fill.add(bucket, version);
    }

    fn lose(&mut self, bucket: BucketId) {
        self.gained.remove(&bucket);
        self.lost.insert(bucket);
        self.fill.remove(bucket);
    }

    /// Sends everything again to a watcher so slow that removals were purged before they could be sent to it.
    fn resend_all_if_removals_were_purged(&mut self, directory: &Directory) {
        let has_unsent = self.pending.needs_rescan() || !self.pending.is_empty();
        if !has_unsent || self.sent >= directory.forgotten() {
            return;
        }
        self.pending = PendingChanges::listed(entries_of(&self.cached, directory));
        self.sent = directory.forgotten();
        for bucket in self.held.clone() {
            self.lose(bucket);
            self.gain(bucket, directory.version());
        }
    }

    /// Lists the changed entries to send, without duplicates and sorted by version.
    fn collect_pending(&mut self, directory: &Directory) {
        let mut pending = if self.pending.needs_rescan() {
            PendingChanges::listed(self.entries_after_sent(directory))
        } else {
            std::mem::replace(&mut self.pending, PendingChanges::listed(Vec::new()))
        };
        pending.filter_and_sort(directory, |index| self.is_sent_as_change(index, directory));
        self.pending = pending;
    }

    fn entries_after_sent(&self, directory: &Directory) -> Vec<EntryIndex> {
        let entries = directory.entries();
        let held = self
            .held
            .iter()
            .flat_map(|bucket| entries.in_bucket(*bucket).iter().copied());
        held.chain(entries_of(&self.cached, directory))
            .filter(|index| entries.version(*index) > Some(self.sent))
            .collect()
    }

    /// Whether a change of the entry is sent as a change. A change that a fill will contain is left to the fill.
    fn is_sent_as_change(&self, index: EntryIndex, directory: &Directory) -> bool {
        let entries = directory.entries();
        let destination = entries.destination(index);
        if destination.is_some_and(|destination| self.cached.contains(&destination)) {
            return true;
        }
        let Some(bucket) = entries.bucket(index) else {
            return false;
        };
        let gained_at = self.fill.gained_at(bucket);
        self.held.contains(&bucket)
            && gained_at.is_none_or(|gained| entries.version(index) > Some(gained))
    }

    /// The version up to which all changes have been sent, given those still pending.
    fn version_after(&self, directory: &Directory) -> Version {
        match self.pending.first_version(directory) {
            Some(next) => self.sent.max(Version(next.0 - 1)),
            None => directory.version(),
        }
    }

    fn new_line(&self, directory: &Directory) -> ScopedLine {
        let log = if self.first_line_sent {
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

fn entries_of<'a>(
    destinations: impl IntoIterator<Item = &'a u64>,
    directory: &Directory,
) -> Vec<EntryIndex> {
    let destinations = destinations.into_iter();
    destinations
        .flat_map(|destination| directory.of_destination(*destination))
        .collect()
}

/// Removes and returns the first [`MAX_BUCKETS_ON_LINE`] buckets.
fn take_first(buckets: &mut BTreeSet<BucketId>) -> Vec<BucketId> {
    std::iter::from_fn(|| buckets.pop_first())
        .take(MAX_BUCKETS_ON_LINE)
        .collect()
}
