//! Adoption of the other journals of the state directory. Several processes may share it, as in an upgrade, and each writes
//! a journal of its own. When one of them ends, another one adopts its journal: it takes the lock and the contents, and
//! from then on writes to that journal what happens to the messages in it. This needs no disk space.

use super::adoption_history::{AdoptionCounters, AdoptionHistory, Failure};
use super::contents::Recovered;
use super::journal_set::JournalSet;
use super::load::load;
use super::writer::JournalWriter;
use crate::clock::{self, NANOS_PER_MS};
use crate::file_lock::Lock;
use bellsill_core::interface::{MessageId, Nanos};
use std::fs::File;
use std::io;

/// The result of adopting the other journals of the state directory.
#[derive(Default)]
pub(super) struct AdoptionResult {
    /// The pending messages and notifications of the adopted journals.
    pub(super) recovered: Recovered,
    /// The ids of messages that ended according to the journals that were read.
    pub(super) resolved: Vec<MessageId>,
    /// Another process holds a journal, one could not be adopted, or the file of an adopted one is still there.
    pub(super) is_incomplete: bool,
}

/// Adopts journals that no process holds.
pub(super) struct Adopter {
    /// The disk quota that the journals share.
    capacity_bytes: u64,
    history: AdoptionHistory,
    /// Whether the state directory could not be listed the last time.
    directory_fails: bool,
}

impl Adopter {
    /// Creates an adopter for the journals of a directory with this disk quota.
    pub(super) fn new(capacity_bytes: u64) -> Adopter {
        Adopter {
            capacity_bytes,
            history: AdoptionHistory::default(),
            directory_fails: false,
        }
    }

    pub(super) fn counters(&self) -> AdoptionCounters {
        self.history.counters()
    }

    /// Adopts all journals that no process holds, then merges them as far as the disk quota has space.
    pub(super) fn adopt(&mut self, journals: &mut JournalSet) -> AdoptionResult {
        let mut result = AdoptionResult::default();
        match journals.other_journals() {
            Ok(others) => self.adopt_all(journals, &others, &mut result),
            Err(e) => {
                self.directory_failed(&e);
                result.is_incomplete = true;
            }
        }
        journals.merge_adopted();
        result.is_incomplete |= journals.has_adopted();
        result
    }

    fn adopt_all(
        &mut self,
        journals: &mut JournalSet,
        others: &[usize],
        result: &mut AdoptionResult,
    ) {
        for &other in others {
            if let Err(e) = self.adopt_one(journals, other, result) {
                if self.history.failed(other, clock::now()) == Failure::First {
                    log::error!("message journal: cannot adopt journal {other}, will retry: {e}");
                }
                result.is_incomplete = true;
            }
        }
        self.history.checked(clock::now());
        self.directory_fails = false;
    }

    /// Logs that the state directory cannot be listed, only once until it can be again.
    fn directory_failed(&mut self, error: &io::Error) {
        if !std::mem::replace(&mut self.directory_fails, true) {
            log::error!(
                "message journal: cannot look for journals of ended processes, will retry: {error}"
            );
        }
    }

    fn adopt_one(
        &mut self,
        journals: &mut JournalSet,
        other: usize,
        result: &mut AdoptionResult,
    ) -> io::Result<()> {
        let directory = journals.directory().clone();
        let Some(mut file) = directory.open_other(other)? else {
            self.history.not_unowned(other);
            return Ok(());
        };
        if directory.lock_journal(other, &file)? == Lock::HeldElsewhere {
            self.history.not_unowned(other);
            result.is_incomplete = true;
            return Ok(());
        }
        let written_at = last_write(&file)?;
        let loaded = load(&directory, other, &mut file)?;
        if let Err(e) = directory.remove_replacement(other) {
            log::warn!(
                "message journal: cannot remove the replacement file of journal {other}: {e}"
            );
        }
        let mut journal = JournalWriter::new(directory, other, file, &loaded, self.capacity_bytes);
        if !journal.is_obsolete()
            && let Err(e) = journal.repair(&loaded)
        {
            log::warn!("message journal: adopted journal {other} without rewriting its file: {e}");
        }
        let recovered = journals.adopt(journal, loaded.replayed.recovered);
        if recovered != Recovered::default() {
            self.record(other, written_at, &recovered);
        }
        result.resolved.extend(loaded.replayed.resolved);
        result.recovered.extend(recovered);
        Ok(())
    }

    /// Counts and logs an adopted journal.
    fn record(&mut self, other: usize, written_at: Nanos, recovered: &Recovered) {
        let unowned = self.history.adopted(other, written_at, clock::now());
        log::info!(
            "message journal: adopted {} messages from journal {other}, with {} pending notifications, without an owner \
             for {} ms at most",
            recovered.messages.len(),
            recovered.pending_notifications.len(),
            unowned.div_ceil(NANOS_PER_MS)
        );
    }
}

/// The time on the dispatcher's clock when a file was written last. A step of the wall clock since then shifts it.
fn last_write(file: &File) -> io::Result<Nanos> {
    let elapsed = file.metadata()?.modified()?.elapsed().unwrap_or_default();
    Ok(clock::now().saturating_sub(elapsed.as_nanos() as Nanos))
}
