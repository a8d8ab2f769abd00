//! The HTTP interface of a control process: watches, lookups, writes and metrics.

use bellsill_directory::line::EndpointState::{Draining, Removed, Up};
use bellsill_test_support::control_client::{Watch, connect, endpoint_ids, read_response, request};
use bellsill_test_support::control_process::ReservedAddress;
use bellsill_test_support::endpoint_lines::{entries, entry};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::SocketAddr;

#[test]
fn a_dispatcher_is_sent_its_buckets_and_then_changes() {
    let (place, state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("temp directory"),
    );
    let leader = place.start_leader(state.path());
    leader.declare();
    leader.write(&entries(0..40, Up));
    let mut watch = Watch::open(place.address, "since=0&dispatcher=north-a");
    let lines = watch.until_filled(8);
    assert!(!lines[0].log.is_empty());
    assert_eq!(lines[0].gained.len(), 8);
    assert_eq!(endpoint_ids(&lines).len(), 40);
    let version = leader.write(&entry(7, Draining));
    let line = watch.next_line().expect("a watch line");
    assert_eq!(
        (line.version.0, endpoint_ids(&[line])),
        (version, vec!["endpoint-7".to_string()])
    );
    let version = leader.write(&entry(7, Removed));
    let line = watch.next_line().expect("a watch line");
    assert_eq!((line.version.0, line.servers[0].state), (version, Removed));
}

#[test]
fn changes_of_a_looked_up_destination_are_sent_until_it_is_forgotten() {
    let (place, state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("temp directory"),
    );
    let leader = place.start_leader(state.path());
    leader.declare();
    leader.write(&entries(0..40, Up));
    let look_up =
        |target: &str| request(place.address, "GET", &format!("/api/targets?{target}"), "");
    assert_eq!(look_up("dispatcher=south-a&cells=17").0, 409);
    let mut watch = Watch::open(place.address, "since=0&dispatcher=south-a");
    watch.until_filled(8);
    let (status, response) = look_up("dispatcher=south-a&cells=17");
    assert_eq!(
        (status, response["servers"][0]["id"].as_str()),
        (200, Some("endpoint-17"))
    );
    let (status, response) = look_up("dispatcher=south-a&cells=4711");
    assert_eq!(
        (status, response["servers"].as_array().map(Vec::len)),
        (200, Some(0))
    );
    leader.write(&entry(17, Draining));
    assert_eq!(
        endpoint_ids(&[watch.next_line().expect("a watch line")]),
        ["endpoint-17"]
    );
    assert_eq!(look_up("dispatcher=south-a&forget=17").0, 200);
    leader.write(&entry(17, Up));
    look_up("dispatcher=south-a&cells=18");
    leader.write(&entry(18, Draining));
    assert_eq!(
        endpoint_ids(&[watch.next_line().expect("a watch line")]),
        ["endpoint-18"]
    );
    let too_many: Vec<String> = (0..5000)
        .map(|destination: u32| destination.to_string())
        .collect();
    assert_eq!(
        look_up(&format!("dispatcher=south-a&cells={}", too_many.join(","))).0,
        429
    );
}

/// The names of the metrics at `GET /v2/figures`. They are part of the protocol.
const METRIC_NAMES: [&str; 30] = [
    "version",
    "epoch",
    "entries",
    "members",
    "members_present",
    "watchers",
    "connections",
    "change_lines",
    "filling_lines",
    "empty_lines",
    "change_bytes",
    "filling_bytes",
    "watches_begun",
    "watches_told_anew",
    "transfers_begun",
    "lookups",
    "writes",
    "records",
    "syncs",
    "torn_bytes",
    "rejected_snapshots",
    "seconds_without_followers",
    "refused",
    "closed_slow",
    "closed_silent",
    "writer_watches_broken",
    "transfers_taken",
    "writer_lines_refused",
    "slow_turns",
    "longest_turn_ms",
];
/// The names of the counters under `refused`.
const REJECTION_NAMES: [&str; 7] = [
    "malformed",
    "not_found",
    "no_watch",
    "too_large",
    "not_the_writer",
    "too_many",
    "unavailable",
];

#[test]
fn metric_names_match_the_protocol() {
    let (place, state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("temp directory"),
    );
    let leader = place.start_leader(state.path());
    let metrics = leader.metrics();
    let names = |value: &serde_json::Value| -> BTreeSet<String> {
        let object = value.as_object().expect("metrics are a JSON object");
        object.keys().cloned().collect()
    };
    assert_eq!(names(&metrics), METRIC_NAMES.map(String::from).into());
    assert_eq!(
        names(&metrics["refused"]),
        REJECTION_NAMES.map(String::from).into()
    );
}

/// Sends requests with unknown dispatchers, unknown paths, unsupported methods and invalid queries.
fn assert_invalid_targets_are_rejected(address: SocketAddr) {
    for (expected, method, target) in [
        (404, "GET", "/api/targets?follow=1&dispatcher=nobody"),
        (404, "GET", "/api/targets?dispatcher=nobody&cells=1"),
        (404, "GET", "/elsewhere"),
        (405, "PUT", "/api/targets"),
        (
            400,
            "GET",
            "/api/targets?follow=1&since=x&dispatcher=north-a",
        ),
    ] {
        let (status, response) = request(address, method, target, "");
        assert_eq!(status, expected, "{method} {target}: {response}");
    }
}

