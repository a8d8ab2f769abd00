//! Operators' calls: one line in, one line out (`show-stat`: lines up to `EOT`), on a listener of their own in the one
//! loop. The parser and the metrics are plain; the daemon hands what is asked to the decisions and the drain.

use crate::conns::{ConnectionId, MAX_ADMIN_CONNECTIONS, Role};
use crate::event_loop::Daemon;
use crate::messages::{Runtime, Timer};
use crate::scope::ScopeFile;
use bellsill_core::interface::Nanos;
use bellsill_discovery_client::{Counters, ScopedList};
use std::fmt::Write;

/// The longest call line, its end included; what is longer is answered `FAILURE` and the caller closed.
pub const MAX_LINE_BYTES: usize = 512;
const TOO_LONG: &str = "a call is 512 bytes at most";
/// Room for the answer to `show-stat`: a few lines a class.
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// How long a caller may take to send a whole line, and to read its answer.
const REQUEST_TIMEOUT: Nanos = 2_000_000_000;
/// The longest endpoint id taken.
pub const MAX_ENDPOINT_ID_BYTES: usize = 256;
/// Endpoints that may be held out by hand at once: the list of them outlasts the process and must stay small.
pub const MAX_DISABLED: usize = 1024;
/// The file of the folder that lasts that names them, one a line.
pub const DISABLED_FILE: &str = "held-out";

/// Reads the endpoints held out by hand. A line that is no id is skipped and said, and so are those beyond the bound.
pub fn parse_disabled(text: &str) -> (std::collections::BTreeSet<String>, Vec<String>) {
    let (mut held, mut bad) = (std::collections::BTreeSet::new(), Vec::new());
    for (n, line) in text
        .lines()
        .enumerate()
        .filter(|(_, l)| !l.trim().is_empty())
    {
        match parse(format!("disable-server {line}").as_bytes()) {
            Ok(Request::Disable(id)) if held.len() < MAX_DISABLED => drop(held.insert(id)),
            Ok(_) => bad.push(format!(
                "line {}: more than {MAX_DISABLED} endpoints",
                n + 1
            )),
            Err(_) => bad.push(format!("line {}: no endpoint id", n + 1)),
        }
    }
    (held, bad)
}

/// The endpoints held out by hand, as the folder that lasts has them. What is no id is said, and the rest is used.
pub fn load_disabled(
    folder: &std::path::Path,
) -> std::io::Result<std::collections::BTreeSet<String>> {
    let path = folder.join(DISABLED_FILE);
    let text = match std::fs::read(&path) {
        Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => String::new(),
        Err(e) => return Err(e),
    };
    let (held, bad) = parse_disabled(&text);
    bad.iter()
        .for_each(|why| log::error!("{}: {why}, skipped", path.display()));
    log::info!("{} endpoints are disabled", held.len());
    Ok(held)
}

/// Takes an endpoint out or puts it back. True: that was a change.
fn set_disabled_flag(held: &mut std::collections::BTreeSet<String>, name: &str, out: bool) -> bool {
    if out {
        held.insert(name.to_string())
    } else {
        held.remove(name)
    }
}

/// What changes with the list of endpoints held out each time that it is written: none while there is none.
pub fn disabled_stamp(folder: &std::path::Path) -> Option<(u64, std::time::SystemTime)> {
    use std::os::unix::fs::MetadataExt;
    let file = std::fs::metadata(folder.join(DISABLED_FILE)).ok()?;
    Some((file.ino(), file.modified().ok()?))
}

/// Writes the endpoints held out beside the file, then puts it in its place: a reader finds the old list or the new.
pub fn write_disabled(
    folder: &std::path::Path,
    held: &std::collections::BTreeSet<String>,
) -> std::io::Result<()> {
    let next = folder.join(format!("{DISABLED_FILE}.{}", std::process::id()));
    let text: String = held.iter().map(|id| format!("{id}\n")).collect();
    std::fs::write(&next, text).and_then(|()| std::fs::rename(&next, folder.join(DISABLED_FILE)))
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    Ready,
    ShowStat,
    Disable(String),
    Enable(String),
    Drain,
    Resume,
}

