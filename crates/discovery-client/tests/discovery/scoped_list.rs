//! A dispatcher's part of the scoped configuration, against lines as control processes write them.

use crate::driver::nothing_in_use;
use crate::tens_layout::{TensLayout, empty_list};
use bellsill_directory::line::{EndpointEntry, EndpointState, ScopedLine, Version};
use bellsill_discovery_client::scoped_list::MAX_CACHED_DESTINATIONS;
use bellsill_discovery_client::{DestinationStatus, ScopedLineError, ScopedList, StateFileError};
use bellsill_placement::BucketId;
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;
use std::sync::Arc;

fn entry(id: &str, destination: u64, version: u64) -> EndpointEntry {
    EndpointEntry {
        id: id.to_string(),
        addr: Some(format!("10.0.0.1:{}", 9_000 + destination)),
        zone: "z".into(),
        kind: "k".into(),
        destination,
        state: EndpointState::Up,
        weight: None,
        version: Version(version),
    }
}

fn removed(id: &str, destination: u64, version: u64) -> EndpointEntry {
    EndpointEntry {
        state: EndpointState::Removed,
        ..entry(id, destination, version)
    }
}

fn line(version: u64, servers: Vec<EndpointEntry>) -> ScopedLine {
    ScopedLine {
        version: Version(version),
        servers,
        ..ScopedLine::default()
    }
}

fn buckets(numbers: &[u32]) -> Vec<BucketId> {
    numbers.iter().map(|number| BucketId(*number)).collect()
}

/// The names of all endpoints in the list, in order.
fn names(list: &ScopedList) -> Vec<&str> {
    let mut names: Vec<&str> = list.entries().map(|entry| entry.id.as_str()).collect();
    names.sort();
    names
}

/// A list with bucket 1 complete: `a` of 11 and `b` of 12, at version 5.
fn started() -> ScopedList {
    let mut list = empty_list(2);
    let gained = buckets(&[1]);
    list.apply(ScopedLine {
        log: "c0ffee".into(),
        gained,
        ..line(5, vec![])
    })
    .unwrap();
    let filled = buckets(&[1]);
    list.apply(ScopedLine {
        filled,
        ..line(5, vec![entry("a", 11, 3), entry("b", 12, 4)])
    })
    .unwrap();
    list
}

/// The answer to a lookup.
fn answer(version: u64, servers: Vec<EndpointEntry>) -> ScopedLine {
    ScopedLine {
        log: "c0ffee".into(),
        ..line(version, servers)
    }
}

#[test]
fn a_first_watch_requests_everything_and_later_ones_from_the_known_version() {
    assert_eq!(empty_list(2).watch_query("d1"), "since=0&dispatcher=d1");
    let mut list = started();
    assert_eq!(
        list.watch_query("d1"),
        "since=5&log=c0ffee&dispatcher=d1&buckets=1"
    );
    list.request_lookup(47, &nothing_in_use).unwrap();
    assert_eq!(
        list.watch_query("d1"),
        "since=5&log=c0ffee&dispatcher=d1&buckets=1",
        "it is not known yet"
    );
    list.apply_lookup(&[47], answer(5, vec![entry("x", 47, 2)]))
        .unwrap();
    assert_eq!(
        list.watch_query("d1"),
        "since=5&log=c0ffee&dispatcher=d1&buckets=1&cells=47"
    );
}

#[test]
fn an_older_or_equal_entry_is_counted_and_never_applied() {
    let mut list = started();
    let same = list.apply(line(6, vec![entry("a", 11, 3)])).unwrap();
    let older = list.apply(line(6, vec![entry("b", 12, 3)])).unwrap();
    assert!(same.changed.is_empty() && older.changed.is_empty());
    assert_eq!(
        (
            list.counters().duplicate_entries,
            list.counters().stale_entries
        ),
        (1, 1)
    );
    let newer = list.apply(line(7, vec![entry("a", 11, 7)])).unwrap();
    assert_eq!(newer.changed, [entry("a", 11, 7)]);
}

#[test]
fn a_removed_endpoint_is_not_restored_by_a_late_lookup_answer() {
    let mut list = started();
    list.request_lookup(47, &nothing_in_use).unwrap();
    list.apply(line(9, vec![removed("x", 47, 9)])).unwrap();
    let late = list
        .apply_lookup(&[47], answer(8, vec![entry("x", 47, 8), entry("y", 47, 2)]))
        .unwrap();
    assert_eq!(late.changed, [entry("y", 47, 2)]);
    assert_eq!(
        (names(&list), list.counters().stale_entries),
        (vec!["a", "b", "y"], 1)
    );
    assert_eq!(
        list.version(),
        Version(9),
        "the answer's version is not that of the watch"
    );
}

