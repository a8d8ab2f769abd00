//! The directory of a log: file names, the lock file, and atomic file creation.

use crate::error::{LogError, io_error};
use std::fs::{self, File, TryLockError};
use std::io::Write;
use std::path::{Path, PathBuf};

const SEGMENT_PREFIX: &str = "log.";
const SNAPSHOT_PREFIX: &str = "snapshot.";
/// The suffix of files whose writing has not finished.
const TEMPORARY_SUFFIX: &str = ".tmp";
const LOCK_NAME: &str = "lock";

/// The directory of a log, locked by this process.
pub(crate) struct Directory {
    path: PathBuf,
    /// The open lock file; closing it releases the lock.
    _lock: File,
}

/// The files in the directory of a log, in ascending order of their indices.
#[derive(Default)]
pub(crate) struct Listing {
    /// The indices in the names of the segments; the records of each segment have higher ones.
    pub(crate) segments: Vec<u64>,
    pub(crate) snapshots: Vec<u64>,
    /// Temporary files left behind by unfinished writes.
    pub(crate) temporary: Vec<PathBuf>,
}

impl Directory {
    /// Opens and locks the directory, and creates it if it doesn't exist.
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

    pub(crate) fn segment_path(&self, previous_index: u64) -> PathBuf {
        self.path
            .join(format!("{SEGMENT_PREFIX}{previous_index:020}"))
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
            } else if let Some(previous_index) = parse_index(name, SEGMENT_PREFIX) {
                listing.segments.push(previous_index);
            } else if let Some(index) = parse_index(name, SNAPSHOT_PREFIX) {
                listing.snapshots.push(index);
            }
        }
        listing.segments.sort_unstable();
        listing.snapshots.sort_unstable();
        listing.temporary.sort_unstable();
        Ok(listing)
    }

    /// Writes a file under a temporary name, syncs it, and renames it to its final name.
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
            // An error of the removal is ignored: the write error is the one to report, and the next recovery removes
            // remaining temporary files.
            fs::remove_file(&temporary).ok();
        }
        written?;
        fs::rename(&temporary, path).map_err(io_error("rename", &temporary))?;
        self.sync()
    }

    pub(crate) fn remove(&self, path: &Path) -> Result<(), LogError> {
        fs::remove_file(path).map_err(io_error("remove", path))
    }

    /// Syncs the directory, which makes the creation, renaming and removal of its files durable.
    pub(crate) fn sync(&self) -> Result<(), LogError> {
        let synced = File::open(&self.path).and_then(|directory| directory.sync_all());
        synced.map_err(io_error("sync", &self.path))
    }
}

/// Writes bytes, and adds the file's path to an error.
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

fn parse_index(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}
