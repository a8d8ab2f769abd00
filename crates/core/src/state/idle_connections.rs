//! How idle connections fared with a kind of destinations.

use crate::interface::*;

/// The moving share of attempts that met a dropped idle connection or a full connection table.
#[derive(Default)]
pub struct IdleConnections {
    pub drop_share: f64,
    /// From how many attempts.
    pub samples: f64,
    /// None are kept until then.
    pub avoided_until: Nanos,
}

impl IdleConnections {
    /// Counts one more attempt, with this weight at least.
    pub fn count(&mut self, dropped: bool, least_weight: f64) {
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(least_weight);
        self.drop_share += weight * (f64::from(u8::from(dropped)) - self.drop_share);
    }
}
