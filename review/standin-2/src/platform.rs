//! A stand-in for the platform: discovery with watches, and the receiver of notices.

use crate::endpoint::read_request;
use crate::record::Record;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A notice that was answered 204.
#[derive(Clone, Debug)]
pub struct Notice {
    pub at: u64,
    pub message: String,
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub addr: String,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    pub state: &'static str,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"{}","cell":{},"state":"{}","weight":1.0,"started_ms":0}}"#,
            self.id, self.addr, self.zone, self.kind, self.cell, self.state
        )
    }
}

struct State {
    /// All changes with their versions, oldest first.
    changes: Vec<(u64, Entry)>,
    version: u64,
    /// While discovery is down, the agent is silent.
    down: bool,
    /// Lists are indented.
    indented: bool,
    /// The address has been left: it takes no new connection and has closed the open ones.
    left: bool,
    notices: Vec<Notice>,
}

#[derive(Clone)]
pub struct Platform {
    pub addr: String,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Platform {
    pub fn start(first: &[Entry], record: &Record) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let platform = Platform {
            addr: listener.local_addr().unwrap().to_string(),
            state: Arc::new(Mutex::new(State {
                changes: first.iter().map(|entry| (1, entry.clone())).collect(),
                version: 1,
                down: false,
                indented: false,
                left: false,
                notices: vec![],
            })),
            record: record.clone(),
        };
        let this = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                stream.set_nodelay(true).ok();
                let this = this.clone();
                if !this.state.lock().unwrap().left {
                    thread::spawn(move || this.serve(stream));
                }
            }
        });
        platform
    }

    /// The whole list as it is now, in discovery's form.
    pub fn list(&self) -> String {
        let state = self.state.lock().unwrap();
        let mut entries: Vec<&Entry> = vec![];
        for (_, entry) in &state.changes {
            entries.retain(|known| known.id != entry.id);
            if entry.state != "removed" {
                entries.push(entry);
            }
        }
        let entries: Vec<String> = entries.into_iter().map(Entry::json).collect();
        format!(r#"{{"version":{},"full":true,"servers":[{}]}}"#, state.version, entries.join(","))
    }

    /// Changes the list.
    pub fn change(&self, entry: Entry) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        self.record.line(&format!(
            "the list changes, version {version}: {} of destination {} at {} is {}",
            entry.id, entry.cell, entry.addr, entry.state
        ));
        state.changes.push((version, entry));
    }

    pub fn set_down(&self, down: bool) {
        self.record.line(if down { "discovery is down" } else { "discovery is back" });
        self.state.lock().unwrap().down = down;
    }

    /// From now on lists come indented.
    pub fn indent(&self) {
        self.state.lock().unwrap().indented = true;
    }

    /// Discovery has moved to another address: this one closes its open connections and takes no new ones.
    pub fn leave(&self) {
        self.record.line("the old address of discovery closes its connections");
        self.state.lock().unwrap().left = true;
    }

    pub fn notices(&self) -> Vec<Notice> {
        self.state.lock().unwrap().notices.clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut input = Vec::new();
        while let Some((head, body)) = read_request(&mut stream, &mut input) {
            if head.starts_with("POST /v2/finals ") {
                let text = String::from_utf8_lossy(&body).into_owned();
                for line in text.lines().filter(|l| !l.trim().is_empty()) {
                    self.record.line(&format!("notice: {line}"));
                    let field = |name: &str| {
                        let rest = line.split(&format!("\"{name}\":\"")).nth(1)?;
                        Some(rest.split('"').next()?.to_string())
                    };
                    self.state.lock().unwrap().notices.push(Notice {
                        at: self.record.ms(),
                        message: field("ref").unwrap_or_default(),
                    });
                }
                if stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                    return;
                }
            } else if head.starts_with("GET /api/targets?follow=1") {
                self.watch(stream, &head);
                return;
            } else if head.starts_with("GET /api/targets") {
                while self.state.lock().unwrap().down {
                    thread::sleep(Duration::from_millis(5));
                }
                let list = self.list();
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            } else if stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").is_err() {
                return;
            }
        }
    }

    /// Streams the changes after a version, and an empty line every 2 s while nothing changes.
    fn watch(&self, mut stream: TcpStream, head: &str) {
        let since = head.split("since=").nth(1).and_then(|rest| {
            rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
        });
        let mut told = since.unwrap_or(0);
        let mut first = true;
        let mut last_line = Instant::now();
        loop {
            let (down, version, indented) = {
                let state = self.state.lock().unwrap();
                if state.left {
                    return;
                }
                (state.down, state.version, state.indented)
            };
            let mut text = None;
            if !down && first {
                stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok();
                text = Some(if told == 0 { self.list() } else { self.changes_after(told) });
                self.record.line(&format!("discovery: a watch from version {told} begins and is told version {version}"));
            } else if !down && version > told {
                text = Some(self.changes_after(told));
                self.record.line(&format!("discovery: a watch is told version {version}"));
            } else if !down && last_line.elapsed() >= Duration::from_secs(2) {
                text = Some(String::new());
            }
            if let Some(text) = text {
                (first, told, last_line) = (false, version.max(told), Instant::now());
                let text = if indented { indent(&text) } else { text };
                let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
                if stream.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn changes_after(&self, version: u64) -> String {
        let state = self.state.lock().unwrap();
        let changed = state.changes.iter().filter(|(v, _)| *v > version);
        let entries: Vec<String> = changed.map(|(_, entry)| entry.json()).collect();
        format!(r#"{{"version":{},"full":false,"servers":[{}]}}"#, state.version, entries.join(","))
    }
}

/// The same JSON over several lines, as common programs print it with an indent of two.
fn indent(json: &str) -> String {
    let mut text = String::new();
    let (mut depth, mut quoted) = (0, false);
    for c in json.chars() {
        quoted ^= c == '"';
        match c {
            '{' | '[' if !quoted => {
                depth += 1;
                text.push(c);
                text.push('\n');
                text.push_str(&"  ".repeat(depth));
            }
            '}' | ']' if !quoted => {
                depth -= 1;
                text.push('\n');
                text.push_str(&"  ".repeat(depth));
                text.push(c);
            }
            ',' if !quoted => {
                text.push_str(",\n");
                text.push_str(&"  ".repeat(depth));
            }
            ':' if !quoted => text.push_str(": "),
            _ => text.push(c),
        }
    }
    text
}
