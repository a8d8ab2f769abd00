//! Runs the adapter binary over its line protocol: watch requests, batching, invalid input, and a recorded session.

use std::io::{ErrorKind, Write};
use std::process::{Command, Stdio};

/// Settings with two kinds of endpoints, of which only the second accepts batches. Endpoint lists are sent on request
/// only.
fn settings() -> serde_json::Value {
    serde_json::json!({
        "balancers": 1, "dcs": ["norte"], "discovery": "on_request", "flavors": ["hooks", "bulk"], "weights": "nominal",
        "family-info": {"decay": "halves", "own-limits": [true, true], "per-call": [1, 20], "workers": 4},
        "guarantees": {"ask-within-ns": 10_000_000_000u64, "cold-share": 0.2, "ramp-time-ns": 10_000_000_000u64,
            "overload-for-ns": 2_000_000_000u64, "tip-multiple": 2.0},
        "limits": {"connect-timeout-ns": 1_000_000_000, "keepalive-ns": 5_000_000_000u64, "max-attempts": 8, "max-open": 40},
        "penalties": {"probe": 0.01}, "realms": [{"name": "condor", "allowance-per-s": 10.0, "fraction": 1.0}],
        "services": [{"aim-ns": 1_000_000_000, "deadline-ns": 20_000_000_000u64, "late-share": 0.3, "name": "order",
            "repeat": "idempotent", "worth": 1.0}],
        "tick-ns": 5_000_000
    })
}

