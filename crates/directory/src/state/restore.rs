//! Builds a directory from a snapshot, or from a transfer by the leader.

use super::bounds::Retention;
use super::directory::Directory;
use super::error::ApplyError;
use super::point::RestorePoint;
use crate::entry::Endpoint;
use crate::line::{EndpointEntry, Version};
use crate::record::LoggedRecord;
use bellsill_placement::{Assignment, AssignmentTable, Layout, Member};

/// A directory that is being built from a snapshot, or from a transfer by the leader.
pub struct Restore {
    directory: Directory,
}

impl Restore {
    /// Starts with an empty directory at this point in a log.
    pub fn begin(layout: Layout, point: RestorePoint, retention: Retention) -> Restore {
        Restore {
            directory: Directory::at(layout, point, retention),
        }
    }

    /// The current version of the directory.
    pub fn version(&self) -> Version {
        self.directory.version()
    }

    /// Adds all members.
    pub fn add_members(&mut self, members: Vec<Member>) -> Result<(), ApplyError> {
        self.directory
            .check_members(&members)
            .map_err(|(_, error)| ApplyError::Member(error))?;
        for member in members {
            self.directory.put_member(member);
        }
        Ok(())
    }

    /// Sets the assignment. The members must have been added before.
    pub fn set_assignment(&mut self, table: &AssignmentTable) -> Result<(), ApplyError> {
        if table.layout != *self.directory.layout() {
            return Err(ApplyError::LayoutMismatch);
        }
        let assignment =
            Assignment::from_table(table, self.directory.members()).map_err(ApplyError::Table)?;
        self.directory.set_assignment(assignment);
        Ok(())
    }

    /// Adds an endpoint, unless the directory already has the same or a later version of it.
    pub fn add_endpoint(&mut self, entry: EndpointEntry) -> Result<(), ApplyError> {
        let version = entry.version;
        if version > self.version() {
            return Err(ApplyError::VersionOutOfOrder {
                expected: self.version(),
                found: version,
            });
        }
        let endpoint = Endpoint::try_from(entry).map_err(ApplyError::Entry)?;
        let entries = self.directory.entries();
        let known = entries
            .find(&endpoint.id)
            .and_then(|index| entries.version(index));
        if known.is_some_and(|known| known >= version) {
            return Ok(());
        }
        self.directory
            .check_endpoints(std::slice::from_ref(&endpoint))
            .map_err(|(_, error)| ApplyError::Endpoint(error))?;
        self.directory
            .put_endpoint(&endpoint, version)
            .map_err(ApplyError::Endpoint)?;
        Ok(())
    }

    /// Applies the record that follows the current version.
    pub fn apply(&mut self, logged: &LoggedRecord) -> Result<(), ApplyError> {
        self.directory.apply(logged).map(drop)
    }

    /// Returns the complete directory.
    pub fn finish(mut self) -> Directory {
        self.directory.sort_removals();
        self.directory
    }
}
