//! The state directory: the log of the configuration's records with snapshots.

use bellsill_config_log::{
    ConfigLog, LogError, NewRecord, OpenedLog, RecoveryReport, RejectReason, RejectedSnapshot,
    Snapshot,
};
use bellsill_directory::record::{self, InvalidRecord, LoggedRecord};
use bellsill_directory::snapshot::{SnapshotError, SnapshotReader, encoded_parts};
use bellsill_directory::state::{ApplyError, Directory, Retention};
use bellsill_placement::Layout;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A longer log, in bytes, is replaced by a snapshot when the process starts, so that the next start is short.
const MAX_LOG_BYTES_AT_START: u64 = 16 * 1024 * 1024;
/// A longer log, in bytes, is replaced by a snapshot while the process runs. The actual limit is up to twice as high,
/// depending on the process's name: all processes have the same records, and would otherwise pause for a snapshot at the
/// same moment.
const MIN_LOG_LIMIT_BYTES: u64 = 64 * 1024 * 1024;

/// Why the state directory cannot be used.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The log can't be read or written.
    #[error("{0}")]
    Log(#[from] LogError),
    /// All snapshots are damaged.
    #[error(
        "{}: {}, and there is no other snapshot; copy the directory of another control process over this one, \
         or begin with an empty one", rejected.file.display(), rejected.reason
    )]
    NoSnapshot {
        /// The damaged snapshot.
        rejected: RejectedSnapshot,
    },
    /// A record can't be decoded.
    #[error("{}: record {index} is refused: {error}", directory.display())]
    Record {
        /// The state directory.
        directory: PathBuf,
        /// The index in the log.
        index: u64,
        /// What is wrong with it.
        error: InvalidRecord,
    },
    /// A record can't be applied to the configuration before it.
    #[error("{}: record {index} does not follow: {error}", directory.display())]
    Apply {
        /// The state directory.
        directory: PathBuf,
        /// The index in the log.
        index: u64,
        /// What is wrong with it.
        error: ApplyError,
    },
    /// There are records, but no snapshot that they follow.
    #[error("{}: record {index} is before any snapshot", directory.display())]
    NothingBefore {
        /// The state directory.
        directory: PathBuf,
        /// The index in the log.
        index: u64,
    },
    /// A snapshot can't be decoded.
    #[error("{}: snapshot {index} is refused: {error}", directory.display())]
    Snapshot {
        /// The state directory.
        directory: PathBuf,
        /// The index in the log.
        index: u64,
        /// What is wrong with it.
        error: SnapshotError,
    },
}

/// The log of one control process. Its indices rise by one for each record, over all histories of the configuration,
/// whereas versions start again with each history.
pub(crate) struct Storage {
    log: ConfigLog,
    /// What was left out when the log was opened.
    report: RecoveryReport,
    max_log_bytes: u64,
}

/// An opened state directory.
pub(crate) struct OpenedStorage {
    pub(crate) storage: Storage,
    /// None if the state directory is empty.
    pub(crate) directory: Option<Directory>,
}

impl Storage {
    /// Opens a state directory and reads it. An incomplete record at the end of the log was never sent to anyone, and is
    /// dropped.
    pub(crate) fn open(
        path: &Path,
        process_name: &str,
        layout: Layout,
        keeping: Retention,
    ) -> Result<OpenedStorage, StorageError> {
        let OpenedLog { log, recovered } = ConfigLog::open(path)?;
        log_report(path, &recovered.report);
        let mut directory = match recovered.snapshot {
            Some(snapshot) => Some(read_snapshot(path, snapshot, layout, keeping)?),
            None => check_empty(&recovered.report)?,
        };
        for logged in recovered.records {
            let index = logged.index;
            let directory = directory
                .as_mut()
                .ok_or_else(|| StorageError::NothingBefore {
                    directory: path.to_path_buf(),
                    index,
                })?;
            let record: LoggedRecord =
                record::decode(&logged.payload).map_err(|error| StorageError::Record {
                    directory: path.to_path_buf(),
                    index,
                    error,
                })?;
            directory
                .apply(&record)
                .map_err(|error| StorageError::Apply {
                    directory: path.to_path_buf(),
                    index,
                    error,
                })?;
        }
        let max_log_bytes = MIN_LOG_LIMIT_BYTES + hash(process_name) % MIN_LOG_LIMIT_BYTES;
        Ok(OpenedStorage {
            storage: Storage {
                log,
                report: recovered.report,
                max_log_bytes,
            },
            directory,
        })
    }

    /// Bytes at the end of the log that were dropped when it was opened.
    pub(crate) fn torn_bytes(&self) -> u64 {
        self.report.torn_bytes
    }

    /// Snapshots that were not used when the log was opened.
    pub(crate) fn rejected_snapshots(&self) -> usize {
        self.report.rejected.len()
    }

    /// Appends records, and returns once they are on disk.
    pub(crate) fn append(&mut self, records: &[LoggedRecord]) -> Result<(), StorageError> {
        let payloads: Vec<Vec<u8>> = records.iter().map(record::encode).collect();
        let indices = self.log.last_index() + 1..;
        let batch: Vec<NewRecord> = indices
            .zip(&payloads)
            .map(|(index, payload)| NewRecord { index, payload })
            .collect();
        self.log.append_batch(&batch)?;
        Ok(self.log.sync()?)
    }

    /// Whether a process that starts should write a snapshot.
    pub(crate) fn needs_snapshot_at_start(&self) -> bool {
        self.log.bytes() > MAX_LOG_BYTES_AT_START
    }

    /// Whether a running process should write a snapshot.
    pub(crate) fn needs_snapshot_while_running(&self) -> bool {
        self.log.bytes() > self.max_log_bytes
    }

    /// Writes a snapshot of the configuration that the records have led to.
    pub(crate) fn write_snapshot(&mut self, directory: &Directory) -> Result<(), StorageError> {
        Ok(self
            .log
            .write_snapshot(self.log.last_index(), encoded_parts(directory))?)
    }

    /// Replaces the state by a configuration that does not follow from the records.
    pub(crate) fn replace_state(&mut self, directory: &Directory) -> Result<(), StorageError> {
        Ok(self
            .log
            .write_snapshot(self.log.last_index() + 1, encoded_parts(directory))?)
    }
}

fn hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

fn log_report(path: &Path, report: &RecoveryReport) {
    if report.torn_bytes > 0 {
        log::warn!(
            "{}: dropped {} bytes of incomplete records at the end of the log",
            path.display(),
            report.torn_bytes
        );
    }
    for rejected in &report.rejected {
        log::warn!(
            "{}: snapshot not used: {}",
            rejected.file.display(),
            rejected.reason
        );
    }
}

/// A directory whose only snapshot is damaged must not be taken for an empty one.
fn check_empty(report: &RecoveryReport) -> Result<Option<Directory>, StorageError> {
    let damaged = report
        .rejected
        .iter()
        .find(|rejected| rejected.reason != RejectReason::Unfinished);
    damaged.map_or(Ok(None), |rejected| {
        Err(StorageError::NoSnapshot {
            rejected: rejected.clone(),
        })
    })
}

fn read_snapshot(
    path: &Path,
    snapshot: Snapshot,
    layout: Layout,
    keeping: Retention,
) -> Result<Directory, StorageError> {
    let index = snapshot.index;
    let rejected = |error| StorageError::Snapshot {
        directory: path.to_path_buf(),
        index,
        error,
    };
    let mut reader = SnapshotReader::new(layout, keeping);
    for part in snapshot.records {
        reader.read_part(&part).map_err(rejected)?;
    }
    reader.finish().map_err(rejected)
}
