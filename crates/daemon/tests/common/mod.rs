//! The program started and spoken to over loopback sockets; endpoints and the platform are stand-ins of our own.

// Each test binary has a copy of its own and uses only some of it.
#![allow(dead_code)]

pub(crate) mod control;
pub(crate) mod faults;
pub(crate) mod installation;
pub(crate) mod ledger;
pub(crate) mod soak;

use bellsill_daemon::journal::{MessageJournal, Recovered};
use faults::Faults;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Waits for a condition to become true. It fails only if that does not happen within a minute.
pub(crate) fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let from = Instant::now();
    while !done() {
        assert!(
            from.elapsed() < Duration::from_secs(60),
            "never came: {what}"
        );
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Reads the head and body of one HTTP request.
pub(crate) fn request(from: &mut BufReader<TcpStream>) -> Option<(Vec<String>, Vec<u8>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => break,
            text => lines.push(text.to_string()),
        }
    }
    let length = lines
        .iter()
        .find_map(|l| l.strip_prefix("Content-Length: "))
        .map_or(0, |n| n.parse().unwrap());
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((lines, body))
}

/// A listener on a free port, with a thread for each connection.
pub(crate) fn stand_in(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    addr
}

#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) head: Vec<String>,
    pub(crate) body: String,
    /// Counts the connections of its endpoint.
    pub(crate) conn: u64,
}

impl Call {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.head
            .iter()
            .find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
            .unwrap_or("")
    }
}

