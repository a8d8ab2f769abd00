//! Removed endpoints that are still in the table, and how far they may be forgotten.

use crate::entries::{EntryIndex, EntryTable};
use crate::line::{EndpointState, Version};
use std::collections::VecDeque;

pub(super) struct Removals {
    /// The oldest first. An endpoint that is up again stays listed, and is skipped when it is the oldest.
    removed: VecDeque<(Version, EntryIndex)>,
    /// Removals up to this version may be forgotten.
    forgotten: Version,
    most_removed: usize,
}

impl Removals {
    pub(super) fn new(forgotten: Version, most_removed: usize) -> Removals {
        Removals {
            removed: VecDeque::new(),
            forgotten,
            most_removed,
        }
    }

    pub(super) fn forgotten(&self) -> Version {
        self.forgotten
    }

    pub(super) fn add(&mut self, version: Version, index: EntryIndex) {
        self.removed.push_back((version, index));
    }

    /// Orders removals that were added in any order.
    pub(super) fn sort(&mut self) {
        self.removed.make_contiguous().sort_unstable();
    }

    /// Takes the oldest removed endpoints over the bound out of the table.
    pub(super) fn forget_oldest(&mut self, entries: &mut EntryTable) {
        while self.removed.len() > self.most_removed {
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
