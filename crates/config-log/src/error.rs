//! Errors of the log, and the reasons for which snapshots are rejected.

use crate::codec::{FORMAT_VERSION, MAX_RECORD_BYTES};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a log can't be opened, written or synced.
#[derive(Debug, Error)]
pub enum LogError {
    /// An operation on a file or directory failed.
    #[error("could not {action} {}: {source}", file.display())]
    Io {
        /// What was attempted.
        action: &'static str,
        /// The file or directory concerned.
        file: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// Synced data in a segment is damaged.
    #[error(
        "{} is damaged at byte {offset}: {damage}. The log was not changed. Copy the directory of another control \
         process over this one, or move this one away to start with an empty directory and follow another process",
        file.display()
    )]
    Corrupt {
        /// The damaged segment.
        file: PathBuf,
        /// Where the damaged header or record starts.
        offset: u64,
        /// What is wrong there.
        damage: Damage,
    },
    /// This program does not support the format version of the segment.
    #[error(
        "{} has format version {found}, but this program reads version {FORMAT_VERSION}; run the program that wrote it",
        file.display()
    )]
    UnknownFormat {
        /// The segment.
        file: PathBuf,
        /// Its format version.
        found: u32,
    },
    /// Records are missing between this segment and the snapshot or segment before it.
    #[error(
        "{} starts after record {previous_index}, but the snapshots and segments before it end at record {last_index}: \
         a file is missing or a snapshot was rejected. Restore it, or copy the directory of another control process \
         over this one",
        file.display()
    )]
    MissingRecords {
        /// The segment after the missing records.
        file: PathBuf,
        /// The index that all its records are higher than.
        previous_index: u64,
        /// The last index before the gap.
        last_index: u64,
    },
    /// The payload exceeds [`MAX_RECORD_BYTES`].
    #[error("a record of {length} bytes exceeds the limit of {MAX_RECORD_BYTES} bytes; split it")]
    RecordTooLong {
        /// The length of the payload in bytes.
        length: usize,
    },
    /// The index of a record is not higher than the last one, or that of a snapshot is lower than the previous one.
    #[error("index {found} is out of order: the last index is {last}")]
    IndexOutOfOrder {
        /// The last index in the log, or the index of the previous snapshot.
        last: u64,
        /// The rejected index.
        found: u64,
    },
    /// Another process has locked the directory.
    #[error("{} is in use by another process; stop that process first", directory.display())]
    InUse {
        /// The locked directory.
        directory: PathBuf,
    },
    /// An earlier write or sync failed.
    #[error(
        "an earlier write to {} failed, so its content on disk is unknown; restart the process",
        directory.display()
    )]
    PreviousWriteFailed {
        /// The directory of the log.
        directory: PathBuf,
    },
}

/// The kind of damage found in a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Damage {
    /// The segment header is damaged, or its index differs from the one in the file name.
    #[error("the segment header is invalid")]
    SegmentHeader,
    /// A record header doesn't match its checksum.
    #[error("the checksum of a record header does not match")]
    RecordHeaderChecksum,
    /// A record's payload doesn't match its checksum.
    #[error("the checksum of a record's payload does not match")]
    PayloadChecksum,
    /// A record extends past the end of the file, and later records or segments show that it was synced.
    #[error("a record extends past the end of the file, although later records or segments exist")]
    TruncatedRecord,
    /// A record exceeds [`MAX_RECORD_BYTES`].
    #[error("a record is longer than {MAX_RECORD_BYTES} bytes")]
    RecordTooLong,
    /// The index of a record is not higher than that of the record before.
    #[error("the index of a record is not higher than the previous one")]
    IndexOutOfOrder,
}

/// A snapshot that was not used in recovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedSnapshot {
    /// The snapshot's file.
    pub file: PathBuf,
    /// Why it was rejected.
    pub reason: RejectReason,
}

/// Why a snapshot was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectReason {
    /// The file still has its temporary name: the process stopped before the write was complete.
    /// Unfinished segments are reported with this reason, too.
    #[error("it was not completely written")]
    Unfinished,
    /// The file is too short, or does not start with the magic number of a snapshot.
    #[error("it is too short or not a snapshot")]
    NotASnapshot,
    /// This program does not support this format version.
    #[error("it has format version {0}, but this program reads version {FORMAT_VERSION}")]
    UnknownFormat(u32),
    /// The content doesn't match its checksum.
    #[error("its checksum does not match")]
    ChecksumMismatch,
    /// The number of records differs from the record count in the file.
    #[error("its records do not match its record count")]
    RecordCountMismatch,
    /// A record exceeds [`MAX_RECORD_BYTES`].
    #[error("one of its records is longer than {MAX_RECORD_BYTES} bytes")]
    RecordTooLong,
    /// The index differs from the one in the file name.
    #[error("its index differs from the one in its file name")]
    IndexMismatch,
}

/// Converts an operating system error to [`LogError::Io`].
pub(crate) fn io_error(action: &'static str, file: &Path) -> impl FnOnce(io::Error) -> LogError {
    let file = file.to_owned();
    move |source| LogError::Io {
        action,
        file,
        source,
    }
}
