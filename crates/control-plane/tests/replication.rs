//! Restarts of leaders and followers, presence of members, and a leader that sends invalid lines.

use bellsill_directory::line::EndpointState::{Draining, Up};
use bellsill_test_support::control_client::{Watch, endpoint_ids, request};
use bellsill_test_support::control_process::ReservedAddress;
use bellsill_test_support::endpoint_lines::{entries, entry};
use std::io::{Read, Write};
use std::net::TcpListener;

#[test]
fn a_restarted_leader_continues_its_versions() {
    let (place, state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("a directory"),
    );
    let leader = place.start_leader(state.path());
    leader.declare();
    let version = leader.write(&entries(0..250, Up));
    let mut watch = Watch::open(place.address, "since=0&dispatcher=north-a");
    let log = watch.until_filled(8)[0].log.clone();
    leader.stop().expect("an end");
    let leader = place.start_leader(state.path());
    assert_eq!(leader.metrics()["version"], version);
    assert_eq!(leader.metrics()["entries"], 250);
    assert_eq!(leader.write(&entry(7, Draining)), version + 1);
    let query = format!("since={version}&log={log}&dispatcher=north-a&buckets=0,1,2,3,4,5,6,7");
    let mut watch = Watch::open(place.address, &query);
    let first = watch.next_line().expect("a line");
    assert!(first.gained.is_empty() && first.log == log);
    assert_eq!(endpoint_ids(&[first]), ["endpoint-7"]);
    assert_eq!(leader.metrics()["watches_told_anew"], 0);
}

#[test]
fn a_follower_serves_watches_like_the_leader_and_rejects_writes() {
    let (place, state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("a directory"),
    );
    let (follower_place, follower_state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("a directory"),
    );
    let leader = place.start_leader(state.path());
    leader.declare();
    let version = leader.write(&entries(0..40, Up));
    let follower = follower_place.start_follower(follower_state.path(), place.address);
    follower.wait_for_version(version);
    let mut watch = Watch::open(follower_place.address, "since=0&dispatcher=north-a");
    assert_eq!(endpoint_ids(&watch.until_filled(8)).len(), 40);
    leader.write(&entry(7, Draining));
    assert_eq!(
        endpoint_ids(&watch.until(|line| !line.servers.is_empty())),
        ["endpoint-7"]
    );
    let (status, response) = request(
        follower_place.address,
        "POST",
        "/api/targets",
        &entry(8, Draining),
    );
    assert_eq!(
        (status, response["writer"].as_str()),
        (421, Some(place.address.to_string().as_str()))
    );
}

#[test]
fn a_disconnected_follower_catches_up_without_a_transfer() {
    let (place, state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("a directory"),
    );
    let (follower_place, follower_state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("a directory"),
    );
    let leader = place.start_leader(state.path());
    leader.declare();
    let version = leader.write(&entries(0..40, Up));
    let follower = follower_place.start_follower(follower_state.path(), place.address);
    assert_eq!(follower.wait_for_version(version)["transfers_taken"], 1);
    follower.stop().expect("an end");
    let version = leader.write(&entries(0..400, Draining));
    let follower = follower_place.start_follower(follower_state.path(), place.address);
    assert_eq!(follower.wait_for_version(version)["transfers_taken"], 0);
    assert_eq!(follower.metrics()["entries"], 400);
    // The follower continues from its version after a restart of the leader.
    leader.stop().expect("an end");
    let leader = place.start_leader(state.path());
    let version = leader.write(&entries(0..40, Up));
    assert_eq!(follower.wait_for_version(version)["transfers_taken"], 0);
}

#[test]
fn a_restarted_follower_serves_watches_without_the_leader() {
    let (place, state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("a directory"),
    );
    let (follower_place, follower_state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("a directory"),
    );
    let follower = follower_place.start_follower(follower_state.path(), place.address);
    let (status, _) = request(
        follower_place.address,
        "GET",
        "/api/targets?follow=1&dispatcher=north-a",
        "",
    );
    assert_eq!(status, 503, "the follower has no configuration yet");
    let leader = place.start_leader(state.path());
    leader.declare();
    let version = leader.write(&entries(0..40, Up));
    follower.wait_for_version(version);
    leader.stop().expect("an end");
    follower.stop().expect("an end");
    let _follower = follower_place.start_follower(follower_state.path(), place.address);
    let mut watch = Watch::open(follower_place.address, "since=0&dispatcher=north-a");
    assert_eq!(endpoint_ids(&watch.until_filled(8)).len(), 40);
}

#[test]
fn a_follower_replaces_another_history_and_restarts_its_watches() {
    let (place, state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("a directory"),
    );
    let (follower_place, follower_state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("a directory"),
    );
    let leader = place.start_leader(state.path());
    leader.declare();
    let version = leader.write(&entries(0..40, Up));
    let follower = follower_place.start_follower(follower_state.path(), place.address);
    follower.wait_for_version(version);
    let mut watch = Watch::open(follower_place.address, "since=0&dispatcher=north-a");
    let log = watch.until_filled(8)[0].log.clone();
    leader.stop().expect("an end");
    let other_state = tempfile::tempdir().expect("a directory");
    let leader = place.start_leader(other_state.path());
    leader.declare();
    leader.write(&entries(100..110, Up));
    follower.wait_for("the other history", |metrics| metrics["entries"] == 10);
    while watch.next_line().is_some() {}
    let query = format!("since={version}&log={log}&dispatcher=north-a&buckets=0,1,2,3,4,5,6,7");
    let mut watch = Watch::open(follower_place.address, &query);
    let lines = watch.until_filled(8);
    assert_eq!(lines[0].gained.len(), 8);
    assert_ne!(lines[0].log, log);
    assert_eq!(endpoint_ids(&lines).len(), 10);
}

