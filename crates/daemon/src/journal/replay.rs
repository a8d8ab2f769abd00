//! Reads a journal: what still counts of its records, and what stands between them that is none.

use super::record::{self, Extent, Record};
use super::{JournaledMessage, Recovered};
use crate::clock::{ClockReading, Translation};
use crate::recent_ids;
use bellsill_core::interface::MessageId;
use std::collections::{BTreeMap, VecDeque};

/// What a journal's bytes came to.
#[derive(Debug, Default)]
pub struct Replayed {
    pub kept: Recovered,
    /// How many bytes come before the first that belong to no whole record.
    pub good: usize,
    /// Bytes of no record that whole records follow: damage, where a torn end would be what a kill leaves.
    pub damaged: usize,
    /// The clock that its times were on; none in an older journal.
    pub clock: Option<ClockReading>,
    /// Journals whose records were taken over into this one.
    pub adopted: Vec<Extent>,
    /// The messages of which it says that they ended, the latest last.
    pub ended: VecDeque<MessageId>,
}

/// Collects what still counts while records are read in order.
#[derive(Default)]
struct Replay {
    messages: Vec<Option<JournaledMessage>>,
    place: BTreeMap<MessageId, usize>,
    owed: Vec<(MessageId, super::Resolution)>,
    clock: Option<ClockReading>,
    adopted: Vec<Extent>,
    ended: VecDeque<MessageId>,
}

impl Replay {
    fn message(&mut self, id: MessageId) -> Option<&mut JournaledMessage> {
        self.messages[*self.place.get(&id)?].as_mut()
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Clock(reading) => self.clock = Some(reading),
            // Met twice, it was taken over twice: the first has the attempts.
            Record::Taken(message) if self.place.contains_key(&message.id) => {}
            Record::Taken(message) => {
                self.place.insert(message.id, self.messages.len());
                self.messages.push(Some(message));
            }
            Record::Attempt { id, attempt } => {
                self.message(id)
                    .into_iter()
                    .for_each(|message| message.attempts.push(attempt.clone()));
            }
            Record::Outcome { id, may_have_run } => {
                if let Some(attempt) = self.message(id).and_then(|m| m.attempts.last_mut()) {
                    attempt.may_have_run = Some(may_have_run);
                }
            }
            Record::Ended { id, ending } => {
                self.ended.push_back(id);
                if self.ended.len() > recent_ids::MOST {
                    self.ended.pop_front();
                }
                if let Some(place) = self.place.remove(&id) {
                    self.messages[place] = None;
                }
                self.owed.extend(ending.map(|ending| (id, ending)));
            }
            Record::Told { id } => self.owed.retain(|owed| owed.0 != id),
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

/// Reads all whole records. Behind bytes that are none the next whole record is looked for.
pub fn replay(bytes: &[u8]) -> Replayed {
    let mut all = Replay::default();
    let (mut at, mut good, mut damaged) = (0, None, 0);
    let mut passed_over = 0;
    while at < bytes.len() {
        match record::first(&bytes[at..]) {
            Some((record, length)) => {
                all.apply(record);
                damaged += std::mem::take(&mut passed_over);
                at += length;
            }
            None => {
                good.get_or_insert(at);
                passed_over += 1;
                at += 1;
            }
        }
    }
    Replayed {
        kept: Recovered {
            messages: all.messages.into_iter().flatten().collect(),
            pending_notifications: all.owed,
        },
        good: good.unwrap_or(bytes.len()),
        damaged,
        clock: all.clock,
        adopted: all.adopted,
        ended: all.ended,
    }
}

impl Replayed {
    /// Puts all times on the clock of this reading, and says how that was done.
    pub fn translate(&mut self, reading: &ClockReading) -> Translation {
        let translation = match &self.clock {
            Some(clock) => reading.translation_from(clock),
            None => reading.translation_from_wall(),
        };
        for message in &mut self.kept.messages {
            message.deadline = translation.apply(message.deadline);
            for attempt in &mut message.attempts {
                attempt.sent_at = translation.apply(attempt.sent_at);
            }
        }
        translation
    }
}
