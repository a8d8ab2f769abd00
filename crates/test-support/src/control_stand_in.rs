//! A stand-in for a control process that runs in the test process and whose responses the test controls. The dispatcher
//! is in the region of zone `north` and holds the four buckets of that region; it must look up all other destinations.

use crate::stand_in::{request, stand_in};
use crate::wait::wait_for;
use bellsill_directory::line::{EndpointEntry, EndpointState, ScopedLine, Version};
use bellsill_placement::{BucketId, Epoch};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The number of buckets per region.
pub const BUCKETS: u32 = 4;
/// The zone whose region's buckets the dispatcher holds. Those buckets have the lowest numbers.
const HELD_ZONE: &str = "north";
const LOG: &str = "c0ffee";
/// The interval of heartbeats, which is shorter than that of a real control process.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Default)]
struct State {
    version: u64,
    entries: Vec<EndpointEntry>,
    /// Cached destinations, whose changes are sent in addition to those of the buckets.
    cached_destinations: BTreeSet<u64>,
    /// Open watches end when it changes.
    watch_generation: u64,
    /// Whether the dispatcher's buckets are assigned to another dispatcher.
    reassigned: bool,
    /// Whether the next line is marked as a snapshot.
    snapshot_next: bool,
    /// Whether lookups get status 503.
    fail_lookups: bool,
    watch_queries: Vec<String>,
    lookup_queries: Vec<String>,
}

/// The stand-in control process.
#[derive(Clone)]
pub struct Control {
    /// The address at which it listens.
    pub addr: String,
    state: Arc<Mutex<State>>,
}

impl Control {
    /// Starts it on a free port, with an empty endpoint list.
    pub fn start() -> Control {
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = Arc::clone(&state);
        let addr = stand_in(move |stream| serve(stream, &shared));
        Control { addr, state }
    }

    /// Writes an endpoint entry, as `POST /api/targets` does.
    pub fn write(&self, id: &str, addr: &str, zone: &str, destination: u64, up: bool) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let entry = EndpointEntry {
            id: id.into(),
            addr: Some(addr.into()),
            zone: zone.into(),
            kind: "shops".into(),
            destination,
            state: if up {
                EndpointState::Up
            } else {
                EndpointState::Removed
            },
            weight: None,
            version: Version(state.version),
        };
        state.entries.retain(|known| known.id != id);
        state.entries.push(entry);
    }

    /// Ends all open watches. New watches are accepted.
    pub fn end_watches(&self) {
        self.state.lock().unwrap().watch_generation += 1;
    }

    /// Assigns the dispatcher's buckets to another dispatcher.
    pub fn reassign_buckets(&self) {
        self.state.lock().unwrap().reassigned = true;
    }

    /// Sends a snapshot in the middle of a watch, which a dispatcher must reject.
    pub fn send_snapshot_line(&self) {
        self.state.lock().unwrap().snapshot_next = true;
    }

    /// Sets whether lookups fail with status 503 from now on.
    pub fn fail_lookups(&self, fail: bool) {
        self.state.lock().unwrap().fail_lookups = fail;
    }

    /// Returns the query of each watch so far.
    pub fn watch_queries(&self) -> Vec<String> {
        self.state.lock().unwrap().watch_queries.clone()
    }

    /// Returns the query of each lookup so far, including failed ones.
    pub fn lookup_queries(&self) -> Vec<String> {
        self.state.lock().unwrap().lookup_queries.clone()
    }

    /// Waits for the next watch after the first `seen` watches, and returns its query.
    pub fn wait_for_watch_query(&self, seen: usize) -> String {
        wait_for("another watch", || self.watch_queries().len() > seen);
        self.watch_queries()[seen].clone()
    }
}

fn serve(stream: TcpStream, state: &Mutex<State>) {
    let mut to = stream.try_clone().unwrap();
    let mut from = BufReader::new(stream);
    let Some((head, _)) = request(&mut from) else {
        return;
    };
    let target = head[0].split(' ').nth(1).unwrap().to_string();
    let query = target
        .strip_prefix("/api/targets?")
        .expect("a request for /api/targets")
        .to_string();
    let fields: BTreeMap<&str, &str> = query
        .split('&')
        .filter_map(|field| field.split_once('='))
        .collect();
    assert_eq!(fields["dispatcher"], "d1");
    match fields.contains_key("follow") {
        true => serve_watch(&mut to, &fields, &query, state),
        false => serve_lookup(&mut to, &fields, &query, state),
    }
}

