//! The message journal: what this dispatcher has accepted and what was done for it, in one file of the folder that
//! lasts. It is the truth over restarts.
//!
//! A record is whole or is not there. Records are only appended, and nothing is appended behind bytes that are not known
//! to be whole records: a file that cannot be cut back to those is replaced by a new one, and until that is done no new
//! message is accepted and no attempt begins. What has happened all the same is kept and written before anything else.
//! Nothing is synced: what is written survives the process, and the loss of the machine loses it anyway.
//!
//! Once much of the file is over, it is written anew with what still counts; old and new stand side by side for that
//! moment and together stay under the disk limit.

mod adoption;
mod live;
mod record;
mod replay;

use crate::clock::{ClockReading, Translation};
use adoption::{Emptying, Journals, Neighbours};
use bellsill_core::interface::{MessageId, Nanos};
use live::LiveRecords;
use record::Extent;
use replay::{Replayed, replay};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::Path;

/// Files count in whole blocks.
const BLOCK: u64 = 512;
/// The file is not written anew before it is so long, and so many times as long as what still counts.
const ANEW_FROM: u64 = 256 * 1024;
const ANEW_TIMES: u64 = 4;
/// What could not be written is kept up to so many bytes; beyond that the file is written anew as a whole.
const UNWRITTEN_MOST: usize = 64 * 1024;

/// How a message ended that was not relayed: the notice that it is owed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Resolution {
    /// Its client may send it again after this time.
    Rejected {
        /// In nanoseconds; zero: at once.
        retry_after: Nanos,
    },
    /// It failed.
    Failed,
}

/// An attempt whose first byte may have been written.
#[derive(Clone, Debug, PartialEq)]
pub struct JournaledAttempt {
    pub sent_at: Nanos,
    pub zone: String,
    /// None: no outcome is known.
    pub may_have_run: Option<bool>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct JournaledMessage {
    pub id: MessageId,
    pub class: String,
    pub key: u64,
    pub destination: u64,
    /// On the dispatcher's clock.
    pub deadline: Nanos,
    pub idempotency_key: String,
    pub body: Vec<u8>,
    pub attempts: Vec<JournaledAttempt>,
}

/// What a journal holds that still counts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// In the order in which they were taken.
    pub messages: Vec<JournaledMessage>,
    pub pending_notifications: Vec<(MessageId, Resolution)>,
}

/// Nothing was written: the disk limit leaves no place, or the disk took no more.
#[derive(Debug, PartialEq)]
pub struct NoRoom;

/// It is not written yet. It is kept, and will be before anything else.
#[derive(Debug, PartialEq)]
pub struct NotYetWritten;

pub struct MessageJournal {
    journals: Journals,
    /// Its place among the journals of the folder.
    own: usize,
    file: File,
    /// How many bytes of the file are known to be whole records.
    length: u64,
    /// Others may stand behind them.
    torn: bool,
    /// The clock that the times in the file are on.
    clock: ClockReading,
    live: LiveRecords,
    /// Records of what has happened that could not be written, in order; `live` has them already.
    unwritten: Vec<u8>,
    /// There were too many of them: only a new file catches up.
    must_write_anew: bool,
    /// The last write failed.
    failing: bool,
    /// Messages that had ended before this process, as far as the files still said.
    ended: Vec<MessageId>,
    /// Journals taken over that still have to be emptied.
    emptying: Vec<Emptying>,
    /// The disk limit, which this journal shares with everything else in the folder.
    room: u64,
    neighbours: Neighbours,
}

fn blocks(length: u64) -> u64 {
    length.div_ceil(BLOCK) * BLOCK
}

impl MessageJournal {
    /// Opens the first journal of this folder that no other process holds and tells what it holds; `room` is the disk
    /// limit in bytes. The others are taken in by [`MessageJournal::adopt`].
    pub fn open(folder: &Path, room: u64) -> io::Result<(MessageJournal, Recovered)> {
        std::fs::create_dir_all(folder)?;
        let journals = Journals::new(folder);
        let (own, mut file) = journals.open_own()?;
        // Left by a process that was killed while it wrote the file anew: the old one still counts.
        journals.remove_next(own)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let spent = journals.adopted_by_others(own, &bytes)?;
        let mut read = replay(&bytes[spent..]);
        let clock = ClockReading::take();
        let translation = read.translate(&clock);
        warn_of_translation(translation, &read);
        let mut journal = MessageJournal {
            journals,
            own,
            file,
            length: (spent + read.good) as u64,
            torn: spent + read.good < bytes.len(),
            clock: read.clock.clone().unwrap_or_else(|| clock.clone()),
            live: LiveRecords::of(&read.kept),
            unwritten: vec![],
            must_write_anew: false,
            failing: false,
            ended: read.ended.iter().copied().collect(),
            emptying: vec![],
            room,
            neighbours: Neighbours::new(),
        };
        journal.repair(&read, &clock, spent > 0 || translation != Translation::Same)?;
        Ok((journal, read.kept))
    }

