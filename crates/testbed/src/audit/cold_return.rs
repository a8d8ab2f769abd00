//! Rule 4: a cold endpoint is not overloaded by those who had seen its outage.

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
        // Two thirds of the calls make it theirs.
        if informed_calls * 3 >= all_calls * 2 {
            let evidence = format!(
                "endpoint {} fell over on its return: {informed_calls} of the last {all_calls} calls came from dispatchers \
                 that had seen its outage",
                endpoint.0
            );
            self.violated(at, Rule::Tipped, None, evidence);
        }
    }
}
