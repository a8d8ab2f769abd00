//! The record format of the message journal: a length, a checksum and a payload, which consists of a kind and its
//! fields.

use super::contents::{JournaledAttempt, JournaledMessage, Resolution};
use crate::clock::ClockReading;
use bellsill_core::interface::{MessageId, Nanos};
use std::ops::Range;

/// The size of the header before a payload: its length and checksum, four bytes each.
const HEADER_BYTES: usize = 8;

/// The size of a record of merged records without these: header, kind, id, length and checksum of the source, and the
/// length of the merged records.
pub(super) const MERGED_OVERHEAD_BYTES: u64 = HEADER_BYTES as u64 + 1 + 8 + 8 + 4 + 4;

/// The first byte of a payload: the kind of the record.
mod kind {
    pub(super) const CLOCK: u8 = b'S';
    pub(super) const ACCEPTED: u8 = b'M';
    pub(super) const ATTEMPT: u8 = b'C';
    pub(super) const OUTCOME: u8 = b'O';
    pub(super) const RESOLVED: u8 = b'E';
    pub(super) const NOTIFIED: u8 = b'N';
    pub(super) const MERGED: u8 = b'A';
}

/// The codes for how a message ended, in a record of kind [`kind::RESOLVED`].
const NOT_NOTIFIED: u8 = 0;
const FAILED: u8 = 1;
const REJECTED: u8 = 2;

/// A decoded record.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Record<'a> {
    /// The clock of the times in the following records; the first record of the file. A further one follows when a
    /// process of another boot appends to the file. Journals of older versions have none: their times are on the wall
    /// clock.
    Clock(ClockReading),
    /// A message was accepted.
    Accepted(JournaledMessage),
    /// The first byte of an attempt may have been sent.
    Attempt {
        id: MessageId,
        attempt: JournaledAttempt,
    },
    /// The outcome of the last attempt.
    Outcome { id: MessageId, may_have_run: bool },
    /// A message ended. With a resolution, its notification is pending.
    Resolved {
        id: MessageId,
        resolution: Option<Resolution>,
    },
    /// The platform has confirmed the notification of a message.
    Notified { id: MessageId },
    /// The live records of another journal, and the prefix of its file that they come from.
    Merged {
        source: JournalPrefix,
        records: &'a [u8],
    },
}

/// Identifies the first bytes of a journal by their length and checksum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct JournalPrefix {
    length: u64,
    checksum: u32,
}

impl JournalPrefix {
    /// The prefix that consists of these bytes.
    pub(super) fn of(bytes: &[u8]) -> JournalPrefix {
        JournalPrefix {
            length: bytes.len() as u64,
            checksum: crc32fast::hash(bytes),
        }
    }

    /// The length of the prefix if `bytes` begins with it, otherwise zero.
    pub(super) fn matched_bytes(&self, bytes: &[u8]) -> usize {
        let prefix = bytes
            .get(..self.length as usize)
            .filter(|prefix| JournalPrefix::of(prefix) == *self);
        prefix.map_or(0, <[u8]>::len)
    }
}

/// Starts a payload with its kind and message id; the id is zero for kinds that have none.
fn start_payload(kind: u8, id: MessageId) -> Vec<u8> {
    let mut payload = vec![kind];
    payload.extend(id.0.to_le_bytes());
    payload
}

fn put_bytes(payload: &mut Vec<u8>, bytes: &[u8]) {
    payload.extend((bytes.len() as u32).to_le_bytes());
    payload.extend(bytes);
}

/// Puts the header, length and checksum, before a payload.
fn frame(payload: Vec<u8>) -> Vec<u8> {
    let mut record = Vec::with_capacity(payload.len() + HEADER_BYTES);
    record.extend((payload.len() as u32).to_le_bytes());
    record.extend(crc32fast::hash(&payload).to_le_bytes());
    record.extend(payload);
    record
}

/// Encodes the clock of the times in the following records.
pub(super) fn clock(reading: &ClockReading) -> Vec<u8> {
    let mut payload = start_payload(kind::CLOCK, MessageId(0));
    payload.extend(reading.monotonic.to_le_bytes());
    payload.extend(reading.wall.to_le_bytes());
    let boot_id = reading.boot_id.as_deref().unwrap_or_default();
    put_bytes(&mut payload, boot_id.as_bytes());
    frame(payload)
}

/// Encodes that a message was accepted.
pub(super) fn accepted(message: &JournaledMessage) -> Vec<u8> {
    let mut payload = start_payload(kind::ACCEPTED, message.id);
    for number in [message.key, message.destination, message.deadline] {
        payload.extend(number.to_le_bytes());
    }
    put_bytes(&mut payload, message.class.as_bytes());
    put_bytes(&mut payload, message.idempotency_key.as_bytes());
    put_bytes(&mut payload, &message.body);
    frame(payload)
}

