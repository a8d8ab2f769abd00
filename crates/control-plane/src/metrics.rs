//! The metrics of a control process, served at `GET /v2/figures` as one JSON object. The names in the JSON are part of the
//! protocol and differ from those of the fields where the protocol is older.

use bellsill_directory::feed::LineKind;
use serde::Serialize;

/// Counts since the process started, and current values.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Metrics {
    pub(crate) version: u64,
    pub(crate) epoch: u64,
    pub(crate) entries: usize,
    pub(crate) members: usize,
    pub(crate) members_present: usize,
    pub(crate) watchers: usize,
    pub(crate) connections: usize,
    /// Lines sent to watchers, by what they are for, and their bytes.
    pub(crate) change_lines: u64,
    #[serde(rename = "filling_lines")]
    pub(crate) fill_lines: u64,
    #[serde(rename = "empty_lines")]
    pub(crate) keepalive_lines: u64,
    pub(crate) change_bytes: u64,
    #[serde(rename = "filling_bytes")]
    pub(crate) fill_bytes: u64,
    #[serde(rename = "watches_begun")]
    pub(crate) watches_opened: u64,
    /// Dispatchers' watches that knew a version but were sent everything again.
    #[serde(rename = "watches_told_anew")]
    pub(crate) watches_restarted: u64,
    /// Transfers of the complete configuration to followers.
    #[serde(rename = "transfers_begun")]
    pub(crate) transfers_started: u64,
    /// Destinations looked up.
    pub(crate) lookups: u64,
    /// Write requests that were accepted.
    pub(crate) writes: u64,
    /// Records appended to the log, and the syncs that made them durable.
    pub(crate) records: u64,
    pub(crate) syncs: u64,
    /// Bytes of incomplete records that were dropped at the start.
    pub(crate) torn_bytes: u64,
    /// Snapshots that were not used at the start.
    pub(crate) rejected_snapshots: usize,
    /// As a leader: seconds in which it had lost all followers, so that no member was declared absent.
    pub(crate) seconds_without_followers: u64,
    #[serde(rename = "refused")]
    pub(crate) rejected: RejectedRequests,
    /// Watches closed because the watcher read too slowly.
    pub(crate) closed_slow: u64,
    /// Client connections closed because a request or the reading of its answer took too long, or none came.
    #[serde(rename = "closed_silent")]
    pub(crate) closed_idle: u64,
    /// As a follower: watches on the leader that broke, transfers completed, and lines of the leader that were rejected.
    #[serde(rename = "writer_watches_broken")]
    pub(crate) leader_watches_broken: u64,
    #[serde(rename = "transfers_taken")]
    pub(crate) transfers_completed: u64,
    #[serde(rename = "writer_lines_refused")]
    pub(crate) leader_lines_rejected: u64,
    /// Iterations of the loop that took long, and the longest one.
    #[serde(rename = "slow_turns")]
    pub(crate) slow_iterations: u64,
    #[serde(rename = "longest_turn_ms")]
    pub(crate) longest_iteration_ms: u64,
}

/// Requests that were answered with an error, by status.
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
    /// Counts an answer by its status; a success is not counted.
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
            LineKind::Heartbeat => self.keepalive_lines += 1,
        }
    }
}
