//! A report: one HTML file that needs nothing else, with what the runs say as tables and plots.

pub mod plot;

use crate::compare;
use crate::measure::{BUCKET, Point, Spread};
use crate::run::{RunLine, Usage};
use crate::world::time::START;
use anyhow::Result;
use plot::{Chart, Line, Span};

/// More dispatchers than these are drawn as the least, the middle and the most of all.
const EACH_DRAWN: usize = 8;
/// Points of the curves that are taken together.
const SMOOTH: usize = 2;

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

fn time(point: usize) -> f64 {
    point as f64 * BUCKET as f64 / 1e9
}

/// A curve over time from the points of a run, some points at a time.
fn curve(points: &[Point], of: impl Fn(&[Point]) -> f64) -> Vec<(f64, f64)> {
    points
        .chunks(SMOOTH)
        .enumerate()
        .map(|(i, c)| (time(i * SMOOTH), of(c)))
        .collect()
}

fn a_second(of: impl Fn(&Point) -> u64) -> impl Fn(&[Point]) -> f64 {
    move |points| {
        points.iter().map(&of).sum::<u64>() as f64 * 1e9 / (points.len() as f64 * BUCKET as f64)
    }
}

/// The mean of the curves of several seeds, as long as any goes on.
fn mean(curves: &[Vec<(f64, f64)>]) -> Vec<(f64, f64)> {
    let longest = curves.iter().max_by_key(|c| c.len());
    let Some(longest) = longest else {
        return vec![];
    };
    (0..longest.len())
        .map(|i| {
            let at: Vec<f64> = curves
                .iter()
                .filter_map(|c| c.get(i))
                .map(|p| p.1)
                .filter(|y| y.is_finite())
                .collect();
            (longest[i].0, at.iter().sum::<f64>() / at.len() as f64)
        })
        .collect()
}

/// Each name once, in the order in which they come.
fn distinct<'a>(all: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut names = vec![];
    all.for_each(|name| {
        if !names.contains(&name) {
            names.push(name)
        }
    });
    names
}

/// For each variant the mean over its seeds, and each seed thinly.
fn over_time(runs: &[&RunLine], of: impl Fn(&RunLine) -> Vec<(f64, f64)>) -> Vec<Line> {
    let names = distinct(runs.iter().map(|r| r.variant.as_str()));
    let mut lines = vec![];
    for (colour, name) in names.iter().enumerate() {
        let curves: Vec<_> = runs
            .iter()
            .filter(|r| r.variant == *name)
            .map(|r| of(r))
            .collect();
        let (thin, name) = (true, name.to_string());
        if curves.len() > 1 {
            let one = |points: &Vec<_>| Line {
                name: String::new(),
                colour,
                thin,
                points: points.clone(),
            };
            lines.extend(curves.iter().map(one));
        }
        lines.push(Line {
            name,
            colour,
            thin: false,
            points: mean(&curves),
        });
    }
    lines
}

fn latency(spread: &Spread) -> Vec<(f64, f64)> {
    if spread.count == 0 {
        return vec![];
    }
    // Nines: 0 is the median's half, 1 is 0.9, 2 is 0.99.
    let most = (spread.count as f64).log10().min(5.0);
    (0..=60)
        .map(|i| most * f64::from(i) / 60.0)
        .map(|n| (n, spread.quantile_ms(1.0 - 10f64.powf(-n))))
        .collect()
}

fn nines(n: f64) -> String {
    let share = 100.0 * (1.0 - 10f64.powf(-n));
    let text = format!("{share:.*}", (n.floor() as usize).max(1));
    format!("{}%", text.trim_end_matches('0').trim_end_matches('.'))
}

