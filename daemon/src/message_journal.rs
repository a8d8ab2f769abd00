//! The message journal: what this dispatcher has accepted and what was done for it, in one file of the folder that
//! lasts. It is the truth over restarts.
//!
//! A record is its length, a checksum and its payload; records are only appended, and a torn tail is dropped when the
//! file is opened. Nothing is synced: what is written survives the process, and the loss of the machine loses it anyway.
//! Once much of the file is over, it is written anew with what still counts; old and new stand side by side for that
//! moment and together stay under the disk limit.

use bellsill::interface::{MessageId, Nanos};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

const FILE: &str = "mails";
/// Journals that one folder may hold: a process beside an old one, while that one ends, writes one of its own.
const JOURNALS_MOST: usize = 8;

fn name(n: usize) -> String {
    if n == 0 { FILE.to_string() } else { format!("{FILE}.{n}") }
}

/// Where a journal is written anew, beside itself.
fn next_name(n: usize) -> String {
    format!("{}.next", name(n))
}
/// Files count in whole blocks.
const BLOCK: u64 = 512;
/// The file is not written anew before it is so long, and so many times as long as what still counts.
const ANEW_FROM: u64 = 256 * 1024;
const ANEW_TIMES: u64 = 4;

/// How a message ended that was not relayed: the notice that it is owed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    Deferred(Nanos),
    Bounced,
}

/// An attempt whose first byte may have been written.
#[derive(Clone, Debug, PartialEq)]
pub struct KeptAttempt {
    pub at: Nanos,
    pub zone: String,
    /// None: no outcome is known.
    pub may_have_run: Option<bool>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct KeptMessage {
    pub id: MessageId,
    pub class: String,
    pub key: u64,
    pub destination: u64,
    /// On the wall clock.
    pub due: Nanos,
    pub tag: String,
    pub body: Vec<u8>,
    pub attempts: Vec<KeptAttempt>,
}

/// What a journal holds that still counts.
#[derive(Debug, Default, PartialEq)]
pub struct Kept {
    /// In the order in which they were taken.
    pub messages: Vec<KeptMessage>,
    pub owed: Vec<(MessageId, Ending)>,
}

/// The disk limit leaves no place, or the disk took no more.
#[derive(Debug, PartialEq)]
pub struct NoRoom;

fn begin(kind: u8, id: MessageId) -> Vec<u8> {
    let mut payload = vec![kind];
    payload.extend(id.0.to_le_bytes());
    payload
}

fn put_bytes(payload: &mut Vec<u8>, bytes: &[u8]) {
    payload.extend((bytes.len() as u32).to_le_bytes());
    payload.extend(bytes);
}

fn sealed(payload: Vec<u8>) -> Vec<u8> {
    let mut record = Vec::with_capacity(payload.len() + 8);
    record.extend((payload.len() as u32).to_le_bytes());
    record.extend(crc32fast::hash(&payload).to_le_bytes());
    record.extend(payload);
    record
}

fn taken_record(message: &KeptMessage) -> Vec<u8> {
    let mut p = begin(b'M', message.id);
    for number in [message.key, message.destination, message.due] {
        p.extend(number.to_le_bytes());
    }
    put_bytes(&mut p, message.class.as_bytes());
    put_bytes(&mut p, message.tag.as_bytes());
    put_bytes(&mut p, &message.body);
    sealed(p)
}

fn attempt_record(id: MessageId, at: Nanos, zone: &str) -> Vec<u8> {
    let mut p = begin(b'C', id);
    p.extend(at.to_le_bytes());
    put_bytes(&mut p, zone.as_bytes());
    sealed(p)
}

fn outcome_record(id: MessageId, may_have_run: bool) -> Vec<u8> {
    let mut p = begin(b'O', id);
    p.push(u8::from(may_have_run));
    sealed(p)
}

fn end_record(id: MessageId, ending: Option<Ending>) -> Vec<u8> {
    let mut p = begin(b'E', id);
    let (how, wait) = match ending {
        None => (0, 0),
        Some(Ending::Bounced) => (1, 0),
        Some(Ending::Deferred(wait)) => (2, wait),
    };
    p.push(how);
    p.extend(wait.to_le_bytes());
    sealed(p)
}

fn told_record(id: MessageId) -> Vec<u8> {
    sealed(begin(b'N', id))
}

/// Reads the fields of a payload one after the other.
struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(head)
    }
    fn byte(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }
    fn number(&mut self) -> Option<u64> {
        self.take(8).and_then(|b| b.try_into().ok()).map(u64::from_le_bytes)
    }
    fn length(&mut self) -> Option<usize> {
        self.take(4).and_then(|b| b.try_into().ok()).map(|b| u32::from_le_bytes(b) as usize)
    }
    fn bytes(&mut self) -> Option<&'a [u8]> {
        let count = self.length()?;
        self.take(count)
    }
    fn text(&mut self) -> Option<String> {
        self.bytes().and_then(|b| String::from_utf8(b.to_vec()).ok())
    }
    /// The payload of the next whole record.
    fn record(&mut self) -> Option<Fields<'a>> {
        let (count, sum) = (self.length()?, self.length()?);
        let payload = self.take(count)?;
        (crc32fast::hash(payload) as usize == sum).then_some(Fields(payload))
    }
}

