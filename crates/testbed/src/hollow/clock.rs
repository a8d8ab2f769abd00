//! The clock that all processes of one machine share.

use bellsill_core::interface::Nanos;
use rustix::time::{ClockId, clock_gettime};

pub const SECOND: Nanos = 1_000_000_000;
pub const MILLISECOND: Nanos = 1_000_000;

/// Nanoseconds on the monotonic clock.
pub fn now() -> Nanos {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec as Nanos * SECOND + time.tv_nsec as Nanos
}