/// Reads one call, without its line end. What is wrong is said in words for the `FAILURE` line.
pub fn parse(line: &[u8]) -> Result<Request, String> {
    let text = std::str::from_utf8(line).map_err(|_| "the call is not UTF-8".to_string())?;
    let mut words = text.split_ascii_whitespace();
    let Some(name) = words.next() else {
        return Err("an empty call".into());
    };
    let id = words.next();
    if let Some(extra) = words.next() {
        return Err(format!("`{name}` takes no word `{}`", extra.escape_debug()));
    }
    let needs_id = |id: Option<&str>| match id {
        None => Err(format!("`{name}` needs an endpoint id")),
        Some(id) if id.len() > MAX_ENDPOINT_ID_BYTES => Err(format!(
            "an endpoint id is {MAX_ENDPOINT_ID_BYTES} bytes at most"
        )),
        Some(id) => Ok(id.to_string()),
    };
    let plain = |call: Request| match id {
        Some(extra) => Err(format!("`{name}` takes no word `{}`", extra.escape_debug())),
        None => Ok(call),
    };
    match name {
        "ready" => plain(Request::Ready),
        "show-stat" => plain(Request::ShowStat),
        "drain" => plain(Request::Drain),
        "resume" => plain(Request::Resume),
        "disable-server" => needs_id(id).map(Request::Disable),
        "enable-server" => needs_id(id).map(Request::Enable),
        _ => Err(format!("unknown call `{}`", name.escape_debug())),
    }
}

/// What has happened since the process began, counted where it happens.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// For each class: relayed, turned back (deferred or told `-BUSY`), bounced.
    pub resolutions: Vec<[u64; 3]>,
    /// Attempts whose call was written.
    pub attempts: u64,
    pub reloads: u64,
    pub reload_errors: u64,
}

pub const COMPLETED: usize = 0;
pub const REJECTED: usize = 1;
pub const FAILED: usize = 2;

impl Metrics {
    pub fn count(&mut self, class: usize, end: usize) {
        if self.resolutions.len() <= class {
            self.resolutions.resize(class + 1, [0; 3]);
        }
        self.resolutions[class][end] += 1;
    }
}

/// What `show-stat` says beside the counts.
pub struct Gauges {
    pub pending: usize,
    pub members: usize,
    pub unavailable: usize,
}

/// The answer to `show-stat`, `EOT` its last line.
pub fn render(metrics: &Metrics, classes: &[String], gauges: &Gauges) -> String {
    let mut text = String::from("SUCCESS\n");
    for (c, name) in classes.iter().enumerate() {
        let resolutions = metrics.resolutions.get(c).copied().unwrap_or_default();
        for (end, word) in [
            (COMPLETED, "completed"),
            (REJECTED, "rejected"),
            (FAILED, "failed"),
        ] {
            let _ = writeln!(
                text,
                "dispatcher.downstream_requests.{name}.{word}={}",
                resolutions[end]
            );
        }
    }
    let lines = [
        ("upstream_requests", metrics.attempts as usize),
        ("pending", gauges.pending),
        ("members", gauges.members),
        ("members_unavailable", gauges.unavailable),
        ("config_reloads", metrics.reloads as usize),
        ("config_reload_errors", metrics.reload_errors as usize),
    ];
    for (name, value) in lines {
        let _ = writeln!(text, "dispatcher.{name}={value}");
    }
    text.push_str("EOT\n");
    text
}

/// The lines of `show-stat` on the scoped configuration.
fn scope_lines(list: &ScopedList, calls: Counters, file: &ScopeFile) -> String {
    let (counters, unsaved) = (list.counters(), file.lacks(list));
    let file = file.counters;
    let lines = [
        ("version", list.version().0),
        ("destinations", list.len() as u64),
        ("complete_buckets", list.complete_buckets().count() as u64),
        ("filling_buckets", list.filling_buckets().count() as u64),
        ("cached", list.cached() as u64),
        ("evicted", counters.evicted_destinations),
        ("applied_entries", counters.applied_entries),
        ("stale_entries", counters.stale_entries),
        ("duplicate_entries", counters.duplicate_entries),
        ("refused_lines", counters.refused_lines),
        ("watches", calls.calls),
        ("broken_watches", calls.broken),
        ("refused_watches", calls.refused),
        ("lookups", calls.lookups),
        ("failed_lookups", calls.failed_lookups),
        ("unsaved", u64::from(unsaved)),
        ("refused_files", file.refused),
        ("saved_files", file.saved),
        ("failed_saves", file.failed),
    ];
    lines
        .iter()
        .map(|(name, value)| format!("dispatcher.scope.{name}={value}\n"))
        .collect()
}

