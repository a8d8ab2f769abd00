//! Limits on the content of a directory.

use crate::history;

/// The default maximum number of retained removed endpoints. They are retained so that a watcher that was disconnected
/// is sent their removal.
pub const MAX_REMOVED_ENDPOINTS: usize = 100_000;

/// The maximum number of members. It is limited since the first line of a transfer contains all of them.
pub const MAX_MEMBERS: usize = 10_000;

/// Limits on the past changes that a directory retains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retention {
    /// The maximum number of changes retained for followers.
    pub changes: usize,
    /// The maximum number of retained removed endpoints.
    pub removed: usize,
}

impl Default for Retention {
    fn default() -> Self {
        Retention {
            changes: history::MAX_RETAINED_CHANGES,
            removed: MAX_REMOVED_ENDPOINTS,
        }
    }
}
