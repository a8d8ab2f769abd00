//! The log as its user has it: opening with recovery, appending, and snapshots that free the space of old records.

use crate::codec::LONGEST_RECORD;
use crate::directory::{Directory, Listing};
use crate::segment::{self, Record, Segment, SegmentContent, Tail};
use crate::snapshot::{self, Snapshot};
use crate::{LogError, RejectReason, Rejected};
use std::path::Path;

/// How many snapshots are kept.
const SNAPSHOTS_KEPT: usize = 2;

/// A log in a directory, which no other process can open meanwhile.
pub struct ConfigLog {
    directory: Directory,
    segment: Segment,
    /// The index of the last record or snapshot; nought where there is none.
    last_index: u64,
    /// The indices of the snapshots that can be used, in order.
    snapshots: Vec<u64>,
    /// Whether a write or sync failed, so that the file on disk is not known.
    failed: bool,
}

/// What an opened log has.
#[derive(Debug)]
pub struct Recovered {
    /// The latest snapshot that can be used.
    pub snapshot: Option<Snapshot>,
    /// The records after it, in order.
    pub records: Vec<Record>,
    pub report: RecoveryReport,
}

/// What an opening left out.
#[derive(Debug, Default)]
pub struct RecoveryReport {
    /// Bytes at the end of the log that a write without a sync left there; they are cut off.
    pub torn_bytes: u64,
    /// Snapshots that were not used. The files of damaged ones stay until the next snapshot.
    pub rejected: Vec<Rejected>,
}

impl ConfigLog {
    /// Opens the log of a directory, which is made where it is not there. An error changes nothing but what was left of
    /// files whose writing was not finished.
    pub fn open(directory: impl AsRef<Path>) -> Result<(ConfigLog, Recovered), LogError> {
        let directory = Directory::open(directory.as_ref())?;
        let listing = directory.list()?;
        let mut report = RecoveryReport::default();
        remove_unfinished(&directory, &listing, &mut report)?;
        let (snapshots, snapshot) = usable_snapshots(&directory, &listing, &mut report)?;
        let base = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let read = read_records(&directory, &listing.logs, base)?;
        report.torn_bytes = read.torn_bytes;
        let segment = open_last_segment(&directory, &read)?;
        let log = ConfigLog {
            directory,
            segment,
            last_index: read.last_index,
            snapshots,
            failed: false,
        };
        Ok((
            log,
            Recovered {
                snapshot,
                records: read.records,
                report,
            },
        ))
    }

    /// Writes a record. Its index must be above that of every record and snapshot before.
    pub fn append(&mut self, index: u64, payload: &[u8]) -> Result<(), LogError> {
        self.append_batch(&[(index, payload)])
    }

    /// Writes records in one go: all of them, or after an error none.
    pub fn append_batch(&mut self, records: &[(u64, &[u8])]) -> Result<(), LogError> {
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

    /// Makes every record that was written durable. After an error nothing more is taken: what the disk has is not known.
    pub fn sync(&mut self) -> Result<(), LogError> {
        self.check_usable()?;
        let synced = self.segment.sync();
        self.failed = synced.is_err();
        synced
    }

    /// Writes a snapshot of all up to an index, and then removes what only earlier snapshots need. The index may be above
    /// that of the last record, where the state came from elsewhere, but not below that of the snapshot before. Where the
    /// snapshot can't be written, the log is as before; where the file of the next records can't be made, nothing more is
    /// taken until the log is opened again.
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
        let begun = self.begin_segment();
        self.failed = begun.is_err();
        begun?;
        self.remove_outdated()
    }

    /// The bytes of the file that is appended to; the next snapshot begins another one.
    pub fn bytes(&self) -> u64 {
        self.segment.length()
    }

    /// The index of the last record or snapshot; nought where there is none.
    pub fn last_index(&self) -> u64 {
        self.last_index
    }

    fn begin_segment(&mut self) -> Result<(), LogError> {
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
            for after in logs_before(&listing.logs, self.snapshots[0]) {
                self.directory.remove(&self.directory.log_path(after))?;
            }
        }
        self.directory.sync()
    }

    fn check_usable(&self) -> Result<(), LogError> {
        if self.failed {
            return Err(LogError::Failed {
                directory: self.directory.path().to_owned(),
            });
        }
        Ok(())
    }
}