#[test]
fn a_bucket_that_is_sent_again_drops_missing_entries_when_filled() {
    let mut list = started();
    list.apply(ScopedLine {
        log: "c0ffee".into(),
        gained: buckets(&[1]),
        ..line(9, vec![])
    })
    .unwrap();
    assert_eq!(names(&list), ["a", "b"], "served until it is sent again");
    assert_eq!(list.watch_query("d1"), "since=9&log=c0ffee&dispatcher=d1");
    list.apply(line(9, vec![entry("b", 12, 4), entry("c", 13, 8)]))
        .unwrap();
    let filled = list
        .apply(ScopedLine {
            filled: buckets(&[1]),
            ..line(9, vec![])
        })
        .unwrap();
    assert_eq!(
        (filled.dropped, names(&list)),
        (vec![entry("a", 11, 3)], vec!["b", "c"])
    );
    assert_eq!(list.counters().dropped_entries, 1);
}

#[test]
fn a_lost_bucket_is_dropped_and_a_filling_one_is_lost_unless_named_again() {
    let mut list = started();
    let lost = list
        .apply(ScopedLine {
            lost: buckets(&[1]),
            ..line(6, vec![])
        })
        .unwrap();
    assert_eq!(lost.dropped.len(), 2);
    assert!(list.is_empty());
    list.apply(ScopedLine {
        gained: buckets(&[2, 3]),
        ..line(6, vec![entry("p", 20, 1)])
    })
    .unwrap();
    list.apply(line(6, vec![entry("q", 30, 1)])).unwrap();
    let next = ScopedLine {
        log: "c0ffee".into(),
        gained: buckets(&[3]),
        ..line(6, vec![])
    };
    assert!(
        list.apply(next).unwrap().dropped.is_empty(),
        "the next line may name more"
    );
    assert_eq!(
        list.apply(line(6, vec![])).unwrap().dropped,
        [entry("p", 20, 1)]
    );
    assert_eq!(names(&list), ["q"]);
}

#[test]
fn another_log_begins_empty_and_held_entries_serve_until_sent_again() {
    let mut list = started();
    list.request_lookup(47, &nothing_in_use).unwrap();
    list.apply_lookup(&[47], answer(5, vec![entry("x", 47, 4), entry("y", 47, 4)]))
        .unwrap();
    let first = ScopedLine {
        log: "beef".into(),
        gained: buckets(&[1]),
        ..line(2, vec![entry("x", 47, 1)])
    };
    list.apply(first).unwrap();
    assert_eq!(
        names(&list),
        ["a", "b", "x"],
        "the cache has only what was received"
    );
    list.apply(ScopedLine {
        filled: buckets(&[1]),
        ..line(2, vec![entry("a", 11, 1)])
    })
    .unwrap();
    assert_eq!(
        (names(&list), list.counters().log_changes),
        (vec!["a", "x"], 1)
    );
    assert_eq!(
        list.watch_query("d1"),
        "since=2&log=beef&dispatcher=d1&buckets=1&cells=47"
    );
}

#[test]
fn buckets_that_another_log_does_not_assign_are_lost() {
    let mut list = started();
    list.apply(ScopedLine {
        log: "beef".into(),
        gained: buckets(&[2]),
        ..line(2, vec![])
    })
    .unwrap();
    assert_eq!(
        list.watch_query("d1"),
        "since=2&log=beef&dispatcher=d1",
        "nothing is complete"
    );
    let filled = ScopedLine {
        filled: buckets(&[2]),
        ..line(2, vec![entry("p", 20, 1)])
    };
    assert_eq!(list.apply(filled).unwrap().dropped.len(), 2);
    assert_eq!(names(&list), ["p"]);
}

#[test]
fn a_line_of_an_older_version_or_a_complete_list_is_rejected_as_a_whole() {
    let mut list = started();
    let back = list.apply(line(4, vec![entry("c", 13, 4)]));
    assert!(matches!(
        back,
        Err(ScopedLineError::VersionRegressed { .. })
    ));
    let full = list.apply(ScopedLine {
        full: true,
        ..line(6, vec![entry("c", 13, 6)])
    });
    assert!(matches!(full, Err(ScopedLineError::FullList)));
    assert!(matches!(
        list.apply_document(b"{\"version\":"),
        Err(ScopedLineError::Malformed(_))
    ));
    assert_eq!(
        (names(&list), list.counters().rejected_lines),
        (vec!["a", "b"], 3)
    );
}

