//! What is counted, and the text of `show-stat`.

use crate::scope::ScopeFile;
use bellsill_discovery_client::{Counters, ScopedList};
use std::fmt::Write;

/// What has happened since the process began, counted where it happens.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// For each class: relayed, turned back (deferred or told `-BUSY`), bounced.
    pub resolutions: Vec<[u64; 3]>,
    /// Attempts whose call was written.
    pub attempts: u64,
    pub reloads: u64,
    pub reload_errors: u64,
}

pub const COMPLETED: usize = 0;

pub const REJECTED: usize = 1;

pub const FAILED: usize = 2;

impl Metrics {
    pub fn count(&mut self, class: usize, end: usize) {
        if self.resolutions.len() <= class {
            self.resolutions.resize(class + 1, [0; 3]);
        }
        self.resolutions[class][end] += 1;
    }
}

/// What `show-stat` says beside the counts.
pub struct Gauges {
    pub pending: usize,
    pub members: usize,
    pub unavailable: usize,
}

/// The answer to `show-stat`, `EOT` its last line.
pub fn render(metrics: &Metrics, classes: &[String], gauges: &Gauges) -> String {
    let mut text = String::from("SUCCESS\n");
    for (c, name) in classes.iter().enumerate() {
        let resolutions = metrics.resolutions.get(c).copied().unwrap_or_default();
        for (end, word) in [
            (COMPLETED, "completed"),
            (REJECTED, "rejected"),
            (FAILED, "failed"),
        ] {
            let _ = writeln!(
                text,
                "dispatcher.downstream_requests.{name}.{word}={}",
                resolutions[end]
            );
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
        let _ = writeln!(text, "dispatcher.{name}={value}");
    }
    text.push_str("EOT\n");
    text
}

/// The lines of `show-stat` on the scoped configuration.
pub fn scope_lines(list: &ScopedList, calls: Counters, file: &ScopeFile) -> String {
    let (counters, unsaved) = (list.counters(), file.lacks(list));
    let file = file.counters;
    let lines = [
        ("version", list.version().0),
        ("destinations", list.len() as u64),
        ("complete_buckets", list.complete_buckets().count() as u64),
        ("filling_buckets", list.filling_buckets().count() as u64),
        ("cached", list.cached() as u64),
        ("evicted", counters.evicted_destinations),
        ("applied_entries", counters.applied_entries),
        ("stale_entries", counters.stale_entries),
        ("duplicate_entries", counters.duplicate_entries),
        ("refused_lines", counters.refused_lines),
        ("watches", calls.calls),
        ("broken_watches", calls.broken),
        ("refused_watches", calls.refused),
        ("lookups", calls.lookups),
        ("failed_lookups", calls.failed_lookups),
        ("unsaved", u64::from(unsaved)),
        ("refused_files", file.refused),
        ("saved_files", file.saved),
        ("failed_saves", file.failed),
    ];
    lines
        .iter()
        .map(|(name, value)| format!("dispatcher.scope.{name}={value}\n"))
        .collect()
}
