//! Randomized test of a dispatcher's list against the directories of a leader and a follower, without sockets: after
//! any sequence of writes, reassignments, broken watches and lookups, the list converges to the leader's directory. The
//! seeds are fixed, so every run executes the same cases.

use bellsill_directory::entry::Endpoint;
use bellsill_directory::feed::{FILL_RATE, LineKind};
use bellsill_directory::line::{EndpointState, ScopedLine, Version};
use bellsill_directory::record::{LoggedRecord, Record};
use bellsill_directory::request::TargetsRequest;
use bellsill_directory::state::{Directory, LogId, Retention};
use bellsill_directory::watchers::{WatcherId, Watchers};
use bellsill_discovery_client::{DestinationStatus, ScopedList};
use bellsill_placement::{Layout, Member, RegionName, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::Arc;

const CASES: u64 = 400;
const STEPS_PER_CASE: usize = 80;
const ENDPOINTS: u64 = 60;
const TICK_NS: u64 = 100_000_000;
const DISPATCHER: &str = "north-a";

fn layout() -> Layout {
    let zones = [
        ("north-1", "north"),
        ("north-2", "north"),
        ("south-1", "south"),
        ("south-2", "south"),
    ];
    Layout::new(
        zones.map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region))),
        8,
    )
    .expect("the layout is valid")
}

/// Every third destination has endpoints in both regions; the others have endpoints in one region.
fn zone_of(number: u64) -> &'static str {
    let destination = number / 4;
    let north = match destination % 3 {
        0 => number.is_multiple_of(2),
        _ => destination.is_multiple_of(2),
    };
    if north { "north-1" } else { "south-1" }
}

fn endpoint(number: u64, state: EndpointState) -> Endpoint {
    Endpoint {
        id: format!("endpoint-{number}"),
        address: Some(([10, 0, 0, 1], 9000).into()),
        zone: zone_of(number).into(),
        kind: "plain".into(),
        destination: number / 4,
        state,
        weight: None,
    }
}

/// The directory and the watchers of a control process.
struct ControlProcess {
    directory: Directory,
    watchers: Watchers,
}

impl ControlProcess {
    fn new(retention: Retention) -> ControlProcess {
        let directory = Directory::new(layout(), LogId("random".into()), retention);
        ControlProcess {
            directory,
            watchers: Watchers::new(FILL_RATE),
        }
    }

    fn apply(&mut self, logged: &LoggedRecord) {
        let applied = self.directory.apply(logged).expect("the record is valid");
        self.watchers.record_applied(&applied, &self.directory);
    }
}

struct Case {
    random: Pcg64Mcg,
    leader: ControlProcess,
    follower: ControlProcess,
    /// Records that the follower has not applied yet.
    unreplicated: Vec<LoggedRecord>,
    list: ScopedList,
    /// The open watch, and whether it is at the leader.
    watch: Option<(bool, WatcherId)>,
    now: u64,
}

impl Case {
    fn new(seed: u64, retention: Retention) -> Case {
        let mut case = Case {
            random: Pcg64Mcg::seed_from_u64(seed),
            leader: ControlProcess::new(retention),
            follower: ControlProcess::new(retention),
            unreplicated: Vec::new(),
            list: ScopedList::new(Arc::new(layout()), 4),
            watch: None,
            now: 0,
        };
        case.write(Record::MembersChanged(vec![
            member(DISPATCHER, "north-1", true),
            member("north-b", "north-2", true),
            member("south-a", "south-1", true),
        ]));
        case.assign();
        case.replicate(usize::MAX);
        case
    }

    fn write(&mut self, record: Record) {
        let version = Version(self.leader.directory.version().0 + 1);
        let logged = LoggedRecord { version, record };
        self.leader.apply(&logged);
        self.unreplicated.push(logged);
    }

    fn assign(&mut self) {
        if let Some(change) = self
            .leader
            .directory
            .plan()
            .expect("the assignment can be planned")
        {
            self.write(Record::AssignmentChanged(change));
        }
    }

    fn replicate(&mut self, limit: usize) {
        let count = limit.min(self.unreplicated.len());
        for logged in self.unreplicated.drain(..count) {
            self.follower.apply(&logged);
        }
    }

    fn process(&mut self, at_leader: bool) -> &mut ControlProcess {
        if at_leader {
            &mut self.leader
        } else {
            &mut self.follower
        }
    }

    fn break_watch(&mut self) {
        if let Some((at_leader, id)) = self.watch.take() {
            self.process(at_leader).watchers.close(id);
        }
    }

    fn open_watch(&mut self, at_leader: bool) {
        self.break_watch();
        let query = format!("follow=1&{}", self.list.watch_query(DISPATCHER));
        self.list.watch_requested();
        let Ok(TargetsRequest::Watch(request)) = TargetsRequest::parse(&query) else {
            panic!("query was not parsed as expected: {query}")
        };
        let now = self.now;
        let process = self.process(at_leader);
        let opened = process
            .watchers
            .open(request, &process.directory, now)
            .expect("the watch is accepted");
        self.watch = Some((at_leader, opened.id));
    }

