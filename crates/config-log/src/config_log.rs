//! The log as its user sees it: opening, appending, and snapshots that free the space of old records.

use crate::codec::MAX_RECORD_BYTES;
use crate::directory::Directory;
use crate::error::LogError;
use crate::recovery::{self, Recovered, Recovery};
use crate::segment::{NewRecord, Segment};
use crate::snapshot;
use std::path::Path;

/// How many snapshots are kept.
const SNAPSHOTS_KEPT: usize = 2;

/// A log in a directory, which no other process can open meanwhile.
pub struct ConfigLog {
    directory: Directory,
    segment: Segment,
    /// The index of the last record or snapshot; indices start at 1, so 0 is the state before any record.
    last_index: u64,
    /// The indices of the usable snapshots, in order.
    snapshots: Vec<u64>,
    /// Whether a write or sync failed, so that the file's content on disk is unknown.
    failed: bool,
}

/// An opened log, and what it contains.
pub struct OpenedLog {
    /// The log, ready to be appended to.
    pub log: ConfigLog,
    /// The snapshot and records that were read.
    pub recovered: Recovered,
}

impl ConfigLog {
    /// Opens the log of a directory, which is created if it doesn't exist. An error changes nothing except that
    /// unfinished files may have been removed.
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

    /// Writes a record. Its index must be higher than that of every earlier record and snapshot.
    pub fn append(&mut self, index: u64, payload: &[u8]) -> Result<(), LogError> {
        self.append_batch(&[NewRecord { index, payload }])
    }

    /// Writes records in one go: all of them, or after an error none.
    pub fn append_batch(&mut self, records: &[NewRecord]) -> Result<(), LogError> {
        self.check_usable()?;
        let last_index = check_records(self.last_index, records)?;
        match self.segment.append(records) {
            Ok(()) => {
                self.last_index = last_index;
                Ok(())
            }
            Err(failure) => {
                self.failed = !failure.undone;
                Err(failure.error)
            }
        }
    }

    /// Makes every record that was written durable. After an error the log accepts nothing more, because its content on
    /// disk is unknown.
    pub fn sync(&mut self) -> Result<(), LogError> {
        self.check_usable()?;
        let synced = self.segment.sync();
        self.failed = synced.is_err();
        synced
    }

    /// Writes a snapshot of everything up to an index, and then removes what only earlier snapshots need. The index may
    /// be above that of the last record, if the state came from elsewhere, but not below that of the snapshot before. If
    /// the snapshot can't be written, the log is unchanged; if the next segment can't be created, the log accepts nothing
    /// more until it is opened again.
    pub fn write_snapshot(
        &mut self,
        index: u64,
        records: impl Iterator<Item = Vec<u8>>,
    ) -> Result<(), LogError> {
        let earlier = self.snapshots.last().copied().unwrap_or(0);
        if index < earlier {
            return Err(LogError::IndexOutOfOrder {
                last: earlier,
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
        self.remove_outdated()
    }

    /// The size in bytes of the segment that is appended to; the next snapshot starts another one.
    pub fn bytes(&self) -> u64 {
        self.segment.length()
    }

    /// The index of the last record or snapshot. Indices start at 1, so 0 is the state before any record.
    pub fn last_index(&self) -> u64 {
        self.last_index
    }

    fn start_segment(&mut self) -> Result<(), LogError> {
        if self.segment.after() != self.last_index {
            self.segment = Segment::create(&self.directory, self.last_index)?;
        }
        Ok(())
    }

    fn remove_outdated(&mut self) -> Result<(), LogError> {
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
            for after in recovery::segments_up_to(&listing.logs, self.snapshots[0]) {
                self.directory.remove(&self.directory.log_path(after))?;
            }
        }
        self.directory.sync()
    }

    fn check_usable(&self) -> Result<(), LogError> {
        if self.failed {
            return Err(LogError::PreviousWriteFailed {
                directory: self.directory.path().to_owned(),
            });
        }
        Ok(())
    }
}

/// Checks the order and length of new records; the index of the last one.
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
