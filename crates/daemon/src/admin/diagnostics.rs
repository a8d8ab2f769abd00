//! The reply to `show-diagnostics`: why connections were closed, messages not accepted and calls repeated.

use crate::action_rules::RestrictedAction;
use crate::client::CloseReason;
use crate::clock::NANOS_PER_MS;
use crate::connection::SocketCall;
use crate::delivery::{Rejection, Runtime};

/// A counter with its name.
pub(crate) struct DiagnosticCounter {
    pub(crate) name: String,
    pub(crate) value: u64,
}

/// The current values of all diagnostic counters.
pub(crate) fn diagnostic_counters(runtime: &Runtime) -> Vec<DiagnosticCounter> {
    let metrics = &runtime.metrics;
    let mut counters = Vec::new();
    let mut add = |name: String, value: u64| counters.push(DiagnosticCounter { name, value });
    for reason in CloseReason::ALL {
        add(
            format!("client_closes.{}", reason.name()),
            metrics.client_closes(reason),
        );
    }
    for reason in Rejection::ALL {
        add(
            format!("refusals.{}", reason.name()),
            metrics.refusals(reason),
        );
    }
    for call in SocketCall::ALL {
        add(
            format!("failed_calls.{}", call.name()),
            runtime.connections.failed_calls().count(call),
        );
    }
    for action in RestrictedAction::ALL {
        add(
            format!("violations.{}", action.name()),
            metrics.violations.count(action),
        );
    }
    add("failed_calls.journal".into(), runtime.journal_failures());
    let adoption = runtime.adoption_counters();
    add("journals.adopted".into(), adoption.adopted);
    add("journals.failed_adoptions".into(), adoption.failed_attempts);
    add(
        "journals.longest_unowned_ms".into(),
        adoption.longest_unowned.div_ceil(NANOS_PER_MS),
    );
    add("attempts_not_started".into(), metrics.attempts_not_started);
    add(
        "notifications_acknowledged".into(),
        metrics.notifications_acknowledged,
    );
    counters
}

/// Renders the reply; `EOT` is its last line.
pub(super) fn show_diagnostics(runtime: &Runtime) -> String {
    let lines: String = diagnostic_counters(runtime)
        .iter()
        .map(|counter| format!("dispatcher.{}={}\n", counter.name, counter.value))
        .collect();
    format!("SUCCESS\n{lines}EOT\n")
}
