//! Tests of the lines sent to watchers: first lines, changes, fills, moved buckets and transfers.

use crate::installation::{
    BUCKETS_PER_REGION, ControlFixture, SECOND, endpoint, entries_sent, layout, member, watch,
};
use bellsill_directory::complete_line::{CompleteLine, TransferStep};
use bellsill_directory::entry::Endpoint;
use bellsill_directory::feed::{FILL_RATE, LineKind};
use bellsill_directory::line::{EndpointState, Version};
use bellsill_directory::record::Record;
use bellsill_directory::request::{LookUpRequest, TargetsRequest};
use bellsill_directory::state::{LogId, Restore, RestorePoint, Retention};
use bellsill_directory::watchers::{WatchRejected, Watchers};
use std::collections::BTreeSet;

const INITIAL_WATCH: &str = "follow=1&since=0&dispatcher=north-a";

fn control_with_endpoints() -> ControlFixture {
    let mut control = ControlFixture::new(Retention::default());
    control.write_endpoints(0..40, EndpointState::Up);
    control
}

#[test]
fn an_initial_watch_gains_and_fills_every_bucket_of_the_dispatcher() {
    let mut control = control_with_endpoints();
    let mut watcher = control.open(INITIAL_WATCH);
    let lines = control.read(&mut watcher);
    assert_eq!(lines[0].log, "feed");
    assert_eq!(lines[0].epoch, Some(control.directory.epoch()));
    assert_eq!(lines[0].gained.len(), BUCKETS_PER_REGION as usize);
    assert!(lines[0].servers.is_empty(), "entries are sent by fills");
    assert_eq!(watcher.filled, control.directory.held_by(&"north-a".into()));
    assert_eq!(watcher.entries.len(), 40);
    assert_eq!(watcher.version, control.directory.version());
}

#[test]
fn a_dispatcher_is_not_sent_endpoints_of_another_region() {
    let mut control = control_with_endpoints();
    let mut watcher = control.open("follow=1&since=0&dispatcher=south-a");
    let lines = control.read(&mut watcher);
    assert_eq!(entries_sent(&lines), Vec::<String>::new());
    control.write_endpoint(7, EndpointState::Draining);
    assert!(entries_sent(&control.read(&mut watcher)).is_empty());
}

#[test]
fn a_change_is_sent_once_and_before_fills() {
    let mut control = control_with_endpoints();
    let mut watcher = control.open(INITIAL_WATCH);
    control.write_endpoint(7, EndpointState::Draining);
    let lines = control.read(&mut watcher);
    let change = lines
        .iter()
        .position(|line| entries_sent(std::slice::from_ref(line)) == ["endpoint-7"]);
    let filling = lines.iter().position(|line| !line.filled.is_empty());
    assert!(change < filling, "{change:?} {filling:?}");
    assert_eq!(
        entries_sent(&lines).len(),
        40,
        "the fill omits entries that were sent as changes"
    );
    control.write_endpoint(8, EndpointState::Removed);
    assert_eq!(entries_sent(&control.read(&mut watcher)), ["endpoint-8"]);
    assert!(control.read(&mut watcher).is_empty());
}

#[test]
fn a_resumed_watch_is_sent_only_the_changes_after_since() {
    let mut control = control_with_endpoints();
    let mut watcher = control.open(INITIAL_WATCH);
    control.read(&mut watcher);
    control.watchers.close(watcher.id);
    control.write_endpoint(3, EndpointState::Draining);
    control.write_endpoint(3, EndpointState::Removed);
    control.write_endpoint(50, EndpointState::Up);
    let mut resumed = control.open(&watcher.resume_query("north-a", "feed"));
    let lines = control.read(&mut resumed);
    assert!(lines[0].gained.is_empty() && lines[0].lost.is_empty());
    assert_eq!(entries_sent(&lines), ["endpoint-3", "endpoint-50"]);
    assert_eq!(resumed.entries["endpoint-3"].0, EndpointState::Removed);
}

