//! The state directory: what survives, and what is refused.

mod common;

use bellsill_directory::line::EndpointState::{Draining, Up};
use common::*;
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// A writer's state directory with a snapshot and a log after it, and the version that it is at.
fn state_with_log(place: &Place) -> (TempDir, u64) {
    let state = tempfile::tempdir().expect("a directory");
    let writer = place.start_writer(state.path());
    writer.declare();
    writer.write(&entries(0..250, Up));
    let version = writer.write(&entry(7, Draining));
    writer.stop().expect("an end");
    (state, version)
}

fn log_file(state: &Path) -> PathBuf {
    state.join("log")
}

fn change(path: &Path, change: impl Fn(&mut Vec<u8>)) {
    let mut bytes = fs::read(path).expect("a file");
    change(&mut bytes);
    fs::write(path, bytes).expect("a written file");
}

fn refusal(place: &Place, state: &Path) -> String {
    place.start_writer(state).ended().expect_err("a refusal")
}

#[test]
fn a_record_cut_short_at_the_end_is_dropped_and_the_versions_go_on() {
    let place = Place::new();
    for cut in [1, 13, 100] {
        let (state, version) = state_with_log(&place);
        change(&log_file(state.path()), |bytes| bytes.truncate(bytes.len() - cut));
        let writer = place.start_writer(state.path());
        assert_eq!(writer.figures()["version"], version - 1);
        assert_eq!(writer.write(&entry(8, Draining)), version);
        writer.stop().expect("an end");
        let writer = place.start_writer(state.path());
        assert_eq!(writer.figures()["version"], version);
    }
}

#[test]
fn empty_bytes_behind_the_log_are_dropped() {
    let place = Place::new();
    let (state, version) = state_with_log(&place);
    change(&log_file(state.path()), |bytes| bytes.extend([0; 4096]));
    let writer = place.start_writer(state.path());
    assert_eq!(writer.figures()["version"], version);
}

#[test]
fn a_damaged_log_is_refused_and_left_as_it_is() {
    let place = Place::new();
    let (state, _) = state_with_log(&place);
    let good = fs::read(log_file(state.path())).expect("a log");
    for offset in [0, 5, 40, good.len() / 2] {
        let mut bad = good.clone();
        bad[offset] ^= 0x10;
        fs::write(log_file(state.path()), &bad).expect("a written file");
        let error = refusal(&place, state.path());
        assert!(error.contains("damaged at byte"), "{offset}: {error}");
        assert_eq!(fs::read(log_file(state.path())).expect("a log"), bad);
    }
}

/// Where the frame that begins here ends.
fn end_of_frame(bytes: &[u8], start: usize) -> usize {
    let length = bytes[start..start + 4].try_into().expect("four bytes");
    start + 12 + u32::from_le_bytes(length) as usize
}

#[test]
fn a_log_without_one_of_its_records_is_refused() {
    let place = Place::new();
    let (state, _) = state_with_log(&place);
    // The first frame names the history, the second is the first record.
    change(&log_file(state.path()), |bytes| {
        let first = end_of_frame(bytes, 0);
        let second = end_of_frame(bytes, first);
        bytes.drain(first..second);
    });
    let error = refusal(&place, state.path());
    assert!(error.contains("does not follow"), "{error}");
}

#[test]
fn records_that_are_there_already_are_passed_over() {
    let place = Place::new();
    let (state, version) = state_with_log(&place);
    change(&log_file(state.path()), |bytes| {
        let records = bytes[end_of_frame(bytes, 0)..].to_vec();
        bytes.extend(records);
    });
    let writer = place.start_writer(state.path());
    assert_eq!(writer.figures()["version"], version);
}

#[test]
fn a_half_snapshot_is_refused() {
    let place = Place::new();
    let (state, _) = state_with_log(&place);
    let snapshot = state.path().join("snapshot");
    let good = fs::read(&snapshot).expect("a snapshot");
    for length in [good.len() / 2, good.len() - 1, 5] {
        fs::write(&snapshot, &good[..length]).expect("a written file");
        let error = refusal(&place, state.path());
        assert!(error.contains("it ends in the middle"), "{length}: {error}");
    }
    fs::write(&snapshot, b"").expect("a written file");
    assert!(refusal(&place, state.path()).contains("its end is missing"));
}

#[test]
fn a_snapshot_that_was_not_finished_is_passed_over() {
    let place = Place::new();
    let (state, version) = state_with_log(&place);
    fs::write(state.path().join("snapshot.new"), b"half").expect("a written file");
    let writer = place.start_writer(state.path());
    assert_eq!(writer.figures()["version"], version);
}

#[test]
fn another_layout_and_a_second_process_are_refused() {
    let place = Place::new();
    let (state, _) = state_with_log(&place);
    let other = place.start(state.path(), "role = \"writer\"", "").stop();
    other.expect("the same layout");
    let text = config_text(place.address, state.path(), "role = \"writer\"", "");
    let text = text.replace("buckets_per_region = 8", "buckets_per_region = 16");
    let config = bellsill_controlplane::Config::parse(&text).expect("a configuration");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let (wake, _waker) = std::os::unix::net::UnixStream::pair().expect("a pair of sockets");
    let stop = bellsill_controlplane::Stop { wake, requested: Default::default() };
    let error = bellsill_controlplane::process::run_on(listener, config, stop).expect_err("a refusal");
    assert!(error.to_string().contains("buckets_per_region"), "{error}");
    let first = place.start_writer(state.path());
    first.wait_for_version(1);
    let error = refusal(&Place::new(), state.path());
    assert!(error.contains("another control process"), "{error}");
}
