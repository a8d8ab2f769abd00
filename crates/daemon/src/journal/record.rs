//! The records of the message journal: a length, a checksum and a payload, which is a kind and its fields.

use super::contents::{JournaledAttempt, JournaledMessage, Resolution};
use crate::clock::ClockReading;
use bellsill_core::interface::{MessageId, Nanos};

/// The length and the checksum before a payload, four bytes each.
const HEADER_BYTES: usize = 8;

/// The first byte of a payload: the kind of the record.
mod kind {
    pub(super) const CLOCK: u8 = b'S';
    pub(super) const ACCEPTED: u8 = b'M';
    pub(super) const ATTEMPT: u8 = b'C';
    pub(super) const OUTCOME: u8 = b'O';
    pub(super) const RESOLVED: u8 = b'E';
    pub(super) const NOTIFIED: u8 = b'N';
    pub(super) const ADOPTED: u8 = b'A';
}

/// How a message ended, in a record of its end.
const NOT_NOTIFIED: u8 = 0;
const FAILED: u8 = 1;
const REJECTED: u8 = 2;

/// What a record says.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Record<'a> {
    /// The clock that all times of the file are on; first in the file. Older journals have none: their times are on the
    /// wall clock.
    Clock(ClockReading),
    /// A message was accepted.
    Accepted(JournaledMessage),
    /// The first byte of an attempt may be written.
    Attempt {
        id: MessageId,
        attempt: JournaledAttempt,
    },
    /// The outcome of the last attempt.
    Outcome { id: MessageId, may_have_run: bool },
    /// A message ended; with a resolution, a notification is pending.
    Resolved {
        id: MessageId,
        resolution: Option<Resolution>,
    },
    /// The platform has confirmed the notification.
    Notified { id: MessageId },
    /// All records of another journal that were taken over, and the bytes of it that they were.
    Adopted { source: Extent, records: &'a [u8] },
}

/// The first bytes of a journal, recognised by their checksum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Extent {
    length: u64,
    checksum: u32,
}

impl Extent {
    /// The extent of these bytes.
    pub(super) fn of(bytes: &[u8]) -> Extent {
        Extent {
            length: bytes.len() as u64,
            checksum: crc32fast::hash(bytes),
        }
    }

    /// How many of these bytes it covers: its own length if they begin with the same bytes, or else none.
    pub(super) fn covers(&self, bytes: &[u8]) -> usize {
        let first = bytes
            .get(..self.length as usize)
            .filter(|first| Extent::of(first) == *self);
        first.map_or(0, <[u8]>::len)
    }
}

/// The begin of a payload: its kind, and an id, which is zero where the kind has none.
fn payload(kind: u8, id: MessageId) -> Vec<u8> {
    let mut payload = vec![kind];
    payload.extend(id.0.to_le_bytes());
    payload
}

fn put_bytes(payload: &mut Vec<u8>, bytes: &[u8]) {
    payload.extend((bytes.len() as u32).to_le_bytes());
    payload.extend(bytes);
}

/// The payload with its length and checksum before it.
fn framed(payload: Vec<u8>) -> Vec<u8> {
    let mut record = Vec::with_capacity(payload.len() + HEADER_BYTES);
    record.extend((payload.len() as u32).to_le_bytes());
    record.extend(crc32fast::hash(&payload).to_le_bytes());
    record.extend(payload);
    record
}

/// The clock that the times of the following records are on.
pub(super) fn clock(reading: &ClockReading) -> Vec<u8> {
    let mut payload = payload(kind::CLOCK, MessageId(0));
    payload.extend(reading.monotonic.to_le_bytes());
    payload.extend(reading.wall.to_le_bytes());
    let boot_id = reading.boot_id.as_deref().unwrap_or_default();
    put_bytes(&mut payload, boot_id.as_bytes());
    framed(payload)
}

/// A message was accepted.
pub(super) fn accepted(message: &JournaledMessage) -> Vec<u8> {
    let mut payload = payload(kind::ACCEPTED, message.id);
    for number in [message.key, message.destination, message.deadline] {
        payload.extend(number.to_le_bytes());
    }
    put_bytes(&mut payload, message.class.as_bytes());
    put_bytes(&mut payload, message.idempotency_key.as_bytes());
    put_bytes(&mut payload, &message.body);
    framed(payload)
}

/// An attempt is about to write its first byte.
pub(super) fn attempt(id: MessageId, sent_at: Nanos, zone: &str) -> Vec<u8> {
    let mut payload = payload(kind::ATTEMPT, id);
    payload.extend(sent_at.to_le_bytes());
    put_bytes(&mut payload, zone.as_bytes());
    framed(payload)
}

/// The outcome of the message's last attempt.
pub(super) fn outcome(id: MessageId, may_have_run: bool) -> Vec<u8> {
    let mut payload = payload(kind::OUTCOME, id);
    payload.push(u8::from(may_have_run));
    framed(payload)
}

