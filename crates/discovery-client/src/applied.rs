//! What a line has changed.

use bellsill_directory::line::EndpointEntry;
use bellsill_placement::BucketId;

/// What a line, a lookup or an eviction has changed in a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applied {
    /// Entries that are new or differ from before.
    pub changed: Vec<EndpointEntry>,
    /// Entries that are not in the list any more, as they were last: removed, or out of this dispatcher's scope.
    pub dropped: Vec<EndpointEntry>,
    /// Buckets that are held from now on, or sent again.
    pub gained: Vec<BucketId>,
    /// Buckets that are not held any more.
    pub lost: Vec<BucketId>,
    /// Buckets of which every entry is known from now on.
    pub filled: Vec<BucketId>,
}
