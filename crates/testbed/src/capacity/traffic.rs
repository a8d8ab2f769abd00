//! The traffic of the measurement of wasted attempts.

/// The traffic, which is the same for every number of dispatchers.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// How many destinations it is for.
    pub destinations: u32,
    /// The first so many of the destinations are down throughout.
    pub down: u32,
    /// Of all destinations together.
    pub messages_per_second: f64,
    /// For how long messages come.
    pub seconds: u32,
    /// What all draws start from.
    pub seed: u64,
}
