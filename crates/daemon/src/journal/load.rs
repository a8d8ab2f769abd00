//! Reads the file of a journal, leaving out what another journal has taken over.

use super::contents::Recovered;
use super::folder::JournalFolder;
use super::replay::{Replayed, replay};
use crate::clock::{ClockReading, Translation};
use std::fs::File;
use std::io::{self, Read};

/// A journal's file as it was read.
pub(super) struct LoadedJournal {
    /// What its records say, with times on this process's clock.
    pub(super) replayed: Replayed,
    /// All bytes of the file.
    pub(super) bytes: Vec<u8>,
    /// How many of its first bytes another journal has taken over.
    pub(super) adopted_bytes: usize,
    /// The clock that its times were put on.
    pub(super) clock: ClockReading,
    /// How they were put on it.
    pub(super) translation: Translation,
}

/// Reads a journal from its open file.
pub(super) fn load(
    folder: &JournalFolder,
    index: usize,
    file: &mut File,
) -> io::Result<LoadedJournal> {
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    let adopted_bytes = bytes_adopted_by_others(folder, index, &bytes)?;
    let mut replayed = replay(&bytes[adopted_bytes..]);
    let clock = ClockReading::take();
    let translation = replayed.translate(&clock);
    warn_of_translation(translation, &replayed);
    Ok(LoadedJournal {
        replayed,
        bytes,
        adopted_bytes,
        clock,
        translation,
    })
}

/// How many of a journal's first bytes were taken over into another one, by a process that ended before it had emptied
/// this one. Read again, messages that have ended since would be treated as new.
fn bytes_adopted_by_others(
    folder: &JournalFolder,
    index: usize,
    bytes: &[u8],
) -> io::Result<usize> {
    let mut adopted_bytes = 0;
    if bytes.is_empty() {
        return Ok(adopted_bytes);
    }
    for other in folder.other_journals(index) {
        let other = match std::fs::read(folder.journal_path(other)) {
            Ok(other) => other,
            Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
            Err(e) => return Err(e),
        };
        let covered = replay(&other)
            .adopted
            .into_iter()
            .map(|source| source.covers(bytes));
        adopted_bytes = covered.fold(adopted_bytes, usize::max);
    }
    Ok(adopted_bytes)
}

fn warn_of_translation(translation: Translation, replayed: &Replayed) {
    if translation != Translation::Same && replayed.recovered != Recovered::default() {
        let why = if replayed.clock.is_some() {
            "another boot of the machine"
        } else {
            "an older version of the program"
        };
        log::warn!(
            "message journal: it was written by {why}: its times are translated by the wall clock, so a step of that \
             clock in between shifts deadlines and deduplication windows"
        );
    }
}
