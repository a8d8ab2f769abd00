//! The program itself on the wire: what it asks, what goes in one call, and what it says of bad input.

use std::io::Write;
use std::process::{Command, Stdio};

/// Settings of two kinds, the second with batches, whose lists come only to those who ask.
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
    // A program that ends at a bad line leaves the rest unread.
    let _ = program.stdin.take().unwrap().write_all(input.as_bytes());
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
fn the_watch_is_asked_for_and_again_when_it_is_lost() {
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
fn what_waits_goes_in_one_reply_where_its_kind_takes_batches() {
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
fn bad_input_ends_with_status_2_and_names_line_and_field() {
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

/// Every kind of event and outcome, with a batch, a cancelled call, a lost list and a withdrawn message.
fn recorded_session() -> String {
    const MS: u64 = 1_000_000;
    let closed = |id: u32, number: u32, endpoint: &str, more: &str| {
        format!(
            "CLOSED_ATTEMPT dispatcher=d/1 txn={id:016x} endpoint={endpoint} round-no={number} wait-time-ns=40000000 {more}\n"
        )
    };
    let list = "DEFINE_LIST bank=3 items=3\n\
        ITEM endpoint=e-1 locality=norte shape=hooks belongs-to=5 state=SERVING power-hint=20\n\
        ITEM endpoint=e-2 locality=norte shape=hooks belongs-to=5 state=SERVING power-hint=20\n\
        ITEM endpoint=e-3 locality=norte shape=bulk belongs-to=6 state=SERVING\n\
        MEMBERS dispatcher=d/1 bank=3 gen=1 scope=replace\n";
    let change = "DEFINE_LIST bank=4 items=1\n\
        ITEM endpoint=e-2 locality=norte shape=hooks belongs-to=5 state=DRAINING\n\
        MEMBERS dispatcher=d/1 bank=4 gen=2 scope=update\n";
    let wake = "DEADLINE_HIT dispatcher=d/1 mark=wake\n".to_string();
    let dispositions = [
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
    let mut batches = vec![(2, list.to_string())];
    let mut now = 3 * MS;
    for (n, disposition) in dispositions.iter().enumerate() {
        let id = 16 + n as u32;
        now += 50 * MS;
        batches.push((now, call(id, "")));
        now += 40 * MS;
        let end = ["e-1", "e-2"]
            .map(|endpoint| closed(id, 0, endpoint, &format!("disposition={disposition}")));
        batches.push((now, end[n % 2].clone()));
        now += 900 * MS;
        batches.push((now, wake.clone()));
    }
    batches.push((now + 1, change.to_string()));
    let many: String = (64..72).map(|id| call(id, "")).collect();
    batches.push((now + 5 * MS, many.replace("destination=5", "destination=6")));
    batches.push((
        now + 6 * MS,
        closed(64, 0, "e-3", "disposition=200 usage=x1:30 over=1"),
    ));
    batches.push((
        now + 7 * MS,
        "ABANDONED dispatcher=d/1 txn=0000000000000041\n".to_string(),
    ));
    batches.push((
        now + 8 * MS,
        "PEER dispatcher=d/1 raw=aGk=\nHEADERS dispatcher=d/1\n".to_string(),
    ));
    batches.push((
        now + 9 * MS,
        "MEMBERS dispatcher=d/1 bank=0 gen=1 scope=unavailable\n".to_string(),
    ));
    for step in 1..40 {
        batches.push((now + step * 700 * MS, wake.clone()));
    }
    batches.push((
        now + 40_000 * MS,
        "CRASH_NOW dispatcher=d/1\n".to_string() + &wake,
    ));
    let batches: Vec<(u64, &str)> = batches
        .iter()
        .map(|(at, text)| (*at, text.as_str()))
        .collect();
    let (code, out, error) = play(&batches, settings());
    // What the log says may be worded anew; that it says something may not change.
    let mask = |line: &str| match line.split_once(" message=") {
        Some((head, _)) if head.starts_with("LOG ") => format!("{head}\n"),
        _ => format!("{line}\n"),
    };
    let out: String = out.lines().map(mask).collect();
    format!("status {code:?}\n{error}{out}")
}

#[test]
fn a_whole_session_has_the_recorded_bytes() {
    let recorded = include_str!("fixtures/session.txt");
    assert_eq!(
        recorded_session(),
        recorded,
        "the adapter's bytes have changed"
    );
}
