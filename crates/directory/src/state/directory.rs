//! The configuration at one version, and the records that change it.

use super::bounds::{MAX_MEMBERS, Retention};
use super::error::{ApplyError, EndpointError, MemberError};
use super::point::{LogId, RestorePoint};
use super::removals::Removals;
use crate::entries::{EntryIndex, EntryTable};
use crate::entry::{Endpoint, MAX_WEIGHT, is_member_name};
use crate::history::History;
use crate::line::{EndpointEntry, EndpointState, Version};
use crate::record::{LoggedRecord, Record};
use bellsill_placement::{
    Assignment, AssignmentChange, BucketId, Epoch, Layout, Member, MemberName, PlacementError,
    ZoneName,
};
use std::collections::{BTreeSet, HashMap, HashSet};

/// The effect of an applied record.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// These endpoints are new or changed.
    Endpoints(Vec<EntryIndex>),
    /// Some members are new or changed. The assignment is unchanged.
    Members,
    /// The buckets of these members may have changed.
    Assignment(BTreeSet<MemberName>),
}

/// The configuration at one version.
pub struct Directory {
    log: LogId,
    version: Version,
    layout: Layout,
    entries: EntryTable,
    members: Vec<Member>,
    member_indices: HashMap<MemberName, usize>,
    assignment: Assignment,
    removals: Removals,
    history: History,
}

impl Directory {
    /// Creates an empty configuration at the beginning of a log.
    pub fn new(layout: Layout, log: LogId, retention: Retention) -> Directory {
        let start = RestorePoint {
            log,
            version: Version(0),
            forgotten: Version(0),
        };
        Directory::at(layout, start, retention)
    }

    /// Creates an empty configuration at a point in a log; [`Restore`](super::restore::Restore) adds the content at
    /// that point.
    pub(super) fn at(layout: Layout, point: RestorePoint, retention: Retention) -> Directory {
        Directory {
            log: point.log,
            version: point.version,
            entries: EntryTable::new(layout.buckets()),
            members: Vec::new(),
            member_indices: HashMap::new(),
            assignment: Assignment::empty(layout.clone()),
            layout,
            removals: Removals::new(point.forgotten, retention.removed),
            history: History::new(point.version, retention.changes),
        }
    }

    /// The log to which the version belongs.
    pub fn log(&self) -> &LogId {
        &self.log
    }

    /// The version of the last applied record.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The zones, regions and buckets.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// All endpoints, including removed ones that have not been purged.
    pub fn entries(&self) -> &EntryTable {
        &self.entries
    }

    /// All declared dispatchers, present or not.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The dispatcher with this name, if it is declared.
    pub fn member(&self, name: &MemberName) -> Option<&Member> {
        let index = self.member_indices.get(name)?;
        Some(&self.members[*index])
    }

    /// The assignment of buckets to dispatchers.
    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// The epoch of the assignment.
    pub fn epoch(&self) -> Epoch {
        self.assignment.epoch()
    }

    /// The retained latest records.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Removals up to this version may have been purged. A watcher with an older version is sent everything again.
    pub fn forgotten(&self) -> Version {
        self.removals.forgotten()
    }

    /// Whether a watcher that knows this version of this log needs only the later changes in its scope.
    pub fn can_resume_from(&self, log: Option<&LogId>, since: Version) -> bool {
        log == Some(&self.log) && since >= self.forgotten()
    }

    /// The buckets that a member holds.
    pub fn held_by(&self, member: &MemberName) -> BTreeSet<BucketId> {
        self.assignment.buckets_of(member).iter().copied().collect()
    }

    /// The endpoints of a destination in all regions, including removed ones.
    pub fn of_destination(&self, destination: u64) -> Vec<EntryIndex> {
        let buckets = self
            .layout
            .regions()
            .map(|region| self.layout.bucket_of(region, destination));
        let indexes = buckets.flat_map(|bucket| self.entries.in_bucket(bucket).iter().copied());
        indexes
            .filter(|index| self.entries.destination(*index) == Some(destination))
            .collect()
    }

    /// The entries of these destinations for the response to a lookup, without removed ones.
    pub fn look_up(&self, destinations: &[u64]) -> Vec<EndpointEntry> {
        let indexes = destinations
            .iter()
            .flat_map(|destination| self.of_destination(*destination));
        let present =
            indexes.filter(|index| self.entries.state(*index) != Some(EndpointState::Removed));
        present
            .filter_map(|index| self.entries.entry(index))
            .collect()
    }

    /// Checks endpoints that are to be written together. The error contains the index of the first that is rejected.
    pub fn check_endpoints(&self, endpoints: &[Endpoint]) -> Result<(), (usize, EndpointError)> {
        self.entries
            .check_capacity(endpoints)
            .map_err(|full| (0, EndpointError::Full(full)))?;
        let mut locations: HashMap<&str, (u64, BucketId)> = HashMap::new();
        for (index, endpoint) in endpoints.iter().enumerate() {
            let bucket = self.bucket_for(endpoint).map_err(|error| (index, error))?;
            let location = (endpoint.destination, bucket);
            if *locations.entry(&endpoint.id).or_insert(location) != location {
                return Err((index, EndpointError::Moved(endpoint.id.clone())));
            }
        }
        Ok(())
    }

