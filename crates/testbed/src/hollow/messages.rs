//! What the parent and its workers tell each other, one JSON object a line: orders on a worker's standard input, reports
//! on its standard output.

use super::plan::DispatcherIndex;
use bellsill_core::interface::Nanos;
use bellsill_directory::line::Version;
use bellsill_placement::BucketId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a dispatcher starts from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartFrom {
    Nothing,
    /// The state file that was written when it stopped.
    StateFile,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Order {
    Start {
        dispatchers: Vec<DispatcherIndex>,
        from: StartFrom,
    },
    /// The dispatchers end, and their state files are written.
    Stop { dispatchers: Vec<DispatcherIndex> },
    /// Entries above this version are reported when they are in force; none before the first such order.
    ReportAbove(Version),
    /// Traffic is counted anew.
    BeginTraffic,
    /// Answered with [`Report::Traffic`].
    EndTraffic,
    /// Answered with [`Report::Digests`].
    Digest,
}

/// Lines and files that dispatchers met, counted since the worker began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultCounts {
    /// Changes applied with a version below the endpoint's last one.
    pub out_of_order: u64,
    /// Changes applied again on the same connection without a filling.
    pub twice: u64,
    /// Lines that the list refused, and connections ended by the watch's own reader.
    pub refused_lines: u64,
    pub refused_state_files: u64,
    /// Entries that the list did not take, since it had them or newer ones; usual where a bucket is told anew.
    pub entries_not_taken: u64,
    /// Faults that have been put into words, or would have been if there were fewer.
    pub told: u64,
}

impl FaultCounts {
    pub fn add(&mut self, other: &FaultCounts) {
        self.out_of_order += other.out_of_order;
        self.twice += other.twice;
        self.refused_lines += other.refused_lines;
        self.refused_state_files += other.refused_state_files;
        self.entries_not_taken += other.entries_not_taken;
        self.told += other.told;
    }
}

/// How a worker's dispatchers are, told a few times a second.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Status {
    pub at: Nanos,
    pub running: usize,
    /// Running dispatchers that have heard from a control process lately.
    pub served: usize,
    /// Running dispatchers by the control process that they heard from last.
    pub by_server: Vec<usize>,
    /// Bytes read since the worker began.
    pub bytes: u64,
    /// Connections opened since the worker began.
    pub connects: u64,
    pub faults: FaultCounts,
}

/// What the dispatchers of a worker read between `BeginTraffic` and `EndTraffic`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Traffic {
    pub bytes: u64,
    /// Seconds of all dispatchers together.
    pub dispatcher_seconds: f64,
    /// How many seconds of a dispatcher had so many bytes.
    pub seconds_by_bytes: BTreeMap<u64, u64>,
    /// The most that one dispatcher read in 3 s.
    pub largest_three_seconds: u64,
}

/// A fingerprint of what a dispatcher has in force of a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketDigest {
    pub dispatcher: DispatcherIndex,
    pub bucket: BucketId,
    pub entries: u64,
    pub digest: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Report {
    /// A worker has begun, and has no dispatcher yet.
    Ready,
    /// An entry is in force in the route table.
    Applied {
        dispatcher: DispatcherIndex,
        endpoint: String,
        version: Version,
        at: Nanos,
    },
    /// The buckets of a dispatcher that started from its state file, all of them known.
    Restored {
        dispatcher: DispatcherIndex,
        at: Nanos,
        buckets: Vec<BucketId>,
    },
    /// The buckets held have changed.
    Held {
        dispatcher: DispatcherIndex,
        at: Nanos,
        gained: Vec<BucketId>,
        lost: Vec<BucketId>,
        filled: Vec<BucketId>,
    },
    Stopped {
        dispatcher: DispatcherIndex,
        at: Nanos,
    },
    /// What was wrong, in words, for the first few faults.
    Fault {
        dispatcher: DispatcherIndex,
        what: String,
    },
    Status(Status),
    Traffic(Traffic),
    Digests(Vec<BucketDigest>),
}
