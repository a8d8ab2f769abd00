//! The state directory: a snapshot of the configuration, and a log of the records after it.

mod frames;

use bellsill_directory::record::{self, InvalidRecord, LoggedRecord};
use bellsill_directory::snapshot::{SnapshotError, SnapshotReader, encoded_parts};
use bellsill_directory::state::{ApplyError, Directory, Keeping, LogId};
use bellsill_placement::Layout;
use frames::{FrameReader, FrameWriter, Next};
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

const LOCK: &str = "lock";
const LOG: &str = "log";
const SNAPSHOT: &str = "snapshot";
const NEW_SNAPSHOT: &str = "snapshot.new";
/// A log that is longer is replaced by a snapshot when the process starts, so that the next start is short.
const LONG_LOG: u64 = 16 * 1024 * 1024;
/// A log that is longer is replaced by a snapshot while the process runs.
const LONGEST_LOG: u64 = 512 * 1024 * 1024;

/// Why the state directory cannot be used. Nothing in it has been changed.
#[derive(Debug, Error)]
pub enum StorageError {
    #[error("{path}: {source}")]
    Io { path: PathBuf, source: io::Error },
    #[error("{0}: another control process uses this directory; each one needs its own")]
    InUse(PathBuf),
    #[error("{path}: damaged at byte {offset}: {problem}; restore the directory, or begin with an empty one")]
    Damaged { path: PathBuf, offset: u64, problem: String },
    #[error("{path}: a record at byte {offset} is refused: {error}")]
    Record { path: PathBuf, offset: u64, error: InvalidRecord },
    #[error("{path}: the record at byte {offset} does not follow: {error}")]
    Apply { path: PathBuf, offset: u64, error: ApplyError },
    #[error("{path}: {error}")]
    Snapshot { path: PathBuf, error: SnapshotError },
}

fn at(path: &Path) -> impl Fn(io::Error) -> StorageError {
    let path = path.to_path_buf();
    move |source| StorageError::Io { path: path.clone(), source }
}

/// The files of one control process. Nobody else uses them while they are open.
pub struct Storage {
    folder: PathBuf,
    log: FrameWriter,
    /// Held as long as the storage is.
    _lock: File,
}

impl Storage {
    /// Opens a state directory, and reads what it holds; no configuration where it is empty. A record whose writing was
    /// cut short at the end of the log was never told to anybody, and is dropped.
    pub fn open(
        folder: &Path,
        layout: Layout,
        keeping: Keeping,
    ) -> Result<(Storage, Option<Directory>), StorageError> {
        std::fs::create_dir_all(folder).map_err(at(folder))?;
        let lock = lock(folder)?;
        let mut directory = read_snapshot(&folder.join(SNAPSHOT), layout, keeping)?;
        let log_path = folder.join(LOG);
        let log = match &mut directory {
            Some(directory) => replay(&log_path, directory)?,
            None => FrameWriter::create(&log_path).map_err(at(&log_path))?,
        };
        Ok((Storage { folder: folder.to_path_buf(), log, _lock: lock }, directory))
    }

    /// Appends records, and returns once they are on disk.
    pub fn append(&mut self, records: &[LoggedRecord]) -> Result<(), StorageError> {
        let path = self.folder.join(LOG);
        records.iter().for_each(|logged| self.log.push(&record::encode(logged)));
        self.log.sync().map_err(at(&path))
    }

    /// Whether the log is so long that a process that starts writes a snapshot.
    pub fn is_log_long(&self) -> bool {
        self.log.length() > LONG_LOG
    }

    /// Whether the log is so long that a process that runs writes a snapshot.
    pub fn is_log_too_long(&self) -> bool {
        self.log.length() > LONGEST_LOG
    }

