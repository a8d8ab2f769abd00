//! All deadlines, in one ordered structure: each thing that can fall due has one time at most.

use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet};

pub struct Deadlines<K> {
    order: BTreeSet<(Nanos, K)>,
    at: BTreeMap<K, Nanos>,
}

impl<K> Default for Deadlines<K> {
    fn default() -> Self {
        Deadlines {
            order: BTreeSet::new(),
            at: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Copy> Deadlines<K> {
    /// Sets when this falls due, in place of what was set before.
    pub fn set(&mut self, what: K, at: Nanos) {
        self.clear(what);
        self.at.insert(what, at);
        self.order.insert((at, what));
    }

    /// Sets when this falls due, unless it is set.
    pub fn set_if_unset(&mut self, what: K, at: Nanos) {
        if !self.at.contains_key(&what) {
            self.set(what, at);
        }
    }

    pub fn clear(&mut self, what: K) {
        if let Some(at) = self.at.remove(&what) {
            self.order.remove(&(at, what));
        }
    }

    pub fn is_due(&self, what: K, now: Nanos) -> bool {
        self.at.get(&what).is_some_and(|&at| at <= now)
    }

    pub fn next(&self) -> Option<Nanos> {
        self.order.first().map(|first| first.0)
    }

    /// Takes out one that is due by now.
    pub fn take_due(&mut self, now: Nanos) -> Option<K> {
        let &(_, what) = self.order.first().filter(|first| first.0 <= now)?;
        self.clear(what);
        Some(what)
    }
}