/// Collects what still counts while records are read in order.
#[derive(Default)]
struct Replay {
    messages: Vec<Option<KeptMessage>>,
    place: BTreeMap<MessageId, usize>,
    owed: Vec<(MessageId, Ending)>,
}

impl Replay {
    fn message(&mut self, id: MessageId) -> Option<&mut KeptMessage> {
        self.messages[*self.place.get(&id)?].as_mut()
    }

    fn apply(&mut self, mut f: Fields) -> Option<()> {
        let (kind, id) = (f.byte()?, MessageId(f.number()?));
        match kind {
            b'M' => {
                let (key, destination, due) = (f.number()?, f.number()?, f.number()?);
                let (class, tag, body) = (f.text()?, f.text()?, f.bytes()?.to_vec());
                self.place.insert(id, self.messages.len());
                let message = KeptMessage { id, class, key, destination, due, tag, body, attempts: vec![] };
                self.messages.push(Some(message));
            }
            b'C' => {
                let attempt = KeptAttempt { at: f.number()?, zone: f.text()?, may_have_run: None };
                if let Some(message) = self.message(id) {
                    message.attempts.push(attempt);
                }
            }
            b'O' => {
                let may_have_run = Some(f.byte()? != 0);
                if let Some(attempt) = self.message(id).and_then(|m| m.attempts.last_mut()) {
                    attempt.may_have_run = may_have_run;
                }
            }
            b'E' => {
                let (how, wait) = (f.byte()?, f.number()?);
                if let Some(place) = self.place.remove(&id) {
                    self.messages[place] = None;
                }
                match how {
                    0 => {}
                    1 => self.owed.push((id, Ending::Bounced)),
                    _ => self.owed.push((id, Ending::Deferred(wait))),
                }
            }
            b'N' => self.owed.retain(|owed| owed.0 != id),
            _ => return None,
        }
        Some(())
    }
}

/// Reads records until the end or the first that is torn; also tells how many bytes were good.
fn replay(bytes: &[u8]) -> (Kept, usize) {
    let mut all = Replay::default();
    let mut rest = Fields(bytes);
    let mut good = 0;
    while let Some(()) = rest.record().and_then(|record| all.apply(record)) {
        good = bytes.len() - rest.0.len();
    }
    (Kept { messages: all.messages.into_iter().flatten().collect(), owed: all.owed }, good)
}

impl Kept {
    /// The records that say all this anew, with the message of each.
    fn records(&self) -> impl Iterator<Item = (MessageId, Vec<u8>)> {
        let messages = self.messages.iter().map(|message| {
            let mut bytes = taken_record(message);
            for attempt in &message.attempts {
                bytes.extend(attempt_record(message.id, attempt.at, &attempt.zone));
                if let Some(may_have_run) = attempt.may_have_run {
                    bytes.extend(outcome_record(message.id, may_have_run));
                }
            }
            (message.id, bytes)
        });
        messages.chain(self.owed.iter().map(|&(id, ending)| (id, end_record(id, Some(ending)))))
    }
}

