//! Rule 5: nothing is sent past a limit while its Retry-After runs.

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
        self.waits
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
        let Some(waits) = self.waits.get_mut(&(call.dispatcher, rate_limit)) else {
            return;
        };
        waits.retain(|w| w.until > call.at);
        let running = waits
            .iter()
            .find(|w| started_at > w.from + slack.told && started_at + MILLISECOND < w.until)
            .copied();
        if let Some(wait) = running {
            let into = (started_at - wait.from) as f64 / 1e9;
            let left = (wait.until - started_at) as f64 / 1e9;
            let evidence = format!(
                "sent to endpoint {} {into:.3} s into a told wait, {left:.3} s before its end",
                call.endpoint.0
            );
            self.violated(call.at, Rule::ToldWait, Some(call.message), evidence);
        }
    }
}
