//! Stand-ins for the endpoints, the platform's agent and the clients, and the record of what each of them saw.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A client waits this long for the answer to a request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// An agent says an empty line this often while nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// What clients, endpoints and the platform saw of one message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub class: String,
    pub dest: u64,
    /// The idempotency key; empty in a class without.
    pub key: String,
    /// The ordering key; 0 for none.
    pub order_key: u64,
    pub body: Vec<u8>,
    /// When the client sent it, in milliseconds of the run.
    pub sent: u64,
    /// Its time, counted from then.
    pub lifetime: u64,
    /// When its client heard that it is taken on.
    pub taken: Option<u64>,
    /// When an endpoint took a call with it, and which.
    pub calls: Vec<(u64, String)>,
    /// When an endpoint wrote 200.
    pub delivered: Vec<u64>,
    pub notices: Vec<(u64, String)>,
}

impl Message {
    pub fn deadline(&self) -> u64 {
        self.sent + self.lifetime
    }

    /// When it ended for the outside: delivered, or ended by a notice.
    pub fn end(&self) -> Option<u64> {
        let notices = self.notices.iter().map(|n| n.0);
        self.delivered.iter().copied().chain(notices).min()
    }
}

/// How an endpoint treats calls.
pub struct Endpoint {
    pub id: String,
    pub addr: String,
    pub dest: u64,
    pub zone: &'static str,
    pub kind: &'static str,
    /// It takes calls and answers none.
    pub hangs: AtomicBool,
}

pub struct World {
    begun: Instant,
    pub messages: Mutex<BTreeMap<String, Message>>,
    pub lines: Mutex<Vec<(u64, String)>>,
    pub endpoints: Mutex<Vec<Arc<Endpoint>>>,
    pub discovery: String,
    next: AtomicU64,
}