/// What an endpoint does with a call.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Does {
    /// Answers with this: status line without its version, further headers.
    Says(&'static str),
    /// Answers, then closes the connection.
    SaysLast(&'static str),
    Hangs,
    Breaks,
    /// Writes just this, and keeps the connection open.
    Writes(&'static str),
}

#[derive(Clone)]
pub(crate) struct Endpoint {
    pub(crate) addr: String,
    pub(crate) calls: Arc<Mutex<Vec<Call>>>,
    pub(crate) does: Arc<Mutex<Does>>,
}

impl Endpoint {
    pub(crate) fn start(does: Does) -> Endpoint {
        let (calls, does) = (Arc::new(Mutex::new(vec![])), Arc::new(Mutex::new(does)));
        let (seen, way, conns) = (
            Arc::clone(&calls),
            Arc::clone(&does),
            Arc::new(AtomicU64::new(0)),
        );
        let addr = stand_in(move |stream| {
            let conn = conns.fetch_add(1, Ordering::SeqCst);
            let mut to = stream.try_clone().unwrap();
            let mut from = BufReader::new(stream);
            while let Some((head, body)) = request(&mut from) {
                let body = String::from_utf8(body).unwrap();
                let does = *way.lock().unwrap();
                seen.lock().unwrap().push(Call { head, body, conn });
                let done = match does {
                    Does::Says(answer) | Does::SaysLast(answer) => {
                        write!(to, "HTTP/1.1 {answer}\r\nContent-Length: 2\r\n\r\nok")
                    }
                    Does::Hangs => Ok(()),
                    Does::Breaks => return,
                    Does::Writes(text) => to.write_all(text.as_bytes()),
                };
                if done.is_err() || matches!(does, Does::SaysLast(_)) {
                    return;
                }
            }
        });
        Endpoint { addr, calls, does }
    }
    pub(crate) fn does(&self, does: Does) {
        *self.does.lock().unwrap() = does;
    }
    pub(crate) fn calls(&self) -> Vec<Call> {
        self.calls.lock().unwrap().clone()
    }
    /// How many calls came for a message.
    pub(crate) fn calls_of(&self, id: &str) -> usize {
        self.calls()
            .iter()
            .filter(|call| call.header("X-Trace-Id") == id)
            .count()
    }
    pub(crate) fn entry(&self, id: &str, cell: u64, state: &str) -> Value {
        entry(id, &self.addr, cell, state)
    }
}

/// Discovery and the place for notices.
#[derive(Clone)]
pub(crate) struct Platform {
    pub(crate) addr: String,
    pub(crate) watches: Arc<Mutex<Vec<TcpStream>>>,
    pub(crate) since: Arc<Mutex<Vec<String>>>,
    pub(crate) notices: Arc<Mutex<Vec<Value>>>,
    pub(crate) deaf: Arc<AtomicBool>,
}

impl Platform {
    pub(crate) fn start() -> Platform {
        let watches: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let since: Arc<Mutex<Vec<String>>> = Arc::default();
        let notices: Arc<Mutex<Vec<Value>>> = Arc::default();
        let deaf = Arc::new(AtomicBool::new(false));
        let (w, s, n, d) = (
            Arc::clone(&watches),
            Arc::clone(&since),
            Arc::clone(&notices),
            Arc::clone(&deaf),
        );
        let addr = stand_in(move |stream| {
            let mut to = stream.try_clone().unwrap();
            let mut from = BufReader::new(stream);
            while let Some((head, body)) = request(&mut from) {
                if head[0].starts_with("GET /api/targets?follow=1&since=") {
                    to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .unwrap();
                    s.lock().unwrap().push(head[0].clone());
                    w.lock().unwrap().push(to.try_clone().unwrap());
                    continue;
                }
                assert_eq!(head[0], "POST /v2/finals HTTP/1.1");
                if d.load(Ordering::SeqCst) {
                    return;
                }
                let lines = String::from_utf8(body).unwrap();
                n.lock().unwrap().extend(
                    lines
                        .lines()
                        .map(|l| serde_json::from_str::<Value>(l).unwrap()),
                );
                to.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").unwrap();
            }
        });
        Platform {
            addr,
            watches,
            since,
            notices,
            deaf,
        }
    }
    /// Tells all watches, each byte in a chunk of its own.
    pub(crate) fn tell(&self, text: &str) {
        wait_for("a watch", || !self.watches.lock().unwrap().is_empty());
        for watch in self.watches.lock().unwrap().iter_mut() {
            for byte in text.bytes() {
                // One that has ended hears no more.
                watch
                    .write_all(&[b'1', b'\r', b'\n', byte, b'\r', b'\n'])
                    .ok();
            }
        }
    }
    pub(crate) fn notices(&self) -> Vec<Value> {
        self.notices.lock().unwrap().clone()
    }
    pub(crate) fn notice(&self, id: &str) -> Option<Value> {
        self.notices().into_iter().find(|n| n["ref"] == id)
    }
}

/// A dispatcher's process, its folder and its world.
pub(crate) struct Rig {
    pub(crate) folder: PathBuf,
    pub(crate) listen: String,
    pub(crate) json: Value,
    pub(crate) platform: Platform,
    pub(crate) child: Option<Child>,
}

static RIGS: AtomicU64 = AtomicU64::new(0);
static COPIES: AtomicU64 = AtomicU64::new(0);
static IDS: AtomicU64 = AtomicU64::new(1);

impl Rig {
    pub(crate) fn new(endpoints: &[(&Endpoint, u64)]) -> Rig {
        let (n, pid) = (RIGS.fetch_add(1, Ordering::SeqCst), std::process::id());
        // An address of its own, so that nothing else is ever given its port.
        let listen = format!("127.{}.{}.{}:6379", 16 + pid % 200, pid / 200 % 250, n + 1);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("rig-{pid}-{n}"));
        std::fs::create_dir_all(folder.join("state")).unwrap();
        let mut json: Value =
            serde_json::from_str(include_str!("../../../../examples/config.json")).unwrap();
        let platform = Platform::start();
        json["listen"] = listen.clone().into();
        json["discovery"] = platform.addr.clone().into();
        let entries = endpoints.iter().enumerate();
        json["known"]["servers"] = entries
            .map(|(i, (e, cell))| e.entry(&format!("e{i}"), *cell, "up"))
            .collect::<Vec<_>>()
            .into();
        Rig {
            folder,
            listen,
            json,
            platform,
            child: None,
        }
    }

    pub(crate) fn command(&self, what: &str) -> Command {
        std::fs::write(self.folder.join("config.json"), self.json.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_bellsill"));
        command
            .env_remove("RELAY_STATE")
            .arg(what)
            .arg("--config")
            .arg(self.folder.join("config.json"));
        command
            .arg("--state")
            .arg(self.folder.join("state"))
            .arg("--log")
            .arg("warn");
        command
    }

    pub(crate) fn start(&mut self) {
        let command = self.command("serve");
        self.start_by(command);
    }

    /// The command of a process whose system calls can be made to fail.
    pub(crate) fn command_with(&self, faults: &Faults) -> Command {
        let mut command = self.command("serve");
        faults.preload(&mut command, &self.folder.join("state"));
        command
    }

    /// Starts such a process, and waits until it is ready.
    pub(crate) fn start_with(&mut self, faults: &Faults) {
        let command = self.command_with(faults);
        self.start_by(command);
    }

    /// Starts such a process, and does not wait.
    pub(crate) fn spawn_with(&mut self, faults: &Faults) {
        self.child = Some(self.command_with(faults).spawn().unwrap());
    }

    pub(crate) fn start_by(&mut self, mut command: Command) {
        self.child = Some(command.spawn().unwrap());
        wait_for("a dispatcher that is ready", || {
            let Ok(mut stream) = TcpStream::connect(&self.listen) else {
                return false;
            };
            stream.write_all(b"PING\r\n").is_ok()
                && BufReader::new(stream)
                    .lines()
                    .next()
                    .is_some_and(|l| l.is_ok_and(|l| l == "+PONG"))
        });
    }

    /// Starts a process beside one that runs, at the `mgmt` address that the configuration names now.
    pub(crate) fn start_beside(&mut self) {
        let child = self.command("serve").spawn().unwrap();
        self.child = Some(child);
        wait_for("a new version that is ready", || {
            TcpStream::connect(self.json["mgmt"].as_str().unwrap()).is_ok()
        });
        assert!(self.call("ready")[0].starts_with("SUCCESS"));
    }

    /// What the journal holds at this moment.
    pub(crate) fn kept(&self) -> Recovered {
        self.kept_in("mails")
    }

    /// What that journal of the folder holds at this moment.
    pub(crate) fn kept_in(&self, journal: &str) -> Recovered {
        // A folder of its own each time: a process that another test starts just now holds a lock on the last one's file
        // until it is the program, and the journal would be taken for another's and found empty.
        let copy = self
            .folder
            .join(format!("copy-{}", COPIES.fetch_add(1, Ordering::SeqCst)));
        std::fs::create_dir_all(&copy).unwrap();
        std::fs::copy(self.folder.join("state").join(journal), copy.join("mails")).unwrap();
        MessageJournal::open(&copy, 10_000_000).unwrap().1
    }

    /// Whether the journal says that an attempt of the message never ran.
    pub(crate) fn never_ran(&self, id: &str) -> bool {
        let messages = self.kept().messages;
        let message = messages.iter().find(|m| format!("{:016x}", m.id.0) == id);
        message.is_some_and(|m| m.attempts.iter().any(|c| c.may_have_run == Some(false)))
    }

    pub(crate) fn kill(&mut self) {
        let mut child = self.child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = rustix::process::Pid::from_child(self.child.as_ref().unwrap());
        rustix::process::kill_process(pid, signal).unwrap();
    }

    /// Where operators call this rig's dispatcher: the n-th process beside others has an address of its own.
    pub(crate) fn mgmt_at(&self, n: u16) -> String {
        let ip: std::net::SocketAddr = self.listen.parse().unwrap();
        format!("{}:{}", ip.ip(), 9100 + n)
    }

    pub(crate) fn call(&self, line: &str) -> Vec<String> {
        call_at(self.json["mgmt"].as_str().unwrap(), line)
    }

    pub(crate) fn figure(&self, name: &str) -> u64 {
        figure_at(self.json["mgmt"].as_str().unwrap(), name)
    }

    pub(crate) fn client(&self) -> Client {
        connect(&self.listen).unwrap()
    }
}

/// One call as an operator makes it: a line out, the lines of the answer.
pub(crate) fn call_at(addr: &str, line: &str) -> Vec<String> {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(60)))
        .unwrap();
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    let mut lines = BufReader::new(stream).lines().map(|l| l.unwrap());
    let first = lines.next().unwrap();
    let more = line == "show-stat" && first.starts_with("SUCCESS");
    let rest = lines
        .take_while(|l| l != "EOT")
        .take(if more { usize::MAX } else { 0 });
    std::iter::once(first).chain(rest).collect()
}

