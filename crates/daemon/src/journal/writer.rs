//! Writes records to a journal's file within the disk quota, queues those that cannot be written yet, and repairs and
//! compacts the file.

use super::adopted::AdoptedJournal;
use super::compaction::DiskUsage;
use super::contents::Recovered;
use super::error::JournalError;
use super::file::JournalFile;
use super::folder::{JournalFolder, OtherFiles};
use super::live_records::LiveRecords;
use super::load::LoadedJournal;
use super::record::{self, Extent};
use crate::clock::{ClockReading, Translation};
use bellsill_core::interface::MessageId;
use std::fs::File;
use std::io;

/// The most bytes of records that are queued; beyond that, compaction writes what they say.
const MAX_UNWRITTEN_BYTES: usize = 64 * 1024;

/// The journal of this process.
pub(super) struct JournalWriter {
    folder: JournalFolder,
    /// Its index in the folder.
    index: usize,
    file: JournalFile,
    /// The clock that the times in the file are on.
    clock: ClockReading,
    /// What a compacted file holds: what has happened at once, and anything else once its record is written.
    live: LiveRecords,
    /// Records of what has happened that could not be written, in order; `live` has them already.
    unwritten: Vec<u8>,
    /// The queue overflowed: only compaction writes what it said.
    must_compact: bool,
    /// The last write failed.
    is_failing: bool,
    /// Journals that were adopted and still have to be emptied.
    adopted: Vec<AdoptedJournal>,
    capacity_bytes: u64,
    other_files: OtherFiles,
}

impl JournalWriter {
    /// Takes over the open file of journal `index`, and makes it one of complete records whose times are on one clock.
    pub(super) fn open(
        folder: JournalFolder,
        index: usize,
        file: File,
        loaded: &LoadedJournal,
        capacity_bytes: u64,
    ) -> io::Result<JournalWriter> {
        let replayed = &loaded.replayed;
        let complete_bytes = loaded.adopted_bytes + replayed.complete_bytes;
        let file = JournalFile::new(file, complete_bytes as u64, loaded.bytes.len() as u64);
        let mut writer = JournalWriter {
            folder,
            index,
            file,
            clock: replayed.clock.as_ref().unwrap_or(&loaded.clock).clone(),
            live: LiveRecords::of(&replayed.recovered),
            unwritten: vec![],
            must_compact: false,
            is_failing: false,
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
                "message journal: {damaged_bytes} damaged bytes between its records; what they said is lost, \
                 everything else was read"
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
            log::warn!("message journal: an incomplete record at its end was dropped");
            self.file.truncate()?;
        }
        Ok(())
    }

    pub(super) fn folder(&self) -> &JournalFolder {
        &self.folder
    }

    pub(super) fn index(&self) -> usize {
        self.index
    }

    /// Whether a message has records that still count.
    pub(super) fn contains(&self, id: MessageId) -> bool {
        self.live.contains(id)
    }

    /// Whether the last write failed, or something that has happened is not written yet.
    pub(super) fn has_unwritten(&self) -> bool {
        self.is_failing
            || self.file.has_torn_tail()
            || self.must_compact
            || !self.unwritten.is_empty()
    }

    /// Appends the first record of a message, if that leaves the reserve untouched. On an error it is not written.
    pub(super) fn begin_message(
        &mut self,
        id: MessageId,
        record: Vec<u8>,
    ) -> Result<(), JournalError> {
        self.make_unreserved_capacity(record.len() as u64)?;
        self.append(&record)?;
        self.live.put(id, record);
        Ok(())
    }

    /// Appends another record of a message. On an error it is not written.
    pub(super) fn extend_message(
        &mut self,
        id: MessageId,
        record: &[u8],
    ) -> Result<(), JournalError> {
        self.append(record)?;
        self.live.extend(id, record);
        Ok(())
    }

    /// Appends another record of a message, of what has happened already. On an error it is queued.
    pub(super) fn extend_message_or_queue(
        &mut self,
        id: MessageId,
        record: Vec<u8>,
    ) -> Result<(), JournalError> {
        self.live.extend(id, &record);
        self.append_or_queue(record)
    }

    /// Appends a record after which it alone counts of its message. On an error it is queued.
    pub(super) fn replace_message_or_queue(
        &mut self,
        id: MessageId,
        record: Vec<u8>,
    ) -> Result<(), JournalError> {
        self.live.put(id, record.clone());
        self.append_or_queue(record)
    }

    /// Appends a record after which none counts of its message. On an error it is queued.
    pub(super) fn end_message_or_queue(
        &mut self,
        id: MessageId,
        record: Vec<u8>,
    ) -> Result<(), JournalError> {
        self.live.remove(id);
        self.append_or_queue(record)
    }

