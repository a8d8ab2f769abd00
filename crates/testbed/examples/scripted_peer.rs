//! A dispatcher for the laboratory's own tests, plain and slow: it sends each mail by one call at a time, heeds waits, drains
//! and the order of keys, and gives up at once what may not go again. `SCRIPTED_DEFECT` names what it does wrong on purpose.
//!
//!     SCRIPTED_DEFECT=told-wait bellsill-testbed run FILE --drive sockets --program target/debug/examples/scripted_peer

use serde_json::{Value, json};
use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CALL_TIME: Duration = Duration::from_millis(900);
const STEP: Duration = Duration::from_millis(5);

#[derive(Clone)]
struct Endpoint {
    id: String,
    addr: SocketAddr,
    serving: bool,
}

struct Mail {
    id: String,
    class: String,
    key: String,
    tag: String,
    destination: u64,
    due: Instant,
    body: Vec<u8>,
}

#[derive(Default)]
struct Shared {
    defect: String,
    platform: String,
    repeats: HashMap<String, String>,
    endpoints: Mutex<HashMap<u64, Vec<Endpoint>>>,
    waits: Mutex<HashMap<u64, Instant>>,
    lines: Mutex<HashMap<String, VecDeque<String>>>,
    moved: Condvar,
}

enum Outcome {
    Relayed,
    Refused(Duration),
    Unconnected,
    MayHaveRun,
}

impl Shared {
    fn has(&self, defect: &str) -> bool {
        self.defect == defect
    }

    fn list(&self, json: &Value) {
        let mut endpoints = self.endpoints.lock().unwrap();
        for server in json["servers"].as_array().into_iter().flatten() {
            let of = endpoints
                .entry(server["cell"].as_u64().unwrap())
                .or_default();
            let (id, serving) = (server["id"].as_str().unwrap(), server["state"] == "up");
            match of.iter_mut().find(|e| e.id == id) {
                Some(known) => known.serving = serving || self.has("drained"),
                None => {
                    let addr = server["addr"].as_str().unwrap().parse().unwrap();
                    of.push(Endpoint {
                        id: id.into(),
                        addr,
                        serving,
                    });
                }
            }
        }
    }

