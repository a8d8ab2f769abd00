//! Units of the process's monotonic clock, which counts nanoseconds since the process started.

use bellsill_net::Nanos;

pub(crate) const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1_000 * MILLISECOND;
