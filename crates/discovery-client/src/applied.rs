//! The changes of a list.

use bellsill_directory::line::EndpointEntry;
use bellsill_placement::BucketId;

/// The changes of a list by a line, a lookup or an eviction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applied {
    /// Entries that were added or replaced.
    pub changed: Vec<EndpointEntry>,
    /// The last state of entries that were removed from the list, because the endpoint was removed or is out of the
    /// dispatcher's scope.
    pub dropped: Vec<EndpointEntry>,
    /// Buckets that were assigned to the dispatcher, or that are being resent.
    pub gained: Vec<BucketId>,
    /// Buckets that are no longer held.
    pub lost: Vec<BucketId>,
    /// Buckets that are now complete: every entry of theirs is known.
    pub filled: Vec<BucketId>,
}
