//! The journals of a directory, as they were listed last. Looking whether the directory has changed costs one system call,
//! which is made once in a while however often the journals are asked for.

use super::directory::JournalDirectory;
use crate::clock;
use bellsill_core::interface::Nanos;
use std::io;
use std::time::{Duration, SystemTime};

/// Two changes of a directory within this time may leave the same time stamp.
const TIMESTAMP_GRANULARITY: Duration = Duration::from_millis(20);
/// How long the journals are taken to be the same. A process that has created its journal is not ready by then.
const CHECK_INTERVAL: Nanos = 1_000_000;

/// A listing of the journals whose files exist.
#[derive(Default)]
pub(super) struct JournalListing {
    journals: Vec<usize>,
    /// The time of the directory's last change; `None` if a later change may leave the same time stamp.
    modified: Option<SystemTime>,
    /// When the directory was looked at last.
    checked_at: Nanos,
}

impl JournalListing {
    /// The indexes of the journals. They are listed again if the directory has changed since.
    pub(super) fn update(&mut self, directory: &JournalDirectory) -> io::Result<&[usize]> {
        let now = clock::now();
        if now >= self.checked_at + CHECK_INTERVAL {
            if !self.is_current(directory)? {
                *self = JournalListing::read(directory)?;
            }
            self.checked_at = now;
        }
        Ok(&self.journals)
    }

    fn read(directory: &JournalDirectory) -> io::Result<JournalListing> {
        let modified = directory.modified()?;
        let age = SystemTime::now().duration_since(modified);
        Ok(JournalListing {
            journals: directory.existing_journals()?,
            modified: age
                .is_ok_and(|age| age > TIMESTAMP_GRANULARITY)
                .then_some(modified),
            checked_at: 0,
        })
    }

    /// Whether the directory has not changed since.
    fn is_current(&self, directory: &JournalDirectory) -> io::Result<bool> {
        Ok(self.modified.is_some() && self.modified == Some(directory.modified()?))
    }
}
