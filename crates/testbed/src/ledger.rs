//! Passes every observation to the auditor and the measurements, in chronological order.

use crate::audit::{AuditSettings, AuditedEndpoint, Auditor, Slack, Verdict};
use crate::load::Arrival;
use crate::measure::{Measure, Results};
use crate::record::{CallNumber, Observation};
use crate::world::plan::Plan;
use crate::world::time::ms;
use bellsill_core::interface::Nanos;

/// The auditor and the measurements of a run.
pub struct Ledger {
    /// Checks the rules.
    pub audit: Auditor,
    /// Measures latencies and counts.
    pub measure: Measure,
    last_call_number: u64,
    latest_time: Nanos,
}

/// Returns the settings of the auditor for a plan.
pub fn audit_settings(plan: &Plan, slack: Slack) -> AuditSettings {
    let rules = &plan.spec.rules;
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
        drain_grace: ms(rules.drain_grace_ms),
        key_cooldown: ms(rules.key_rest_ms),
        max_attempts: plan.spec.dispatchers.max_connects,
        slack,
    }
}

impl Ledger {
    /// Creates the ledger of a run that has not started.
    pub fn new(plan: &Plan, slack: Slack) -> Ledger {
        Ledger {
            audit: Auditor::new(audit_settings(plan, slack)),
            measure: Measure::new(plan),
            last_call_number: 0,
            latest_time: 0,
        }
    }

    /// Allocates the number of a new call.
    pub fn next_call_number(&mut self) -> CallNumber {
        self.last_call_number += 1;
        CallNumber(self.last_call_number)
    }

    /// Records an observation.
    pub fn observe(&mut self, at: Nanos, observation: Observation) {
        // Two tasks may have read the clock in a different order from that of their calls.
        self.latest_time = self.latest_time.max(at);
        tracing::trace!(at = self.latest_time, ?observation);
        self.audit.observe(self.latest_time, &observation);
        self.measure.observe(self.latest_time, &observation);
    }

    /// Records an arrival that a client is about to submit.
    pub fn arrived(&mut self, arrival: &Arrival) {
        self.measure.arrived(arrival);
    }

    /// Returns the verdict and the results at the end of the run.
    pub fn finish(self, now: Nanos) -> (Verdict, Results) {
        (
            self.audit.finish(now.max(self.latest_time)),
            self.measure.finish(),
        )
    }
}
