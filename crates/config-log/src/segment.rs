//! Appending to one file of records, `log.INDEX`.

use crate::codec::{FORMAT_VERSION, FileHeader, RecordHeader};
use crate::directory::{Directory, write_all};
use crate::error::{LogError, io_error};
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

/// A record to be appended.
#[derive(Clone, Copy, Debug)]
pub struct NewRecord<'a> {
    /// Higher than that of every earlier record.
    pub index: u64,
    /// The record's content.
    pub payload: &'a [u8],
}

/// A file of records that is appended to.
pub(crate) struct Segment {
    path: PathBuf,
    file: File,
    /// The index that its records come after.
    after: u64,
    length: u64,
    /// How many of its bytes have been synced.
    durable: u64,
}

impl Segment {
    /// Creates the file for the records after an index.
    pub(crate) fn create(directory: &Directory, after: u64) -> Result<Segment, LogError> {
        let path = directory.log_path(after);
        let header = FileHeader {
            format: FORMAT_VERSION,
            after,
        }
        .encode();
        directory.write_atomically(&path, |file, path| write_all(file, path, &header))?;
        Segment::open(&path, after, header.len() as u64)
    }

    /// Opens a file to append to its first `length` bytes; what follows them is cut off.
    pub(crate) fn open(path: &Path, after: u64, length: u64) -> Result<Segment, LogError> {
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
    pub(crate) fn after(&self) -> u64 {
        self.after
    }

    pub(crate) fn length(&self) -> u64 {
        self.length
    }

    /// Writes records in one go; after an error the file is truncated to its previous length, if that is possible.
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
            Err(source) => Err(self.undo(io_error("append to", &self.path)(source))),
        }
    }

    /// Makes what was appended durable.
    pub(crate) fn sync(&mut self) -> Result<(), LogError> {
        self.file
            .sync_data()
            .map_err(io_error("sync", &self.path))?;
        self.durable = self.length;
        Ok(())
    }

    fn record_header(&self, record: &NewRecord) -> RecordHeader {
        RecordHeader {
            length: u32::try_from(record.payload.len())
                .expect("checked against the longest record"),
            index: record.index,
            durable: self.durable,
            payload_checksum: crc32fast::hash(record.payload),
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
    pub(crate) error: LogError,
    /// Whether the file is as it was before.
    pub(crate) undone: bool,
}
