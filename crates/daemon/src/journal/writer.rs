//! Appends records to a journal's file within the disk quota, queues those that cannot be written yet, and repairs and
//! compacts the file.

use super::adopted::AdoptedJournal;
use super::compaction::DiskUsage;
use super::contents::Recovered;
use super::directory::{JournalDirectory, OtherFiles};
use super::error::JournalError;
use super::file::JournalFile;
use super::live_records::LiveRecords;
use super::load::LoadedJournal;
use super::record::{self, JournalPrefix};
use crate::clock::{ClockReading, Translation};
use bellsill_core::interface::MessageId;
use std::fs::File;
use std::io;

/// The maximum size of the queue. When it overflows, the queued records are dropped, and compaction writes their
/// effect.
const MAX_QUEUED_BYTES: usize = 64 * 1024;

/// Writes the journal of this process.
pub(super) struct JournalWriter {
    directory: JournalDirectory,
    /// The journal's index in the state directory.
    index: usize,
    file: JournalFile,
    /// The clock of the times in the file.
    clock: ClockReading,
    /// The records that compaction would write. Events that have already happened are added at once, even if their
    /// record is only queued; other records are added once they are written.
    live: LiveRecords,
    /// Records of past events that could not be written yet, in order; `live` already reflects them.
    queued: Vec<u8>,
    /// The queue overflowed: only compaction can write the effect of the dropped records.
    must_compact: bool,
    /// Whether the last write failed.
    is_failing: bool,
    /// The number of failed writes.
    failures: u64,
    /// Adopted journals whose files still have to be truncated and removed.
    adopted: Vec<AdoptedJournal>,
    capacity_bytes: u64,
    other_files: OtherFiles,
}

impl JournalWriter {
    /// Opens the journal `index` for writing: repairs its file so that it has only complete records, with all times on
    /// one clock.
    pub(super) fn open(
        directory: JournalDirectory,
        index: usize,
        file: File,
        loaded: &LoadedJournal,
        capacity_bytes: u64,
    ) -> io::Result<JournalWriter> {
        let replayed = &loaded.replayed;
        let complete_bytes = loaded.adopted_bytes + replayed.complete_bytes;
        let file = JournalFile::new(file, complete_bytes as u64, loaded.bytes.len() as u64);
        let mut writer = JournalWriter {
            directory,
            index,
            file,
            clock: replayed.clock.as_ref().unwrap_or(&loaded.clock).clone(),
            live: LiveRecords::of(&replayed.recovered),
            queued: vec![],
            must_compact: false,
            is_failing: false,
            failures: 0,
            adopted: vec![],
            capacity_bytes,
            other_files: OtherFiles::default(),
        };
        writer.repair(loaded)?;
        Ok(writer)
    }

    fn repair(&mut self, loaded: &LoadedJournal) -> io::Result<()> {
        let damaged_bytes = loaded.replayed.damaged_bytes;
        if damaged_bytes > 0 {
            log::error!(
                "message journal: skipped {damaged_bytes} damaged bytes between records; the records in them are lost, \
                 all others were read"
            );
        }
        let is_outdated = loaded.adopted_bytes > 0
            || loaded.translation != Translation::Same
            || loaded.replayed.clock.is_none();
        if damaged_bytes > 0 || is_outdated {
            self.clock = loaded.clock.clone();
            return Ok(self.compact()?);
        }
        if self.file.has_torn_tail() {
            log::warn!(
                "message journal: discarded an incomplete record at the end of the journal file"
            );
            self.file.truncate()?;
        }
        Ok(())
    }

    pub(super) fn directory(&self) -> &JournalDirectory {
        &self.directory
    }

    pub(super) fn index(&self) -> usize {
        self.index
    }

    /// Whether a message has live records.
    pub(super) fn contains(&self, id: MessageId) -> bool {
        self.live.contains(id)
    }

    /// Whether the last write failed, or records are queued.
    pub(super) fn has_pending_writes(&self) -> bool {
        self.is_failing || self.file.has_torn_tail() || self.must_compact || !self.queued.is_empty()
    }

