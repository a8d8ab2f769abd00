//! The latest records, retained in memory for followers.

use crate::line::Version;
use crate::record::{self, LoggedRecord, Record};
use std::collections::VecDeque;

/// The default maximum number of retained changes: of endpoints, of members, and of the assignment.
pub const MAX_RETAINED_CHANGES: usize = 100_000;

struct EncodedRecord {
    version: Version,
    changes: usize,
    /// The encoded record, which takes less memory than the decoded one.
    bytes: Vec<u8>,
}

/// A bounded sequence of records without gaps, up to the current version.
pub struct History {
    records: VecDeque<EncodedRecord>,
    changes: usize,
    max_changes: usize,
    /// Every record after this version is retained.
    floor: Version,
}

impl History {
    /// Creates an empty history that starts after this version.
    pub fn new(floor: Version, max_changes: usize) -> History {
        History {
            records: VecDeque::new(),
            changes: 0,
            max_changes,
            floor,
        }
    }

    /// Whether every record after this version is retained.
    pub fn covers(&self, since: Version) -> bool {
        since >= self.floor
    }

    /// Appends the next record, and drops the oldest records while the number of changes exceeds the maximum.
    pub fn push(&mut self, logged: &LoggedRecord) {
        let changes = match &logged.record {
            Record::EndpointsChanged(endpoints) => endpoints.len(),
            Record::MembersChanged(members) => members.len(),
            Record::AssignmentChanged(_) => 1,
        };
        self.changes += changes;
        self.records.push_back(EncodedRecord {
            version: logged.version,
            changes,
            bytes: record::encode(logged),
        });
        while self.changes > self.max_changes {
            let Some(oldest) = self.records.pop_front() else {
                break;
            };
            self.changes -= oldest.changes;
            self.floor = oldest.version;
        }
    }

    /// The records after this version, in order. Call only if [`covers`](Self::covers) is true for it.
    pub fn after(&self, since: Version) -> impl Iterator<Item = LoggedRecord> {
        let first = self
            .records
            .partition_point(|record| record.version <= since);
        // `push` encoded these records, so decoding cannot fail.
        self.records
            .iter()
            .skip(first)
            .filter_map(|encoded| record::decode(&encoded.bytes).ok())
    }
}
