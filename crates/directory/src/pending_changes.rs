//! Which entries have changed and were not sent to a watcher yet.

use crate::entries::EntryIndex;
use crate::line::{EndpointEntry, Version};
use crate::line_budget::LineBudget;
use crate::state::Directory;

/// The most entries that are listed; where more change, the scope is scanned for them.
const MAX_PENDING: usize = 4096;

pub(crate) struct PendingChanges {
    entries: Vec<EntryIndex>,
    /// The list is not complete: every entry in the scope that is later than the version sent is pending.
    rescan: bool,
}

impl PendingChanges {
    /// Nothing is listed, and the scope has to be scanned.
    pub(crate) fn unlisted() -> PendingChanges {
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

    /// Whether nothing is listed.
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

    /// Keeps the entries in the scope, each once, in the order of their versions.
    pub(crate) fn order(&mut self, directory: &Directory, in_scope: impl Fn(EntryIndex) -> bool) {
        self.entries.retain(|index| in_scope(*index));
        self.entries
            .sort_unstable_by_key(|index| (directory.entries().version(*index), *index));
        self.entries.dedup();
    }

    /// Takes as many of the first entries as the budget allows.
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

    /// The version of the first entry.
    pub(crate) fn first_version(&self, directory: &Directory) -> Option<Version> {
        let first = self.entries.first()?;
        directory.entries().version(*first)
    }
}
