//! Reads the file of a journal, skipping the records that were merged into another journal.

use super::contents::Recovered;
use super::directory::JournalDirectory;
use super::record::JournalPrefix;
use super::replay::{Replayed, replay};
use crate::clock::{ClockReading, Translation};
use std::fs::File;
use std::io::{self, Read};

/// The contents of a journal's file.
pub(super) struct LoadedJournal {
    /// The result of replaying the journal's records, with times converted to this process's clock.
    pub(super) replayed: Replayed,
    /// All bytes of the file.
    pub(super) bytes: Vec<u8>,
    /// The length of the prefix whose live records were merged into another journal.
    pub(super) merged_bytes: usize,
    /// The clock reading to which the times of the journal were converted.
    pub(super) clock: ClockReading,
    /// The conversion that was applied to the times of the journal.
    pub(super) translation: Translation,
}

/// Reads a journal from its open file.
pub(super) fn load(
    directory: &JournalDirectory,
    index: usize,
    file: &mut File,
) -> io::Result<LoadedJournal> {
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    let merged_bytes = bytes_merged_into_others(directory, index, &bytes)?;
    let mut replayed = replay(&bytes[merged_bytes..]);
    let clock = ClockReading::read()?;
    let translation = replayed.translate(&clock);
    log_translation(translation, &replayed);
    Ok(LoadedJournal {
        replayed,
        bytes,
        merged_bytes,
        clock,
        translation,
    })
}

/// The length of the prefix of a journal that was merged into another one, if the process that did so ended before it had
/// truncated this file. If that prefix were read again, messages that have ended since would be treated as new.
fn bytes_merged_into_others(
    directory: &JournalDirectory,
    index: usize,
    bytes: &[u8],
) -> io::Result<usize> {
    let mut merged_bytes = 0;
    if bytes.is_empty() {
        return Ok(merged_bytes);
    }
    for other in directory.journals().filter(|&other| other != index) {
        let other = match std::fs::read(directory.journal_path(other)) {
            Ok(other) => other,
            Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
            Err(e) => return Err(e),
        };
        let matched = replay(&other)
            .merged
            .into_iter()
            .map(|source| source.matched_bytes(bytes));
        merged_bytes = matched.fold(merged_bytes, usize::max);
    }
    Ok(merged_bytes)
}

/// Whether another journal still begins with these bytes, which were merged into journal `index`. A journal that cannot be
/// read may.
pub(super) fn is_source_left(
    directory: &JournalDirectory,
    index: usize,
    source: JournalPrefix,
) -> bool {
    let mut others = directory.journals().filter(|&other| other != index);
    others.any(|other| match std::fs::read(directory.journal_path(other)) {
        Ok(bytes) => source.matched_bytes(&bytes) > 0,
        Err(e) => e.kind() != io::ErrorKind::NotFound,
    })
}

fn log_translation(translation: Translation, replayed: &Replayed) {
    if translation != Translation::Same && replayed.recovered != Recovered::default() {
        let origin = if replayed.clock.is_some() {
            "during another boot of the machine"
        } else {
            "by an older version of the program"
        };
        log::warn!(
            "message journal: written {origin}; its times are converted by the wall clock, so a step of that clock \
             since then shifts deadlines and deduplication windows"
        );
    }
}