#[test]
fn the_least_recently_used_destination_is_evicted_unless_in_use() {
    let mut list = started();
    for destination in [41, 42] {
        list.request_lookup(destination, &nothing_in_use).unwrap();
        let name = format!("e{destination}");
        list.apply_lookup(
            &[destination],
            answer(5, vec![entry(&name, destination, 1)]),
        )
        .unwrap();
    }
    list.touch(41);
    let evicted = list.request_lookup(43, &nothing_in_use).unwrap();
    assert_eq!(evicted.dropped, [entry("e42", 42, 1)]);
    assert_eq!((list.evicted(), list.cached_destinations()), (vec![42], 2));
    let evicted = list
        .request_lookup(44, &|destination| destination == 41)
        .unwrap();
    assert!(evicted.dropped.is_empty(), "43 had no entries yet");
    assert_eq!(list.status(41), DestinationStatus::Cached);
    let target = ScopedList::lookup_target("d1", &[44], &list.evicted());
    assert_eq!(target, "/api/targets?dispatcher=d1&cells=44&forget=42,43");
    list.mark_released(&[42, 43]);
    assert!(list.evicted().is_empty());
    // A destination that is wanted again is not released by the same request.
    list.request_lookup(42, &nothing_in_use).unwrap();
    list.request_lookup(45, &nothing_in_use).unwrap();
    list.request_lookup(42, &nothing_in_use).unwrap();
    assert!(!list.evicted().contains(&42));
    list.request_lookup(46, &|destination| destination != 42)
        .unwrap();
    // Entries of an evicted destination are skipped.
    list.apply(line(6, vec![entry("e42", 42, 6)])).unwrap();
    assert_eq!(list.counters().out_of_scope_entries, 1);
    assert_eq!(list.status(42), DestinationStatus::Unknown);
}

#[test]
fn the_lookup_state_of_a_destination() {
    let mut list = started();
    assert_eq!(list.status(11), DestinationStatus::Held);
    assert_eq!(
        list.status(19),
        DestinationStatus::Unknown,
        "it may be of another region"
    );
    assert_eq!(list.status(47), DestinationStatus::Unknown);
    list.request_lookup(47, &nothing_in_use).unwrap();
    assert_eq!(list.status(47), DestinationStatus::Pending);
    list.apply_lookup(&[47], answer(5, vec![])).unwrap();
    assert_eq!(list.status(47), DestinationStatus::Cached);
    list.request_lookup(48, &nothing_in_use).unwrap();
    list.apply_lookup(&[48], answer(5, vec![entry("p", 48, 3)]))
        .unwrap();
    list.apply(ScopedLine {
        gained: buckets(&[4]),
        ..line(6, vec![])
    })
    .unwrap();
    list.apply(ScopedLine {
        filled: buckets(&[4]),
        ..line(6, vec![entry("p", 48, 3)])
    })
    .unwrap();
    assert_eq!(
        (list.status(48), list.cached_destinations()),
        (DestinationStatus::Held, 1),
        "the bucket has it now"
    );
    assert_eq!(list.evicted(), [48]);
}

#[test]
fn a_cancelled_lookup_is_not_made_and_known_destinations_stay() {
    let mut list = started();
    for destination in [47, 48] {
        list.request_lookup(destination, &nothing_in_use).unwrap();
    }
    list.apply_lookup(&[47], answer(5, vec![entry("x", 47, 4)]))
        .unwrap();
    for destination in [47, 48] {
        list.cancel_lookup(destination);
    }
    assert_eq!(
        (list.status(47), list.status(48)),
        (DestinationStatus::Cached, DestinationStatus::Unknown)
    );
    assert_eq!((list.pending().count(), list.evicted()), (0, vec![48]));
}

#[test]
fn with_all_in_use_the_cache_grows_to_the_limit_of_a_control_process() {
    let mut list = started();
    let grown = (100..)
        .take_while(|destination| list.request_lookup(*destination, &|_| true).is_ok())
        .count();
    assert_eq!(
        (grown, list.cached_destinations()),
        (MAX_CACHED_DESTINATIONS, MAX_CACHED_DESTINATIONS)
    );
    assert!(list.request_lookup(9_999, &nothing_in_use).is_ok() && list.cached_destinations() == 2);
}