    /// Checks members that are to be written together. The error contains the index of the first that is rejected.
    pub fn check_members(&self, members: &[Member]) -> Result<(), (usize, MemberError)> {
        let mut new = HashSet::new();
        for (index, member) in members.iter().enumerate() {
            self.check_member(member).map_err(|error| (index, error))?;
            if !self.member_indices.contains_key(&member.name) {
                new.insert(&member.name);
            }
            if self.members.len() + new.len() > MAX_MEMBERS {
                return Err((index, MemberError::TooMany));
            }
        }
        Ok(())
    }

    fn check_member(&self, member: &Member) -> Result<(), MemberError> {
        if !is_member_name(member.name.as_str()) {
            return Err(MemberError::Name(member.name.to_string()));
        }
        if self.layout.region_of(&member.zone).is_none() {
            return Err(MemberError::UnknownZone(member.zone.to_string()));
        }
        if (0.0..=MAX_WEIGHT).contains(&member.weight) {
            Ok(())
        } else {
            Err(MemberError::Weight(member.weight))
        }
    }

    /// Plans the change of the assignment for the members that are present, or `None` if no change is needed.
    pub fn plan(&self) -> Result<Option<AssignmentChange>, PlacementError> {
        let change = self.assignment.plan(&self.members)?;
        Ok(Some(change).filter(|change| !change.is_empty()))
    }

    /// Applies the next record. A rejected record changes nothing.
    pub fn apply(&mut self, logged: &LoggedRecord) -> Result<Applied, ApplyError> {
        let expected = Version(self.version.0 + 1);
        if logged.version != expected {
            return Err(ApplyError::VersionOutOfOrder {
                expected,
                found: logged.version,
            });
        }
        let applied = match &logged.record {
            Record::EndpointsChanged(endpoints) => {
                self.check_endpoints(endpoints)
                    .map_err(|(_, error)| ApplyError::Endpoint(error))?;
                Applied::Endpoints(self.put_endpoints(endpoints, logged.version))
            }
            Record::MembersChanged(members) => {
                self.check_members(members)
                    .map_err(|(_, error)| ApplyError::Member(error))?;
                members
                    .iter()
                    .for_each(|member| self.put_member(member.clone()));
                Applied::Members
            }
            Record::AssignmentChanged(change) => {
                let mut affected = self.holders_of(change);
                self.assignment
                    .apply(change)
                    .map_err(ApplyError::Placement)?;
                affected.extend(self.holders_of(change));
                Applied::Assignment(affected)
            }
        };
        self.version = logged.version;
        self.history.push(logged);
        self.removals.purge_oldest(&mut self.entries);
        Ok(applied)
    }

    fn bucket_for(&self, endpoint: &Endpoint) -> Result<BucketId, EndpointError> {
        let zone = ZoneName(endpoint.zone.clone());
        let region = self.layout.region_of(&zone);
        let region = region.ok_or_else(|| EndpointError::UnknownZone(endpoint.zone.clone()))?;
        let bucket = self.layout.bucket_of(region, endpoint.destination);
        let Some(known) = self.entries.find(&endpoint.id) else {
            return Ok(bucket);
        };
        let same_destination = self.entries.destination(known) == Some(endpoint.destination);
        if same_destination && self.entries.bucket(known) == Some(bucket) {
            Ok(bucket)
        } else {
            Err(EndpointError::Moved(endpoint.id.clone()))
        }
    }

    fn put_endpoints(&mut self, endpoints: &[Endpoint], version: Version) -> Vec<EntryIndex> {
        endpoints
            .iter()
            .filter_map(|endpoint| self.put_endpoint(endpoint, version).ok())
            .collect()
    }

    /// Adds or replaces an endpoint.
    pub(super) fn put_endpoint(
        &mut self,
        endpoint: &Endpoint,
        version: Version,
    ) -> Result<EntryIndex, EndpointError> {
        let bucket = self.bucket_for(endpoint)?;
        let index = self.entries.put(endpoint, bucket, version);
        if endpoint.state == EndpointState::Removed {
            self.removals.add(version, index);
        }
        Ok(index)
    }

    /// Adds or replaces a member.
    pub(super) fn put_member(&mut self, member: Member) {
        match self.member_indices.get(&member.name) {
            Some(index) => self.members[*index] = member,
            None => {
                self.member_indices
                    .insert(member.name.clone(), self.members.len());
                self.members.push(member);
            }
        }
    }

    fn holders_of(&self, change: &AssignmentChange) -> BTreeSet<MemberName> {
        let buckets = change.moved.iter().map(|moved| moved.bucket);
        let known = buckets.filter(|bucket| bucket.0 < self.layout.buckets());
        known
            .flat_map(|bucket| {
                self.assignment
                    .holders(bucket)
                    .into_iter()
                    .flatten()
                    .cloned()
            })
            .collect()
    }

    /// Replaces the assignment with one of the same layout.
    pub(super) fn set_assignment(&mut self, assignment: Assignment) {
        self.assignment = assignment;
    }

    /// Sorts the removals by version, after endpoints were added in any order, and purges the oldest over the limit.
    pub(super) fn sort_removals(&mut self) {
        self.removals.sort();
        self.removals.purge_oldest(&mut self.entries);
    }
}
