//! What the command `hollow` is told, and what its workers are told in turn.

use super::plan::PlanOptions;
use clap::{Args, ValueEnum};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What is done to the fleet and measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ScenarioName {
    Steady,
    Clump,
    KillControl,
    StopControl,
    ZoneLost,
    RestartMany,
    AllControlDead,
    Corrupt,
    /// All of them, in this order, on one fleet.
    All,
}

#[derive(Args, Clone, Debug)]
pub struct HollowOptions {
    #[arg(long, default_value_t = 50)]
    pub dispatchers: usize,
    #[arg(long, default_value_t = 10_000)]
    pub destinations: u64,
    /// Control processes; the first one is the writer.
    #[arg(long, default_value_t = 3)]
    pub control: usize,
    /// What is done; several may be named.
    #[arg(long, value_enum, value_delimiter = ',', default_value = "steady")]
    pub scenario: Vec<ScenarioName>,
    /// Dispatchers in each worker process.
    #[arg(long, default_value_t = 80)]
    pub per_worker: usize,
    #[arg(long, default_value_t = bellsill_placement::DEFAULT_BUCKETS_PER_REGION)]
    pub buckets_per_region: u32,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seconds of the steady churn.
    #[arg(long, default_value_t = 120)]
    pub steady_seconds: u64,
    /// Changes a day, before the speed-up.
    #[arg(long, default_value_t = 3_300.0)]
    pub changes_a_day: f64,
    /// How much faster than a day's the steady churn is.
    #[arg(long, default_value_t = 20.0)]
    pub speed_up: f64,
    /// Changes within the one second of the clump.
    #[arg(long, default_value_t = 300)]
    pub clump: usize,
    /// Dispatchers that are restarted at once.
    #[arg(long, default_value_t = 190)]
    pub restarts: usize,
    /// Seconds without any control process.
    #[arg(long, default_value_t = 60)]
    pub dead_seconds: u64,
    /// Seconds for which one control process is stopped.
    #[arg(long, default_value_t = 10)]
    pub stop_seconds: u64,
    /// Seconds for which the fleet is watched after something was done to it.
    #[arg(long, default_value_t = 10)]
    pub watch_seconds: u64,
    /// How long the writer waits for a dispatcher that is gone, in seconds.
    #[arg(long, default_value_t = 30)]
    pub restart_grace: u64,
    /// Bytes a second in which a watch is filled.
    #[arg(long, default_value_t = 8_192)]
    pub fill_bytes_per_second: u64,
    /// The program of the control processes.
    #[arg(long, default_value = "target/release/bellsill")]
    pub program: PathBuf,
    /// State directories and logs of all processes; what is there is removed first.
    #[arg(long, default_value = "target/lab/hollow")]
    pub work: PathBuf,
    /// Where the results are written as Markdown too.
    #[arg(long)]
    pub output: Option<PathBuf>,
}

impl HollowOptions {
    /// How long the fleet is watched after something was done to it.
    pub fn watched_after(&self) -> Duration {
        Duration::from_secs(self.watch_seconds)
    }

    pub fn plan(&self) -> PlanOptions {
        PlanOptions {
            dispatchers: self.dispatchers,
            destinations: self.destinations,
            buckets_per_region: self.buckets_per_region,
        }
    }
}

/// What a worker process is told on its command line, as JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerOptions {
    pub plan: PlanOptions,
    /// Where control processes listen.
    pub servers: Vec<SocketAddr>,
    /// Where state files are kept.
    pub state_directory: PathBuf,
    pub seed: u64,
}