fn numbers(fields: &BTreeMap<&str, &str>, name: &str) -> BTreeSet<u64> {
    let list = fields.get(name).copied().unwrap_or_default();
    list.split(',')
        .filter(|text| !text.is_empty())
        .map(|text| text.parse().unwrap())
        .collect()
}

fn serve_lookup(
    to: &mut TcpStream,
    fields: &BTreeMap<&str, &str>,
    query: &str,
    state: &Mutex<State>,
) {
    let mut state = state.lock().unwrap();
    state.lookup_queries.push(query.to_string());
    if state.fail_lookups {
        to.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            .ok();
        return;
    }
    let requested = numbers(fields, "cells");
    let forgotten = numbers(fields, "forget");
    state
        .cached_destinations
        .retain(|destination| !forgotten.contains(destination));
    state.cached_destinations.extend(&requested);
    let is_requested = |entry: &&EndpointEntry| {
        requested.contains(&entry.destination) && entry.state != EndpointState::Removed
    };
    let line = ScopedLine {
        version: Version(state.version),
        log: LOG.into(),
        servers: state.entries.iter().filter(is_requested).cloned().collect(),
        ..ScopedLine::default()
    };
    let body = serde_json::to_string(&line).unwrap() + "\n";
    write!(
        to,
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .ok();
}

fn serve_watch(
    to: &mut TcpStream,
    fields: &BTreeMap<&str, &str>,
    query: &str,
    state: &Mutex<State>,
) {
    let (mut line, generation) = {
        let mut state = state.lock().unwrap();
        state.watch_queries.push(query.to_string());
        state.cached_destinations = numbers(fields, "cells");
        (first_line(fields, &state), state.watch_generation)
    };
    let (mut sent_version, mut assigned) = (line.version, true);
    if to
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .is_err()
    {
        return;
    }
    loop {
        let text = serde_json::to_string(&line).unwrap() + "\n";
        let text = if line == ScopedLine::default() {
            "\n".to_string()
        } else {
            text
        };
        if write!(to, "{:x}\r\n{text}\r\n", text.len()).is_err() {
            return;
        }
        std::thread::sleep(HEARTBEAT_INTERVAL);
        let mut state = state.lock().unwrap();
        if state.watch_generation != generation {
            return;
        }
        line = match state.version > sent_version.0 {
            true => ScopedLine {
                servers: changes(&state, sent_version),
                ..ScopedLine::default()
            },
            false => ScopedLine::default(),
        };
        if state.version > sent_version.0 {
            sent_version = Version(state.version);
            line.version = sent_version;
        }
        line.full = std::mem::take(&mut state.snapshot_next);
        if assigned && state.reassigned {
            assigned = false;
            line.version = sent_version;
            line.lost = (0..BUCKETS).map(BucketId).collect();
        }
    }
}

/// Returns the first line of a watch. If the dispatcher already has all buckets, it contains the changes since its
/// version; otherwise, all entries, with the missing buckets both gained and filled.
fn first_line(fields: &BTreeMap<&str, &str>, state: &State) -> ScopedLine {
    let known = fields.get("log") == Some(&LOG);
    let since = if known {
        Version(fields["since"].parse().unwrap())
    } else {
        Version(0)
    };
    let kept = if known {
        numbers(fields, "buckets")
    } else {
        BTreeSet::new()
    };
    let gained: Vec<BucketId> = (0..BUCKETS)
        .filter(|bucket| !kept.contains(&u64::from(*bucket)))
        .map(BucketId)
        .collect();
    let since = if gained.is_empty() { since } else { Version(0) };
    ScopedLine {
        version: Version(state.version),
        log: LOG.into(),
        epoch: Some(Epoch(1)),
        filled: gained.clone(),
        gained,
        servers: changes(state, since),
        ..ScopedLine::default()
    }
}

fn changes(state: &State, since: Version) -> Vec<EndpointEntry> {
    let is_sent = |entry: &&EndpointEntry| {
        let held = entry.zone == HELD_ZONE && !state.reassigned;
        entry.version > since && (held || state.cached_destinations.contains(&entry.destination))
    };
    state.entries.iter().filter(is_sent).cloned().collect()
}
