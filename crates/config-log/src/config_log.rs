//! The public interface of the log: opening, appending, and writing snapshots, which free the space of old records.

use crate::codec::MAX_RECORD_BYTES;
use crate::directory::Directory;
use crate::error::LogError;
use crate::recovery::{self, Recovered, Recovery};
use crate::segment::{NewRecord, Segment};
use crate::snapshot;
use std::path::Path;

/// The earlier snapshot is used if the later one is damaged.
const SNAPSHOTS_KEPT: usize = 2;

/// A log in a directory, locked against other processes.
pub struct ConfigLog {
    directory: Directory,
    segment: Segment,
    /// The index of the last record or snapshot, or 0 if there is none; indices start at 1.
    last_index: u64,
    /// The indices of the usable snapshots, in ascending order.
    snapshots: Vec<u64>,
    /// Whether a write or sync failed and the content on disk is therefore unknown.
    failed: bool,
}

/// An opened log and its content.
pub struct OpenedLog {
    /// The log, ready to be appended to.
    pub log: ConfigLog,
    /// The snapshot and records that were read.
    pub recovered: Recovered,
}

impl ConfigLog {
    /// Opens the log in a directory, and creates the directory if it doesn't exist. On an error the log is unchanged,
    /// except that temporary files may have been removed.
    pub fn open(directory: impl AsRef<Path>) -> Result<OpenedLog, LogError> {
        let directory = Directory::open(directory.as_ref())?;
        let Recovery {
            recovered,
            segment,
            last_index,
            snapshots,
        } = recovery::recover(&directory)?;
        let log = ConfigLog {
            directory,
            segment,
            last_index,
            snapshots,
            failed: false,
        };
        Ok(OpenedLog { log, recovered })
    }

    /// Appends a record. Its index must be higher than that of every earlier record and snapshot.
    pub fn append(&mut self, index: u64, payload: &[u8]) -> Result<(), LogError> {
        self.append_batch(&[NewRecord { index, payload }])
    }

    /// Appends records as one batch. On an error none of them is appended; if the partial write can't be undone,
    /// the log rejects all further writes.
    pub fn append_batch(&mut self, records: &[NewRecord]) -> Result<(), LogError> {
        self.check_not_failed()?;
        let last_index = check_records(self.last_index, records)?;
        match self.segment.append(records) {
            Ok(()) => {
                self.last_index = last_index;
                Ok(())
            }
            Err(failure) => {
                self.failed = !failure.rolled_back;
                Err(failure.error)
            }
        }
    }

    /// Makes all appended records durable. After an error the log rejects all further writes, because its content on
    /// disk is unknown.
    pub fn sync(&mut self) -> Result<(), LogError> {
        self.check_not_failed()?;
        let synced = self.segment.sync();
        self.failed = synced.is_err();
        synced
    }

    /// Writes a snapshot of the state at an index, then removes the files that only older snapshots need. The index may
    /// be higher than that of the last record, for a state that did not result from records of this log, but not lower
    /// than that of the previous snapshot. If the snapshot can't be written, the log is unchanged; if the next
    /// segment can't be created, the log rejects all further writes until it is reopened.
    pub fn write_snapshot(
        &mut self,
        index: u64,
        records: impl Iterator<Item = Vec<u8>>,
    ) -> Result<(), LogError> {
        let previous = self.snapshots.last().copied().unwrap_or(0);
        if index < previous {
            return Err(LogError::IndexOutOfOrder {
                last: previous,
                found: index,
            });
        }
        self.sync()?;
        snapshot::write(&self.directory, index, records)?;
        self.snapshots.retain(|other| *other != index);
        self.snapshots.push(index);
        self.last_index = self.last_index.max(index);
        let started = self.start_segment();
        self.failed = started.is_err();
        started?;
        self.remove_obsolete_files()
    }

    /// The size in bytes of the current segment. [`ConfigLog::write_snapshot`] starts a new one.
    pub fn bytes(&self) -> u64 {
        self.segment.length()
    }

    /// The index of the last record or snapshot, or 0 if there is none; indices start at 1.
    pub fn last_index(&self) -> u64 {
        self.last_index
    }

    fn start_segment(&mut self) -> Result<(), LogError> {
        if self.segment.previous_index() != self.last_index {
            self.segment = Segment::create(&self.directory, self.last_index)?;
        }
        Ok(())
    }

    fn remove_obsolete_files(&mut self) -> Result<(), LogError> {
        let surplus = self.snapshots.len().saturating_sub(SNAPSHOTS_KEPT);
        self.snapshots.drain(..surplus);
        let listing = self.directory.list()?;
        for index in listing
            .snapshots
            .iter()
            .filter(|index| !self.snapshots.contains(index))
        {
            self.directory
                .remove(&self.directory.snapshot_path(*index))?;
        }
        if self.snapshots.len() == SNAPSHOTS_KEPT {
            for previous_index in recovery::segments_up_to(&listing.segments, self.snapshots[0]) {
                self.directory
                    .remove(&self.directory.segment_path(previous_index))?;
            }
        }
        self.directory.sync()
    }

    fn check_not_failed(&self) -> Result<(), LogError> {
        if self.failed {
            return Err(LogError::PreviousWriteFailed {
                directory: self.directory.path().to_owned(),
            });
        }
        Ok(())
    }
}

/// Checks the order and length of new records, and returns the index of the last one.
fn check_records(last_index: u64, records: &[NewRecord]) -> Result<u64, LogError> {
    records.iter().try_fold(last_index, |last, record| {
        if record.payload.len() > MAX_RECORD_BYTES {
            return Err(LogError::RecordTooLong {
                length: record.payload.len(),
            });
        }
        if record.index <= last {
            return Err(LogError::IndexOutOfOrder {
                last,
                found: record.index,
            });
        }
        Ok(record.index)
    })
}
