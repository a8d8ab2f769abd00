//! A minimal dispatcher for the testbed's own tests. It delivers each message with one call at a time, honors `Retry-After`,
//! draining endpoints and the order of keys, and gives up at once on a message that must not be sent again.
//! `SCRIPTED_DEFECT` names the rule that it breaks on purpose.
//!
//!     SCRIPTED_DEFECT=told-wait bellsill-testbed run FILE --drive sockets --program target/debug/examples/scripted_peer

use serde_json::{Value, json};
use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_millis(900);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Clone)]
struct Endpoint {
    id: String,
    addr: SocketAddr,
    serving: bool,
}

struct Message {
    id: String,
    class: String,
    key: String,
    tag: String,
    destination: u64,
    deadline: Instant,
    body: Vec<u8>,
}

#[derive(Default)]
struct Shared {
    defect: String,
    platform: String,
    repeat_by_class: HashMap<String, String>,
    endpoints: Mutex<HashMap<u64, Vec<Endpoint>>>,
    retry_after: Mutex<HashMap<u64, Instant>>,
    key_queues: Mutex<HashMap<String, VecDeque<String>>>,
    queue_changed: Condvar,
}

enum Outcome {
    Delivered,
    RateLimited(Duration),
    ConnectFailed,
    /// No usable response: the endpoint may have processed the message.
    Unknown,
}

impl Shared {
    fn has_defect(&self, defect: &str) -> bool {
        self.defect == defect
    }

