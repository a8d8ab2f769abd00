//! The configuration as one control process has it: endpoints, members and the assignment, at one version.

mod error;
mod restore;

pub use error::{ApplyError, EndpointRefused, MemberRefused};
pub use restore::{Restore, RestorePoint};

use crate::entries::{EntryIndex, EntryTable};
use crate::entry::{Endpoint, HEAVIEST_WEIGHT, is_member_name};
use crate::history::{self, History};
use crate::line::{EndpointEntry, EndpointState, Version};
use crate::record::{LoggedRecord, Record};
use bellsill_placement::{
    Assignment, AssignmentChange, BucketId, Epoch, Layout, Member, MemberName, PlacementError,
    ZoneName,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

/// The most removed endpoints that are kept, so that a watcher that was cut off is told of their removal.
pub const MOST_REMOVED: usize = 100_000;

/// The most members: all of them are on the line that begins a transfer.
pub const MOST_MEMBERS: usize = 10_000;

/// Names a history of the configuration. Versions of another one mean nothing here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LogId(pub String);

/// Bounds on what a directory keeps of the past.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Keeping {
    /// Changes kept for watchers of the whole configuration.
    pub changes: usize,
    /// Removed endpoints.
    pub removed: usize,
}

impl Default for Keeping {
    fn default() -> Self {
        Keeping {
            changes: history::MOST_CHANGES,
            removed: MOST_REMOVED,
        }
    }
}

/// What a record changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    Endpoints(Vec<EntryIndex>),
    Members,
    /// These members have other buckets.
    Assignment(BTreeSet<MemberName>),
}

/// The configuration at one version.
pub struct Directory {
    log: LogId,
    version: Version,
    layout: Layout,
    entries: EntryTable,
    members: Vec<Member>,
    member_places: HashMap<MemberName, usize>,
    assignment: Assignment,
    /// Removed endpoints that are still kept, the oldest first. One that serves again stays listed, and is passed over.
    removed: VecDeque<(Version, EntryIndex)>,
    /// Removals up to this version may be forgotten.
    forgotten: Version,
    history: History,
    keeping: Keeping,
}

impl Directory {
    /// A configuration without anything, at the beginning of a history.
    pub fn new(layout: Layout, log: LogId, keeping: Keeping) -> Directory {
        Directory {
            log,
            version: Version(0),
            entries: EntryTable::new(layout.buckets()),
            members: Vec::new(),
            member_places: HashMap::new(),
            assignment: Assignment::empty(layout.clone()),
            layout,
            removed: VecDeque::new(),
            forgotten: Version(0),
            history: History::new(Version(0), keeping.changes),
            keeping,
        }
    }

    pub fn log(&self) -> &LogId {
        &self.log
    }

    pub fn version(&self) -> Version {
        self.version
    }

    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    pub fn entries(&self) -> &EntryTable {
        &self.entries
    }

    pub fn members(&self) -> &[Member] {
        &self.members
    }

    pub fn member(&self, name: &MemberName) -> Option<&Member> {
        self.member_places
            .get(name)
            .map(|place| &self.members[*place])
    }

    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    pub fn epoch(&self) -> Epoch {
        self.assignment.epoch()
    }

    pub fn history(&self) -> &History {
        &self.history
    }

    /// Removals up to this version may be forgotten: a watcher that knows less is told anew.
    pub fn forgotten(&self) -> Version {
        self.forgotten
    }

    /// Whether a watcher that knows this version of this history can be told just the changes in its scope.
    pub fn remembers(&self, log: Option<&LogId>, since: Version) -> bool {
        log == Some(&self.log) && since >= self.forgotten
    }

    /// The buckets that a member holds.
    pub fn held_by(&self, member: &MemberName) -> BTreeSet<BucketId> {
        self.assignment.buckets_of(member).iter().copied().collect()
    }

    /// The endpoints of a destination, in any region, removed ones among them.
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

    /// The entries of these destinations, without removed ones, as a lookup answers them.
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

