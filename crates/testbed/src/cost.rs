//! What a run costs the machine that it runs on.

use serde::{Deserialize, Serialize};

/// What one dispatcher's process used, sampled; sockets only.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Which one.
    pub dispatcher: usize,
    /// Second, share of a core since the sample before, resident megabytes, descriptors.
    pub samples: Vec<(f64, f64, f64, u64)>,
    /// The most memory that it held.
    pub peak_mb: f64,
}

/// What the run cost this machine: not the same in equal runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// How long the run took.
    pub wall_s: f64,
    /// Of the testbed's own process.
    pub peak_mb: f64,
    /// How late the generator was, in milliseconds: at its 99th percentile and at worst.
    pub late_p99_ms: f64,
    /// At worst.
    pub late_max_ms: f64,
    /// By dispatcher.
    pub usage: Vec<Usage>,
    /// Messages accepted and not ended, at seconds of the run; sockets only.
    pub open: Vec<(f64, usize)>,
    /// From which second on processor time counts.
    pub cpu_from_s: f64,
}
