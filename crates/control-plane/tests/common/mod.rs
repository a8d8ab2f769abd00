//! Control processes in threads, and plain clients that wait for what they expect.
//!
//! Each test binary uses some of the helpers, so the compiler would report the others as dead code.
#![allow(dead_code)]

use bellsill_control_plane::config::Config;
use bellsill_control_plane::{Stop, process};
use bellsill_directory::line::{EndpointState, ScopedLine};
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long a test waits for something before it fails.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

pub(crate) const MEMBERS: &str = "\
{\"name\":\"north-a\",\"zone\":\"north-1\"}
{\"name\":\"north-b\",\"zone\":\"north-2\"}
{\"name\":\"south-a\",\"zone\":\"south-1\",\"weight\":1.0}
{\"name\":\"south-b\",\"zone\":\"south-2\"}
";

/// An address that stays the same over restarts: the listener is kept open here.
pub(crate) struct Place {
    listener: TcpListener,
    pub(crate) address: SocketAddr,
}

impl Place {
    pub(crate) fn new() -> Place {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        Place { listener, address }
    }

    /// Starts a process here, with more lines for its configuration.
    pub(crate) fn start(&self, state: &Path, role: &str, more: &str) -> Running {
        let config =
            Config::parse(&config_text(self.address, state, role, more)).expect("a configuration");
        let (wake, waker) = UnixStream::pair().expect("a pair of sockets");
        let requested: Arc<AtomicBool> = Arc::default();
        let stop = Stop {
            wake,
            requested: requested.clone(),
        };
        let listener = self.listener.try_clone().expect("a listener");
        let thread = std::thread::spawn(move || {
            process::run_on(listener, config, stop).map_err(|e| e.to_string())
        });
        Running {
            address: self.address,
            thread: Some(thread),
            waker,
            requested,
        }
    }

    pub(crate) fn start_leader(&self, state: &Path) -> Running {
        self.start(state, "role = \"writer\"", "")
    }

    pub(crate) fn start_follower(&self, state: &Path, leader: SocketAddr) -> Running {
        self.start(
            state,
            &format!("role = \"follower\"\nwriter = \"{leader}\""),
            "",
        )
    }
}

pub(crate) fn config_text(listen: SocketAddr, state: &Path, role: &str, more: &str) -> String {
    let state = state.display();
    format!(
        "name = \"control\"\nlisten = \"{listen}\"\nstate = \"{state}\"\n{role}\nbuckets_per_region = 8\n{more}\n\
         [[zones]]\nname = \"north-1\"\nregion = \"north\"\n[[zones]]\nname = \"north-2\"\nregion = \"north\"\n\
         [[zones]]\nname = \"south-1\"\nregion = \"south\"\n[[zones]]\nname = \"south-2\"\nregion = \"south\"\n"
    )
}

/// A control process that runs in a thread.
pub(crate) struct Running {
    pub(crate) address: SocketAddr,
    thread: Option<JoinHandle<Result<(), String>>>,
    waker: UnixStream,
    requested: Arc<AtomicBool>,
}

impl Running {
    /// Ends it, and waits until it has ended.
    pub(crate) fn stop(mut self) -> Result<(), String> {
        self.end()
    }

    /// Waits until it ends by itself.
    pub(crate) fn ended(mut self) -> Result<(), String> {
        self.thread
            .take()
            .expect("it runs")
            .join()
            .expect("no panic")
    }

    fn end(&mut self) -> Result<(), String> {
        self.requested.store(true, Ordering::SeqCst);
        // A process that has ended by itself has closed its side.
        self.waker.write_all(b"x").ok();
        self.thread
            .take()
            .map_or(Ok(()), |thread| thread.join().expect("no panic"))
    }

    pub(crate) fn metrics(&self) -> Value {
        request(self.address, "GET", "/v2/figures", "").1
    }

    /// Waits until a figure is as wanted.
    pub(crate) fn wait_for(&self, what: &str, wanted: impl Fn(&Value) -> bool) -> Value {
        let started = Instant::now();
        loop {
            let metrics = self.metrics();
            if wanted(&metrics) {
                return metrics;
            }
            assert!(
                started.elapsed() < PATIENCE,
                "{what} did not come: {metrics}"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub(crate) fn wait_for_version(&self, version: u64) -> Value {
        self.wait_for("the version", |metrics| {
            metrics["version"].as_u64() >= Some(version)
        })
    }

    pub(crate) fn write(&self, body: &str) -> u64 {
        let (status, answer) = request(self.address, "POST", "/api/targets", body);
        assert_eq!(status, 200, "{answer}");
        answer["version"].as_u64().expect("a version")
    }

    /// Declares the members, and waits until buckets are assigned to them.
    pub(crate) fn declare(&self) {
        let (status, answer) = request(self.address, "POST", "/v2/members", MEMBERS);
        assert_eq!(status, 200, "{answer}");
        self.wait_for("the assignment", |metrics| {
            metrics["epoch"].as_u64() >= Some(1)
        });
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        // A test that expects an error calls `stop` or `ended`.
        self.end().ok();
    }
}

pub(crate) fn entry(number: u64, state: EndpointState) -> String {
    let state = serde_json::to_string(&state).expect("a state");
    let port = 1000 + number % 60_000;
    format!(
        "{{\"id\":\"endpoint-{number}\",\"addr\":\"10.0.0.1:{port}\",\"zone\":\"north-1\",\"kind\":\"plain\",\
         \"cell\":{number},\"state\":{state}}}\n"
    )
}

pub(crate) fn entries(numbers: std::ops::Range<u64>, state: EndpointState) -> String {
    numbers.map(|number| entry(number, state)).collect()
}

pub(crate) fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    stream
}

/// One request on a connection of its own: the status, and the body as JSON.
pub(crate) fn request(address: SocketAddr, method: &str, target: &str, body: &str) -> (u16, Value) {
    let mut stream = connect(address);
    let length = body.len();
    let head = format!(
        "{method} {target} HTTP/1.1\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    stream
        .write_all(&[head.as_bytes(), body.as_bytes()].concat())
        .expect("a request");
    read_answer(&mut stream)
}

pub(crate) fn read_answer(stream: &mut TcpStream) -> (u16, Value) {
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .expect("a status");
    (status, serde_json::from_str(body).expect("a body of JSON"))
}

/// A dispatcher's watch.
pub(crate) struct Watch {
    reader: BufReader<TcpStream>,
}

impl Watch {
    pub(crate) fn open(address: SocketAddr, query: &str) -> Watch {
        let mut reader = BufReader::new(connect(address));
        let request = format!("GET /api/targets?follow=1&{query} HTTP/1.1\r\nHost: x\r\n\r\n");
        reader
            .get_mut()
            .write_all(request.as_bytes())
            .expect("a request");
        let mut watch = Watch { reader };
        assert_eq!(watch.text_line().split(' ').nth(1), Some("200"));
        while !watch.text_line().is_empty() {}
        watch
    }

    fn text_line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("a line");
        line.trim_end().to_string()
    }

    /// The next line that is not empty; none once the watch has ended.
    pub(crate) fn next(&mut self) -> Option<ScopedLine> {
        loop {
            let size = self.text_line();
            if size.is_empty() {
                return None;
            }
            let size = usize::from_str_radix(&size, 16).expect("a size");
            let mut chunk = vec![0; size + 2];
            self.reader.read_exact(&mut chunk).expect("a chunk");
            let line = chunk.trim_ascii();
            if !line.is_empty() {
                return Some(serde_json::from_slice(line).expect("a line"));
            }
        }
    }

    /// Reads until the wanted line has come, and returns all up to it.
    pub(crate) fn until(&mut self, wanted: impl Fn(&ScopedLine) -> bool) -> Vec<ScopedLine> {
        let started = Instant::now();
        let mut lines: Vec<ScopedLine> = Vec::new();
        loop {
            let line = self.next().expect("a line");
            let last = wanted(&line);
            assert!(
                lines
                    .last()
                    .is_none_or(|before| before.version <= line.version),
                "the version went back"
            );
            lines.push(line);
            if last {
                return lines;
            }
            assert!(started.elapsed() < PATIENCE, "the line did not come");
        }
    }

    /// Reads until these many buckets have been filled.
    pub(crate) fn until_filled(&mut self, buckets: usize) -> Vec<ScopedLine> {
        let mut lines = Vec::new();
        while lines
            .iter()
            .map(|line: &ScopedLine| line.filled.len())
            .sum::<usize>()
            < buckets
        {
            lines.extend(self.until(|line| !line.filled.is_empty()));
        }
        lines
    }
}

pub(crate) fn ids(lines: &[ScopedLine]) -> Vec<String> {
    lines
        .iter()
        .flat_map(|line| line.servers.iter().map(|entry| entry.id.clone()))
        .collect()
}
