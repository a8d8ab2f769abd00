//! Lines and entries as a control process writes them, and a layout of ten destinations a bucket.

// Each test binary has a copy of its own and uses only some of it.
#![allow(dead_code)]

use bellsill_directory::line::{EndpointEntry, EndpointState, ScopedLine, Version};
use bellsill_discovery_client::{BucketMap, ScopedList};
use bellsill_placement::BucketId;
use std::sync::Arc;

/// Destination 17 is in bucket 1.
pub struct TensLayout;

impl BucketMap for TensLayout {
    fn bucket_of(&self, _zone: &str, destination: u64) -> Option<BucketId> {
        Some(BucketId(u32::try_from(destination / 10).ok()?))
    }
}

pub fn empty_list(cache_destinations: usize) -> ScopedList {
    ScopedList::new(Arc::new(TensLayout), cache_destinations)
}

pub fn entry(id: &str, destination: u64, version: u64) -> EndpointEntry {
    EndpointEntry {
        id: id.to_string(),
        addr: Some(format!("10.0.0.1:{}", 9_000 + destination)),
        zone: "z".into(),
        kind: "k".into(),
        destination,
        state: EndpointState::Up,
        weight: None,
        version: Version(version),
    }
}

pub fn removed(id: &str, destination: u64, version: u64) -> EndpointEntry {
    EndpointEntry {
        state: EndpointState::Removed,
        ..entry(id, destination, version)
    }
}

pub fn line(version: u64, servers: Vec<EndpointEntry>) -> ScopedLine {
    ScopedLine {
        version: Version(version),
        servers,
        ..ScopedLine::default()
    }
}

pub fn buckets(numbers: &[u32]) -> Vec<BucketId> {
    numbers.iter().map(|number| BucketId(*number)).collect()
}

/// The names of all endpoints in the list, in order.
pub fn names(list: &ScopedList) -> Vec<&str> {
    let mut names: Vec<&str> = list.entries().map(|entry| entry.id.as_str()).collect();
    names.sort();
    names
}
