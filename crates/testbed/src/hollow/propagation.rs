//! Follows each change from the start of its write until the last holder has it in force.

use super::clock::SECOND;
use super::holders::Holders;
use super::plan::DispatcherIndex;
use bellsill_core::interface::Nanos;
use bellsill_directory::line::Version;
use bellsill_placement::BucketId;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};

/// The longest time that is told apart.
const LONGEST_MICROSECONDS: u64 = 600_000_000;
/// A change is to be in force everywhere within this.
pub const IN_FORCE_WITHIN: Nanos = 3 * SECOND;

/// One write of one endpoint.
#[derive(Clone, Debug)]
pub struct Change {
    pub endpoint: String,
    pub bucket: BucketId,
    /// When its write was begun.
    pub started: Nanos,
}

struct Followed {
    change: Change,
    version: Option<Version>,
    waits_for: BTreeSet<DispatcherIndex>,
    /// Dispatchers that have it in force, and the version that they were told.
    versions: BTreeMap<DispatcherIndex, Version>,
    last: Nanos,
}

/// The changes of one phase; each names another endpoint.
pub struct Propagation {
    followed: BTreeMap<String, Followed>,
    /// To the last holder of each change, in microseconds.
    pub to_last: Histogram<u64>,
    /// To each holder, in microseconds.
    pub to_each: Histogram<u64>,
    /// From a write's start to its answer, in microseconds.
    pub writes: Histogram<u64>,
    pub refused_writes: Vec<String>,
    pub without_holder: u64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_MICROSECONDS, 3).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, span: Nanos) {
    histogram.saturating_record((span / 1_000).max(1));
}

impl Default for Propagation {
    fn default() -> Self {
        Propagation {
            followed: BTreeMap::new(),
            to_last: histogram(),
            to_each: histogram(),
            writes: histogram(),
            refused_writes: vec![],
            without_holder: 0,
        }
    }
}

impl Propagation {
    pub fn writing(&mut self, change: Change, holders: &Holders) {
        let waits_for = holders.of(change.bucket);
        self.without_holder += u64::from(waits_for.is_empty());
        let followed = Followed {
            version: None,
            waits_for,
            versions: BTreeMap::new(),
            last: change.started,
            change,
        };
        self.followed
            .insert(followed.change.endpoint.clone(), followed);
    }

    pub fn written(&mut self, endpoint: &str, version: Version, started: Nanos, answered: Nanos) {
        record(&mut self.writes, answered.saturating_sub(started));
        if let Some(followed) = self.followed.get_mut(endpoint) {
            followed.version = Some(version);
        }
    }

    /// A write that was refused is not waited for.
    pub fn refused(&mut self, endpoint: &str, what: String) {
        self.followed.remove(endpoint);
        self.refused_writes.push(what);
    }

    pub fn applied(
        &mut self,
        dispatcher: DispatcherIndex,
        endpoint: &str,
        version: Version,
        at: Nanos,
    ) {
        let Some(followed) = self.followed.get_mut(endpoint) else {
            return;
        };
        // An entry of before, told again with a filling, is not the change.
        if at < followed.change.started || followed.versions.contains_key(&dispatcher) {
            return;
        }
        followed.versions.insert(dispatcher, version);
        if !followed.waits_for.remove(&dispatcher) {
            return;
        }
        followed.last = followed.last.max(at);
        record(&mut self.to_each, at - followed.change.started);
        if followed.waits_for.is_empty() {
            record(&mut self.to_last, followed.last - followed.change.started);
        }
    }

    /// Writes that have been answered, the refused ones too.
    pub fn answered(&self) -> usize {
        self.writes.len() as usize + self.refused_writes.len()
    }

    pub fn changes(&self) -> usize {
        self.followed.len()
    }

    /// Changes that some holder does not have in force.
    pub fn pending(&self) -> usize {
        self.followed
            .values()
            .filter(|followed| !followed.waits_for.is_empty())
            .count()
    }

    /// Changes that were told to a dispatcher as another version than the write was answered with.
    pub fn wrong_versions(&self) -> usize {
        let wrong = |followed: &&Followed| {
            followed
                .version
                .is_some_and(|written| followed.versions.values().any(|&told| told != written))
        };
        self.followed.values().filter(wrong).count()
    }

    /// The share of all changes that were in force everywhere in time.
    pub fn share_in_time(&self) -> f64 {
        let bound = IN_FORCE_WITHIN / 1_000;
        let in_time = self.to_last.count_between(0, bound);
        in_time as f64 / (self.changes().max(1)) as f64
    }
}
