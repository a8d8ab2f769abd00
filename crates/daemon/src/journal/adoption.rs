//! Adoption of the other journals of the state directory. A process that starts while an older one still runs writes a
//! journal of its own, and adopts the journal of the older process once that has exited.

use super::adopted::AdoptedJournal;
use super::contents::Recovered;
use super::directory::Lock;
use super::error::JournalError;
use super::load::load;
use super::record::JournalPrefix;
use super::writer::JournalWriter;
use bellsill_core::interface::MessageId;

/// The result of adopting the other journals of the state directory.
#[derive(Default)]
pub(super) struct AdoptionResult {
    /// The pending messages and notifications of the adopted journals.
    pub(super) recovered: Recovered,
    /// The ids of messages that ended according to the journals that were read.
    pub(super) resolved: Vec<MessageId>,
    /// Another process holds a journal, or one could not be adopted or truncated; adoption has to be retried.
    pub(super) is_incomplete: bool,
}

/// Adopts all journals that no process holds. A journal is adopted completely or not at all: a partly adopted one would
/// be read again, and messages that have ended here since would be treated as new.
pub(super) fn adopt(writer: &mut JournalWriter) -> AdoptionResult {
    writer.retry_removals();
    let mut result = AdoptionResult {
        is_incomplete: writer.has_removals(),
        ..AdoptionResult::default()
    };
    for other in writer.directory().other_journals(writer.index()) {
        if writer.awaits_removal(other) {
            continue;
        }
        if let Err(e) = adopt_one(writer, other, &mut result) {
            log::error!("message journal: cannot adopt journal {other}, will retry: {e}");
            result.is_incomplete = true;
        }
    }
    result
}

fn adopt_one(
    writer: &mut JournalWriter,
    other: usize,
    result: &mut AdoptionResult,
) -> Result<(), JournalError> {
    let Some(mut file) = writer.directory().open_other(other)? else {
        return Ok(());
    };
    if writer.directory().lock_journal(other, &file)? == Lock::HeldElsewhere {
        result.is_incomplete = true;
        return Ok(());
    }
    let loaded = load(writer.directory(), other, &mut file)?;
    result.resolved.extend(loaded.replayed.resolved);
    // Messages that this journal already has, adopted from another one, are not added again.
    let mut recovered = loaded.replayed.recovered;
    recovered
        .messages
        .retain(|message| !writer.contains(message.id));
    recovered
        .pending_notifications
        .retain(|(id, _)| !writer.contains(*id));
    let source = JournalPrefix::of(&loaded.bytes);
    if recovered != Recovered::default() {
        if writer.append_adopted(source, &recovered).is_err() {
            // The writer has logged the error; the other journal is left unchanged.
            result.is_incomplete = true;
            return Ok(());
        }
        log::info!(
            "message journal: adopted {} messages from journal {other}",
            recovered.messages.len()
        );
    }
    // The other journal's records are now in this one: readers skip them even if its file cannot be truncated or
    // removed.
    let adopted = AdoptedJournal {
        index: other,
        file,
        source,
        path: writer.directory().journal_path(other),
    };
    writer.remove_adopted(adopted);
    result.is_incomplete |= writer.has_removals();
    if let Err(e) = writer.directory().remove_replacement(other) {
        log::warn!("message journal: cannot remove the replacement file of journal {other}: {e}");
    }
    result.recovered.messages.extend(recovered.messages);
    result
        .recovered
        .pending_notifications
        .extend(recovered.pending_notifications);
    Ok(())
}
