//! Bounds on what a directory holds.

use crate::history;

/// The most removed endpoints that are retained, so that a watcher that was disconnected learns of their removal.
pub const MAX_REMOVED_ENDPOINTS: usize = 100_000;

/// The most members: all of them are on the line that begins a transfer.
pub const MAX_MEMBERS: usize = 10_000;

/// Bounds on what a directory retains of the past.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retention {
    /// Changes that are retained for control processes that follow.
    pub changes: usize,
    /// Removed endpoints.
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
