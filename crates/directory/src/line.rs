//! The JSON lines of a watch on the configuration, as a control process writes and a dispatcher reads them.

use bellsill_placement::{BucketId, Epoch};
use serde::{Deserialize, Serialize};

/// Counts the changes of the configuration, from 1 on; assigned by the writing control process alone.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// Whether an endpoint takes messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    Up,
    Draining,
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
    pub zone: String,
    pub kind: String,
    /// The number of its destination.
    #[serde(rename = "cell")]
    pub destination: u64,
    pub state: EndpointState,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    /// The version of the change that made the entry what it is; nought in lists without it.
    #[serde(rename = "v", default)]
    pub version: Version,
}

/// One line of a scoped watch. Every field but `version` and `servers` may be absent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ScopedLine {
    /// All changes in the watcher's scope up to this version have been told with this line.
    pub version: Version,
    /// Always false in a scoped watch: nothing is gone because a line does not name it.
    pub full: bool,
    /// Names the history that versions count; another one begins from nothing.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub log: String,
    /// Of the assignment that `gained` and `lost` lead to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch: Option<Epoch>,
    /// Buckets that the watcher holds from now on, or whose entries are told anew; their entries follow.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gained: Vec<BucketId>,
    /// Buckets that the watcher holds no longer.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lost: Vec<BucketId>,
    /// Buckets of which every entry has been told, by this line or by earlier ones since they were gained; what the
    /// watcher kept of them before and was not told since then is gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub filled: Vec<BucketId>,
    pub servers: Vec<EndpointEntry>,
}

/// The longest line that a control process writes: the entries of a bucket that need more are told in several lines.
pub const LONGEST_LINE: usize = 64 * 1024;