/// Posts invalid endpoint bodies, and checks that each error names the fault. Returns the number of bodies.
fn assert_invalid_endpoints_are_rejected(address: SocketAddr) -> usize {
    let invalid = [
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
    for (body, expected) in &invalid {
        let (status, response) = request(address, "POST", "/api/targets", body);
        let error = response["error"].as_str().unwrap_or_default();
        assert!(
            status == 400 && error.contains(expected),
            "{status} {response}"
        );
    }
    invalid.len()
}

/// Posts invalid member bodies. Returns the number of bodies.
fn assert_invalid_members_are_rejected(address: SocketAddr) -> usize {
    let invalid = [
        "{\"name\":\"a b\",\"zone\":\"north-1\"}",
        "{\"name\":\"a\",\"zone\":\"north-1\",\"weight\":-1}",
        "{\"name\":\"a\",\"zone\":\"north-1\",\"extra\":1}",
    ];
    for body in invalid {
        let (status, response) = request(address, "POST", "/v2/members", body);
        assert_eq!(status, 400, "{body}: {response}");
    }
    invalid.len()
}

#[test]
fn invalid_requests_are_rejected_and_counted_and_change_nothing() {
    let (place, state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("temp directory"),
    );
    let leader = place.start_leader(state.path());
    leader.declare();
    let before = leader.metrics();
    assert_invalid_targets_are_rejected(place.address);
    let invalid_endpoints = assert_invalid_endpoints_are_rejected(place.address);
    let invalid_members = assert_invalid_members_are_rejected(place.address);
    let after = leader.metrics();
    assert_eq!(
        after["version"], before["version"],
        "an invalid request must not be applied in part"
    );
    let invalid_queries = 1;
    assert_eq!(invalid_members, 3);
    assert_eq!(
        after["refused"]["malformed"],
        invalid_queries + invalid_endpoints + invalid_members
    );
    assert_eq!(after["refused"]["not_found"], 4);
}

#[test]
fn malformed_and_oversized_requests_are_rejected() {
    let (place, state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("temp directory"),
    );
    let _leader = place.start_leader(state.path());
    let raw = |bytes: &[u8]| {
        let mut stream = connect(place.address);
        stream.write_all(bytes).expect("send a request");
        read_response(&mut stream).0
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
    let (status, response) = request(place.address, "POST", "/api/targets", &body);
    assert_eq!(status, 200, "{response}");
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let (place, state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("temp directory"),
    );
    let _leader = place.start_leader(state.path());
    let mut stream = connect(place.address);
    let requests =
        b"GET /nowhere HTTP/1.1\r\n\r\nGET /v2/figures HTTP/1.1\r\nConnection: close\r\n\r\n";
    stream.write_all(requests).expect("send requests");
    let mut responses = String::new();
    stream.read_to_string(&mut responses).expect("responses");
    let (first, second) = (responses.find("404 Not Found"), responses.find("200 OK"));
    assert!(first.is_some() && first < second, "{responses}");
}

#[test]
fn a_watch_whose_client_reads_nothing_is_closed() {
    let (place, state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("temp directory"),
    );
    let leader = place.start(
        state.path(),
        "role = \"writer\"",
        "fill_bytes_per_second = 1000000000",
    );
    leader.declare();
    for start in (0..60_000).step_by(20_000) {
        leader.write(&entries(start..start + 20_000, Up));
    }
    let watch = Watch::open(place.address, "since=0&dispatcher=north-a");
    leader.wait_for("the closing of the watch", |metrics| {
        metrics["closed_slow"] == 1 && metrics["watchers"] == 0
    });
    drop(watch);
}

#[test]
fn a_second_watch_of_a_dispatcher_closes_the_first() {
    let (place, state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("temp directory"),
    );
    let leader = place.start_leader(state.path());
    leader.declare();
    let mut first = Watch::open(place.address, "since=0&dispatcher=north-a");
    let mut second = Watch::open(place.address, "since=0&dispatcher=north-a");
    while first.next_line().is_some() {}
    second.until_filled(8);
    assert_eq!(leader.metrics()["watchers"], 1);
}

/// Guards against a process that is killed for its memory because hundreds of clients stop in the middle of a large request.
#[test]
fn clients_that_stop_in_the_middle_of_large_requests_take_a_limited_amount_of_memory() {
    const CLIENTS: usize = 400;
    const HEAD_BYTES: usize = 150_000;
    const MAX_PARTIAL_REQUEST_BYTES: usize = 32 * 1024 * 1024;
    let (place, state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("temp directory"),
    );
    let leader = place.start_leader(state.path());
    leader.declare();
    let head = format!("GET /{}", "x".repeat(HEAD_BYTES));
    let mut clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let mut client = connect(place.address);
            // The last clients are read before the next one comes.
            client
                .write_all(head.as_bytes())
                .expect("a client that is read");
            assert_eq!(request(place.address, "GET", "/v2/figures", "").0, 200);
            client
        })
        .collect();
    let open = clients.iter_mut().filter_map(|client| {
        client.set_nonblocking(true).expect("a socket");
        let error = client.read(&mut [0]).err()?;
        (error.kind() == std::io::ErrorKind::WouldBlock).then_some(())
    });
    let open = open.count();
    assert!(
        open * HEAD_BYTES <= MAX_PARTIAL_REQUEST_BYTES,
        "{open} are open"
    );
    assert!(open > CLIENTS / 4, "{open} are open");
    leader.write(&entry(7, Up));
}
