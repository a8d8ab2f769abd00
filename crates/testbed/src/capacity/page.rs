//! The page `docs/CAPACITY.md`: what was measured and what it comes to at the full size, as Markdown.

use super::fit::Fit;
use super::model::failures::{Failure, consequence};
use super::model::full_size::{Budgets, FullSize};
use super::model::ranking::{Ranked, Ranking, rank};
use super::model::rows::{Mechanism, Role, Row, Unit, all};
use super::model::{Design, Inputs, Slopes};
use super::report::{Capacity, Conditions, Finding, MissingSeries, SeriesId, count, figure};

/// The heading of the page's last section, which is written by hand after other runs.
pub const SCOPED_RUNS: &str = "## Scoped configuration at the full size";

/// Writes a Markdown table.
fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let line = |cells: Vec<String>| format!("| {} |\n", cells.join(" | "));
    let mut text = line(head.iter().map(|cell| cell.to_string()).collect());
    text += &line(vec!["---".into(); head.len()]);
    text.extend(rows.iter().map(|row| line(row.clone())));
    text
}

/// A value with its unit.
fn value(unit: Unit, value: f64) -> String {
    match unit {
        Unit::Count => count(value),
        Unit::PerSecond => format!("{} a second", figure(value)),
        Unit::Bytes => bytes(value),
        Unit::BytesPerSecond => format!("{}/s", bytes(value)),
        Unit::Cores => format!("{} cores", figure(value)),
        Unit::Seconds => format!("{} s", figure(value)),
        Unit::Share => format!("{} %", figure(100.0 * value)),
    }
}

fn bytes(value: f64) -> String {
    const STEPS: [(f64, &str); 4] = [(1e12, "TB"), (1e9, "GB"), (1e6, "MB"), (1e3, "KB")];
    let step = STEPS.iter().find(|(least, _)| value >= *least);
    step.map_or(format!("{} B", figure(value)), |(least, name)| {
        format!("{} {name}", figure(value / least))
    })
}

fn slope(fit: &Fit) -> String {
    format!("{} ± {}", figure(fit.slope), figure(fit.slope_error))
}

fn mechanism(mechanism: Mechanism) -> String {
    match mechanism {
        Mechanism::InPlace { name, file } => format!("{name}: {file}"),
        Mechanism::NoneYet { wanted } => format!("**none yet**; {wanted}"),
    }
}

fn row_cells(row: &Row, slopes: Slopes) -> Vec<String> {
    let (size, budgets) = (FullSize::DESIGN, Budgets::DESIGN);
    let budget = row.budget.map(|budget| budget(&budgets, &size));
    let need = |design: Design| {
        let need = (row.value)(&Inputs::design(slopes, design));
        let times = budget.map(|budget| need / budget);
        let times = times.map_or(String::new(), |times| format!(" ({} ×)", figure(times)));
        format!("{}{times}", value(row.unit, need))
    };
    let mut cells = vec![
        row.kind.title().to_string(),
        row.what.to_string(),
        row.formula.to_string(),
        row.slope.map_or("–".into(), |line| slope(&line(&slopes))),
    ];
    cells.extend(Design::ALL.map(need));
    cells.push(budget.map_or("none given".into(), |budget| value(row.unit, budget)));
    cells.push(mechanism(row.mechanism));
    cells.push(row.source.title().to_string());
    cells
}

fn role_table(role: Role, slopes: Slopes) -> String {
    let rows: Vec<Vec<String>> = all()
        .iter()
        .filter(|row| row.role == role)
        .map(|row| row_cells(row, slopes))
        .collect();
    let [unscoped, scoped, routed] = Design::ALL.map(Design::title);
    let head = [
        "what",
        "of what",
        "formula",
        "measured slope",
        unscoped,
        scoped,
        routed,
        "budget",
        "mechanism and file",
        "the value is",
    ];
    format!(
        "### {}\n\n{}{}\n",
        role.title(),
        table(&head, &rows),
        note(role)
    )
}

