//! Counters of a watch and of its list.

/// Counts of calls and lookups since the watch was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls made.
    pub calls: u64,
    /// Calls that failed after they had served the watch.
    pub broken: u64,
    /// Calls that failed before they served the watch.
    pub failed: u64,
    /// Calls that failed by a timeout; also counted in `broken` or `failed`.
    pub timed_out: u64,
    /// Calls whose response had a status other than 200.
    pub rejected: u64,
    /// Calls that failed because a line exceeded [`MAX_SCOPED_LINE_BYTES`](crate::watch::MAX_SCOPED_LINE_BYTES).
    pub overlong_lines: u64,
    /// Lookups made.
    pub lookups: u64,
    /// Lookups that failed.
    pub failed_lookups: u64,
}

/// Counts of lines and entries since the list was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListCounters {
    /// Lines that were applied.
    pub lines: u64,
    /// Lines that could not be applied.
    pub rejected_lines: u64,
    /// Entries that were new or newer than before.
    pub applied_entries: u64,
    /// Entries that were skipped because a newer version was known.
    pub stale_entries: u64,
    /// Entries that were skipped because the same version was known.
    pub duplicate_entries: u64,
    /// Entries that were skipped because they are neither in a held bucket nor of a cached destination.
    pub out_of_scope_entries: u64,
    /// Entries that were removed because their bucket was resent without them.
    pub dropped_entries: u64,
    /// Destinations that were evicted from the cache.
    pub evicted_destinations: u64,
    /// How often the log was replaced by one with another id.
    pub log_changes: u64,
}