pub struct MessageJournal {
    folder: PathBuf,
    /// Its place among the journals of the folder.
    own: usize,
    file: File,
    length: u64,
    /// By message: what of the file still counts.
    live: BTreeMap<MessageId, u64>,
    live_total: u64,
    room: u64,
}

/// Two processes writing one journal would each take the other's messages for their own. Where files cannot be locked, nothing
/// stops that.
fn own(file: &File) -> io::Result<()> {
    match file.try_lock() {
        Err(TryLockError::WouldBlock) => Err(io::Error::other("another dispatcher uses this folder")),
        _ => Ok(()),
    }
}

fn blocks(length: u64) -> u64 {
    length.div_ceil(BLOCK) * BLOCK
}

impl MessageJournal {
    /// Opens the first journal of this folder that no other process holds and tells what it holds; `room` is the disk
    /// limit in bytes. The others are taken in by [`MessageJournal::adopt`].
    pub fn open(folder: &Path, room: u64) -> io::Result<(MessageJournal, Kept)> {
        std::fs::create_dir_all(folder)?;
        let mut taken = None;
        for n in 0..JOURNALS_MOST {
            let file = OpenOptions::new().read(true).append(true).create(true).open(folder.join(name(n)))?;
            if own(&file).is_ok() {
                taken = Some((n, file));
                break;
            }
        }
        let Some((n, mut file)) = taken else {
            return Err(io::Error::other("other dispatchers use this folder"));
        };
        // Left by a process that was killed while it wrote the file anew: the old one still counts.
        match std::fs::remove_file(folder.join(next_name(n))) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let (kept, good) = replay(&bytes);
        if good < bytes.len() {
            log::warn!("mail journal: {} torn bytes dropped", bytes.len() - good);
            file.set_len(good as u64)?;
        }
        let folder = folder.to_path_buf();
        let mut journal = MessageJournal {
            folder,
            own: n,
            file,
            length: good as u64,
            live: BTreeMap::new(),
            live_total: 0,
            room,
        };
        journal.count(&kept);
        Ok((journal, kept))
    }

    /// Takes in the journals of the folder that no process holds any more: their messages and owed notices are written
    /// into this one, and only then are they removed. True beside: another one is still held, or finds no room yet. One
    /// is taken in whole or not at all: of one half taken, messages that have ended here since would be taken for new. What
    /// is known already (met twice after a stop between writing and removing) is not taken again.
    pub fn adopt(&mut self) -> io::Result<(Kept, bool)> {
        let (mut all, mut held) = (Kept::default(), false);
        let mine = self.own;
        for n in (0..JOURNALS_MOST).filter(|&n| n != mine) {
            let path = self.folder.join(name(n));
            let mut file = match OpenOptions::new().read(true).append(true).open(&path) {
                Ok(file) => file,
                Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
                Err(e) => return Err(e),
            };
            if own(&file).is_err() {
                held = true;
                continue;
            }
            let mut bytes = Vec::new();
            file.read_to_end(&mut bytes)?;
            let (mut kept, _) = replay(&bytes);
            kept.messages.retain(|m| !self.live.contains_key(&m.id));
            kept.owed.retain(|(id, _)| !self.live.contains_key(id));
            let records: Vec<(MessageId, Vec<u8>)> = kept.records().collect();
            let bytes: Vec<u8> = records.iter().flat_map(|(_, record)| record).copied().collect();
            if self.append(&bytes).is_err() {
                held = true;
                continue;
            }
            // From here on it counts no more, whatever becomes of the file.
            file.set_len(0)?;
            for (id, record) in records {
                *self.live.entry(id).or_default() += record.len() as u64;
                self.live_total += record.len() as u64;
            }
            if !kept.messages.is_empty() || !kept.owed.is_empty() {
                log::info!("mail journal: {} mails of {} taken over", kept.messages.len(), name(n));
            }
            all.messages.extend(kept.messages);
            all.owed.extend(kept.owed);
            std::fs::remove_file(&path)?;
            let _ = std::fs::remove_file(self.folder.join(next_name(n)));
        }
        Ok((all, held))
    }