    fn update_list(&self, json: &Value) {
        let mut endpoints = self.endpoints.lock().unwrap();
        for server in json["servers"].as_array().into_iter().flatten() {
            let listed = endpoints
                .entry(server["cell"].as_u64().unwrap())
                .or_default();
            let (id, serving) = (server["id"].as_str().unwrap(), server["state"] == "up");
            match listed.iter_mut().find(|e| e.id == id) {
                Some(known) => known.serving = serving || self.has_defect("drained"),
                None => {
                    let addr = server["addr"].as_str().unwrap().parse().unwrap();
                    listed.push(Endpoint {
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
                self.update_list(&json);
            }
        }
        Ok(())
    }

    fn notify(&self, message: &Message, result: &str) {
        let body = json!({"ref": message.id, "result": result}).to_string() + "\n";
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

    fn call(&self, message: &Message, endpoint: &Endpoint) -> Outcome {
        let Ok(mut stream) = TcpStream::connect(endpoint.addr) else {
            return Outcome::ConnectFailed;
        };
        let head = format!(
            "POST /events HTTP/1.1\r\nX-Trace-Id: {}\r\nIdempotency-Key: {}\r\nContent-Length: {}\r\n\r\n",
            message.id,
            message.tag,
            message.body.len()
        );
        let left = message
            .deadline
            .saturating_duration_since(Instant::now())
            .min(CALL_TIMEOUT)
            .max(POLL_INTERVAL);
        stream.set_read_timeout(Some(left)).unwrap();
        if stream
            .write_all(&[head.as_bytes(), &message.body].concat())
            .is_err()
        {
            return Outcome::Unknown;
        }
        let mut from = BufReader::new(stream);
        let mut lines = vec![];
        loop {
            let mut line = String::new();
            match from.read_line(&mut line) {
                Ok(n) if n > 2 => lines.push(line.trim_end().to_string()),
                Ok(n) if n > 0 => break,
                _ => return Outcome::Unknown,
            }
        }
        let wait = lines
            .iter()
            .find_map(|l| l.strip_prefix("Retry-After: "))
            .and_then(|s| s.parse().ok());
        match lines[0].split(' ').nth(1) {
            Some("200") => Outcome::Delivered,
            Some("429" | "503") => {
                Outcome::RateLimited(Duration::from_secs_f64(wait.unwrap_or(0.05)))
            }
            _ => Outcome::Unknown,
        }
    }

    fn pick_endpoint(&self, message: &Message, n: usize) -> Option<Endpoint> {
        let endpoints = self.endpoints.lock().unwrap();
        let open: Vec<&Endpoint> = endpoints
            .get(&message.destination)?
            .iter()
            .filter(|e| e.serving)
            .collect();
        open.get(n % open.len().max(1)).map(|e| (*e).clone())
    }

    /// Delivers a message. An ordered message waits until it is at the front of its key's queue.
    fn deliver(&self, message: &Message) {
        let ordered = message.key != "0000000000000000" && !self.has_defect("order");
        if ordered {
            let mut key_queues = self.key_queues.lock().unwrap();
            while key_queues[&message.key].front() != Some(&message.id) {
                if message.deadline < Instant::now() + Duration::from_millis(150) {
                    key_queues
                        .get_mut(&message.key)
                        .unwrap()
                        .retain(|id| *id != message.id);
                    drop(key_queues);
                    return self.give_up(message);
                }
                key_queues = self
                    .queue_changed
                    .wait_timeout(key_queues, POLL_INTERVAL)
                    .unwrap()
                    .0;
            }
        }
        self.send(message);
        if ordered {
            // Pauses the key after every outcome.
            thread::sleep(Duration::from_millis(150));
            self.key_queues
                .lock()
                .unwrap()
                .get_mut(&message.key)
                .unwrap()
                .pop_front();
            self.queue_changed.notify_all();
        }
    }

    fn send(&self, message: &Message) {
        let once = self.repeat_by_class[&message.class] == "at_most_once";
        let seed = usize::from_str_radix(&message.id[8..], 16).unwrap() / 16;
        if self.has_defect("after-end") {
            self.notify(message, "dead");
            thread::sleep(Duration::from_millis(250));
        }
        for n in 0.. {
            loop {
                let until = self
                    .retry_after
                    .lock()
                    .unwrap()
                    .get(&message.destination)
                    .copied();
                match until {
                    Some(until) if Instant::now() < until && !self.has_defect("told-wait") => {
                        thread::sleep(POLL_INTERVAL)
                    }
                    _ => break,
                }
            }
            if message.deadline < Instant::now() + Duration::from_millis(150) {
                return self.give_up(message);
            }
            let Some(endpoint) = self.pick_endpoint(message, seed + n) else {
                return self.give_up(message);
            };
            let second = self
                .has_defect("two-at-once")
                .then(|| self.pick_endpoint(message, seed + n + 1))
                .flatten();
            let outcome = thread::scope(|s| {
                second
                    .as_ref()
                    .map(|second| s.spawn(|| self.call(message, second)));
                self.call(message, &endpoint)
            });
            match outcome {
                Outcome::Delivered if self.has_defect("effect-twice") && once => {
                    // Acts as if the response had been lost, and sends to another endpoint, which may be in another zone.
                    self.pick_endpoint(message, seed + n + 1)
                        .map(|other| self.call(message, &other));
                    return;
                }
                Outcome::Delivered => return,
                Outcome::RateLimited(wait) => {
                    let until = Instant::now() + wait;
                    let mut retry_after = self.retry_after.lock().unwrap();
                    let old = retry_after.entry(message.destination).or_insert(until);
                    *old = until.max(*old);
                }
                Outcome::ConnectFailed => thread::sleep(POLL_INTERVAL),
                Outcome::Unknown if once && !self.has_defect("repeated") => {
                    return self.give_up(message);
                }
                Outcome::Unknown => thread::sleep(POLL_INTERVAL),
            }
        }
    }

    fn give_up(&self, message: &Message) {
        if self.has_defect("lost") {
            return;
        }
        if self.has_defect("held-back") {
            thread::sleep(
                message
                    .deadline
                    .saturating_duration_since(Instant::now() + Duration::from_millis(50)),
            );
        }
        self.notify(message, "dead");
        if self.has_defect("ended-twice") {
            self.notify(message, "bounced");
        }
    }

    fn serve_client(self: &Arc<Self>, stream: TcpStream) -> Option<()> {
        let mut to = stream.try_clone().ok()?;
        let mut from = BufReader::new(stream);
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let count: usize = line.trim_end().strip_prefix('*')?.parse().ok()?;
            let mut arguments = vec![];
            for _ in 0..count {
                let mut line = String::new();
                from.read_line(&mut line).ok()?;
                let mut argument =
                    vec![0; line.trim_end().strip_prefix('$')?.parse::<usize>().ok()? + 2];
                from.read_exact(&mut argument).ok()?;
                argument.truncate(argument.len() - 2);
                arguments.push(argument);
            }
            if arguments[0] == b"PING" {
                to.write_all(b"+PONG\r\n").ok()?;
                continue;
            }
            let text = |i: usize| String::from_utf8(arguments[i].clone()).unwrap();
            let fields = text(3);
            let field = |name: &str| {
                fields
                    .split(',')
                    .find_map(|f| f.strip_prefix(name))
                    .unwrap_or_default()
                    .to_string()
            };
            let message = Message {
                id: text(2),
                key: text(1),
                class: field("c="),
                tag: field("k="),
                destination: field("dest=").parse().ok()?,
                deadline: Instant::now() + Duration::from_millis(field("d=").parse().ok()?),
                body: arguments[4].clone(),
            };
            self.key_queues
                .lock()
                .unwrap()
                .entry(message.key.clone())
                .or_default()
                .push_back(message.id.clone());
            to.write_all(b"+OK\r\n").ok()?;
            let shared = Arc::clone(self);
            thread::spawn(move || shared.deliver(&message));
        }
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let config = args
        .iter()
        .position(|a| a == "--config")
        .map(|i| &args[i + 1])
        .expect("missing option --config FILE");
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
        repeat_by_class: json["settings"]["services"]
            .as_array()
            .unwrap()
            .iter()
            .filter_map(repeat)
            .collect(),
        ..Default::default()
    });
    shared.update_list(&json["known"]);
    let watch = Arc::clone(&shared);
    thread::spawn(move || {
        loop {
            let _ = watch.watch();
            thread::sleep(POLL_INTERVAL);
        }
    });
    let listener = TcpListener::bind(json["listen"].as_str().unwrap()).unwrap();
    for stream in listener.incoming().flatten() {
        let shared = Arc::clone(&shared);
        thread::spawn(move || shared.serve_client(stream));
    }
}
