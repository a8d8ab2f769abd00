//! The reply to `show-stat`.

use crate::delivery::Delivery;
use crate::metrics::Metrics;
use crate::scope::ScopeFile;
use bellsill_discovery_client::{Counters, ScopedList};

/// Values reported besides the counters.
pub struct Gauges {
    /// Number of pending messages.
    pub pending: usize,
    /// Number of endpoints that accept messages according to the configuration.
    pub members: usize,
    /// Number of endpoints that currently receive no messages, such as disabled ones.
    pub unavailable: usize,
}

/// Renders the reply to `show-stat` without the scoped configuration; `EOT` is its last line.
pub fn render(metrics: &Metrics, classes: &[String], gauges: &Gauges) -> String {
    let mut text = String::from("SUCCESS\n");
    for (c, name) in classes.iter().enumerate() {
        let counters = metrics.class_counters(c);
        for (end, count) in [
            ("completed", counters.completed),
            ("rejected", counters.rejected),
            ("failed", counters.failed),
        ] {
            text.push_str(&format!(
                "dispatcher.downstream_requests.{name}.{end}={count}\n"
            ));
        }
    }
    let lines = [
        ("upstream_requests", metrics.attempts as usize),
        ("pending", gauges.pending),
        ("members", gauges.members),
        ("members_unavailable", gauges.unavailable),
        ("config_reloads", metrics.reloads as usize),
        ("config_reload_errors", metrics.reload_errors as usize),
    ];
    for (name, value) in lines {
        text.push_str(&format!("dispatcher.{name}={value}\n"));
    }
    text.push_str("EOT\n");
    text
}

/// Renders the complete reply to `show-stat`.
pub(super) fn show_stat(delivery: &Delivery, scope_file: Option<&ScopeFile>) -> String {
    let runtime = &delivery.runtime;
    let gauges = Gauges {
        pending: runtime.messages().len(),
        members: runtime.endpoints().serving(),
        unavailable: delivery.unavailable_endpoints(),
    };
    let text = render(&runtime.metrics, delivery.class_names(), &gauges);
    let (Some(list), Some(file)) = (delivery.discovery().scoped_list(), scope_file) else {
        return text;
    };
    let lines = scope_lines(list, delivery.discovery().counters(), file);
    text.replace("EOT\n", &format!("{lines}EOT\n"))
}

/// Renders the metrics of the scoped configuration.
fn scope_lines(list: &ScopedList, discovery: Counters, file: &ScopeFile) -> String {
    let (counters, unsaved) = (list.counters(), file.has_unsaved_changes(list));
    let file = file.counters;
    let lines = [
        ("version", list.version().0),
        ("destinations", list.len() as u64),
        ("complete_buckets", list.complete_buckets().count() as u64),
        ("filling_buckets", list.filling_buckets().count() as u64),
        ("cached", list.cached_destinations() as u64),
        ("evicted", counters.evicted_destinations),
        ("applied_entries", counters.applied_entries),
        ("stale_entries", counters.stale_entries),
        ("duplicate_entries", counters.duplicate_entries),
        ("refused_lines", counters.rejected_lines),
        ("watches", discovery.calls),
        ("broken_watches", discovery.broken),
        ("refused_watches", discovery.rejected),
        ("lookups", discovery.lookups),
        ("failed_lookups", discovery.failed_lookups),
        ("unsaved", u64::from(unsaved)),
        ("refused_files", file.rejected),
        ("saved_files", file.saved),
        ("failed_saves", file.failed),
    ];
    lines
        .iter()
        .map(|(name, value)| format!("dispatcher.scope.{name}={value}\n"))
        .collect()
}