impl World {
    /// Starts the platform's agent.
    pub fn start() -> Arc<World> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let world = Arc::new(World {
            begun: Instant::now(),
            messages: Mutex::default(),
            lines: Mutex::default(),
            endpoints: Mutex::default(),
            discovery: listener.local_addr().expect("an address").to_string(),
            next: AtomicU64::new(1),
        });
        let agent = Arc::clone(&world);
        serve(listener, move |stream| agent.serve_agent(stream));
        world
    }

    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn sleep_until(&self, ms: u64) {
        std::thread::sleep(Duration::from_millis(ms).saturating_sub(self.begun.elapsed()));
    }

    /// Adds a line to the record.
    pub fn note(&self, line: impl Into<String>) {
        self.lines
            .lock()
            .expect("a lock")
            .push((self.now(), line.into()));
    }

    /// Starts an endpoint whose calls take this long.
    pub fn endpoint(
        self: &Arc<Self>,
        dest: u64,
        zone: &'static str,
        kind: &'static str,
        work: u64,
    ) -> Arc<Endpoint> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let mut all = self.endpoints.lock().expect("a lock");
        let endpoint = Arc::new(Endpoint {
            id: format!("s-{:04x}", 0x5be2 + all.len()),
            addr: listener.local_addr().expect("an address").to_string(),
            dest,
            zone,
            kind,
            hangs: AtomicBool::new(false),
        });
        all.push(Arc::clone(&endpoint));
        let (world, served) = (Arc::clone(self), Arc::clone(&endpoint));
        serve(listener, move |stream| {
            world.serve_calls(stream, &served, work)
        });
        endpoint
    }

    /// The list of endpoints in discovery's form.
    pub fn list(&self) -> String {
        let endpoints = self.endpoints.lock().expect("a lock");
        let entry = |e: &Arc<Endpoint>| {
            format!(
                "{{\"id\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"kind\":\"{}\",\"cell\":{},\"state\":\"up\",\
                 \"weight\":20.0,\"started_ms\":0}}",
                e.id, e.addr, e.zone, e.kind, e.dest
            )
        };
        let entries: Vec<String> = endpoints.iter().map(entry).collect();
        format!(
            "{{\"version\":41,\"full\":true,\"servers\":[{}]}}",
            entries.join(",")
        )
    }

    fn serve_agent(&self, stream: TcpStream) {
        let Ok(mut to) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Some((head, body)) = request(&mut from) {
            let line = head[0].clone();
            let answered = if line.starts_with("GET /api/targets?follow=1") {
                return self.serve_watch(&mut to, &line);
            } else if line.starts_with("GET /api/targets") {
                let list = self.list();
                write!(
                    to,
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
                    list.len()
                )
            } else if line.starts_with("POST /v2/finals") {
                self.take_notices(&String::from_utf8_lossy(&body));
                write!(to, "HTTP/1.1 204 No Content\r\n\r\n")
            } else {
                write!(to, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            };
            if answered.is_err() {
                return;
            }
        }
    }

    /// The list does not change in these cases: its first line has the whole list, then come empty lines.
    fn serve_watch(&self, to: &mut TcpStream, line: &str) {
        self.note(format!("agent: watch opened: {line}"));
        let list = self.list() + "\n";
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut sent = write!(to, "{head}{:x}\r\n{list}\r\n", list.len());
        while sent.is_ok() {
            std::thread::sleep(HEARTBEAT);
            sent = write!(to, "1\r\n\n\r\n");
        }
    }

    fn take_notices(&self, body: &str) {
        let field = |line: &str, name: &str| {
            let from = line.find(&format!("\"{name}\":\""))? + name.len() + 4;
            Some(line[from..].split('"').next()?.to_string())
        };
        for line in body.lines() {
            let (Some(id), Some(result)) = (field(line, "ref"), field(line, "result")) else {
                self.note(format!("agent: unreadable notice: {line}"));
                continue;
            };
            let now = self.now();
            match self.messages.lock().expect("a lock").get_mut(&id) {
                Some(message) => message.notices.push((now, result)),
                None => self.note(format!(
                    "agent: notice for a message that nobody sent: {line}"
                )),
            }
        }
    }

    fn serve_calls(&self, stream: TcpStream, endpoint: &Endpoint, work: u64) {
        stream.set_nodelay(true).ok();
        let Ok(mut to) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Some((head, body)) = request(&mut from) {
            let value = |name: &str| {
                let line = head
                    .iter()
                    .find_map(|l| l.strip_prefix(name)?.strip_prefix(": "));
                line.unwrap_or("").to_string()
            };
            if !head[0].starts_with("POST /events ") {
                if write!(to, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").is_err() {
                    return;
                }
                continue;
            }
            let id = value("X-Trace-Id");
            let now = self.now();
            let known = match self.messages.lock().expect("a lock").get_mut(&id) {
                Some(m)
                    if m.dest == endpoint.dest
                        && m.key == value("Idempotency-Key")
                        && m.body == body =>
                {
                    m.calls.push((now, endpoint.id.clone()));
                    true
                }
                _ => false,
            };
            if !known {
                self.note(format!(
                    "{}: a call that no client handed in in this form: {id}",
                    endpoint.id
                ));
                write!(to, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n").ok();
                return;
            }
            if endpoint.hangs.load(Ordering::SeqCst) {
                // Taken and never answered; the connection stays open until the dispatcher ends it.
                let mut rest = Vec::new();
                from.read_to_end(&mut rest).ok();
                return;
            }
            std::thread::sleep(Duration::from_millis(work));
            let now = self.now();
            if write!(to, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                return;
            }
            if let Some(m) = self.messages.lock().expect("a lock").get_mut(&id) {
                m.delivered.push(now);
            }
        }
    }

    /// Hands in one message at a client's connection: an idle one of `pool`, or a new one. A request that crosses the
    /// close of an idle connection is sent once more on a new one.
    pub fn hand_in(&self, to: &str, pool: &Pool, put: &Put) {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        let id = format!("9b1f03aa{:08x}", number);
        let key = if put.tagged {
            format!("5c0f6e1a{number:08x}")
        } else {
            String::new()
        };
        let body = vec![b'a' + (number % 26) as u8; put.bytes];
        let mut fields = format!("c={},d={}", put.class, put.lifetime);
        if !key.is_empty() {
            fields += &format!(",k={key}");
        }
        fields += &format!(",dest={}", put.dest);
        let mut command = b"*5\r\n".to_vec();
        let order_key = format!("{:016x}", put.order_key);
        for word in [
            b"MSG.PUT".as_slice(),
            order_key.as_bytes(),
            id.as_bytes(),
            fields.as_bytes(),
            &body,
        ] {
            command.extend(format!("${}\r\n", word.len()).as_bytes());
            command.extend(word);
            command.extend(b"\r\n");
        }
        let message = Message {
            class: put.class.to_string(),
            dest: put.dest,
            key,
            order_key: put.order_key,
            body,
            sent: self.now(),
            lifetime: put.lifetime,
            ..Message::default()
        };
        self.messages
            .lock()
            .expect("a lock")
            .insert(id.clone(), message);
        let pooled = if put.fresh {
            None
        } else {
            pool.lock().expect("a lock").pop()
        };
        let reused = pooled.is_some();
        let mut answer = ask(pooled.or_else(|| connect(to)), &command);
        if reused && answer.is_none() {
            answer = ask(connect(to), &command);
        }
        match answer {
            Some((line, stream)) => {
                if line.starts_with('+') {
                    let now = self.now();
                    self.messages
                        .lock()
                        .expect("a lock")
                        .get_mut(&id)
                        .expect("the message")
                        .taken = Some(now);
                } else {
                    self.note(format!("client: {id} turned away: {line}"));
                }
                if !put.fresh {
                    pool.lock().expect("a lock").push(stream);
                }
            }
            None => self.note(format!("client: {id} got no answer")),
        }
    }
}

/// The idle connections of the clients that keep theirs.
pub type Pool = Arc<Mutex<Vec<TcpStream>>>;

/// A message to hand in.
#[derive(Clone, Copy)]
pub struct Put {
    pub at: u64,
    pub class: &'static str,
    /// Whether the class has an idempotency key.
    pub tagged: bool,
    /// The ordering key; 0 for none.
    pub order_key: u64,
    pub dest: u64,
    pub lifetime: u64,
    pub bytes: usize,
    /// On a connection of its own, which ends after the answer.
    pub fresh: bool,
}

/// Hands in each message at its time, each by a thread of its own.
pub fn run_clients(
    world: &Arc<World>,
    to: &str,
    puts: Vec<Put>,
) -> Vec<std::thread::JoinHandle<()>> {
    let pool: Pool = Arc::default();
    let client = |put: Put| {
        let (world, to, pool) = (Arc::clone(world), to.to_string(), Arc::clone(&pool));
        std::thread::spawn(move || {
            world.sleep_until(put.at);
            world.hand_in(&to, &pool, &put);
        })
    };
    puts.into_iter().map(client).collect()
}

fn connect(to: &str) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&to.parse().ok()?, ANSWER_TIMEOUT).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Sends a command and reads one line; `None` if the connection ends first, or after the client's patience.
fn ask(stream: Option<TcpStream>, command: &[u8]) -> Option<(String, TcpStream)> {
    let mut stream = stream?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    stream.write_all(command).ok()?;
    let mut line = Vec::new();
    let mut byte = [0; 1];
    while line.last() != Some(&b'\n') {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        line.push(byte[0]);
    }
    Some((String::from_utf8_lossy(&line).trim().to_string(), stream))
}

/// Whether a dispatcher answers `PING` with `+PONG`.
pub fn pongs(to: &str) -> bool {
    ask(connect(to), b"*1\r\n$4\r\nPING\r\n").is_some_and(|(line, _)| line == "+PONG")
}

fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || handle(stream));
        }
    });
}

/// Reads one HTTP request: the lines of its head, and its body.
fn request(from: &mut BufReader<TcpStream>) -> Option<(Vec<String>, Vec<u8>)> {
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" if head.is_empty() => {}
            "" => break,
            text => head.push(text.to_string()),
        }
    }
    let length = head.iter().find_map(|l| {
        let (name, value) = l.split_once(':')?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.trim().parse().ok())?
    });
    let mut body = vec![0; length.unwrap_or(0)];
    from.read_exact(&mut body).ok()?;
    Some((head, body))
}
