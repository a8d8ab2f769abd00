//! The latest records, in memory for control processes that follow.

use crate::line::Version;
use crate::record::{self, LoggedRecord, Record};
use std::collections::VecDeque;

/// The most changes that are retained: of endpoints, of members, and of assignments.
pub const MAX_RETAINED_CHANGES: usize = 100_000;

struct EncodedRecord {
    version: Version,
    changes: usize,
    /// Encoded, which takes less memory than the record.
    bytes: Vec<u8>,
}

/// A bounded sequence of records without gaps, up to the current version.
pub struct History {
    records: VecDeque<EncodedRecord>,
    changes: usize,
    most_changes: usize,
    /// Every record after this version is retained.
    floor: Version,
}

impl History {
    /// A history that begins after this version.
    pub fn new(floor: Version, most_changes: usize) -> History {
        History {
            records: VecDeque::new(),
            changes: 0,
            most_changes,
            floor,
        }
    }

    /// Whether every record after this version is retained.
    pub fn covers(&self, since: Version) -> bool {
        since >= self.floor
    }

    /// Adds the next record, and drops the oldest ones over the bound.
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
        while self.changes > self.most_changes {
            let Some(oldest) = self.records.pop_front() else {
                break;
            };
            self.changes -= oldest.changes;
            self.floor = oldest.version;
        }
    }

    /// The records after this version, in their order; to be called only where they are covered.
    pub fn after(&self, since: Version) -> impl Iterator<Item = LoggedRecord> {
        let first = self
            .records
            .partition_point(|record| record.version <= since);
        // They were encoded here, so that decoding cannot fail.
        self.records
            .iter()
            .skip(first)
            .filter_map(|encoded| record::decode(&encoded.bytes).ok())
    }
}
