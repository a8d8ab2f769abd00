//! Time in the model, in nanoseconds from a fixed origin.

use bellsill_core::interface::Nanos;

/// One millisecond.
pub const MS: Nanos = 1_000_000;
/// One second.
pub const S: Nanos = 1_000 * MS;
/// The clock at the start of a run. Not zero, so that earlier moments can be expressed.
pub const START: Nanos = 1_000 * S;

/// Converts milliseconds to nanoseconds.
pub fn ms(x: f64) -> Nanos {
    (x * MS as f64) as Nanos
}

/// Converts seconds to nanoseconds.
pub fn secs(x: f64) -> Nanos {
    (x * S as f64) as Nanos
}
