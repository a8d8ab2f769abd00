//! The disk space that files take.

/// Files occupy whole blocks of the disk.
const BLOCK_BYTES: u64 = 512;

/// The disk space of a file of this length, in whole blocks.
pub(crate) const fn disk_bytes(length: u64) -> u64 {
    length.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
}
