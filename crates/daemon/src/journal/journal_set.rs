//! The journals that this process holds: its own, to which it appends new messages, and those that it has adopted from
//! ended processes. Each record goes to the journal that has its message, so that an adopted journal needs no space for a
//! copy of its messages. It is merged into another one once the quota has space for that, and its file is removed with
//! its last live record.

use super::contents::Recovered;
use super::directory::JournalDirectory;
use super::error::JournalError;
use super::listing::JournalListing;
use super::record;
use super::writer::JournalWriter;
use bellsill_core::interface::MessageId;
use std::io;

/// The journals that this process holds the locks of.
pub(super) struct JournalSet {
    own: JournalWriter,
    adopted: Vec<JournalWriter>,
    listing: JournalListing,
    /// The failed writes of journals that were removed since.
    failures_of_removed: u64,
}

impl JournalSet {
    /// Creates the set with the process's own journal.
    pub(super) fn new(own: JournalWriter) -> JournalSet {
        JournalSet {
            own,
            adopted: vec![],
            listing: JournalListing::default(),
            failures_of_removed: 0,
        }
    }

    pub(super) fn directory(&self) -> &JournalDirectory {
        self.own.directory()
    }

    fn journals(&self) -> impl Iterator<Item = &JournalWriter> {
        std::iter::once(&self.own).chain(&self.adopted)
    }

    fn journals_mut(&mut self) -> impl Iterator<Item = &mut JournalWriter> {
        std::iter::once(&mut self.own).chain(&mut self.adopted)
    }

    /// The indexes of all existing journals that this process does not hold.
    pub(super) fn other_journals(&self) -> io::Result<Vec<usize>> {
        Ok(self.without_held(self.directory().existing_journals()?))
    }

    /// Like [`JournalSet::other_journals`], but the directory is listed only if it has changed.
    pub(super) fn other_journals_listed(&mut self) -> io::Result<Vec<usize>> {
        let journals = self.listing.update(self.own.directory())?.to_vec();
        Ok(self.without_held(journals))
    }

    fn without_held(&self, mut journals: Vec<usize>) -> Vec<usize> {
        journals.retain(|&index| self.journals().all(|journal| !journal.holds(index)));
        journals
    }

    /// Whether there are files of other journals than the own one.
    pub(super) fn has_adopted(&self) -> bool {
        !self.adopted.is_empty() || self.own.has_removals()
    }

    /// Adds the journal of an ended process, and returns those of its contents that no other journal of this process has.
    pub(super) fn adopt(&mut self, mut journal: JournalWriter, contents: Recovered) -> Recovered {
        let is_duplicate = |id: MessageId| self.journals().any(|journal| journal.contains(id));
        let (duplicates, new) = contents.partition(is_duplicate);
        // Without these records the next process would take the duplicates for pending after they have ended here. On
        // an error they are queued.
        for message in &duplicates.messages {
            let record = record::resolved(message.id, None);
            journal.end_message_or_queue(message.id, record).ok();
        }
        for &(id, _) in &duplicates.pending_notifications {
            journal.end_message_or_queue(id, record::notified(id)).ok();
        }
        self.adopted.push(journal);
        new
    }

    /// Appends the first record of a message to the own journal.
    pub(super) fn append_message(
        &mut self,
        id: MessageId,
        record: Vec<u8>,
    ) -> Result<(), JournalError> {
        if !self.adopted.is_empty() && !self.own.has_unreserved_capacity(record.len() as u64) {
            self.adopted
                .iter_mut()
                .for_each(JournalWriter::compact_if_mostly_obsolete);
        }
        self.own.append_message(id, record)
    }

    /// Writes to the journal that has a message's records.
    pub(super) fn write_to_journal_of(
        &mut self,
        id: MessageId,
        write: impl FnOnce(&mut JournalWriter) -> Result<(), JournalError>,
    ) -> Result<(), JournalError> {
        let adopted = self.adopted.iter_mut().find(|j| j.contains(id));
        let Some(journal) = adopted else {
            return write(&mut self.own);
        };
        let written = write(journal);
        if journal.is_obsolete() {
            self.remove_obsolete();
        }
        written
    }

    /// Merges adopted journals into others of this process, as far as the quota has space, and removes those without live
    /// records.
    pub(super) fn merge_adopted(&mut self) {
        for journal in self.journals_mut() {
            journal.retry_removals();
            journal.forget_removed_sources();
        }
        self.remove_obsolete();
        for journal in std::mem::take(&mut self.adopted) {
            let mut unmerged = Some(journal);
            for target in self.journals_mut() {
                unmerged = unmerged.and_then(|journal| target.merge(journal));
            }
            self.adopted.extend(unmerged);
        }
    }

    /// Removes the files of adopted journals without live records. Those that cannot be removed are kept.
    fn remove_obsolete(&mut self) {
        let failures = &mut self.failures_of_removed;
        self.adopted.retain(|journal| {
            let is_removed = journal.is_obsolete() && journal.remove_file().is_ok();
            if is_removed {
                *failures += journal.failures();
            }
            !is_removed
        });
    }

    /// Notes that this process has written another file of the directory.
    pub(super) fn other_files_changed(&mut self) {
        self.journals_mut()
            .for_each(JournalWriter::other_files_changed);
    }

    /// Compacts the journals that consist mostly of obsolete records, as far as the quota has space for the copies.
    pub(super) fn compact_mostly_obsolete(&mut self) {
        self.journals_mut()
            .for_each(JournalWriter::compact_if_mostly_obsolete);
    }

    /// The number of failed writes.
    pub(super) fn failures(&self) -> u64 {
        self.failures_of_removed + self.journals().map(JournalWriter::failures).sum::<u64>()
    }

    /// Whether the last write to a journal failed, or records are queued.
    pub(super) fn has_pending_writes(&self) -> bool {
        self.journals().any(JournalWriter::has_pending_writes)
    }

    /// Writes the queued records of all journals; returns the first error.
    pub(super) fn write_pending(&mut self) -> Result<(), JournalError> {
        self.journals_mut()
            .map(JournalWriter::write_pending)
            .fold(Ok(()), Result::and)
    }
}