    /// Makes the file one of whole records whose times are on one clock.
    fn repair(&mut self, read: &Replayed, now: &ClockReading, stale: bool) -> io::Result<()> {
        if read.damaged > 0 {
            log::error!(
                "message journal: {} bytes between its records are none; what they said is lost, all else was read",
                read.damaged
            );
        }
        if read.damaged > 0 || stale || read.clock.is_none() {
            self.clock = now.clone();
            return self.write_anew();
        }
        if self.torn {
            log::warn!("message journal: an unfinished record at its end was dropped");
            self.truncate()?;
        }
        Ok(())
    }

    /// Takes in the journals of the folder that no process holds any more: their messages and owed notices are written
    /// into this one, and only then are they removed. True beside: another one is still held, or cannot be taken in yet.
    /// One is taken in whole or not at all: of one half taken, messages that have ended here since would be taken for
    /// new. What is known already is not taken again.
    pub fn adopt(&mut self) -> (Recovered, bool) {
        self.emptying.retain_mut(|emptying| !emptying.try_again());
        let (mut all, mut again) = (Recovered::default(), !self.emptying.is_empty());
        for other in self.journals.others(self.own) {
            if self
                .emptying
                .iter()
                .any(|emptying| emptying.journal == other)
            {
                continue;
            }
            match self.adopt_one(other) {
                Ok(Adoption::Nothing) => {}
                Ok(Adoption::Held) => again = true,
                Ok(Adoption::Taken(kept)) => {
                    again |= !self.emptying.is_empty();
                    all.messages.extend(kept.messages);
                    all.pending_notifications.extend(kept.pending_notifications);
                }
                Err(e) => {
                    log::error!("message journal: another's cannot be taken over yet: {e}");
                    again = true;
                }
            }
        }
        (all, again)
    }

    fn adopt_one(&mut self, other: usize) -> io::Result<Adoption> {
        let Some(mut file) = self.journals.open_other(other)? else {
            return Ok(Adoption::Nothing);
        };
        if !adoption::lock(&file) || !adoption::is_at(&file, &self.journals.path(other)) {
            return Ok(Adoption::Held);
        }
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let spent = self.journals.adopted_by_others(other, &bytes)?;
        let mut read = replay(&bytes[spent..]);
        let translation = read.translate(&ClockReading::take());
        warn_of_translation(translation, &read);
        self.ended.extend(read.ended);
        let mut kept = read.kept;
        kept.messages.retain(|m| !self.live.contains(m.id));
        kept.pending_notifications
            .retain(|(id, _)| !self.live.contains(*id));
        let live = LiveRecords::of(&kept);
        if live.total() > 0 {
            let record = record::adopted(Extent::of(&bytes), &live.bytes());
            if self.append(&record).is_err() {
                return Ok(Adoption::Held);
            }
            self.live.append(live);
            log::info!(
                "message journal: {} messages of journal {other} taken over",
                kept.messages.len()
            );
        }
        // From here on it counts no more, whatever becomes of the file.
        let mut emptying = Emptying {
            journal: other,
            file,
            source: Extent::of(&bytes),
            at: self.journals.path(other),
        };
        if !emptying.try_again() {
            self.emptying.push(emptying);
        }
        self.journals
            .remove_next(other)
            .unwrap_or_else(|e| log::warn!("message journal: {e}"));
        Ok(Adoption::Taken(kept))
    }

    /// The messages that had ended before, by the journals read since the last call.
    pub fn take_resolved(&mut self) -> Vec<MessageId> {
        std::mem::take(&mut self.ended)
    }

