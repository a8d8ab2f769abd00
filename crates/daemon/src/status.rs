//! The periodic status line in the log.

use crate::admin::diagnostic_counters;
use crate::clock::NANOS_PER_MS;
use crate::delivery::Runtime;

/// The CPU time of this process in nanoseconds; 0 if `/proc/self/schedstat` cannot be read.
fn cpu_time() -> u64 {
    let text = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    text.split(' ')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

/// Logs the numbers of pending messages, notifications and connections, the CPU time used, and the diagnostic counters
/// that are not zero.
pub(crate) fn log_status(runtime: &Runtime) {
    log::info!(
        "status: {} messages pending, {} in flight, {} notifications pending, {} connections, {} ms of CPU time",
        runtime.messages().len(),
        runtime.messages().in_flight(),
        runtime.pending_notifications(),
        runtime.connections.len(),
        cpu_time() / NANOS_PER_MS
    );
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    let counters: Vec<String> = diagnostic_counters(runtime)
        .iter()
        .filter(|counter| counter.value > 0)
        .map(|counter| format!("{}={}", counter.name, counter.value))
        .collect();
    log::debug!("diagnostics: {}", counters.join(" "));
}