    fn count(&mut self, kept: &Kept) {
        self.live = kept.records().map(|(id, bytes)| (id, bytes.len() as u64)).collect();
        self.live_total = self.live.values().sum();
    }

    /// A new message, before its client hears of it. A quarter of the room is left to what follows for the messages held.
    pub fn taken(&mut self, message: &KeptMessage) -> Result<(), NoRoom> {
        let record = taken_record(message);
        let size = record.len() as u64;
        if 2 * (blocks(self.live_total + size) + BLOCK) > self.room / 4 * 3 {
            return Err(NoRoom);
        }
        self.append(&record)?;
        self.live.insert(message.id, size);
        self.live_total += size;
        Ok(())
    }

    /// An attempt, before its first byte.
    pub fn attempt(&mut self, id: MessageId, at: Nanos, zone: &str) -> Result<(), NoRoom> {
        self.add(id, &attempt_record(id, at, zone))
    }

    pub fn outcome(&mut self, id: MessageId, may_have_run: bool) -> Result<(), NoRoom> {
        self.add(id, &outcome_record(id, may_have_run))
    }

    /// The end of a message; a notice is owed from then on, if an ending is named.
    pub fn ended(&mut self, id: MessageId, ending: Option<Ending>) -> Result<(), NoRoom> {
        self.over(id);
        let record = end_record(id, ending);
        self.append(&record)?;
        if ending.is_some() {
            self.live.insert(id, record.len() as u64);
            self.live_total += record.len() as u64;
        }
        Ok(())
    }

    /// The platform has taken the message's notice.
    pub fn told(&mut self, id: MessageId) -> Result<(), NoRoom> {
        self.over(id);
        self.append(&told_record(id))
    }

    fn add(&mut self, id: MessageId, record: &[u8]) -> Result<(), NoRoom> {
        self.append(record)?;
        if let Some(size) = self.live.get_mut(&id) {
            *size += record.len() as u64;
            self.live_total += record.len() as u64;
        }
        Ok(())
    }

    fn over(&mut self, id: MessageId) {
        self.live_total -= self.live.remove(&id).unwrap_or(0);
    }

    /// Whether the file, this much longer, could still be written anew beside itself.
    fn fits(&self, more: u64) -> bool {
        blocks(self.length + more) + blocks(self.live_total + more) + 2 * BLOCK <= self.room
    }

    fn append(&mut self, record: &[u8]) -> Result<(), NoRoom> {
        let size = record.len() as u64;
        let long = self.length > ANEW_FROM.max(ANEW_TIMES * self.live_total);
        if (long || !self.fits(size))
            && let Err(e) = self.write_anew()
        {
            log::error!("mail journal: cannot be written anew: {e}");
        }
        if !self.fits(size) {
            return Err(NoRoom);
        }
        if let Err(e) = self.file.write_all(record) {
            log::error!("mail journal: {e}");
            // A part of a record would hide all that follows it.
            let _ = self.file.set_len(self.length);
            return Err(NoRoom);
        }
        self.length += size;
        Ok(())
    }

    fn write_anew(&mut self) -> io::Result<()> {
        let path = self.folder.join(name(self.own));
        let (kept, _) = replay(&std::fs::read(&path)?);
        let bytes: Vec<u8> = kept.records().flat_map(|(_, bytes)| bytes).collect();
        let length = bytes.len() as u64;
        if blocks(self.length) + blocks(length) > self.room {
            return Err(io::Error::other("both files together would pass the disk limit"));
        }
        let next = self.folder.join(next_name(self.own));
        let mut file = OpenOptions::new().append(true).create_new(true).open(&next)?;
        if let Err(e) =
            file.write_all(&bytes).and_then(|()| own(&file)).and_then(|()| std::fs::rename(&next, &path))
        {
            let _ = std::fs::remove_file(&next);
            return Err(e);
        }
        (self.file, self.length) = (file, length);
        self.count(&kept);
        Ok(())
    }
}
