//! Appends records to a journal's file within the disk quota, queues those that cannot be written yet, and repairs and
//! compacts the file.

use super::compaction::DiskUsage;
use super::directory::{JournalDirectory, OtherFiles};
use super::error::JournalError;
use super::file::JournalFile;
use super::live_records::LiveRecords;
use super::load::{LoadedJournal, is_source_left};
use super::merged::MergedJournal;
use super::record::{self, JournalPrefix};
use crate::clock::{ClockReading, Translation};
use bellsill_core::interface::MessageId;
use std::fs::File;
use std::io;

/// The maximum size of the queue. When it overflows, the queued records are dropped, and compaction writes their
/// effect.
const MAX_QUEUED_BYTES: usize = 64 * 1024;

/// Writes a journal that this process holds the lock of.
pub(super) struct JournalWriter {
    directory: JournalDirectory,
    /// The journal's index in the state directory.
    index: usize,
    file: JournalFile,
    /// The clock of the times in `live`.
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
    /// Merged journals whose files still have to be truncated and removed.
    merged: Vec<MergedJournal>,
    /// The prefixes of journals that an earlier process has merged into this one, if their files may still be there.
    earlier_sources: Vec<JournalPrefix>,
    capacity_bytes: u64,
    other_files: OtherFiles,
}

impl JournalWriter {
    /// Opens the journal `index` for writing. [`JournalWriter::repair`] has to be called before anything is written.
    pub(super) fn new(
        directory: JournalDirectory,
        index: usize,
        file: File,
        loaded: &LoadedJournal,
        capacity_bytes: u64,
    ) -> JournalWriter {
        let replayed = &loaded.replayed;
        let complete_bytes = loaded.merged_bytes + replayed.complete_bytes;
        let file = JournalFile::new(file, complete_bytes as u64, loaded.bytes.len() as u64);
        JournalWriter {
            directory,
            index,
            file,
            clock: replayed.clock.as_ref().unwrap_or(&loaded.clock).clone(),
            live: LiveRecords::of(&replayed.recovered),
            queued: vec![],
            must_compact: false,
            is_failing: false,
            failures: 0,
            merged: vec![],
            earlier_sources: replayed.merged.clone(),
            capacity_bytes,
            other_files: OtherFiles::default(),
        }
    }

    /// Forgets the merged journals whose files are not there any more.
    pub(super) fn forget_removed_sources(&mut self) {
        let (directory, index) = (&self.directory, self.index);
        self.earlier_sources
            .retain(|&source| is_source_left(directory, index, source));
    }

    /// Encodes which journals were merged into this one, for readers of those whose files are still there.
    fn merge_sources(&self) -> Vec<u8> {
        let unremoved = self.merged.iter().map(|merged| merged.source);
        let sources = self.earlier_sources.iter().copied().chain(unremoved);
        sources
            .flat_map(|source| record::merged(source, &[]))
            .collect()
    }

