//! The log and the snapshot that an earlier version (commit c1890ee) wrote can be read.

use bellsill_directory::line::EndpointState;
use bellsill_test_support::control_client::Watch;
use bellsill_test_support::control_process::ReservedAddress;
use bellsill_test_support::endpoint_lines::entry;
use std::path::Path;

/// A state directory with the files of that version: a snapshot and a log with five records after it.
fn copy_fixture() -> tempfile::TempDir {
    let state = tempfile::tempdir().expect("a directory");
    let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/control-state");
    for file in std::fs::read_dir(fixture).expect("the fixture") {
        let file = file.expect("a file");
        std::fs::copy(file.path(), state.path().join(file.file_name())).expect("a copy");
    }
    state
}

#[test]
fn a_snapshot_and_the_log_after_it_are_read() {
    let place = ReservedAddress::reserve();
    let state = copy_fixture();
    let leader = place.start_leader(state.path());
    let metrics = leader.metrics();
    for (name, value) in [("version", 5), ("entries", 6), ("epoch", 1), ("members", 4)] {
        assert_eq!(metrics[name], value, "{name}");
    }
    assert_eq!(metrics["torn_bytes"], 0);
    assert_eq!(metrics["rejected_snapshots"], 0);
    let mut watch = Watch::open(leader.address, "since=0&dispatcher=north-a");
    let lines = watch.until_filled(8);
    assert_eq!(lines[0].log, "d6150c8254e0c9af");
    let entries = lines.iter().flat_map(|line| &line.servers);
    let mut states: Vec<(String, EndpointState, u64)> = entries
        .map(|entry| (entry.id.clone(), entry.state, entry.version.0))
        .collect();
    states.sort_by(|a, b| a.0.cmp(&b.0));
    let up = |id: &str| (id.to_string(), EndpointState::Up, 3);
    assert_eq!(
        states,
        [
            up("endpoint-0"),
            up("endpoint-1"),
            up("endpoint-3"),
            ("endpoint-4".to_string(), EndpointState::Draining, 5),
            up("endpoint-5"),
        ]
    );
    assert_eq!(leader.write(&entry(6, EndpointState::Up)), 6);
}
