//! Putting a directory together from a snapshot, or from what the writer transfers.

use super::{ApplyError, Directory, Keeping, LogId};
use crate::entry::Endpoint;
use crate::history::History;
use crate::line::{EndpointEntry, Version};
use crate::record::LoggedRecord;
use bellsill_placement::{Assignment, AssignmentTable, Layout, Member};
use serde::{Deserialize, Serialize};

/// A directory that is being put together from a snapshot, or from what the writer transfers.
pub struct Restore {
    directory: Directory,
}

/// Where a snapshot or transfer stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RestorePoint {
    pub log: LogId,
    pub version: Version,
    pub forgotten: Version,
}

impl Restore {
    /// Begins with nothing, at this point.
    pub fn begin(layout: Layout, point: RestorePoint, keeping: Keeping) -> Restore {
        let mut directory = Directory::new(layout, point.log, keeping);
        directory.version = point.version;
        directory.forgotten = point.forgotten;
        directory.history = History::new(point.version, keeping.changes);
        Restore { directory }
    }

    pub fn version(&self) -> Version {
        self.directory.version
    }

    /// Takes in all members.
    pub fn members(&mut self, members: Vec<Member>) -> Result<(), ApplyError> {
        self.directory
            .check_members(&members)
            .map_err(|(_, refused)| ApplyError::Member(refused))?;
        members
            .into_iter()
            .for_each(|member| self.directory.put_member(member));
        Ok(())
    }

    /// Takes in the assignment; its members are already there.
    pub fn assignment(&mut self, table: &AssignmentTable) -> Result<(), ApplyError> {
        if table.layout != self.directory.layout {
            return Err(ApplyError::OtherLayout);
        }
        let assignment =
            Assignment::from_table(table, &self.directory.members).map_err(ApplyError::Table)?;
        self.directory.assignment = assignment;
        Ok(())
    }

    /// Takes in an endpoint, unless a later state of it is there already.
    pub fn endpoint(&mut self, entry: EndpointEntry) -> Result<(), ApplyError> {
        let version = entry.version;
        if version > self.directory.version {
            return Err(ApplyError::VersionOutOfOrder {
                expected: self.directory.version,
                found: version,
            });
        }
        let endpoint =
            Endpoint::try_from(entry).map_err(|error| ApplyError::Entry(error.to_string()))?;
        let known = self.directory.entries.find(&endpoint.id);
        if known
            .and_then(|index| self.directory.entries.version(index))
            .is_some_and(|known| known >= version)
        {
            return Ok(());
        }
        self.directory
            .check_endpoints(std::slice::from_ref(&endpoint))
            .map_err(|(_, e)| ApplyError::Endpoint(e))?;
        self.directory
            .put_endpoint(&endpoint, version)
            .map_err(ApplyError::Endpoint)?;
        Ok(())
    }

    /// Takes in a record that follows what is there.
    pub fn apply(&mut self, logged: &LoggedRecord) -> Result<(), ApplyError> {
        self.directory.apply(logged).map(drop)
    }

    /// All has been taken in.
    pub fn finish(mut self) -> Directory {
        self.directory.removed.make_contiguous().sort_unstable();
        self.directory.forget_oldest_removed();
        self.directory
    }
}
