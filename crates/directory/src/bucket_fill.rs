//! The fill of buckets that a dispatcher has gained: yields lines with their entries.

use crate::entries::EntryIndex;
use crate::line::{EndpointEntry, EndpointState, Version};
use crate::line_budget::{LineBudget, LineFull};
use crate::state::Directory;
use bellsill_placement::BucketId;
use std::collections::{HashMap, VecDeque};

/// The maximum size of the entries on a line. It is small so that a fill line delays a change only briefly.
const MAX_ENTRY_BYTES: usize = 8 * 1024;

/// The content of the next line of a fill.
#[derive(Default)]
pub(crate) struct FillLine {
    pub(crate) entries: Vec<EndpointEntry>,
    /// The buckets of which this line contains the last entries.
    pub(crate) filled: Vec<BucketId>,
}

/// The buckets that are not completely sent, and the progress of the first.
#[derive(Default)]
pub(crate) struct BucketFill {
    /// The version at which each bucket was gained. Later changes are sent as changes and omitted from the fill.
    gained_at: HashMap<BucketId, Version>,
    order: VecDeque<BucketId>,
    /// The last entry of the first bucket that has been sent.
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

    /// The version at which a bucket was gained, or `None` once it is filled.
    pub(crate) fn gained_at(&self, bucket: BucketId) -> Option<Version> {
        self.gained_at.get(&bucket).copied()
    }

    /// The next line, which completes at most `max_buckets` buckets, or `None` if all buckets are filled.
    pub(crate) fn next_line(
        &mut self,
        directory: &Directory,
        max_buckets: usize,
    ) -> Option<FillLine> {
        let mut line = FillLine::default();
        let mut budget = LineBudget::new(MAX_ENTRY_BYTES);
        while let Some(bucket) = self.order.front().copied() {
            let added = self.add_bucket_entries(bucket, directory, &mut line.entries, &mut budget);
            if added.is_err() {
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

    /// Adds the remaining entries of the first bucket to the line, until the budget is used up.
    fn add_bucket_entries(
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
