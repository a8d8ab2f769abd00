//! Why a log is rejected, and which snapshots were not used.

use crate::codec::{FORMAT_VERSION, MAX_RECORD_BYTES};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a log can't be opened, written or made durable.
#[derive(Debug, Error)]
pub enum LogError {
    /// The operating system reported an error.
    #[error("could not {action} {}: {source}", file.display())]
    Io {
        /// What was attempted.
        action: &'static str,
        /// The file or directory concerned.
        file: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// A synced part of a segment is damaged.
    #[error(
        "{} is damaged at byte {offset}: {damage}. Nothing was changed. Copy the directory of another control process \
         over this one, or move this one away to begin from nothing and follow another process",
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
    /// The segment has a format version that this program does not read.
    #[error("{} has the format {found}, this program reads {FORMAT_VERSION}: run the program that wrote it", file.display())]
    UnknownFormat {
        /// The segment.
        file: PathBuf,
        /// Its format version.
        found: u32,
    },
    /// There is a gap between this segment and what comes before it.
    #[error(
        "{} begins after record {previous_index}, but the snapshots and logs before it end with {last_index}: a file is missing or \
         a snapshot was refused. Restore it, or copy the directory of another control process over this one",
        file.display()
    )]
    MissingRecords {
        /// The segment after the gap.
        file: PathBuf,
        /// The index that its records come after.
        previous_index: u64,
        /// The last index before the gap.
        last_index: u64,
    },
    /// The payload exceeds [`MAX_RECORD_BYTES`].
    #[error("a record of {length} bytes is longer than {MAX_RECORD_BYTES}: split it")]
    RecordTooLong {
        /// The length of the payload in bytes.
        length: usize,
    },
    /// The index is not higher than the last one.
    #[error("index {found} does not follow {last}: indices rise")]
    IndexOutOfOrder {
        /// The last index.
        last: u64,
        /// The index that was given.
        found: u64,
    },
    /// Another process has locked the directory.
    #[error("{} is in use by another process: stop that one first", directory.display())]
    InUse {
        /// The locked directory.
        directory: PathBuf,
    },
    /// An earlier write or sync failed.
    #[error("an earlier write to {} failed, so what is on disk is not known: restart the process", directory.display())]
    PreviousWriteFailed {
        /// The directory of the log.
        directory: PathBuf,
    },
}

/// What is wrong at an offset of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Damage {
    /// The header of the segment is wrong or damaged.
    #[error("this is not the header of a log")]
    SegmentHeader,
    /// The checksum of a record's header does not match.
    #[error("the checksum of a record's header does not match")]
    RecordHeaderChecksum,
    /// The checksum of a payload does not match.
    #[error("the checksum of a record does not match")]
    PayloadChecksum,
    /// A record ends beyond the end of the file.
    #[error("a record ends beyond the file, though others follow")]
    TruncatedRecord,
    /// A record exceeds [`MAX_RECORD_BYTES`].
    #[error("a record is longer than {MAX_RECORD_BYTES} bytes")]
    RecordTooLong,
    /// Indices do not rise.
    #[error("the index of a record does not follow the one before")]
    IndexOutOfOrder,
}

/// A snapshot that was not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedSnapshot {
    /// The snapshot's file.
    pub file: PathBuf,
    /// Why it was not used.
    pub reason: RejectReason,
}

/// Why a snapshot was not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectReason {
    /// The process ended while writing it.
    #[error("it was not finished")]
    Unfinished,
    /// It is too short, or starts with something else.
    #[error("it is too short or not a snapshot")]
    NotASnapshot,
    /// It has this format version, which the program does not read.
    #[error("its format is {0}, this program reads {FORMAT_VERSION}")]
    UnknownFormat(u32),
    /// Its content is damaged.
    #[error("its checksum does not match")]
    ChecksumMismatch,
    /// Its records do not match its count.
    #[error("its records are not those that it counts")]
    RecordCountMismatch,
    /// One of its records exceeds [`MAX_RECORD_BYTES`].
    #[error("one of its records is longer than {MAX_RECORD_BYTES} bytes")]
    RecordTooLong,
    /// Its index differs from the one in its file name.
    #[error("its index is not that of its name")]
    IndexMismatch,
}

/// Adds the action and the file to an error of the operating system.
pub(crate) fn io_error(action: &'static str, file: &Path) -> impl FnOnce(io::Error) -> LogError {
    let file = file.to_owned();
    move |source| LogError::Io {
        action,
        file,
        source,
    }
}
