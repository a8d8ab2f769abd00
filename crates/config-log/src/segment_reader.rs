//! Reading one file of records, `log.INDEX`, and telling a torn tail from damage.

use crate::codec::{FORMAT_VERSION, FileHeader, MAX_RECORD_BYTES, RecordHeader};
use crate::error::{Damage, LogError, io_error};
use std::fs;
use std::path::Path;

/// A record that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its position in the log.
    pub index: u64,
    /// Its content.
    pub payload: Vec<u8>,
}

/// The content of a file of records.
pub(crate) struct SegmentContent {
    pub(crate) records: Vec<Record>,
    /// The length of the header and the complete records.
    pub(crate) length: u64,
    /// What follows them, left by an unfinished write.
    pub(crate) torn_bytes: u64,
}

/// Whether a file may end in an unfinished write.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Tail {
    /// The last file: it was being written when the process ended.
    MayBeTorn,
    /// An earlier file: it was durable before the next one was made.
    Complete,
}

/// Reads a file of records that come after an index.
pub(crate) fn read(path: &Path, after: u64, tail: Tail) -> Result<SegmentContent, LogError> {
    let bytes = fs::read(path).map_err(io_error("read", path))?;
    let corrupt = |offset: usize, damage| LogError::Corrupt {
        file: path.to_owned(),
        offset: offset as u64,
        damage,
    };
    let header = FileHeader::decode(&bytes).ok_or_else(|| corrupt(0, Damage::SegmentHeader))?;
    if header.format != FORMAT_VERSION {
        return Err(LogError::UnknownFormat {
            file: path.to_owned(),
            found: header.format,
        });
    }
    if header.after != after {
        return Err(corrupt(0, Damage::SegmentHeader));
    }
    let mut records = Vec::new();
    let mut offset = FileHeader::LENGTH;
    let mut last = after;
    while offset < bytes.len() {
        match decode_record(&bytes[offset..], last) {
            Ok(record) => {
                last = record.index;
                offset += RecordHeader::LENGTH + record.payload.len();
                records.push(record);
            }
            Err(damage) if tail == Tail::Complete || !is_torn(&bytes, offset, damage) => {
                return Err(corrupt(offset, damage));
            }
            Err(_) => break,
        }
    }
    Ok(SegmentContent {
        records,
        length: offset as u64,
        torn_bytes: (bytes.len() - offset) as u64,
    })
}

fn decode_record(bytes: &[u8], last: u64) -> Result<Record, Damage> {
    let header = RecordHeader::decode(bytes).ok_or(Damage::RecordHeaderChecksum)?;
    let length = header.length as usize;
    if length > MAX_RECORD_BYTES {
        return Err(Damage::RecordTooLong);
    }
    let payload = bytes[RecordHeader::LENGTH..]
        .get(..length)
        .ok_or(Damage::TruncatedRecord)?;
    if crc32fast::hash(payload) != header.payload_checksum {
        return Err(Damage::PayloadChecksum);
    }
    if header.index <= last {
        return Err(Damage::IndexOutOfOrder);
    }
    Ok(Record {
        index: header.index,
        payload: payload.to_vec(),
    })
}

/// Whether damage is what a write without a sync leaves: no later record states that this offset was durable. A header
/// with a valid checksum was written on purpose, so a wrong length or index in it is not a torn write.
fn is_torn(bytes: &[u8], damaged: usize, damage: Damage) -> bool {
    let intentional = matches!(damage, Damage::RecordTooLong | Damage::IndexOutOfOrder);
    let proves_durable = |offset: usize| {
        RecordHeader::decode(&bytes[offset..]).is_some_and(|header| header.durable > damaged as u64)
    };
    !intentional && !(damaged + 1..bytes.len()).any(proves_durable)
}
