//! A compact table of all endpoints of the configuration, indexed by name and by bucket.

use crate::entry::Endpoint;
use crate::line::{EndpointEntry, EndpointState, Version};
use bellsill_placement::BucketId;
use hashbrown::HashTable;
use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;

/// The index of an endpoint in the table. An index is reused once its endpoint has been removed from the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryIndex(u32);

/// The index of an interned name of a zone or kind.
type NameIndex = u16;

/// One endpoint as the table stores it, with interned names of zone and kind.
struct StoredEndpoint {
    id: Box<str>,
    address: Option<SocketAddr>,
    destination: u64,
    version: Version,
    /// NaN if there is none.
    weight: f64,
    bucket: BucketId,
    zone: NameIndex,
    kind: NameIndex,
    state: EndpointState,
}

/// Why the table has no capacity for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TableFull {
    /// The maximum number of endpoints is reached.
    Endpoints,
    /// The maximum number of distinct zones and kinds is reached.
    Names,
}

/// The endpoints of all regions, including removed ones that are still retained.
pub struct EntryTable {
    rows: Vec<Option<StoredEndpoint>>,
    free: Vec<EntryIndex>,
    by_id: HashTable<EntryIndex>,
    hasher: RandomState,
    /// The endpoints of each bucket, by bucket number; sorted by index.
    by_bucket: Vec<Vec<EntryIndex>>,
    /// The interned names of zones and kinds.
    names: Vec<Box<str>>,
}

impl EntryTable {
    /// Creates an empty table for endpoints in this number of buckets.
    pub fn new(buckets: u32) -> EntryTable {
        EntryTable {
            rows: Vec::new(),
            free: Vec::new(),
            by_id: HashTable::new(),
            hasher: RandomState::new(),
            by_bucket: vec![Vec::new(); buckets as usize],
            names: Vec::new(),
        }
    }

    /// The number of endpoints, including those in the state `Removed`.
    pub fn len(&self) -> usize {
        self.rows.len() - self.free.len()
    }

    /// Whether the table contains no endpoints.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Finds an endpoint by its name.
    pub fn find(&self, id: &str) -> Option<EntryIndex> {
        let hash = self.hasher.hash_one(id);
        self.by_id
            .find(hash, |index| self.has_id(*index, id))
            .copied()
    }

    /// The endpoints of a bucket, sorted by index.
    pub fn in_bucket(&self, bucket: BucketId) -> &[EntryIndex] {
        self.by_bucket
            .get(bucket.0 as usize)
            .map_or(&[], Vec::as_slice)
    }

    /// The endpoints at indices after this one, or all endpoints for `None`, sorted by index.
    pub fn after(&self, index: Option<EntryIndex>) -> impl Iterator<Item = EntryIndex> {
        let first = index.map_or(0, |index| index.0 as usize + 1);
        let used = self
            .rows
            .iter()
            .enumerate()
            .skip(first)
            .filter(|(_, row)| row.is_some());
        used.map(|(index, _)| EntryIndex(index as u32))
    }

    /// The bucket of an endpoint.
    pub fn bucket(&self, index: EntryIndex) -> Option<BucketId> {
        self.row(index).map(|row| row.bucket)
    }

    /// The destination of an endpoint.
    pub fn destination(&self, index: EntryIndex) -> Option<u64> {
        self.row(index).map(|row| row.destination)
    }

    /// The version of the last change of an endpoint.
    pub fn version(&self, index: EntryIndex) -> Option<Version> {
        self.row(index).map(|row| row.version)
    }

    /// The state of an endpoint.
    pub fn state(&self, index: EntryIndex) -> Option<EndpointState> {
        self.row(index).map(|row| row.state)
    }

    /// The endpoint, as records contain it.
    pub fn endpoint(&self, index: EntryIndex) -> Option<Endpoint> {
        let row = self.row(index)?;
        Some(Endpoint {
            id: row.id.to_string(),
            address: row.address,
            zone: self.names.get(row.zone as usize)?.to_string(),
            kind: self.names.get(row.kind as usize)?.to_string(),
            destination: row.destination,
            state: row.state,
            weight: Some(row.weight).filter(|weight| !weight.is_nan()),
        })
    }