impl Runtime {
    /// Closes a caller.
    pub fn close_admin(&mut self, id: ConnectionId) {
        self.deadlines.clear(Timer::Connection(id));
        self.connections.close(id);
    }
}

impl Daemon {
    /// Lets callers in; with all their places taken, the caller used longest ago gives way. Callers that say nothing would
    /// else hold all places; the harm is a slow caller of many, cut off.
    pub fn accept_admin_connections(&mut self) {
        for _ in 0..MAX_ADMIN_CONNECTIONS {
            if self.runtime.connections.admin_full() {
                let callers = self
                    .runtime
                    .connections
                    .iter()
                    .filter(|(_, c)| c.role == Role::Admin);
                let first = callers.map(|(id, c)| (c.last_active, id)).min();
                first
                    .into_iter()
                    .for_each(|(_, id)| self.runtime.close_admin(id));
            }
            match self
                .runtime
                .connections
                .accept_admin(MAX_LINE_BYTES.max(MAX_ANSWER_BYTES))
            {
                Ok(Some(id)) => {
                    let now = self.runtime.now;
                    self.runtime
                        .connections
                        .get_mut(id)
                        .into_iter()
                        .for_each(|c| c.last_active = now);
                    self.runtime
                        .deadlines
                        .set(Timer::Connection(id), now + REQUEST_TIMEOUT);
                }
                Ok(None) => return,
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionAborted => {}
                Err(e) => return log::warn!("an admin connection could not be accepted: {e}"),
            }
        }
    }

    /// Answers the calls of a caller that have come whole.
    pub fn admin_ready(&mut self, id: ConnectionId) {
        let broken = self.runtime.connections.read(id).is_err();
        loop {
            let Some(conn) = self.runtime.connections.get_mut(id) else {
                return;
            };
            let bytes = conn.input.contiguous();
            let Some(end) = bytes.iter().position(|&b| b == b'\n') else {
                if conn.input.len() >= MAX_LINE_BYTES {
                    conn.output.push(format!("FAILURE {TOO_LONG}\n").as_bytes());
                    conn.close_after_output = true;
                    conn.input.consume(conn.input.len());
                }
                break;
            };
            let line = bytes[..end]
                .strip_suffix(b"\r")
                .unwrap_or(&bytes[..end])
                .to_vec();
            conn.input.consume(end + 1);
            let answer = match parse(&line) {
                _ if end >= MAX_LINE_BYTES => format!("FAILURE {TOO_LONG}\n"),
                Ok(request) => self.handle(request),
                Err(why) => format!("FAILURE {why}\n"),
            };
            let now = self.runtime.now;
            if let Some(conn) = self.runtime.connections.get_mut(id) {
                if !conn.output.push(answer.as_bytes()) {
                    conn.close_after_output = true;
                }
                conn.last_active = now;
            }
        }
        let runtime = &mut self.runtime;
        let Some(conn) = runtime.connections.get(id) else {
            return;
        };
        let done = (conn.close_after_output || conn.peer_closed) && conn.output.is_empty();
        if broken || runtime.connections.flush(id).is_err() || done {
            return runtime.close_admin(id);
        }
        let used = runtime
            .connections
            .get(id)
            .map_or(runtime.now, |c| c.last_active);
        runtime
            .deadlines
            .set(Timer::Connection(id), used + REQUEST_TIMEOUT);
    }

    /// The answer to `show-stat`, with what there is to say on the scoped configuration.
    fn with_scope(&self, text: String) -> String {
        let discovery = &self.runtime.discovery;
        let (Some(list), Some(file)) = (discovery.scoped_list(), &self.scope_file) else {
            return text;
        };
        let lines = scope_lines(list, discovery.counters(), file);
        text.replace("EOT\n", &format!("{lines}EOT\n"))
    }

