//! All watchers of one control process, indexed by the changes that they need.

use crate::entries::EntryIndex;
use crate::feed::{Feed, FeedLine, Scope};
use crate::member_scope::{MAX_CACHED_DESTINATIONS, MemberScope};
use crate::rate_limiter::{Nanos, RateLimit};
use crate::request::{LookUpRequest, RequestedScope, WatchRequest};
use crate::state::{Applied, Directory};
use bellsill_placement::MemberName;
use std::collections::{BTreeSet, HashMap};

/// Identifies a watcher. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WatcherId(u64);

/// Why a watch or a lookup is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRejected {
    /// The dispatcher is not a declared member.
    NotMember,
    /// The dispatcher has no open watch on this process.
    NoWatch,
    /// The watch would have more than the maximum number of cached destinations.
    TooManyDestinations,
    /// The watcher knows a later version than this process has, so the response could be older than what the dispatcher
    /// has.
    Behind,
}

/// The result of opening a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenedWatch {
    /// The new watch.
    pub id: WatcherId,
    /// The earlier watch of the same dispatcher, which has been closed.
    pub replaced: Option<WatcherId>,
}

/// The watchers, with indexes by dispatcher and by destination.
pub struct Watchers {
    feeds: HashMap<WatcherId, Feed>,
    by_member: HashMap<MemberName, WatcherId>,
    by_destination: HashMap<u64, BTreeSet<WatcherId>>,
    followers: BTreeSet<WatcherId>,
    /// The watchers that may have a line to send.
    ready: BTreeSet<WatcherId>,
    last_id: u64,
    fill_rate: RateLimit,
}

impl Watchers {
    /// Creates an empty set of watchers. `fill_rate` limits the bucket fills of each dispatcher.
    pub fn new(fill_rate: RateLimit) -> Watchers {
        Watchers {
            feeds: HashMap::new(),
            by_member: HashMap::new(),
            by_destination: HashMap::new(),
            followers: BTreeSet::new(),
            ready: BTreeSet::new(),
            last_id: 0,
            fill_rate,
        }
    }

    /// The number of watchers.
    pub fn len(&self) -> usize {
        self.feeds.len()
    }

    /// Whether there are no watchers.
    pub fn is_empty(&self) -> bool {
        self.feeds.is_empty()
    }

    /// The number of watchers that are followers.
    pub fn followers(&self) -> usize {
        self.followers.len()
    }

    /// The feed of this watcher, if its watch is open.
    pub fn get(&self, id: WatcherId) -> Option<&Feed> {
        self.feeds.get(&id)
    }

    /// The ids of all watchers, in no particular order.
    pub fn ids(&self) -> impl Iterator<Item = WatcherId> {
        self.feeds.keys().copied()
    }

    /// The dispatchers that have an open watch.
    pub fn members(&self) -> impl Iterator<Item = &MemberName> {
        self.by_member.keys()
    }

    /// Opens a watch. An earlier watch of the same dispatcher is closed.
    pub fn open(
        &mut self,
        request: WatchRequest,
        directory: &Directory,
        now: Nanos,
    ) -> Result<OpenedWatch, WatchRejected> {
        if let RequestedScope::Member {
            name, destinations, ..
        } = &request.scope
        {
            directory.member(name).ok_or(WatchRejected::NotMember)?;
            if destinations.len() > MAX_CACHED_DESTINATIONS {
                return Err(WatchRejected::TooManyDestinations);
            }
        }
        self.last_id += 1;
        let id = WatcherId(self.last_id);
        let feed = Feed::start(request, directory, self.fill_rate, now);
        let replaced = match &feed.scope {
            Scope::Member(scope) => {
                for destination in scope.cached() {
                    let watchers = self.by_destination.entry(*destination);
                    watchers.or_default().insert(id);
                }
                self.by_member.insert(scope.name().clone(), id)
            }
            Scope::Complete(_) => {
                self.followers.insert(id);
                None
            }
        };
        self.feeds.insert(id, feed);
        self.ready.insert(id);
        if let Some(replaced) = replaced {
            self.close(replaced);
        }
        Ok(OpenedWatch { id, replaced })
    }

