//! Discovery: the watch on the list of endpoints. It starts from the list known last and is kept through breaks;
//! silence changes nothing.

use crate::backoff::{Backoff, FIRST_LINE_WITHIN, SILENT_FOR, UP_WITHIN};
use crate::conns::{ConnId, Role};
use crate::event_loop::Daemon;
use crate::http::{self, Body};
use crate::mails::{Due, Hands};
use bellsill::interface::*;
use bellsill_boot::Names;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The longest line that is read; a longer one is skipped.
const LINE_MOST: usize = 8 * 1024 * 1024;

/// How long a call whose first line is late is kept while others are made. A discovery that serves few calls a second
/// answers in turn, and a call given up is served all the same: were each given up before its turn, nobody would be told.
pub const KEPT_FOR: Nanos = 9_000_000_000;

pub struct Discovery {
    addr: SocketAddr,
    /// Of the last line that was whole.
    version: u64,
    /// Either one of them is not late, or another call has its time set.
    watches: Vec<Watch>,
    names: Names,
    backoff: Backoff,
}

struct Watch {
    conn: ConnId,
    /// When it was called, or the last whole line came from it. Bytes alone do not show that it is alive: one that says no
    /// whole line would hide drains for good, though its connection never ends.
    since: Nanos,
    body: Option<Body>,
    line: Vec<u8>,
    /// Lines of a list that goes on.
    begun: Vec<u8>,
    /// A whole line has come from it.
    serves: bool,
    /// Its first line is late, and another call is made meanwhile.
    late: bool,
}

impl Discovery {
    pub fn new(addr: SocketAddr, names: Names, backoff: Backoff) -> Discovery {
        Discovery { addr, version: 0, watches: vec![], names, backoff }
    }

    pub fn zones(&self) -> &[String] {
        &self.names.zones
    }
}

impl Hands {
    /// Has the watch connected to for the first time.
    pub fn watch_first(&mut self, drain_grace: Nanos) {
        let rest = self.discovery.backoff.first_rest(drain_grace);
        match rest {
            0 => self.watch(),
            _ => self.deadlines.set(Due::Watch, self.now + rest),
        }
    }

    /// Has the watch connected to once it has rested; `since` is when what failed was well last.
    fn watch_later(&mut self, since: Nanos) {
        let rest = self.discovery.backoff.rest(self.now - since);
        self.deadlines.set(Due::Watch, self.now + rest);
    }

    /// Connects to the watch.
    pub fn watch(&mut self) {
        let bounds = (64 * 1024, 1024);
        match self.conns.open(self.discovery.addr, Role::Watch, bounds) {
            Ok(conn) => {
                self.discovery.watches.push(Watch {
                    conn,
                    since: self.now,
                    body: None,
                    line: vec![],
                    begun: vec![],
                    serves: false,
                    late: false,
                });
                let request = http::watch(self.discovery.addr, self.discovery.version);
                if let Some(conn) = self.conns.get_mut(conn) {
                    conn.output.push(request.as_bytes());
                }
                self.deadlines.set(Due::Conn(conn), self.now + UP_WITHIN);
            }
            Err(_) => self.watch_later(self.now),
        }
    }

    /// Discovery has moved. The new source's versions are its own: after the old one's last, what it tells could be
    /// passed over, so it is asked for everything.
    pub fn watch_at(&mut self, addr: SocketAddr) {
        if addr == self.discovery.addr {
            return;
        }
        self.close_watches(|_| true);
        self.deadlines.clear(Due::Watch);
        (self.discovery.addr, self.discovery.version) = (addr, 0);
        self.discovery.backoff.served();
        // What the new source has counts as told soon after the signal.
        self.watch();
    }

    fn close_watches(&mut self, which: impl Fn(&Watch) -> bool) {
        let (gone, kept) = std::mem::take(&mut self.discovery.watches).into_iter().partition(&which);
        self.discovery.watches = kept;
        let gone: Vec<Watch> = gone;
        for watch in gone {
            self.deadlines.clear(Due::Conn(watch.conn));
            self.conns.close(watch.conn);
        }
    }

    pub fn watch_broke(&mut self, id: ConnId) {
        let since = self.discovery.watches.iter().find(|w| w.conn == id && !w.late).map(|w| w.since);
        self.close_watches(|w| w.conn == id);
        if let Some(since) = since {
            self.watch_later(since);
        }
    }