/// What a role's table does not have.
fn note(role: Role) -> &'static str {
    match role {
        Role::ControlMachine => {
            "\nIts processor time and memory are measured with the fleet of hollow dispatchers, at the end of this page. Unscoped, the platform's\ndiscovery tells the list, and there is no such process.\n"
        }
        Role::Backlog => {
            "\nNo budget is given for memory and disk of messages. Spread evenly; a destination's backlog may be far from even.\n"
        }
        _ => "",
    }
}

fn assumptions() -> String {
    let (size, budgets) = (FullSize::DESIGN, Budgets::DESIGN);
    let row = |sign: &str, what: &str, value: String, from: &str| {
        vec![sign.to_string(), what.to_string(), value, from.to_string()]
    };
    let given = "given";
    let rows = vec![
        row("D", "dispatchers", count(size.dispatchers), given),
        row(
            "E",
            "messages a second",
            count(size.messages_per_second),
            given,
        ),
        row("N", "destinations", count(size.destinations), given),
        row(
            "u",
            "part of them that is down",
            value(Unit::Share, size.down_share),
            given,
        ),
        row("B", "messages that wait", count(size.backlog), given),
        row(
            "C",
            "changes a second",
            format!(
                "{} ({} a day)",
                figure(size.changes_per_second()),
                count(size.changes_per_day)
            ),
            given,
        ),
        row(
            "",
            "regions, zones",
            format!("{}, {}", size.regions, size.zones),
            given,
        ),
        row("", "control machines", count(size.control_machines), given),
        row(
            "",
            "dispatchers that hold a destination",
            count(size.replicas),
            "design",
        ),
        row(
            "",
            "dispatchers of a rack",
            count(size.dispatchers_per_rack),
            "assumed",
        ),
        row(
            "",
            "bytes of asking for a destination, with the answer",
            bytes(size.look_up_bytes),
            "assumed",
        ),
        row(
            "",
            "destinations in a dispatcher's cache",
            count(size.cached_destinations),
            "docs/configuration.md",
        ),
        row(
            "",
            "an idle connection is kept for",
            format!("{} s", count(size.keep_alive_seconds)),
            "assumed",
        ),
        row(
            "",
            "budget: processor for control",
            value(Unit::Cores, budgets.control_cores),
            given,
        ),
        row(
            "",
            "budget: memory for control",
            bytes(budgets.control_memory),
            given,
        ),
        row(
            "",
            "budget: wire for control",
            value(Unit::BytesPerSecond, budgets.control_bytes_per_second),
            given,
        ),
        row(
            "",
            "budget: a change is in force within",
            value(Unit::Seconds, budgets.change_seconds),
            given,
        ),
        row(
            "",
            "budget: processor for messages",
            value(Unit::Cores, budgets.message_cores),
            "assumed: the daemon is one thread",
        ),
        row(
            "",
            "budget: the longest line",
            bytes(budgets.line_bytes),
            "crates/discovery-client/src/watch.rs",
        ),
        row(
            "",
            "budget: wire of a control machine",
            value(
                Unit::BytesPerSecond,
                budgets.control_machine_bytes_per_second(&size),
            ),
            "worked out: what its dispatchers may take",
        ),
    ];
    table(&["sign", "what", "value", "from"], &rows)
}

fn finding(finding: &Finding) -> String {
    match finding {
        Finding::WholeLine {
            sent,
            bytes: length,
            known_after,
        } => format!(
            "- A whole list of {} destinations, sent as one line of {} over the watch: the dispatcher knew {} \
             destinations then.\n",
            count(f64::from(*sent)),
            bytes(*length as f64),
            count(*known_after as f64),
        ),
        Finding::LargeStart {
            known,
            memory_bytes,
            memory_fitted,
            peak_bytes,
            start_us,
            start_fitted,
        } => {
            format!(
                "- A start with {} destinations known: {} after it, {} at most, first answer after {} s. The lines \
             fitted to the smaller sizes say {} and {} s.\n",
                count(f64::from(*known)),
                bytes(*memory_bytes),
                bytes(*peak_bytes),
                figure(start_us / 1e6),
                bytes(*memory_fitted),
                figure(start_fitted / 1e6),
            )
        }
        Finding::WastedOfDown { dispatchers, share } => format!(
            "- With {} dispatchers, of the messages for destinations that were down {} % had an attempt wasted on \
             them.\n",
            count(f64::from(*dispatchers)),
            figure(100.0 * share),
        ),
    }
}

