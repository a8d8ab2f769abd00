//! Counts adoptions, and bounds how long the adopted journals had no owner.

use bellsill_core::interface::Nanos;
use std::collections::BTreeMap;

/// What operators are shown of the adoptions since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdoptionCounters {
    /// Adopted journals with messages or notifications.
    pub adopted: u64,
    /// Attempts at adoption that failed and were repeated.
    pub failed_attempts: u64,
    /// The longest time that an adopted journal may have had no owner.
    pub longest_unowned: Nanos,
}

/// Whether a journal's adoption had failed before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    First,
    Repeated,
}

/// The checks for journals without an owner since the start of the process.
#[derive(Default)]
pub(super) struct AdoptionHistory {
    counters: AdoptionCounters,
    /// When the state directory was checked last. A journal that was not adopted then either had an owner, or did not
    /// exist, or failed to be adopted.
    last_check: Option<Nanos>,
    /// The journals whose adoption has failed, with the time since when they may have had no owner.
    unowned_since: BTreeMap<usize, Nanos>,
}

impl AdoptionHistory {
    pub(super) fn counters(&self) -> AdoptionCounters {
        self.counters
    }

    /// Records that all journals have been checked.
    pub(super) fn checked(&mut self, now: Nanos) {
        self.last_check = Some(now);
    }

    /// The time since when a journal that was written last at `written_at` may have had no owner.
    fn may_be_unowned_since(&self, index: usize, written_at: Nanos) -> Nanos {
        let failed_since = self.unowned_since.get(&index).copied();
        let known_since = failed_since.or(self.last_check).unwrap_or_default();
        known_since.max(written_at)
    }

    /// Records that a journal could not be adopted.
    pub(super) fn failed(&mut self, index: usize, now: Nanos) -> Failure {
        self.counters.failed_attempts += 1;
        let since = self.last_check.unwrap_or(now);
        if self.unowned_since.contains_key(&index) {
            return Failure::Repeated;
        }
        self.unowned_since.insert(index, since);
        Failure::First
    }

    /// Records that a journal has an owner, or does not exist: earlier failures say nothing about a later one.
    pub(super) fn not_unowned(&mut self, index: usize) {
        self.unowned_since.remove(&index);
    }

    /// Records that a journal was adopted, and returns how long it may have had no owner.
    pub(super) fn adopted(&mut self, index: usize, written_at: Nanos, now: Nanos) -> Nanos {
        let since = self.may_be_unowned_since(index, written_at);
        self.unowned_since.remove(&index);
        let unowned = now.saturating_sub(since);
        self.counters.adopted += 1;
        self.counters.longest_unowned = self.counters.longest_unowned.max(unowned);
        unowned
    }
}
