//! Passes every observation to the auditor and to the measurements, in one order of time.

use crate::audit::{AuditSettings, AuditedEndpoint, Auditor, Slack, Verdict};
use crate::load::Arrival;
use crate::measure::{Measure, Results};
use crate::record::{CallNumber, Observation};
use crate::world::plan::Plan;
use crate::world::time::ms;
use bellsill_core::interface::Nanos;

/// The auditor and the measurements of a run.
pub struct Ledger {
    /// Judges the rules.
    pub audit: Auditor,
    /// Measures latencies and counts.
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
                rate_limit: e.rate_limit,
            })
            .collect(),
        drain_grace: ms(r.drain_grace_ms),
        key_cooldown: ms(r.key_rest_ms),
        max_attempts: plan.spec.dispatchers.max_connects,
        slack,
    }
}

impl Ledger {
    /// The ledger of a run that has not begun.
    pub fn new(plan: &Plan, slack: Slack) -> Ledger {
        Ledger {
            audit: Auditor::new(audit_settings(plan, slack)),
            measure: Measure::new(plan),
            calls: 0,
            at: 0,
        }
    }

    /// A number for a call that was not observed before.
    pub fn next_call_number(&mut self) -> CallNumber {
        self.calls += 1;
        CallNumber(self.calls)
    }

    /// Takes in an observation.
    pub fn observe(&mut self, at: Nanos, observation: Observation) {
        // Two tasks may have looked at the clock in another order than they come here.
        self.at = self.at.max(at);
        tracing::trace!(at = self.at, ?observation);
        self.audit.observe(self.at, &observation);
        self.measure.observe(self.at, &observation);
    }

    /// Notes an arrival that a client means to submit.
    pub fn arrived(&mut self, arrival: &Arrival) {
        self.measure.arrived(arrival);
    }

    /// The verdict and the results once the run is over.
    pub fn finish(self, now: Nanos) -> (Verdict, Results) {
        (self.audit.finish(now.max(self.at)), self.measure.finish())
    }
}
