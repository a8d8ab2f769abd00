//! The scope of a dispatcher's watch: the buckets that it holds, and destinations that it caches beside them.

use crate::bucket_fill::BucketFill;
use crate::entries::EntryIndex;
use crate::line::{LONGEST_LINE, ScopedLine, Version};
use crate::line_budget::LineBudget;
use crate::pending_changes::PendingChanges;
use crate::state::Directory;
use bellsill_placement::{BucketId, MemberName};
use std::collections::{BTreeSet, HashSet};

/// The most destinations outside of its buckets whose changes a watch sends.
pub(crate) const MAX_CACHED_DESTINATIONS: usize = 4096;
/// The most buckets that one line names as gained, or as lost.
const MAX_BUCKETS_ON_LINE: usize = 1024;
/// The most bytes of a bucket's number and the comma after it.
const BUCKET_BYTES: usize = 11;
/// What a line may take beside its entries: the fields of [`ScopedLine`], three of them with the most buckets.
const BYTES_BESIDE_ENTRIES: usize = 256 + 3 * MAX_BUCKETS_ON_LINE * BUCKET_BYTES;
/// The most bytes of the entries on a line.
const ENTRY_BYTES: usize = LONGEST_LINE - BYTES_BESIDE_ENTRIES;

/// What one dispatcher is sent, and how far.
pub(crate) struct MemberScope {
    name: MemberName,
    /// All changes in the scope up to this version have been sent.
    sent: Version,
    /// The first line has been sent.
    begun: bool,
    held: BTreeSet<BucketId>,
    /// Destinations outside of the buckets.
    cached: HashSet<u64>,
    pending: PendingChanges,
    gained: BTreeSet<BucketId>,
    lost: BTreeSet<BucketId>,
    fill: BucketFill,
}

impl MemberScope {
    /// The scope of a dispatcher that knows all changes up to `since` of these buckets and cached destinations, or nothing
    /// where they are not `known`.
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
            (gained, PendingChanges::unlisted())
        } else {
            let gained = held.iter().copied().collect();
            let pending = PendingChanges::listed(entries_of(cached, directory));
            (gained, pending)
        };
        let mut scope = MemberScope {
            name: name.clone(),
            sent: since,
            begun: false,
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

    /// An entry has changed that is in the scope, or was before the change.
    pub(crate) fn entry_changed(&mut self, index: EntryIndex) {
        self.pending.add(index);
    }

    /// The assignment has changed.
    pub(crate) fn reassigned(&mut self, directory: &Directory) {
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

    /// Has the changes of the added destinations sent from now on, and no longer those of the evicted ones.
    pub(crate) fn change_cached(&mut self, added: &BTreeSet<u64>, evicted: &BTreeSet<u64>) {
        self.cached
            .retain(|destination| !evicted.contains(destination));
        self.cached.extend(added);
    }

    /// The next line of changes; none where all have been sent.
    pub(crate) fn next_changes(&mut self, directory: &Directory) -> Option<ScopedLine> {
        self.restart_if_removals_are_forgotten(directory);
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
        line.servers = self.pending.take(directory, LineBudget::new(ENTRY_BYTES));
        self.sent = self.version_after(directory);
        self.begun = true;
        line.version = self.sent;
        Some(line)
    }

    /// The next line that fills buckets; to be called only when all changes have been sent.
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

    /// A line with just the current version; to be called only when all changes have been sent.
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

    /// A watcher so slow that removals are forgotten before they were sent to it is sent everything again.
    fn restart_if_removals_are_forgotten(&mut self, directory: &Directory) {
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

    /// Lists the entries to be sent, each once, in the order of their versions.
    fn collect_pending(&mut self, directory: &Directory) {
        let mut pending = if self.pending.needs_rescan() {
            PendingChanges::listed(self.later_than_sent(directory))
        } else {
            std::mem::replace(&mut self.pending, PendingChanges::listed(Vec::new()))
        };
        pending.order(directory, |index| self.is_in_scope(index, directory));
        self.pending = pending;
    }

    fn later_than_sent(&self, directory: &Directory) -> Vec<EntryIndex> {
        let entries = directory.entries();
        let held = self
            .held
            .iter()
            .flat_map(|bucket| entries.in_bucket(*bucket).iter().copied());
        held.chain(entries_of(&self.cached, directory))
            .filter(|index| entries.version(*index) > Some(self.sent))
            .collect()
    }

    /// Whether a change of the entry is sent as such: a change that a fill will send is not sent before.
    fn is_in_scope(&self, index: EntryIndex, directory: &Directory) -> bool {
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

    /// The version up to which all has been sent, given what is still pending.
    fn version_after(&self, directory: &Directory) -> Version {
        match self.pending.first_version(directory) {
            Some(next) => self.sent.max(Version(next.0 - 1)),
            None => directory.version(),
        }
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

fn entries_of<'a>(
    destinations: impl IntoIterator<Item = &'a u64>,
    directory: &Directory,
) -> Vec<EntryIndex> {
    let destinations = destinations.into_iter();
    destinations
        .flat_map(|destination| directory.of_destination(*destination))
        .collect()
}

/// Takes the first buckets, as many as a line may name.
fn take_first(buckets: &mut BTreeSet<BucketId>) -> Vec<BucketId> {
    std::iter::from_fn(|| buckets.pop_first())
        .take(MAX_BUCKETS_ON_LINE)
        .collect()
}
