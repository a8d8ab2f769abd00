//! What a control process counts, answered at `GET /v2/figures` as one JSON object.

use bellsill_directory::feed::LineKind;
use serde::Serialize;

/// Counts since the process started, and how things stand.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    pub version: u64,
    pub epoch: u64,
    pub entries: usize,
    pub members: usize,
    pub members_present: usize,
    pub watchers: usize,
    pub connections: usize,
    /// Lines told to watchers, by what they were for, and their bytes.
    pub change_lines: u64,
    pub filling_lines: u64,
    pub empty_lines: u64,
    pub change_bytes: u64,
    pub filling_bytes: u64,
    /// Watches that were begun, those that were told anew though they knew a version, and transfers to followers.
    pub watches_begun: u64,
    pub watches_told_anew: u64,
    pub transfers_begun: u64,
    /// Destinations looked up.
    pub lookups: u64,
    /// Writes taken: requests, the records that they and the process itself made, and syncs of the disk.
    pub writes: u64,
    pub records: u64,
    pub syncs: u64,
    /// At the start: bytes of records cut short that were dropped, and snapshots that were not used.
    pub torn_bytes: u64,
    pub rejected_snapshots: usize,
    /// As a writer: seconds in which no control process followed any more, and nobody was taken out.
    pub seconds_without_followers: u64,
    /// Requests that were not served, by why.
    pub refused: Refusals,
    /// Connections closed for reading too slowly, and for not saying what they want in time.
    pub closed_slow: u64,
    pub closed_silent: u64,
    /// As a follower: watches on the writer that broke, transfers taken in, and lines that were refused.
    pub writer_watches_broken: u64,
    pub transfers_taken: u64,
    pub writer_lines_refused: u64,
    /// Turns of the loop that took long, and the longest one.
    pub slow_turns: u64,
    pub longest_turn_ms: u64,
}

/// Requests that were not served, by the status that they were answered with.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Refusals {
    pub malformed: u64,
    pub not_found: u64,
    pub no_watch: u64,
    pub too_large: u64,
    pub not_the_writer: u64,
    pub too_many: u64,
    pub unavailable: u64,
}

impl Refusals {
    /// Counts an answer by its status; one that is no refusal is not counted.
    pub fn count(&mut self, status: u16) {
        let counter = match status {
            404 | 405 => &mut self.not_found,
            409 => &mut self.no_watch,
            413 | 431 => &mut self.too_large,
            421 => &mut self.not_the_writer,
            429 => &mut self.too_many,
            503 => &mut self.unavailable,
            400..500 => &mut self.malformed,
            _ => return,
        };
        *counter += 1;
    }
}

impl Figures {
    /// Counts a line told to a watcher.
    pub fn told(&mut self, kind: LineKind, bytes: usize) {
        match kind {
            LineKind::Change => {
                (self.change_lines, self.change_bytes) =
                    (self.change_lines + 1, self.change_bytes + bytes as u64)
            }
            LineKind::Filling => {
                (self.filling_lines, self.filling_bytes) =
                    (self.filling_lines + 1, self.filling_bytes + bytes as u64)
            }
            LineKind::Empty => self.empty_lines += 1,
        }
    }
}
