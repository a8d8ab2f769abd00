//! A dispatcher's list and the directories of two control processes, without sockets: the list converges to the directory
//! after any sequence of writes, reassignments, broken watches and look-ups. The cases are the same in each run.

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
const STEPS: usize = 80;
const ENDPOINTS: u64 = 60;
const TICK: u64 = 100_000_000;
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
    .expect("a layout")
}

/// Every third destination has endpoints in both regions, the others in one.
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

/// A control process that may be behind the other one.
struct Server {
    directory: Directory,
    watchers: Watchers,
}

impl Server {
    fn new(keeping: Retention) -> Server {
        let directory = Directory::new(layout(), LogId("random".into()), keeping);
        Server {
            directory,
            watchers: Watchers::new(FILL_RATE),
        }
    }

    fn apply(&mut self, logged: &LoggedRecord) {
        let applied = self.directory.apply(logged).expect("a good record");
        self.watchers.record_applied(&applied, &self.directory);
    }
}

struct Case {
    random: Pcg64Mcg,
    leader: Server,
    follower: Server,
    /// What the follower is behind.
    behind: Vec<LoggedRecord>,
    list: ScopedList,
    watch: Option<(bool, WatcherId)>,
    now: u64,
}

impl Case {
    fn new(seed: u64, keeping: Retention) -> Case {
        let mut case = Case {
            random: Pcg64Mcg::seed_from_u64(seed),
            leader: Server::new(keeping),
            follower: Server::new(keeping),
            behind: Vec::new(),
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
        case.follow(usize::MAX);
        case
    }

    fn write(&mut self, record: Record) {
        let version = Version(self.leader.directory.version().0 + 1);
        let logged = LoggedRecord { version, record };
        self.leader.apply(&logged);
        self.behind.push(logged);
    }

    fn assign(&mut self) {
        if let Some(change) = self.leader.directory.plan().expect("a plan") {
            self.write(Record::AssignmentChanged(change));
        }
    }

    fn follow(&mut self, most: usize) {
        let count = most.min(self.behind.len());
        for logged in self.behind.drain(..count) {
            self.follower.apply(&logged);
        }
    }

    fn server(&mut self, is_leader: bool) -> &mut Server {
        if is_leader {
            &mut self.leader
        } else {
            &mut self.follower
        }
    }

    fn break_watch(&mut self) {
        if let Some((is_leader, id)) = self.watch.take() {
            self.server(is_leader).watchers.close(id);
        }
    }

    fn ask(&mut self, is_leader: bool) {
        self.break_watch();
        let query = format!("follow=1&{}", self.list.watch_query(DISPATCHER));
        self.list.watch_requested();
        let Ok(TargetsRequest::Watch(request)) = TargetsRequest::parse(&query) else {
            panic!("{query}")
        };
        let now = self.now;
        let server = self.server(is_leader);
        let opened = server
            .watchers
            .open(request, &server.directory, now)
            .expect("a watch");
        self.watch = Some((is_leader, opened.id));
    }

    /// Reads some lines; false once there is nothing but an empty one.
    fn read(&mut self, most: usize) -> bool {
        let Some((is_leader, id)) = self.watch else {
            return false;
        };
        for _ in 0..most {
            let now = self.now;
            let server = self.server(is_leader);
            match server.watchers.next_line(id, &server.directory, now) {
                Some(line) if line.kind == LineKind::Heartbeat => return false,
                Some(line) => drop(
                    self.list
                        .apply_document(&line.bytes)
                        .expect("a line that can be applied"),
                ),
                None => self.now += TICK,
            }
        }
        true
    }

    fn look_up(&mut self) {
        let destination = self.random.random_range(0..ENDPOINTS / 4);
        let Some((is_leader, _)) = self.watch else {
            return;
        };
        if self.list.status(destination) != DestinationStatus::Unknown || self.list.log().is_empty()
        {
            return;
        }
        self.list
            .request_lookup(destination, &|_| false)
            .expect("room in the cache");
        let forget = self.list.evicted();
        let target = ScopedList::lookup_target(DISPATCHER, &[destination], &forget);
        let query = target
            .split_once('?')
            .map_or("", |(_, query)| query)
            .to_string();
        let Ok(TargetsRequest::LookUp(request)) = TargetsRequest::parse(&query) else {
            panic!("{query}")
        };
        let server = self.server(is_leader);
        if server
            .watchers
            .change_cached_destinations(&request)
            .is_err()
        {
            self.list.cancel_lookup(destination);
            return;
        }
        let line = ScopedLine {
            version: server.directory.version(),
            log: server.directory.log().0.clone(),
            servers: server.directory.look_up(&[destination]),
            ..ScopedLine::default()
        };
        self.list.mark_released(&forget);
        self.list
            .apply_lookup(&[destination], line)
            .expect("an answer that can be applied");
    }

    fn step(&mut self, look_up: bool) {
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
                let is_leader = self.random.random_range(0..2) == 0;
                self.ask(is_leader);
            }
            8 => {
                let most = self.random.random_range(0..5);
                self.follow(most);
            }
            9 if look_up => self.look_up(),
            _ => {
                let most = self.random.random_range(0..4);
                self.read(most);
            }
        }
    }

    fn finish(&mut self) {
        self.follow(usize::MAX);
        if self.watch.is_none() {
            self.ask(true);
        }
        while self.read(100) {}
    }

    /// What the list has to be, and what it is.
    fn both(&self) -> (BTreeMap<String, Version>, BTreeMap<String, Version>) {
        let directory = &self.leader.directory;
        let held = directory.held_by(&DISPATCHER.into());
        let entries = directory.entries();
        let wanted = entries.after(None).filter(|index| {
            let destination = entries.destination(*index).expect("an endpoint");
            let kept = entries
                .bucket(*index)
                .is_some_and(|bucket| held.contains(&bucket))
                || self.list.status(destination) == DestinationStatus::Cached;
            kept && entries.state(*index) != Some(EndpointState::Removed)
        });
        let wanted = wanted
            .filter_map(|index| entries.entry(index))
            .map(|entry| (entry.id, entry.version));
        let known = self
            .list
            .entries()
            .map(|entry| (entry.id.clone(), entry.version));
        (wanted.collect(), known.collect())
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

fn run(seed: u64, keeping: Retention, look_up: bool) {
    let mut case = Case::new(seed, keeping);
    for _ in 0..STEPS {
        case.step(look_up);
    }
    case.finish();
    let held = case.leader.directory.held_by(&DISPATCHER.into());
    assert_eq!(
        case.list.complete_buckets().collect::<Vec<_>>(),
        held.into_iter().collect::<Vec<_>>(),
        "case {seed}"
    );
    let (wanted, known) = case.both();
    assert_eq!(known, wanted, "case {seed}");
}

#[test]
fn a_list_converges_to_the_directory() {
    (0..CASES).for_each(|seed| run(seed, Retention::default(), true));
}

#[test]
fn a_list_converges_to_the_directory_when_removals_are_forgotten() {
    (0..CASES).for_each(|seed| {
        run(
            seed,
            Retention {
                changes: 10,
                removed: 2,
            },
            false,
        )
    });
}