#[test]
fn a_watch_interrupted_during_a_fill_resumes_with_the_remaining_buckets() {
    let mut control = ControlFixture::new(Retention::default());
    control.write_endpoints(0..900, EndpointState::Up);
    let mut watcher = control.open(INITIAL_WATCH);
    while watcher.filled.len() < 4 {
        let line = control
            .watchers
            .next_line(watcher.id, &control.directory, control.now);
        match line.filter(|line| line.kind != LineKind::Heartbeat) {
            Some(line) => drop(watcher.read_line(&line.bytes)),
            None => control.now += SECOND / 10,
        }
    }
    let filled = watcher.filled.clone();
    let mut resumed = control.open(&watcher.resume_query("north-a", "feed"));
    let lines = control.read(&mut resumed);
    let gained: BTreeSet<_> = lines[0].gained.iter().copied().collect();
    assert!(gained.is_disjoint(&filled));
    assert_eq!(gained.len() + filled.len(), BUCKETS_PER_REGION as usize);
}

#[test]
fn a_watch_of_another_log_is_sent_everything_and_loses_buckets_not_held() {
    let mut control = control_with_endpoints();
    let outside_buckets = Endpoint {
        zone: "south-1".into(),
        ..endpoint(70, EndpointState::Up)
    };
    control.write(Record::EndpointsChanged(vec![outside_buckets]));
    let mut watcher =
        control.open("follow=1&since=90000&log=another&dispatcher=north-a&buckets=0,1,15&cells=70");
    let lines = control.read(&mut watcher);
    assert_eq!(lines[0].gained.len(), BUCKETS_PER_REGION as usize);
    assert_eq!(
        lines[0]
            .lost
            .iter()
            .map(|bucket| bucket.0)
            .collect::<Vec<_>>(),
        [15]
    );
    assert_eq!(
        entries_sent(&lines[..1]),
        ["endpoint-70"],
        "the cached destination is on the first line"
    );
    assert_eq!(watcher.filled.len(), BUCKETS_PER_REGION as usize);
}

#[test]
fn moved_buckets_are_lost_gained_and_filled() {
    let mut control = control_with_endpoints();
    let mut remaining = control.open("follow=1&since=0&dispatcher=north-a");
    let mut other_remaining = control.open("follow=1&since=0&dispatcher=north-b");
    control.read(&mut remaining);
    control.read(&mut other_remaining);
    control.write(Record::MembersChanged(vec![member("north-c", "north-1")]));
    control.assign();
    let mut added = control.open("follow=1&since=0&dispatcher=north-c");
    let lines = control.read(&mut remaining);
    assert_eq!(lines.len(), 1);
    assert!(!lines[0].lost.is_empty() && lines[0].gained.is_empty());
    assert_eq!(lines[0].epoch, Some(control.directory.epoch()));
    control.read(&mut added);
    assert_eq!(added.filled, lines[0].lost.iter().copied().collect());
    // Once the added member is absent, its buckets move back; the fill includes the change made in the meantime.
    let moved = control.directory.entries().in_bucket(lines[0].lost[0])[0];
    let number = control
        .directory
        .entries()
        .destination(moved)
        .expect("an endpoint");
    let changed = control.write_endpoint(number, EndpointState::Draining);
    let absent = bellsill_placement::Member {
        present: false,
        ..member("north-c", "north-1")
    };
    control.write(Record::MembersChanged(vec![absent]));
    control.assign();
    let id = format!("endpoint-{number}");
    remaining.entries.clear();
    let lines = control.read(&mut remaining);
    assert!(!lines[0].gained.is_empty() && lines[0].lost.is_empty());
    assert_eq!(remaining.entries[&id], (EndpointState::Draining, changed));
    assert_eq!(
        remaining.filled,
        control.directory.held_by(&"north-a".into())
    );
}

