//! Tests of a dispatcher's part of the scoped configuration with lines as control processes send them.

use crate::fixtures::nothing_in_use;
use crate::layout::{TenPerBucketLayout, empty_list};
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

/// The names of all endpoints in the list, sorted.
fn names(list: &ScopedList) -> Vec<&str> {
    let mut names: Vec<&str> = list.entries().map(|entry| entry.id.as_str()).collect();
    names.sort();
    names
}

/// A list at version 5 with bucket 1 complete: endpoint `a` of destination 11, and `b` of 12.
fn list_with_bucket_1() -> ScopedList {
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

/// The response to a lookup.
fn lookup_response(version: u64, servers: Vec<EndpointEntry>) -> ScopedLine {
    ScopedLine {
        log: "c0ffee".into(),
        ..line(version, servers)
    }
}

#[test]
fn the_first_watch_requests_everything_and_later_ones_continue_from_the_known_version() {
    assert_eq!(empty_list(2).watch_query("d1"), "since=0&dispatcher=d1");
    let mut list = list_with_bucket_1();
    assert_eq!(
        list.watch_query("d1"),
        "since=5&log=c0ffee&dispatcher=d1&buckets=1"
    );
    list.request_lookup(47, &nothing_in_use).unwrap();
    assert_eq!(
        list.watch_query("d1"),
        "since=5&log=c0ffee&dispatcher=d1&buckets=1",
        "a pending destination is not named"
    );
    list.apply_lookup(&[47], lookup_response(5, vec![entry("x", 47, 2)]))
        .unwrap();
    assert_eq!(
        list.watch_query("d1"),
        "since=5&log=c0ffee&dispatcher=d1&buckets=1&cells=47"
    );
}

#[test]
fn an_older_or_equal_entry_is_counted_and_never_applied() {
    let mut list = list_with_bucket_1();
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
fn a_removed_endpoint_is_not_restored_by_a_late_lookup_response() {
    let mut list = list_with_bucket_1();
    list.request_lookup(47, &nothing_in_use).unwrap();
    list.apply(line(9, vec![removed("x", 47, 9)])).unwrap();
    let late = list
        .apply_lookup(
            &[47],
            lookup_response(8, vec![entry("x", 47, 8), entry("y", 47, 2)]),
        )
        .unwrap();
    assert_eq!(late.changed, [entry("y", 47, 2)]);
    assert_eq!(
        (names(&list), list.counters().stale_entries),
        (vec!["a", "b", "y"], 1)
    );
    assert_eq!(
        list.version(),
        Version(9),
        "the version of the response is not that of the list"
    );
}

#[test]
fn a_resent_bucket_drops_missing_entries_when_complete() {
    let mut list = list_with_bucket_1();
    list.apply(ScopedLine {
        log: "c0ffee".into(),
        gained: buckets(&[1]),
        ..line(9, vec![])
    })
    .unwrap();
    assert_eq!(
        names(&list),
        ["a", "b"],
        "the entries are kept until the bucket is resent"
    );
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
fn a_lost_bucket_is_dropped_and_a_filling_one_is_lost_unless_gained_again() {
    let mut list = list_with_bucket_1();
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
        "the next line may name more buckets"
    );
    assert_eq!(
        list.apply(line(6, vec![])).unwrap().dropped,
        [entry("p", 20, 1)]
    );
    assert_eq!(names(&list), ["q"]);
}

#[test]
fn a_new_log_drops_cached_entries_and_keeps_held_ones_until_resent() {
    let mut list = list_with_bucket_1();
    list.request_lookup(47, &nothing_in_use).unwrap();
    list.apply_lookup(
        &[47],
        lookup_response(5, vec![entry("x", 47, 4), entry("y", 47, 4)]),
    )
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
        "cached entries that the new log has not sent are dropped"
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
fn buckets_that_a_new_log_does_not_assign_are_lost() {
    let mut list = list_with_bucket_1();
    list.apply(ScopedLine {
        log: "beef".into(),
        gained: buckets(&[2]),
        ..line(2, vec![])
    })
    .unwrap();
    assert_eq!(
        list.watch_query("d1"),
        "since=2&log=beef&dispatcher=d1",
        "no bucket is complete"
    );
    let filled = ScopedLine {
        filled: buckets(&[2]),
        ..line(2, vec![entry("p", 20, 1)])
    };
    assert_eq!(list.apply(filled).unwrap().dropped.len(), 2);
    assert_eq!(names(&list), ["p"]);
}

#[test]
fn a_line_with_a_lower_version_and_a_complete_list_are_rejected_as_a_whole() {
    let mut list = list_with_bucket_1();
    let regressed = list.apply(line(4, vec![entry("c", 13, 4)]));
    assert!(matches!(
        regressed,
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
    let mut list = list_with_bucket_1();
    for destination in [41, 42] {
        list.request_lookup(destination, &nothing_in_use).unwrap();
        let name = format!("e{destination}");
        list.apply_lookup(
            &[destination],
            lookup_response(5, vec![entry(&name, destination, 1)]),
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
    assert!(evicted.dropped.is_empty(), "43 had no entries");
    assert_eq!(list.status(41), DestinationStatus::Cached);
    let target = ScopedList::lookup_target("d1", &[44], &list.evicted());
    assert_eq!(target, "/api/targets?dispatcher=d1&cells=44&forget=42,43");
    list.mark_released(&[42, 43]);
    assert!(list.evicted().is_empty());
    // The request that looks up a destination again does not release it as well.
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
fn a_destination_is_held_cached_pending_or_unknown() {
    let mut list = list_with_bucket_1();
    assert_eq!(list.status(11), DestinationStatus::Held);
    assert_eq!(
        list.status(19),
        DestinationStatus::Unknown,
        "it has no known endpoints, but may have some in another region"
    );
    assert_eq!(list.status(47), DestinationStatus::Unknown);
    list.request_lookup(47, &nothing_in_use).unwrap();
    assert_eq!(list.status(47), DestinationStatus::Pending);
    list.apply_lookup(&[47], lookup_response(5, vec![]))
        .unwrap();
    assert_eq!(list.status(47), DestinationStatus::Cached);
    list.request_lookup(48, &nothing_in_use).unwrap();
    list.apply_lookup(&[48], lookup_response(5, vec![entry("p", 48, 3)]))
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
        "the complete bucket replaces the cached destination"
    );
    assert_eq!(list.evicted(), [48]);
}

#[test]
fn a_cancelled_lookup_is_not_made_and_known_destinations_stay() {
    let mut list = list_with_bucket_1();
    for destination in [47, 48] {
        list.request_lookup(destination, &nothing_in_use).unwrap();
    }
    list.apply_lookup(&[47], lookup_response(5, vec![entry("x", 47, 4)]))
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
fn the_cache_grows_to_the_limit_of_a_control_process_while_all_are_in_use() {
    let mut list = list_with_bucket_1();
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
fn imported_entries_are_kept_until_the_first_line() {
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
        "the capacity of the cache is two destinations"
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
fn a_lookup_response_from_another_log_is_rejected() {
    let mut list = list_with_bucket_1();
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
    let mut list = list_with_bucket_1();
    list.request_lookup(47, &nothing_in_use).unwrap();
    list.apply_lookup(&[47], lookup_response(5, vec![entry("x", 47, 4)]))
        .unwrap();
    list.request_lookup(48, &nothing_in_use).unwrap();
    let bytes = list.to_bytes("d1");
    let restored = ScopedList::from_bytes(&bytes, "d1", Arc::new(TenPerBucketLayout), 2).unwrap();
    assert_eq!(
        (names(&restored), restored.watch_query("d1")),
        (names(&list), list.watch_query("d1"))
    );
    assert_eq!(restored.to_bytes("d1"), bytes);
    let other = ScopedList::from_bytes(&bytes, "d2", Arc::new(TenPerBucketLayout), 2);
    assert!(matches!(other, Err(StateFileError::DispatcherMismatch(_))));
}

#[test]
fn a_saved_list_that_is_truncated_or_corrupted_anywhere_is_rejected() {
    let bytes = list_with_bucket_1().to_bytes("d1");
    let read = |bytes: &[u8]| ScopedList::from_bytes(bytes, "d1", Arc::new(TenPerBucketLayout), 2);
    for end in 0..bytes.len() {
        assert!(read(&bytes[..end]).is_err(), "truncated after {end} bytes");
    }
    for bit in 0..bytes.len() * 8 {
        let mut flipped = bytes.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert!(read(&flipped).is_err(), "bit {bit} flipped");
    }
}

/// Entries may be received in any order and repeatedly; the list keeps the newest version of each endpoint.
#[test]
fn repeated_and_reordered_entries_leave_the_newest_version_of_each_endpoint() {
    fn property(received: Vec<(u8, u8, bool)>) -> bool {
        let mut list = list_with_bucket_1();
        let mut newest = BTreeMap::new();
        for (name, version, up) in received {
            // Endpoints `0` to `7` of bucket 1. The first entry with a version determines its state.
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
        // The map is sorted by version within a name, so the state of the highest version remains.
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
