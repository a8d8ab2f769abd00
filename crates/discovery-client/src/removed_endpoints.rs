//! The versions of endpoints that were removed last: an answer to a lookup that was made before a removal may be received
//! after it.

use bellsill_directory::line::Version;
use std::collections::{BTreeMap, VecDeque};

/// How many removed endpoints are remembered.
const MAX_REMEMBERED: usize = 4_096;

#[derive(Default)]
pub(crate) struct RemovedEndpoints {
    versions: BTreeMap<String, Version>,
    /// The names, the oldest first.
    order: VecDeque<String>,
}

impl RemovedEndpoints {
    pub(crate) fn version(&self, name: &str) -> Option<Version> {
        self.versions.get(name).copied()
    }

    pub(crate) fn remember(&mut self, name: String, version: Version) {
        if self.versions.insert(name.clone(), version).is_none() {
            self.order.push_back(name);
        }
        while self.order.len() > MAX_REMEMBERED {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.versions.remove(&oldest);
        }
    }

    /// The endpoint exists again.
    pub(crate) fn forget(&mut self, name: &str) {
        self.versions.remove(name);
    }

    pub(crate) fn clear(&mut self) {
        self.versions.clear();
        self.order.clear();
    }
}
