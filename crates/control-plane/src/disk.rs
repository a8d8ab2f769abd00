//! The state directory: a log of records with snapshots, kept by `bellsill-config-log`.

use bellsill_config_log::{
    ConfigLog, LogError, NewRecord, OpenedLog, RecoveryReport, RejectReason, Rejected, Snapshot,
};
use bellsill_directory::record::{self, InvalidRecord, LoggedRecord};
use bellsill_directory::snapshot::{SnapshotError, SnapshotReader, encoded_parts};
use bellsill_directory::state::{ApplyError, Directory, Keeping};
use bellsill_placement::Layout;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A log that is longer is followed by a snapshot when the process starts, so that the next start is short.
const LONG_LOG: u64 = 16 * 1024 * 1024;
/// A log that is longer is followed by a snapshot while the process runs; up to twice as long, by the process's name: all
/// processes have the same records, and would else all stand still for a snapshot at the same moment.
const LONGEST_LOG: u64 = 64 * 1024 * 1024;

/// Why the state directory cannot be used.
#[derive(Debug, Error)]
pub enum StorageError {
    #[error("{0}")]
    Log(#[from] LogError),
    #[error(
        "{}: {}, and there is no other snapshot; copy the directory of another control process over this one, \
         or begin with an empty one", rejected.file.display(), rejected.reason
    )]
    NoSnapshot { rejected: Rejected },
    #[error("{}: record {index} is refused: {error}", directory.display())]
    Record {
        directory: PathBuf,
        index: u64,
        error: InvalidRecord,
    },
    #[error("{}: record {index} does not follow: {error}", directory.display())]
    Apply {
        directory: PathBuf,
        index: u64,
        error: ApplyError,
    },
    #[error("{}: record {index} is before any snapshot", directory.display())]
    NothingBefore { directory: PathBuf, index: u64 },
    #[error("{}: snapshot {index} is refused: {error}", directory.display())]
    Snapshot {
        directory: PathBuf,
        index: u64,
        error: SnapshotError,
    },
}

/// The log of one control process. Its indices rise by one for each record, over all histories of the configuration:
/// versions begin anew in another one.
pub struct Storage {
    log: ConfigLog,
    /// What was left out when the log was opened.
    report: RecoveryReport,
    longest_log: u64,
}

impl Storage {
    /// Opens a state directory, and reads what it holds; no configuration where it is empty. A record whose writing was
    /// cut short at the end of the log was never told to anybody, and is dropped.
    pub fn open(
        path: &Path,
        process_name: &str,
        layout: Layout,
        keeping: Keeping,
    ) -> Result<(Storage, Option<Directory>), StorageError> {
        let OpenedLog { log, recovered } = ConfigLog::open(path)?;
        log_report(path, &recovered.report);
        let mut directory = match recovered.snapshot {
            Some(snapshot) => Some(read_snapshot(path, snapshot, layout, keeping)?),
            None => no_snapshot(&recovered.report)?,
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
        let longest_log = LONGEST_LOG + hash(process_name) % LONGEST_LOG;
        Ok((
            Storage {
                log,
                report: recovered.report,
                longest_log,
            },
            directory,
        ))
    }

    /// Bytes at the end of the log that were dropped when it was opened.
    pub fn torn_bytes(&self) -> u64 {
        self.report.torn_bytes
    }

    /// Snapshots that were not used when the log was opened.
    pub fn rejected_snapshots(&self) -> usize {
        self.report.rejected.len()
    }

    /// Appends records, and returns once they are on disk.
    pub fn append(&mut self, records: &[LoggedRecord]) -> Result<(), StorageError> {
        let payloads: Vec<Vec<u8>> = records.iter().map(record::encode).collect();
        let indices = self.log.last_index() + 1..;
        let batch: Vec<NewRecord> = indices
            .zip(&payloads)
            .map(|(index, payload)| NewRecord { index, payload })
            .collect();
        self.log.append_batch(&batch)?;
        Ok(self.log.sync()?)
    }

    /// Whether the log is so long that a process that starts writes a snapshot.
    pub fn is_log_long(&self) -> bool {
        self.log.bytes() > LONG_LOG
    }

    /// Whether the log is so long that a process that runs writes a snapshot.
    pub fn is_log_too_long(&self) -> bool {
        self.log.bytes() > self.longest_log
    }

    /// Writes a snapshot of what the records have led to.
    pub fn write_snapshot(&mut self, directory: &Directory) -> Result<(), StorageError> {
        Ok(self
            .log
            .write_snapshot(self.log.last_index(), encoded_parts(directory))?)
    }

    /// Begins anew with a configuration that the records have not led to.
    pub fn begin_with(&mut self, directory: &Directory) -> Result<(), StorageError> {
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
            "{}: {} bytes of records whose writing was cut short are dropped",
            path.display(),
            report.torn_bytes
        );
    }
    for rejected in &report.rejected {
        log::warn!("{}: not used: {}", rejected.file.display(), rejected.reason);
    }
}

/// An empty directory has no snapshot; one whose only snapshot is damaged must not pass for empty.
fn no_snapshot(report: &RecoveryReport) -> Result<Option<Directory>, StorageError> {
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
    keeping: Keeping,
) -> Result<Directory, StorageError> {
    let index = snapshot.index;
    let refused = |error| StorageError::Snapshot {
        directory: path.to_path_buf(),
        index,
        error,
    };
    let mut reader = SnapshotReader::new(layout, keeping);
    for part in snapshot.records {
        reader.part(&part).map_err(refused)?;
    }
    reader.finish().map_err(refused)
}
