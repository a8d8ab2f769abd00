//! Why a log is refused, and which snapshots were not used.

use crate::{FORMAT_VERSION, LONGEST_RECORD};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a log can't be opened, written or made durable.
#[derive(Debug, Error)]
pub enum LogError {
    #[error("could not {action} {}: {source}", file.display())]
    Io {
        action: &'static str,
        file: PathBuf,
        source: io::Error,
    },
    #[error(
        "{} is damaged at byte {offset}: {damage}. Nothing was changed. Copy the directory of another control process \
         over this one, or move this one away to begin from nothing and follow another process",
        file.display()
    )]
    Corrupt {
        file: PathBuf,
        offset: u64,
        damage: Damage,
    },
    #[error("{} has the format {found}, this program reads {FORMAT_VERSION}: run the program that wrote it", file.display())]
    UnknownFormat { file: PathBuf, found: u32 },
    #[error(
        "{} begins after record {after}, but the snapshots and logs before it end with {reached}: a file is missing or \
         a snapshot was refused. Restore it, or copy the directory of another control process over this one",
        file.display()
    )]
    MissingRecords {
        file: PathBuf,
        after: u64,
        reached: u64,
    },
    #[error("a record of {length} bytes is longer than {LONGEST_RECORD}: split it")]
    RecordTooLong { length: usize },
    #[error("index {found} does not follow {last}: indices rise")]
    IndexOutOfOrder { last: u64, found: u64 },
    #[error("{} is in use by another process: stop that one first", directory.display())]
    InUse { directory: PathBuf },
    #[error("an earlier write to {} failed, so what is on disk is not known: restart the process", directory.display())]
    Failed { directory: PathBuf },
}

/// What is wrong at a place of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Damage {
    #[error("this is not the header of a log")]
    FileHeader,
    #[error("the checksum of a record's header does not match")]
    RecordHeader,
    #[error("the checksum of a record does not match")]
    Payload,
    #[error("a record ends beyond the file, though others follow")]
    Incomplete,
    #[error("a record is longer than {LONGEST_RECORD} bytes")]
    TooLong,
    #[error("the index of a record does not follow the one before")]
    Index,
}

/// A snapshot that was not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected {
    pub file: PathBuf,
    pub reason: RejectReason,
}

/// Why a snapshot was not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectReason {
    #[error("it was not finished")]
    Unfinished,
    #[error("it is too short or not a snapshot")]
    NotASnapshot,
    #[error("its format is {0}, this program reads {FORMAT_VERSION}")]
    UnknownFormat(u32),
    #[error("its checksum does not match")]
    Checksum,
    #[error("its records are not those that it counts")]
    Count,
    #[error("one of its records is longer than {LONGEST_RECORD} bytes")]
    TooLong,
    #[error("its index is not that of its name")]
    Index,
}

/// Names the action and the file in an error of the operating system.
pub(crate) fn io_error(action: &'static str, file: &Path) -> impl FnOnce(io::Error) -> LogError {
    let file = file.to_owned();
    move |source| LogError::Io {
        action,
        file,
        source,
    }
}
