//! The records of the message journal: a length, a checksum and a payload, which is a kind and its fields.

use super::{JournaledAttempt, JournaledMessage, Resolution};
use crate::clock::ClockReading;
use bellsill_core::interface::{MessageId, Nanos};

/// The length and the checksum before a payload.
const HEAD_BYTES: usize = 8;

/// What a record says.
#[derive(Clone, Debug, PartialEq)]
pub enum Record<'a> {
    /// The clock that all times of the file are on; first in the file. Older journals have none: theirs are on the wall
    /// clock.
    Clock(ClockReading),
    Taken(JournaledMessage),
    Attempt {
        id: MessageId,
        attempt: JournaledAttempt,
    },
    Outcome {
        id: MessageId,
        may_have_run: bool,
    },
    Ended {
        id: MessageId,
        ending: Option<Resolution>,
    },
    Told {
        id: MessageId,
    },
    /// The records of another journal that were taken over, whole or not at all, and which bytes of it they were.
    Adopted {
        source: Extent,
        records: &'a [u8],
    },
}

/// The first bytes of a journal, known again by their checksum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    length: u64,
    checksum: u32,
}

impl Extent {
    pub fn of(bytes: &[u8]) -> Extent {
        Extent {
            length: bytes.len() as u64,
            checksum: crc32fast::hash(bytes),
        }
    }

    /// How many of these bytes it covers: all of its own, if they begin with them.
    pub fn covers(&self, bytes: &[u8]) -> usize {
        let first = bytes
            .get(..self.length as usize)
            .filter(|first| Extent::of(first) == *self);
        first.map_or(0, <[u8]>::len)
    }
}

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
    let mut record = Vec::with_capacity(payload.len() + HEAD_BYTES);
    record.extend((payload.len() as u32).to_le_bytes());
    record.extend(crc32fast::hash(&payload).to_le_bytes());
    record.extend(payload);
    record
}

pub fn clock(reading: &ClockReading) -> Vec<u8> {
    let mut p = begin(b'S', MessageId(0));
    p.extend(reading.monotonic.to_le_bytes());
    p.extend(reading.wall.to_le_bytes());
    put_bytes(&mut p, reading.boot.as_bytes());
    sealed(p)
}

pub fn taken(message: &JournaledMessage) -> Vec<u8> {
    let mut p = begin(b'M', message.id);
    for number in [message.key, message.destination, message.deadline] {
        p.extend(number.to_le_bytes());
    }
    put_bytes(&mut p, message.class.as_bytes());
    put_bytes(&mut p, message.idempotency_key.as_bytes());
    put_bytes(&mut p, &message.body);
    sealed(p)
}

pub fn attempt(id: MessageId, at: Nanos, zone: &str) -> Vec<u8> {
    let mut p = begin(b'C', id);
    p.extend(at.to_le_bytes());
    put_bytes(&mut p, zone.as_bytes());
    sealed(p)
}

pub fn outcome(id: MessageId, may_have_run: bool) -> Vec<u8> {
    let mut p = begin(b'O', id);
    p.push(u8::from(may_have_run));
    sealed(p)
}

pub fn ended(id: MessageId, ending: Option<Resolution>) -> Vec<u8> {
    let mut p = begin(b'E', id);
    let (how, wait) = match ending {
        None => (0, 0),
        Some(Resolution::Failed) => (1, 0),
        Some(Resolution::Rejected { retry_after: wait }) => (2, wait),
    };
    p.push(how);
    p.extend(wait.to_le_bytes());
    sealed(p)
}

pub fn told(id: MessageId) -> Vec<u8> {
    sealed(begin(b'N', id))
}

pub fn adopted(source: Extent, records: &[u8]) -> Vec<u8> {
    let mut p = begin(b'A', MessageId(0));
    p.extend(source.length.to_le_bytes());
    p.extend(source.checksum.to_le_bytes());
    put_bytes(&mut p, records);
    sealed(p)
}

/// All records that say anew what is kept of a message.
pub fn message(message: &JournaledMessage) -> Vec<u8> {
    let mut bytes = taken(message);
    for attempt_made in &message.attempts {
        bytes.extend(attempt(
            message.id,
            attempt_made.sent_at,
            &attempt_made.zone,
        ));
        if let Some(may_have_run) = attempt_made.may_have_run {
            bytes.extend(outcome(message.id, may_have_run));
        }
    }
    bytes
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
        self.take(8)
            .and_then(|b| b.try_into().ok())
            .map(u64::from_le_bytes)
    }

    fn short_number(&mut self) -> Option<u32> {
        self.take(4)
            .and_then(|b| b.try_into().ok())
            .map(u32::from_le_bytes)
    }

    fn bytes(&mut self) -> Option<&'a [u8]> {
        let count = self.short_number()?;
        self.take(count as usize)
    }

    fn text(&mut self) -> Option<String> {
        self.bytes()
            .and_then(|b| String::from_utf8(b.to_vec()).ok())
    }
}

fn read_payload(payload: &[u8]) -> Option<Record<'_>> {
    let mut f = Fields(payload);
    let (kind, id) = (f.byte()?, MessageId(f.number()?));
    let record = match kind {
        b'S' => {
            let (monotonic, wall, boot) = (f.number()?, f.number()?, f.text()?);
            Record::Clock(ClockReading {
                boot,
                monotonic,
                wall,
            })
        }
        b'M' => {
            let (key, destination, due) = (f.number()?, f.number()?, f.number()?);
            let (class, tag, body) = (f.text()?, f.text()?, f.bytes()?.to_vec());
            Record::Taken(JournaledMessage {
                id,
                class,
                key,
                destination,
                deadline: due,
                idempotency_key: tag,
                body,
                attempts: vec![],
            })
        }
        b'C' => {
            let attempt = JournaledAttempt {
                sent_at: f.number()?,
                zone: f.text()?,
                may_have_run: None,
            };
            Record::Attempt { id, attempt }
        }
        b'O' => Record::Outcome {
            id,
            may_have_run: f.byte()? != 0,
        },
        b'E' => {
            let (how, wait) = (f.byte()?, f.number()?);
            let ending = match how {
                0 => None,
                1 => Some(Resolution::Failed),
                _ => Some(Resolution::Rejected { retry_after: wait }),
            };
            Record::Ended { id, ending }
        }
        b'N' => Record::Told { id },
        b'A' => {
            let source = Extent {
                length: f.number()?,
                checksum: f.short_number()?,
            };
            Record::Adopted {
                source,
                records: f.bytes()?,
            }
        }
        _ => return None,
    };
    f.0.is_empty().then_some(record)
}

/// The first record of these bytes, and how many of them it takes; none where they begin with no whole record.
pub fn first(bytes: &[u8]) -> Option<(Record<'_>, usize)> {
    let mut f = Fields(bytes);
    let (length, checksum) = (f.short_number()? as usize, f.short_number()?);
    let payload = f.take(length)?;
    // Kinds first: when a whole record is looked for at every byte, few checksums are computed.
    let record = read_payload(payload)?;
    (crc32fast::hash(payload) == checksum).then_some((record, HEAD_BYTES + length))
}
