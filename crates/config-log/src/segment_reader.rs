//! Reading a segment, `log.INDEX`, and distinguishing a torn tail from corruption.

use crate::codec::{FORMAT_VERSION, MAX_RECORD_BYTES, RecordHeader, SegmentHeader};
use crate::error::{Damage, LogError, io_error};
use std::fs;
use std::path::Path;

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The index of the record; indices may have gaps.
    pub index: u64,
    /// The record's content.
    pub payload: Vec<u8>,
}

/// The content of a segment.
pub(crate) struct SegmentContent {
    pub(crate) records: Vec<Record>,
    /// The length in bytes of the header and the complete records.
    pub(crate) length: u64,
    /// The number of bytes after them, left by an unfinished write.
    pub(crate) torn_bytes: u64,
}

/// Whether a segment may end in an unfinished write.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Tail {
    /// The last segment: the process may have stopped during a write to it.
    MayBeTorn,
    /// An earlier segment: it was synced before the next one was created.
    Complete,
}

/// Reads a segment, and checks that its header states `previous_index`.
pub(crate) fn read(
    path: &Path,
    previous_index: u64,
    tail: Tail,
) -> Result<SegmentContent, LogError> {
    let bytes = fs::read(path).map_err(io_error("read", path))?;
    let corrupt = |offset: usize, damage| LogError::Corrupt {
        file: path.to_owned(),
        offset: offset as u64,
        damage,
    };
    let header = SegmentHeader::decode(&bytes).ok_or_else(|| corrupt(0, Damage::SegmentHeader))?;
    if header.format != FORMAT_VERSION {
        return Err(LogError::UnknownFormat {
            file: path.to_owned(),
            found: header.format,
        });
    }
    if header.previous_index != previous_index {
        return Err(corrupt(0, Damage::SegmentHeader));
    }
    let mut records = Vec::new();
    let mut offset = SegmentHeader::LENGTH;
    let mut last = previous_index;
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

/// Whether damage can result from an interrupted write that was not synced. This is not the case if a later record
/// header states that the damaged offset was already synced. A record header with a valid checksum is as it was
/// written, so an invalid length or index in it isn't a torn write either.
fn is_torn(bytes: &[u8], damaged_offset: usize, damage: Damage) -> bool {
    let written_invalid = matches!(damage, Damage::RecordTooLong | Damage::IndexOutOfOrder);
    let proves_synced = |offset: usize| {
        RecordHeader::decode(&bytes[offset..])
            .is_some_and(|header| header.durable_length > damaged_offset as u64)
    };
    !written_invalid && !(damaged_offset + 1..bytes.len()).any(proves_synced)
}
