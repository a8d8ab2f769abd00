//! Rule 3: no new attempt is sent to a draining or removed endpoint after the grace period.

use super::observing::ObservedCall;
use super::state::Auditor;
use super::verdict::Rule;

impl Auditor {
    pub(super) fn check_draining(&mut self, call: &ObservedCall) {
        let (dispatcher, started_at) = (call.dispatcher, call.started_at);
        if let Some(since) = self
            .draining_since
            .get(&(dispatcher, call.endpoint))
            .copied()
            && started_at > since + self.settings.drain_grace + self.settings.slack.time
        {
            let late = (started_at - since) as f64 / 1e9;
            let evidence = format!(
                "sent to endpoint {} {late:.3} s after dispatcher {dispatcher} was told it drains",
                call.endpoint.0
            );
            self.report_violation(call.at, Rule::Drained, Some(call.message), evidence);
        }
    }
}
