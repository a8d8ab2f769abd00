//! The state directory: what is recovered, and what is rejected. Every kind of damage is in the tests of bellsill-config-log.

use bellsill_config_log::ConfigLog;
use bellsill_directory::entry::Endpoint;
use bellsill_directory::line::EndpointState::{Draining, Up};
use bellsill_directory::line::{EndpointEntry, Version};
use bellsill_directory::record::{self, LoggedRecord, Record};
use bellsill_test_support::control_process::{Place, config_text};
use bellsill_test_support::endpoint_lines::{entries, entry};
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// A leader's state directory with a snapshot and a log after it, and the version that it is at.
fn state_with_log(place: &Place) -> (TempDir, u64) {
    let state = tempfile::tempdir().expect("a directory");
    let leader = place.start_leader(state.path());
    leader.declare();
    leader.write(&entries(0..250, Up));
    let version = leader.write(&entry(7, Draining));
    leader.stop().expect("an end");
    (state, version)
}

/// The files of this kind, in the order of their names.
fn files(state: &Path, kind: &str) -> Vec<PathBuf> {
    let files = fs::read_dir(state)
        .expect("a directory")
        .map(|file| file.expect("a file").path());
    let is_kind = |path: &PathBuf| {
        path.file_name()
            .is_some_and(|name| name.to_string_lossy().starts_with(kind))
    };
    let mut of_kind: Vec<PathBuf> = files.filter(is_kind).collect();
    of_kind.sort();
    of_kind
}

fn file(state: &Path, kind: &str) -> PathBuf {
    files(state, kind).pop().expect("a file")
}

fn log_file(state: &Path) -> PathBuf {
    file(state, "log.")
}

fn change(path: &Path, change: impl Fn(&mut Vec<u8>)) {
    let mut bytes = fs::read(path).expect("a file");
    change(&mut bytes);
    fs::write(path, bytes).expect("a written file");
}

fn start_error(place: &Place, state: &Path) -> String {
    place.start_leader(state).ended().expect_err("an error")
}

#[test]
fn an_incomplete_last_record_is_dropped_and_its_version_is_used_again() {
    let place = Place::reserve();
    for cut in [1, 13, 100] {
        let (state, version) = state_with_log(&place);
        change(&log_file(state.path()), |bytes| {
            bytes.truncate(bytes.len() - cut)
        });
        let leader = place.start_leader(state.path());
        let metrics = leader.metrics();
        assert_eq!(metrics["version"], version - 1);
        assert!(metrics["torn_bytes"].as_u64() > Some(0));
        assert_eq!(leader.write(&entry(8, Draining)), version);
        leader.stop().expect("an end");
        let leader = place.start_leader(state.path());
        assert_eq!(leader.metrics()["version"], version);
    }
}

#[test]
fn zero_bytes_after_the_log_are_dropped() {
    let place = Place::reserve();
    let (state, version) = state_with_log(&place);
    change(&log_file(state.path()), |bytes| bytes.extend([0; 4096]));
    let leader = place.start_leader(state.path());
    assert_eq!(leader.metrics()["version"], version);
}

#[test]
fn a_damaged_log_is_rejected_and_left_unchanged() {
    let place = Place::reserve();
    let (state, _) = state_with_log(&place);
    let good = fs::read(log_file(state.path())).expect("a log");
    for offset in [0, 5, 40, good.len() / 2] {
        let mut bad = good.clone();
        bad[offset] ^= 0x10;
        fs::write(log_file(state.path()), &bad).expect("a written file");
        let error = start_error(&place, state.path());
        assert!(error.contains("damaged at byte"), "{offset}: {error}");
        assert_eq!(fs::read(log_file(state.path())).expect("a log"), bad);
    }
}

/// Adds a record to a log, as a faulty process would.
fn add_record(state: &Path, payload: &[u8]) {
    let mut log = ConfigLog::open(state).expect("a log").log;
    log.append(log.last_index() + 1, payload)
        .expect("an appended record");
    log.sync().expect("a synced record");
}

#[test]
fn records_that_cannot_be_decoded_or_do_not_follow_are_rejected() {
    let place = Place::reserve();
    let (state, version) = state_with_log(&place);
    for skipped in [0, 2] {
        let (state, version) = state_with_log(&place);
        let endpoint: EndpointEntry = serde_json::from_str(&entry(8, Draining)).expect("an entry");
        let endpoint = Endpoint::try_from(endpoint).expect("an endpoint");
        let record = Record::EndpointsChanged(vec![endpoint]);
        let logged = LoggedRecord {
            version: Version(version + skipped),
            record,
        };
        add_record(state.path(), &record::encode(&logged));
        let error = start_error(&place, state.path());
        assert!(error.contains("does not follow"), "{error}");
    }
    add_record(state.path(), b"{\"version\":1}");
    let error = start_error(&place, state.path());
    assert!(
        error.contains("is refused: a record that cannot be decoded"),
        "version {version}: {error}"
    );
}

#[test]
fn a_truncated_only_snapshot_is_rejected() {
    let place = Place::reserve();
    let (state, _) = state_with_log(&place);
    let snapshot = file(state.path(), "snapshot.");
    let good = fs::read(&snapshot).expect("a snapshot");
    for length in [good.len() / 2, good.len() - 1, 5, 0] {
        fs::write(&snapshot, &good[..length]).expect("a written file");
        let log = fs::read(log_file(state.path())).expect("a log");
        let error = start_error(&place, state.path());
        assert!(error.contains("snapshot"), "{length}: {error}");
        assert_eq!(
            fs::read(log_file(state.path())).expect("a log"),
            log,
            "nothing is changed"
        );
    }
    // Without any log it must not be taken for an empty directory.
    for log in files(state.path(), "log.") {
        fs::remove_file(log).expect("a log");
    }
    let error = start_error(&place, state.path());
    assert!(error.contains("there is no other snapshot"), "{error}");
}

#[test]
fn an_unfinished_snapshot_is_ignored_and_counted() {
    let place = Place::reserve();
    let (state, version) = state_with_log(&place);
    fs::write(state.path().join("snapshot.99.tmp"), b"half").expect("a written file");
    let leader = place.start_leader(state.path());
    let metrics = leader.metrics();
    assert_eq!(
        (
            metrics["version"].as_u64(),
            metrics["rejected_snapshots"].as_u64()
        ),
        (Some(version), Some(1))
    );
}

#[test]
fn another_layout_and_a_second_process_are_rejected() {
    let place = Place::reserve();
    let (state, _) = state_with_log(&place);
    let other = place.start(state.path(), "role = \"writer\"", "").stop();
    other.expect("the same layout");
    let text = config_text(place.address, state.path(), "role = \"writer\"", "");
    let text = text.replace("buckets_per_region = 8", "buckets_per_region = 16");
    let config = bellsill_control_plane::Config::parse(&text).expect("a configuration");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let (wake, _waker) = std::os::unix::net::UnixStream::pair().expect("a pair of sockets");
    let stop = bellsill_control_plane::Stop {
        wake,
        requested: Default::default(),
    };
    let error =
        bellsill_control_plane::process::run_on(listener, config, stop).expect_err("an error");
    assert!(error.to_string().contains("buckets_per_region"), "{error}");
    let first = place.start_leader(state.path());
    first.wait_for_version(1);
    let error = start_error(&Place::reserve(), state.path());
    assert!(error.contains("in use by another process"), "{error}");
}
