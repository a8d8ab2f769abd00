//! When a journal is compacted, and how long it may grow: what is over is only removed by a new file beside the old
//! one, and for that moment both of them count towards the disk quota.

use super::folder::{ONE_BLOCK, OtherUsage, disk_bytes};

/// A shorter file is not compacted.
const MIN_COMPACTION_BYTES: u64 = 256 * 1024;
/// A file is compacted once it is this many times as long as its live records.
const COMPACTION_RATIO: u64 = 4;

/// The lengths on which compaction and capacity depend, at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct DiskUsage {
    /// The complete records of the file.
    pub(super) file_bytes: u64,
    /// The records of the file that still count.
    pub(super) live_bytes: u64,
    /// All other files of the folder.
    pub(super) others: OtherUsage,
    /// The disk quota, which this journal shares with all other files of the folder.
    pub(super) capacity_bytes: u64,
}

impl DiskUsage {
    /// Three quarters of the quota: the last quarter is reserved for what follows for the messages that are pending.
    fn unreserved_bytes(&self) -> u64 {
        self.capacity_bytes / 4 * 3
    }

    /// Whether the live records with a new one, and their compacted copy, stay out of the reserve.
    pub(super) fn has_capacity_for_live(&self, record_bytes: u64) -> bool {
        2 * (disk_bytes(self.live_bytes + record_bytes) + ONE_BLOCK) <= self.unreserved_bytes()
    }

    /// Whether the file with a new record stays out of the reserve, which it shares with other processes' journals.
    /// Without one, the bound on the live records is enough.
    pub(super) fn keeps_reserve(&self, record_bytes: u64) -> bool {
        let all = disk_bytes(self.file_bytes + record_bytes) + self.others.bytes;
        !self.others.has_journals || all <= self.unreserved_bytes()
    }

    /// Whether more than half of the file no longer counts.
    pub(super) fn is_mostly_obsolete(&self) -> bool {
        self.file_bytes > 2 * self.live_bytes
    }

    /// Whether the file, with more records, could still be compacted beside itself.
    fn leaves_space_for_compaction(&self, more: u64) -> bool {
        let both = disk_bytes(self.file_bytes + more) + disk_bytes(self.live_bytes + more);
        both + 2 * ONE_BLOCK + self.others.bytes <= self.capacity_bytes
    }

    /// Whether the file may grow by this much. Beside another process's journal, which will be gone soon, it need not
    /// leave space for its compaction: two such spaces would leave hardly any for messages.
    pub(super) fn has_capacity_for(&self, more: u64) -> bool {
        if self.others.has_journals {
            let all = disk_bytes(self.file_bytes + more) + 2 * ONE_BLOCK + self.others.bytes;
            all <= self.capacity_bytes
        } else {
            self.leaves_space_for_compaction(more)
        }
    }

    /// Whether the file should be compacted before it grows by this much.
    pub(super) fn needs_compaction(&self, more: u64) -> bool {
        let is_long =
            self.file_bytes > MIN_COMPACTION_BYTES.max(COMPACTION_RATIO * self.live_bytes);
        let is_tight = self.is_mostly_obsolete() && !self.leaves_space_for_compaction(more);
        is_long || is_tight || !self.has_capacity_for(more)
    }

    /// Whether a compacted file may be written beside the present one, torn tail included.
    pub(super) fn may_compact(&self, total_bytes: u64, compacted_bytes: u64) -> bool {
        disk_bytes(total_bytes) + disk_bytes(compacted_bytes) + self.others.bytes
            <= self.capacity_bytes
    }
}
