//! Resource usage of a run.

use serde::{Deserialize, Serialize};

/// Sampled resource usage of a dispatcher process; only for runs on sockets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of the dispatcher.
    pub dispatcher: usize,
    /// Second of the run, share of a core since the previous sample, resident memory in megabytes, open descriptors.
    pub samples: Vec<(f64, f64, f64, u64)>,
    /// Peak memory in megabytes.
    pub peak_mb: f64,
}

/// Resource usage of a run on this machine; differs between otherwise equal runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Duration of the run in seconds of real time.
    pub wall_s: f64,
    /// Peak memory of the testbed process in megabytes.
    pub peak_mb: f64,
    /// 99th percentile of the load generator's delay, in milliseconds.
    pub late_p99_ms: f64,
    /// Maximum delay of the load generator, in milliseconds.
    pub late_max_ms: f64,
    /// Resource usage per dispatcher.
    pub usage: Vec<Usage>,
    /// Number of accepted messages that have not ended, by second of the run; only for runs on sockets.
    pub open: Vec<(f64, usize)>,
    /// Second of the run from which processor time is measured.
    pub cpu_from_s: f64,
}
