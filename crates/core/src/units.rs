//! Units of time.

use crate::interface::Nanos;

/// One millisecond.
pub(crate) const MS: Nanos = 1_000_000;
