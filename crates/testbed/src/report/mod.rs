//! Renders runs as a report: a self-contained HTML file with tables and charts.

mod charts;
mod curves;
pub mod plot;
mod tables;

use crate::compare;
use crate::run::RunLine;
use anyhow::Result;
use charts::charts;
use curves::distinct;
use plot::{Chart, Line, Span};
use tables::{escape, result_tables};

const STYLE: &str = "body{font:15px/1.5 sans-serif;max-width:900px;margin:24px auto;padding:0 16px;color:#222;background:#fff}\
table{border-collapse:collapse;margin:12px 0;font-size:13px}td,th{border:1px solid #ccc;padding:3px 8px;text-align:right}\
td:first-child,th:first-child{text-align:left}h1{font-size:24px}h2{font-size:19px;margin-top:36px}svg{max-width:100%;height:auto}\
.bad{background:#fbe3e0;padding:8px 12px;border-left:4px solid #b22}.good{color:#2a6b2a}.note{color:#555;font-size:13px}";

/// The report of the given runs, with a section for each experiment.
pub fn html(runs: &[RunLine]) -> Result<String> {
    let names = distinct(runs.iter().map(|r| r.experiment.as_str()));
    let mut body = String::new();
    for name in &names {
        let of: Vec<RunLine> = runs
            .iter()
            .filter(|r| r.experiment == *name)
            .cloned()
            .collect();
        body += &section(&of)?;
    }
    let title = names.join(", ");
    Ok(format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{}</title><style>{STYLE}</style></head>\
         <body>{body}</body></html>\n",
        escape(&title)
    ))
}

/// The section of one experiment.
fn section(runs: &[RunLine]) -> Result<String> {
    let valid: Vec<&RunLine> = runs.iter().filter(|r| r.valid()).collect();
    let Some(first) = runs.first() else {
        return Ok(String::new());
    };
    let mut text = format!("<h1>{}</h1>", escape(&first.title));
    text += &format!(
        "<p class=\"note\">{}: {} dispatchers, {} endpoints, {} messages per second for {} s; {}. Shaded: injected faults. If an \
         experiment has several seeds, thin lines show the seeds and thick lines their mean.</p>",
        escape(&first.experiment),
        first.dispatchers,
        first.endpoints,
        first.rate,
        first.load_s,
        match first.drive {
            crate::spec::Drive::Virtual => "decision logic simulated in virtual time",
            crate::spec::Drive::Sockets => "real processes on loopback sockets",
        }
    );
    let marks: Vec<String> = first
        .injected_faults
        .iter()
        .map(|m| {
            format!(
                "{:?} on {} from {} to {} s",
                m.what, m.whom, m.from_s, m.to_s
            )
        })
        .collect();
    if !marks.is_empty() {
        text += &format!("<p>Injected faults: {}.</p>", escape(&marks.join("; ")));
    }
    for run in runs.iter().filter(|r| !r.valid()) {
        let reason = format!(
            "{}, seed {}: {}",
            run.variant,
            run.seed,
            run.not_valid.join("; ")
        );
        text += &format!(
            "<p class=\"bad\">Not valid, and excluded below: {}</p>",
            escape(&reason)
        );
    }
    text += &verdicts(runs);
    if valid.is_empty() {
        return Ok(text);
    }
    text += &result_tables(&valid);
    let compared = compare::table(runs);
    if !compared.is_empty() {
        text += &format!(
            "<h2>Variants, paired by seed</h2><pre>{}</pre>",
            escape(&compared)
        );
    }
    text += &sweeps(&valid)?;
    let spans: Vec<Span> = first
        .injected_faults
        .iter()
        .map(|m| Span {
            name: format!("{:?}", m.what),
            from: m.from_s,
            to: m.to_s,
        })
        .collect();
    for chart in charts(&valid, &spans) {
        text += &chart.svg()?;
    }
    Ok(text)
}

fn verdicts(runs: &[RunLine]) -> String {
    let broken: Vec<&RunLine> = runs.iter().filter(|r| !r.verdict.passed()).collect();
    if broken.is_empty() {
        let (messages, calls) = runs.iter().fold((0, 0), |s, r| {
            (s.0 + r.verdict.messages, s.1 + r.verdict.calls)
        });
        return format!(
            "<p class=\"good\">The six rules were kept, over {messages} submitted messages and {calls} calls.</p>"
        );
    }
    let mut text = String::new();
    for run in broken {
        let counts: Vec<String> = run
            .verdict
            .violations
            .iter()
            .map(|(rule, n)| format!("{rule:?} {n} times"))
            .collect();
        text += &format!(
            "<div class=\"bad\">Rules broken by {}, seed {}: {}<ul>",
            escape(&run.variant),
            run.seed,
            escape(&counts.join(", "))
        );
        for violation in run.verdict.samples.iter().take(20) {
            text += &format!("<li>{}</li>", escape(&violation.to_string()));
        }
        text += "</ul></div>";
    }
    text
}

/// If a numeric field varies over at least three values: charts of the metrics over it.
fn sweeps(runs: &[&RunLine]) -> Result<String> {
    let value = |r: &RunLine| {
        r.variant
            .split_once(" = ")
            .and_then(|(_, v)| v.parse::<f64>().ok())
    };
    let mut values: Vec<f64> = runs.iter().filter_map(|r| value(r)).collect();
    values.sort_by(f64::total_cmp);
    values.dedup();
    if values.len() < 3 || runs.iter().any(|r| value(r).is_none()) {
        return Ok(String::new());
    }
    let field = runs[0].variant.split(" = ").next().unwrap_or("");
    let mut text = format!("<h2>Over {}</h2>", escape(field));
    for (name, metric, _) in compare::FIGURES {
        let at = |v: f64| {
            let of: Vec<f64> = runs
                .iter()
                .filter(|r| value(r) == Some(v))
                .map(|r| metric(r))
                .collect();
            (v, of.iter().sum::<f64>() / of.len() as f64)
        };
        let points: Vec<(f64, f64)> = values.iter().map(|v| at(*v)).collect();
        if points.iter().all(|p| p.1 == 0.0) {
            continue;
        }
        let lines = vec![Line {
            name: String::new(),
            colour: 0,
            thin: false,
            points,
        }];
        let chart = Chart {
            title: name,
            x: field,
            y: "",
            lines,
            spans: &[],
            levels: vec![],
            y_log: false,
            y_top: 0.0,
            x_to: 0.0,
            x_formatter: None,
        };
        text += &chart.svg()?;
    }
    Ok(text)
}
