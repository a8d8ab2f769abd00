//! The range of values that make sense.

/// The most of any rate, price, weight or multiple.
pub(crate) const MAX_VALUE: f64 = 1e9;
/// The least share of a capacity.
pub(crate) const MIN_SHARE: f64 = 1e-6;