    /// Appends what was recovered from another journal, in one record. On an error nothing of it is written.
    pub(super) fn append_adopted(
        &mut self,
        source: Extent,
        recovered: &Recovered,
    ) -> Result<(), JournalError> {
        let live = LiveRecords::of(recovered);
        self.append(&record::adopted(source, &live.bytes()))?;
        self.live.append(live);
        Ok(())
    }

    /// Removes an adopted journal, or remembers to do so.
    pub(super) fn remove_adopted(&mut self, adopted: AdoptedJournal) {
        if adopted.try_remove().is_err() {
            self.adopted.push(adopted);
        }
    }

    /// Tries to remove the adopted journals that could not be removed before.
    pub(super) fn retry_removals(&mut self) {
        self.adopted.retain(|adopted| adopted.try_remove().is_err());
    }

    /// Whether adopted journals still have to be removed.
    pub(super) fn has_removals(&self) -> bool {
        !self.adopted.is_empty()
    }

    /// Whether this journal was adopted and still has to be removed.
    pub(super) fn awaits_removal(&self, index: usize) -> bool {
        self.adopted.iter().any(|adopted| adopted.index == index)
    }

    /// Makes capacity for a new message's record without touching the reserve.
    fn make_unreserved_capacity(&mut self, record_bytes: u64) -> Result<(), JournalError> {
        let usage = self.disk_usage();
        if !usage.has_capacity_for_live(record_bytes) {
            return Err(JournalError::DiskQuota);
        }
        if usage.keeps_reserve(record_bytes) {
            return Ok(());
        }
        if usage.is_mostly_obsolete() {
            // Where it cannot be compacted now, the message is rejected below.
            self.compact().ok();
        }
        if self.disk_usage().keeps_reserve(record_bytes) {
            Ok(())
        } else {
            Err(JournalError::DiskQuota)
        }
    }

    /// Appends a record behind all that are queued; on an error it is not written.
    fn append(&mut self, record: &[u8]) -> Result<(), JournalError> {
        if self.must_compact || !self.unwritten.is_empty() {
            self.write_pending()?;
        }
        self.make_capacity(record.len() as u64)?;
        self.write(record)
    }

    /// Appends the record of what has happened already; on an error it is queued.
    fn append_or_queue(&mut self, record: Vec<u8>) -> Result<(), JournalError> {
        let appended = self.append(&record);
        if appended.is_err() {
            if self.unwritten.len() + record.len() > MAX_UNWRITTEN_BYTES {
                self.must_compact = true;
                self.unwritten.clear();
            }
            if !self.must_compact {
                self.unwritten.extend(record);
            }
        }
        appended
    }

    /// Writes what is queued. With nothing queued after a failure, it finds out whether writes succeed again.
    pub(super) fn write_pending(&mut self) -> Result<(), JournalError> {
        if self.must_compact {
            return self.compact_or_report();
        }
        if !self.unwritten.is_empty() {
            let records = std::mem::take(&mut self.unwritten);
            let written = self
                .make_capacity(records.len() as u64)
                .and_then(|()| self.write(&records));
            if written.is_err() && !self.must_compact {
                self.unwritten = records;
            }
            return written;
        }
        if self.is_failing || self.file.has_torn_tail() {
            // A notification of no message: the record changes nothing.
            return self.write(&record::notified(MessageId(0)));
        }
        Ok(())
    }

    /// Compacts the file where it has grown long, or where it would outgrow the quota.
    fn make_capacity(&mut self, more: u64) -> Result<(), JournalError> {
        if !self.disk_usage().needs_compaction(more) {
            return Ok(());
        }
        let compacted = self.compact();
        // Without compaction the file is longer than it should be, which is no failure while there is capacity.
        if self.disk_usage().has_capacity_for(more) {
            return Ok(());
        }
        compacted.inspect_err(|e| self.report_failure(e))?;
        Err(JournalError::DiskQuota)
    }

    /// Appends to a file that is repaired first if need be.
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

    /// Replaces the file by one of the live records.
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
        self.file.replace(&self.folder, self.index, &records)?;
        self.must_compact = false;
        self.unwritten.clear();
        self.report_success();
        Ok(())
    }

    fn disk_usage(&mut self) -> DiskUsage {
        DiskUsage {
            file_bytes: self.file.complete_bytes(),
            live_bytes: self.live.total_bytes(),
            others: self.other_files.usage(&self.folder, self.index),
            capacity_bytes: self.capacity_bytes,
        }
    }

    /// Logs that writes fail; once, until they succeed again.
    fn report_failure(&mut self, error: &JournalError) {
        if !std::mem::replace(&mut self.is_failing, true) {
            log::error!("message journal: no new messages until it can be written: {error}");
        }
    }

    /// Logs that writes succeed again.
    fn report_success(&mut self) {
        if std::mem::replace(&mut self.is_failing, false) {
            log::warn!("message journal: it can be written again");
        }
    }
}