    /// A new message, before its client hears of it. A quarter of the room is left to what follows for the messages held, also
    /// beside another process's journal.
    pub fn append_accepted(&mut self, message: &JournaledMessage) -> Result<(), NoRoom> {
        let record = record::taken(message);
        let size = record.len() as u64;
        if 2 * (blocks(self.live.total() + size) + BLOCK) > self.room / 4 * 3 {
            return Err(NoRoom);
        }
        if !self.leaves_a_quarter(size) && self.gains() {
            // Where it cannot be written anew now, the message is refused.
            let _ = self.write_anew();
        }
        if !self.leaves_a_quarter(size) {
            return Err(NoRoom);
        }
        self.append(&record)?;
        self.live.put(message.id, record);
        Ok(())
    }

    /// An attempt, before its first byte.
    pub fn append_attempt(&mut self, id: MessageId, at: Nanos, zone: &str) -> Result<(), NoRoom> {
        let record = record::attempt(id, at, zone);
        self.append(&record)?;
        self.live.extend(id, &record);
        Ok(())
    }

    pub fn append_outcome(
        &mut self,
        id: MessageId,
        may_have_run: bool,
    ) -> Result<(), NotYetWritten> {
        let record = record::outcome(id, may_have_run);
        self.live.extend(id, &record);
        self.append_or_keep(record)
    }

    /// The end of a message; a notice is owed from then on, if an ending is named.
    pub fn append_resolved(
        &mut self,
        id: MessageId,
        ending: Option<Resolution>,
    ) -> Result<(), NotYetWritten> {
        let record = record::ended(id, ending);
        self.live.remove(id);
        if ending.is_some() {
            self.live.put(id, record.clone());
        }
        self.append_or_keep(record)
    }

    /// The platform has taken the message's notice.
    pub fn append_notified(&mut self, id: MessageId) -> Result<(), NotYetWritten> {
        self.live.remove(id);
        self.append_or_keep(record::told(id))
    }

    /// Whether writing failed last, or something that has happened is not written yet.
    pub fn has_unwritten(&self) -> bool {
        self.failing || self.torn || self.must_write_anew || !self.unwritten.is_empty()
    }

    /// Writes what could not be written before. With nothing to write, it finds out whether writes go again.
    pub fn write_pending(&mut self) -> Result<(), NoRoom> {
        if self.must_write_anew {
            return self.replace_file();
        }
        if !self.unwritten.is_empty() {
            let records = std::mem::take(&mut self.unwritten);
            let written = self
                .make_room(records.len() as u64)
                .and_then(|()| self.write(&records));
            if written.is_err() && !self.must_write_anew {
                self.unwritten = records;
            }
            return written;
        }
        if self.failing || self.torn {
            // That no message's notice was told says nothing.
            return self.write(&record::told(MessageId(0)));
        }
        Ok(())
    }

    /// What has happened is written, or else kept until it can be.
    fn append_or_keep(&mut self, record: Vec<u8>) -> Result<(), NotYetWritten> {
        if self.append(&record).is_ok() {
            return Ok(());
        }
        if self.unwritten.len() + record.len() > UNWRITTEN_MOST {
            self.must_write_anew = true;
            self.unwritten.clear();
        }
        if !self.must_write_anew {
            self.unwritten.extend(record);
        }
        Err(NotYetWritten)
    }

    fn append(&mut self, record: &[u8]) -> Result<(), NoRoom> {
        if self.must_write_anew || !self.unwritten.is_empty() {
            self.write_pending()?;
        }
        self.make_room(record.len() as u64)?;
        self.write(record)
    }

    /// Whether this much more leaves a quarter of the room to itself and another process's journal; without one, the records
    /// that still count are bounded instead.
    fn leaves_a_quarter(&mut self, more: u64) -> bool {
        let all = blocks(self.length + more) + self.others();
        !self.neighbours.has_journals() || all <= self.room / 4 * 3
    }

    /// Whether much of the file is over.
    fn gains(&self) -> bool {
        self.length > 2 * self.live.total()
    }

    /// What all else in the folder takes of the disk limit.
    fn others(&mut self) -> u64 {
        self.neighbours.bytes(&self.journals, self.own)
    }

    /// Whether the file, this much longer, could still be written anew beside itself.
    fn could_be_written_anew(&mut self, more: u64) -> bool {
        let both = blocks(self.length + more) + blocks(self.live.total() + more);
        both + 2 * BLOCK + self.others() <= self.room
    }

    /// Whether the file may be this much longer. Beside another process's journal, which will be gone soon, it need not leave
    /// the place to be written anew: two such places would leave hardly any for messages.
    fn fits(&mut self, more: u64) -> bool {
        let others = self.others();
        match self.neighbours.has_journals() {
            true => blocks(self.length + more) + 2 * BLOCK + others <= self.room,
            false => self.could_be_written_anew(more),
        }
    }

