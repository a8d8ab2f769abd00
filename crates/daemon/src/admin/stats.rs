//! The text of `show-stat`.

use crate::delivery::Delivery;
use crate::metrics::Metrics;
use crate::scope::ScopeFile;
use bellsill_discovery_client::{Counters, ScopedList};

/// What is shown beside the counters.
pub struct Gauges {
    /// Pending messages.
    pub pending: usize,
    /// Endpoints that take messages by their list.
    pub members: usize,
    /// Endpoints that the decisions send nothing to for now.
    pub unavailable: usize,
}

/// The answer to `show-stat` without the scoped configuration, `EOT` its last line.
pub fn render(metrics: &Metrics, classes: &[String], gauges: &Gauges) -> String {
    let mut text = String::from("SUCCESS\n");
    for (c, name) in classes.iter().enumerate() {
        let ends = metrics.ends(c);
        for (word, count) in [
            ("completed", ends.completed),
            ("rejected", ends.rejected),
            ("failed", ends.failed),
        ] {
            text.push_str(&format!(
                "dispatcher.downstream_requests.{name}.{word}={count}\n"
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

/// The answer to `show-stat`.
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

/// The lines on the scoped configuration.
fn scope_lines(list: &ScopedList, calls: Counters, file: &ScopeFile) -> String {
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
        ("watches", calls.calls),
        ("broken_watches", calls.broken),
        ("refused_watches", calls.rejected),
        ("lookups", calls.lookups),
        ("failed_lookups", calls.failed_lookups),
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
