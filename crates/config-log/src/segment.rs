//! One file of records, `log.INDEX`.

use crate::LogError;
use crate::codec::{FORMAT_VERSION, FileHeader, LONGEST_RECORD, RecordHeader};
use crate::directory::{Directory, write_all};
use crate::error::{Damage, io_error};
use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Bytes with their index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub index: u64,
    pub payload: Vec<u8>,
}

/// A file of records that is written at its end.
pub(crate) struct Segment {
    path: PathBuf,
    file: File,
    after: u64,
    length: u64,
    durable: u64,
}

impl Segment {
    /// Makes the file of the records after an index.
    pub fn create(directory: &Directory, after: u64) -> Result<Segment, LogError> {
        let path = directory.log_path(after);
        let header = FileHeader {
            format: FORMAT_VERSION,
            after,
        }
        .encode();
        directory.write_whole(&path, |file, path| write_all(file, path, &header))?;
        Segment::open(&path, after, header.len() as u64)
    }

    /// Opens a file to append to its first `length` bytes; what follows them is cut off.
    pub fn open(path: &Path, after: u64, length: u64) -> Result<Segment, LogError> {
        let file = File::options()
            .append(true)
            .open(path)
            .map_err(io_error("open", path))?;
        file.set_len(length)
            .and_then(|()| file.sync_all())
            .map_err(io_error("cut", path))?;
        Ok(Segment {
            path: path.to_owned(),
            file,
            after,
            length,
            durable: length,
        })
    }

    /// The index that the records come after.
    pub fn after(&self) -> u64 {
        self.after
    }

    pub fn length(&self) -> u64 {
        self.length
    }

    /// Writes records in one go; after an error the file is put back to what it was, where that can be done.
    pub fn append(&mut self, records: &[(u64, &[u8])]) -> Result<(), AppendError> {
        let mut bytes = Vec::new();
        for (index, payload) in records {
            bytes.extend(self.record_header(*index, payload).encode());
            bytes.extend_from_slice(payload);
        }
        match self.file.write_all(&bytes) {
            Ok(()) => {
                self.length += bytes.len() as u64;
                Ok(())
            }
            Err(source) => Err(self.undo(io_error("append to", &self.path)(source))),
        }
    }

    /// Makes what was appended durable.
    pub fn sync(&mut self) -> Result<(), LogError> {
        self.file
            .sync_data()
            .map_err(io_error("sync", &self.path))?;
        self.durable = self.length;
        Ok(())
    }

    fn record_header(&self, index: u64, payload: &[u8]) -> RecordHeader {
        RecordHeader {
            length: u32::try_from(payload.len()).expect("checked against the longest record"),
            index,
            durable: self.durable,
            payload_checksum: crc32fast::hash(payload),
        }
    }

    fn undo(&self, error: LogError) -> AppendError {
        AppendError {
            error,
            undone: self.file.set_len(self.length).is_ok(),
        }
    }
}

/// Why records could not be appended.
pub(crate) struct AppendError {
    pub error: LogError,
    /// Whether the file is as it was before.
    pub undone: bool,
}

/// What a file of records has.
pub(crate) struct SegmentContent {
    pub records: Vec<Record>,
    /// The length of the header and the whole records.
    pub length: u64,
    /// What follows them, left by a write that was not finished.
    pub torn_bytes: u64,
}

/// Whether a file may end in a write that was not finished.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Tail {
    /// The last file: it was being written when the process ended.
    MayBeTorn,
    /// An earlier file: it was durable before the next one was made.
    IsWhole,
}

/// Reads a file of records that come after an index.
pub(crate) fn read(path: &Path, after: u64, tail: Tail) -> Result<SegmentContent, LogError> {
    let bytes = fs::read(path).map_err(io_error("read", path))?;
    let corrupt = |offset: usize, damage| LogError::Corrupt {
        file: path.to_owned(),
        offset: offset as u64,
        damage,
    };
    let header = FileHeader::decode(&bytes).ok_or_else(|| corrupt(0, Damage::FileHeader))?;
    if header.format != FORMAT_VERSION {
        return Err(LogError::UnknownFormat {
            file: path.to_owned(),
            found: header.format,
        });
    }
    if header.after != after {
        return Err(corrupt(0, Damage::FileHeader));
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
            Err(damage) if tail == Tail::IsWhole || !is_torn(&bytes, offset, damage) => {
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
    let header = RecordHeader::decode(bytes).ok_or(Damage::RecordHeader)?;
    let length = header.length as usize;
    if length > LONGEST_RECORD {
        return Err(Damage::TooLong);
    }
    let payload = bytes[RecordHeader::LENGTH..]
        .get(..length)
        .ok_or(Damage::Incomplete)?;
    if crc32fast::hash(payload) != header.payload_checksum {
        return Err(Damage::Payload);
    }
    if header.index <= last {
        return Err(Damage::Index);
    }
    Ok(Record {
        index: header.index,
        payload: payload.to_vec(),
    })
}

/// Whether damage is what a write without a sync leaves: no later record says that this place was durable. A header whose
/// checksum matches was written as it is, so a wrong length or index in it is none.
fn is_torn(bytes: &[u8], damaged: usize, damage: Damage) -> bool {
    let written_so = matches!(damage, Damage::TooLong | Damage::Index);
    let says_durable = |offset: usize| {
        RecordHeader::decode(&bytes[offset..]).is_some_and(|header| header.durable > damaged as u64)
    };
    !written_so && !(damaged + 1..bytes.len()).any(says_durable)
}
