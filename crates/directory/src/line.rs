//! The JSON lines of a watch on the configuration, written by a control process and read by a dispatcher.

use bellsill_placement::{BucketId, Epoch};
use serde::{Deserialize, Serialize};

/// The sequence number of a change of the configuration, starting at 1. Only the leader assigns versions.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(
    /// 0 before the first change, and in lists without versions.
    pub u64,
);

/// Whether an endpoint accepts messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// Accepts messages.
    Up,
    /// Accepts no new messages.
    Draining,
    /// No longer part of the configuration.
    Removed,
}

/// One endpoint of a destination, as a line contains it. The field names on the wire are those of the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The endpoint's name; unique in the configuration.
    pub id: String,
    /// The address on which it listens, such as `10.0.0.1:9000`; may be absent if the endpoint is removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub addr: Option<String>,
    /// The zone, which determines the region.
    pub zone: String,
    /// The kind of endpoint, as the platform names it.
    pub kind: String,
    /// The number of its destination.
    #[serde(rename = "cell")]
    pub destination: u64,
    /// Whether it takes messages.
    pub state: EndpointState,
    /// The relative capacity, as declared by the operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    /// The version of the entry's last change; 0 in lists without versions.
    #[serde(rename = "v", default)]
    pub version: Version,
}

impl EndpointEntry {
    /// Whether the endpoint takes no new messages.
    pub fn stops(&self) -> bool {
        self.state != EndpointState::Up
    }
}

/// One line of a scoped watch. Every field but `version` and `servers` may be absent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ScopedLine {
    /// After this line, the watcher has been sent all changes in its scope up to this version.
    pub version: Version,
    /// Always false in a scoped watch: an entry that a line omits has not been removed.
    pub full: bool,
    /// The log to which the versions belong; if it is another one, the watcher starts from an empty list. Present only
    /// on the first line.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub log: String,
    /// The epoch of the assignment that results from `gained` and `lost`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch: Option<Epoch>,
    /// Buckets that the watcher holds from this line on, or whose entries are sent again; their entries follow.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gained: Vec<BucketId>,
    /// Buckets that the watcher no longer holds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lost: Vec<BucketId>,
    /// Buckets of which every entry has been sent since they were gained, on this line or earlier ones. Older entries
    /// of these buckets that have not been sent again since then no longer exist.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub filled: Vec<BucketId>,
    /// Entries that are new or changed, or that fill a bucket.
    pub servers: Vec<EndpointEntry>,
}

/// The longest line that a control process writes to a dispatcher, in bytes. The entries of a bucket may need several
/// lines.
pub const LONGEST_LINE: usize = 64 * 1024;