    /// Writes a snapshot, in whose place the log begins anew.
    pub fn write_snapshot(&mut self, directory: &Directory) -> Result<(), StorageError> {
        let (path, new_path) = (self.folder.join(SNAPSHOT), self.folder.join(NEW_SNAPSHOT));
        let mut new = FrameWriter::create(&new_path).map_err(at(&new_path))?;
        for part in encoded_parts(directory) {
            new.push(&part);
            new.flush_if_long().map_err(at(&new_path))?;
        }
        new.sync().map_err(at(&new_path))?;
        std::fs::rename(&new_path, &path).map_err(at(&path))?;
        sync_folder(&self.folder).map_err(at(&self.folder))?;
        // Until here the old log is good with either snapshot: records that a snapshot has are passed over.
        let log_path = self.folder.join(LOG);
        self.log = new_log(&log_path, directory.log())?;
        Ok(())
    }
}

fn lock(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join(LOCK);
    let file = OpenOptions::new().write(true).create(true).truncate(false).open(&path).map_err(at(&path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StorageError::InUse(folder.to_path_buf())),
        Err(TryLockError::Error(source)) => Err(at(&path)(source)),
    }
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// A log that begins with the name of its history.
fn new_log(path: &Path, log: &LogId) -> Result<FrameWriter, StorageError> {
    let mut writer = FrameWriter::create(path).map_err(at(path))?;
    writer.push(&record::encode(log));
    writer.sync().map_err(at(path))?;
    Ok(writer)
}

fn read_snapshot(path: &Path, layout: Layout, keeping: Keeping) -> Result<Option<Directory>, StorageError> {
    let Some(mut frames) = FrameReader::open(path).map_err(at(path))? else { return Ok(None) };
    let snapshot = |error| StorageError::Snapshot { path: path.to_path_buf(), error };
    let mut reader = SnapshotReader::new(layout, keeping);
    loop {
        let offset = frames.offset();
        match frames.next().map_err(at(path))? {
            Next::Frame(bytes) => reader.part(&bytes).map_err(snapshot)?,
            Next::End => return reader.finish().map(Some).map_err(snapshot),
            Next::Torn => return Err(damaged(path, offset, "it ends in the middle")),
            Next::Damaged(problem) => return Err(damaged(path, offset, problem)),
        }
    }
}

/// Applies the records of a log that the snapshot does not have, and goes on writing behind them.
fn replay(path: &Path, directory: &mut Directory) -> Result<FrameWriter, StorageError> {
    let Some(mut frames) = FrameReader::open(path).map_err(at(path))? else {
        return new_log(path, directory.log());
    };
    let mut named = false;
    loop {
        let offset = frames.offset();
        let invalid = |error| StorageError::Record { path: path.to_path_buf(), offset, error };
        match frames.next().map_err(at(path))? {
            Next::Frame(bytes) if !named => {
                let log: LogId = record::decode(&bytes).map_err(invalid)?;
                // A follower took another history whole, and ended before its log began anew.
                if log != *directory.log() {
                    return new_log(path, directory.log());
                }
                named = true;
            }
            Next::Frame(bytes) => {
                let logged: LoggedRecord = record::decode(&bytes).map_err(invalid)?;
                if logged.version > directory.version() {
                    let applied = directory.apply(&logged);
                    applied.map_err(|error| StorageError::Apply {
                        path: path.to_path_buf(),
                        offset,
                        error,
                    })?;
                }
            }
            Next::End | Next::Torn if !named => return new_log(path, directory.log()),
            Next::End => return FrameWriter::open(path, offset).map_err(at(path)),
            Next::Torn => {
                log::warn!("{}: a record cut short at byte {offset} is dropped", path.display());
                return FrameWriter::open(path, offset).map_err(at(path));
            }
            Next::Damaged(problem) => return Err(damaged(path, offset, problem)),
        }
    }
}

fn damaged(path: &Path, offset: u64, problem: &str) -> StorageError {
    StorageError::Damaged { path: path.to_path_buf(), offset, problem: problem.to_string() }
}
