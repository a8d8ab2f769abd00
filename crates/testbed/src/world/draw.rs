//! Draws that depend on their arguments alone.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A number from 0 to 1 that depends on these alone: what is drawn for one message is the same whatever else happens, so
/// that runs of two builds can be compared.
pub fn draw(seed: u64, what: u64, whom: u64, salt: u64) -> f64 {
    let mixed =
        seed ^ what.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ whom.rotate_left(32) ^ (salt << 56);
    Pcg64Mcg::seed_from_u64(mixed).random()
}

/// The point of a range at a fraction of it.
pub fn interpolate(pair: [f64; 2], x: f64) -> f64 {
    pair[0] + (pair[1] - pair[0]) * x
}
