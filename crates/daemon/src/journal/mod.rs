//! The message journal: what this dispatcher has accepted and what was done for it, in one file of the state folder. It
//! is what a restart goes by.
//!
//! A record is complete or does not count. Records are only appended, and nothing is appended behind bytes that are not
//! known to be complete records: a file that cannot be truncated to those is replaced by a new one, and until that is
//! done no new message is accepted and no attempt begins. What has happened all the same is queued and written before
//! anything else. Nothing is synced: what is written survives the process, and the loss of the machine loses the file as
//! well.
//!
//! Once most of the file no longer counts, it is compacted: a new file of the live records is written beside it and takes
//! its place. Both together stay within the disk quota.

mod adopted;
mod adoption;
mod compaction;
mod contents;
mod error;
mod file;
mod folder;
mod live_records;
mod load;
mod record;
mod replay;
mod writer;

pub use contents::{AdoptedJournals, JournaledAttempt, JournaledMessage, Recovered, Resolution};
pub use error::JournalError;

use bellsill_core::interface::{MessageId, Nanos};
use folder::JournalFolder;
use std::io;
use std::path::Path;
use writer::JournalWriter;

/// The journal of this process.
pub struct MessageJournal {
    writer: JournalWriter,
    /// Messages that had ended before this process started, by the journals read since the last call of
    /// [`MessageJournal::take_resolved`].
    resolved: Vec<MessageId>,
}

impl MessageJournal {
    /// Opens the first journal of this folder that no other process holds, and returns what it holds. `capacity_bytes` is
    /// the disk quota, which all files of the folder share. The other journals are taken over by
    /// [`MessageJournal::adopt`].
    pub fn open(folder: &Path, capacity_bytes: u64) -> io::Result<(MessageJournal, Recovered)> {
        std::fs::create_dir_all(folder)?;
        let folder = JournalFolder::new(folder);
        let (index, mut file) = folder.open_own()?;
        // Left by a process that was killed during compaction: the old file still counts.
        folder.remove_replacement(index)?;
        let loaded = load::load(&folder, index, &mut file)?;
        let writer = JournalWriter::open(folder, index, file, &loaded, capacity_bytes)?;
        let journal = MessageJournal {
            writer,
            resolved: loaded.replayed.resolved.into(),
        };
        Ok((journal, loaded.replayed.recovered))
    }

    /// Takes over the journals of the folder that no process holds any more: their messages and pending notifications are
    /// written into this one, and only then are they removed.
    pub fn adopt(&mut self) -> AdoptedJournals {
        let adoption = adoption::adopt(&mut self.writer);
        self.resolved.extend(adoption.resolved);
        AdoptedJournals {
            recovered: adoption.recovered,
            is_incomplete: adoption.is_incomplete,
        }
    }

    /// The messages that had ended before, by the journals read since the last call.
    pub fn take_resolved(&mut self) -> Vec<MessageId> {
        std::mem::take(&mut self.resolved)
    }

    /// A new message, before its client is answered. On an error nothing was written, and the message is rejected.
    pub fn append_accepted(&mut self, message: &JournaledMessage) -> Result<(), JournalError> {
        let record = record::accepted(message);
        self.writer.begin_message(message.id, record)
    }

    /// An attempt, before its first byte. On an error nothing was written, and the attempt must not begin.
    pub fn append_attempt(
        &mut self,
        id: MessageId,
        sent_at: Nanos,
        zone: &str,
    ) -> Result<(), JournalError> {
        let record = record::attempt(id, sent_at, zone);
        self.writer.extend_message(id, &record)
    }

    /// The outcome of the last attempt. On an error the record is queued.
    pub fn append_outcome(
        &mut self,
        id: MessageId,
        may_have_run: bool,
    ) -> Result<(), JournalError> {
        let record = record::outcome(id, may_have_run);
        self.writer.extend_message_or_queue(id, record)
    }

    /// The end of a message. With a resolution, a notification is pending from then on. On an error the record is queued.
    pub fn append_resolved(
        &mut self,
        id: MessageId,
        resolution: Option<Resolution>,
    ) -> Result<(), JournalError> {
        let record = record::resolved(id, resolution);
        match resolution {
            Some(_) => self.writer.replace_message_or_queue(id, record),
            None => self.writer.end_message_or_queue(id, record),
        }
    }

    /// The platform has confirmed the message's notification. On an error the record is queued.
    pub fn append_notified(&mut self, id: MessageId) -> Result<(), JournalError> {
        self.writer.end_message_or_queue(id, record::notified(id))
    }

    /// Whether the last write failed, or something that has happened is not written yet.
    pub fn has_unwritten(&self) -> bool {
        self.writer.has_unwritten()
    }

    /// Writes what could not be written before. With nothing to write, it finds out whether writes succeed again.
    pub fn write_pending(&mut self) -> Result<(), JournalError> {
        self.writer.write_pending()
    }
}
