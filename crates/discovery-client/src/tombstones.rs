//! The versions of recently removed endpoints. The response to a lookup may be received after the removal of an
//! endpoint that it still contains, and must not restore it.

use bellsill_directory::line::Version;
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of tombstones; the oldest ones are discarded.
const MAX_TOMBSTONES: usize = 4_096;

#[derive(Default)]
pub(crate) struct Tombstones {
    versions: BTreeMap<String, Version>,
    /// The names, oldest first.
    order: VecDeque<String>,
}

impl Tombstones {
    pub(crate) fn version(&self, name: &str) -> Option<Version> {
        self.versions.get(name).copied()
    }

    pub(crate) fn insert(&mut self, name: String, version: Version) {
        if self.versions.insert(name.clone(), version).is_none() {
            self.order.push_back(name);
        }
        while self.order.len() > MAX_TOMBSTONES {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.versions.remove(&oldest);
        }
    }

    /// Removes the tombstone of an endpoint that exists again.
    pub(crate) fn remove(&mut self, name: &str) {
        self.versions.remove(name);
    }

    pub(crate) fn clear(&mut self) {
        self.versions.clear();
        self.order.clear();
    }
}
