//! How idle connections fared with a kind of destinations.

use crate::interface::Nanos;

/// The moving share of attempts that met a dropped idle connection or a full connection table.
#[derive(Default)]
pub(crate) struct IdleConnections {
    pub(crate) drop_share: f64,
    /// The number of attempts that the share was learnt from.
    pub(crate) samples: f64,
    /// No idle connections are kept until then.
    pub(crate) avoided_until: Nanos,
}

impl IdleConnections {
    /// Counts one more attempt, with this weight at least.
    pub(crate) fn count(&mut self, dropped: bool, least_weight: f64) {
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(least_weight);
        self.drop_share += weight * (f64::from(u8::from(dropped)) - self.drop_share);
    }
}
