//! A fixture for tests: a control process of an installation with two regions of two zones each, and watchers that read
//! and check every line.

use bellsill_directory::entry::Endpoint;
use bellsill_directory::feed::{FILL_RATE, LineKind};
use bellsill_directory::line::{EndpointState, LONGEST_LINE, ScopedLine, Version};
use bellsill_directory::record::{LoggedRecord, Record};
use bellsill_directory::request::{TargetsRequest, WatchRequest};
use bellsill_directory::state::{Directory, LogId, Retention};
use bellsill_directory::watchers::{WatcherId, Watchers};
use bellsill_placement::{BucketId, Layout, Member, RegionName, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

pub(crate) const BUCKETS_PER_REGION: u32 = 8;
pub(crate) const SECOND: u64 = 1_000_000_000;

pub(crate) fn layout() -> Layout {
    let zones = [
        ("north-1", "north"),
        ("north-2", "north"),
        ("south-1", "south"),
        ("south-2", "south"),
    ];
    let zones = zones.map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)));
    Layout::new(zones, BUCKETS_PER_REGION).expect("a layout")
}

pub(crate) fn member(name: &str, zone: &str) -> Member {
    Member {
        name: name.into(),
        zone: zone.into(),
        weight: 1.0,
        present: true,
    }
}

pub(crate) fn endpoint(number: u64, state: EndpointState) -> Endpoint {
    let port = 1000 + (number % 60_000) as u16;
    Endpoint {
        id: format!("endpoint-{number}"),
        address: Some(([10, 0, 0, 1], port).into()),
        zone: "north-1".into(),
        kind: "plain".into(),
        destination: number,
        state,
        weight: None,
    }
}

/// The directory and the watchers of a control process, and the current time.
pub(crate) struct ControlFixture {
    pub(crate) directory: Directory,
    pub(crate) watchers: Watchers,
    pub(crate) now: u64,
}

impl ControlFixture {
    /// Creates a directory with four members, two in each region, and assigns the buckets to them.
    pub(crate) fn new(retention: Retention) -> ControlFixture {
        let log = LogId("feed".into());
        let directory = Directory::new(layout(), log, retention);
        let mut control = ControlFixture {
            directory,
            watchers: Watchers::new(FILL_RATE),
            now: 0,
        };
        control.write(Record::MembersChanged(vec![
            member("north-a", "north-1"),
            member("north-b", "north-2"),
            member("south-a", "south-1"),
            member("south-b", "south-2"),
        ]));
        control.assign();
        control
    }

    pub(crate) fn write(&mut self, record: Record) -> Version {
        let version = Version(self.directory.version().0 + 1);
        let applied = self
            .directory
            .apply(&LoggedRecord { version, record })
            .expect("a valid record");
        self.watchers.record_applied(&applied, &self.directory);
        version
    }

    pub(crate) fn write_endpoint(&mut self, number: u64, state: EndpointState) -> Version {
        self.write(Record::EndpointsChanged(vec![endpoint(number, state)]))
    }

    pub(crate) fn write_endpoints(&mut self, numbers: Range<u64>, state: EndpointState) {
        for number in numbers {
            self.write_endpoint(number, state);
        }
    }

    pub(crate) fn assign(&mut self) {
        let change = self.directory.plan().expect("a plan").expect("a change");
        self.write(Record::AssignmentChanged(change));
    }

    pub(crate) fn open(&mut self, query: &str) -> Watcher {
        let opened = self
            .watchers
            .open(watch(query), &self.directory, self.now)
            .expect("a watch");
        Watcher {
            id: opened.id,
            version: Version(0),
            filled: BTreeSet::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Reads all lines for the watcher until the next one is a heartbeat, advancing the time if there is none yet.
    pub(crate) fn read(&mut self, watcher: &mut Watcher) -> Vec<ScopedLine> {
        let mut lines = Vec::new();
        loop {
            match self
                .watchers
                .next_line(watcher.id, &self.directory, self.now)
            {
                Some(line) if line.kind == LineKind::Heartbeat => return lines,
                Some(line) => {
                    assert!(
                        line.bytes.len() <= LONGEST_LINE,
                        "a line of {} bytes",
                        line.bytes.len()
                    );
                    lines.push(watcher.read_line(&line.bytes));
                }
                None => self.now += SECOND / 10,
            }
        }
    }
}

pub(crate) fn watch(query: &str) -> WatchRequest {
    match TargetsRequest::parse(query).expect("a request") {
        TargetsRequest::Watch(request) => request,
        TargetsRequest::LookUp(_) => panic!("not a watch: {query}"),
    }
}

/// The state of a dispatcher, built from the lines that it has been sent.
pub(crate) struct Watcher {
    pub(crate) id: WatcherId,
    pub(crate) version: Version,
    /// Buckets of which every entry is known.
    pub(crate) filled: BTreeSet<BucketId>,
    pub(crate) entries: BTreeMap<String, (EndpointState, Version)>,
}

impl Watcher {
    pub(crate) fn read_line(&mut self, bytes: &[u8]) -> ScopedLine {
        let line: ScopedLine = serde_json::from_slice(bytes).expect("a line");
        assert!(
            line.version >= self.version,
            "the version went back from {:?} to {:?}",
            self.version,
            line.version
        );
        assert!(!line.full);
        self.version = line.version;
        line.gained.iter().chain(&line.lost).for_each(|bucket| {
            self.filled.remove(bucket);
        });
        self.filled.extend(&line.filled);
        for entry in &line.servers {
            let known = self
                .entries
                .insert(entry.id.clone(), (entry.state, entry.version));
            assert_ne!(
                known,
                Some((entry.state, entry.version)),
                "{} was sent twice",
                entry.id
            );
        }
        line
    }

    /// The query with which the dispatcher resumes its watch.
    pub(crate) fn resume_query(&self, name: &str, log: &str) -> String {
        let buckets: Vec<String> = self
            .filled
            .iter()
            .map(|bucket| bucket.0.to_string())
            .collect();
        let (since, buckets) = (self.version.0, buckets.join(","));
        format!("follow=1&since={since}&log={log}&dispatcher={name}&buckets={buckets}")
    }
}

pub(crate) fn entries_sent(lines: &[ScopedLine]) -> Vec<String> {
    lines
        .iter()
        .flat_map(|line| line.servers.iter().map(|entry| entry.id.clone()))
        .collect()
}
