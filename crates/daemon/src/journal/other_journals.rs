//! The ids of the messages in the journals that other processes hold. A client that repeats its request may reach another
//! process than before, and a message that one of them has accepted must not be accepted by the other one as well.

use super::directory::JournalDirectory;
use super::record::{self, Record};
use crate::clock;
use crate::recent_ids::RecentIds;
use bellsill_core::interface::MessageId;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::os::unix::fs::MetadataExt;

/// What has been read of another process's journal.
#[derive(Default)]
struct FollowedJournal {
    inode: u64,
    /// The length of the records that have been read.
    offset: u64,
    /// The messages that have not ended according to these records.
    pending: BTreeSet<MessageId>,
}

/// Follows the journals that other processes hold.
#[derive(Default)]
pub(super) struct OtherJournals {
    followed: BTreeMap<usize, FollowedJournal>,
    ended: RecentIds,
}

impl OtherJournals {
    /// Whether one of these journals has a message with this id, or had it until recently. A journal that cannot be read
    /// is logged and taken as it was before.
    pub(super) fn contains(
        &mut self,
        directory: &JournalDirectory,
        others: &[usize],
        id: MessageId,
    ) -> bool {
        self.forget_removed(others);
        for &index in others {
            if let Err(e) = self.follow(directory, index) {
                log::debug!("message journal: cannot follow journal {index}, will retry: {e}");
            }
        }
        self.ended.contains(id) || self.followed.values().any(|j| j.pending.contains(&id))
    }

    /// The messages of a journal that nobody else holds any more have ended, or this process has adopted them.
    fn forget_removed(&mut self, others: &[usize]) {
        let now = clock::now();
        let removed = self
            .followed
            .extract_if(.., |index, _| !others.contains(index));
        for id in removed.flat_map(|(_, journal)| journal.pending) {
            self.ended.insert(now, id);
        }
    }

    /// Reads the records that were appended to a journal, or all of them if its file was replaced.
    fn follow(&mut self, directory: &JournalDirectory, index: usize) -> io::Result<()> {
        let path = directory.journal_path(index);
        let metadata = match std::fs::metadata(&path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(()),
            metadata => metadata?,
        };
        let journal = self.followed.entry(index).or_default();
        let is_same = journal.inode == metadata.ino() && journal.offset <= metadata.len();
        if is_same && journal.offset == metadata.len() {
            return Ok(());
        }
        let mut file = File::open(&path)?;
        let inode = file.metadata()?.ino();
        let mut before = BTreeSet::new();
        if !is_same || journal.inode != inode {
            before = std::mem::take(&mut journal.pending);
            (journal.inode, journal.offset) = (inode, 0);
        }
        file.seek(SeekFrom::Start(journal.offset))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let now = clock::now();
        journal.offset += apply_records(&bytes, &mut |change| match change {
            Change::Accepted(id) => {
                journal.pending.insert(id);
            }
            Change::Ended(id) => {
                journal.pending.remove(&id);
                self.ended.insert(now, id);
            }
        });
        // Compaction leaves out the messages that have ended.
        for id in before.difference(&journal.pending) {
            self.ended.insert(now, *id);
        }
        Ok(())
    }
}

/// What a record says of a message.
enum Change {
    Accepted(MessageId),
    Ended(MessageId),
}

/// Reports the changes in the records, and returns the length of the complete ones. Bytes between records that are not
/// one are skipped.
fn apply_records(bytes: &[u8], report: &mut impl FnMut(Change)) -> u64 {
    let mut complete_bytes = 0;
    for (record, range) in record::decode_all(bytes) {
        match record {
            Record::Accepted(message) => report(Change::Accepted(message.id)),
            Record::Resolved { id, .. } => report(Change::Ended(id)),
            Record::Merged { records, .. } => {
                apply_records(records, report);
            }
            Record::Clock(_)
            | Record::Attempt { .. }
            | Record::Outcome { .. }
            | Record::Notified { .. } => {}
        }
        complete_bytes = range.end as u64;
    }
    complete_bytes
}
