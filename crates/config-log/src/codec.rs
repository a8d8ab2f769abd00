//! The encoding of a log: the headers of its files and records. All integers are little-endian.

/// The format version of logs and snapshots; any other one is rejected.
pub const FORMAT_VERSION: u32 = 1;

/// The longest payload of a record or of a snapshot's record, in bytes. A longer one is rejected when writing and reading.
pub const MAX_RECORD_BYTES: usize = 16 * 1024 * 1024;

/// The length of a CRC-32 checksum.
pub(crate) const CHECKSUM_BYTES: usize = 4;
/// The first bytes of a log.
pub(crate) const LOG_MAGIC: [u8; 8] = *b"bsl-log\n";
/// The first bytes of a snapshot.
pub(crate) const SNAPSHOT_MAGIC: [u8; 8] = *b"bsl-snp\n";

/// Reads integers one after the other; `None` at the end of the bytes.
pub(crate) struct Reader<'a> {
    bytes: &'a [u8],
}

impl<'a> Reader<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes }
    }

    /// The next `length` bytes.
    pub(crate) fn take(&mut self, length: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.bytes.split_at_checked(length)?;
        self.bytes = rest;
        Some(taken)
    }

    pub(crate) fn u32(&mut self) -> Option<u32> {
        self.array().map(u32::from_le_bytes)
    }

    pub(crate) fn u64(&mut self) -> Option<u64> {
        self.array().map(u64::from_le_bytes)
    }

    pub(crate) fn array<const LENGTH: usize>(&mut self) -> Option<[u8; LENGTH]> {
        self.take(LENGTH)?.try_into().ok()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

/// The content of a header of this length, if the checksum at its end matches.
fn checked_content(bytes: &[u8], length: usize) -> Option<Reader<'_>> {
    let (content, checksum) = bytes.get(..length)?.split_last_chunk::<CHECKSUM_BYTES>()?;
    (u32::from_le_bytes(*checksum) == crc32fast::hash(content)).then_some(Reader::new(content))
}

/// The header of a segment: its format, and the index that its records come after.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FileHeader {
    pub(crate) format: u32,
    pub(crate) after: u64,
}

impl FileHeader {
    /// The length of the encoded header in bytes.
    pub(crate) const LENGTH: usize = 24;

    pub(crate) fn encode(self) -> Vec<u8> {
        let mut bytes = LOG_MAGIC.to_vec();
        bytes.extend(self.format.to_le_bytes());
        bytes.extend(self.after.to_le_bytes());
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        bytes
    }

    pub(crate) fn decode(bytes: &[u8]) -> Option<FileHeader> {
        let mut reader = checked_content(bytes, Self::LENGTH)?;
        let magic: [u8; 8] = reader.array()?;
        let header = FileHeader {
            format: reader.u32()?,
            after: reader.u64()?,
        };
        (magic == LOG_MAGIC).then_some(header)
    }
}

/// The header of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RecordHeader {
    pub(crate) length: u32,
    pub(crate) index: u64,
    /// How many bytes of the file were durable when the record was written: damage before that is not a torn write.
    pub(crate) durable: u64,
    pub(crate) payload_checksum: u32,
}

impl RecordHeader {
    /// The length of the encoded header in bytes.
    pub(crate) const LENGTH: usize = 28;

    pub(crate) fn encode(self) -> [u8; Self::LENGTH] {
        let mut bytes = [0; Self::LENGTH];
        bytes[..4].copy_from_slice(&self.length.to_le_bytes());
        bytes[4..12].copy_from_slice(&self.index.to_le_bytes());
        bytes[12..20].copy_from_slice(&self.durable.to_le_bytes());
        bytes[20..24].copy_from_slice(&self.payload_checksum.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..24]);
        bytes[24..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes the header at the start of the bytes, if its checksum matches.
    pub(crate) fn decode(bytes: &[u8]) -> Option<RecordHeader> {
        let mut reader = checked_content(bytes, Self::LENGTH)?;
        Some(RecordHeader {
            length: reader.u32()?,
            index: reader.u64()?,
            durable: reader.u64()?,
            payload_checksum: reader.u32()?,
        })
    }
}