    /// Repairs the file as it was loaded: removes a torn tail, and replaces a file with damage, outdated times or records
    /// that were merged into another journal. If it cannot be replaced, which needs space for a copy, the journal can be
    /// used all the same; the error says why the file is unchanged.
    pub(super) fn repair(&mut self, loaded: &LoadedJournal) -> Result<(), JournalError> {
        let damaged_bytes = loaded.replayed.damaged_bytes;
        if damaged_bytes > 0 {
            log::error!(
                "message journal: skipped {damaged_bytes} damaged bytes between records; the records in them are lost, \
                 all others were read"
            );
        }
        let has_outdated_times =
            loaded.translation != Translation::Same || loaded.replayed.clock.is_none();
        if damaged_bytes > 0 || loaded.merged_bytes > 0 || has_outdated_times {
            self.clock = loaded.clock.clone();
            return self.compact().inspect_err(|_| {
                self.must_compact = loaded.merged_bytes > 0;
                if has_outdated_times && !self.must_compact {
                    self.queued = record::clock(&self.clock);
                }
            });
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

    /// Merges another journal into this one: appends its live records as a single record, then removes its file. Returns
    /// the other journal unchanged if the quota has no space for a copy at present, or on an error.
    pub(super) fn merge(&mut self, other: JournalWriter) -> Option<JournalWriter> {
        let sources = other.merge_sources();
        let merged_bytes = sources.len() as u64 + other.live.total_bytes();
        if !other.merged.is_empty() || !self.reserve_merge(merged_bytes) {
            return Some(other);
        }
        let path = self.directory.journal_path(other.index);
        let Ok(bytes) = std::fs::read(&path) else {
            return Some(other);
        };
        let source = JournalPrefix::of(&bytes);
        let records = [sources, other.live.bytes()].concat();
        if self.append(&record::merged(source, &records)).is_err() {
            return Some(other);
        }
        log::info!(
            "message journal: merged adopted journal {} into journal {}",
            other.index,
            self.index
        );
        self.live.append(other.live);
        self.failures += other.failures;
        self.earlier_sources.extend(other.earlier_sources);
        // The records are in this journal now: readers skip them in the other one even if its file cannot be truncated.
        self.merged.push(MergedJournal {
            index: other.index,
            file: other.file,
            source,
            path,
        });
        self.retry_removals();
        None
    }

    /// Whether live records of this size can be merged into this journal, after compaction if necessary. Live records in
    /// one file are limited as for new messages, so that they can still be compacted.
    fn reserve_merge(&mut self, live_bytes: u64) -> bool {
        let usage = self.disk_usage();
        if self.has_pending_writes() || !usage.has_capacity_for_live(live_bytes) {
            return false;
        }
        let record_bytes = live_bytes + record::MERGED_OVERHEAD_BYTES;
        if !usage.has_capacity_for(record_bytes) {
            self.compact_if_mostly_obsolete();
        }
        self.disk_usage().has_capacity_for(record_bytes)
    }

    /// Truncates and removes the files of merged journals, as far as possible.
    pub(super) fn retry_removals(&mut self) {
        self.merged.retain(|merged| merged.try_remove().is_err());
    }

    /// Whether this is the journal of that index, or that journal was merged into this one and its file is still there.
    pub(super) fn holds(&self, index: usize) -> bool {
        self.index == index || self.merged.iter().any(|merged| merged.index == index)
    }

    /// Whether the file of a merged journal is still there.
    pub(super) fn has_removals(&self) -> bool {
        !self.merged.is_empty()
    }

    /// Whether nothing in the file counts any more: no message has live records, and no merged journal's file is left.
    pub(super) fn is_obsolete(&self) -> bool {
        self.live.is_empty() && self.merged.is_empty() && self.earlier_sources.is_empty()
    }

    /// Truncates and removes the file. The caller drops the journal then, or retries later on an error.
    pub(super) fn remove_file(&self) -> io::Result<()> {
        self.file.remove(&self.directory.journal_path(self.index))
    }

    /// Compacts the file if it consists mostly of obsolete records and the quota has space for the copy.
    pub(super) fn compact_if_mostly_obsolete(&mut self) {
        if self.disk_usage().is_mostly_obsolete() {
            // On an error the file is unchanged.
            self.compact().ok();
        }
    }

    /// Whether a new message's record fits into this journal outside the reserve.
    pub(super) fn has_unreserved_capacity(&mut self, record_bytes: u64) -> bool {
        let usage = self.disk_usage();
        usage.has_capacity_for_live(record_bytes) && usage.keeps_reserve(record_bytes)
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
        if usage.should_compact_for_message() {
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
        self.forget_removed_sources();
        records.extend(self.merge_sources());
        let compacted_bytes = records.len() as u64 + self.live.total_bytes();
        let usage = self.disk_usage();
        if !usage.may_compact(self.file.total_bytes(), compacted_bytes) {
            return Err(JournalError::DiskQuota);
        }
        records.extend(self.live.bytes());
        self.file.replace(&self.directory, self.index, &records)?;
        self.must_compact = false;
        self.queued.clear();
        self.report_success();
        Ok(())
    }

    /// Notes that this process has written another file of the directory.
    pub(super) fn other_files_changed(&mut self) {
        self.other_files.forget();
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
