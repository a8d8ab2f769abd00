//! The directory of a log: the names of its files, its lock, and atomic creation of files.

use crate::error::{LogError, io_error};
use std::fs::{self, File, TryLockError};
use std::io::Write;
use std::path::{Path, PathBuf};

const LOG_PREFIX: &str = "log.";
const SNAPSHOT_PREFIX: &str = "snapshot.";
/// Ends the name of a file that is being written.
const TEMPORARY_SUFFIX: &str = ".tmp";
const LOCK_NAME: &str = "lock";

/// The directory of one log, locked for this process.
pub(crate) struct Directory {
    path: PathBuf,
    /// Holds the lock until it is closed.
    _lock: File,
}

/// The files of a directory, in the order of their indices.
#[derive(Default)]
pub(crate) struct Listing {
    /// The index that each segment comes after.
    pub(crate) logs: Vec<u64>,
    pub(crate) snapshots: Vec<u64>,
    /// Files whose writing was not finished.
    pub(crate) temporary: Vec<PathBuf>,
}

impl Directory {
    /// Creates the directory if it doesn't exist, and locks it.
    pub(crate) fn open(path: &Path) -> Result<Directory, LogError> {
        fs::create_dir_all(path).map_err(io_error("create", path))?;
        let lock_path = path.join(LOCK_NAME);
        let lock = File::create(&lock_path).map_err(io_error("create", &lock_path))?;
        match lock.try_lock() {
            Ok(()) => Ok(Directory {
                path: path.to_owned(),
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => Err(LogError::InUse {
                directory: path.to_owned(),
            }),
            Err(TryLockError::Error(error)) => Err(io_error("lock", &lock_path)(error)),
        }
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn log_path(&self, after: u64) -> PathBuf {
        self.path.join(format!("{LOG_PREFIX}{after:020}"))
    }

    pub(crate) fn snapshot_path(&self, index: u64) -> PathBuf {
        self.path.join(format!("{SNAPSHOT_PREFIX}{index:020}"))
    }

    pub(crate) fn list(&self) -> Result<Listing, LogError> {
        let mut listing = Listing::default();
        for entry in fs::read_dir(&self.path).map_err(io_error("list", &self.path))? {
            let path = entry.map_err(io_error("list", &self.path))?.path();
            let Some(name) = path.file_name().and_then(|name| name.to_str()) else {
                continue;
            };
            if name.ends_with(TEMPORARY_SUFFIX) {
                listing.temporary.push(path);
            } else if let Some(after) = index_of_name(name, LOG_PREFIX) {
                listing.logs.push(after);
            } else if let Some(index) = index_of_name(name, SNAPSHOT_PREFIX) {
                listing.snapshots.push(index);
            }
        }
        listing.logs.sort_unstable();
        listing.snapshots.sort_unstable();
        listing.temporary.sort_unstable();
        Ok(listing)
    }

    /// Writes a file under a temporary name, makes it durable, and renames it to its final name.
    pub(crate) fn write_atomically(
        &self,
        path: &Path,
        write: impl FnOnce(&mut File, &Path) -> Result<(), LogError>,
    ) -> Result<(), LogError> {
        let mut temporary = path.as_os_str().to_owned();
        temporary.push(TEMPORARY_SUFFIX);
        let temporary = PathBuf::from(temporary);
        let written = write_durably(&temporary, write);
        if written.is_err() {
            // The write's error is the one to report; recovery removes unfinished files too.
            fs::remove_file(&temporary).ok();
        }
        written?;
        fs::rename(&temporary, path).map_err(io_error("rename", &temporary))?;
        self.sync()
    }

    pub(crate) fn remove(&self, path: &Path) -> Result<(), LogError> {
        fs::remove_file(path).map_err(io_error("remove", path))
    }

    /// Makes the names of the files durable.
    pub(crate) fn sync(&self) -> Result<(), LogError> {
        let synced = File::open(&self.path).and_then(|directory| directory.sync_all());
        synced.map_err(io_error("sync", &self.path))
    }
}

/// Writes bytes, and names the file in the error.
pub(crate) fn write_all(file: &mut impl Write, path: &Path, bytes: &[u8]) -> Result<(), LogError> {
    file.write_all(bytes).map_err(io_error("write", path))
}

fn write_durably(
    path: &Path,
    write: impl FnOnce(&mut File, &Path) -> Result<(), LogError>,
) -> Result<(), LogError> {
    let mut file = File::create(path).map_err(io_error("create", path))?;
    write(&mut file, path)?;
    file.sync_all().map_err(io_error("sync", path))
}

fn index_of_name(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}
