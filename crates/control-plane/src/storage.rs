//! The state directory: the log of the configuration's records and its snapshots.

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

/// The log size in bytes above which a starting process replaces the log with a snapshot, so that the next start is
/// fast.
const MAX_LOG_BYTES_AT_START: u64 = 16 * 1024 * 1024;
/// The lower bound of the log size above which a running process replaces the log with a snapshot. The actual limit
/// depends on the name of the process and is up to twice as high: all processes have the same records, and with equal
/// limits they would all pause for a snapshot at the same time.
const MIN_LOG_LIMIT_BYTES: u64 = 64 * 1024 * 1024;

/// Why the state directory cannot be used.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The log cannot be read or written.
    #[error("{0}")]
    Log(#[from] LogError),
    /// Every snapshot is damaged.
    #[error(
        "{}: {}, and there is no other snapshot; replace this directory with a copy of another control process's state \
         directory, or start with an empty one", rejected.file.display(), rejected.reason
    )]
    NoUsableSnapshot {
        /// The damaged snapshot.
        rejected: RejectedSnapshot,
    },
    /// A record cannot be decoded.
    #[error("{}: record {index} is invalid: {error}", directory.display())]
    Record {
        /// The state directory.
        directory: PathBuf,
        /// The index of the record in the log.
        index: u64,
        /// Why it is rejected.
        error: InvalidRecord,
    },
    /// A record cannot be applied to the configuration that precedes it.
    #[error("{}: record {index} cannot be applied to the preceding configuration: {error}", directory.display())]
    Apply {
        /// The state directory.
        directory: PathBuf,
        /// The index of the record in the log.
        index: u64,
        /// Why it is rejected.
        error: ApplyError,
    },
    /// There are records, but no snapshot that precedes them.
    #[error("{}: record {index} has no snapshot before it", directory.display())]
    MissingSnapshot {
        /// The state directory.
        directory: PathBuf,
        /// The index of the record in the log.
        index: u64,
    },
    /// A snapshot cannot be decoded.
    #[error("{}: snapshot {index} is invalid: {error}", directory.display())]
    Snapshot {
        /// The state directory.
        directory: PathBuf,
        /// The index of the record in the log.
        index: u64,
        /// Why it is rejected.
        error: SnapshotError,
    },
}

/// The log of one control process. Its index increases by one with each record, across all histories of the
/// configuration, whereas versions start again with each history.
pub(crate) struct Storage {
    log: ConfigLog,
    /// What was discarded when the log was opened.
    recovery_report: RecoveryReport,
    max_log_bytes: u64,
}

/// An opened state directory.
pub(crate) struct OpenedStorage {
    pub(crate) storage: Storage,
    /// None if the state directory is empty.
    pub(crate) directory: Option<Directory>,
}

impl Storage {
    /// Opens a state directory and recovers the configuration from it. An incomplete record at the end of the log is
    /// dropped; it was never sent to a client or a follower.
    pub(crate) fn open(
        path: &Path,
        process_name: &str,
        layout: Layout,
        retention: Retention,
    ) -> Result<OpenedStorage, StorageError> {
        let OpenedLog { log, recovered } = ConfigLog::open(path)?;
        log_recovery_report(path, &recovered.report);
        let mut directory = match recovered.snapshot {
            Some(snapshot) => Some(read_snapshot(path, snapshot, layout, retention)?),
            None => require_no_damaged_snapshot(&recovered.report)?,
        };
        for logged in recovered.records {
            let index = logged.index;
            let directory = directory
                .as_mut()
                .ok_or_else(|| StorageError::MissingSnapshot {
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
                recovery_report: recovered.report,
                max_log_bytes,
            },
            directory,
        })
    }

    /// The number of bytes of incomplete records that were dropped when the log was opened.
    pub(crate) fn torn_bytes(&self) -> u64 {
        self.recovery_report.torn_bytes
    }

    /// The number of snapshots that were rejected when the log was opened.
    pub(crate) fn rejected_snapshots(&self) -> usize {
        self.recovery_report.rejected.len()
    }

    /// Appends records, and returns once they are durable.
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

    /// Whether a starting process should write a snapshot.
    pub(crate) fn needs_snapshot_at_start(&self) -> bool {
        self.log.bytes() > MAX_LOG_BYTES_AT_START
    }

    /// Whether a running process should write a snapshot.
    pub(crate) fn needs_snapshot_while_running(&self) -> bool {
        self.log.bytes() > self.max_log_bytes
    }

    /// Writes a snapshot of the configuration as of the last record.
    pub(crate) fn write_snapshot(&mut self, directory: &Directory) -> Result<(), StorageError> {
        Ok(self
            .log
            .write_snapshot(self.log.last_index(), encoded_parts(directory))?)
    }

    /// Replaces the stored state with a configuration that does not result from the records, such as a transferred one.
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

fn log_recovery_report(path: &Path, report: &RecoveryReport) {
    if report.torn_bytes > 0 {
        log::warn!(
            "{}: dropped {} bytes of incomplete records at the end of the log",
            path.display(),
            report.torn_bytes
        );
    }
    for rejected in &report.rejected {
        log::warn!(
            "{}: rejected snapshot: {}",
            rejected.file.display(),
            rejected.reason
        );
    }
}

/// Returns no configuration if the state directory has no complete snapshot. A damaged snapshot is an error: the
/// directory must not be treated as empty.
fn require_no_damaged_snapshot(report: &RecoveryReport) -> Result<Option<Directory>, StorageError> {
    let damaged = report
        .rejected
        .iter()
        .find(|rejected| rejected.reason != RejectReason::Unfinished);
    damaged.map_or(Ok(None), |rejected| {
        Err(StorageError::NoUsableSnapshot {
            rejected: rejected.clone(),
        })
    })
}

fn read_snapshot(
    path: &Path,
    snapshot: Snapshot,
    layout: Layout,
    retention: Retention,
) -> Result<Directory, StorageError> {
    let index = snapshot.index;
    let rejected = |error| StorageError::Snapshot {
        directory: path.to_path_buf(),
        index,
        error,
    };
    let mut reader = SnapshotReader::new(layout, retention);
    for part in snapshot.records {
        reader.read_part(&part).map_err(rejected)?;
    }
    reader.finish().map_err(rejected)
}