pub(crate) fn figure_at(addr: &str, name: &str) -> u64 {
    let lines = call_at(addr, "show-stat");
    let value = lines
        .iter()
        .find_map(|l| l.strip_prefix(&format!("dispatcher.{name}=")));
    value
        .unwrap_or_else(|| panic!("{name} in {lines:?}"))
        .parse()
        .unwrap()
}

/// A process that does not outlive its test, however that ends.
pub(crate) struct OldProcess(pub Child);

impl OldProcess {
    pub(crate) fn kill(&mut self) {
        self.0.kill().ok();
        self.0.wait().ok();
    }
}

impl Drop for OldProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        if self.child.is_some() {
            self.kill();
        }
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

pub(crate) struct Client {
    pub(crate) to: TcpStream,
    pub(crate) from: BufReader<TcpStream>,
}

pub(crate) fn connect(to: &str) -> std::io::Result<Client> {
    let stream = TcpStream::connect(to)?;
    // It fails after a minute, as in `wait_for`.
    stream.set_read_timeout(Some(Duration::from_secs(60)))?;
    Ok(Client {
        from: BufReader::new(stream.try_clone()?),
        to: stream,
    })
}

pub(crate) fn put(id: &str, fields: &str, body: &str) -> Vec<u8> {
    let words = ["MSG.PUT", "0000000000000000", id, fields, body];
    let words: String = words
        .iter()
        .map(|w| format!("${}\r\n{w}\r\n", w.len()))
        .collect();
    format!("*5\r\n{words}").into_bytes()
}

