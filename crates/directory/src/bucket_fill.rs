//! Sends the entries of buckets that a dispatcher has gained, a few lines at a time.

use crate::entries::EntryIndex;
use crate::line::{EndpointEntry, EndpointState, Version};
use crate::line_budget::{LineBudget, LineFull};
use crate::state::Directory;
use bellsill_placement::BucketId;
use std::collections::{HashMap, VecDeque};

/// The bytes of the entries on a line: few, so that a change never waits long behind one.
const LINE_ENTRY_BYTES: usize = 8 * 1024;

/// What the next line of a fill holds.
#[derive(Default)]
pub(crate) struct FillLine {
    pub(crate) entries: Vec<EndpointEntry>,
    /// The buckets that are complete with this line.
    pub(crate) filled: Vec<BucketId>,
}

/// The buckets that are still to be sent, and how far.
#[derive(Default)]
pub(crate) struct BucketFill {
    /// The version at which each bucket was gained. Later changes are sent as such, and left out of the fill.
    gained_at: HashMap<BucketId, Version>,
    order: VecDeque<BucketId>,
    /// The last entry sent of the first bucket.
    last_sent: Option<EntryIndex>,
}

impl BucketFill {
    pub(crate) fn add(&mut self, bucket: BucketId, version: Version) {
        self.gained_at.insert(bucket, version);
        self.order.push_back(bucket);
    }

    pub(crate) fn remove(&mut self, bucket: BucketId) {
        self.gained_at.remove(&bucket);
        if self.order.front() == Some(&bucket) {
            self.last_sent = None;
        }
        self.order.retain(|other| *other != bucket);
    }

    /// The version at which a bucket was gained, if it is not filled yet.
    pub(crate) fn gained_at(&self, bucket: BucketId) -> Option<Version> {
        self.gained_at.get(&bucket).copied()
    }

    /// The next line, which completes `max_buckets` at most; none where all buckets are filled.
    pub(crate) fn next_line(
        &mut self,
        directory: &Directory,
        max_buckets: usize,
    ) -> Option<FillLine> {
        let mut line = FillLine::default();
        let mut budget = LineBudget::new(LINE_ENTRY_BYTES);
        while let Some(bucket) = self.order.front().copied() {
            let sent = self.send_bucket(bucket, directory, &mut line.entries, &mut budget);
            if sent.is_err() {
                break;
            }
            self.order.pop_front();
            self.gained_at.remove(&bucket);
            self.last_sent = None;
            line.filled.push(bucket);
            if line.filled.len() >= max_buckets {
                break;
            }
        }
        Some(line).filter(|line| !line.entries.is_empty() || !line.filled.is_empty())
    }

    /// Adds entries of the first bucket until it is complete.
    fn send_bucket(
        &mut self,
        bucket: BucketId,
        directory: &Directory,
        line: &mut Vec<EndpointEntry>,
        budget: &mut LineBudget,
    ) -> Result<(), LineFull> {
        let entries = directory.entries();
        let gained_at = self.gained_at(bucket);
        let in_bucket = entries.in_bucket(bucket);
        let sent = in_bucket.partition_point(|index| Some(*index) <= self.last_sent);
        for index in &in_bucket[sent..] {
            let changed_since = entries.version(*index) > gained_at;
            if changed_since || entries.state(*index) == Some(EndpointState::Removed) {
                continue;
            }
            let Some(entry) = entries.entry(*index) else {
                continue;
            };
            budget.reserve(&entry)?;
            line.push(entry);
            self.last_sent = Some(*index);
        }
        Ok(())
    }
}