/// The index of the last of some records that follow one another and are not too long.
fn check_records(last_index: u64, records: &[(u64, &[u8])]) -> Result<u64, LogError> {
    records
        .iter()
        .try_fold(last_index, |last, (index, payload)| {
            if payload.len() > LONGEST_RECORD {
                return Err(LogError::RecordTooLong {
                    length: payload.len(),
                });
            }
            if *index <= last {
                return Err(LogError::IndexOutOfOrder {
                    last,
                    found: *index,
                });
            }
            Ok(*index)
        })
}

/// The logs whose records are all up to an index: those that another log follows which begins there or before.
fn logs_before(logs: &[u64], index: u64) -> impl Iterator<Item = u64> {
    logs.windows(2)
        .filter(move |pair| pair[1] <= index)
        .map(|pair| pair[0])
}

fn remove_unfinished(
    directory: &Directory,
    listing: &Listing,
    report: &mut RecoveryReport,
) -> Result<(), LogError> {
    for file in &listing.temporary {
        directory.remove(file)?;
        report.rejected.push(Rejected {
            file: file.clone(),
            reason: RejectReason::Unfinished,
        });
    }
    Ok(())
}

/// The indices of the snapshots that can be used, and the latest of them.
fn usable_snapshots(
    directory: &Directory,
    listing: &Listing,
    report: &mut RecoveryReport,
) -> Result<(Vec<u64>, Option<Snapshot>), LogError> {
    let (mut usable, mut latest) = (Vec::new(), None);
    for index in listing.snapshots.iter().copied() {
        let file = directory.snapshot_path(index);
        match snapshot::read(&file, index)? {
            Ok(snapshot) => {
                usable.push(index);
                latest = Some(snapshot);
            }
            Err(reason) => report.rejected.push(Rejected { file, reason }),
        }
    }
    Ok((usable, latest))
}

/// What the logs have after a snapshot.
struct ReadRecords {
    records: Vec<Record>,
    last_index: u64,
    last_segment: Option<LastSegment>,
    torn_bytes: u64,
}

struct LastSegment {
    after: u64,
    /// Without torn bytes.
    length: u64,
    /// Of its last record, or `after` where it has none.
    last_index: u64,
}

fn read_records(directory: &Directory, logs: &[u64], base: u64) -> Result<ReadRecords, LogError> {
    let mut read = ReadRecords {
        records: Vec::new(),
        last_index: base,
        last_segment: None,
        torn_bytes: 0,
    };
    let outdated: Vec<u64> = logs_before(logs, base).collect();
    for after in logs
        .iter()
        .copied()
        .filter(|after| !outdated.contains(after))
    {
        let file = directory.log_path(after);
        if after > read.last_index {
            return Err(LogError::MissingRecords {
                file,
                after,
                reached: read.last_index,
            });
        }
        let tail = if logs.last() == Some(&after) {
            Tail::MayBeTorn
        } else {
            Tail::IsWhole
        };
        let SegmentContent {
            records,
            length,
            torn_bytes,
        } = segment::read(&file, after, tail)?;
        let last_index = records.last().map_or(after, |record| record.index);
        read.last_segment = Some(LastSegment {
            after,
            length,
            last_index,
        });
        read.last_index = read.last_index.max(last_index);
        read.records
            .extend(records.into_iter().filter(|record| record.index > base));
        read.torn_bytes = torn_bytes;
    }
    Ok(read)
}

/// The file to append to: the last one, or a new one where a snapshot is ahead of it.
fn open_last_segment(directory: &Directory, read: &ReadRecords) -> Result<Segment, LogError> {
    let Some(last) = &read.last_segment else {
        return Segment::create(directory, read.last_index);
    };
    let segment = Segment::open(&directory.log_path(last.after), last.after, last.length)?;
    if last.last_index < read.last_index {
        Segment::create(directory, read.last_index)
    } else {
        Ok(segment)
    }
}
