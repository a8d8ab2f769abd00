//! The tables of a report.

use crate::compare;
use crate::run::RunLine;

pub(super) fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

pub(super) fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let cells = |tag: &str, row: &[String]| -> String {
        row.iter()
            .map(|c| format!("<{tag}>{}</{tag}>", escape(c)))
            .collect::<String>()
    };
    let head: Vec<String> = head.iter().map(|h| h.to_string()).collect();
    let body: String = rows
        .iter()
        .map(|row| format!("<tr>{}</tr>", cells("td", row)))
        .collect();
    format!("<table><tr>{}</tr>{body}</table>", cells("th", &head))
}

pub(super) fn result_tables(runs: &[&RunLine]) -> String {
    let row = |r: &&RunLine| {
        let d = &r.results;
        vec![
            format!("{}, seed {}", r.variant, r.seed),
            format!("{:.4}", d.share),
            format!("{:.3}", d.worst_span),
            format!("{:.3}", d.worst_class),
            d.arrivals.to_string(),
            d.calls.to_string(),
            d.refused.to_string(),
            d.opened.to_string(),
            d.turned_away.to_string(),
            if r.cost.usage.is_empty() {
                "-".into()
            } else {
                format!("{:.0}", compare::cpu_us(r))
            },
        ]
    };
    let head = [
        "run",
        "importance delivered",
        "worst 10 s",
        "worst class",
        "messages",
        "calls",
        "rejected",
        "connections opened",
        "submissions rejected",
        "CPU us per message",
    ];
    let rows: Vec<Vec<String>> = runs.iter().map(row).collect();
    let mut text = format!("<h2>Results</h2>{}", table(&head, &rows));
    let mut rows = vec![];
    for run in runs {
        for c in &run.results.classes {
            let l = &c.latency;
            let ms = |us: u64| format!("{:.1}", us as f64 / 1e3);
            let label = format!("{}, seed {}: {}", run.variant, run.seed, c.name);
            let counts = [c.late, c.bounced, c.deferred].map(|n| n.to_string());
            let mut row = vec![label, format!("{:.4}", c.share())];
            row.extend([l.p50_us, l.p90_us, l.p99_us, l.p999_us, l.max_us].map(ms));
            row.extend(counts);
            rows.push(row);
        }
    }
    let head = [
        "class",
        "delivered",
        "p50 ms",
        "p90",
        "p99",
        "p99.9",
        "max",
        "late",
        "bounced",
        "deferred",
    ];
    text += &table(&head, &rows);
    text
}