    fn watch(&self) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(&self.platform)?;
        stream.write_all(b"GET /api/targets?follow=1&since=0 HTTP/1.1\r\n\r\n")?;
        for line in BufReader::new(stream).lines() {
            if let Ok(json) = serde_json::from_str::<Value>(&line?)
                && json.get("servers").is_some()
            {
                self.list(&json);
            }
        }
        Ok(())
    }

    fn notice(&self, mail: &Mail, result: &str) {
        let body = json!({"ref": mail.id, "result": result}).to_string() + "\n";
        let text = format!(
            "POST /v2/finals HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let Ok(mut stream) = TcpStream::connect(&self.platform) else {
            return;
        };
        let _ = stream.write_all(text.as_bytes());
        let _ = BufReader::new(stream).read_line(&mut String::new());
    }

    fn call(&self, mail: &Mail, endpoint: &Endpoint) -> Outcome {
        let Ok(mut stream) = TcpStream::connect(endpoint.addr) else {
            return Outcome::Unconnected;
        };
        let head = format!(
            "POST /events HTTP/1.1\r\nX-Trace-Id: {}\r\nIdempotency-Key: {}\r\nContent-Length: {}\r\n\r\n",
            mail.id,
            mail.tag,
            mail.body.len()
        );
        let left = mail
            .due
            .saturating_duration_since(Instant::now())
            .min(CALL_TIME)
            .max(STEP);
        stream.set_read_timeout(Some(left)).unwrap();
        if stream
            .write_all(&[head.as_bytes(), &mail.body].concat())
            .is_err()
        {
            return Outcome::MayHaveRun;
        }
        let mut from = BufReader::new(stream);
        let mut lines = vec![];
        loop {
            let mut line = String::new();
            match from.read_line(&mut line) {
                Ok(n) if n > 2 => lines.push(line.trim_end().to_string()),
                Ok(n) if n > 0 => break,
                _ => return Outcome::MayHaveRun,
            }
        }
        let wait = lines
            .iter()
            .find_map(|l| l.strip_prefix("Retry-After: "))
            .and_then(|s| s.parse().ok());
        match lines[0].split(' ').nth(1) {
            Some("200") => Outcome::Relayed,
            Some("429" | "503") => Outcome::Refused(Duration::from_secs_f64(wait.unwrap_or(0.05))),
            _ => Outcome::MayHaveRun,
        }
    }

    fn pick(&self, mail: &Mail, n: usize) -> Option<Endpoint> {
        let endpoints = self.endpoints.lock().unwrap();
        let open: Vec<&Endpoint> = endpoints
            .get(&mail.destination)?
            .iter()
            .filter(|e| e.serving)
            .collect();
        open.get(n % open.len().max(1)).map(|e| (*e).clone())
    }

    /// A mail's whole way. Only the head of a key's line goes.
    fn deliver(&self, mail: &Mail) {
        let ordered = mail.key != "0000000000000000" && !self.has("order");
        if ordered {
            let mut lines = self.lines.lock().unwrap();
            while lines[&mail.key].front() != Some(&mail.id) {
                if mail.due < Instant::now() + Duration::from_millis(150) {
                    lines
                        .get_mut(&mail.key)
                        .unwrap()
                        .retain(|id| *id != mail.id);
                    drop(lines);
                    return self.give_up(mail);
                }
                lines = self.moved.wait_timeout(lines, STEP).unwrap().0;
            }
        }
        self.send(mail);
        if ordered {
            // The key's rest, whatever the end was.
            thread::sleep(Duration::from_millis(150));
            self.lines
                .lock()
                .unwrap()
                .get_mut(&mail.key)
                .unwrap()
                .pop_front();
            self.moved.notify_all();
        }
    }

    fn send(&self, mail: &Mail) {
        let once = self.repeats[&mail.class] == "at_most_once";
        let seed = usize::from_str_radix(&mail.id[8..], 16).unwrap() / 16;
        if self.has("after-end") {
            self.notice(mail, "dead");
            thread::sleep(Duration::from_millis(250));
        }
        for n in 0.. {
            loop {
                let until = self.waits.lock().unwrap().get(&mail.destination).copied();
                match until {
                    Some(until) if Instant::now() < until && !self.has("told-wait") => {
                        thread::sleep(STEP)
                    }
                    _ => break,
                }
            }
            if mail.due < Instant::now() + Duration::from_millis(150) {
                return self.give_up(mail);
            }
            let Some(endpoint) = self.pick(mail, seed + n) else {
                return self.give_up(mail);
            };
            let twin = self
                .has("two-at-once")
                .then(|| self.pick(mail, seed + n + 1))
                .flatten();
            let outcome = thread::scope(|s| {
                twin.as_ref().map(|twin| s.spawn(|| self.call(mail, twin)));
                self.call(mail, &endpoint)
            });
            match outcome {
                Outcome::Relayed if self.has("effect-twice") && once => {
                    // As if its answer had been lost, and to another hall.
                    self.pick(mail, seed + n + 1)
                        .map(|other| self.call(mail, &other));
                    return;
                }
                Outcome::Relayed => return,
                Outcome::Refused(wait) => {
                    let until = Instant::now() + wait;
                    let mut waits = self.waits.lock().unwrap();
                    let old = waits.entry(mail.destination).or_insert(until);
                    *old = until.max(*old);
                }
                Outcome::Unconnected => thread::sleep(STEP),
                Outcome::MayHaveRun if once && !self.has("repeated") => return self.give_up(mail),
                Outcome::MayHaveRun => thread::sleep(STEP),
            }
        }
    }

    fn give_up(&self, mail: &Mail) {
        if self.has("lost") {
            return;
        }
        if self.has("held-back") {
            thread::sleep(
                mail.due
                    .saturating_duration_since(Instant::now() + Duration::from_millis(50)),
            );
        }
        self.notice(mail, "dead");
        if self.has("ended-twice") {
            self.notice(mail, "bounced");
        }
    }

    fn client(self: &Arc<Self>, stream: TcpStream) -> Option<()> {
        let mut to = stream.try_clone().ok()?;
        let mut from = BufReader::new(stream);
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let count: usize = line.trim_end().strip_prefix('*')?.parse().ok()?;
            let mut words = vec![];
            for _ in 0..count {
                let mut line = String::new();
                from.read_line(&mut line).ok()?;
                let mut word =
                    vec![0; line.trim_end().strip_prefix('$')?.parse::<usize>().ok()? + 2];
                from.read_exact(&mut word).ok()?;
                word.truncate(word.len() - 2);
                words.push(word);
            }
            if words[0] == b"PING" {
                to.write_all(b"+PONG\r\n").ok()?;
                continue;
            }
            let text = |i: usize| String::from_utf8(words[i].clone()).unwrap();
            let fields = text(3);
            let field = |name: &str| {
                fields
                    .split(',')
                    .find_map(|f| f.strip_prefix(name))
                    .unwrap_or_default()
                    .to_string()
            };
            let mail = Mail {
                id: text(2),
                key: text(1),
                class: field("c="),
                tag: field("k="),
                destination: field("dest=").parse().ok()?,
                due: Instant::now() + Duration::from_millis(field("d=").parse().ok()?),
                body: words[4].clone(),
            };
            self.lines
                .lock()
                .unwrap()
                .entry(mail.key.clone())
                .or_default()
                .push_back(mail.id.clone());
            to.write_all(b"+OK\r\n").ok()?;
            let shared = Arc::clone(self);
            thread::spawn(move || shared.deliver(&mail));
        }
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let config = args
        .iter()
        .position(|a| a == "--config")
        .map(|i| &args[i + 1])
        .expect("--config FILE");
    let json: Value = serde_json::from_str(&std::fs::read_to_string(config).unwrap()).unwrap();
    let repeat = |c: &Value| {
        Some((
            c["name"].as_str()?.to_string(),
            c["repeat"].as_str()?.to_string(),
        ))
    };
    let shared = Arc::new(Shared {
        defect: std::env::var("SCRIPTED_DEFECT").unwrap_or_default(),
        platform: json["discovery"].as_str().unwrap().to_string(),
        repeats: json["settings"]["services"]
            .as_array()
            .unwrap()
            .iter()
            .filter_map(repeat)
            .collect(),
        ..Default::default()
    });
    shared.list(&json["known"]);
    let watch = Arc::clone(&shared);
    thread::spawn(move || {
        loop {
            let _ = watch.watch();
            thread::sleep(STEP);
        }
    });
    let listener = TcpListener::bind(json["listen"].as_str().unwrap()).unwrap();
    for stream in listener.incoming().flatten() {
        let shared = Arc::clone(&shared);
        thread::spawn(move || shared.client(stream));
    }
}