fn conditions(of: &Conditions) -> String {
    format!(
        "{} cores and {} of memory, with other work on the machine at the time (load average {} before and {} after\n\
         the run), {} s of wall time, {} at most for the laboratory's own process.\nMessages with a body of {} bytes, {} a second at one dispatcher.",
        of.cores,
        bytes(of.machine_memory_bytes as f64),
        figure(of.load_before),
        figure(of.load_after),
        figure(of.wall_seconds),
        bytes(of.own_peak_bytes),
        of.body_bytes,
        figure(of.messages_per_second),
    )
}

fn failure_table(slopes: Slopes) -> String {
    let size = FullSize::DESIGN;
    let cells = |failure: &Failure| {
        let [unscoped, scoped, routed] =
            Design::ALL.map(|design| consequence(slopes, design, *failure));
        let both = |unit: Unit, of: fn(&super::model::failures::Consequence) -> f64| {
            [unscoped, scoped].map(|consequence| value(unit, of(&consequence)))
        };
        let mut cells = vec![
            failure.title(&size),
            count(routed.dispatchers.round()),
            value(Unit::PerSecond, routed.messages_moved),
            value(Unit::Share, routed.more_load),
        ];
        cells.extend(both(Unit::Bytes, |c| c.bytes_told));
        cells.extend(both(Unit::Seconds, |c| c.seconds_each));
        cells.extend(both(Unit::Seconds, |c| c.seconds_all));
        cells.push(figure(routed.held_away));
        cells
    };
    let rows: Vec<Vec<String>> = Failure::ALL.iter().map(cells).collect();
    let head = [
        "what happens",
        "dispatchers",
        "messages that go elsewhere",
        "more for the others",
        "told, unscoped",
        "told, scoped",
        "each at 17 KB/s, unscoped",
        "each, scoped",
        "all from 9 machines, unscoped",
        "all, scoped",
        "messages held there",
    ];
    table(&head, &rows)
}

fn ranking_text(design: Design, slopes: Slopes) -> String {
    let Ranking { all, first } = rank(slopes, design);
    let cells = |(place, ranked): (usize, &Ranked)| {
        vec![
            (place + 1).to_string(),
            format!(
                "{}, {}: {}",
                ranked.row.role.title(),
                ranked.row.kind.title(),
                ranked.row.what
            ),
            value(ranked.row.unit, ranked.need),
            value(ranked.row.unit, ranked.budget),
            figure(ranked.need / ranked.budget),
            format!("{} %", figure(100.0 * ranked.part)),
            ranked.carried.to_string(),
            mechanism(ranked.row.mechanism),
        ]
    };
    let rows: Vec<Vec<String>> = all.iter().enumerate().map(cells).collect();
    let head = [
        "",
        "need over its budget",
        "need",
        "budget",
        "need over budget",
        "budget reached at this part of the full size",
        "others that rest on it",
        "mechanism",
    ];
    let said = match first.map(|place| &all[place]) {
        None => "No need is over its budget.".to_string(),
        Some(ranked) => format!(
            "First comes **{}: {}** ({}). It needs {} where {} may be used, {} times the budget, which is reached at \
             {} % of the full size; {} of the other needs over their budgets rest on it.",
            ranked.row.role.title(),
            ranked.row.what,
            ranked.row.kind.title(),
            value(ranked.row.unit, ranked.need),
            value(ranked.row.unit, ranked.budget),
            figure(ranked.need / ranked.budget),
            figure(100.0 * ranked.part),
            ranked.carried,
        ),
    };
    format!(
        "### {}\n\n{said}\n\n{}\n",
        capital(design.title()),
        table(&head, &rows)
    )
}