#[test]
fn a_member_without_a_watch_is_absent_until_it_returns() {
    let (place, state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("a directory"),
    );
    let (follower_place, follower_state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("a directory"),
    );
    let leader = place.start(
        state.path(),
        "role = \"writer\"",
        "restart_grace_seconds = 3",
    );
    leader.declare();
    let follower = follower_place.start_follower(follower_state.path(), place.address);
    follower.wait_for("a configuration", |metrics| metrics["transfers_taken"] == 1);
    let mut at_leader = Watch::open(place.address, "since=0&dispatcher=north-a");
    let mut at_follower = Watch::open(follower_place.address, "since=0&dispatcher=north-b");
    let metrics = leader.wait_for("two absent members", |metrics| {
        metrics["members_present"] == 2
    });
    assert_eq!(metrics["members"], 4);
    at_leader.until_filled(8);
    at_follower.until_filled(8);
    let epoch = leader.metrics()["epoch"].as_u64().expect("an epoch");
    let mut returned = Watch::open(place.address, "since=0&dispatcher=south-a");
    let lines = returned.until(|line| !line.gained.is_empty());
    assert!(
        lines
            .last()
            .and_then(|line| line.epoch)
            .is_some_and(|received| received.0 > epoch)
    );
    returned.until_filled(8);
    leader.wait_for("three present members", |metrics| {
        metrics["members_present"] == 3
    });
}

#[test]
fn a_leader_without_followers_declares_no_member_absent_until_one_returns() {
    let (place, state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("a directory"),
    );
    let (follower_place, follower_state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("a directory"),
    );
    let leader = place.start(
        state.path(),
        "role = \"writer\"",
        "restart_grace_seconds = 2",
    );
    let follower = follower_place.start_follower(follower_state.path(), place.address);
    follower.wait_for("a configuration", |metrics| metrics["transfers_taken"] == 1);
    follower.stop().expect("an end");
    let seconds = |metrics: &serde_json::Value| {
        metrics["seconds_without_followers"]
            .as_u64()
            .expect("a count")
    };
    leader.wait_for("the loss of all followers", |metrics| seconds(metrics) > 0);
    leader.declare();
    let declared = seconds(&leader.metrics());
    leader.wait_for("more than the restart grace", |metrics| {
        seconds(metrics) > declared + 4
    });
    assert_eq!(leader.metrics()["members_present"], 4);
    let _follower = follower_place.start_follower(follower_state.path(), place.address);
    leader.wait_for("all members absent", |metrics| {
        metrics["members_present"] == 0
    });
}

/// Acts as the leader of a follower that has a configuration and sends it these lines. Returns the metrics of the
/// follower once it has rejected one.
fn metrics_after_rejection(lines: &[Vec<u8>]) -> serde_json::Value {
    let (place, state) = (
        ReservedAddress::reserve(),
        tempfile::tempdir().expect("a directory"),
    );
    let follower_state = tempfile::tempdir().expect("a directory");
    let leader = place.start_leader(state.path());
    leader.declare();
    let version = leader.write(&entries(0..40, Up));
    let follower_place = ReservedAddress::reserve();
    let follower = follower_place.start_follower(follower_state.path(), place.address);
    follower.wait_for_version(version);
    follower.stop().expect("an end");
    let fake_leader = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = fake_leader.local_addr().expect("an address");
    let follower = follower_place.start_follower(follower_state.path(), address);
    let (mut stream, _) = fake_leader.accept().expect("a follower");
    let mut head = [0; 64];
    stream.read_exact(&mut head).expect("a request");
    // Writes may fail: the follower may close the connection as soon as it rejects a line.
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .ok();
    for line in lines {
        stream
            .write_all(format!("{:x}\r\n", line.len()).as_bytes())
            .ok();
        stream.write_all(&[line, &b"\r\n"[..]].concat()).ok();
    }
    let metrics = follower.wait_for("a rejection", |metrics| {
        metrics["writer_lines_refused"] == 1
    });
    assert_eq!(
        (metrics["version"].as_u64(), metrics["entries"].as_u64()),
        (Some(version), Some(40))
    );
    metrics
}

#[test]
fn invalid_lines_of_a_leader_are_rejected_and_change_nothing() {
    let line = |text: &str| format!("{text}\n").into_bytes();
    let entry_after_gap = entry(7, Draining)
        .trim_end()
        .replace("\"state\"", "\"v\":99,\"state\"");
    metrics_after_rejection(&[line("{\"version\":")]);
    metrics_after_rejection(&[line(&format!(
        "{{\"version\":99,\"full\":false,\"servers\":[{entry_after_gap}]}}"
    ))]);
    metrics_after_rejection(&[line("{\"version\":99,\"full\":false,\"servers\":[]}")]);
    metrics_after_rejection(&[line(
        "{\"version\":9,\"full\":false,\"servers\":[],\"transfer\":\"end\"}",
    )]);
    metrics_after_rejection(&[line(
        "{\"version\":1,\"full\":false,\"log\":\"other\",\"servers\":[]}",
    )]);
    metrics_after_rejection(&[vec![b'a'; 5 * 1024 * 1024]]);
}