    /// Does what is asked and says how it went.
    fn handle(&mut self, request: Request) -> String {
        let out = matches!(request, Request::Disable(_));
        match request {
            Request::Ready if self.accepts_clients() => "SUCCESS ready\n".into(),
            Request::Ready => "FAILURE not ready: draining or leaving\n".into(),
            Request::ShowStat => {
                let gauges = Gauges {
                    pending: self.runtime.messages.len(),
                    members: self
                        .runtime
                        .endpoints
                        .ids()
                        .filter(|&e| self.runtime.endpoints[e].serving)
                        .count(),
                    unavailable: self.dispatcher.unavailable_endpoints(),
                };
                let text = render(&self.runtime.metrics, &self.runtime.class_names, &gauges);
                self.with_scope(text)
            }
            Request::Drain => {
                self.drain(true);
                "SUCCESS draining\n".into()
            }
            Request::Resume => {
                self.drain(false);
                "SUCCESS serving\n".into()
            }
            Request::Disable(name) | Request::Enable(name)
                if self.runtime.endpoints.find(&name).is_none() =>
            {
                format!("FAILURE unknown endpoint `{}`\n", name.escape_debug())
            }
            Request::Disable(name) | Request::Enable(name) => {
                // What another process of this folder has written meanwhile stays.
                self.refresh_disabled();
                let mut held = self.runtime.disabled.clone();
                let changed = set_disabled_flag(&mut held, &name, out);
                if held.len() > MAX_DISABLED {
                    return format!("FAILURE {MAX_DISABLED} endpoints are out already\n");
                }
                log::info!(
                    "endpoint {name} {} by an admin request",
                    if out { "disabled" } else { "enabled" }
                );
                self.replace_disabled(held);
                if changed {
                    self.unsaved_disabled.insert(name.clone(), out);
                    if let Err(e) = self.save_disabled() {
                        log::error!("{DISABLED_FILE}: cannot be written, will retry: {e}");
                    }
                }
                format!("SUCCESS {name} is {}\n", if out { "out" } else { "back" })
            }
        }
    }

    /// Takes up the list of endpoints held out where another process of this folder has written it: a call reaches the old
    /// or the new version while both run, and binds both.
    pub fn refresh_disabled(&mut self) {
        let stamp = disabled_stamp(&self.state_folder);
        if stamp != self.disabled_stamp {
            match load_disabled(&self.state_folder) {
                Ok(mut held) => {
                    self.disabled_stamp = stamp;
                    for (name, &out) in &self.unsaved_disabled {
                        set_disabled_flag(&mut held, name, out);
                    }
                    self.replace_disabled(held);
                }
                Err(e) => log::error!("{DISABLED_FILE}: cannot be read: {e}"),
            }
        }
        // Said when the call came.
        let _ = self.save_disabled();
    }

    /// Writes the list of endpoints held out where a call has changed it. It is in force before: the platform counts the
    /// endpoint as out a second after the call, whatever becomes of the file. A write that fails is tried again whenever
    /// the list is looked at.
    fn save_disabled(&mut self) -> std::io::Result<()> {
        if !self.unsaved_disabled.is_empty() {
            write_disabled(&self.state_folder, &self.runtime.disabled)?;
            self.unsaved_disabled.clear();
            self.disabled_stamp = disabled_stamp(&self.state_folder);
        }
        Ok(())
    }

    /// From now on these are held out by hand and no others.
    fn replace_disabled(&mut self, held: std::collections::BTreeSet<String>) {
        let (now, runtime) = (self.runtime.now, &mut self.runtime);
        let before = std::mem::replace(&mut runtime.disabled, held);
        let changed: Vec<String> = before
            .symmetric_difference(&runtime.disabled)
            .cloned()
            .collect();
        for name in changed {
            let out = runtime.disabled.contains(&name);
            if let Some(id) = runtime.endpoints.find(&name) {
                self.dispatcher.set_disabled(now, id, out, runtime);
            }
        }
    }
}
