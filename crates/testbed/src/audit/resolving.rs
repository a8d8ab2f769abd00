//! Resolves due suspicions: each one is reported as a violation or cleared by later observations.

use super::state::Auditor;
use super::suspicions::Suspicion;
use super::verdict::Rule;
use crate::record::CallNumber;
use bellsill_core::interface::{MessageId, Nanos};

impl Auditor {
    pub(super) fn resolve(&mut self, at: Nanos, suspicion: Suspicion) {
        match suspicion {
            Suspicion::StillInFlight { by, earlier, rule } => {
                self.resolve_still_in_flight(at, by, earlier, rule);
            }
            Suspicion::NotEnded { by, earlier } => self.resolve_not_ended(at, by, earlier),
            Suspicion::AfterDelivery { by, answered } => {
                let crossed = self
                    .ended_calls
                    .get(&answered)
                    .is_some_and(|end| end.closed_at.is_some());
                if !crossed && !self.is_abandoned(by) {
                    let evidence = "sent again after it had been relayed".into();
                    self.report_violation(at, Rule::AfterEnd, Some(by), evidence);
                }
            }
        }
    }

    fn resolve_still_in_flight(
        &mut self,
        at: Nanos,
        by: MessageId,
        earlier: CallNumber,
        rule: Rule,
    ) {
        if self.ended_calls.contains_key(&earlier) || self.is_abandoned(by) {
            return;
        }
        let (message, endpoint) = self
            .calls
            .get(&earlier)
            .map_or((0, 0), |call| (call.message.0, call.endpoint.0));
        let evidence = format!(
            "sent while a connect of mail {message:016x} to endpoint {endpoint} was still out"
        );
        self.report_violation(at, rule, Some(by), evidence);
    }

    fn resolve_not_ended(&mut self, at: Nanos, by: MessageId, earlier: MessageId) {
        let unresolved = self
            .messages
            .get(&earlier)
            .is_some_and(|m| m.ending.is_none() && !m.abandoned);
        if unresolved && !self.is_abandoned(by) {
            let evidence = format!(
                "sent before mail {:016x} of its key, taken earlier, had ended",
                earlier.0
            );
            self.report_violation(at, Rule::Order, Some(by), evidence);
        }
    }

    /// Returns whether the message is abandoned or no longer known.
    fn is_abandoned(&self, message: MessageId) -> bool {
        self.messages.get(&message).is_none_or(|m| m.abandoned)
    }
}
