//! Removed endpoints that are still in the table, and the version up to which removals may have been purged.

use crate::entries::{EntryIndex, EntryTable};
use crate::line::{EndpointState, Version};
use std::collections::VecDeque;

pub(super) struct Removals {
    /// Sorted by age, oldest first. An endpoint that is no longer removed stays listed, and is skipped once it is the
    /// oldest.
    removed: VecDeque<(Version, EntryIndex)>,
    /// Removals up to this version may have been purged.
    forgotten: Version,
    max_removed: usize,
}

impl Removals {
    pub(super) fn new(forgotten: Version, max_removed: usize) -> Removals {
        Removals {
            removed: VecDeque::new(),
            forgotten,
            max_removed,
        }
    }

    pub(super) fn forgotten(&self) -> Version {
        self.forgotten
    }

    pub(super) fn add(&mut self, version: Version, index: EntryIndex) {
        self.removed.push_back((version, index));
    }

    /// Sorts removals that were added in any order.
    pub(super) fn sort(&mut self) {
        self.removed.make_contiguous().sort_unstable();
    }

    /// Removes the oldest removed endpoints from the table while there are more than the maximum.
    pub(super) fn purge_oldest(&mut self, entries: &mut EntryTable) {
        while self.removed.len() > self.max_removed {
            let Some((version, index)) = self.removed.pop_front() else {
                return;
            };
            let still_removed = entries.state(index) == Some(EndpointState::Removed);
            if still_removed && entries.version(index) == Some(version) {
                entries.remove(index);
                self.forgotten = version;
            }
        }
    }
}