/// A figure of each dispatcher over time: each drawn, or the least, the middle and the most where there are many.
fn by_dispatcher(usage: &[Usage], of: impl Fn(&(f64, f64, f64, u64)) -> f64) -> Vec<Line> {
    let line = |u: &Usage| u.samples.iter().map(|s| (s.0, of(s))).collect::<Vec<_>>();
    if usage.len() <= EACH_DRAWN {
        let one = |(i, u): (usize, &Usage)| Line {
            name: format!("dispatcher {}", u.dispatcher),
            colour: i,
            thin: false,
            points: line(u),
        };
        return usage.iter().enumerate().map(one).collect();
    }
    let curves: Vec<_> = usage.iter().map(line).collect();
    let longest = curves.iter().map(Vec::len).max().unwrap_or(0);
    let mut lines: Vec<Line> = ["least", "middle", "most"]
        .iter()
        .enumerate()
        .map(|(colour, name)| Line {
            name: name.to_string(),
            colour,
            thin: false,
            points: vec![],
        })
        .collect();
    for i in 0..longest {
        let mut at: Vec<(f64, f64)> = curves.iter().filter_map(|c| c.get(i).copied()).collect();
        at.sort_by(|a, b| a.1.total_cmp(&b.1));
        for (line, pick) in lines.iter_mut().zip([0, at.len() / 2, at.len() - 1]) {
            line.points.push((at[0].0, at[pick].1));
        }
    }
    lines
}

