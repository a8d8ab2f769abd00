//! A queue of timers, ordered by deadline.

use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// Timers by key, with at most one deadline per key.
pub struct TimerQueue<K> {
    by_deadline: BTreeSet<(Nanos, K)>,
    deadlines: BTreeMap<K, Nanos>,
    /// The earliest deadline that a timer is set to.
    earliest: Nanos,
}

impl<K> Default for TimerQueue<K> {
    fn default() -> Self {
        TimerQueue {
            by_deadline: BTreeSet::new(),
            deadlines: BTreeMap::new(),
            earliest: 0,
        }
    }
}

impl<K: Ord + Copy> TimerQueue<K> {
    /// Starts a pass over the timers that have expired by `now`. A timer that is set from now on expires after `now` at the
    /// earliest: one whose handler sets it again in the past would otherwise keep the pass from ending.
    pub fn start_pass(&mut self, now: Nanos) {
        self.earliest = self.earliest.max(now + 1);
    }

    /// Sets the deadline of a timer and replaces an earlier setting.
    pub fn set(&mut self, timer: K, deadline: Nanos) {
        let deadline = deadline.max(self.earliest);
        self.cancel(timer);
        self.deadlines.insert(timer, deadline);
        self.by_deadline.insert((deadline, timer));
    }

    /// Sets the deadline of a timer that is not set; otherwise does nothing.
    pub fn set_if_unset(&mut self, timer: K, deadline: Nanos) {
        if !self.deadlines.contains_key(&timer) {
            self.set(timer, deadline);
        }
    }

    /// Cancels a timer, if it is set.
    pub fn cancel(&mut self, timer: K) {
        if let Some(deadline) = self.deadlines.remove(&timer) {
            self.by_deadline.remove(&(deadline, timer));
        }
    }

    /// Whether a timer is set and its deadline has been reached.
    pub fn is_expired(&self, timer: K, now: Nanos) -> bool {
        self.deadlines
            .get(&timer)
            .is_some_and(|&deadline| deadline <= now)
    }

    /// Returns the earliest deadline.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.by_deadline.first().map(|first| first.0)
    }

    /// Removes and returns the timer with the earliest deadline, if that deadline has been reached.
    pub fn pop_expired(&mut self, now: Nanos) -> Option<K> {
        let &(_, timer) = self.by_deadline.first().filter(|first| first.0 <= now)?;
        self.cancel(timer);
        Some(timer)
    }
}
