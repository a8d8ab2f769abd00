//! What watchers are sent: first lines, changes, fills, and buckets that move between them.

use crate::installation::{
    BUCKETS_PER_REGION, Control, SECOND, endpoint, entries_sent, layout, member, watch,
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

const FIRST: &str = "follow=1&since=0&dispatcher=north-a";

fn control() -> Control {
    let mut control = Control::new(Retention::default());
    control.write_endpoints(0..40, EndpointState::Up);
    control
}

#[test]
fn a_first_start_gains_and_fills_every_bucket_of_the_dispatcher() {
    let mut control = control();
    let mut watcher = control.open(FIRST);
    let lines = control.read(&mut watcher);
    assert_eq!(lines[0].log, "feed");
    assert_eq!(lines[0].epoch, Some(control.directory.epoch()));
    assert_eq!(lines[0].gained.len(), BUCKETS_PER_REGION as usize);
    assert!(lines[0].servers.is_empty(), "entries are sent by fills");
    assert_eq!(watcher.held, control.directory.held_by(&"north-a".into()));
    assert_eq!(watcher.entries.len(), 40);
    assert_eq!(watcher.version, control.directory.version());
}

#[test]
fn a_dispatcher_of_another_region_is_sent_nothing_of_it() {
    let mut control = control();
    let mut watcher = control.open("follow=1&since=0&dispatcher=south-a");
    let lines = control.read(&mut watcher);
    assert_eq!(entries_sent(&lines), Vec::<String>::new());
    control.write_endpoint(7, EndpointState::Draining);
    assert!(entries_sent(&control.read(&mut watcher)).is_empty());
}

#[test]
fn a_change_is_sent_once_and_before_fills() {
    let mut control = control();
    let mut watcher = control.open(FIRST);
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
        "the fill leaves out what was sent as a change"
    );
    control.write_endpoint(8, EndpointState::Removed);
    assert_eq!(entries_sent(&control.read(&mut watcher)), ["endpoint-8"]);
    assert!(control.read(&mut watcher).is_empty());
}

#[test]
fn a_watch_resumes_after_since_without_a_complete_list() {
    let mut control = control();
    let mut watcher = control.open(FIRST);
    control.read(&mut watcher);
    control.watchers.close(watcher.id);
    control.write_endpoint(3, EndpointState::Draining);
    control.write_endpoint(3, EndpointState::Removed);
    control.write_endpoint(50, EndpointState::Up);
    let mut again = control.open(&watcher.next_query("north-a", "feed"));
    let lines = control.read(&mut again);
    assert!(lines[0].gained.is_empty() && lines[0].lost.is_empty());
    assert_eq!(entries_sent(&lines), ["endpoint-3", "endpoint-50"]);
    assert_eq!(again.entries["endpoint-3"].0, EndpointState::Removed);
}

#[test]
fn a_watch_that_broke_during_a_fill_resumes_with_the_remaining_buckets() {
    let mut control = Control::new(Retention::default());
    control.write_endpoints(0..900, EndpointState::Up);
    let mut watcher = control.open(FIRST);
    while watcher.held.len() < 4 {
        let line = control
            .watchers
            .next_line(watcher.id, &control.directory, control.now);
        match line.filter(|line| line.kind != LineKind::Heartbeat) {
            Some(line) => drop(watcher.read_line(&line.bytes)),
            None => control.now += SECOND / 10,
        }
    }
    let filled = watcher.held.clone();
    let mut again = control.open(&watcher.next_query("north-a", "feed"));
    let lines = control.read(&mut again);
    let gained: BTreeSet<_> = lines[0].gained.iter().copied().collect();
    assert!(gained.is_disjoint(&filled));
    assert_eq!(gained.len() + filled.len(), BUCKETS_PER_REGION as usize);
}

#[test]
fn after_another_log_everything_is_sent_and_foreign_buckets_are_lost() {
    let mut control = control();
    let beside = Endpoint {
        zone: "south-1".into(),
        ..endpoint(70, EndpointState::Up)
    };
    control.write(Record::EndpointsChanged(vec![beside]));
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
        "the cached destination is sent at once"
    );
    assert_eq!(watcher.held.len(), BUCKETS_PER_REGION as usize);
}

#[test]
fn moved_buckets_are_lost_gained_and_filled() {
    let mut control = control();
    let mut keeper = control.open("follow=1&since=0&dispatcher=north-a");
    let mut newcomer_mate = control.open("follow=1&since=0&dispatcher=north-b");
    control.read(&mut keeper);
    control.read(&mut newcomer_mate);
    control.write(Record::MembersChanged(vec![member("north-c", "north-1")]));
    control.assign();
    let mut newcomer = control.open("follow=1&since=0&dispatcher=north-c");
    let lines = control.read(&mut keeper);
    assert_eq!(lines.len(), 1);
    assert!(!lines[0].lost.is_empty() && lines[0].gained.is_empty());
    assert_eq!(lines[0].epoch, Some(control.directory.epoch()));
    control.read(&mut newcomer);
    assert_eq!(newcomer.held, lines[0].lost.iter().copied().collect());
    // The newcomer is absent: what it held moves back, and is filled with what changed meanwhile.
    let moved = control.directory.entries().in_bucket(lines[0].lost[0])[0];
    let number = control
        .directory
        .entries()
        .destination(moved)
        .expect("an endpoint");
    let changed = control.write_endpoint(number, EndpointState::Draining);
    let gone = bellsill_placement::Member {
        present: false,
        ..member("north-c", "north-1")
    };
    control.write(Record::MembersChanged(vec![gone]));
    control.assign();
    let id = format!("endpoint-{number}");
    keeper.entries.clear();
    let lines = control.read(&mut keeper);
    assert!(!lines[0].gained.is_empty() && lines[0].lost.is_empty());
    assert_eq!(keeper.entries[&id], (EndpointState::Draining, changed));
    assert_eq!(keeper.held, control.directory.held_by(&"north-a".into()));
}