    /// Writes the file anew where it has grown long, or where it would grow beyond its room.
    fn make_room(&mut self, more: u64) -> Result<(), NoRoom> {
        let long = self.length > ANEW_FROM.max(ANEW_TIMES * self.live.total());
        let tight = self.gains() && !self.could_be_written_anew(more);
        if !long && !tight && self.fits(more) {
            return Ok(());
        }
        // Too long a file is no failure as long as there is room.
        match self.write_anew() {
            Err(e) if !self.fits(more) => self.tell(Some(&e)),
            _ => {}
        }
        if self.fits(more) { Ok(()) } else { Err(NoRoom) }
    }

    /// Appends records behind those that are known to be whole; no part of them counts if that fails.
    fn write(&mut self, records: &[u8]) -> Result<(), NoRoom> {
        if self.torn && self.cut_back().is_err() {
            return Err(NoRoom);
        }
        match self.file.write_all(records) {
            Ok(()) => {
                self.length += records.len() as u64;
                self.tell(None);
                Ok(())
            }
            Err(e) => {
                self.tell(Some(&e));
                self.torn = true;
                // Where it cannot be cut back now, it is before the next write.
                let _ = self.truncate();
                Err(NoRoom)
            }
        }
    }

    /// Cuts the file back to its whole records.
    fn truncate(&mut self) -> io::Result<()> {
        self.file.set_len(self.length)?;
        self.torn = false;
        Ok(())
    }

    /// The same, or else puts a new file in its place.
    fn cut_back(&mut self) -> Result<(), NoRoom> {
        self.truncate().or_else(|_| self.replace_file())
    }

    /// Logs that writes fail, or go again, once each.
    fn tell(&mut self, failure: Option<&io::Error>) {
        let failed_before = std::mem::replace(&mut self.failing, failure.is_some());
        match failure {
            Some(e) if !failed_before => {
                log::error!("message journal: no new messages until it can be written: {e}");
            }
            None if failed_before => log::warn!("message journal: written again"),
            _ => {}
        }
    }

    fn replace_file(&mut self) -> Result<(), NoRoom> {
        self.write_anew().map_err(|e| {
            self.tell(Some(&e));
            NoRoom
        })
    }

    /// Writes a new file of what counts and puts it in the place of the old one.
    fn write_anew(&mut self) -> io::Result<()> {
        let mut bytes = record::clock(&self.clock);
        for emptying in &self.emptying {
            bytes.extend(record::adopted(emptying.source, &[]));
        }
        bytes.extend(self.live.bytes());
        let length = bytes.len() as u64;
        let old = self.file.metadata().map_or(self.length, |file| file.len());
        if blocks(old) + blocks(length) + self.others() > self.room {
            let why = "all files together would pass the disk limit";
            return Err(io::Error::new(io::ErrorKind::StorageFull, why));
        }
        let (next, path) = (
            self.journals.next_path(self.own),
            self.journals.path(self.own),
        );
        let opened = OpenOptions::new().append(true).create(true).open(&next);
        let written = opened.and_then(|mut file| {
            file.set_len(0)?;
            if !adoption::lock(&file) {
                return Err(io::Error::other("another dispatcher writes its new file"));
            }
            file.write_all(&bytes)?;
            std::fs::rename(&next, &path)?;
            Ok(file)
        });
        match written {
            Ok(file) => {
                (self.file, self.length) = (file, length);
                (self.torn, self.must_write_anew) = (false, false);
                self.unwritten.clear();
                self.tell(None);
                Ok(())
            }
            Err(e) => {
                let _ = std::fs::remove_file(&next);
                Err(e)
            }
        }
    }
}

/// What became of another process's journal.
enum Adoption {
    /// There is none.
    Nothing,
    /// A process still holds it, or this journal takes no more now.
    Held,
    Taken(Recovered),
}

fn warn_of_translation(translation: Translation, read: &Replayed) {
    if translation != Translation::Same && read.kept != Recovered::default() {
        let why = if read.clock.is_some() {
            "another boot of the machine"
        } else {
            "an older program"
        };
        log::warn!(
            "message journal: it is of {why}: the wall clock tells how long ago that was, and a step of it in between \
             moves what is left of deadlines and windows"
        );
    }
}
