//! Units of the process's clock, which counts nanoseconds from its start.

use bellsill_net::Nanos;

pub(crate) const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1_000 * MILLISECOND;