#[test]
fn a_pending_change_in_a_lost_bucket_is_not_sent() {
    let mut control = control_with_endpoints();
    let mut remaining = control.open(INITIAL_WATCH);
    control.read(&mut remaining);
    control.write_endpoints(0..40, EndpointState::Draining);
    control.write(Record::MembersChanged(vec![member("north-c", "north-1")]));
    control.assign();
    let held = control.directory.held_by(&"north-a".into());
    let sent = entries_sent(&control.read(&mut remaining));
    assert!(!sent.is_empty() && sent.len() < 40);
    for id in sent {
        let index = control.directory.entries().find(&id).expect("an endpoint");
        assert!(
            held.contains(&control.directory.entries().bucket(index).expect("a bucket")),
            "{id}"
        );
    }
}

#[test]
fn a_watch_resumed_before_purged_removals_is_sent_everything() {
    let mut control = ControlFixture::new(Retention {
        changes: 10,
        removed: 5,
    });
    control.write_endpoints(0..40, EndpointState::Up);
    let mut watcher = control.open(INITIAL_WATCH);
    control.read(&mut watcher);
    control.watchers.close(watcher.id);
    control.write_endpoints(0..10, EndpointState::Removed);
    assert!(control.directory.forgotten() > watcher.version);
    let mut resumed = control.open(&watcher.resume_query("north-a", "feed"));
    let lines = control.read(&mut resumed);
    assert_eq!(lines[0].gained.len(), BUCKETS_PER_REGION as usize);
    assert_eq!(resumed.entries.len(), 30);
}

#[test]
fn a_slow_watcher_is_sent_everything_after_unsent_removals_are_purged() {
    let mut control = ControlFixture::new(Retention {
        changes: 10,
        removed: 5,
    });
    control.write_endpoints(0..40, EndpointState::Up);
    let mut watcher = control.open(INITIAL_WATCH);
    control.read(&mut watcher);
    control.write_endpoints(0..10, EndpointState::Removed);
    watcher.entries.clear();
    let lines = control.read(&mut watcher);
    assert_eq!(lines[0].gained.len(), BUCKETS_PER_REGION as usize);
    assert_eq!(watcher.entries.len(), 30);
}

#[test]
fn a_burst_of_changes_is_sent_in_bounded_lines_with_increasing_versions() {
    let mut control = control_with_endpoints();
    let mut watcher = control.open(INITIAL_WATCH);
    control.read(&mut watcher);
    control.write_endpoints(0..6000, EndpointState::Draining);
    let lines = control.read(&mut watcher);
    assert!(lines.len() > 10);
    assert_eq!(entries_sent(&lines).len(), 6000);
    assert!(
        lines
            .windows(2)
            .all(|pair| pair[0].version < pair[1].version)
    );
    assert_eq!(watcher.version, control.directory.version());
}

#[test]
fn fills_stay_within_the_rate_limit() {
    let mut control = ControlFixture::new(Retention::default());
    control.write_endpoints(0..2000, EndpointState::Up);
    let watcher = control.open(INITIAL_WATCH);
    let (mut bytes, start) = (0, control.now);
    while control.now < start + 10 * SECOND {
        while let Some(line) =
            control
                .watchers
                .next_line(watcher.id, &control.directory, control.now)
        {
            bytes += if line.kind == LineKind::Fill {
                line.bytes.len() as u64
            } else {
                0
            };
        }
        control.now += SECOND / 10;
    }
    let most = FILL_RATE.burst_bytes + 10 * FILL_RATE.bytes_per_second + 16 * 1024;
    assert!(bytes <= most, "{bytes} bytes");
    assert!(bytes >= 10 * FILL_RATE.bytes_per_second, "{bytes} bytes");
}

