//! The metrics of a control process, served at `GET /v2/figures` as one JSON object. The names in the JSON are part of
//! the protocol; a field with a different name here has a `serde` attribute with the protocol's name.

use bellsill_directory::feed::LineKind;
use serde::Serialize;

/// Counters since the process started, and gauges.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Metrics {
    pub(crate) version: u64,
    pub(crate) epoch: u64,
    pub(crate) entries: usize,
    pub(crate) members: usize,
    pub(crate) members_present: usize,
    pub(crate) watchers: usize,
    pub(crate) connections: usize,
    /// Lines sent to watchers, by kind, and their bytes.
    pub(crate) change_lines: u64,
    #[serde(rename = "filling_lines")]
    pub(crate) fill_lines: u64,
    #[serde(rename = "empty_lines")]
    pub(crate) heartbeat_lines: u64,
    pub(crate) change_bytes: u64,
    #[serde(rename = "filling_bytes")]
    pub(crate) fill_bytes: u64,
    #[serde(rename = "watches_begun")]
    pub(crate) watches_opened: u64,
    /// Watches of dispatchers that had a version but had to be sent their whole scope again.
    #[serde(rename = "watches_told_anew")]
    pub(crate) watches_restarted: u64,
    /// Transfers of the complete configuration to followers.
    #[serde(rename = "transfers_begun")]
    pub(crate) transfers_started: u64,
    /// Destinations that dispatchers looked up.
    pub(crate) lookups: u64,
    /// Write requests that were accepted.
    pub(crate) writes: u64,
    /// Records appended to the log, and the syncs that made them durable.
    pub(crate) records: u64,
    pub(crate) syncs: u64,
    /// Bytes of incomplete records at the end of the log that were dropped at startup.
    pub(crate) torn_bytes: u64,
    /// Invalid snapshots that were skipped at startup.
    pub(crate) rejected_snapshots: usize,
    /// On the leader: seconds after it had lost all its followers, during which no member was declared absent.
    pub(crate) seconds_without_followers: u64,
    #[serde(rename = "refused")]
    pub(crate) rejected: RejectedRequests,
    /// Watches closed because the watcher read too slowly.
    pub(crate) closed_slow: u64,
    /// Client connections closed because a request or the writing of its response timed out, or because they were idle.
    #[serde(rename = "closed_silent")]
    pub(crate) closed_idle: u64,
    /// On a follower: failed watches on the leader, completed transfers, and rejected lines from the leader.
    #[serde(rename = "writer_watches_broken")]
    pub(crate) leader_watches_broken: u64,
    #[serde(rename = "transfers_taken")]
    pub(crate) transfers_completed: u64,
    #[serde(rename = "writer_lines_refused")]
    pub(crate) leader_lines_rejected: u64,
    /// Event loop iterations over the logging threshold, and the duration of the longest iteration.
    #[serde(rename = "slow_turns")]
    pub(crate) slow_iterations: u64,
    #[serde(rename = "longest_turn_ms")]
    pub(crate) longest_iteration_ms: u64,
}

/// Requests answered with an error, by status.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct RejectedRequests {
    malformed: u64,
    not_found: u64,
    no_watch: u64,
    too_large: u64,
    #[serde(rename = "not_the_writer")]
    not_leader: u64,
    too_many: u64,
    unavailable: u64,
}

impl RejectedRequests {
    /// Counts a response by its status. Successful responses are not counted.
    pub(crate) fn count(&mut self, status: u16) {
        let counter = match status {
            404 | 405 => &mut self.not_found,
            409 => &mut self.no_watch,
            413 | 431 => &mut self.too_large,
            421 => &mut self.not_leader,
            429 => &mut self.too_many,
            503 => &mut self.unavailable,
            400..500 => &mut self.malformed,
            _ => return,
        };
        *counter += 1;
    }
}

impl Metrics {
    /// Counts a line sent to a watcher.
    pub(crate) fn count_line(&mut self, kind: LineKind, bytes: usize) {
        match kind {
            LineKind::Change => {
                self.change_lines += 1;
                self.change_bytes += bytes as u64;
            }
            LineKind::Fill => {
                self.fill_lines += 1;
                self.fill_bytes += bytes as u64;
            }
            LineKind::Heartbeat => self.heartbeat_lines += 1,
        }
    }
}
