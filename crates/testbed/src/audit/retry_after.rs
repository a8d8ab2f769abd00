//! Rule 5: no attempt is sent through a rate limit while its Retry-After is in effect.

use super::observing::ObservedCall;
use super::settings::MILLISECOND;
use super::state::{Auditor, RetryAfterWait};
use super::verdict::Rule;
use bellsill_core::interface::{EndpointId, Nanos};

impl Auditor {
    pub(super) fn note_retry_after(
        &mut self,
        at: Nanos,
        dispatcher: usize,
        endpoint: EndpointId,
        wait: Nanos,
    ) {
        let rate_limit = self.endpoint(endpoint).rate_limit;
        self.retry_after_waits
            .entry((dispatcher, rate_limit))
            .or_default()
            .push(RetryAfterWait {
                from: at,
                until: at + wait,
            });
    }

    pub(super) fn check_retry_after(&mut self, call: &ObservedCall) {
        let (started_at, slack) = (call.started_at, self.settings.slack);
        let rate_limit = self.endpoint(call.endpoint).rate_limit;
        let Some(waits) = self
            .retry_after_waits
            .get_mut(&(call.dispatcher, rate_limit))
        else {
            return;
        };
        waits.retain(|w| w.until > call.at);
        let active = waits
            .iter()
            .find(|w| started_at > w.from + slack.retry_after && started_at + MILLISECOND < w.until)
            .copied();
        if let Some(wait) = active {
            let elapsed = (started_at - wait.from) as f64 / 1e9;
            let left = (wait.until - started_at) as f64 / 1e9;
            let evidence = format!(
                "sent to endpoint {} {elapsed:.3} s into a told wait, {left:.3} s before its end",
                call.endpoint.0
            );
            self.report_violation(call.at, Rule::ToldWait, Some(call.message), evidence);
        }
    }
}
