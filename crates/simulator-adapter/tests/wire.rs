//! The program itself on the wire: its requests, its batches, its errors, and a recorded session.

use std::io::{ErrorKind, Write};
use std::process::{Command, Stdio};

/// Settings of two kinds, the second with batches; endpoint lists are sent only on request.
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

fn play(batches: &[(u64, &str)], settings: serde_json::Value) -> (Option<i32>, String, String) {
    let mut program = Command::new(env!("CARGO_BIN_EXE_bellsill-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = format!(
        "BATCH time-ns=1 seq=0\nBOOT dispatcher=d/1 salt=7 boot-info={settings}\nEOF_BATCH\n"
    );
    for (seq, (at, lines)) in batches.iter().enumerate() {
        input += &format!("BATCH time-ns={at} seq={}\n{lines}EOF_BATCH\n", seq + 1);
    }
    // A program that exits at an invalid line leaves the rest unread.
    if let Err(error) = program.stdin.take().unwrap().write_all(input.as_bytes()) {
        assert_eq!(error.kind(), ErrorKind::BrokenPipe, "{error}");
    }
    let end = program.wait_with_output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (end.status.code(), text(end.stdout), text(end.stderr))
}

const LIST: &str = "DEFINE_LIST bank=0 items=1\n\
    ITEM endpoint=e-1 locality=norte shape=bulk belongs-to=5 state=SERVING power-hint=20\n\
    MEMBERS dispatcher=d/1 bank=0 gen=1 scope=restored\n";

fn call(id: u32, more: &str) -> String {
    format!(
        "CALL dispatcher=d/1 txn={id:016x} tier-class=order due-ns=20000000000 destination=5{more}\n"
    )
}

#[test]
fn a_watch_is_requested_and_again_after_it_is_lost() {
    const S: u64 = 1_000_000_000;
    let hit = "DEADLINE_HIT dispatcher=d/1 mark=wake\n";
    let lost = "MEMBERS dispatcher=d/1 bank=0 gen=1 scope=unavailable\n";
    let play = |batches: &[(u64, &str)]| {
        play(batches, settings())
            .1
            .matches("LISTEN dispatcher=d/1 want=1")
            .count()
    };
    assert_eq!(play(&[(2, LIST)]), 0);
    assert_eq!(play(&[(2, LIST), (10 * S, hit), (12 * S, hit)]), 1);
    assert_eq!(
        play(&[(2, LIST), (10 * S, hit), (11 * S, lost), (50 * S, hit)]),
        2
    );
}

#[test]
fn waiting_messages_go_in_one_batch_where_the_kind_allows_it() {
    let refused = "CLOSED_ATTEMPT dispatcher=d/1 txn=0000000000000001 disposition=429 endpoint=e-1 round-no=0 note=500\n";
    let waiting = call(2, " client-group=condor") + &call(3, "");
    let batches = [(2, LIST), (3, &call(1, "")), (4, refused), (5, &waiting)];
    let again = (2_000_000_000, "DEADLINE_HIT dispatcher=d/1 mark=wake\n");
    let (code, out, error) = play(&[&batches[..], &[again]].concat(), settings());
    assert_eq!((code, error.as_str()), (Some(0), ""));
    let last = out.split("FINISHED seq=4").nth(1).unwrap();
    assert_eq!(last.matches("SEND dispatcher=d/1").count(), 3, "{out}");
}

#[test]
fn invalid_input_exits_with_status_2_and_names_line_and_field() {
    let bad = |place: &str, value: serde_json::Value| {
        let mut all = settings();
        *all.pointer_mut(place).unwrap() = value;
        play(&[], all)
    };
    for ((code, _, error), field) in [
        (
            bad("/family-info/per-call", serde_json::json!([1, 0])),
            "family-info.per-call",
        ),
        (
            bad("/discovery", serde_json::json!("sometimes")),
            "discovery",
        ),
        (
            bad("/guarantees/ask-within-ns", serde_json::json!(null)),
            "guarantees.ask-within-ns",
        ),
        (
            bad("/realms", serde_json::json!([{"fraction": 1.0}])),
            "realms",
        ),
        (
            play(
                &[(2, LIST), (3, &call(1, " client-group=nobody"))],
                settings(),
            ),
            "client-group",
        ),
        (
            play(
                &[(2, LIST), (3, &call(1, "").replace("=order", "=other"))],
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
/// Every outcome of an attempt.
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

fn attempt_ended(id: u32, endpoint: &str, more: &str) -> String {
    format!(
        "CLOSED_ATTEMPT dispatcher=d/1 txn={id:016x} endpoint={endpoint} round-no=0 wait-time-ns=40000000 {more}\n"
    )
}

/// A message for each outcome, one after the other, from `now` on; returns when the last is done.
fn add_outcomes(batches: &mut Vec<(u64, String)>, mut now: u64) -> u64 {
    for (n, outcome) in OUTCOMES.iter().enumerate() {
        let id = 16 + n as u32;
        now += 50 * MS;
        batches.push((now, call(id, "")));
        now += 40 * MS;
        let endpoint = ["e-1", "e-2"][n % 2];
        let end = attempt_ended(id, endpoint, &format!("disposition={outcome}"));
        batches.push((now, end));
        now += 900 * MS;
        batches.push((now, WAKEUP.to_string()));
    }
    now
}

/// A change of the list, a batch to one endpoint, and every event that has not come before.
fn add_changes_and_batches(batches: &mut Vec<(u64, String)>, now: u64) {
    let change = "DEFINE_LIST bank=4 items=1\n\
        ITEM endpoint=e-2 locality=norte shape=hooks belongs-to=5 state=DRAINING\n\
        MEMBERS dispatcher=d/1 bank=4 gen=2 scope=update\n";
    batches.push((now + 1, change.to_string()));
    let many: String = (64..72).map(|id| call(id, "")).collect();
    batches.push((now + 5 * MS, many.replace("destination=5", "destination=6")));
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

/// A session with every kind of event and outcome, with a batch, a cancelled call, a lost list and a withdrawn message.
fn recorded_session() -> String {
    let list = "DEFINE_LIST bank=3 items=3\n\
        ITEM endpoint=e-1 locality=norte shape=hooks belongs-to=5 state=SERVING power-hint=20\n\
        ITEM endpoint=e-2 locality=norte shape=hooks belongs-to=5 state=SERVING power-hint=20\n\
        ITEM endpoint=e-3 locality=norte shape=bulk belongs-to=6 state=SERVING\n\
        MEMBERS dispatcher=d/1 bank=3 gen=1 scope=replace\n";
    let mut batches = vec![(2, list.to_string())];
    let now = add_outcomes(&mut batches, 3 * MS);
    add_changes_and_batches(&mut batches, now);
    for step in 1..40 {
        batches.push((now + step * 700 * MS, WAKEUP.to_string()));
    }
    batches.push((
        now + 40_000 * MS,
        "CRASH_NOW dispatcher=d/1\n".to_string() + WAKEUP,
    ));
    let batches: Vec<(u64, &str)> = batches
        .iter()
        .map(|(at, text)| (*at, text.as_str()))
        .collect();
    let (code, out, error) = play(&batches, settings());
    let out: String = out.lines().map(without_log_message).collect();
    format!("status {code:?}\n{error}{out}")
}

/// Log messages may be reworded, but not added or dropped.
fn without_log_message(line: &str) -> String {
    match line.split_once(" message=") {
        Some((head, _)) if head.starts_with("LOG ") => format!("{head}\n"),
        _ => format!("{line}\n"),
    }
}

#[test]
fn a_recorded_session_has_the_same_bytes() {
    let recorded = include_str!("fixtures/session.txt");
    assert_eq!(
        recorded_session(),
        recorded,
        "the adapter's bytes have changed"
    );
}
