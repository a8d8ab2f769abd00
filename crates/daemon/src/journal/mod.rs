//! The message journal: an append-only file in the state directory that records the accepted messages, their attempts
//! and their ends. A restarted dispatcher recovers its state from it.
//!
//! Incomplete records are ignored. Nothing is appended after bytes that are not known to be complete records: a file
//! that cannot be truncated to its complete records is replaced by a new one, and until then no new message is accepted
//! and no attempt begins. Records of events that happen meanwhile are queued, and written before any other record. The
//! file is not synced: its contents survive the end of the process, and a loss of the machine loses the file as well.
//!
//! Once most of the file is obsolete, it is compacted: a new file with the live records is written next to it and
//! renamed over it. Both files together stay within the disk quota.

mod adoption;
mod adoption_history;
mod compaction;
mod contents;
mod directory;
mod error;
mod file;
mod journal_set;
mod listing;
mod live_records;
mod load;
mod merged;
mod other_journals;
mod record;
mod replay;
mod writer;

pub use adoption_history::AdoptionCounters;
pub use contents::{AdoptedJournals, JournaledAttempt, JournaledMessage, Recovered, Resolution};
pub use error::JournalError;

use adoption::Adopter;
use bellsill_core::interface::{MessageId, Nanos};
use directory::JournalDirectory;
use journal_set::JournalSet;
use other_journals::OtherJournals;
use std::io;
use std::path::Path;
use writer::JournalWriter;

/// The message journal of this process: its own file and the journals that it has adopted.
pub struct MessageJournal {
    journals: JournalSet,
    adopter: Adopter,
    others: OtherJournals,
    /// Messages that had already ended according to the journals read since the last call of
    /// [`MessageJournal::take_resolved`].
    resolved: Vec<MessageId>,
}

impl MessageJournal {
    /// Opens the first journal of this directory that no other process holds, and returns its live contents.
    /// `capacity_bytes` is the disk quota, which all files of the directory share. The other journals are adopted by
    /// [`MessageJournal::adopt`].
    pub fn open(directory: &Path, capacity_bytes: u64) -> io::Result<(MessageJournal, Recovered)> {
        std::fs::create_dir_all(directory)?;
        let directory = JournalDirectory::new(directory);
        let (index, mut file) = directory.open_own()?;
        // A replacement file was left by a process killed during compaction; the old file is still the valid one.
        directory.remove_replacement(index)?;
        let loaded = load::load(&directory, index, &mut file)?;
        let mut own = JournalWriter::new(directory, index, file, &loaded, capacity_bytes);
        match own.repair(&loaded) {
            Ok(()) => {}
            Err(e @ JournalError::DiskQuota) => {
                log::warn!("message journal: opened without rewriting its file: {e}");
            }
            Err(e) => return Err(e.into()),
        }
        let journal = MessageJournal {
            journals: JournalSet::new(own),
            adopter: Adopter::new(capacity_bytes),
            others: OtherJournals::default(),
            resolved: loaded.replayed.resolved.into(),
        };
        Ok((journal, loaded.replayed.recovered))
    }

    /// Adopts the journals of the state directory that no process holds any more, and returns their pending messages and
    /// notifications. Their files are removed once the quota has space to copy these to another journal, or they have
    /// ended.
    pub fn adopt(&mut self) -> AdoptedJournals {
        let result = self.adopter.adopt(&mut self.journals);
        self.resolved.extend(result.resolved);
        AdoptedJournals {
            recovered: result.recovered,
            is_incomplete: result.is_incomplete,
        }
    }

    /// Whether a process that shares the state directory has accepted a message with this id, which is pending there or
    /// ended recently.
    pub fn is_known_elsewhere(&mut self, id: MessageId) -> bool {
        match self.journals.other_journals_listed() {
            Ok(others) => self.others.contains(self.journals.directory(), &others, id),
            Err(e) => {
                log::debug!("message journal: cannot look for other journals: {e}");
                false
            }
        }
    }

    /// Returns the messages that had already ended according to the journals read since the last call.
    pub fn take_resolved(&mut self) -> Vec<MessageId> {
        std::mem::take(&mut self.resolved)
    }

    /// Appends a new message; called before the reply to its client. On an error nothing was written, and the message
    /// is rejected.
    pub fn append_accepted(&mut self, message: &JournaledMessage) -> Result<(), JournalError> {
        let record = record::accepted(message);
        self.journals.append_message(message.id, record)
    }

    /// Appends an attempt; called before its first byte is sent. On an error nothing was written, and the attempt must
    /// not start.
    pub fn append_attempt(
        &mut self,
        id: MessageId,
        sent_at: Nanos,
        zone: &str,
    ) -> Result<(), JournalError> {
        let record = record::attempt(id, sent_at, zone);
        self.journals
            .write_to_journal_of(id, |journal| journal.extend_message(id, &record))
    }

    /// Appends the outcome of the last attempt. On an error the record is queued.
    pub fn append_outcome(
        &mut self,
        id: MessageId,
        may_have_run: bool,
    ) -> Result<(), JournalError> {
        let record = record::outcome(id, may_have_run);
        self.journals
            .write_to_journal_of(id, |journal| journal.extend_message_or_queue(id, record))
    }

    /// Appends the end of a message. With a resolution, its notification is pending from then on. On an error the
    /// record is queued.
    pub fn append_resolved(
        &mut self,
        id: MessageId,
        resolution: Option<Resolution>,
    ) -> Result<(), JournalError> {
        let record = record::resolved(id, resolution);
        self.journals
            .write_to_journal_of(id, |journal| match resolution {
                Some(_) => journal.replace_message_or_queue(id, record),
                None => journal.end_message_or_queue(id, record),
            })
    }

    /// Appends the platform's confirmation of the message's notification. On an error the record is queued.
    pub fn append_notified(&mut self, id: MessageId) -> Result<(), JournalError> {
        self.journals.write_to_journal_of(id, |journal| {
            journal.end_message_or_queue(id, record::notified(id))
        })
    }

    /// Notes that this process has written another file of the state directory, so that its size counts from now on.
    pub fn other_files_changed(&mut self) {
        self.journals.other_files_changed();
    }

    /// Frees disk space for another file of the state directory, as far as obsolete records occupy it.
    pub fn free_space(&mut self) {
        self.journals.compact_mostly_obsolete();
    }

    /// What operators are shown of the adoptions so far.
    pub fn adoption_counters(&self) -> AdoptionCounters {
        self.adopter.counters()
    }

    /// The number of writes that failed.
    pub fn failures(&self) -> u64 {
        self.journals.failures()
    }

    /// Whether the last write failed, or records are queued.
    pub fn has_pending_writes(&self) -> bool {
        self.journals.has_pending_writes()
    }

    /// Writes the queued records. If none are queued after a failure, it writes a record without effect to check
    /// whether writes succeed again.
    pub fn write_pending(&mut self) -> Result<(), JournalError> {
        self.journals.write_pending()
    }
}
