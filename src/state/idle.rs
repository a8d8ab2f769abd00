//! What the connects of a kind of destinations met on idle connections.

use crate::interface::*;

/// The share of connects that met drops or full tables.
#[derive(Default)]
pub struct Tight {
    pub share: f64,
    /// Of how many connects.
    pub of: f64,
    /// No idle connections are kept until then.
    pub until: Nanos,
}

impl Tight {
    /// Counts one more connect, with this weight at least.
    pub fn count(&mut self, met: bool, least_weight: f64) {
        self.of += 1.0;
        self.share += (1.0 / self.of).max(least_weight) * (f64::from(u8::from(met)) - self.share);
    }
}