    /// Appends the first record of a message if it fits outside the reserve. On an error the record is not written.
    pub(super) fn append_message(
        &mut self,
        id: MessageId,
        record: Vec<u8>,
    ) -> Result<(), JournalError> {
        self.ensure_unreserved_capacity(record.len() as u64)?;
        self.append(&record)?;
        self.live.put(id, record);
        Ok(())
    }

    /// Appends another record of a message. On an error the record is not written.
    pub(super) fn extend_message(
        &mut self,
        id: MessageId,
        record: &[u8],
    ) -> Result<(), JournalError> {
        self.append(record)?;
        self.live.extend(id, record);
        Ok(())
    }

    /// Appends another record of a message for an event that has already happened. On an error the record is queued.
    pub(super) fn extend_message_or_queue(
        &mut self,
        id: MessageId,
        record: Vec<u8>,
    ) -> Result<(), JournalError> {
        self.live.extend(id, &record);
        self.append_or_queue(record)
    }

    /// Appends a record that makes all earlier records of its message obsolete. On an error the record is queued.
    pub(super) fn replace_message_or_queue(
        &mut self,
        id: MessageId,
        record: Vec<u8>,
    ) -> Result<(), JournalError> {
        self.live.put(id, record.clone());
        self.append_or_queue(record)
    }

    /// Appends a record that makes all records of its message obsolete, including itself. On an error the record is
    /// queued.
    pub(super) fn end_message_or_queue(
        &mut self,
        id: MessageId,
        record: Vec<u8>,
    ) -> Result<(), JournalError> {
        self.live.remove(id);
        self.append_or_queue(record)
    }

    /// Appends the state recovered from another journal as a single record. On an error nothing is written.
    pub(super) fn append_adopted(
        &mut self,
        source: JournalPrefix,
        recovered: &Recovered,
    ) -> Result<(), JournalError> {
        let live = LiveRecords::of(recovered);
        self.append(&record::adopted(source, &live.bytes()))?;
        self.live.append(live);
        Ok(())
    }

    /// Removes an adopted journal; on an error it is kept for [`JournalWriter::retry_removals`].
    pub(super) fn remove_adopted(&mut self, adopted: AdoptedJournal) {
        if adopted.try_remove().is_err() {
            self.adopted.push(adopted);
        }
    }

    /// Retries removing the adopted journals that could not be removed before.
    pub(super) fn retry_removals(&mut self) {
        self.adopted.retain(|adopted| adopted.try_remove().is_err());
    }

    /// Whether any adopted journal still has to be removed.
    pub(super) fn has_removals(&self) -> bool {
        !self.adopted.is_empty()
    }

    /// Whether the journal of this index was adopted and still has to be removed.
    pub(super) fn awaits_removal(&self, index: usize) -> bool {
        self.adopted.iter().any(|adopted| adopted.index == index)
    }

    /// Ensures that a new message's record fits outside the reserve, by compaction if necessary.
    fn ensure_unreserved_capacity(&mut self, record_bytes: u64) -> Result<(), JournalError> {
        let usage = self.disk_usage();
        if !usage.has_capacity_for_live(record_bytes) {
            return Err(JournalError::DiskQuota);
        }
        if usage.keeps_reserve(record_bytes) {
            return Ok(());
        }
        if usage.is_mostly_obsolete() {
            // If compaction fails, the check below rejects the message.
            self.compact().ok();
        }
        if self.disk_usage().keeps_reserve(record_bytes) {
            Ok(())
        } else {
            Err(JournalError::DiskQuota)
        }
    }

    /// Appends a record after all queued ones. On an error the record is not written.
    fn append(&mut self, record: &[u8]) -> Result<(), JournalError> {
        if self.must_compact || !self.queued.is_empty() {
            self.write_pending()?;
        }
        self.ensure_capacity(record.len() as u64)?;
        self.write(record)
    }