#[test]
fn changes_of_a_destination_are_sent_after_its_lookup() {
    let mut control = control_with_endpoints();
    let mut watcher = control.open("follow=1&since=0&dispatcher=south-a");
    control.read(&mut watcher);
    let look_up = |query: &str| -> LookUpRequest {
        match TargetsRequest::parse(query).expect("a request") {
            TargetsRequest::LookUp(request) => request,
            TargetsRequest::Watch(_) => panic!("a watch"),
        }
    };
    assert_eq!(control.directory.look_up(&[17]).len(), 1);
    control
        .watchers
        .change_cached_destinations(&look_up("dispatcher=south-a&cells=17"))
        .expect("a lookup");
    control.write_endpoint(17, EndpointState::Draining);
    control.write_endpoint(18, EndpointState::Draining);
    assert_eq!(entries_sent(&control.read(&mut watcher)), ["endpoint-17"]);
    control
        .watchers
        .change_cached_destinations(&look_up("dispatcher=south-a&cells=18&forget=17"))
        .expect("a lookup");
    control.write_endpoint(17, EndpointState::Up);
    control.write_endpoint(18, EndpointState::Up);
    assert_eq!(entries_sent(&control.read(&mut watcher)), ["endpoint-18"]);
    // A resumed watch names the cached destination in its query.
    let query = format!("{}&cells=18", watcher.resume_query("south-a", "feed"));
    control.write_endpoint(18, EndpointState::Removed);
    let mut resumed = control.open(&query);
    assert_eq!(entries_sent(&control.read(&mut resumed)), ["endpoint-18"]);
    let without_watch = look_up("dispatcher=north-b&cells=17");
    assert_eq!(
        control.watchers.change_cached_destinations(&without_watch),
        Err(WatchRejected::NoWatch)
    );
    let many: Vec<String> = (0..5000).map(|cell: u32| cell.to_string()).collect();
    let too_many = look_up(&format!("dispatcher=south-a&cells={}", many.join(",")));
    assert_eq!(
        control.watchers.change_cached_destinations(&too_many),
        Err(WatchRejected::TooManyDestinations)
    );
}

#[test]
fn a_watch_of_an_undeclared_dispatcher_is_rejected() {
    let mut control = control_with_endpoints();
    let rejected =
        control
            .watchers
            .open(watch("follow=1&dispatcher=nobody"), &control.directory, 0);
    assert_eq!(rejected, Err(WatchRejected::NotMember));
}

#[test]
fn a_second_watch_of_a_dispatcher_replaces_the_first() {
    let mut control = control_with_endpoints();
    let first = control.open(INITIAL_WATCH);
    let opened = control
        .watchers
        .open(watch(INITIAL_WATCH), &control.directory, 0)
        .expect("a watch");
    assert_eq!(opened.replaced, Some(first.id));
    assert_eq!(control.watchers.len(), 1);
}

#[test]
fn a_process_behind_the_watcher_sends_only_heartbeats_until_it_has_caught_up() {
    let mut control = control_with_endpoints();
    let behind = control.directory.version();
    let query = format!(
        "follow=1&since={}&log=feed&dispatcher=north-a",
        behind.0 + 2
    );
    let mut watcher = control.open(&query);
    watcher.version = Version(behind.0 + 2);
    assert!(control.read(&mut watcher).is_empty());
    control.write_endpoint(100, EndpointState::Up);
    assert!(control.read(&mut watcher).is_empty());
    control.write_endpoint(101, EndpointState::Up);
    assert!(!control.read(&mut watcher).is_empty());
    assert_eq!(watcher.entries.len(), 42);
}

