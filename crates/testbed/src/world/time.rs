//! Time in the model: nanoseconds, from a fixed start.

use bellsill_core::interface::Nanos;

/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const S: Nanos = 1_000 * MS;
/// The testbed's clock at the start of a run. Not zero, so that earlier moments can be expressed.
pub const START: Nanos = 1_000 * S;

/// Milliseconds in nanoseconds.
pub fn ms(x: f64) -> Nanos {
    (x * MS as f64) as Nanos
}

/// Seconds in nanoseconds.
pub fn secs(x: f64) -> Nanos {
    (x * S as f64) as Nanos
}