    /// Appends a record for an event that has already happened. On an error the record is queued.
    fn append_or_queue(&mut self, record: Vec<u8>) -> Result<(), JournalError> {
        let appended = self.append(&record);
        if appended.is_err() {
            if self.queued.len() + record.len() > MAX_QUEUED_BYTES {
                self.must_compact = true;
                self.queued.clear();
            }
            if !self.must_compact {
                self.queued.extend(record);
            }
        }
        appended
    }

    /// Writes the queued records. If none are queued after a failure, it writes a record without effect to check
    /// whether writes succeed again.
    pub(super) fn write_pending(&mut self) -> Result<(), JournalError> {
        if self.must_compact {
            return self.compact_or_report();
        }
        if !self.queued.is_empty() {
            let records = std::mem::take(&mut self.queued);
            let written = self
                .ensure_capacity(records.len() as u64)
                .and_then(|()| self.write(&records));
            if written.is_err() && !self.must_compact {
                self.queued = records;
            }
            return written;
        }
        if self.is_failing || self.file.has_torn_tail() {
            // Id 0 stands for no message, so the record has no effect.
            return self.write(&record::notified(MessageId(0)));
        }
        Ok(())
    }

    /// Ensures that the file may grow by this many bytes, compacting it if [`DiskUsage::needs_compaction`] says so.
    fn ensure_capacity(&mut self, additional_bytes: u64) -> Result<(), JournalError> {
        if !self.disk_usage().needs_compaction(additional_bytes) {
            return Ok(());
        }
        let compacted = self.compact();
        // A failed compaction is no error as long as the file has capacity for the record.
        if self.disk_usage().has_capacity_for(additional_bytes) {
            return Ok(());
        }
        compacted.inspect_err(|e| self.report_failure(e))?;
        Err(JournalError::DiskQuota)
    }

    /// Appends to the file, after removing a torn tail.
    fn write(&mut self, records: &[u8]) -> Result<(), JournalError> {
        if self.file.has_torn_tail() && self.file.truncate().is_err() {
            self.compact_or_report()
                .map_err(|e| JournalError::Unrepaired(Box::new(e)))?;
        }
        match self.file.append(records) {
            Ok(()) => {
                self.report_success();
                Ok(())
            }
            Err(e) => {
                self.report_failure(&e);
                Err(e)
            }
        }
    }

    fn compact_or_report(&mut self) -> Result<(), JournalError> {
        self.compact().inspect_err(|e| self.report_failure(e))
    }

    /// Replaces the file by one that contains only the live records.
    fn compact(&mut self) -> Result<(), JournalError> {
        let mut records = record::clock(&self.clock);
        for adopted in &self.adopted {
            records.extend(record::adopted(adopted.source, &[]));
        }
        records.extend(self.live.bytes());
        let usage = self.disk_usage();
        if !usage.may_compact(self.file.total_bytes(), records.len() as u64) {
            return Err(JournalError::DiskQuota);
        }
        self.file.replace(&self.directory, self.index, &records)?;
        self.must_compact = false;
        self.queued.clear();
        self.report_success();
        Ok(())
    }

    fn disk_usage(&mut self) -> DiskUsage {
        DiskUsage {
            file_bytes: self.file.complete_bytes(),
            live_bytes: self.live.total_bytes(),
            others: self.other_files.usage(&self.directory, self.index),
            capacity_bytes: self.capacity_bytes,
        }
    }

    /// The number of failed writes.
    pub(super) fn failures(&self) -> u64 {
        self.failures
    }

    /// Counts a failed write. Logs that writes fail, only once until they succeed again.
    fn report_failure(&mut self, error: &JournalError) {
        self.failures += 1;
        if !std::mem::replace(&mut self.is_failing, true) {
            log::error!(
                "message journal: write failed, new messages are rejected until writes succeed: {error}"
            );
        }
    }

    /// Logs that writes succeed again.
    fn report_success(&mut self) {
        if std::mem::replace(&mut self.is_failing, false) {
            log::warn!(
                "message journal: writes succeed again, new messages are no longer rejected for write errors"
            );
        }
    }
}