#[test]
fn an_adopted_list_serves_until_the_first_line() {
    let mut list = empty_list(2);
    list.import_entries([
        entry("x", 47, 3),
        entry("y", 47, 0),
        entry("z", 48, 0),
        entry("w", 49, 0),
    ]);
    assert_eq!(
        names(&list),
        ["x", "y", "z"],
        "the cache has capacity for two destinations"
    );
    assert_eq!(list.watch_query("d1"), "since=0&dispatcher=d1&cells=47,48");
    let first = list
        .apply(ScopedLine {
            log: "c0ffee".into(),
            ..line(2, vec![entry("y", 47, 1)])
        })
        .unwrap();
    assert_eq!((first.dropped.len(), names(&list)), (3, vec!["y"]));
}

#[test]
fn a_lookup_answer_of_another_log_is_rejected() {
    let mut list = started();
    list.request_lookup(47, &nothing_in_use).unwrap();
    let other = ScopedLine {
        log: "beef".into(),
        ..line(5, vec![entry("x", 47, 4)])
    };
    assert!(matches!(
        list.apply_lookup(&[47], other),
        Err(ScopedLineError::LogMismatch(_))
    ));
    assert_eq!(
        (list.status(47), list.counters().rejected_lines),
        (DestinationStatus::Pending, 1)
    );
}

#[test]
fn a_saved_list_is_the_same_after_a_restart() {
    let mut list = started();
    list.request_lookup(47, &nothing_in_use).unwrap();
    list.apply_lookup(&[47], answer(5, vec![entry("x", 47, 4)]))
        .unwrap();
    list.request_lookup(48, &nothing_in_use).unwrap();
    let bytes = list.to_bytes("d1");
    let again = ScopedList::from_bytes(&bytes, "d1", Arc::new(TensLayout), 2).unwrap();
    assert_eq!(
        (names(&again), again.watch_query("d1")),
        (names(&list), list.watch_query("d1"))
    );
    assert_eq!(again.to_bytes("d1"), bytes);
    let other = ScopedList::from_bytes(&bytes, "d2", Arc::new(TensLayout), 2);
    assert!(matches!(other, Err(StateFileError::DispatcherMismatch(_))));
}

#[test]
fn a_saved_list_that_is_truncated_or_damaged_anywhere_is_rejected() {
    let bytes = started().to_bytes("d1");
    let read = |bytes: &[u8]| ScopedList::from_bytes(bytes, "d1", Arc::new(TensLayout), 2);
    for end in 0..bytes.len() {
        assert!(read(&bytes[..end]).is_err(), "truncated after {end} bytes");
    }
    for place in 0..bytes.len() * 8 {
        let mut flipped = bytes.clone();
        flipped[place / 8] ^= 1 << (place % 8);
        assert!(read(&flipped).is_err(), "bit {place} flipped");
    }
}

/// Changes in any order, repeated at will, end in the newest of each endpoint.
#[test]
fn entries_received_repeatedly_or_late_leave_the_newest_of_each_endpoint() {
    fn property(received: Vec<(u8, u8, bool)>) -> bool {
        let mut list = started();
        let mut newest = BTreeMap::new();
        for (name, version, up) in received {
            // Endpoints `0` to `7` of bucket 1; a version determines the entry.
            let (name, version) = (name % 8, u64::from(version) + 6);
            let up = up && !version.is_multiple_of(3);
            let up = *newest.entry((name, version)).or_insert(up);
            let id = name.to_string();
            let changed = if up {
                entry(&id, 11, version)
            } else {
                removed(&id, 11, version)
            };
            list.apply(line(1_000, vec![changed])).unwrap();
        }
        // The map is in the order of versions, so the last one of each name stays.
        let last: BTreeMap<u8, bool> = newest.iter().map(|((name, _), up)| (*name, *up)).collect();
        let expected: Vec<String> = last
            .into_iter()
            .filter(|(_, up)| *up)
            .map(|(name, _)| name.to_string())
            .collect();
        let kept: Vec<&str> = names(&list)
            .into_iter()
            .filter(|name| name.parse::<u8>().is_ok())
            .collect();
        kept == expected
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 20_261_202))
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u8, bool)>) -> bool);
}