/// A message ended.
pub(super) fn resolved(id: MessageId, resolution: Option<Resolution>) -> Vec<u8> {
    let mut payload = payload(kind::RESOLVED, id);
    let (code, retry_after) = match resolution {
        None => (NOT_NOTIFIED, 0),
        Some(Resolution::Failed) => (FAILED, 0),
        Some(Resolution::Rejected { retry_after }) => (REJECTED, retry_after),
    };
    payload.push(code);
    payload.extend(retry_after.to_le_bytes());
    framed(payload)
}

/// The platform has confirmed the message's notification.
pub(super) fn notified(id: MessageId) -> Vec<u8> {
    framed(payload(kind::NOTIFIED, id))
}

/// Records of another journal were taken over.
pub(super) fn adopted(source: Extent, records: &[u8]) -> Vec<u8> {
    let mut payload = payload(kind::ADOPTED, MessageId(0));
    payload.extend(source.length.to_le_bytes());
    payload.extend(source.checksum.to_le_bytes());
    put_bytes(&mut payload, records);
    framed(payload)
}

/// All records that say what is known of a pending message.
pub(super) fn message(message: &JournaledMessage) -> Vec<u8> {
    let mut bytes = accepted(message);
    for made in &message.attempts {
        bytes.extend(attempt(message.id, made.sent_at, &made.zone));
        if let Some(may_have_run) = made.may_have_run {
            bytes.extend(outcome(message.id, may_have_run));
        }
    }
    bytes
}

/// What is left of a payload whose fields are read one after the other.
struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(head)
    }

    fn u8(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }

    fn u64(&mut self) -> Option<u64> {
        self.take(8)
            .and_then(|b| b.try_into().ok())
            .map(u64::from_le_bytes)
    }

    fn u32(&mut self) -> Option<u32> {
        self.take(4)
            .and_then(|b| b.try_into().ok())
            .map(u32::from_le_bytes)
    }

    fn bytes(&mut self) -> Option<&'a [u8]> {
        let count = self.u32()?;
        self.take(count as usize)
    }

    fn text(&mut self) -> Option<String> {
        self.bytes()
            .and_then(|b| String::from_utf8(b.to_vec()).ok())
    }
}

fn read_payload(payload: &[u8]) -> Option<Record<'_>> {
    let mut fields = Fields(payload);
    let (kind, id) = (fields.u8()?, MessageId(fields.u64()?));
    let record = match kind {
        kind::CLOCK => Record::Clock(read_clock(&mut fields)?),
        kind::ACCEPTED => Record::Accepted(read_accepted(id, &mut fields)?),
        kind::ATTEMPT => Record::Attempt {
            id,
            attempt: JournaledAttempt {
                sent_at: fields.u64()?,
                zone: fields.text()?,
                may_have_run: None,
            },
        },
        kind::OUTCOME => Record::Outcome {
            id,
            may_have_run: fields.u8()? != 0,
        },
        kind::RESOLVED => Record::Resolved {
            id,
            resolution: read_resolution(&mut fields)?,
        },
        kind::NOTIFIED => Record::Notified { id },
        kind::ADOPTED => Record::Adopted {
            source: Extent {
                length: fields.u64()?,
                checksum: fields.u32()?,
            },
            records: fields.bytes()?,
        },
        _ => return None,
    };
    fields.0.is_empty().then_some(record)
}

fn read_clock(fields: &mut Fields) -> Option<ClockReading> {
    let (monotonic, wall, boot_id) = (fields.u64()?, fields.u64()?, fields.text()?);
    Some(ClockReading {
        boot_id: Some(boot_id).filter(|id| !id.is_empty()),
        monotonic,
        wall,
    })
}

fn read_accepted(id: MessageId, fields: &mut Fields) -> Option<JournaledMessage> {
    let (key, destination, deadline) = (fields.u64()?, fields.u64()?, fields.u64()?);
    let (class, idempotency_key) = (fields.text()?, fields.text()?);
    Some(JournaledMessage {
        id,
        class,
        key,
        destination,
        deadline,
        idempotency_key,
        body: fields.bytes()?.to_vec(),
        attempts: vec![],
    })
}

/// `None` where a field is missing; the inner one where no notification is pending.
fn read_resolution(fields: &mut Fields) -> Option<Option<Resolution>> {
    let (code, retry_after) = (fields.u8()?, fields.u64()?);
    Some(match code {
        NOT_NOTIFIED => None,
        FAILED => Some(Resolution::Failed),
        _ => Some(Resolution::Rejected { retry_after }),
    })
}

/// The first record of these bytes, and how many of them it takes; `None` where they begin with no complete record.
pub(super) fn first(bytes: &[u8]) -> Option<(Record<'_>, usize)> {
    let mut fields = Fields(bytes);
    let (length, checksum) = (fields.u32()? as usize, fields.u32()?);
    let payload = fields.take(length)?;
    // The kind comes first: a search for a record at every byte then computes few checksums.
    let record = read_payload(payload)?;
    (crc32fast::hash(payload) == checksum).then_some((record, HEADER_BYTES + length))
}
