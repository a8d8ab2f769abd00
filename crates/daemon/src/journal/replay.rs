//! Replays the records of a journal to the state that they describe, and finds damaged bytes between them.

use super::contents::{JournaledMessage, Recovered, Resolution};
use super::record::{self, JournalPrefix, Record};
use crate::clock::{ClockReading, Translation};
use crate::recent_ids::MAX_RECENT_IDS;
use bellsill_core::interface::MessageId;
use std::collections::{BTreeMap, VecDeque};

/// The result of replaying a journal.
#[derive(Debug, Default)]
pub(super) struct Replayed {
    pub(super) recovered: Recovered,
    /// The number of bytes up to the end of the last complete record. A torn tail may follow.
    pub(super) complete_bytes: usize,
    /// The number of bytes that belong to no record but are followed by complete records. They are damage: a killed
    /// process leaves only a torn tail.
    pub(super) damaged_bytes: usize,
    /// The clock of the journal's times; `None` in a journal of an older version.
    pub(super) clock: Option<ClockReading>,
    /// The prefixes of other journals that were merged into this one.
    pub(super) merged: Vec<JournalPrefix>,
    /// The most recent messages that ended according to the records, oldest first.
    pub(super) resolved: VecDeque<MessageId>,
}

/// The state that is built up while records are applied in order.
#[derive(Default)]
struct Replay {
    messages: Vec<Option<JournaledMessage>>,
    /// The index of each pending message in `messages`.
    positions: BTreeMap<MessageId, usize>,
    /// By message: compaction can write the end of a message just before its own record is appended.
    pending_notifications: BTreeMap<MessageId, Resolution>,
    clock: Option<ClockReading>,
    merged: Vec<JournalPrefix>,
    resolved: VecDeque<MessageId>,
}

impl Replay {
    fn message(&mut self, id: MessageId) -> Option<&mut JournaledMessage> {
        self.messages[*self.positions.get(&id)?].as_mut()
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Clock(reading) => {
                let earlier_messages = self.messages.iter_mut().flatten();
                translate_times(earlier_messages, translation(self.clock.as_ref(), &reading));
                self.clock = Some(reading);
            }
            // A repeated record means that the message was merged twice; the first copy has the attempts.
            Record::Accepted(message) if self.positions.contains_key(&message.id) => {}
            Record::Accepted(message) => {
                self.positions.insert(message.id, self.messages.len());
                self.messages.push(Some(message));
            }
            Record::Attempt { id, attempt } => {
                if let Some(message) = self.message(id) {
                    message.attempts.push(attempt);
                }
            }
            Record::Outcome { id, may_have_run } => {
                if let Some(attempt) = self.message(id).and_then(|m| m.attempts.last_mut()) {
                    attempt.may_have_run = Some(may_have_run);
                }
            }
            Record::Resolved { id, resolution } => {
                self.resolved.push_back(id);
                if self.resolved.len() > MAX_RECENT_IDS {
                    self.resolved.pop_front();
                }
                if let Some(position) = self.positions.remove(&id) {
                    self.messages[position] = None;
                }
                self.pending_notifications
                    .extend(resolution.map(|resolution| (id, resolution)));
            }
            Record::Notified { id } => {
                self.pending_notifications.remove(&id);
            }
            Record::Merged { source, records } => {
                self.merged.push(source);
                let mut rest = records;
                while let Some((record, length)) = record::decode_first(rest) {
                    self.apply(record);
                    rest = &rest[length..];
                }
            }
        }
    }
}

/// Replays all complete records. After bytes that are not a complete record it searches for the next one.
pub(super) fn replay(bytes: &[u8]) -> Replayed {
    let mut replay = Replay::default();
    let (mut complete_bytes, mut damaged_bytes) = (0, 0);
    for (record, range) in record::decode_all(bytes) {
        replay.apply(record);
        damaged_bytes += range.start - complete_bytes;
        complete_bytes = range.end;
    }
    Replayed {
        recovered: Recovered {
            messages: replay.messages.into_iter().flatten().collect(),
            pending_notifications: replay.pending_notifications.into_iter().collect(),
        },
        complete_bytes,
        damaged_bytes,
        clock: replay.clock,
        merged: replay.merged,
        resolved: replay.resolved,
    }
}

impl Replayed {
    /// Converts all times to the clock of this reading, and returns the conversion that was applied.
    pub(super) fn translate(&mut self, reading: &ClockReading) -> Translation {
        let translation = translation(self.clock.as_ref(), reading);
        translate_times(&mut self.recovered.messages, translation);
        translation
    }
}

/// The conversion of times on the clock of an earlier reading, or without one on the wall clock, to the clock of this
/// reading.
fn translation(earlier: Option<&ClockReading>, reading: &ClockReading) -> Translation {
    match earlier {
        Some(earlier) => reading.translation_from(earlier),
        None => reading.translation_from_wall(),
    }
}

fn translate_times<'a>(
    messages: impl IntoIterator<Item = &'a mut JournaledMessage>,
    translation: Translation,
) {
    for message in messages {
        message.deadline = translation.apply(message.deadline);
        for attempt in &mut message.attempts {
            attempt.sent_at = translation.apply(attempt.sent_at);
        }
    }
}
