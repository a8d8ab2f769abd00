//! Where all that is seen goes: to the auditor and to the measurements, in one order of time.

use crate::audit::{Auditor, Facts, Slack, Verdict};
use crate::load::Arrival;
use crate::measure::{Measure, Results};
use crate::record::{CallNo, Seen};
use crate::world::plan::*;
use bellsill_core::interface::Nanos;

pub struct Ledger {
    pub audit: Auditor,
    pub measure: Measure,
    calls: u64,
    at: Nanos,
}

/// What the auditor must know of the world of this plan.
pub fn facts(plan: &Plan, slack: Slack) -> Facts {
    let r = &plan.spec.rules;
    Facts {
        classes: plan.boot_facts(0, 0).classes,
        endpoints: plan.endpoints.iter().map(|e| (e.zone, e.gate)).collect(),
        drain_grace: ms(r.drain_grace_ms),
        key_rest: ms(r.key_rest_ms),
        max_connects: plan.spec.dispatchers.max_connects,
        slack,
    }
}

impl Ledger {
    pub fn new(plan: &Plan, slack: Slack) -> Ledger {
        Ledger {
            audit: Auditor::new(facts(plan, slack)),
            measure: Measure::new(plan),
            calls: 0,
            at: 0,
        }
    }

    pub fn call_no(&mut self) -> CallNo {
        self.calls += 1;
        CallNo(self.calls)
    }

    pub fn see(&mut self, at: Nanos, seen: Seen) {
        // Two tasks may have looked at the clock in another order than they come here.
        self.at = self.at.max(at);
        tracing::trace!(at = self.at, ?seen);
        self.audit.see(self.at, &seen);
        self.measure.see(self.at, &seen);
    }

    pub fn arrived(&mut self, arrival: &Arrival) {
        self.measure.arrived(arrival);
    }

    pub fn finish(self, now: Nanos) -> (Verdict, Results) {
        (self.audit.finish(now.max(self.at)), self.measure.finish())
    }
}