/// Starts an instance with these settings and sends it the batches, each with its time in nanoseconds. Returns the
/// adapter's exit status, standard output and standard error.
fn run_adapter(
    batches: &[(u64, &str)],
    settings: serde_json::Value,
) -> (Option<i32>, String, String) {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_bellsill-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = format!(
        "BATCH time-ns=1 seq=0\nBOOT dispatcher=d/1 salt=7 boot-info={settings}\nEOF_BATCH\n"
    );
    for (seq, (time, lines)) in batches.iter().enumerate() {
        input += &format!("BATCH time-ns={time} seq={}\n{lines}EOF_BATCH\n", seq + 1);
    }
    // The adapter exits at an invalid line and leaves the rest of its input unread.
    if let Err(error) = adapter.stdin.take().unwrap().write_all(input.as_bytes()) {
        assert_eq!(error.kind(), ErrorKind::BrokenPipe, "{error}");
    }
    let output = adapter.wait_with_output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

/// Defines a list with one endpoint and reports it to the instance.
const ENDPOINT_LIST: &str = "DEFINE_LIST bank=0 items=1\n\
    ITEM endpoint=e-1 locality=norte shape=bulk belongs-to=5 state=SERVING power-hint=20\n\
    MEMBERS dispatcher=d/1 bank=0 gen=1 scope=restored\n";

fn new_message(id: u32, extra_fields: &str) -> String {
    format!(
        "CALL dispatcher=d/1 txn={id:016x} tier-class=order due-ns=20000000000 destination=5{extra_fields}\n"
    )
}

#[test]
fn watch_is_requested_once_and_again_after_it_is_lost() {
    const S: u64 = 1_000_000_000;
    let lost = "MEMBERS dispatcher=d/1 bank=0 gen=1 scope=unavailable\n";
    let watch_requests = |batches: &[(u64, &str)]| {
        run_adapter(batches, settings())
            .1
            .matches("LISTEN dispatcher=d/1 want=1")
            .count()
    };
    assert_eq!(watch_requests(&[(2, ENDPOINT_LIST)]), 0);
    assert_eq!(
        watch_requests(&[(2, ENDPOINT_LIST), (10 * S, WAKEUP), (12 * S, WAKEUP)]),
        1
    );
    assert_eq!(
        watch_requests(&[
            (2, ENDPOINT_LIST),
            (10 * S, WAKEUP),
            (11 * S, lost),
            (50 * S, WAKEUP)
        ]),
        2
    );
}

#[test]
fn pending_messages_are_sent_in_one_batch_if_the_kind_allows_batches() {
    let rate_limited = "CLOSED_ATTEMPT dispatcher=d/1 txn=0000000000000001 disposition=429 endpoint=e-1 round-no=0 note=500\n";
    let pending = new_message(2, " client-group=condor") + &new_message(3, "");
    let batches = [
        (2, ENDPOINT_LIST),
        (3, &new_message(1, "")),
        (4, rate_limited),
        (5, &pending),
    ];
    let wakeup = (2_000_000_000, WAKEUP);
    let (code, out, error) = run_adapter(&[&batches[..], &[wakeup]].concat(), settings());
    assert_eq!((code, error.as_str()), (Some(0), ""));
    let last_batch = out.split("FINISHED seq=4").nth(1).unwrap();
    assert_eq!(
        last_batch.matches("SEND dispatcher=d/1").count(),
        3,
        "{out}"
    );
}

#[test]
fn invalid_input_exits_with_status_2_and_reports_line_and_field() {
    let run_with_setting = |pointer: &str, value: serde_json::Value| {
        let mut settings = settings();
        *settings.pointer_mut(pointer).unwrap() = value;
        run_adapter(&[], settings)
    };
    for ((code, _, error), field) in [
        (
            run_with_setting("/family-info/per-call", serde_json::json!([1, 0])),
            "family-info.per-call",
        ),
        (
            run_with_setting("/discovery", serde_json::json!("sometimes")),
            "discovery",
        ),
        (
            run_with_setting("/guarantees/ask-within-ns", serde_json::json!(null)),
            "guarantees.ask-within-ns",
        ),
        (
            run_with_setting("/realms", serde_json::json!([{"fraction": 1.0}])),
            "realms",
        ),
        (
            run_adapter(
                &[
                    (2, ENDPOINT_LIST),
                    (3, &new_message(1, " client-group=nobody")),
                ],
                settings(),
            ),
            "client-group",
        ),
        (
            run_adapter(
                &[
                    (2, ENDPOINT_LIST),
                    (3, &new_message(1, "").replace("=order", "=other")),
                ],
                settings(),
            ),
            "tier-class",
        ),
    ] {
        assert_eq!(code, Some(2), "{field}");
        assert!(error.contains("line") && error.contains(field), "{error}");
    }
}

const MS: u64 = 1_000_000;
const WAKEUP: &str = "DEADLINE_HIT dispatcher=d/1 mark=wake\n";
/// The fields of every outcome of an attempt.
const OUTCOMES: [&str; 9] = [
    "200",
    "502",
    "429 note=700",
    "408",
    "521",
    "520",
    "444",
    "409 note=1",
    "409 note=0",
];

fn attempt_ended(id: u32, endpoint: &str, extra_fields: &str) -> String {
    format!(
        "CLOSED_ATTEMPT dispatcher=d/1 txn={id:016x} endpoint={endpoint} round-no=0 wait-time-ns=40000000 {extra_fields}\n"
    )
}

/// Adds one message for each outcome, one after another, starting at `now`. Returns the time of the last batch.
fn add_outcomes(batches: &mut Vec<(u64, String)>, mut now: u64) -> u64 {
    for (n, outcome) in OUTCOMES.iter().enumerate() {
        let id = 16 + n as u32;
        now += 50 * MS;
        batches.push((now, new_message(id, "")));
        now += 40 * MS;
        let endpoint = ["e-1", "e-2"][n % 2];
        let outcome_line = attempt_ended(id, endpoint, &format!("disposition={outcome}"));
        batches.push((now, outcome_line));
        now += 900 * MS;
        batches.push((now, WAKEUP.to_string()));
    }
    now
}

/// Adds a change of the endpoint list, a batch to one endpoint, and events of the other kinds except health checks and
/// crashes.
fn add_remaining_events(batches: &mut Vec<(u64, String)>, now: u64) {
    let list_change = "DEFINE_LIST bank=4 items=1\n\
        ITEM endpoint=e-2 locality=norte shape=hooks belongs-to=5 state=DRAINING\n\
        MEMBERS dispatcher=d/1 bank=4 gen=2 scope=update\n";
    batches.push((now + 1, list_change.to_string()));
    let messages: String = (64..72).map(|id| new_message(id, "")).collect();
    batches.push((
        now + 5 * MS,
        messages.replace("destination=5", "destination=6"),
    ));
    batches.push((
        now + 6 * MS,
        attempt_ended(64, "e-3", "disposition=200 usage=x1:30 over=1"),
    ));
    for (step, event) in [
        (7, "ABANDONED dispatcher=d/1 txn=0000000000000041\n"),
        (8, "PEER dispatcher=d/1 raw=aGk=\nHEADERS dispatcher=d/1\n"),
        (9, "MEMBERS dispatcher=d/1 bank=0 gen=1 scope=unavailable\n"),
    ] {
        batches.push((now + step * MS, event.to_string()));
    }
}

/// Runs a session with every outcome, among them a cancelled attempt, and every kind of event except a health check; it
/// includes a batch, a lost watch and a withdrawn message. Returns the exit status and the output without the texts of
/// log lines.
fn run_recorded_session() -> String {
    let list = "DEFINE_LIST bank=3 items=3\n\
        ITEM endpoint=e-1 locality=norte shape=hooks belongs-to=5 state=SERVING power-hint=20\n\
        ITEM endpoint=e-2 locality=norte shape=hooks belongs-to=5 state=SERVING power-hint=20\n\
        ITEM endpoint=e-3 locality=norte shape=bulk belongs-to=6 state=SERVING\n\
        MEMBERS dispatcher=d/1 bank=3 gen=1 scope=replace\n";
    let mut batches = vec![(2, list.to_string())];
    let now = add_outcomes(&mut batches, 3 * MS);
    add_remaining_events(&mut batches, now);
    for step in 1..40 {
        batches.push((now + step * 700 * MS, WAKEUP.to_string()));
    }
    batches.push((
        now + 40_000 * MS,
        "CRASH_NOW dispatcher=d/1\n".to_string() + WAKEUP,
    ));
    let batches: Vec<(u64, &str)> = batches
        .iter()
        .map(|(time, lines)| (*time, lines.as_str()))
        .collect();
    let (code, out, error) = run_adapter(&batches, settings());
    let out: String = out.lines().map(without_log_text).collect();
    format!("status {code:?}\n{error}{out}")
}

/// Removes the text of a log line, so that log messages may be reworded, but not added or removed.
fn without_log_text(line: &str) -> String {
    match line.split_once(" message=") {
        Some((head, _)) if head.starts_with("LOG ") => format!("{head}\n"),
        _ => format!("{line}\n"),
    }
}

#[test]
fn output_of_a_session_matches_the_recording() {
    let recorded = include_str!("fixtures/session.txt");
    assert_eq!(
        run_recorded_session(),
        recorded,
        "the adapter's output differs from the recorded session"
    );
}
