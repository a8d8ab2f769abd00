//! Appending to a segment, `log.INDEX`.

use crate::codec::{FORMAT_VERSION, RecordHeader, SegmentHeader};
use crate::directory::{Directory, write_all};
use crate::error::{LogError, io_error};
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

/// A record to be appended.
#[derive(Clone, Copy, Debug)]
pub struct NewRecord<'a> {
    /// Must be higher than that of every earlier record and snapshot.
    pub index: u64,
    /// The record's content.
    pub payload: &'a [u8],
}

/// The segment that records are appended to.
pub(crate) struct Segment {
    path: PathBuf,
    file: File,
    /// The index that all its records are higher than.
    previous_index: u64,
    length: u64,
    /// The length in bytes up to which the file has been synced.
    durable_length: u64,
}

impl Segment {
    /// Creates the segment for the records after `previous_index`.
    pub(crate) fn create(directory: &Directory, previous_index: u64) -> Result<Segment, LogError> {
        let path = directory.segment_path(previous_index);
        let header = SegmentHeader {
            format: FORMAT_VERSION,
            previous_index,
        }
        .encode();
        directory.write_atomically(&path, |file, path| write_all(file, path, &header))?;
        Segment::open(&path, previous_index, header.len() as u64)
    }

    /// Opens a segment for appending, and truncates it to `length` bytes.
    pub(crate) fn open(path: &Path, previous_index: u64, length: u64) -> Result<Segment, LogError> {
        let file = File::options()
            .append(true)
            .open(path)
            .map_err(io_error("open", path))?;
        file.set_len(length)
            .and_then(|()| file.sync_all())
            .map_err(io_error("truncate", path))?;
        Ok(Segment {
            path: path.to_owned(),
            file,
            previous_index,
            length,
            durable_length: length,
        })
    }

    pub(crate) fn previous_index(&self) -> u64 {
        self.previous_index
    }

    pub(crate) fn length(&self) -> u64 {
        self.length
    }

    /// Appends records as one batch. On an error the file is truncated to its previous length, if possible.
    pub(crate) fn append(&mut self, records: &[NewRecord]) -> Result<(), AppendError> {
        let mut bytes = Vec::new();
        for record in records {
            bytes.extend(self.record_header(record).encode());
            bytes.extend_from_slice(record.payload);
        }
        match self.file.write_all(&bytes) {
            Ok(()) => {
                self.length += bytes.len() as u64;
                Ok(())
            }
            Err(source) => Err(self.roll_back(io_error("append to", &self.path)(source))),
        }
    }

    /// Makes all appended records durable.
    pub(crate) fn sync(&mut self) -> Result<(), LogError> {
        self.file
            .sync_data()
            .map_err(io_error("sync", &self.path))?;
        self.durable_length = self.length;
        Ok(())
    }

    fn record_header(&self, record: &NewRecord) -> RecordHeader {
        RecordHeader {
            length: u32::try_from(record.payload.len())
                .expect("the length was checked against MAX_RECORD_BYTES"),
            index: record.index,
            durable_length: self.durable_length,
            payload_checksum: crc32fast::hash(record.payload),
        }
    }

    fn roll_back(&self, error: LogError) -> AppendError {
        AppendError {
            error,
            rolled_back: self.file.set_len(self.length).is_ok(),
        }
    }
}

/// Why records could not be appended.
pub(crate) struct AppendError {
    pub(crate) error: LogError,
    /// Whether the file was truncated to its previous length.
    pub(crate) rolled_back: bool,
}
