//! What a control process answers to dispatchers and operators.

mod common;

use bellsill_directory::line::EndpointState::{Draining, Removed, Up};
use common::*;
use std::io::{Read, Write};

#[test]
fn a_dispatcher_is_filled_and_told_changes_as_they_are_written() {
    let (place, state) = (Place::new(), tempfile::tempdir().expect("a directory"));
    let writer = place.start_writer(state.path());
    writer.declare();
    writer.write(&entries(0..40, Up));
    let mut watch = Watch::open(place.address, "since=0&dispatcher=north-a");
    let lines = watch.until_filled(8);
    assert!(!lines[0].log.is_empty());
    assert_eq!(lines[0].gained.len(), 8);
    assert_eq!(ids(&lines).len(), 40);
    let version = writer.write(&entry(7, Draining));
    let line = watch.next().expect("a line");
    assert_eq!(
        (line.version.0, ids(&[line])),
        (version, vec!["endpoint-7".to_string()])
    );
    let version = writer.write(&entry(7, Removed));
    let line = watch.next().expect("a line");
    assert_eq!((line.version.0, line.servers[0].state), (version, Removed));
}

#[test]
fn a_destination_that_is_looked_up_is_told_from_then_on() {
    let (place, state) = (Place::new(), tempfile::tempdir().expect("a directory"));
    let writer = place.start_writer(state.path());
    writer.declare();
    writer.write(&entries(0..40, Up));
    let look_up =
        |target: &str| request(place.address, "GET", &format!("/api/targets?{target}"), "");
    assert_eq!(look_up("dispatcher=south-a&cells=17").0, 409);
    let mut watch = Watch::open(place.address, "since=0&dispatcher=south-a");
    watch.until_filled(8);
    let (status, answer) = look_up("dispatcher=south-a&cells=17");
    assert_eq!(
        (status, answer["servers"][0]["id"].as_str()),
        (200, Some("endpoint-17"))
    );
    let (status, answer) = look_up("dispatcher=south-a&cells=4711");
    assert_eq!(
        (status, answer["servers"].as_array().map(Vec::len)),
        (200, Some(0))
    );
    writer.write(&entry(17, Draining));
    assert_eq!(ids(&[watch.next().expect("a line")]), ["endpoint-17"]);
    assert_eq!(look_up("dispatcher=south-a&forget=17").0, 200);
    writer.write(&entry(17, Up));
    look_up("dispatcher=south-a&cells=18");
    writer.write(&entry(18, Draining));
    assert_eq!(ids(&[watch.next().expect("a line")]), ["endpoint-18"]);
    let many: Vec<String> = (0..5000).map(|cell: u32| cell.to_string()).collect();
    assert_eq!(
        look_up(&format!("dispatcher=south-a&cells={}", many.join(","))).0,
        429
    );
}

#[test]
fn requests_that_make_no_sense_are_refused_and_counted() {
    let (place, state) = (Place::new(), tempfile::tempdir().expect("a directory"));
    let writer = place.start_writer(state.path());
    writer.declare();
    let before = writer.figures();
    let status =
        |method: &str, target: &str, body: &str| request(place.address, method, target, body).0;
    assert_eq!(
        status("GET", "/api/targets?follow=1&dispatcher=nobody", ""),
        404
    );
    assert_eq!(
        status("GET", "/api/targets?dispatcher=nobody&cells=1", ""),
        404
    );
    assert_eq!(status("GET", "/elsewhere", ""), 404);
    assert_eq!(status("PUT", "/api/targets", ""), 405);
    assert_eq!(
        status(
            "GET",
            "/api/targets?follow=1&since=x&dispatcher=north-a",
            ""
        ),
        400
    );
    let bad = [
        (format!("{}no JSON\n", entry(1, Up)), "line 2"),
        (entry(1, Up).replace("north-1", "west-1"), "west-1"),
        (entry(1, Up).replace("10.0.0.1:1001", "nowhere"), "addr"),
        (
            format!(
                "{}{}",
                entry(1, Up),
                entry(1, Up).replace("\"cell\":1", "\"cell\":2")
            ),
            "line 2",
        ),
        (entry(1, Up).replace("\"up\"", "\"away\""), "away"),
    ];
    for (body, named) in &bad {
        let (status, answer) = request(place.address, "POST", "/api/targets", body);
        let error = answer["error"].as_str().unwrap_or_default();
        assert!(status == 400 && error.contains(named), "{status} {answer}");
    }
    assert_eq!(
        status(
            "POST",
            "/v2/members",
            "{\"name\":\"a b\",\"zone\":\"north-1\"}"
        ),
        400
    );
    assert_eq!(
        status(
            "POST",
            "/v2/members",
            "{\"name\":\"a\",\"zone\":\"north-1\",\"weight\":-1}"
        ),
        400
    );
    assert_eq!(
        status(
            "POST",
            "/v2/members",
            "{\"name\":\"a\",\"zone\":\"north-1\",\"extra\":1}"
        ),
        400
    );
    let after = writer.figures();
    assert_eq!(
        after["version"], before["version"],
        "nothing of a bad request is taken"
    );
    assert_eq!(after["refused"]["malformed"], 1 + bad.len() + 3);
    assert_eq!(after["refused"]["not_found"], 4);
}

