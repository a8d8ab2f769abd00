//! Adoption of the other journals of the folder. A process that starts while an older one still runs writes a journal
//! of its own, and adopts the journal of the older process once that has exited.

use super::adopted::AdoptedJournal;
use super::contents::Recovered;
use super::error::JournalError;
use super::folder::Lock;
use super::load::load;
use super::record::JournalPrefix;
use super::writer::JournalWriter;
use bellsill_core::interface::MessageId;

/// The result of adopting the other journals of a folder.
#[derive(Default)]
pub(super) struct Adoption {
    /// The pending messages and notifications of the adopted journals.
    pub(super) recovered: Recovered,
    /// The ids of messages that ended according to the journals that were read.
    pub(super) resolved: Vec<MessageId>,
    /// Another process holds a journal, or one could not be adopted or truncated; adoption has to be retried.
    pub(super) is_incomplete: bool,
}

/// Adopts all journals that no process holds. A journal is adopted completely or not at all: a partly adopted one would
/// be read again, and messages that have ended here since would be treated as new.
pub(super) fn adopt(writer: &mut JournalWriter) -> Adoption {
    writer.retry_removals();
    let mut adoption = Adoption {
        is_incomplete: writer.has_removals(),
        ..Adoption::default()
    };
    for other in writer.folder().other_journals(writer.index()) {
        if writer.awaits_removal(other) {
            continue;
        }
        if let Err(e) = adopt_one(writer, other, &mut adoption) {
            log::error!("message journal: cannot adopt journal {other}, will retry: {e}");
            adoption.is_incomplete = true;
        }
    }
    adoption
}

fn adopt_one(
    writer: &mut JournalWriter,
    other: usize,
    adoption: &mut Adoption,
) -> Result<(), JournalError> {
    let Some(mut file) = writer.folder().open_other(other)? else {
        return Ok(());
    };
    if writer.folder().lock_journal(other, &file) == Lock::HeldElsewhere {
        adoption.is_incomplete = true;
        return Ok(());
    }
    let loaded = load(writer.folder(), other, &mut file)?;
    adoption.resolved.extend(loaded.replayed.resolved);
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
            adoption.is_incomplete = true;
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
        path: writer.folder().journal_path(other),
    };
    writer.remove_adopted(adopted);
    adoption.is_incomplete |= writer.has_removals();
    if let Err(e) = writer.folder().remove_replacement(other) {
        log::warn!("message journal: cannot remove the replacement file of journal {other}: {e}");
    }
    adoption.recovered.messages.extend(recovered.messages);
    adoption
        .recovered
        .pending_notifications
        .extend(recovered.pending_notifications);
    Ok(())
}
