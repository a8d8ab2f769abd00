//! The on-disk encoding of segment and record headers, and constants of the snapshot format. All integers are
//! little-endian.

/// The format version of segments and snapshots. Files with any other version are rejected.
pub const FORMAT_VERSION: u32 = 1;

/// The maximum payload size in bytes of a record in a segment or a snapshot. Larger payloads are rejected on write and
/// on read.
pub const MAX_RECORD_BYTES: usize = 16 * 1024 * 1024;

/// The length of a CRC-32 checksum in bytes.
pub(crate) const CHECKSUM_BYTES: usize = 4;
/// The first bytes of a segment.
pub(crate) const SEGMENT_MAGIC: [u8; 8] = *b"bsl-log\n";
/// The first bytes of a snapshot.
pub(crate) const SNAPSHOT_MAGIC: [u8; 8] = *b"bsl-snp\n";

/// Reads values sequentially from a byte slice. The methods return `None` if too few bytes are left.
pub(crate) struct ByteReader<'a> {
    bytes: &'a [u8],
}

impl<'a> ByteReader<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> ByteReader<'a> {
        ByteReader { bytes }
    }

    /// Reads the next `length` bytes.
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

/// Returns the content of a header of the given length, if the checksum at its end matches.
fn verified_content(bytes: &[u8], length: usize) -> Option<ByteReader<'_>> {
    let (content, checksum) = bytes.get(..length)?.split_last_chunk::<CHECKSUM_BYTES>()?;
    (u32::from_le_bytes(*checksum) == crc32fast::hash(content)).then_some(ByteReader::new(content))
}

/// The header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentHeader {
    pub(crate) format: u32,
    /// The index that all records of the segment are higher than.
    pub(crate) previous_index: u64,
}

impl SegmentHeader {
    /// The length of the encoded header in bytes.
    pub(crate) const LENGTH: usize = 24;

    pub(crate) fn encode(self) -> Vec<u8> {
        let mut bytes = SEGMENT_MAGIC.to_vec();
        bytes.extend(self.format.to_le_bytes());
        bytes.extend(self.previous_index.to_le_bytes());
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        bytes
    }

    pub(crate) fn decode(bytes: &[u8]) -> Option<SegmentHeader> {
        let mut reader = verified_content(bytes, Self::LENGTH)?;
        let magic: [u8; 8] = reader.array()?;
        let header = SegmentHeader {
            format: reader.u32()?,
            previous_index: reader.u64()?,
        };
        (magic == SEGMENT_MAGIC).then_some(header)
    }
}

/// The header of a record, which precedes its payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RecordHeader {
    /// The length of the payload in bytes.
    pub(crate) length: u32,
    pub(crate) index: u64,
    /// The length of the segment that was synced when the record was written. Damage before that offset can't be a torn
    /// write.
    pub(crate) durable_length: u64,
    pub(crate) payload_checksum: u32,
}

impl RecordHeader {
    /// The length of the encoded header in bytes.
    pub(crate) const LENGTH: usize = 28;

    pub(crate) fn encode(self) -> [u8; Self::LENGTH] {
        let mut bytes = [0; Self::LENGTH];
        bytes[..4].copy_from_slice(&self.length.to_le_bytes());
        bytes[4..12].copy_from_slice(&self.index.to_le_bytes());
        bytes[12..20].copy_from_slice(&self.durable_length.to_le_bytes());
        bytes[20..24].copy_from_slice(&self.payload_checksum.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..24]);
        bytes[24..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes the header at the start of the bytes, if its checksum matches.
    pub(crate) fn decode(bytes: &[u8]) -> Option<RecordHeader> {
        let mut reader = verified_content(bytes, Self::LENGTH)?;
        Some(RecordHeader {
            length: reader.u32()?,
            index: reader.u64()?,
            durable_length: reader.u64()?,
            payload_checksum: reader.u32()?,
        })
    }
}