    /// Checks endpoints that are to be written together; the error names the first that is refused by its place.
    pub fn check_endpoints(&self, endpoints: &[Endpoint]) -> Result<(), (usize, EndpointRefused)> {
        self.entries
            .has_room(endpoints)
            .map_err(|full| (0, EndpointRefused::Full(full)))?;
        let mut named: HashMap<&str, (u64, BucketId)> = HashMap::new();
        for (place, endpoint) in endpoints.iter().enumerate() {
            let bucket = self
                .bucket_for(endpoint)
                .map_err(|refused| (place, refused))?;
            let home = (endpoint.destination, bucket);
            if *named.entry(&endpoint.id).or_insert(home) != home {
                return Err((place, EndpointRefused::Moved(endpoint.id.clone())));
            }
        }
        Ok(())
    }

    /// Checks members that are to be written together; the error names the first that is refused by its place.
    pub fn check_members(&self, members: &[Member]) -> Result<(), (usize, MemberRefused)> {
        let mut new = HashSet::new();
        for (place, member) in members.iter().enumerate() {
            self.check_member(member)
                .map_err(|refused| (place, refused))?;
            if !self.member_places.contains_key(&member.name) {
                new.insert(&member.name);
            }
            if self.members.len() + new.len() > MOST_MEMBERS {
                return Err((place, MemberRefused::TooMany));
            }
        }
        Ok(())
    }

    fn check_member(&self, member: &Member) -> Result<(), MemberRefused> {
        if !is_member_name(member.name.as_str()) {
            return Err(MemberRefused::Name(member.name.to_string()));
        }
        if self.layout.region_of(&member.zone).is_none() {
            return Err(MemberRefused::UnknownZone(member.zone.to_string()));
        }
        match (0.0..=HEAVIEST_WEIGHT).contains(&member.weight) {
            true => Ok(()),
            false => Err(MemberRefused::Weight(member.weight)),
        }
    }

    /// The change that the members present call for, where there is one.
    pub fn plan(&self) -> Result<Option<AssignmentChange>, PlacementError> {
        let change = self.assignment.plan(&self.members)?;
        Ok(Some(change).filter(|change| !change.is_empty()))
    }

    /// Takes in the next record: all of it or nothing.
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
                    .map_err(|(_, refused)| ApplyError::Endpoint(refused))?;
                Applied::Endpoints(self.put_endpoints(endpoints, logged.version))
            }
            Record::MembersChanged(members) => {
                self.check_members(members)
                    .map_err(|(_, refused)| ApplyError::Member(refused))?;
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
        self.forget_oldest_removed();
        Ok(applied)
    }

    fn bucket_for(&self, endpoint: &Endpoint) -> Result<BucketId, EndpointRefused> {
        let zone = ZoneName(endpoint.zone.clone());
        let region = self.layout.region_of(&zone);
        let region = region.ok_or_else(|| EndpointRefused::UnknownZone(endpoint.zone.clone()))?;
        let bucket = self.layout.bucket_of(region, endpoint.destination);
        let Some(known) = self.entries.find(&endpoint.id) else {
            return Ok(bucket);
        };
        let same_destination = self.entries.destination(known) == Some(endpoint.destination);
        match same_destination && self.entries.bucket(known) == Some(bucket) {
            true => Ok(bucket),
            false => Err(EndpointRefused::Moved(endpoint.id.clone())),
        }
    }

    fn put_endpoints(&mut self, endpoints: &[Endpoint], version: Version) -> Vec<EntryIndex> {
        endpoints
            .iter()
            .filter_map(|endpoint| self.put_endpoint(endpoint, version).ok())
            .collect()
    }

    fn put_endpoint(
        &mut self,
        endpoint: &Endpoint,
        version: Version,
    ) -> Result<EntryIndex, EndpointRefused> {
        let bucket = self.bucket_for(endpoint)?;
        let index = self.entries.put(endpoint, bucket, version);
        if endpoint.state == EndpointState::Removed {
            self.removed.push_back((version, index));
        }
        Ok(index)
    }

    fn put_member(&mut self, member: Member) {
        match self.member_places.get(&member.name) {
            Some(place) => self.members[*place] = member,
            None => {
                self.member_places
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

    fn forget_oldest_removed(&mut self) {
        while self.removed.len() > self.keeping.removed {
            let Some((version, index)) = self.removed.pop_front() else {
                return;
            };
            let still_removed = self.entries.state(index) == Some(EndpointState::Removed);
            if still_removed && self.entries.version(index) == Some(version) {
                self.entries.forget(index);
                self.forgotten = version;
            }
        }
    }
}
