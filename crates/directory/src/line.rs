//! The JSON lines of a watch on the configuration, as a control process writes and a dispatcher reads them.

use bellsill_placement::{BucketId, Epoch};
use serde::{Deserialize, Serialize};

/// Counts the changes of the configuration, from 1 on; assigned by the leader alone.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(
    /// 0 before the first change, or where a list has no versions.
    pub u64,
);

/// Whether an endpoint takes messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// It takes messages.
    Up,
    /// It takes no new messages.
    Draining,
    /// It is gone.
    Removed,
}

/// One endpoint of a destination, as the configuration has it. The field names of the wire are the platform's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The endpoint's name, unique in the configuration.
    pub id: String,
    /// Where it listens, such as `10.0.0.1:9000`; absent where it is gone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub addr: Option<String>,
    /// Decides its region.
    pub zone: String,
    /// The kind of endpoint, by the platform's name.
    pub kind: String,
    /// The number of its destination.
    #[serde(rename = "cell")]
    pub destination: u64,
    /// Whether it takes messages.
    pub state: EndpointState,
    /// What the operators declare of its capacity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    /// The version of the entry's last change; 0 in lists without it.
    #[serde(rename = "v", default)]
    pub version: Version,
}

/// One line of a scoped watch. Every field but `version` and `servers` may be absent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ScopedLine {
    /// All changes in the watcher's scope up to this version have been sent with this line.
    pub version: Version,
    /// Always false in a scoped watch: nothing is gone because a line does not name it.
    pub full: bool,
    /// The log that versions count; another one begins from nothing. Absent except on the first line.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub log: String,
    /// Of the assignment that `gained` and `lost` lead to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch: Option<Epoch>,
    /// Buckets that the watcher holds from now on, or whose entries are sent again; their entries follow.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gained: Vec<BucketId>,
    /// Buckets that the watcher does not hold any more.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lost: Vec<BucketId>,
    /// Buckets of which every entry has been sent, on this line or on earlier ones since they were gained; entries that
    /// the watcher had before and was not sent since then are gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub filled: Vec<BucketId>,
    /// Entries that are new or differ from before, or that fill a bucket.
    pub servers: Vec<EndpointEntry>,
}

/// The longest line that a control process writes, in bytes; the entries of a bucket may need several lines.
pub const LONGEST_LINE: usize = 64 * 1024;
