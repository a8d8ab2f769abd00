//! A dispatcher's list across failures of the control processes that it watches.

use bellsill_directory::line::EndpointState::{Draining, Up};
use bellsill_discovery_client::ScopedList;
use bellsill_placement::{Layout, RegionName, ZoneName};
use bellsill_test_support::control_client::Watch;
use bellsill_test_support::control_process::ReservedAddress;
use bellsill_test_support::endpoint_lines::{entries, entry};
use std::net::SocketAddr;
use std::sync::Arc;

/// An empty list for `north-a`, with the layout of the control processes in these tests.
fn new_list() -> ScopedList {
    let zones = [
        ("north-1", "north"),
        ("north-2", "north"),
        ("south-1", "south"),
        ("south-2", "south"),
    ];
    let zones = zones.map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)));
    ScopedList::new(Arc::new(Layout::new(zones, 8).expect("a layout")), 16)
}

/// Opens a watch with the list's current state and applies lines until the list has this version and all buckets.
/// Returns the number of buckets that were gained.
fn watch_until(list: &mut ScopedList, address: SocketAddr, version: u64) -> usize {
    let mut watch = Watch::open(address, &list.watch_query("north-a"));
    let mut gained = 0;
    while list.version().0 < version || list.complete_buckets().count() < 8 {
        let line = watch.next_line().expect("a line");
        gained += list
            .apply(line)
            .expect("a line that can be applied")
            .gained
            .len();
    }
    gained
}

#[test]
fn a_dispatcher_continues_at_another_control_process_without_a_complete_transfer() {
    let places = [
        ReservedAddress::reserve(),
        ReservedAddress::reserve(),
        ReservedAddress::reserve(),
    ];
    let states = [(); 3].map(|()| tempfile::tempdir().expect("a directory"));
    let leader = places[0].start_leader(states[0].path());
    leader.declare();
    let version = leader.write(&entries(0..100, Up));
    let followers = [1, 2].map(|n| places[n].start_follower(states[n].path(), places[0].address));
    followers
        .iter()
        .for_each(|follower| drop(follower.wait_for_version(version)));

    let mut list = new_list();
    assert_eq!(watch_until(&mut list, places[1].address, version), 8);
    assert_eq!(list.entries().count(), 100);
    let [first, second] = followers;
    first.stop().expect("an end");
    let version = leader.write(&entries(0..10, Draining));
    assert_eq!(watch_until(&mut list, places[2].address, version), 0);
    assert_eq!(
        list.entries()
            .filter(|entry| entry.state == Draining)
            .count(),
        10
    );
    assert_eq!(second.metrics()["watches_told_anew"], 0);

    // All processes stop. The follower that was stopped first restarts alone with an older state on disk: it must not
    // send the list anything older than the list has.
    leader.stop().expect("an end");
    second.stop().expect("an end");
    let first = places[1].start_follower(states[1].path(), places[0].address);
    let mut stale_watch = Watch::open(places[1].address, &list.watch_query("north-a"));
    let leader = places[0].start_leader(states[0].path());
    first.wait_for_version(version);
    let line = stale_watch.next_line().expect("a line");
    assert!(
        line.gained.is_empty() && line.version.0 == version,
        "older changes were sent: {line:?}"
    );
    let version = leader.write(&entry(50, Draining));
    assert_eq!(watch_until(&mut list, places[1].address, version), 0);
    assert_eq!(list.counters().duplicate_entries, 0);
}
