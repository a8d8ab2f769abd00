//! The changed entries that have not been sent to a watcher yet.

use crate::entries::EntryIndex;
use crate::line::{EndpointEntry, Version};
use crate::line_budget::LineBudget;
use crate::state::Directory;

/// The maximum number of listed entries. If more change, the list is dropped and the scope is scanned instead.
const MAX_PENDING: usize = 4096;

pub(crate) struct PendingChanges {
    entries: Vec<EntryIndex>,
    /// The list is incomplete: all entries in the scope with a later version than the one sent are pending.
    rescan: bool,
}

impl PendingChanges {
    /// An empty list that is incomplete, so the scope has to be scanned.
    pub(crate) fn incomplete() -> PendingChanges {
        PendingChanges {
            entries: Vec::new(),
            rescan: true,
        }
    }

    pub(crate) fn listed(entries: Vec<EntryIndex>) -> PendingChanges {
        PendingChanges {
            entries,
            rescan: false,
        }
    }

    /// Whether no entries are listed.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn needs_rescan(&self) -> bool {
        self.rescan
    }

    pub(crate) fn add(&mut self, index: EntryIndex) {
        if self.rescan {
            return;
        }
        self.entries.push(index);
        if self.entries.len() > MAX_PENDING {
            self.entries.clear();
            self.rescan = true;
        }
    }

    /// Removes duplicates and entries outside the scope, and sorts the rest by version.
    pub(crate) fn filter_and_sort(
        &mut self,
        directory: &Directory,
        in_scope: impl Fn(EntryIndex) -> bool,
    ) {
        self.entries.retain(|index| in_scope(*index));
        self.entries
            .sort_unstable_by_key(|index| (directory.entries().version(*index), *index));
        self.entries.dedup();
    }

    /// Removes and returns as many of the first entries as fit into the budget.
    pub(crate) fn take(
        &mut self,
        directory: &Directory,
        mut budget: LineBudget,
    ) -> Vec<EndpointEntry> {
        let mut taken = Vec::new();
        let mut count = 0;
        for index in &self.entries {
            if let Some(entry) = directory.entries().entry(*index) {
                if budget.reserve(&entry).is_err() {
                    break;
                }
                taken.push(entry);
            }
            count += 1;
        }
        self.entries.drain(..count);
        taken
    }

    /// The version of the first listed entry.
    pub(crate) fn first_version(&self, directory: &Directory) -> Option<Version> {
        let first = self.entries.first()?;
        directory.entries().version(*first)
    }
}
