//! Restarts, followers, and what a follower does with a writer that makes no sense.

mod common;

use bellsill_directory::line::EndpointState::{Draining, Up};
use common::*;
use std::io::{Read, Write};
use std::net::TcpListener;

#[test]
fn a_writer_that_was_stopped_goes_on_with_its_versions() {
    let (place, state) = (Place::new(), tempfile::tempdir().expect("a directory"));
    let writer = place.start_writer(state.path());
    writer.declare();
    let version = writer.write(&entries(0..250, Up));
    let mut watch = Watch::open(place.address, "since=0&dispatcher=north-a");
    let log = watch.until_filled(8)[0].log.clone();
    writer.stop().expect("an end");
    let writer = place.start_writer(state.path());
    assert_eq!(writer.figures()["version"], version);
    assert_eq!(writer.figures()["entries"], 250);
    assert_eq!(writer.write(&entry(7, Draining)), version + 1);
    let query = format!("since={version}&log={log}&dispatcher=north-a&buckets=0,1,2,3,4,5,6,7");
    let mut watch = Watch::open(place.address, &query);
    let first = watch.next().expect("a line");
    assert!(first.gained.is_empty() && first.log == log);
    assert_eq!(ids(&[first]), ["endpoint-7"]);
    assert_eq!(writer.figures()["watches_told_anew"], 0);
}

#[test]
fn a_follower_answers_as_the_writer_does_and_takes_no_writes() {
    let (place, state) = (Place::new(), tempfile::tempdir().expect("a directory"));
    let (follower_place, follower_state) =
        (Place::new(), tempfile::tempdir().expect("a directory"));
    let writer = place.start_writer(state.path());
    writer.declare();
    let version = writer.write(&entries(0..40, Up));
    let follower = follower_place.start_follower(follower_state.path(), place.address);
    follower.wait_for_version(version);
    let mut watch = Watch::open(follower_place.address, "since=0&dispatcher=north-a");
    assert_eq!(ids(&watch.until_filled(8)).len(), 40);
    writer.write(&entry(7, Draining));
    assert_eq!(
        ids(&watch.until(|line| !line.servers.is_empty())),
        ["endpoint-7"]
    );
    let (status, answer) = request(
        follower_place.address,
        "POST",
        "/api/targets",
        &entry(8, Draining),
    );
    assert_eq!(
        (status, answer["writer"].as_str()),
        (421, Some(place.address.to_string().as_str()))
    );
}

#[test]
fn a_follower_that_was_cut_off_catches_up_without_a_transfer() {
    let (place, state) = (Place::new(), tempfile::tempdir().expect("a directory"));
    let (follower_place, follower_state) =
        (Place::new(), tempfile::tempdir().expect("a directory"));
    let writer = place.start_writer(state.path());
    writer.declare();
    let version = writer.write(&entries(0..40, Up));
    let follower = follower_place.start_follower(follower_state.path(), place.address);
    assert_eq!(follower.wait_for_version(version)["transfers_taken"], 1);
    follower.stop().expect("an end");
    let version = writer.write(&entries(0..400, Draining));
    let follower = follower_place.start_follower(follower_state.path(), place.address);
    assert_eq!(follower.wait_for_version(version)["transfers_taken"], 0);
    assert_eq!(follower.figures()["entries"], 400);
    // The writer goes and comes: the follower goes on from where it is.
    writer.stop().expect("an end");
    let writer = place.start_writer(state.path());
    let version = writer.write(&entries(0..40, Up));
    assert_eq!(follower.wait_for_version(version)["transfers_taken"], 0);
}

#[test]
fn a_follower_answers_without_the_writer_also_after_its_own_restart() {
    let (place, state) = (Place::new(), tempfile::tempdir().expect("a directory"));
    let (follower_place, follower_state) =
        (Place::new(), tempfile::tempdir().expect("a directory"));
    let follower = follower_place.start_follower(follower_state.path(), place.address);
    let (status, _) = request(
        follower_place.address,
        "GET",
        "/api/targets?follow=1&dispatcher=north-a",
        "",
    );
    assert_eq!(status, 503, "it has no configuration yet");
    let writer = place.start_writer(state.path());
    writer.declare();
    let version = writer.write(&entries(0..40, Up));
    follower.wait_for_version(version);
    writer.stop().expect("an end");
    follower.stop().expect("an end");
    let _follower = follower_place.start_follower(follower_state.path(), place.address);
    let mut watch = Watch::open(follower_place.address, "since=0&dispatcher=north-a");
    assert_eq!(ids(&watch.until_filled(8)).len(), 40);
}

#[test]
fn a_follower_of_another_history_takes_it_whole_and_tells_it_anew() {
    let (place, state) = (Place::new(), tempfile::tempdir().expect("a directory"));
    let (follower_place, follower_state) =
        (Place::new(), tempfile::tempdir().expect("a directory"));
    let writer = place.start_writer(state.path());
    writer.declare();
    let version = writer.write(&entries(0..40, Up));
    let follower = follower_place.start_follower(follower_state.path(), place.address);
    follower.wait_for_version(version);
    let mut watch = Watch::open(follower_place.address, "since=0&dispatcher=north-a");
    let log = watch.until_filled(8)[0].log.clone();
    writer.stop().expect("an end");
    let other_state = tempfile::tempdir().expect("a directory");
    let writer = place.start_writer(other_state.path());
    writer.declare();
    writer.write(&entries(100..110, Up));
    follower.wait_for("the other history", |figures| figures["entries"] == 10);
    while watch.next().is_some() {}
    let query = format!("since={version}&log={log}&dispatcher=north-a&buckets=0,1,2,3,4,5,6,7");
    let mut watch = Watch::open(follower_place.address, &query);
    let lines = watch.until_filled(8);
    assert_eq!(lines[0].gained.len(), 8);
    assert_ne!(lines[0].log, log);
    assert_eq!(ids(&lines).len(), 10);
}

