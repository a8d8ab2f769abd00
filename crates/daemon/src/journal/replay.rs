//! Reads a journal: which of its records still count, and which bytes between them are damaged.

use super::contents::{JournaledMessage, Recovered, Resolution};
use super::record::{self, Extent, Record};
use crate::clock::{ClockReading, Translation};
use crate::recent_ids::MAX_RECENT_IDS;
use bellsill_core::interface::MessageId;
use std::collections::{BTreeMap, VecDeque};

/// What the bytes of a journal say.
#[derive(Debug, Default)]
pub(super) struct Replayed {
    pub(super) recovered: Recovered,
    /// How many bytes come before the first that belong to no complete record.
    pub(super) complete_bytes: usize,
    /// Bytes of no record that complete records follow: damage, whereas a kill leaves a torn tail.
    pub(super) damaged_bytes: usize,
    /// The clock that its times were on; `None` in an older journal.
    pub(super) clock: Option<ClockReading>,
    /// Journals whose records were taken over into this one.
    pub(super) adopted: Vec<Extent>,
    /// The messages that ended by its records, the latest last.
    pub(super) resolved: VecDeque<MessageId>,
}

/// Collects what still counts while records are read in order.
#[derive(Default)]
struct Replay {
    messages: Vec<Option<JournaledMessage>>,
    /// Where a pending message is in `messages`.
    positions: BTreeMap<MessageId, usize>,
    pending_notifications: Vec<(MessageId, Resolution)>,
    clock: Option<ClockReading>,
    adopted: Vec<Extent>,
    resolved: VecDeque<MessageId>,
}

impl Replay {
    fn message(&mut self, id: MessageId) -> Option<&mut JournaledMessage> {
        self.messages[*self.positions.get(&id)?].as_mut()
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Clock(reading) => self.clock = Some(reading),
            // A second record means that it was adopted twice: the first one has the attempts.
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
            Record::Notified { id } => self.pending_notifications.retain(|pending| pending.0 != id),
            Record::Adopted { source, records } => {
                self.adopted.push(source);
                let mut rest = records;
                while let Some((record, length)) = record::first(rest) {
                    self.apply(record);
                    rest = &rest[length..];
                }
            }
        }
    }
}

/// Reads all complete records. After bytes that are none it searches for the next complete record.
pub(super) fn replay(bytes: &[u8]) -> Replayed {
    let mut replay = Replay::default();
    let (mut at, mut complete_bytes, mut damaged_bytes) = (0, None, 0);
    let mut skipped_bytes = 0;
    while at < bytes.len() {
        match record::first(&bytes[at..]) {
            Some((record, length)) => {
                replay.apply(record);
                damaged_bytes += std::mem::take(&mut skipped_bytes);
                at += length;
            }
            None => {
                complete_bytes.get_or_insert(at);
                skipped_bytes += 1;
                at += 1;
            }
        }
    }
    Replayed {
        recovered: Recovered {
            messages: replay.messages.into_iter().flatten().collect(),
            pending_notifications: replay.pending_notifications,
        },
        complete_bytes: complete_bytes.unwrap_or(bytes.len()),
        damaged_bytes,
        clock: replay.clock,
        adopted: replay.adopted,
        resolved: replay.resolved,
    }
}

impl Replayed {
    /// Puts all times on the clock of this reading, and says how that was done.
    pub(super) fn translate(&mut self, reading: &ClockReading) -> Translation {
        let translation = match &self.clock {
            Some(clock) => reading.translation_from(clock),
            None => reading.translation_from_wall(),
        };
        for message in &mut self.recovered.messages {
            message.deadline = translation.apply(message.deadline);
            for attempt in &mut message.attempts {
                attempt.sent_at = translation.apply(attempt.sent_at);
            }
        }
        translation
    }
}
