//! What a process recovers from its state directory and what it rejects. The tests of bellsill-config-log cover every
//! kind of damage.

use bellsill_config_log::ConfigLog;
use bellsill_directory::entry::Endpoint;
use bellsill_directory::line::EndpointState::{Draining, Up};
use bellsill_directory::line::{EndpointEntry, Version};
use bellsill_directory::record::{self, LoggedRecord, Record};
use bellsill_test_support::control_process::{ReservedAddress, config_text};
use bellsill_test_support::endpoint_lines::{entries, entry};
use std::fs;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// A leader's state directory with a snapshot and a log after it, and its version.
fn state_with_log(place: &ReservedAddress) -> (TempDir, u64) {
    let state = tempfile::tempdir().expect("a directory");
    let leader = place.start_leader(state.path());
    leader.declare();
    leader.write(&entries(0..250, Up));
    let version = leader.write(&entry(7, Draining));
    leader.stop().expect("an end");
    (state, version)
}

/// The files whose names start with this prefix, sorted by name.
fn files(state: &Path, prefix: &str) -> Vec<PathBuf> {
    let files = fs::read_dir(state)
        .expect("a directory")
        .map(|file| file.expect("a file").path());
    let has_prefix = |path: &PathBuf| {
        path.file_name()
            .is_some_and(|name| name.to_string_lossy().starts_with(prefix))
    };
    let mut matching: Vec<PathBuf> = files.filter(has_prefix).collect();
    matching.sort();
    matching
}

fn last_file(state: &Path, prefix: &str) -> PathBuf {
    files(state, prefix).pop().expect("a file")
}

fn log_file(state: &Path) -> PathBuf {
    last_file(state, "log.")
}

fn modify_file(path: &Path, modify: impl Fn(&mut Vec<u8>)) {
    let mut bytes = fs::read(path).expect("a file");
    modify(&mut bytes);
    fs::write(path, bytes).expect("a written file");
}

fn start_error(place: &ReservedAddress, state: &Path) -> String {
    place
        .start_leader(state)
        .wait_for_exit()
        .expect_err("an error")
}

#[test]
fn an_incomplete_last_record_is_dropped_and_its_version_is_used_again() {
    let place = ReservedAddress::reserve();
    for cut in [1, 13, 100] {
        let (state, version) = state_with_log(&place);
        modify_file(&log_file(state.path()), |bytes| {
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
    let place = ReservedAddress::reserve();
    let (state, version) = state_with_log(&place);
    modify_file(&log_file(state.path()), |bytes| bytes.extend([0; 4096]));
    let leader = place.start_leader(state.path());
    assert_eq!(leader.metrics()["version"], version);
}

#[test]
fn a_damaged_log_is_rejected_and_left_unchanged() {
    let place = ReservedAddress::reserve();
    let (state, _) = state_with_log(&place);
    let intact = fs::read(log_file(state.path())).expect("a log");
    for offset in [0, 5, 40, intact.len() / 2] {
        let mut damaged = intact.clone();
        damaged[offset] ^= 0x10;
        fs::write(log_file(state.path()), &damaged).expect("a written file");
        let error = start_error(&place, state.path());
        assert!(error.contains("damaged at byte"), "{offset}: {error}");
        assert_eq!(fs::read(log_file(state.path())).expect("a log"), damaged);
    }
}

/// Appends a record to the log without validating it.
fn append_record(state: &Path, payload: &[u8]) {
    let mut log = ConfigLog::open(state).expect("a log").log;
    log.append(log.last_index() + 1, payload)
        .expect("an appended record");
    log.sync().expect("a synced record");
}

#[test]
fn records_that_cannot_be_decoded_or_applied_are_rejected() {
    let place = ReservedAddress::reserve();
    let (state, version) = state_with_log(&place);
    for version_offset in [0, 2] {
        let (state, version) = state_with_log(&place);
        let endpoint: EndpointEntry = serde_json::from_str(&entry(8, Draining)).expect("an entry");
        let endpoint = Endpoint::try_from(endpoint).expect("an endpoint");
        let record = Record::EndpointsChanged(vec![endpoint]);
        let logged = LoggedRecord {
            version: Version(version + version_offset),
            record,
        };
        append_record(state.path(), &record::encode(&logged));
        let error = start_error(&place, state.path());
        assert!(
            error.contains("cannot be applied to the preceding configuration"),
            "{error}"
        );
    }
    append_record(state.path(), b"{\"version\":1}");
    let error = start_error(&place, state.path());
    assert!(
        error.contains("is invalid: a record that cannot be decoded"),
        "version {version}: {error}"
    );
}

#[test]
fn a_truncated_snapshot_without_another_is_rejected() {
    let place = ReservedAddress::reserve();
    let (state, _) = state_with_log(&place);
    let snapshot = last_file(state.path(), "snapshot.");
    let intact = fs::read(&snapshot).expect("a snapshot");
    for length in [intact.len() / 2, intact.len() - 1, 5, 0] {
        fs::write(&snapshot, &intact[..length]).expect("a written file");
        let log = fs::read(log_file(state.path())).expect("a log");
        let error = start_error(&place, state.path());
        assert!(error.contains("snapshot"), "{length}: {error}");
        assert_eq!(
            fs::read(log_file(state.path())).expect("a log"),
            log,
            "the log was changed"
        );
    }
    // Without a log, the directory must not be treated as empty.
    for log in files(state.path(), "log.") {
        fs::remove_file(log).expect("a log");
    }
    let error = start_error(&place, state.path());
    assert!(error.contains("there is no other snapshot"), "{error}");
}

#[test]
fn an_unfinished_snapshot_is_ignored_and_counted() {
    let place = ReservedAddress::reserve();
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
fn a_different_layout_and_a_second_process_are_rejected() {
    let place = ReservedAddress::reserve();
    let (state, _) = state_with_log(&place);
    let restarted = place.start(state.path(), "role = \"writer\"", "").stop();
    restarted.expect("the same layout");
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
    let error = start_error(&ReservedAddress::reserve(), state.path());
    assert!(error.contains("in use by another process"), "{error}");
}