pub(crate) fn fresh() -> String {
    format!("{:016x}", 0xb0_0000 + IDS.fetch_add(1, Ordering::SeqCst))
}

impl Client {
    pub(crate) fn line(&mut self) -> String {
        let mut line = String::new();
        self.from.read_line(&mut line).unwrap();
        line.trim_end().to_string()
    }
    pub(crate) fn says(&mut self, bytes: &[u8]) -> String {
        self.to.write_all(bytes).unwrap();
        self.line()
    }
    /// Hands in a message that is accepted.
    pub(crate) fn message(&mut self, class: &str, cell: u64, ms: u64, body: &str) -> String {
        let id = fresh();
        let answer = self.says(&put(
            &id,
            &format!("c={class},d={ms},k=k{id},dest={cell}"),
            body,
        ));
        assert_eq!(answer, "+OK");
        id
    }
}

pub(crate) const OK: Does = Does::Says("200 OK");

/// An endpoint whose queue of new connections is full with the one returned: another is established when there is room.
pub(crate) fn crowded() -> (TcpListener, TcpStream) {
    let listener = crowded_but_for(1);
    let filler = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (listener, filler)
}

/// An endpoint whose queue takes so many new connections that it has not accepted, and no more.
pub(crate) fn crowded_but_for(places: i32) -> TcpListener {
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    listener
        .bind(
            &"127.0.0.1:0"
                .parse::<std::net::SocketAddr>()
                .unwrap()
                .into(),
        )
        .unwrap();
    listener.listen(places - 1).unwrap();
    listener.into()
}

/// An entry of the list of endpoints.
pub(crate) fn entry(id: &str, addr: &str, cell: u64, state: &str) -> Value {
    json!({"id": id, "addr": addr, "zone": "north", "kind": "shops", "cell": cell, "state": state})
}

pub(crate) fn up(id: &str, addr: &str, cell: u64) -> Value {
    entry(id, addr, cell, "up")
}

/// The next connection.
pub(crate) fn accept(at: &TcpListener) -> BufReader<TcpStream> {
    at.set_nonblocking(true).unwrap();
    let mut next = None;
    wait_for("a connection", || {
        next = at.accept().ok();
        next.is_some()
    });
    let stream = next.unwrap().0;
    stream.set_nonblocking(false).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(60)))
        .unwrap();
    BufReader::new(stream)
}
