//! A control process as far as a dispatcher sees it, in the test's own process: one whose answers a test can hold back. The
//! dispatcher's region is that of zone `north`, whose four buckets it holds; all else has to be looked up.

use crate::stand_in::{request, stand_in};
use crate::wait::wait_for;
use bellsill_directory::line::{EndpointEntry, EndpointState, ScopedLine, Version};
use bellsill_placement::{BucketId, Epoch};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How many buckets a region has.
pub const BUCKETS: u32 = 4;
/// The region's buckets come first among all.
const HELD_ZONE: &str = "north";
const LOG: &str = "c0ffee";
/// An empty line is sent this often, more often than by a real one.
const EMPTY_LINE_EVERY: Duration = Duration::from_millis(100);

#[derive(Default)]
struct State {
    version: u64,
    entries: Vec<EndpointEntry>,
    /// Destinations that are sent beside the buckets.
    cells: BTreeSet<u64>,
    /// Watches end when it changes.
    epoch: u64,
    /// The dispatcher's buckets are another's.
    taken_away: bool,
    /// The next line claims to be a snapshot.
    whole_list_next: bool,
    /// Lookups are answered 503.
    lookups_fail: bool,
    watch_queries: Vec<String>,
    lookup_queries: Vec<String>,
}

/// The stand-in, with what the test has it serve.
#[derive(Clone)]
pub struct Control {
    /// Where it listens.
    pub addr: String,
    state: Arc<Mutex<State>>,
}

impl Control {
    /// Starts it on a free port, with no endpoints.
    pub fn start() -> Control {
        let state: Arc<Mutex<State>> = Arc::default();
        let served = Arc::clone(&state);
        let addr = stand_in(move |stream| serve(stream, &served));
        Control { addr, state }
    }

    /// Writes an endpoint, as `POST /api/targets` does.
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

    /// Ends all watches; the next ones are served.
    pub fn end_watches(&self) {
        self.state.lock().unwrap().epoch += 1;
    }

    /// Assigns the dispatcher's buckets to another one.
    pub fn reassign_buckets(&self) {
        self.state.lock().unwrap().taken_away = true;
    }

    /// Sends a line that no dispatcher may take: a snapshot in the middle of a watch.
    pub fn send_snapshot_line(&self) {
        self.state.lock().unwrap().whole_list_next = true;
    }

    /// Whether lookups are answered 503 from now on.
    pub fn fail_lookups(&self, fail: bool) {
        self.state.lock().unwrap().lookups_fail = fail;
    }

    /// The query of each watch so far.
    pub fn watch_queries(&self) -> Vec<String> {
        self.state.lock().unwrap().watch_queries.clone()
    }

    /// The query of each lookup so far, of failed ones too.
    pub fn lookup_queries(&self) -> Vec<String> {
        self.state.lock().unwrap().lookup_queries.clone()
    }

    /// The query of the next watch after the first `seen` ones.
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
        .expect("a request for targets")
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
    if state.lookups_fail {
        to.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            .ok();
        return;
    }
    let cells = numbers(fields, "cells");
    let forgotten = numbers(fields, "forget");
    state.cells.retain(|cell| !forgotten.contains(cell));
    state.cells.extend(&cells);
    let wanted = |entry: &&EndpointEntry| {
        cells.contains(&entry.destination) && entry.state != EndpointState::Removed
    };
    let line = ScopedLine {
        version: Version(state.version),
        log: LOG.into(),
        servers: state.entries.iter().filter(wanted).cloned().collect(),
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
    let (mut line, epoch) = {
        let mut state = state.lock().unwrap();
        state.watch_queries.push(query.to_string());
        state.cells = numbers(fields, "cells");
        (first_line(fields, &state), state.epoch)
    };
    let (mut told, mut holds) = (line.version, true);
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
        std::thread::sleep(EMPTY_LINE_EVERY);
        let mut state = state.lock().unwrap();
        if state.epoch != epoch {
            return;
        }
        line = match state.version > told.0 {
            true => ScopedLine {
                servers: changes(&state, told),
                ..ScopedLine::default()
            },
            false => ScopedLine::default(),
        };
        if state.version > told.0 {
            told = Version(state.version);
            line.version = told;
        }
        line.full = std::mem::take(&mut state.whole_list_next);
        if holds && state.taken_away {
            holds = false;
            line.version = told;
            line.lost = (0..BUCKETS).map(BucketId).collect();
        }
    }
}

/// The first line: changes since, or all buckets anew and filled at once.
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
    let told = |entry: &&EndpointEntry| {
        let held = entry.zone == HELD_ZONE && !state.taken_away;
        entry.version > since && (held || state.cells.contains(&entry.destination))
    };
    state.entries.iter().filter(told).cloned().collect()
}
