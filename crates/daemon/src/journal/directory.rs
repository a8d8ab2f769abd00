//! The journals of a state directory: their file names and locks, and the disk usage of all other files.

use crate::clock;
use crate::disk_space::disk_bytes;
use crate::file_lock::{Lock, try_lock_at};
use crate::scope::SCOPE_FILE;
use crate::update_log::ENDPOINTS_FILE;
use bellsill_core::interface::Nanos;
use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The file name of the first journal; the others append a number to it.
const BASE_NAME: &str = "mails";
/// The maximum number of journals in a state directory.
const MAX_JOURNALS: usize = 8;
/// While no other journal exists, the directory is scanned at most once per this interval, in nanoseconds.
const SCAN_INTERVAL: Nanos = 20_000_000;

/// The size of one block, the allowance for rounding up to whole blocks.
pub(super) const ONE_BLOCK: u64 = disk_bytes(1);

/// A state directory; its journals are identified by index.
#[derive(Clone)]
pub(super) struct JournalDirectory {
    path: PathBuf,
}

impl JournalDirectory {
    pub(super) fn new(path: &Path) -> JournalDirectory {
        JournalDirectory {
            path: path.to_path_buf(),
        }
    }

    /// The path of a journal.
    pub(super) fn journal_path(&self, index: usize) -> PathBuf {
        let name = if index == 0 {
            BASE_NAME.to_string()
        } else {
            format!("{BASE_NAME}.{index}")
        };
        self.path.join(name)
    }

    /// The path at which the compacted file of a journal is written before it is renamed over the journal.
    pub(super) fn replacement_path(&self, index: usize) -> PathBuf {
        let mut path = self.journal_path(index).into_os_string();
        path.push(".next");
        path.into()
    }

    /// All possible journal indexes.
    pub(super) fn journals(&self) -> std::ops::Range<usize> {
        0..MAX_JOURNALS
    }

    /// The time at which a file was last created, removed or renamed, on the wall clock.
    pub(super) fn modified(&self) -> io::Result<SystemTime> {
        std::fs::metadata(&self.path)?.modified()
    }

    /// The indexes of the journals whose files exist.
    pub(super) fn existing_journals(&self) -> io::Result<Vec<usize>> {
        let mut existing = vec![];
        for file in std::fs::read_dir(&self.path)? {
            let path = file?.path();
            existing.extend(
                self.journals()
                    .find(|&index| path == self.journal_path(index)),
            );
        }
        existing.sort_unstable();
        Ok(existing)
    }

    /// Locks a journal's open file, and checks that it is still the one at its path. Two processes that write the same
    /// journal would each recover the other's messages.
    pub(super) fn lock_journal(&self, index: usize, file: &File) -> io::Result<Lock> {
        try_lock_at(file, &self.journal_path(index))
    }

    /// Opens and locks the first journal that no other process holds.
    pub(super) fn open_own(&self) -> io::Result<(usize, File)> {
        for index in 0..MAX_JOURNALS {
            let file = OpenOptions::new()
                .read(true)
                .append(true)
                .create(true)
                .open(self.journal_path(index))?;
            if self.lock_journal(index, &file)? == Lock::Acquired {
                return Ok((index, file));
            }
        }
        Err(io::Error::new(
            io::ErrorKind::ResourceBusy,
            "all journals of the state directory are locked by other processes",
        ))
    }

    /// Opens another journal; `None` if it does not exist.
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

    /// Removes the replacement file that a process killed during compaction has left, if there is one.
    pub(super) fn remove_replacement(&self, index: usize) -> io::Result<()> {
        match std::fs::remove_file(self.replacement_path(index)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// The disk usage of all files except one journal and its replacement. The scope file is left out: it has its own
    /// share of the quota.
    fn scan(&self, own: usize) -> io::Result<OtherUsage> {
        let own_paths = [self.journal_path(own), self.replacement_path(own)];
        let mut usage = OtherUsage::default();
        for file in std::fs::read_dir(&self.path)? {
            let file = file?;
            if own_paths.contains(&file.path()) {
                continue;
            }
            let name = file.file_name().to_string_lossy().into_owned();
            if !name.starts_with(SCOPE_FILE) {
                let length = match file.metadata() {
                    // Removed since it was listed.
                    Err(e) if e.kind() == io::ErrorKind::NotFound => 0,
                    metadata => metadata?.len(),
                };
                usage.bytes += disk_bytes(length);
                if name.starts_with(ENDPOINTS_FILE) {
                    usage.configuration_bytes += disk_bytes(length);
                }
                usage.has_journals |= name.starts_with(BASE_NAME) && length > 0;
            }
        }
        Ok(usage)
    }
}

/// The disk usage of all other files of a state directory.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OtherUsage {
    /// The total size of the files, in whole blocks.
    pub(super) bytes: u64,
    /// The part of it that is the endpoint list.
    pub(super) configuration_bytes: u64,
    /// Whether another process's journal, which may grow, is among the files.
    pub(super) has_journals: bool,
}

/// The disk usage of the other files of a state directory, cached between scans.
#[derive(Default)]
pub(super) struct OtherFiles {
    usage: OtherUsage,
    scanned_at: Option<Nanos>,
}

impl OtherFiles {
    /// Notes that this process has written another file: the next use scans the directory.
    pub(super) fn forget(&mut self) {
        self.scanned_at = None;
    }

    /// Returns the usage: scanned on every call while another journal exists, otherwise at most [`SCAN_INTERVAL`] old.
    pub(super) fn usage(&mut self, directory: &JournalDirectory, own: usize) -> OtherUsage {
        let now = clock::now();
        let is_stale = self
            .scanned_at
            .is_none_or(|time| now >= time + SCAN_INTERVAL);
        if self.usage.has_journals || is_stale {
            // While the directory cannot be listed, its last known usage counts.
            if let Ok(usage) = directory.scan(own) {
                self.usage = usage;
                self.scanned_at = Some(now);
            }
        }
        self.usage
    }
}
