//! Bounds that configured values are checked against.

/// The maximum of any rate, penalty, weight or multiple.
pub(crate) const MAX_VALUE: f64 = 1e9;
/// The minimum of a share and of the overload multiple, which have to be positive.
pub(crate) const MIN_SHARE: f64 = 1e-6;
