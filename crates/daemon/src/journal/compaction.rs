//! Decides when a journal is compacted and how far it may grow. Obsolete records are removed only by writing a new file
//! next to the old one, and both files count towards the disk quota until the new one replaces the old.

use super::directory::{ONE_BLOCK, OtherUsage};
use crate::disk_space::disk_bytes;

/// Files up to this length are not compacted for their ratio of obsolete records.
const MIN_COMPACTION_BYTES: u64 = 256 * 1024;
/// A file is compacted once it is longer than this multiple of its live records.
const COMPACTION_RATIO: u64 = 4;

/// The endpoint list may take this fraction of the quota from the reserve, which is a quarter of it.
const CONFIGURATION_RESERVE_DIVISOR: u64 = 6;

/// A snapshot of the file lengths that decide about compaction and capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct DiskUsage {
    /// The length of the file's complete records.
    pub(super) file_bytes: u64,
    /// The length of the live records: those of pending messages and pending notifications.
    pub(super) live_bytes: u64,
    /// The disk usage of all other files of the directory.
    pub(super) others: OtherUsage,
    /// The disk quota, which this journal shares with all other files of the directory.
    pub(super) capacity_bytes: u64,
}

impl DiskUsage {
    /// Three quarters of the quota. The last quarter is reserved for later records of messages that are already
    /// pending.
    fn unreserved_bytes(&self) -> u64 {
        self.capacity_bytes / 4 * 3
    }

    /// The part of the endpoint list that the reserve has space for, so that a list of usual size leaves messages as much
    /// space as they have without one.
    fn configuration_bytes_in_reserve(&self) -> u64 {
        let limit = self.capacity_bytes / CONFIGURATION_RESERVE_DIVISOR;
        self.others.configuration_bytes.min(limit)
    }

    /// Whether the live records including a new one, and a compacted copy of them, fit outside the reserve.
    pub(super) fn has_capacity_for_live(&self, record_bytes: u64) -> bool {
        2 * (disk_bytes(self.live_bytes + record_bytes) + ONE_BLOCK) <= self.unreserved_bytes()
    }

    /// Whether the file including a new message's record leaves the reserve for later records, which is shared with the
    /// other journals. If there are none, the reserve is the space for compaction.
    pub(super) fn keeps_reserve(&self, record_bytes: u64) -> bool {
        if self.others.has_journals {
            let total_bytes = disk_bytes(self.file_bytes + record_bytes) + self.others.bytes;
            total_bytes - self.configuration_bytes_in_reserve() <= self.unreserved_bytes()
        } else {
            self.leaves_space_for_compaction(record_bytes)
        }
    }

    /// Whether compaction is worth its cost where a new message's record does not keep the reserve.
    pub(super) fn should_compact_for_message(&self) -> bool {
        !self.others.has_journals || self.is_mostly_obsolete()
    }

    /// Whether more than half of the file consists of obsolete records.
    pub(super) fn is_mostly_obsolete(&self) -> bool {
        self.file_bytes > 2 * self.live_bytes
    }

    /// Whether the quota would still hold both the file and its compacted copy after this many more bytes.
    fn leaves_space_for_compaction(&self, additional_bytes: u64) -> bool {
        let combined_bytes = disk_bytes(self.file_bytes + additional_bytes)
            + disk_bytes(self.live_bytes + additional_bytes);
        combined_bytes + 2 * ONE_BLOCK + self.others.bytes <= self.capacity_bytes
    }

    /// Whether the file may grow by this many bytes. While another journal exists, which is only for a short time, no space
    /// is kept for compaction: space for two compactions would leave hardly any for messages. A file that has grown so
    /// meanwhile that it cannot be compacted may use what is left, until enough of its messages have ended.
    pub(super) fn has_capacity_for(&self, additional_bytes: u64) -> bool {
        if !self.others.has_journals && self.leaves_space_for_compaction(0) {
            return self.leaves_space_for_compaction(additional_bytes);
        }
        let total_bytes =
            disk_bytes(self.file_bytes + additional_bytes) + 2 * ONE_BLOCK + self.others.bytes;
        total_bytes <= self.capacity_bytes
    }

    /// Whether the file should be compacted before it grows by this many bytes.
    pub(super) fn needs_compaction(&self, additional_bytes: u64) -> bool {
        let exceeds_ratio =
            self.file_bytes > MIN_COMPACTION_BYTES.max(COMPACTION_RATIO * self.live_bytes);
        let outgrows_compaction_space =
            self.is_mostly_obsolete() && !self.leaves_space_for_compaction(additional_bytes);
        exceeds_ratio || outgrows_compaction_space || !self.has_capacity_for(additional_bytes)
    }

    /// Whether the quota allows writing a compacted file next to the current one, whose length includes a torn tail.
    pub(super) fn may_compact(&self, total_bytes: u64, compacted_bytes: u64) -> bool {
        disk_bytes(total_bytes) + disk_bytes(compacted_bytes) + self.others.bytes
            <= self.capacity_bytes
    }
}
