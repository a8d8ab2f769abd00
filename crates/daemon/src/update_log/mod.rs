//! The update log: the updates of the configuration that this process has received, in a file of the state directory. The
//! next process, and one that shares the directory, knows of every update that this one knew of, whether or not discovery
//! can be reached.
//!
//! Each update is appended before it is applied. Without a scoped configuration the first record is a complete list, and
//! a new complete list replaces the file. With a scoped configuration the log holds what has come since the scope file
//! was saved. An update that cannot be appended makes the log incomplete: nothing is appended until the list was saved
//! as a whole, because a reader could not tell what is missing.

mod file;
mod record;
mod replay;

pub(crate) use record::{DocumentHeader, Record};
pub(crate) use replay::{InitialDocument, InitialList, KnownList};

use crate::scope::SCOPE_FILE;
use file::{FileStamp, LogFile, Replacement};
use serde_json::Value;
use serde_json::value::RawValue;
use std::io;
use std::path::Path;

/// The name of the log of an unscoped configuration.
pub const ENDPOINTS_FILE: &str = "endpoints";
/// The suffix of the log beside the scope file.
const SCOPED_SUFFIX: &str = "updates";
/// A log up to this length is not replaced by a complete list for its size.
const MIN_COMPACTION_BYTES: u64 = 64 * 1024;
/// A log is replaced by a complete list once it is longer than this multiple of the last one.
const COMPACTION_RATIO: u64 = 3;
/// The updates behind a complete list, or beside the scope file, may take this fraction of the disk quota before the list
/// is saved as a whole.
const UPDATES_DIVISOR: u64 = 32;

/// An update as it was received.
#[derive(Clone, Copy)]
pub(crate) struct Update<'a> {
    /// Whose versions the update has: the address of a discovery server, or the id of a control process's log.
    pub(crate) source: &'a str,
    /// The version before the update.
    pub(crate) since: u64,
    /// The JSON document.
    pub(crate) document: &'a str,
}

/// The update log of one process.
pub(crate) struct UpdateLog {
    file: LogFile,
    /// The checksum of the configuration file's `known` list.
    known: u32,
    /// The file as this process last read or wrote it.
    stamp: FileStamp,
    /// The length of the last complete list in the file.
    list_bytes: u64,
    /// The length of the updates behind a complete list at which it is replaced, unless it is shorter than them.
    max_updates_bytes: u64,
    /// The length of the list that there was no space for; 0 if the list has changed since.
    unsaved_bytes: u64,
    /// Whether an update is missing, so that the list has to be saved as a whole.
    is_incomplete: bool,
}

/// The checksum by which a `known` list is recognized.
fn known_checksum(known: &Value) -> u32 {
    crc32fast::hash(known.to_string().as_bytes())
}

impl UpdateLog {
    /// The log of the complete configuration.
    pub(crate) fn of_endpoints(directory: &Path, disk_bytes: u64, known: &Value) -> UpdateLog {
        let file = LogFile::new(directory.join(ENDPOINTS_FILE), disk_bytes, disk_bytes);
        UpdateLog::new(file, disk_bytes / UPDATES_DIVISOR, known)
    }

    /// The log beside the scope file.
    pub(crate) fn of_scope(directory: &Path, disk_bytes: u64, known: &Value) -> UpdateLog {
        let name = format!("{SCOPE_FILE}.{SCOPED_SUFFIX}");
        let max_bytes = disk_bytes / UPDATES_DIVISOR;
        let file = LogFile::new(directory.join(name), max_bytes, disk_bytes);
        UpdateLog::new(file, max_bytes, known)
    }

    fn new(file: LogFile, max_updates_bytes: u64, known: &Value) -> UpdateLog {
        UpdateLog {
            file,
            known: known_checksum(known),
            stamp: FileStamp::default(),
            list_bytes: 0,
            max_updates_bytes,
            unsaved_bytes: 0,
            is_incomplete: false,
        }
    }

    /// Reads the records of earlier processes, at the start.
    pub(crate) fn load(&mut self) -> io::Result<Vec<Record>> {
        self.file.remove_replacement()?;
        let (bytes, stamp) = self.file.read()?;
        self.stamp = stamp;
        Ok(self.parse(&bytes))
    }