    /// A watch has had its time: to come up, to its first line, or to the next one.
    pub fn watch_overdue(&mut self, id: ConnId) {
        let up = self.conns.get(id).is_some_and(|c| !c.rising);
        match self.discovery.watches.iter_mut().find(|w| w.conn == id) {
            Some(watch) if up && !watch.serves && !watch.late => {
                watch.late = true;
                let since = watch.since;
                self.deadlines.set(Due::Conn(id), since + KEPT_FOR);
                self.watch_later(since);
            }
            _ => self.watch_broke(id),
        }
    }

    /// Reads what has come, and tells the lines that are complete.
    fn watch_lines(&mut self, id: ConnId) -> Option<Vec<Vec<u8>>> {
        self.conns.fill(id).ok()?;
        let conn = self.conns.get_mut(id)?;
        let watch = self.discovery.watches.iter_mut().find(|w| w.conn == id)?;
        if watch.body.is_none() {
            let Some(head) = http::head(&mut conn.input).ok()? else {
                return (!conn.ended).then(Vec::new);
            };
            if head.status != 200 {
                return None;
            }
            watch.body = Some(head.body);
        }
        let (body, line) = (watch.body.as_mut()?, &mut watch.line);
        let mut lines = Vec::new();
        let taken = body.take(&mut conn.input, |mut bytes| {
            while let Some(end) = bytes.iter().position(|&b| b == b'\n') {
                line.extend(&bytes[..end]);
                lines.push(std::mem::take(line));
                bytes = &bytes[end + 1..];
            }
            line.extend(bytes);
            if line.len() > LINE_MOST {
                line.clear();
            }
        });
        // What came before the end still counts: it is told again after the version of the last line.
        if taken.is_err() || conn.ended || *body == Body::Done {
            conn.last = true;
        }
        Some(lines)
    }

    /// Whole lines have come from a watch: it is the one that serves, and the others are not needed.
    fn watch_serves(&mut self, id: ConnId) {
        let now = self.now;
        self.deadlines.set(Due::Conn(id), now + SILENT_FOR);
        self.discovery.backoff.served();
        self.close_watches(|w| w.conn != id);
        self.deadlines.clear(Due::Watch);
        self.discovery.watches.iter_mut().for_each(|w| (w.serves, w.late, w.since) = (true, false, now));
    }
}

impl Daemon {
    pub fn watch_ready(&mut self, id: ConnId) {
        let hands = &mut self.hands;
        let rising = hands.conns.get(id).is_some_and(|c| c.rising);
        if rising {
            match hands.conns.risen(id) {
                Ok(()) => hands.deadlines.set(Due::Conn(id), hands.now + FIRST_LINE_WITHIN),
                Err(_) => return hands.watch_broke(id),
            }
        }
        let Some(lines) = hands.watch_lines(id) else { return hands.watch_broke(id) };
        // Bytes alone do not show that it is alive.
        if !lines.is_empty() {
            hands.watch_serves(id);
        }
        for line in lines {
            self.list_line(id, &line);
        }
        let hands = &mut self.hands;
        let last = hands.conns.get(id).is_none_or(|c| c.last);
        if last || hands.conns.flush(id).and_then(|()| hands.conns.arm(id)).is_err() {
            hands.watch_broke(id);
        }
    }

    /// One line of the watch: a bad one is logged and skipped.
    fn list_line(&mut self, id: ConnId, line: &[u8]) {
        let line = line.trim_ascii();
        if line.is_empty() {
            return;
        }
        // An agent may write a list indented, over many lines: what ends too early goes on in the next one.
        let Some(watch) = self.hands.discovery.watches.iter_mut().find(|w| w.conn == id) else { return };
        let mut begun = std::mem::take(&mut watch.begun);
        if !begun.is_empty() {
            begun.push(b'\n');
            begun.extend(line);
            match serde_json::from_slice::<Value>(&begun) {
                Ok(json) => return self.list(&json),
                Err(e) if e.is_eof() && begun.len() < LINE_MOST => {
                    return watch.begun = begun;
                }
                Err(e) => log::warn!("discovery: lines that are no JSON were skipped: {e}"),
            }
        }
        match serde_json::from_slice::<Value>(line) {
            Ok(json) => self.list(&json),
            Err(e) if e.is_eof() => watch.begun = line.to_vec(),
            Err(e) => log::warn!("discovery: a line that is no JSON was skipped: {e}"),
        }
    }

