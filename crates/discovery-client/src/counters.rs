//! Counts what has happened to the calls of a watch, and to its list.

/// What has happened to the calls since the watch was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls made.
    pub calls: u64,
    /// Calls that failed after they had served.
    pub broken: u64,
    /// Calls that failed before they served.
    pub failed: u64,
    /// Of all calls that failed, those that timed out.
    pub timed_out: u64,
    /// Calls answered with another status than 200.
    pub rejected: u64,
    /// Calls that failed by a line over [`MAX_SCOPED_LINE_BYTES`](crate::watch::MAX_SCOPED_LINE_BYTES).
    pub overlong_lines: u64,
    /// Lookups made.
    pub lookups: u64,
    /// Of the lookups made, those that failed.
    pub failed_lookups: u64,
}

/// What has happened to a list since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListCounters {
    /// Lines that were applied.
    pub lines: u64,
    /// Lines that could not be applied.
    pub rejected_lines: u64,
    /// Entries that were new or newer than before.
    pub applied_entries: u64,
    /// Entries that were older than the known ones.
    pub stale_entries: u64,
    /// Entries in a version that was known already.
    pub duplicate_entries: u64,
    /// Entries of destinations that are neither in a held bucket nor cached.
    pub out_of_scope_entries: u64,
    /// Entries that were dropped because their bucket was sent again without them.
    pub dropped_entries: u64,
    /// Destinations that were evicted from the cache.
    pub evicted_destinations: u64,
    /// How often another log began.
    pub log_changes: u64,
}