fn table(head: &[&str], rows: &[Vec<String>]) -> String {
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

const STYLE: &str = "body{font:15px/1.5 sans-serif;max-width:900px;margin:24px auto;padding:0 16px;color:#222;background:#fff}\
table{border-collapse:collapse;margin:12px 0;font-size:13px}td,th{border:1px solid #ccc;padding:3px 8px;text-align:right}\
td:first-child,th:first-child{text-align:left}h1{font-size:24px}h2{font-size:19px;margin-top:36px}svg{max-width:100%;height:auto}\
.bad{background:#fbe3e0;padding:8px 12px;border-left:4px solid #b22}.good{color:#2a6b2a}.note{color:#555;font-size:13px}";

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

/// All that the runs of one experiment say.
fn section(runs: &[RunLine]) -> Result<String> {
    let valid: Vec<&RunLine> = runs.iter().filter(|r| r.valid()).collect();
    let Some(first) = runs.first() else {
        return Ok(String::new());
    };
    let mut text = format!("<h1>{}</h1>", escape(&first.title));
    text += &format!(
        "<p class=\"note\">{}: {} dispatchers, {} endpoints, {} mails a second for {} s; {}. Shaded: troubles. Where an \
         experiment has several seeds, each is a thin line and their mean a thick one.</p>",
        escape(&first.experiment),
        first.dispatchers,
        first.endpoints,
        first.rate,
        first.load_s,
        match first.drive {
            crate::spec::Drive::Virtual => "the decisions in virtual time, simulated",
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
        text += &format!("<p>Troubles: {}.</p>", escape(&marks.join("; ")));
    }
    for run in runs.iter().filter(|r| !r.valid()) {
        let whose = format!(
            "{}, seed {}: {}",
            run.variant,
            run.seed,
            run.not_valid.join("; ")
        );
        text += &format!(
            "<p class=\"bad\">Not valid, and left out below: {}</p>",
            escape(&whose)
        );
    }
    text += &verdicts(runs);
    if valid.is_empty() {
        return Ok(text);
    }
    text += &figures(&valid);
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
            "<p class=\"good\">The six rules were kept, over {messages} mails handed in and {calls} calls.</p>"
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
        for words in run.verdict.samples.iter().take(20) {
            text += &format!("<li>{}</li>", escape(&words.to_string()));
        }
        text += "</ul></div>";
    }
    text
}

fn figures(runs: &[&RunLine]) -> String {
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
        "mails",
        "calls",
        "refused",
        "opened",
        "turned away",
        "CPU us a mail",
    ];
    let rows: Vec<Vec<String>> = runs.iter().map(row).collect();
    let mut text = format!("<h2>Figures</h2>{}", table(&head, &rows));
    let mut rows = vec![];
    for run in runs {
        for c in &run.results.classes {
            let l = &c.latency;
            let ms = |us: u64| format!("{:.1}", us as f64 / 1e3);
            let whose = format!("{}, seed {}: {}", run.variant, run.seed, c.name);
            let counts = [c.late, c.bounced, c.deferred].map(|n| n.to_string());
            let mut row = vec![whose, format!("{:.4}", c.share())];
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

/// Where one field varies over numbers: some figures against it.
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
    for (what, figure, _) in compare::FIGURES {
        let at = |v: f64| {
            let of: Vec<f64> = runs
                .iter()
                .filter(|r| value(r) == Some(v))
                .map(|r| figure(r))
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
            title: what,
            x: field,
            y: "",
            lines,
            spans: &[],
            levels: vec![],
            y_log: false,
            y_top: 0.0,
            x_to: 0.0,
            x_words: None,
        };
        text += &chart.svg()?;
    }
    Ok(text)
}

fn charts<'a>(runs: &[&RunLine], spans: &'a [Span]) -> Vec<Chart<'a>> {
    let x_to = runs
        .iter()
        .map(|r| time(r.results.points.len()))
        .fold(0.0, f64::max);
    let chart = |title, y, lines: Vec<Line>, y_top| Chart {
        title,
        x: "seconds",
        y,
        lines,
        spans,
        levels: vec![],
        y_log: false,
        y_top,
        x_to,
        x_words: None,
    };
    let share = |p: &[Point]| {
        let (asked, got) = p
            .iter()
            .fold((0.0, 0.0), |s, p| (s.0 + p.asked, s.1 + p.delivered));
        got / asked
    };
    let mut charts = vec![
        chart(
            "Delivered importance of what was asked for, by the moment of asking",
            "share",
            over_time(runs, |r| curve(&r.results.points, share)),
            1.0,
        ),
        chart(
            "Calls",
            "a second",
            over_time(runs, |r| curve(&r.results.points, a_second(|p| p.calls))),
            1.0,
        ),
        chart(
            "Refused calls",
            "a second",
            over_time(runs, |r| curve(&r.results.points, a_second(|p| p.refused))),
            1.0,
        ),
        chart(
            "Calls broken off, errors and answers that cannot be read",
            "a second",
            over_time(runs, |r| {
                curve(&r.results.points, a_second(|p| p.unanswered + p.errors))
            }),
            1.0,
        ),
        chart(
            "Mails turned away, deferred and bounced",
            "a second",
            over_time(runs, |r| {
                curve(
                    &r.results.points,
                    a_second(|p| p.turned_away + p.deferred + p.bounced),
                )
            }),
            1.0,
        ),
        chart(
            "Connections opened",
            "a second",
            over_time(runs, |r| curve(&r.results.points, a_second(|p| p.opened))),
            1.0,
        ),
    ];
    if runs.iter().any(|r| !r.returns.is_empty()) {
        let load = |r: &RunLine| {
            r.returns
                .iter()
                .map(|l| ((l.at - START) as f64 / 1e9, l.calls / l.capacity))
                .collect::<Vec<_>>()
        };
        charts.push(Chart {
            levels: vec![(1.0, "all that they can do")],
            ..chart(
                "Load on all endpoints that have returned cold, against what they can do at the moment",
                "calls / capacity",
                over_time(runs, load),
                1.0,
            )
        });
    }
    if runs.iter().any(|r| !r.cost.open.is_empty()) {
        let open = |r: &RunLine| {
            r.cost
                .open
                .iter()
                .map(|o| (o.0, o.1 as f64))
                .collect::<Vec<_>>()
        };
        charts.push(chart("Mails held", "mails", over_time(runs, open), 1.0));
    }
    let mut lines = vec![];
    let first = runs[0];
    for (colour, class) in first.results.classes.iter().enumerate() {
        for (i, run) in runs
            .iter()
            .filter(|r| r.variant == first.variant)
            .enumerate()
        {
            let found = run.results.classes.iter().find(|c| c.name == class.name);
            let name = if i == 0 {
                class.name.clone()
            } else {
                String::new()
            };
            let points = found.map_or(vec![], |c| latency(&c.latency));
            lines.push(Line {
                name,
                colour,
                thin: i > 0,
                points,
            });
        }
    }
    if first.results.submission_latency.max_us > 1 {
        let points = latency(&first.results.submission_latency);
        lines.push(Line {
            name: "answer to the hand-in".into(),
            colour: 7,
            thin: false,
            points,
        });
    }
    charts.push(Chart {
        x: "share of the mails under it",
        x_to: 0.0,
        y_log: true,
        spans: &[],
        x_words: Some(nines),
        ..chart(
            "Latency by queue class, from the intended hand-in (first variant)",
            "ms",
            lines,
            1.0,
        )
    });
    if !first.cost.usage.is_empty() {
        let usage = &first.cost.usage;
        charts.push(chart(
            "Processor time of each dispatcher",
            "cores",
            by_dispatcher(usage, |s| s.1),
            0.05,
        ));
        charts.push(chart(
            "Memory of each dispatcher",
            "MB",
            by_dispatcher(usage, |s| s.2),
            1.0,
        ));
    }
    charts
}
