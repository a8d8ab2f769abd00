//! Hash functions of placement. All processes of a fleet must use the same ones, so tables contain their version.

use crate::ids::BucketId;
use xxhash_rust::xxh3::xxh3_64;

/// The version of the functions of this module. Version 1: XXH3 (64 bits, no seed) of little-endian integers and the
/// UTF-8 bytes of names. Any change of a result requires a new version.
pub const HASH_VERSION: u32 = 1;

/// The bucket of a destination, in `0..buckets`.
pub(crate) fn bucket_within_region(destination: u64, buckets: u32) -> u32 {
    let hash = xxh3_64(&destination.to_le_bytes());
    let scaled = (u128::from(hash) * u128::from(buckets)) >> u64::BITS;
    u32::try_from(scaled).expect("the scaled hash is below the 32-bit bucket count")
}

/// The hash of a member's name. Callers compute it once and use it for all scores of the member.
pub(crate) fn member_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The weighted rendezvous score of a member for a bucket. The lowest score wins; the probability of winning is
/// proportional to the weight.
#[derive(Clone, Copy)]
pub(crate) struct RendezvousScore {
    /// Uniformly distributed in (0, 1].
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

    /// The score. It uses the logarithm of `libm`, which gives the same result on every platform.
    pub(crate) fn value(self) -> f64 {
        -libm::log(self.uniform) / self.weight
    }

    /// A key that orders the scores of one member like their values, without computing a logarithm.
    pub(crate) fn order_for_one_member(self) -> f64 {
        -self.uniform
    }

    /// Whether the score is below `other`. `(1 - uniform) / weight` is a lower bound of the score, so most comparisons
    /// need no logarithm.
    pub(crate) fn is_below(self, other: f64) -> bool {
        1.0 - self.uniform < other * self.weight && self.value() < other
    }
}

/// Maps a hash to a number in (0, 1].
fn unit_interval(hash: u64) -> f64 {
    let mantissa_bits = f64::MANTISSA_DIGITS;
    let fraction = (hash >> (u64::BITS - mantissa_bits)) + 1;
    fraction as f64 / (1u64 << mantissa_bits) as f64
}
