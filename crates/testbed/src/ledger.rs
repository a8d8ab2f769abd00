//! Where all that is seen goes: to the auditor and to the measurements, in one order of time.

use crate::audit::{AuditSettings, AuditedEndpoint, Auditor, Slack, Verdict};
use crate::load::Arrival;
use crate::measure::{Measure, Results};
use crate::record::{CallNumber, Observation};
use crate::world::plan::Plan;
use crate::world::time::ms;
use bellsill_core::interface::Nanos;

pub struct Ledger {
    pub audit: Auditor,
    pub measure: Measure,
    calls: u64,
    at: Nanos,
}

/// What the auditor must know of the world of this plan.
pub fn audit_settings(plan: &Plan, slack: Slack) -> AuditSettings {
    let r = &plan.spec.rules;
    AuditSettings {
        classes: plan.dispatcher_settings(0, 0).classes,
        endpoints: plan
            .endpoints
            .iter()
            .map(|e| AuditedEndpoint {
                zone: e.zone,
                gate: e.gate,
            })
            .collect(),
        drain_grace: ms(r.drain_grace_ms),
        key_cooldown: ms(r.key_rest_ms),
        max_attempts: plan.spec.dispatchers.max_connects,
        slack,
    }
}

impl Ledger {
    pub fn new(plan: &Plan, slack: Slack) -> Ledger {
        Ledger {
            audit: Auditor::new(audit_settings(plan, slack)),
            measure: Measure::new(plan),
            calls: 0,
            at: 0,
        }
    }

    pub fn next_call_number(&mut self) -> CallNumber {
        self.calls += 1;
        CallNumber(self.calls)
    }

    pub fn observe(&mut self, at: Nanos, observation: Observation) {
        // Two tasks may have looked at the clock in another order than they come here.
        self.at = self.at.max(at);
        tracing::trace!(at = self.at, ?observation);
        self.audit.observe(self.at, &observation);
        self.measure.observe(self.at, &observation);
    }

    pub fn arrived(&mut self, arrival: &Arrival) {
        self.measure.arrived(arrival);
    }

    pub fn finish(self, now: Nanos) -> (Verdict, Results) {
        (self.audit.finish(now.max(self.at)), self.measure.finish())
    }
}
