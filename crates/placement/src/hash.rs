//! The hash functions of placement. Processes of one fleet must agree on them, so their version travels with the table.

use crate::ids::BucketId;
use xxhash_rust::xxh3::xxh3_64;

/// Names the functions of this module. Version 1: XXH3 (64 bits, no seed) over little-endian integers and the UTF-8 bytes
/// of names. A change of any result needs another version.
pub const HASH_VERSION: u32 = 1;

/// Which of `buckets` buckets a destination falls into.
pub(crate) fn bucket_within_region(destination: u64, buckets: u32) -> u32 {
    let hash = xxh3_64(&destination.to_le_bytes());
    let scaled = (u128::from(hash) * u128::from(buckets)) >> u64::BITS;
    u32::try_from(scaled).expect("a 64-bit fraction of a 32-bit number")
}

/// The hash of a member's name, taken once for all its scores.
pub(crate) fn member_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The weighted rendezvous score of a member for a bucket; the lowest wins, with a chance in proportion to the weight.
#[derive(Clone, Copy)]
pub(crate) struct RendezvousScore {
    /// Uniform in 0 (without) to 1 (with).
    uniform: f64,
    weight: f64,
}

impl RendezvousScore {
    pub(crate) fn new(bucket: BucketId, member_hash: u64, weight: f64) -> RendezvousScore {
        let mut key = [0; 12];
        key[..8].copy_from_slice(&member_hash.to_le_bytes());
        key[8..].copy_from_slice(&bucket.0.to_le_bytes());
        RendezvousScore {
            uniform: unit_interval(xxh3_64(&key)),
            weight,
        }
    }

    /// The score. Its logarithm is of a library of its own so that it is the same on every platform.
    pub(crate) fn value(self) -> f64 {
        -libm::log(self.uniform) / self.weight
    }

    /// Orders the scores of one member as their values do, without a logarithm.
    pub(crate) fn order_for_one_member(self) -> f64 {
        -self.uniform
    }

    /// Whether the score is below another. Since it is not below `(1 - uniform) / weight`, most comparisons need no
    /// logarithm.
    pub(crate) fn is_below(self, other: f64) -> bool {
        1.0 - self.uniform < other * self.weight && self.value() < other
    }
}

/// A hash as a number above 0 and up to 1.
fn unit_interval(hash: u64) -> f64 {
    let mantissa_bits = f64::MANTISSA_DIGITS;
    let fraction = (hash >> (u64::BITS - mantissa_bits)) + 1;
    fraction as f64 / (1u64 << mantissa_bits) as f64
}
