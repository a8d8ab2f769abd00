//! Reading what the directory of a log has when it is opened: the latest usable snapshot, and the records after it.

use crate::directory::{Directory, Listing};
use crate::error::{LogError, RejectReason, RejectedSnapshot};
use crate::segment::Segment;
use crate::segment_reader::{self, Record, SegmentContent, Tail};
use crate::snapshot::{self, Snapshot, SnapshotFile};

/// What an opened log contains.
#[derive(Debug)]
pub struct Recovered {
    /// The latest snapshot that can be used.
    pub snapshot: Option<Snapshot>,
    /// The records after it, in order.
    pub records: Vec<Record>,
    /// What could not be used.
    pub report: RecoveryReport,
}

/// What was left out when a log was opened.
#[derive(Debug, Default)]
pub struct RecoveryReport {
    /// Bytes at the end of the log that an unfinished write left there; they are cut off.
    pub torn_bytes: u64,
    /// Snapshots that were not used. The files of damaged ones are kept until the next snapshot.
    pub rejected: Vec<RejectedSnapshot>,
}

/// The state of a log after recovery, ready to be appended to.
pub(crate) struct Recovery {
    pub(crate) recovered: Recovered,
    pub(crate) segment: Segment,
    pub(crate) last_index: u64,
    /// The indices of the usable snapshots, in order.
    pub(crate) snapshots: Vec<u64>,
}

/// Reads the snapshots and records of a directory, and opens the segment to append to. An error changes nothing except
/// that unfinished files have been removed.
pub(crate) fn recover(directory: &Directory) -> Result<Recovery, LogError> {
    let listing = directory.list()?;
    let mut rejected = remove_unfinished(directory, &listing)?;
    let snapshots = read_snapshots(directory, &listing)?;
    rejected.extend(snapshots.rejected);
    let base = snapshots
        .latest
        .as_ref()
        .map_or(0, |snapshot| snapshot.index);
    let log = read_records(directory, &listing.logs, base)?;
    let segment = open_last_segment(directory, &log)?;
    Ok(Recovery {
        segment,
        last_index: log.last_index,
        snapshots: snapshots.usable,
        recovered: Recovered {
            snapshot: snapshots.latest,
            records: log.records,
            report: RecoveryReport {
                torn_bytes: log.torn_bytes,
                rejected,
            },
        },
    })
}

/// The segments whose records all have this index or a lower one: those followed by a segment that starts no later.
pub(crate) fn segments_up_to(logs: &[u64], index: u64) -> impl Iterator<Item = u64> {
    logs.windows(2)
        .filter(move |pair| pair[1] <= index)
        .map(|pair| pair[0])
}

fn remove_unfinished(
    directory: &Directory,
    listing: &Listing,
) -> Result<Vec<RejectedSnapshot>, LogError> {
    let remove = |file: &std::path::PathBuf| {
        directory.remove(file)?;
        Ok(RejectedSnapshot {
            file: file.clone(),
            reason: RejectReason::Unfinished,
        })
    };
    listing.temporary.iter().map(remove).collect()
}

/// The snapshots of a directory.
#[derive(Default)]
struct SnapshotFiles {
    /// The indices of the usable ones, in order.
    usable: Vec<u64>,
    latest: Option<Snapshot>,
    rejected: Vec<RejectedSnapshot>,
}

fn read_snapshots(directory: &Directory, listing: &Listing) -> Result<SnapshotFiles, LogError> {
    let mut files = SnapshotFiles::default();
    for index in listing.snapshots.iter().copied() {
        let file = directory.snapshot_path(index);
        match snapshot::read(&file, index)? {
            SnapshotFile::Usable(snapshot) => {
                files.usable.push(index);
                files.latest = Some(snapshot);
            }
            SnapshotFile::Rejected(reason) => {
                files.rejected.push(RejectedSnapshot { file, reason })
            }
        }
    }
    Ok(files)
}

/// The records that follow a snapshot.
struct LogContent {
    records: Vec<Record>,
    last_index: u64,
    last_segment: Option<LastSegment>,
    torn_bytes: u64,
}

struct LastSegment {
    after: u64,
    /// Without torn bytes.
    length: u64,
    /// The index of its last record, or `after` if it has none.
    last_index: u64,
}

fn read_records(directory: &Directory, logs: &[u64], base: u64) -> Result<LogContent, LogError> {
    let mut content = LogContent {
        records: Vec::new(),
        last_index: base,
        last_segment: None,
        torn_bytes: 0,
    };
    let outdated: Vec<u64> = segments_up_to(logs, base).collect();
    for after in logs
        .iter()
        .copied()
        .filter(|after| !outdated.contains(after))
    {
        let file = directory.log_path(after);
        if after > content.last_index {
            return Err(LogError::MissingRecords {
                file,
                previous_index: after,
                last_index: content.last_index,
            });
        }
        let tail = if logs.last() == Some(&after) {
            Tail::MayBeTorn
        } else {
            Tail::Complete
        };
        let SegmentContent {
            records,
            length,
            torn_bytes,
        } = segment_reader::read(&file, after, tail)?;
        let last_index = records.last().map_or(after, |record| record.index);
        content.last_segment = Some(LastSegment {
            after,
            length,
            last_index,
        });
        content.last_index = content.last_index.max(last_index);
        content
            .records
            .extend(records.into_iter().filter(|record| record.index > base));
        content.torn_bytes = torn_bytes;
    }
    Ok(content)
}

/// Opens the last segment, or creates a new one if a snapshot is ahead of it.
fn open_last_segment(directory: &Directory, content: &LogContent) -> Result<Segment, LogError> {
    let Some(last) = &content.last_segment else {
        return Segment::create(directory, content.last_index);
    };
    let segment = Segment::open(&directory.log_path(last.after), last.after, last.length)?;
    if last.last_index < content.last_index {
        Segment::create(directory, content.last_index)
    } else {
        Ok(segment)
    }
}
