//! Observations of idle connections, per kind of destinations.

use crate::interface::Nanos;

/// Observations of the idle connections to a kind of destinations.
#[derive(Default)]
pub(crate) struct IdleConnections {
    /// The moving share of attempts that used a dropped idle connection, or found the endpoint's
    /// connection table full.
    pub(crate) drop_share: f64,
    /// The number of attempts observed for `drop_share`.
    pub(crate) samples: f64,
    /// Until when idle connections are avoided.
    pub(crate) avoided_until: Nanos,
}

impl IdleConnections {
    /// Adds an attempt to the share, with a weight that falls to `min_weight` as samples
    /// accumulate.
    pub(crate) fn count(&mut self, dropped: bool, min_weight: f64) {
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(min_weight);
        self.drop_share += weight * (f64::from(u8::from(dropped)) - self.drop_share);
    }
}