#[test]
fn a_change_in_a_bucket_that_is_lost_first_is_not_sent() {
    let mut control = control();
    let mut keeper = control.open(FIRST);
    control.read(&mut keeper);
    control.write_endpoints(0..40, EndpointState::Draining);
    control.write(Record::MembersChanged(vec![member("north-c", "north-1")]));
    control.assign();
    let held = control.directory.held_by(&"north-a".into());
    let sent = entries_sent(&control.read(&mut keeper));
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
fn after_changes_that_are_no_longer_retained_everything_is_sent() {
    let mut control = Control::new(Retention {
        changes: 10,
        removed: 5,
    });
    control.write_endpoints(0..40, EndpointState::Up);
    let mut watcher = control.open(FIRST);
    control.read(&mut watcher);
    control.watchers.close(watcher.id);
    control.write_endpoints(0..10, EndpointState::Removed);
    assert!(control.directory.forgotten() > watcher.version);
    let mut again = control.open(&watcher.next_query("north-a", "feed"));
    let lines = control.read(&mut again);
    assert_eq!(lines[0].gained.len(), BUCKETS_PER_REGION as usize);
    assert_eq!(again.entries.len(), 30);
}

#[test]
fn a_slow_watcher_whose_removals_are_forgotten_is_sent_everything() {
    let mut control = Control::new(Retention {
        changes: 10,
        removed: 5,
    });
    control.write_endpoints(0..40, EndpointState::Up);
    let mut watcher = control.open(FIRST);
    control.read(&mut watcher);
    control.write_endpoints(0..10, EndpointState::Removed);
    watcher.entries.clear();
    let lines = control.read(&mut watcher);
    assert_eq!(lines[0].gained.len(), BUCKETS_PER_REGION as usize);
    assert_eq!(watcher.entries.len(), 30);
}

#[test]
fn a_burst_of_changes_is_sent_in_bounded_lines_with_increasing_versions() {
    let mut control = control();
    let mut watcher = control.open(FIRST);
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
fn fills_keep_to_their_rate_limit() {
    let mut control = Control::new(Retention::default());
    control.write_endpoints(0..2000, EndpointState::Up);
    let watcher = control.open(FIRST);
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
fn changes_of_a_looked_up_destination_are_sent_from_then_on() {
    let mut control = control();
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
    // The next watch names the cached destination.
    let query = format!("{}&cells=18", watcher.next_query("south-a", "feed"));
    control.write_endpoint(18, EndpointState::Removed);
    let mut again = control.open(&query);
    assert_eq!(entries_sent(&control.read(&mut again)), ["endpoint-18"]);
    let nobody = look_up("dispatcher=north-b&cells=17");
    assert_eq!(
        control.watchers.change_cached_destinations(&nobody),
        Err(WatchRejected::NoWatch)
    );
    let many: Vec<String> = (0..5000).map(|cell: u32| cell.to_string()).collect();
    let many = look_up(&format!("dispatcher=south-a&cells={}", many.join(",")));
    assert_eq!(
        control.watchers.change_cached_destinations(&many),
        Err(WatchRejected::TooManyDestinations)
    );
}

#[test]
fn a_dispatcher_that_is_not_declared_has_no_watch() {
    let mut control = control();
    let rejected =
        control
            .watchers
            .open(watch("follow=1&dispatcher=nobody"), &control.directory, 0);
    assert_eq!(rejected, Err(WatchRejected::NotMember));
}

#[test]
fn a_second_watch_of_a_dispatcher_replaces_the_first() {
    let mut control = control();
    let first = control.open(FIRST);
    let opened = control
        .watchers
        .open(watch(FIRST), &control.directory, 0)
        .expect("a watch");
    assert_eq!(opened.replaced, Some(first.id));
    assert_eq!(control.watchers.len(), 1);
}

#[test]
fn a_process_that_is_behind_sends_empty_lines_until_it_has_caught_up() {
    let mut control = control();
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
fn a_follower_is_sent_every_record_or_a_transfer() {
    let mut control = Control::new(Retention {
        changes: 100,
        removed: 5,
    });
    control.write_endpoints(0..40, EndpointState::Up);
    let lines = |control: &mut Control, query: &str| -> Vec<CompleteLine> {
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
    let mut control = Control::new(Retention::default());
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
            (Some(TransferStep::Begin), _) => restore = Some(begin(line)),
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

/// What a follower restores from the first line of a transfer.
fn begin(line: CompleteLine) -> Restore {
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
fn a_change_reaches_only_the_watchers_that_it_concerns() {
    let mut control = control();
    for name in ["north-a", "north-b", "south-a", "south-b"] {
        control.open(&format!("follow=1&dispatcher={name}"));
    }
    control.watchers.take_ready();
    control.write_endpoint(7, EndpointState::Draining);
    assert_eq!(control.watchers.take_ready().len(), 2);
    assert!(Watchers::new(FILL_RATE).is_empty());
}
