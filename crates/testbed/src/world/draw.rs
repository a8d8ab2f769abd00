//! Stateless random draws.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A pseudo-random number from 0 to 1 that depends only on the arguments. A draw for one message is therefore independent of
/// all other events, which makes runs of two builds comparable.
pub fn draw(seed: u64, item: u64, subject: u64, salt: u64) -> f64 {
    let mixed =
        seed ^ item.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ subject.rotate_left(32) ^ (salt << 56);
    Pcg64Mcg::seed_from_u64(mixed).random()
}

/// Interpolates linearly between the two ends of a range.
pub fn interpolate(range: [f64; 2], fraction: f64) -> f64 {
    range[0] + (range[1] - range[0]) * fraction
}
