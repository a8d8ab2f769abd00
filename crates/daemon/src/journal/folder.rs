//! The journals of one state folder: their names and locks, and what all other files take of the disk quota.

use crate::clock;
use crate::scope::SCOPE_FILE;
use bellsill_core::interface::Nanos;
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// The name of the first journal; the others have a number behind it.
const BASE_NAME: &str = "mails";
/// How many journals one folder may hold.
const MAX_JOURNALS: usize = 8;
/// Files take whole blocks of the disk.
const BLOCK_BYTES: u64 = 512;
/// Where there was no other journal, the folder is not read again before this time, in nanoseconds.
const SCAN_INTERVAL: Nanos = 20_000_000;

/// The bytes that a file of this length takes of the disk.
pub(super) const fn disk_bytes(length: u64) -> u64 {
    length.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
}

/// One block: the reserve for what rounding to blocks may add.
pub(super) const ONE_BLOCK: u64 = disk_bytes(1);

/// Whether this process may use a journal's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(super) enum Lock {
    /// This process has the lock until the file is closed.
    Acquired,
    /// Another process uses the file.
    HeldElsewhere,
}

/// Locks a file against other processes: two that write one journal would each recover the other's messages. Where
/// files cannot be locked, nothing prevents that.
pub(super) fn try_lock(file: &File) -> Lock {
    match file.try_lock() {
        Err(TryLockError::WouldBlock) => Lock::HeldElsewhere,
        _ => Lock::Acquired,
    }
}

/// Whether the file is the one at that path: between its opening and its lock another process may have replaced or
/// removed it.
fn is_at(file: &File, path: &Path) -> bool {
    let at_path = std::fs::metadata(path).map(|metadata| metadata.ino());
    matches!((at_path, file.metadata()), (Ok(at_path), Ok(file)) if at_path == file.ino())
}

/// A state folder, whose journals are known by their index.
pub(super) struct JournalFolder {
    path: PathBuf,
}

impl JournalFolder {
    pub(super) fn new(path: &Path) -> JournalFolder {
        JournalFolder {
            path: path.to_path_buf(),
        }
    }

    /// Where a journal is.
    pub(super) fn journal_path(&self, index: usize) -> PathBuf {
        let name = if index == 0 {
            BASE_NAME.to_string()
        } else {
            format!("{BASE_NAME}.{index}")
        };
        self.path.join(name)
    }

    /// Where the compacted file of a journal is written before it replaces the journal.
    pub(super) fn replacement_path(&self, index: usize) -> PathBuf {
        let mut path = self.journal_path(index).into_os_string();
        path.push(".next");
        path.into()
    }

    /// The indexes of all journals that the folder may hold but one.
    pub(super) fn other_journals(&self, own: usize) -> impl Iterator<Item = usize> + use<> {
        (0..MAX_JOURNALS).filter(move |&index| index != own)
    }

    /// Locks a journal's file that was opened at its path.
    pub(super) fn lock_journal(&self, index: usize, file: &File) -> Lock {
        match try_lock(file) {
            Lock::Acquired if is_at(file, &self.journal_path(index)) => Lock::Acquired,
            _ => Lock::HeldElsewhere,
        }
    }

    /// Opens the first journal that no other process holds.
    pub(super) fn open_own(&self) -> io::Result<(usize, File)> {
        for index in 0..MAX_JOURNALS {
            let file = OpenOptions::new()
                .read(true)
                .append(true)
                .create(true)
                .open(self.journal_path(index))?;
            if self.lock_journal(index, &file) == Lock::Acquired {
                return Ok((index, file));
            }
        }
        Err(io::Error::new(
            io::ErrorKind::ResourceBusy,
            "other dispatchers use this folder",
        ))
    }

    /// Opens another journal, if there is one.
    pub(super) fn open_other(&self, index: usize) -> io::Result<Option<File>> {
        match OpenOptions::new()
            .read(true)
            .append(true)
            .open(self.journal_path(index))
        {
            Ok(file) => Ok(Some(file)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Removes what a process left behind that was killed while it compacted a journal.
    pub(super) fn remove_replacement(&self, index: usize) -> io::Result<()> {
        match std::fs::remove_file(self.replacement_path(index)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// What all files take but one journal and its replacement. The scope file has a part of the quota of its own.
    fn scan(&self, own: usize) -> OtherUsage {
        let own_paths = [self.journal_path(own), self.replacement_path(own)];
        let mut usage = OtherUsage::default();
        let Ok(files) = std::fs::read_dir(&self.path) else {
            return usage;
        };
        for file in files
            .flatten()
            .filter(|file| !own_paths.contains(&file.path()))
        {
            let name = file.file_name().to_string_lossy().into_owned();
            if !name.starts_with(SCOPE_FILE) {
                let length = file.metadata().map_or(0, |metadata| metadata.len());
                usage.bytes += disk_bytes(length);
                usage.has_journals |= name.starts_with(BASE_NAME) && length > 0;
            }
        }
        usage
    }
}

/// What all other files of a folder take of the disk quota.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OtherUsage {
    /// In whole blocks.
    pub(super) bytes: u64,
    /// Another process's journal is among them, and may grow.
    pub(super) has_journals: bool,
}

/// The other files of a folder, read from time to time.
#[derive(Default)]
pub(super) struct OtherFiles {
    usage: OtherUsage,
    scanned_at: Option<Nanos>,
}

impl OtherFiles {
    /// What they take: always exact beside another journal, and otherwise at most [`SCAN_INTERVAL`] old.
    pub(super) fn usage(&mut self, folder: &JournalFolder, own: usize) -> OtherUsage {
        let now = clock::now();
        let is_stale = self.scanned_at.is_none_or(|at| now >= at + SCAN_INTERVAL);
        if self.usage.has_journals || is_stale {
            self.usage = folder.scan(own);
            self.scanned_at = Some(now);
        }
        self.usage
    }
}
