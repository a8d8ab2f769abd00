//! The snapshot file, `snapshot.INDEX`. It consists of a magic number, the format version, the index, the records, each
//! preceded by its length, the number of records, and a checksum of everything before it.

use crate::codec::{ByteReader, CHECKSUM_BYTES, FORMAT_VERSION, MAX_RECORD_BYTES, SNAPSHOT_MAGIC};
use crate::directory::{Directory, write_all};
use crate::error::{LogError, RejectReason, io_error};
use crc32fast::Hasher;
use std::fs::{self, File};
use std::io::{BufWriter, Write};
use std::path::Path;

/// The length in bytes of the record count, which precedes the checksum.
const COUNT_BYTES: usize = 8;

/// The complete state after all records up to an index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The index of the last record that the state includes.
    pub index: u64,
    /// The state, encoded by the caller.
    pub records: Vec<Vec<u8>>,
}

/// Writes a snapshot to a temporary file, and renames it once it is durable.
pub(crate) fn write(
    directory: &Directory,
    index: u64,
    records: impl Iterator<Item = Vec<u8>>,
) -> Result<(), LogError> {
    directory.write_atomically(&directory.snapshot_path(index), |file, path| {
        let mut writer = ChecksummedWriter {
            file: BufWriter::new(file),
            path,
            hasher: Hasher::new(),
        };
        writer.write(&SNAPSHOT_MAGIC)?;
        writer.write(&FORMAT_VERSION.to_le_bytes())?;
        writer.write(&index.to_le_bytes())?;
        let mut count: u64 = 0;
        for record in records {
            writer.write_record(&record)?;
            count += 1;
        }
        writer.write(&count.to_le_bytes())?;
        writer.finish()
    })
}

/// The result of reading a snapshot file.
pub(crate) enum SnapshotFile {
    /// The file is complete and undamaged.
    Usable(Snapshot),
    /// The file is readable, but its content is not a valid snapshot of its index.
    Rejected(RejectReason),
}

/// Reads a snapshot file, and checks that its index matches the one in its name.
pub(crate) fn read(path: &Path, index: u64) -> Result<SnapshotFile, LogError> {
    let bytes = fs::read(path).map_err(io_error("read", path))?;
    Ok(match decode(&bytes) {
        Ok(snapshot) if snapshot.index == index => SnapshotFile::Usable(snapshot),
        Ok(_) => SnapshotFile::Rejected(RejectReason::IndexMismatch),
        Err(reason) => SnapshotFile::Rejected(reason),
    })
}

fn decode(bytes: &[u8]) -> Result<Snapshot, RejectReason> {
    let too_short = RejectReason::NotASnapshot;
    let (content, checksum) = bytes
        .split_last_chunk::<CHECKSUM_BYTES>()
        .ok_or(too_short)?;
    let mut reader = ByteReader::new(content);
    if reader.array() != Some(SNAPSHOT_MAGIC) {
        return Err(RejectReason::NotASnapshot);
    }
    if crc32fast::hash(content) != u32::from_le_bytes(*checksum) {
        return Err(RejectReason::ChecksumMismatch);
    }
    match reader.u32().ok_or(too_short)? {
        FORMAT_VERSION => {}
        other => return Err(RejectReason::UnknownFormat(other)),
    }
    let index = reader.u64().ok_or(too_short)?;
    let (_, count) = content.split_last_chunk::<COUNT_BYTES>().ok_or(too_short)?;
    let records = decode_records(&mut reader, u64::from_le_bytes(*count))?;
    Ok(Snapshot { index, records })
}

fn decode_records(reader: &mut ByteReader, count: u64) -> Result<Vec<Vec<u8>>, RejectReason> {
    let mut records = Vec::new();
    for _ in 0..count {
        let length = reader.u32().ok_or(RejectReason::RecordCountMismatch)? as usize;
        if length > MAX_RECORD_BYTES {
            return Err(RejectReason::RecordTooLong);
        }
        records.push(
            reader
                .take(length)
                .ok_or(RejectReason::RecordCountMismatch)?
                .to_vec(),
        );
    }
    let count_field = reader.take(COUNT_BYTES);
    if count_field.is_some() && reader.is_empty() {
        Ok(records)
    } else {
        Err(RejectReason::RecordCountMismatch)
    }
}

/// Writes a file, and appends the checksum of its content.
struct ChecksummedWriter<'a> {
    file: BufWriter<&'a mut File>,
    path: &'a Path,
    hasher: Hasher,
}

impl ChecksummedWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> Result<(), LogError> {
        self.hasher.update(bytes);
        write_all(&mut self.file, self.path, bytes)
    }

    fn write_record(&mut self, record: &[u8]) -> Result<(), LogError> {
        if record.len() > MAX_RECORD_BYTES {
            return Err(LogError::RecordTooLong {
                length: record.len(),
            });
        }
        let length =
            u32::try_from(record.len()).expect("the length was checked against MAX_RECORD_BYTES");
        self.write(&length.to_le_bytes())?;
        self.write(record)
    }

    fn finish(mut self) -> Result<(), LogError> {
        let checksum = self.hasher.clone().finalize();
        write_all(&mut self.file, self.path, &checksum.to_le_bytes())?;
        self.file.flush().map_err(io_error("write", self.path))
    }
}
