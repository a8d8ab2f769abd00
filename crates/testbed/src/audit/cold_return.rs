//! Rule 4: a cold endpoint is not overloaded by dispatchers that had seen its outage.

use super::state::Auditor;
use super::verdict::Rule;
use bellsill_core::interface::{EndpointId, Nanos};

impl Auditor {
    pub(super) fn check_cold_return(
        &mut self,
        at: Nanos,
        endpoint: EndpointId,
        informed_calls: usize,
        all_calls: usize,
    ) {
        // The rule is violated if at least two thirds of the calls came from informed dispatchers.
        if informed_calls * 3 >= all_calls * 2 {
            let evidence = format!(
                "endpoint {} fell over on its return: {informed_calls} of the last {all_calls} calls came from dispatchers \
                 that had seen its outage",
                endpoint.0
            );
            self.report_violation(at, Rule::Tipped, None, evidence);
        }
    }
}
