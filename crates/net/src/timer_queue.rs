//! A queue of timers, ordered by deadline.

use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// Timers by their keys; each key has one deadline at most.
pub struct TimerQueue<K> {
    order: BTreeSet<(Nanos, K)>,
    at: BTreeMap<K, Nanos>,
}

impl<K> Default for TimerQueue<K> {
    fn default() -> Self {
        TimerQueue {
            order: BTreeSet::new(),
            at: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Copy> TimerQueue<K> {
    /// Sets the deadline of a timer, in place of any before.
    pub fn set(&mut self, timer: K, at: Nanos) {
        self.cancel(timer);
        self.at.insert(timer, at);
        self.order.insert((at, timer));
    }

    /// Sets the deadline of a timer, unless it has one.
    pub fn set_if_unset(&mut self, timer: K, at: Nanos) {
        if !self.at.contains_key(&timer) {
            self.set(timer, at);
        }
    }

    /// Cancels a timer.
    pub fn cancel(&mut self, timer: K) {
        if let Some(at) = self.at.remove(&timer) {
            self.order.remove(&(at, timer));
        }
    }

    /// Whether a timer is set and its deadline has passed.
    pub fn is_expired(&self, timer: K, now: Nanos) -> bool {
        self.at.get(&timer).is_some_and(|&at| at <= now)
    }

    /// The earliest deadline.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.order.first().map(|first| first.0)
    }

    /// Removes and returns the timer with the earliest deadline, if that has passed.
    pub fn pop_expired(&mut self, now: Nanos) -> Option<K> {
        let &(_, timer) = self.order.first().filter(|first| first.0 <= now)?;
        self.cancel(timer);
        Some(timer)
    }
}