    /// Closes a watch, if it is open.
    pub fn close(&mut self, id: WatcherId) {
        let Some(feed) = self.feeds.remove(&id) else {
            return;
        };
        self.followers.remove(&id);
        self.ready.remove(&id);
        let Scope::Member(scope) = feed.scope else {
            return;
        };
        if self.by_member.get(scope.name()) == Some(&id) {
            self.by_member.remove(scope.name());
        }
        for destination in scope.cached() {
            self.remove_from_destination_index(*destination, id);
        }
    }

    /// Adds cached destinations to a dispatcher's watch, and removes others.
    pub fn change_cached_destinations(
        &mut self,
        request: &LookUpRequest,
    ) -> Result<(), WatchRejected> {
        let id = *self
            .by_member
            .get(&request.dispatcher)
            .ok_or(WatchRejected::NoWatch)?;
        if self.feeds.get(&id).is_some_and(Feed::is_waiting) {
            return Err(WatchRejected::Behind);
        }
        let scope = self.member_scope(id).ok_or(WatchRejected::NoWatch)?;
        let kept = scope
            .cached()
            .iter()
            .filter(|destination| !request.forget.contains(destination));
        let added = request.destinations.iter().filter(|destination| {
            !scope.cached().contains(destination) || request.forget.contains(destination)
        });
        if kept.count() + added.count() > MAX_CACHED_DESTINATIONS {
            return Err(WatchRejected::TooManyDestinations);
        }
        scope.change_cached(&request.destinations, &request.forget);
        for destination in &request.forget {
            self.remove_from_destination_index(*destination, id);
        }
        for destination in &request.destinations {
            let watchers = self.by_destination.entry(*destination);
            watchers.or_default().insert(id);
        }
        Ok(())
    }

    /// Queues a change for the watchers that need it. Call after the directory has applied each record.
    pub fn record_applied(&mut self, applied: &Applied, directory: &Directory) {
        match applied {
            Applied::Endpoints(indexes) => {
                indexes
                    .iter()
                    .for_each(|index| self.entry_changed(*index, directory));
            }
            Applied::Members => {}
            Applied::Assignment(affected) => {
                affected
                    .iter()
                    .for_each(|member| self.assignment_changed(member, directory));
            }
        }
        self.ready.extend(&self.followers);
    }

    /// Marks a watcher whose connection can be sent more.
    pub fn mark_ready(&mut self, id: WatcherId) {
        self.ready.insert(id);
    }

    /// Marks all watchers, since each may have a line that depends on the time, such as a heartbeat or a fill.
    pub fn mark_all_ready(&mut self) {
        self.ready.extend(self.feeds.keys());
    }

    /// Takes the watchers that may have a line to send.
    pub fn take_ready(&mut self) -> BTreeSet<WatcherId> {
        std::mem::take(&mut self.ready)
    }

    /// The next line for a watcher, if there is one now.
    pub fn next_line(
        &mut self,
        id: WatcherId,
        directory: &Directory,
        now: Nanos,
    ) -> Option<FeedLine> {
        self.feeds.get_mut(&id)?.next_line(directory, now)
    }

    fn entry_changed(&mut self, index: EntryIndex, directory: &Directory) {
        let entries = directory.entries();
        let (Some(bucket), Some(destination)) = (entries.bucket(index), entries.destination(index))
        else {
            return;
        };
        let holders = directory.assignment().holders(bucket).into_iter().flatten();
        let mut affected: BTreeSet<WatcherId> = holders
            .filter_map(|member| self.by_member.get(member).copied())
            .collect();
        affected.extend(self.by_destination.get(&destination).into_iter().flatten());
        for id in affected {
            if let Some(scope) = self.member_scope(id) {
                scope.entry_changed(index);
                self.ready.insert(id);
            }
        }
    }

    fn assignment_changed(&mut self, member: &MemberName, directory: &Directory) {
        let Some(id) = self.by_member.get(member).copied() else {
            return;
        };
        if let Some(scope) = self.member_scope(id) {
            scope.assignment_changed(directory);
            self.ready.insert(id);
        }
    }

    fn member_scope(&mut self, id: WatcherId) -> Option<&mut MemberScope> {
        match self.feeds.get_mut(&id)? {
            Feed {
                scope: Scope::Member(scope),
                ..
            } => Some(scope),
            _ => None,
        }
    }

    fn remove_from_destination_index(&mut self, destination: u64, id: WatcherId) {
        let Some(ids) = self.by_destination.get_mut(&destination) else {
            return;
        };
        ids.remove(&id);
        if ids.is_empty() {
            self.by_destination.remove(&destination);
        }
    }
}