    /// Reads the records if another process has written to the file since this one last read or wrote it.
    pub(crate) fn read_changes(&mut self) -> io::Result<Option<Vec<Record>>> {
        if self.file.stamp()? == self.stamp {
            return Ok(None);
        }
        let (bytes, stamp) = self.file.read()?;
        self.stamp = stamp;
        Ok(Some(self.parse(&bytes)))
    }

    fn parse(&self, bytes: &[u8]) -> Vec<Record> {
        let (records, skipped) = record::parse_log(bytes);
        if skipped > 0 {
            log::warn!(
                "{}: skipped {skipped} incomplete or damaged lines; discovery sends what they held again",
                self.file.path().display()
            );
        }
        records
    }

    /// The checksum of the configuration file's `known` list.
    pub(crate) fn known_checksum(&self) -> u32 {
        self.known
    }

    /// Whether an update is missing, so that the list has to be saved as a whole.
    pub(crate) fn is_incomplete(&self) -> bool {
        self.is_incomplete
    }

    /// Notes that what follows does not continue what is in the log, so that the list has to be saved as a whole.
    pub(crate) fn mark_incomplete(&mut self) {
        self.is_incomplete = true;
    }

    /// The length of the file.
    pub(crate) fn length(&self) -> u64 {
        self.stamp.length
    }

    /// Whether the log should be replaced by a complete list for its size.
    pub(crate) fn needs_compaction(&self) -> bool {
        let by_ratio = (COMPACTION_RATIO - 1) * self.list_bytes;
        let max_bytes = self.list_bytes + by_ratio.min(self.max_updates_bytes);
        self.stamp.length > MIN_COMPACTION_BYTES.max(max_bytes)
    }

    /// Whether there may be space for the list. Looking for it costs less than encoding the list again.
    pub(crate) fn may_have_space(&self) -> bool {
        self.unsaved_bytes == 0 || self.file.has_space_for(self.unsaved_bytes)
    }

    /// Appends an update. Does nothing while the log is incomplete, and makes it so on an error.
    pub(crate) fn append(&mut self, update: Update) -> io::Result<()> {
        if self.is_incomplete {
            self.unsaved_bytes = 0;
            return Ok(());
        }
        let appended = self
            .to_line(update)
            .and_then(|line| self.file.append(&line, &mut self.stamp));
        self.note_result(appended)
    }

    /// Replaces the log by a complete list, which makes it complete again. If another process has written to it
    /// meanwhile, the list is appended: its version tells readers which one is newer.
    pub(crate) fn write_list(&mut self, list: Update) -> io::Result<()> {
        let written = self.to_line(list).and_then(|line| {
            self.unsaved_bytes = line.len() as u64;
            if self.file.replace(&line, &mut self.stamp)? == Replacement::ChangedElsewhere {
                self.file.append(&line, &mut self.stamp)?;
            }
            self.list_bytes = std::mem::take(&mut self.unsaved_bytes);
            Ok(())
        });
        self.note_result(written)
    }

    /// Removes the records that the saved scope file makes obsolete. Those of another process are kept until the next
    /// call.
    pub(crate) fn clear(&mut self) -> io::Result<()> {
        if self.stamp.length > 0
            && self.file.replace(&[], &mut self.stamp)? == Replacement::ChangedElsewhere
        {
            self.stamp = self.file.stamp()?;
        }
        self.is_incomplete = false;
        Ok(())
    }

    fn to_line(&self, update: Update) -> io::Result<Vec<u8>> {
        let record = Record {
            source: update.source.to_string(),
            since: update.since,
            known: self.known,
            document: RawValue::from_string(update.document.to_string())?,
        };
        Ok(record.to_line()?)
    }

    fn note_result(&mut self, result: io::Result<()>) -> io::Result<()> {
        let was_incomplete = std::mem::replace(&mut self.is_incomplete, result.is_err());
        if let Err(e) = &result
            && !was_incomplete
        {
            log::error!(
                "{}: cannot record an update of the configuration, will save the list as a whole: {e}",
                self.file.path().display()
            );
        }
        result
    }
}
