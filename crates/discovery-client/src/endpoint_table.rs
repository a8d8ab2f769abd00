//! The entries of a list, indexed by name, destination and bucket.

use bellsill_directory::line::{EndpointEntry, Version};
use bellsill_placement::BucketId;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
pub(crate) struct CachedEntry {
    pub(crate) entry: EndpointEntry,
    pub(crate) bucket: Option<BucketId>,
    /// The entry was received since its bucket was last gained. Unconfirmed entries are removed when the bucket is
    /// complete.
    pub(crate) confirmed: bool,
}

#[derive(Default)]
pub(crate) struct EndpointTable {
    /// The endpoints of each destination, by name.
    destinations: BTreeMap<u64, BTreeMap<String, CachedEntry>>,
    destination_of: BTreeMap<String, u64>,
    names_by_bucket: BTreeMap<BucketId, BTreeSet<String>>,
}

impl EndpointTable {
    /// All entries, by destination and name.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.destinations
            .values()
            .flat_map(|endpoints| endpoints.values().map(|cached| &cached.entry))
    }

    /// The endpoints of one destination, by name.
    pub(crate) fn of_destination(&self, destination: u64) -> impl Iterator<Item = &CachedEntry> {
        let endpoints = self.destinations.get(&destination).into_iter();
        endpoints.flat_map(BTreeMap::values)
    }

    /// The names of the endpoints of a bucket.
    pub(crate) fn names_in(&self, bucket: BucketId) -> Vec<String> {
        let names = self.names_by_bucket.get(&bucket).into_iter();
        names.flatten().cloned().collect()
    }

    /// The number of destinations that have entries.
    pub(crate) fn destinations(&self) -> usize {
        self.destinations.len()
    }

    pub(crate) fn has_destination(&self, destination: u64) -> bool {
        self.destinations.contains_key(&destination)
    }

    pub(crate) fn destination_of(&self, name: &str) -> Option<u64> {
        self.destination_of.get(name).copied()
    }

    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut CachedEntry> {
        let destination = self.destination_of.get(name)?;
        self.destinations.get_mut(destination)?.get_mut(name)
    }

    /// Adds an endpoint that is not in the table.
    pub(crate) fn insert(&mut self, cached: CachedEntry) {
        let name = cached.entry.id.clone();
        let destination = cached.entry.destination;
        self.destination_of.insert(name.clone(), destination);
        if let Some(bucket) = cached.bucket {
            self.names_by_bucket
                .entry(bucket)
                .or_default()
                .insert(name.clone());
        }
        let endpoints = self.destinations.entry(destination).or_default();
        endpoints.insert(name, cached);
    }

    pub(crate) fn remove(&mut self, name: &str) -> Option<EndpointEntry> {
        let destination = self.destination_of.remove(name)?;
        let endpoints = self.destinations.get_mut(&destination)?;
        let cached = endpoints.remove(name)?;
        if endpoints.is_empty() {
            self.destinations.remove(&destination);
        }
        if let Some(bucket) = cached.bucket {
            self.remove_from_bucket(bucket, name);
        }
        Some(cached.entry)
    }

    fn remove_from_bucket(&mut self, bucket: BucketId, name: &str) {
        let Some(names) = self.names_by_bucket.get_mut(&bucket) else {
            return;
        };
        names.remove(name);
        if names.is_empty() {
            self.names_by_bucket.remove(&bucket);
        }
    }

    /// Resets all versions, because those of a new log are not comparable with those of the old one.
    pub(crate) fn reset_versions(&mut self) {
        for endpoints in self.destinations.values_mut() {
            for cached in endpoints.values_mut() {
                cached.entry.version = Version(0);
                cached.confirmed = false;
            }
        }
    }
}
