//! Recovery of the log when it is opened: reads the latest usable snapshot and the records after it.

use crate::directory::{Directory, Listing};
use crate::error::{LogError, RejectReason, RejectedSnapshot};
use crate::segment::Segment;
use crate::segment_reader::{self, Record, SegmentContent, Tail};
use crate::snapshot::{self, Snapshot, SnapshotFile};

/// The content of an opened log.
#[derive(Debug)]
pub struct Recovered {
    /// The latest usable snapshot.
    pub snapshot: Option<Snapshot>,
    /// The records after the snapshot, in ascending order of their indices.
    pub records: Vec<Record>,
    /// The data that could not be recovered.
    pub report: RecoveryReport,
}

/// Data that was discarded or not used in recovery.
#[derive(Debug, Default)]
pub struct RecoveryReport {
    /// The number of bytes truncated at the end of the log, left by an unfinished write.
    pub torn_bytes: u64,
    /// The rejected snapshots. Unfinished ones have been removed; damaged ones are kept until the next snapshot.
    pub rejected: Vec<RejectedSnapshot>,
}

/// The result of recovery, from which the log is opened.
pub(crate) struct Recovery {
    pub(crate) recovered: Recovered,
    pub(crate) segment: Segment,
    pub(crate) last_index: u64,
    /// The indices of the usable snapshots, in ascending order.
    pub(crate) snapshots: Vec<u64>,
}

/// Reads the snapshots and records of a directory, and opens the segment to append to. On an error the log is
/// unchanged, except that temporary files may have been removed.
pub(crate) fn recover(directory: &Directory) -> Result<Recovery, LogError> {
    let listing = directory.list()?;
    let mut rejected = remove_temporary_files(directory, &listing)?;
    let snapshots = read_snapshots(directory, &listing)?;
    rejected.extend(snapshots.rejected);
    let snapshot_index = snapshots
        .latest
        .as_ref()
        .map_or(0, |snapshot| snapshot.index);
    let log = read_records(directory, &listing.segments, snapshot_index)?;
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

/// Returns the segments that have no record above `index`, which are those whose next segment starts at or before it.
pub(crate) fn segments_up_to(segments: &[u64], index: u64) -> impl Iterator<Item = u64> {
    segments
        .windows(2)
        .filter(move |pair| pair[1] <= index)
        .map(|pair| pair[0])
}

fn remove_temporary_files(
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

/// The result of reading all snapshots of a directory.
#[derive(Default)]
struct ReadSnapshots {
    /// The indices of the usable snapshots, in ascending order.
    usable: Vec<u64>,
    latest: Option<Snapshot>,
    rejected: Vec<RejectedSnapshot>,
}

fn read_snapshots(directory: &Directory, listing: &Listing) -> Result<ReadSnapshots, LogError> {
    let mut snapshots = ReadSnapshots::default();
    for index in listing.snapshots.iter().copied() {
        let file = directory.snapshot_path(index);
        match snapshot::read(&file, index)? {
            SnapshotFile::Usable(snapshot) => {
                snapshots.usable.push(index);
                snapshots.latest = Some(snapshot);
            }
            SnapshotFile::Rejected(reason) => {
                snapshots.rejected.push(RejectedSnapshot { file, reason });
            }
        }
    }
    Ok(snapshots)
}

/// The records after a snapshot, and the segment that contains the last of them.
struct LogContent {
    records: Vec<Record>,
    last_index: u64,
    last_segment: Option<LastSegment>,
    torn_bytes: u64,
}

struct LastSegment {
    previous_index: u64,
    /// The length in bytes, without torn bytes.
    length: u64,
    /// The index of its last record, or `previous_index` if it has none.
    last_index: u64,
}

fn read_records(
    directory: &Directory,
    segments: &[u64],
    snapshot_index: u64,
) -> Result<LogContent, LogError> {
    let mut content = LogContent {
        records: Vec::new(),
        last_index: snapshot_index,
        last_segment: None,
        torn_bytes: 0,
    };
    let obsolete: Vec<u64> = segments_up_to(segments, snapshot_index).collect();
    for previous_index in segments
        .iter()
        .copied()
        .filter(|previous_index| !obsolete.contains(previous_index))
    {
        let file = directory.segment_path(previous_index);
        if previous_index > content.last_index {
            return Err(LogError::MissingRecords {
                file,
                previous_index,
                last_index: content.last_index,
            });
        }
        let tail = if segments.last() == Some(&previous_index) {
            Tail::MayBeTorn
        } else {
            Tail::Complete
        };
        let SegmentContent {
            records,
            length,
            torn_bytes,
        } = segment_reader::read(&file, previous_index, tail)?;
        let last_index = records.last().map_or(previous_index, |record| record.index);
        content.last_segment = Some(LastSegment {
            previous_index,
            length,
            last_index,
        });
        content.last_index = content.last_index.max(last_index);
        content.records.extend(
            records
                .into_iter()
                .filter(|record| record.index > snapshot_index),
        );
        content.torn_bytes = torn_bytes;
    }
    Ok(content)
}

/// Opens the last segment for appending. Creates a new one if there is none, or if the snapshot is ahead of its
/// records.
fn open_last_segment(directory: &Directory, content: &LogContent) -> Result<Segment, LogError> {
    let Some(last) = &content.last_segment else {
        return Segment::create(directory, content.last_index);
    };
    let segment = Segment::open(
        &directory.segment_path(last.previous_index),
        last.previous_index,
        last.length,
    )?;
    if last.last_index < content.last_index {
        Segment::create(directory, content.last_index)
    } else {
        Ok(segment)
    }
}