    /// The endpoint, as lines contain it.
    pub fn entry(&self, index: EntryIndex) -> Option<EndpointEntry> {
        let version = self.version(index)?;
        Some(self.endpoint(index)?.into_entry(version))
    }

    /// Checks that the table has capacity for these endpoints, as if all of them were new.
    pub(crate) fn check_capacity<'a>(&self, endpoints: &'a [Endpoint]) -> Result<(), TableFull> {
        let unknown = |name: &&'a str| !self.names.iter().any(|known| **known == **name);
        let names = endpoints
            .iter()
            .flat_map(|endpoint| [endpoint.zone.as_str(), endpoint.kind.as_str()]);
        let new_names: HashSet<&str> = names.filter(unknown).collect();
        if self.names.len() + new_names.len() > usize::from(NameIndex::MAX) {
            return Err(TableFull::Names);
        }
        if self.len() + endpoints.len() <= u32::MAX as usize {
            Ok(())
        } else {
            Err(TableFull::Endpoints)
        }
    }

    /// Adds or replaces an endpoint. The caller must have checked the capacity, and that an existing endpoint stays in
    /// its bucket.
    pub(crate) fn put(
        &mut self,
        endpoint: &Endpoint,
        bucket: BucketId,
        version: Version,
    ) -> EntryIndex {
        let zone = self.intern(&endpoint.zone);
        let kind = self.intern(&endpoint.kind);
        let known = self.find(&endpoint.id);
        let row = StoredEndpoint {
            id: endpoint.id.as_str().into(),
            address: endpoint.address,
            destination: endpoint.destination,
            version,
            weight: endpoint.weight.unwrap_or(f64::NAN),
            bucket,
            zone,
            kind,
            state: endpoint.state,
        };
        match known {
            Some(index) => {
                self.rows[index.0 as usize] = Some(row);
                index
            }
            None => self.add(row),
        }
    }

    /// Removes an endpoint from the table.
    pub(crate) fn remove(&mut self, index: EntryIndex) {
        let Some(row) = self.rows.get_mut(index.0 as usize).and_then(Option::take) else {
            return;
        };
        let hash = self.hasher.hash_one(&*row.id);
        if let Ok(found) = self.by_id.find_entry(hash, |other| *other == index) {
            found.remove();
        }
        let in_bucket = &mut self.by_bucket[row.bucket.0 as usize];
        if let Ok(position) = in_bucket.binary_search(&index) {
            in_bucket.remove(position);
        }
        self.free.push(index);
    }

    fn row(&self, index: EntryIndex) -> Option<&StoredEndpoint> {
        self.rows.get(index.0 as usize)?.as_ref()
    }

    fn has_id(&self, index: EntryIndex, id: &str) -> bool {
        self.row(index).is_some_and(|row| *row.id == *id)
    }

    fn intern(&mut self, name: &str) -> NameIndex {
        let known = self.names.iter().position(|known| **known == *name);
        let index = known.unwrap_or_else(|| {
            self.names.push(name.into());
            self.names.len() - 1
        });
        index as NameIndex
    }

    fn add(&mut self, row: StoredEndpoint) -> EntryIndex {
        let hash = self.hasher.hash_one(&*row.id);
        let bucket = row.bucket;
        let index = match self.free.pop() {
            Some(index) => {
                self.rows[index.0 as usize] = Some(row);
                index
            }
            None => {
                self.rows.push(Some(row));
                EntryIndex((self.rows.len() - 1) as u32)
            }
        };
        let (rows, hasher) = (&self.rows, &self.hasher);
        let hash_of = |index: &EntryIndex| {
            rows[index.0 as usize]
                .as_ref()
                .map_or(0, |row| hasher.hash_one(&*row.id))
        };
        self.by_id.insert_unique(hash, index, hash_of);
        let in_bucket = &mut self.by_bucket[bucket.0 as usize];
        let position = in_bucket.partition_point(|other| *other < index);
        in_bucket.insert(position, index);
        index
    }
}