    /// Reads up to `limit` lines. Returns false if there is no watch or a heartbeat shows that no lines are pending.
    fn read_lines(&mut self, limit: usize) -> bool {
        let Some((at_leader, id)) = self.watch else {
            return false;
        };
        for _ in 0..limit {
            let now = self.now;
            let process = self.process(at_leader);
            match process.watchers.next_line(id, &process.directory, now) {
                Some(line) if line.kind == LineKind::Heartbeat => return false,
                Some(line) => drop(
                    self.list
                        .apply_document(&line.bytes)
                        .expect("the line can be applied"),
                ),
                None => self.now += TICK_NS,
            }
        }
        true
    }

    fn look_up(&mut self) {
        let destination = self.random.random_range(0..ENDPOINTS / 4);
        let Some((at_leader, _)) = self.watch else {
            return;
        };
        if self.list.status(destination) != DestinationStatus::Unknown || self.list.log().is_empty()
        {
            return;
        }
        self.list
            .request_lookup(destination, &|_| false)
            .expect("the cache accepts the lookup");
        let forget = self.list.evicted();
        let target = ScopedList::lookup_target(DISPATCHER, &[destination], &forget);
        let query = target
            .split_once('?')
            .map_or("", |(_, query)| query)
            .to_string();
        let Ok(TargetsRequest::LookUp(request)) = TargetsRequest::parse(&query) else {
            panic!("query was not parsed as expected: {query}")
        };
        let process = self.process(at_leader);
        if process
            .watchers
            .change_cached_destinations(&request)
            .is_err()
        {
            self.list.cancel_lookup(destination);
            return;
        }
        let line = ScopedLine {
            version: process.directory.version(),
            log: process.directory.log().0.clone(),
            servers: process.directory.look_up(&[destination]),
            ..ScopedLine::default()
        };
        self.list.mark_released(&forget);
        self.list
            .apply_lookup(&[destination], line)
            .expect("the lookup response can be applied");
    }

    fn step(&mut self, with_lookups: bool) {
        match self.random.random_range(0..14) {
            0..=5 => {
                let number = self.random.random_range(0..ENDPOINTS);
                let states = [
                    EndpointState::Up,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ];
                let state = states[self.random.random_range(0..states.len())];
                self.write(Record::EndpointsChanged(vec![endpoint(number, state)]));
            }
            6 => {
                let present = self.random.random_range(0..2) == 0;
                let name = ["north-b", "north-c", "north-d"][self.random.random_range(0..3)];
                let zone = if name == "north-b" {
                    "north-2"
                } else {
                    "north-1"
                };
                self.write(Record::MembersChanged(vec![member(name, zone, present)]));
                self.assign();
            }
            7 => {
                let at_leader = self.random.random_range(0..2) == 0;
                self.open_watch(at_leader);
            }
            8 => {
                let limit = self.random.random_range(0..5);
                self.replicate(limit);
            }
            9 if with_lookups => self.look_up(),
            _ => {
                let limit = self.random.random_range(0..4);
                self.read_lines(limit);
            }
        }
    }

    fn finish(&mut self) {
        self.replicate(usize::MAX);
        if self.watch.is_none() {
            self.open_watch(true);
        }
        while self.read_lines(100) {}
    }

    /// Returns the expected and the actual versions of the endpoints in the list, by id.
    fn expected_and_actual(&self) -> (BTreeMap<String, Version>, BTreeMap<String, Version>) {
        let directory = &self.leader.directory;
        let held = directory.held_by(&DISPATCHER.into());
        let entries = directory.entries();
        let expected = entries.after(None).filter(|index| {
            let destination = entries.destination(*index).expect("the index is valid");
            let in_scope = entries
                .bucket(*index)
                .is_some_and(|bucket| held.contains(&bucket))
                || self.list.status(destination) == DestinationStatus::Cached;
            in_scope && entries.state(*index) != Some(EndpointState::Removed)
        });
        let expected = expected
            .filter_map(|index| entries.entry(index))
            .map(|entry| (entry.id, entry.version));
        let actual = self
            .list
            .entries()
            .map(|entry| (entry.id.clone(), entry.version));
        (expected.collect(), actual.collect())
    }
}

fn member(name: &str, zone: &str, present: bool) -> Member {
    Member {
        name: name.into(),
        zone: zone.into(),
        weight: 1.0,
        present,
    }
}

fn run_case(seed: u64, retention: Retention, with_lookups: bool) {
    let mut case = Case::new(seed, retention);
    for _ in 0..STEPS_PER_CASE {
        case.step(with_lookups);
    }
    case.finish();
    let held = case.leader.directory.held_by(&DISPATCHER.into());
    assert_eq!(
        case.list.complete_buckets().collect::<Vec<_>>(),
        held.into_iter().collect::<Vec<_>>(),
        "seed {seed}"
    );
    let (expected, actual) = case.expected_and_actual();
    assert_eq!(actual, expected, "seed {seed}");
}

#[test]
fn a_list_converges_to_the_directory() {
    (0..CASES).for_each(|seed| run_case(seed, Retention::default(), true));
}

#[test]
fn a_list_converges_to_the_directory_when_removals_are_not_retained() {
    (0..CASES).for_each(|seed| {
        run_case(
            seed,
            Retention {
                changes: 10,
                removed: 2,
            },
            false,
        )
    });
}
