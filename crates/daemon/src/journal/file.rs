//! The file of a journal: appends records, truncates an incomplete one, and replaces the file.

use super::directory::JournalDirectory;
use super::error::JournalError;
use crate::file_lock::{Lock, try_lock};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// An open journal file and the length of its complete records.
pub(super) struct JournalFile {
    file: File,
    complete_bytes: u64,
    has_torn_tail: bool,
}

impl JournalFile {
    /// Wraps a file of `total_bytes`, of which the first `complete_bytes` are complete records.
    pub(super) fn new(file: File, complete_bytes: u64, total_bytes: u64) -> JournalFile {
        JournalFile {
            file,
            complete_bytes,
            has_torn_tail: complete_bytes < total_bytes,
        }
    }

    /// The length of the complete records in the file.
    pub(super) fn complete_bytes(&self) -> u64 {
        self.complete_bytes
    }

    /// Whether the complete records may be followed by bytes that are not a complete record.
    pub(super) fn has_torn_tail(&self) -> bool {
        self.has_torn_tail
    }

    /// The length of the file including a torn tail.
    pub(super) fn total_bytes(&self) -> u64 {
        self.file
            .metadata()
            .map_or(self.complete_bytes, |metadata| metadata.len())
    }

    /// Appends records; the file must not have a torn tail. After an error none of the records is valid, and the file
    /// has a torn tail unless truncating it succeeds immediately.
    pub(super) fn append(&mut self, records: &[u8]) -> Result<(), JournalError> {
        match self.file.write_all(records) {
            Ok(()) => {
                self.complete_bytes += records.len() as u64;
                Ok(())
            }
            Err(e) => {
                self.has_torn_tail = true;
                // If truncation fails now, it is retried before the next write.
                self.truncate().ok();
                Err(e.into())
            }
        }
    }

    /// Truncates the file to its complete records.
    pub(super) fn truncate(&mut self) -> io::Result<()> {
        self.file.set_len(self.complete_bytes)?;
        self.has_torn_tail = false;
        Ok(())
    }

    /// Truncates the file of an adopted journal, which is at this path, to zero bytes and removes it. An error means that
    /// its records are still there.
    pub(super) fn remove(&self, path: &Path) -> io::Result<()> {
        self.file.set_len(0).inspect_err(|e| {
            log::warn!(
                "message journal: cannot truncate the adopted journal {}, will retry: {e}",
                path.display()
            );
        })?;
        // Removal may fail: an empty journal has no records, and the next process reuses its file.
        std::fs::remove_file(path).ok();
        Ok(())
    }

    /// Writes a new file with these records and renames it over journal `index`.
    pub(super) fn replace(
        &mut self,
        directory: &JournalDirectory,
        index: usize,
        records: &[u8],
    ) -> Result<(), JournalError> {
        let replacement = directory.replacement_path(index);
        let opened = OpenOptions::new()
            .append(true)
            .create(true)
            .open(&replacement);
        let written = opened.and_then(|mut file| {
            file.set_len(0)?;
            if try_lock(&file)? == Lock::HeldElsewhere {
                return Err(io::Error::other(
                    "another process holds the lock of the replacement file",
                ));
            }
            file.write_all(records)?;
            std::fs::rename(&replacement, directory.journal_path(index))?;
            Ok(file)
        });
        match written {
            Ok(file) => {
                let length = records.len() as u64;
                *self = JournalFile::new(file, length, length);
                Ok(())
            }
            Err(e) => {
                // If removal fails, the next replacement overwrites the file.
                std::fs::remove_file(&replacement).ok();
                Err(e.into())
            }
        }
    }
}