#[test]
fn a_follower_is_sent_every_record_or_a_complete_transfer() {
    let mut control = ControlFixture::new(Retention {
        changes: 100,
        removed: 5,
    });
    control.write_endpoints(0..40, EndpointState::Up);
    let lines = |control: &mut ControlFixture, query: &str| -> Vec<CompleteLine> {
        let opened = control
            .watchers
            .open(watch(query), &control.directory, control.now)
            .expect("a watch");
        let all = std::iter::from_fn(|| {
            control
                .watchers
                .next_line(opened.id, &control.directory, control.now)
        });
        all.map(|line| serde_json::from_slice(&line.bytes).expect("a line"))
            .collect()
    };
    let sent = lines(&mut control, "follow=1&since=20&log=feed&scope=all");
    let records: Vec<_> = sent
        .into_iter()
        .flat_map(|line| line.into_records().expect("records"))
        .collect();
    let versions: Vec<u64> = records.iter().map(|logged| logged.version.0).collect();
    assert_eq!(
        versions,
        (21..=control.directory.version().0).collect::<Vec<_>>()
    );
    for query in [
        "follow=1&since=0&scope=all",
        "follow=1&since=20&log=other&scope=all",
    ] {
        let sent = lines(&mut control, query);
        assert_eq!(sent[0].transfer, Some(TransferStep::Begin));
        assert_eq!(sent[0].members.len(), 4);
        assert_eq!(
            sent.last().and_then(|line| line.transfer),
            Some(TransferStep::End)
        );
        assert_eq!(
            sent.iter().map(|line| line.servers.len()).sum::<usize>(),
            40
        );
    }
}

#[test]
fn a_transfer_with_changes_between_its_pieces_restores_the_same_directory() {
    let mut control = ControlFixture::new(Retention::default());
    control.write_endpoints(0..2000, EndpointState::Up);
    let opened = control
        .watchers
        .open(watch("follow=1&since=0&scope=all"), &control.directory, 0)
        .expect("a watch");
    let mut restore = None;
    let mut pieces = 0;
    let copy = loop {
        let line = control
            .watchers
            .next_line(opened.id, &control.directory, control.now)
            .expect("a line");
        let line: CompleteLine = serde_json::from_slice(&line.bytes).expect("a line");
        match (line.transfer, &mut restore) {
            (Some(TransferStep::Begin), _) => restore = Some(begin_restore(line)),
            (Some(TransferStep::Piece), Some(restore)) => {
                pieces += 1;
                line.servers
                    .into_iter()
                    .for_each(|entry| restore.add_endpoint(entry).expect("an endpoint"));
            }
            (Some(TransferStep::End), _) => break restore.expect("a beginning").finish(),
            (None, Some(restore)) => {
                let records = line.into_records().expect("records");
                records
                    .iter()
                    .for_each(|logged| restore.apply(logged).expect("a record"));
                continue;
            }
            _ => panic!("out of order"),
        }
        control.write_endpoint(pieces, EndpointState::Removed);
        control.write_endpoint(1990 - pieces, EndpointState::Draining);
        control.write_endpoint(5000 + pieces, EndpointState::Up);
    };
    assert!(pieces > 5);
    assert_eq!(copy.version(), control.directory.version());
    assert_eq!(copy.entries().len(), control.directory.entries().len());
    let differing = control.directory.entries().after(None).filter(|index| {
        let entry = control
            .directory
            .entries()
            .entry(*index)
            .expect("an endpoint");
        let copied = copy
            .entries()
            .find(&entry.id)
            .and_then(|index| copy.entries().entry(index));
        copied.as_ref() != Some(&entry)
    });
    assert_eq!(differing.count(), 0);
}

/// Begins a restore from the first line of a transfer, as a follower does.
fn begin_restore(line: CompleteLine) -> Restore {
    let point = RestorePoint {
        log: LogId(line.log),
        version: line.version,
        forgotten: line.forgotten.expect("a version"),
    };
    let mut restore = Restore::begin(layout(), point, Retention::default());
    restore
        .add_members(line.members.into_iter().map(|line| line.member).collect())
        .expect("members");
    restore
        .set_assignment(&line.table.expect("a table"))
        .expect("an assignment");
    restore
}

#[test]
fn a_change_readies_only_the_watchers_with_it_in_scope() {
    let mut control = control_with_endpoints();
    for name in ["north-a", "north-b", "south-a", "south-b"] {
        control.open(&format!("follow=1&dispatcher={name}"));
    }
    control.watchers.take_ready();
    control.write_endpoint(7, EndpointState::Draining);
    assert_eq!(control.watchers.take_ready().len(), 2);
    assert!(Watchers::new(FILL_RATE).is_empty());
}