    /// A list, whole or of changes.
    pub fn list(&mut self, json: &Value) {
        let (version, servers) = (json.get("version").and_then(Value::as_u64), json.get("servers"));
        let (Some(version), Some(servers)) = (version, servers.and_then(Value::as_array)) else {
            return log::warn!("discovery: a line with no version or no servers was skipped");
        };
        let whole = json.get("full").and_then(Value::as_bool).unwrap_or(false);
        let mut entries = Vec::with_capacity(servers.len());
        let id = |server: &Value| server.get("id").and_then(Value::as_str).map(str::to_string);
        let drains = |server: &&Value| {
            matches!(server.get("state").and_then(Value::as_str), Some("draining" | "removed"))
        };
        let draining: BTreeSet<String> = servers.iter().filter(drains).filter_map(id).collect();
        let mut named = BTreeSet::new();
        for server in servers {
            // A whole list names each once. Of two that differ the one that serves is not believed: nothing new may go to
            // one that drains. Changes may tell of one endpoint twice, the later change last.
            if whole && let Some(id) = id(server) {
                let believed = drains(&server) || !draining.contains(&id);
                if !believed || !named.insert(id.clone()) {
                    log::warn!("discovery: an entry was skipped, its id {id:?} is in the list twice");
                    continue;
                }
            }
            match self.hands.entry(server) {
                Ok(entry) => entries.extend(entry),
                Err(what) => log::warn!("discovery: an entry was skipped, its {what} cannot be read"),
            }
        }
        let hands = &mut self.hands;
        hands.discovery.version = version;
        // By their ids: asked of each endpoint, a list of thousands would stop all else for seconds.
        let told: BTreeMap<EndpointId, bool> = entries.iter().map(|e| (e.endpoint, e.serving)).collect();
        for id in hands.endpoints.ids() {
            let serving = told.get(&id).copied().unwrap_or(hands.endpoints[id].serving && !whole);
            hands.endpoints[id].serving = serving;
            if !serving {
                hands.close_idle(id);
            }
        }
        // Held out by hand, whatever the list says: the decisions know before they hear of it.
        let held: Vec<EndpointId> =
            hands.held_out.iter().filter_map(|name| hands.endpoints.find(name)).collect();
        for id in held {
            self.dispatcher.set_disabled(hands.now, id, true, hands);
        }
        let scope = if whole { ListScope::Whole } else { ListScope::Update };
        self.dispatcher.apply_list(hands.now, scope, &entries, hands);
    }
}

impl Hands {
    /// An entry of the list; none for an endpoint that never served and does not now: nothing hangs on it.
    fn entry(&mut self, server: &Value) -> Result<Option<ListEntry>, &'static str> {
        let word = |field: &'static str| server.get(field).and_then(Value::as_str).ok_or(field);
        let (name, zone, kind, state) = (word("id")?, word("zone")?, word("kind")?, word("state")?);
        let serving = match state {
            "up" => true,
            "draining" | "removed" => false,
            _ => return Err("state"),
        };
        let weight = server.get("weight").map(|w| w.as_f64().ok_or("weight")).transpose()?;
        let rate = self.discovery.names.rate(weight).ok_or("weight")?;
        let destination = server.get("cell").and_then(Value::as_u64).ok_or("cell")?;
        let known = self.endpoints.find(name);
        let addr = match (word("addr").ok().and_then(|a| a.parse().ok()), known) {
            (Some(addr), _) => addr,
            (None, Some(id)) if !serving => self.endpoints[id].addr,
            _ => return Err("addr"),
        };
        if known.is_none() && !serving {
            return Ok(None);
        }
        let endpoint = self.endpoints.know(name, addr, zone, destination);
        if self.endpoints[endpoint].addr != addr {
            self.close_idle(endpoint);
            self.endpoints[endpoint].addr = addr;
            // What still comes up at the old address would be somebody else's by then.
            let rises = |id: &ConnId| {
                self.conns.get(*id).is_some_and(|c| c.rising && c.role == Role::Endpoint(endpoint))
            };
            let calls = self.endpoints.calls.iter().filter(|(id, _)| rises(id));
            for slot in calls.map(|(_, slot)| *slot).collect::<Vec<_>>() {
                self.break_call(slot, Outcome::Unsent(false));
            }
        }
        let find = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(usize::MAX);
        Ok(Some(ListEntry {
            endpoint,
            destination: DestinationId(destination),
            zone: ZoneId(find(&self.discovery.names.zones, zone)),
            kind: KindId(find(&self.discovery.names.kinds, kind)),
            serving,
            rate,
        }))
    }
}