#[test]
fn heads_and_bodies_are_bounded() {
    let (place, state) = (Place::new(), tempfile::tempdir().expect("a directory"));
    let _writer = place.start_writer(state.path());
    let raw = |bytes: &[u8]| {
        let mut stream = connect(place.address);
        stream.write_all(bytes).expect("a request");
        read_answer(&mut stream).0
    };
    assert_eq!(
        raw(b"POST /api/targets HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"),
        413
    );
    assert_eq!(
        raw(b"POST /api/targets HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"),
        411
    );
    assert_eq!(
        raw(b"POST /api/targets HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"),
        400
    );
    assert_eq!(raw(b"no request\r\n\r\n"), 400);
    let long = vec![b'a'; 160 * 1024 - 5];
    assert_eq!(raw(&[b"GET /", &long[..]].concat()), 431);
    let body = entries(0..20_000, Up);
    let (status, answer) = request(place.address, "POST", "/api/targets", &body);
    assert_eq!(status, 200, "{answer}");
}

#[test]
fn requests_on_one_connection_are_answered_in_their_order() {
    let (place, state) = (Place::new(), tempfile::tempdir().expect("a directory"));
    let _writer = place.start_writer(state.path());
    let mut stream = connect(place.address);
    let both =
        b"GET /nowhere HTTP/1.1\r\n\r\nGET /v2/figures HTTP/1.1\r\nConnection: close\r\n\r\n";
    stream.write_all(both).expect("requests");
    let mut answers = String::new();
    stream.read_to_string(&mut answers).expect("answers");
    let (first, second) = (answers.find("404 Not Found"), answers.find("200 OK"));
    assert!(first.is_some() && first < second, "{answers}");
}

#[test]
fn a_watcher_that_reads_nothing_is_parted_with() {
    let (place, state) = (Place::new(), tempfile::tempdir().expect("a directory"));
    let writer = place.start(
        state.path(),
        "role = \"writer\"",
        "fill_bytes_per_second = 1000000000",
    );
    writer.declare();
    for start in (0..60_000).step_by(20_000) {
        writer.write(&entries(start..start + 20_000, Up));
    }
    let watch = Watch::open(place.address, "since=0&dispatcher=north-a");
    writer.wait_for("the end of the watch", |figures| {
        figures["closed_slow"] == 1 && figures["watchers"] == 0
    });
    drop(watch);
}

#[test]
fn a_second_watch_of_a_dispatcher_ends_the_first() {
    let (place, state) = (Place::new(), tempfile::tempdir().expect("a directory"));
    let writer = place.start_writer(state.path());
    writer.declare();
    let mut first = Watch::open(place.address, "since=0&dispatcher=north-a");
    let mut second = Watch::open(place.address, "since=0&dispatcher=north-a");
    while first.next().is_some() {}
    second.until_filled(8);
    assert_eq!(writer.figures()["watchers"], 1);
}
