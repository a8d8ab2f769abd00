//! The latest records, kept in memory for watchers of the whole configuration.

use crate::line::Version;
use crate::record::{self, LoggedRecord, Record};
use std::collections::VecDeque;

/// The most changes that are kept: of endpoints, of members, and of assignments.
pub const MOST_CHANGES: usize = 100_000;

struct Kept {
    version: Version,
    changes: usize,
    /// Encoded, which takes less memory than the record.
    bytes: Vec<u8>,
}

/// A bounded run of records without gaps, up to the current version.
pub struct History {
    kept: VecDeque<Kept>,
    changes: usize,
    most_changes: usize,
    /// Every record after this version is kept.
    floor: Version,
}

impl History {
    /// A history that begins after this version.
    pub fn new(floor: Version, most_changes: usize) -> History {
        History {
            kept: VecDeque::new(),
            changes: 0,
            most_changes,
            floor,
        }
    }

    /// Whether every record after this version is kept.
    pub fn covers(&self, since: Version) -> bool {
        since >= self.floor
    }

    /// Keeps the next record, and lets go of the oldest ones over the bound.
    pub fn push(&mut self, logged: &LoggedRecord) {
        let changes = match &logged.record {
            Record::EndpointsChanged(endpoints) => endpoints.len(),
            Record::MembersChanged(members) => members.len(),
            Record::AssignmentChanged(_) => 1,
        };
        self.changes += changes;
        self.kept.push_back(Kept {
            version: logged.version,
            changes,
            bytes: record::encode(logged),
        });
        while self.changes > self.most_changes {
            let Some(oldest) = self.kept.pop_front() else {
                break;
            };
            self.changes -= oldest.changes;
            self.floor = oldest.version;
        }
    }

    /// The records after this version, in their order; call only where they are covered.
    pub fn after(&self, since: Version) -> impl Iterator<Item = LoggedRecord> {
        let first = self.kept.partition_point(|kept| kept.version <= since);
        // They were encoded here, so they are decoded.
        self.kept
            .iter()
            .skip(first)
            .filter_map(|kept| record::decode(&kept.bytes).ok())
    }
}