/// Encodes that the first byte of an attempt is about to be sent.
pub(super) fn attempt(id: MessageId, sent_at: Nanos, zone: &str) -> Vec<u8> {
    let mut payload = start_payload(kind::ATTEMPT, id);
    payload.extend(sent_at.to_le_bytes());
    put_bytes(&mut payload, zone.as_bytes());
    frame(payload)
}

/// Encodes the outcome of the message's last attempt.
pub(super) fn outcome(id: MessageId, may_have_run: bool) -> Vec<u8> {
    let mut payload = start_payload(kind::OUTCOME, id);
    payload.push(u8::from(may_have_run));
    frame(payload)
}

/// Encodes the end of a message.
pub(super) fn resolved(id: MessageId, resolution: Option<Resolution>) -> Vec<u8> {
    let mut payload = start_payload(kind::RESOLVED, id);
    let (code, retry_after) = match resolution {
        None => (NOT_NOTIFIED, 0),
        Some(Resolution::Failed) => (FAILED, 0),
        Some(Resolution::Rejected { retry_after }) => (REJECTED, retry_after),
    };
    payload.push(code);
    payload.extend(retry_after.to_le_bytes());
    frame(payload)
}

/// Encodes that the platform has confirmed the message's notification.
pub(super) fn notified(id: MessageId) -> Vec<u8> {
    frame(start_payload(kind::NOTIFIED, id))
}

/// Encodes that these records were merged from another journal.
pub(super) fn merged(source: JournalPrefix, records: &[u8]) -> Vec<u8> {
    let mut payload = start_payload(kind::MERGED, MessageId(0));
    payload.extend(source.length.to_le_bytes());
    payload.extend(source.checksum.to_le_bytes());
    put_bytes(&mut payload, records);
    frame(payload)
}

/// Encodes all records of a pending message: its acceptance, its attempts and their outcomes.
pub(super) fn message(message: &JournaledMessage) -> Vec<u8> {
    let mut bytes = accepted(message);
    for journaled in &message.attempts {
        bytes.extend(attempt(message.id, journaled.sent_at, &journaled.zone));
        if let Some(may_have_run) = journaled.may_have_run {
            bytes.extend(outcome(message.id, may_have_run));
        }
    }
    bytes
}

/// Decodes the fields of a payload in order; holds the bytes that are not decoded yet.
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

fn decode_payload(payload: &[u8]) -> Option<Record<'_>> {
    let mut fields = Fields(payload);
    let (kind, id) = (fields.u8()?, MessageId(fields.u64()?));
    let record = match kind {
        kind::CLOCK => Record::Clock(decode_clock(&mut fields)?),
        kind::ACCEPTED => Record::Accepted(decode_accepted(id, &mut fields)?),
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
            resolution: decode_resolution(&mut fields)?,
        },
        kind::NOTIFIED => Record::Notified { id },
        kind::MERGED => Record::Merged {
            source: JournalPrefix {
                length: fields.u64()?,
                checksum: fields.u32()?,
            },
            records: fields.bytes()?,
        },
        _ => return None,
    };
    fields.0.is_empty().then_some(record)
}

fn decode_clock(fields: &mut Fields) -> Option<ClockReading> {
    let (monotonic, wall, boot_id) = (fields.u64()?, fields.u64()?, fields.text()?);
    Some(ClockReading {
        boot_id: Some(boot_id).filter(|id| !id.is_empty()),
        monotonic,
        wall,
    })
}

fn decode_accepted(id: MessageId, fields: &mut Fields) -> Option<JournaledMessage> {
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

/// `None` if a field is missing; `Some(None)` if the message ended without a notification.
fn decode_resolution(fields: &mut Fields) -> Option<Option<Resolution>> {
    let (code, retry_after) = (fields.u8()?, fields.u64()?);
    Some(match code {
        NOT_NOTIFIED => None,
        FAILED => Some(Resolution::Failed),
        _ => Some(Resolution::Rejected { retry_after }),
    })
}

/// Decodes all complete records, with the range of each. After bytes that are not a complete record it searches for the next
/// one.
pub(super) fn decode_all(bytes: &[u8]) -> impl Iterator<Item = (Record<'_>, Range<usize>)> {
    let mut offset = 0;
    std::iter::from_fn(move || {
        while offset < bytes.len() {
            let start = offset;
            let Some((record, length)) = decode_first(&bytes[start..]) else {
                offset += 1;
                continue;
            };
            offset += length;
            return Some((record, start..offset));
        }
        None
    })
}

/// Decodes the record at the start of these bytes, and returns it with its length; `None` if they do not start with a
/// complete record.
pub(super) fn decode_first(bytes: &[u8]) -> Option<(Record<'_>, usize)> {
    let mut fields = Fields(bytes);
    let (length, checksum) = (fields.u32()? as usize, fields.u32()?);
    let payload = fields.take(length)?;
    // Decoded before the checksum is computed: when replay searches damaged bytes for a record at every offset, most
    // offsets fail here, so few checksums are computed.
    let record = decode_payload(payload)?;
    (crc32fast::hash(payload) == checksum).then_some((record, HEADER_BYTES + length))
}
