//! The state of an endpoint: its condition under the active faults, its calls and its connections.

use super::effects::{CallId, ConnId, Reachability};
use bellsill_core::interface::Nanos;
use std::collections::{BTreeSet, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Condition {
    pub(super) down: bool,
    pub(super) reset: bool,
    pub(super) silent: bool,
    pub(super) hung: bool,
    pub(super) shut_until: Option<Nanos>,
    pub(super) slow: f64,
    pub(super) failing: f64,
    pub(super) lost: f64,
    pub(super) malformed: f64,
    pub(super) reaped: bool,
}

impl Condition {
    pub(super) const HEALTHY: Condition = Condition {
        down: false,
        reset: false,
        silent: false,
        hung: false,
        shut_until: None,
        slow: 1.0,
        failing: 0.0,
        lost: 0.0,
        malformed: 0.0,
        reaped: false,
    };
}

/// A recent call to a cold endpoint.
pub(super) struct RecentCall {
    pub(super) at: Nanos,
    /// Whether the calling dispatcher had seen the outage.
    pub(super) informed: bool,
}

pub(super) struct Endpoint {
    /// The active faults, as rows of the experiment's faults.
    pub(super) faults: Vec<usize>,
    pub(super) condition: Condition,
    pub(super) collapsed: bool,
    pub(super) removed: bool,
    pub(super) working: u32,
    pub(super) queue: VecDeque<CallId>,
    /// Calls whose work completed while the endpoint hangs; they are answered when it recovers.
    pub(super) stalled: Vec<CallId>,
    pub(super) conns: BTreeSet<ConnId>,
    pub(super) cold_since: Option<Nanos>,
    /// Dispatchers that saw a call or a connection to this endpoint fail during the outage.
    pub(super) outage_seen_by: BTreeSet<usize>,
    /// Calls within the overload window, while the endpoint is cold.
    pub(super) recent_calls: VecDeque<RecentCall>,
    pub(super) calls_in_sample: u64,
}

impl Endpoint {
    pub(super) fn new(cold_since: Option<Nanos>) -> Endpoint {
        Endpoint {
            faults: vec![],
            condition: Condition::HEALTHY,
            collapsed: false,
            removed: false,
            working: 0,
            queue: VecDeque::new(),
            stalled: vec![],
            conns: BTreeSet::new(),
            cold_since,
            outage_seen_by: BTreeSet::new(),
            recent_calls: VecDeque::new(),
            calls_in_sample: 0,
        }
    }
    pub(super) fn reach(&self) -> Reachability {
        match () {
            () if self.removed || self.collapsed || self.condition.down => Reachability::Refusing,
            () if self.condition.silent => Reachability::Silent,
            () => Reachability::Open,
        }
    }
    pub(super) fn in_outage(&self) -> bool {
        let c = &self.condition;
        self.collapsed || c.down || c.silent || c.hung || c.shut_until.is_some()
    }
}
