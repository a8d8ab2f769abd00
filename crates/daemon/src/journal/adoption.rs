//! Taking over other journals of the folder: a process that starts beside an old one writes a journal of its own, and
//! adopts the old one's once that process has ended.

use super::adopted::AdoptedJournal;
use super::contents::Recovered;
use super::error::JournalError;
use super::folder::Lock;
use super::load::load;
use super::record::Extent;
use super::writer::JournalWriter;
use bellsill_core::interface::MessageId;

/// What became of the other journals of a folder.
#[derive(Default)]
pub(super) struct Adoption {
    /// What was taken over.
    pub(super) recovered: Recovered,
    /// The messages that ended by the journals that were read.
    pub(super) resolved: Vec<MessageId>,
    /// Another process holds a journal, or one cannot be taken over or emptied yet.
    pub(super) is_incomplete: bool,
}

/// Takes over all journals that no process holds. A journal is taken over completely or not at all: of one half taken,
/// messages that have ended here since would be treated as new.
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
        if let Err(e) = adopt_journal(writer, other, &mut adoption) {
            log::error!("message journal: journal {other} cannot be adopted yet: {e}");
            adoption.is_incomplete = true;
        }
    }
    adoption
}

fn adopt_journal(
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
    // What is known already, from a journal read before, is not taken again.
    let mut recovered = loaded.replayed.recovered;
    recovered
        .messages
        .retain(|message| !writer.contains(message.id));
    recovered
        .pending_notifications
        .retain(|(id, _)| !writer.contains(*id));
    let source = Extent::of(&loaded.bytes);
    if recovered != Recovered::default() {
        if writer.append_adopted(source, &recovered).is_err() {
            // The writer has logged it; the other journal stays as it is.
            adoption.is_incomplete = true;
            return Ok(());
        }
        log::info!(
            "message journal: adopted {} messages of journal {other}",
            recovered.messages.len()
        );
    }
    // From here on the other journal no longer counts, whatever becomes of its file.
    let adopted = AdoptedJournal {
        index: other,
        file,
        source,
        path: writer.folder().journal_path(other),
    };
    writer.remove_adopted(adopted);
    adoption.is_incomplete |= writer.has_removals();
    if let Err(e) = writer.folder().remove_replacement(other) {
        log::warn!("message journal: {e}");
    }
    adoption.recovered.messages.extend(recovered.messages);
    adoption
        .recovered
        .pending_notifications
        .extend(recovered.pending_notifications);
    Ok(())
}