fn capital(text: &str) -> String {
    let mut letters = text.chars();
    letters.next().map_or(String::new(), |first| {
        first.to_uppercase().chain(letters).collect()
    })
}

/// Which values lie far beyond the sizes measured.
fn beyond(capacity: &Capacity) -> Result<String, MissingSeries> {
    let size = FullSize::DESIGN;
    let held = capacity.largest(SeriesId::MessageTimeByHeld)?.size;
    let down = capacity.largest(SeriesId::MessageTimeByDown)?.size;
    let known = capacity.largest(SeriesId::MessageTimeByKnown)?.size;
    let inputs = |design| Slopes::of(capacity).map(|slopes| Inputs::design(slopes, design));
    let unscoped = inputs(Design::Unscoped)?;
    Ok(format!(
        "Processor time a message is measured up to {} messages held, {} destinations down and {} destinations known, and taken for\n\
         straight up to {}, {} and {}: its values at the full size say by what it is too much, not how much it will be.\n",
        count(held),
        count(down),
        count(known),
        figure(size.backlog_per_dispatcher()),
        figure(unscoped.down_destinations()),
        count(unscoped.known()),
    ))
}

/// The page.
pub fn page(capacity: &Capacity) -> Result<String, MissingSeries> {
    let slopes = Slopes::of(capacity)?;
    let roles: String = Role::ALL
        .iter()
        .map(|role| role_table(*role, slopes))
        .collect();
    let rankings: String = Design::ALL
        .iter()
        .map(|design| ranking_text(*design, slopes))
        .collect();
    let findings: String = capacity.findings.iter().map(finding).collect();
    Ok(format!(
        "\
# Capacity

What the fleet of the full size needs, and of which need there is too much. Written by
`bellsill-testbed capacity --from docs/lab/capacity.json --page` from a run of `bellsill-testbed capacity --json` (crates/testbed/src/capacity); no figure is
added up by hand. Each value is measured, worked out from a measured slope, or worked out from given and assumed figures; its row says which.

## The size that is designed for

{}
## Measured

{}

Slopes are least squares with the half width of their 95 % interval; points are size: value. Ratios and slopes count; absolute times are
those of the machine above. The decisions alone are calls in the laboratory's process, the first attempts wasted are in virtual time with
5 % of the destinations down, the rest is real dispatchers on loopback. Each destination has one endpoint.

{}
{findings}
## At the full size

Three designs beside one another. *Unscoped*, without an installation file: every dispatcher knows all destinations. *Scoped*: two dispatchers hold each destination's
configuration, the others ask for it when a message comes. *Scoped and routed*: besides, messages go to a dispatcher that holds their
destination; what passing them on costs is not in it. In brackets the need over its budget.

{}
{roles}
## Under failures

Worked out from the slopes above. Those that begin anew are told all that is assigned to them, those that were cut off the changes that
they missed. Times are at what a dispatcher may take for control, and for all of them at what the nine control machines may be asked for
together. Messages held on a machine that does not come back are lost with its disk: nothing keeps a second copy of a journal (**none
yet**). The unscoped whole list is longer than the longest line, so a dispatcher that is told it knows no more than before (above); it begins
from the list in its configuration file.

{}
## Ranking

Of all needs over their budgets, the one that reaches its budget at the smallest part of the full size (traffic, destinations, changes and
backlog of that part on all 1,900 dispatchers); among those within a factor of two of it, the one on which most of the others rest.

{rankings}
{SCOPED_RUNS}

Not run yet.
",
        assumptions(),
        conditions(&capacity.conditions),
        capacity.series_table(),
        beyond(capacity)?,
        failure_table(slopes),
    ))
}