#[test]
fn a_member_that_nobody_has_the_watch_of_is_taken_out_until_it_returns() {
    let (place, state) = (Place::new(), tempfile::tempdir().expect("a directory"));
    let (follower_place, follower_state) =
        (Place::new(), tempfile::tempdir().expect("a directory"));
    let writer = place.start(
        state.path(),
        "role = \"writer\"",
        "restart_grace_seconds = 3",
    );
    writer.declare();
    let follower = follower_place.start_follower(follower_state.path(), place.address);
    follower.wait_for("a configuration", |figures| figures["transfers_taken"] == 1);
    let mut at_writer = Watch::open(place.address, "since=0&dispatcher=north-a");
    let mut at_follower = Watch::open(follower_place.address, "since=0&dispatcher=north-b");
    let figures = writer.wait_for("two to be taken out", |figures| {
        figures["members_present"] == 2
    });
    assert_eq!(figures["members"], 4);
    at_writer.until_filled(8);
    at_follower.until_filled(8);
    let epoch = writer.figures()["epoch"].as_u64().expect("an epoch");
    let mut returned = Watch::open(place.address, "since=0&dispatcher=south-a");
    let lines = returned.until(|line| !line.gained.is_empty());
    assert!(
        lines
            .last()
            .and_then(|line| line.epoch)
            .is_some_and(|told| told.0 > epoch)
    );
    returned.until_filled(8);
    writer.wait_for("three to be present", |figures| {
        figures["members_present"] == 3
    });
}

#[test]
fn a_writer_that_lost_all_its_followers_takes_nobody_out_until_one_returns() {
    let (place, state) = (Place::new(), tempfile::tempdir().expect("a directory"));
    let (follower_place, follower_state) =
        (Place::new(), tempfile::tempdir().expect("a directory"));
    let writer = place.start(
        state.path(),
        "role = \"writer\"",
        "restart_grace_seconds = 2",
    );
    let follower = follower_place.start_follower(follower_state.path(), place.address);
    follower.wait_for("a configuration", |figures| figures["transfers_taken"] == 1);
    follower.stop().expect("an end");
    let seconds = |figures: &serde_json::Value| {
        figures["seconds_without_followers"]
            .as_u64()
            .expect("a count")
    };
    writer.wait_for("the loss", |figures| seconds(figures) > 0);
    writer.declare();
    let declared = seconds(&writer.figures());
    writer.wait_for("more than the grace", |figures| {
        seconds(figures) > declared + 4
    });
    assert_eq!(writer.figures()["members_present"], 4);
    let _follower = follower_place.start_follower(follower_state.path(), place.address);
    writer.wait_for("the absent to be taken out", |figures| {
        figures["members_present"] == 0
    });
}

/// What a follower makes of an answer of the writer, after it has the configuration: the figures once it refused.
fn refused_by_follower(lines: &[Vec<u8>]) -> serde_json::Value {
    let (place, state) = (Place::new(), tempfile::tempdir().expect("a directory"));
    let follower_state = tempfile::tempdir().expect("a directory");
    let writer = place.start_writer(state.path());
    writer.declare();
    let version = writer.write(&entries(0..40, Up));
    let follower_place = Place::new();
    let follower = follower_place.start_follower(follower_state.path(), place.address);
    follower.wait_for_version(version);
    follower.stop().expect("an end");
    let impostor = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = impostor.local_addr().expect("an address");
    let follower = follower_place.start_follower(follower_state.path(), address);
    let (mut stream, _) = impostor.accept().expect("a follower");
    let mut head = [0; 64];
    stream.read_exact(&mut head).expect("a request");
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for line in lines {
        let _ = stream.write_all(format!("{:x}\r\n", line.len()).as_bytes());
        let _ = stream.write_all(&[line, &b"\r\n"[..]].concat());
    }
    let figures = follower.wait_for("a refusal", |figures| figures["writer_lines_refused"] == 1);
    assert_eq!(
        (figures["version"].as_u64(), figures["entries"].as_u64()),
        (Some(version), Some(40))
    );
    figures
}

#[test]
fn lines_of_a_writer_that_make_no_sense_change_nothing() {
    let line = |text: &str| format!("{text}\n").into_bytes();
    let gap = entry(7, Draining)
        .trim_end()
        .replace("\"state\"", "\"v\":99,\"state\"");
    refused_by_follower(&[line("{\"version\":")]);
    refused_by_follower(&[line(&format!(
        "{{\"version\":99,\"full\":false,\"servers\":[{gap}]}}"
    ))]);
    refused_by_follower(&[line("{\"version\":99,\"full\":false,\"servers\":[]}")]);
    refused_by_follower(&[line(
        "{\"version\":9,\"full\":false,\"servers\":[],\"transfer\":\"end\"}",
    )]);
    refused_by_follower(&[line(
        "{\"version\":1,\"full\":false,\"log\":\"other\",\"servers\":[]}",
    )]);
    refused_by_follower(&[vec![b'a'; 5 * 1024 * 1024]]);
}
