//! The file of a journal: appending records, truncating an incomplete one, and putting a new file in its place.

use super::error::JournalError;
use super::folder::{JournalFolder, Lock, try_lock};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};

/// The file, and how much of it is known to be complete records.
pub(super) struct JournalFile {
    file: File,
    complete_bytes: u64,
    has_torn_tail: bool,
}

impl JournalFile {
    /// A file of `total_bytes` of which the first `complete_bytes` are complete records.
    pub(super) fn new(file: File, complete_bytes: u64, total_bytes: u64) -> JournalFile {
        JournalFile {
            file,
            complete_bytes,
            has_torn_tail: complete_bytes < total_bytes,
        }
    }

    /// The length of its complete records.
    pub(super) fn complete_bytes(&self) -> u64 {
        self.complete_bytes
    }

    /// Whether bytes that are no complete record may be behind the complete ones.
    pub(super) fn has_torn_tail(&self) -> bool {
        self.has_torn_tail
    }

    /// The file's length with its torn tail.
    pub(super) fn total_bytes(&self) -> u64 {
        self.file
            .metadata()
            .map_or(self.complete_bytes, |metadata| metadata.len())
    }

    /// Appends records to a file without a torn tail. If that fails none of them counts, and the tail is torn unless it
    /// could be truncated at once.
    pub(super) fn append(&mut self, records: &[u8]) -> Result<(), JournalError> {
        match self.file.write_all(records) {
            Ok(()) => {
                self.complete_bytes += records.len() as u64;
                Ok(())
            }
            Err(e) => {
                self.has_torn_tail = true;
                // Where it cannot be truncated now, it is before the next write.
                self.truncate().ok();
                Err(e.into())
            }
        }
    }

    /// Cuts the torn tail off.
    pub(super) fn truncate(&mut self) -> io::Result<()> {
        self.file.set_len(self.complete_bytes)?;
        self.has_torn_tail = false;
        Ok(())
    }

    /// Writes a file with these records and puts it in the place of journal `index`.
    pub(super) fn replace(
        &mut self,
        folder: &JournalFolder,
        index: usize,
        records: &[u8],
    ) -> Result<(), JournalError> {
        let replacement = folder.replacement_path(index);
        let opened = OpenOptions::new()
            .append(true)
            .create(true)
            .open(&replacement);
        let written = opened.and_then(|mut file| {
            file.set_len(0)?;
            if try_lock(&file) == Lock::HeldElsewhere {
                return Err(io::Error::other("another dispatcher writes its new file"));
            }
            file.write_all(records)?;
            std::fs::rename(&replacement, folder.journal_path(index))?;
            Ok(file)
        });
        match written {
            Ok(file) => {
                let length = records.len() as u64;
                *self = JournalFile::new(file, length, length);
                Ok(())
            }
            Err(e) => {
                // One that is left over is overwritten by the next replacement.
                std::fs::remove_file(&replacement).ok();
                Err(e.into())
            }
        }
    }
}
