//! A random run without a claim: many small troubles at once, and a check of the rules on lost messages, repeats, second
//! copies and foreign work. `standin2 soak FOLDER` with `SEED` and `SECONDS`.

use crate::Verdict;
use crate::dispatcher::{Client, Folder, Process, Put, admin, admin_text, free_addr, wait_admin_ready, wait_ready};
use crate::endpoint::{header, read_request};
use crate::platform::{Entry, Platform};
use crate::record::Record;
use crate::settings::{Dispatcher, SOAK};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
    fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
}

#[derive(Default)]
struct Seen {
    class: String,
    destination: u64,
    accepted: bool,
    due: u64,
    /// When the first call that may have run came.
    first_possible: Option<u64>,
    delivered: Option<u64>,
    open: u32,
    calls: u32,
    body: Vec<u8>,
    /// The zone of the first call that may have run.
    zone: Option<u64>,
    key: u64,
    accepted_at: u64,
}

struct World {
    messages: Mutex<BTreeMap<String, Seen>>,
    broken: Mutex<Vec<String>>,
    /// Times of restarts: from the signal to 1.5 s after the next yes; an open one ends at the maximum.
    excuses: Mutex<Vec<(u64, u64)>>,
    record: Record,
    calm: AtomicBool,
    /// Messages that were taken on before this are not judged for order; the maximum during an upgrade.
    ordered_since: AtomicU64,
    window: AtomicU64,
    by_zone: AtomicBool,
    platform: Mutex<Option<Platform>>,
    /// A message that was sent, an earlier one of its key that was not over, and when.
    suspects: Mutex<Vec<(String, String, u64)>>,
}

impl World {
    fn fail(&self, text: String) {
        self.record.line(&format!("BROKEN: {text}"));
        self.broken.lock().unwrap().push(text);
    }
}

/// An earlier message of the key, taken on since the process started, has to be over.
fn check_order(world: &World, messages: &BTreeMap<String, Seen>, id: &str, now: u64) {
    let Some(seen) = messages.get(id).filter(|seen| seen.key != 0) else { return };
    let since = world.ordered_since.load(Ordering::SeqCst);
    let earlier = messages.iter().filter(|(other, earlier)| {
        other.as_str() < id && earlier.key == seen.key && earlier.accepted && earlier.accepted_at > since
    });
    for (other, earlier) in earlier {
        if earlier.open > 0 {
            world.fail(format!("{id}: sent while {other} of the same key is out"));
        }
        if earlier.delivered.is_none() && now < earlier.due {
            // Its notice may be on its way; this is judged at the end.
            world.suspects.lock().unwrap().push((id.to_string(), other.clone(), now));
        }
    }
}

/// Connects and sends what cannot be read, in pieces, or nothing.
fn bad_client(addr: &str, random: &mut Random) {
    let Ok(mut stream) = TcpStream::connect(addr) else {
        thread::sleep(Duration::from_millis(20));
        return;
    };
    let templates = [
        "*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000000000000000\r\n$16\r\nffffffff00000000\r\n$15\r\nc=nope,d=1,dest=\r\n$3\r\nabc\r\n",
        "*1\r\n$4\r\nPING\r\n*2\r\n$4\r\nPING\r\n$5\r\nhello\r\n",
        "*3\r\n$60000000\r\n",
        "PING\r\n\r\n\r\nQUIT\r\n",
        "*-1\r\n$-1\r\n*0\r\n*0\r\n",
        "*99999999999999999999\r\n",
    ];
    let mut bytes = templates[random.below(6) as usize].as_bytes().to_vec();
    for _ in 0..random.below(4) {
        let at = random.below(bytes.len() as u64) as usize;
        bytes[at] = random.below(256) as u8;
    }
    for _ in 0..random.below(3) {
        bytes.extend(bytes.clone());
    }
    let piece = 1 + random.below(bytes.len() as u64) as usize;
    for part in bytes.chunks(piece) {
        if stream.write_all(part).is_err() {
            return;
        }
        if random.below(4) == 0 {
            thread::sleep(Duration::from_millis(random.below(10)));
        }
    }
    if random.below(3) == 0 {
        stream.set_read_timeout(Some(Duration::from_millis(50))).ok();
        stream.read(&mut [0; 4096]).ok();
    }
    if random.below(30) == 0 {
        thread::sleep(Duration::from_millis(2000));
    }
}

/// Waits; false if the other side ends the connection meanwhile.
fn stays(stream: &mut TcpStream, ms: u64) -> bool {
    let until = Instant::now() + Duration::from_millis(ms);
    stream.set_read_timeout(Some(Duration::from_millis(3))).ok();
    let mut stays = true;
    while stays && Instant::now() < until {
        let peeked = stream.peek(&mut [0]);
        stays = match peeked {
            Ok(n) => n > 0,
            Err(e) => matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
        };
    }
    stream.set_read_timeout(None).ok();
    stays
}

fn serve(world: &World, mut stream: TcpStream, destination: u64, zone: u64, seed: u64) {
    let mut random = Random(seed);
    let mut input = Vec::new();
    stream.set_nodelay(true).ok();
    loop {
        let Some((head, body)) = read_request(&mut stream, &mut input) else { return };
        let id = header(&head, "x-trace-id").unwrap_or_default();
        let now = world.record.ms();
        world.record.line(&format!("destination {destination}: call {id}"));
        let ended = world.platform.lock().unwrap().as_ref().unwrap().notices();
        if let Some(notice) = ended.iter().find(|notice| notice.message == id && notice.at + 2 < now) {
            world.fail(format!("{id}: ended by a notice at {} and sent at {now}", notice.at));
        }
        // A server takes some milliseconds to see that the other side has given up an earlier call.
        if world.messages.lock().unwrap().get(&id).is_some_and(|seen| seen.open > 0) {
            thread::sleep(Duration::from_millis(30));
        }
        {
            let mut messages = world.messages.lock().unwrap();
            check_order(world, &messages, &id, now);
            match messages.get_mut(&id) {
                None => world.fail(format!("{id}: nobody handed it in")),
                Some(seen) => {
                    seen.calls += 1;
                    if seen.destination != destination {
                        world.fail(format!("{id}: for {} came to {destination}", seen.destination));
                    }
                    if seen.body != body {
                        world.fail(format!("{id}: the body differs"));
                    }
                    if seen.open > 0 {
                        world.fail(format!("{id}: a second copy"));
                    }
                    if let Some(at) = seen.first_possible {
                        if seen.class == "payment" {
                            world.fail(format!("{id}: a payment that may have run at {at} came again at {now}"));
                        }
                        if (seen.class == "notice" || seen.class == "turn") && now > at + world.window.load(Ordering::SeqCst) + 50 {
                            world.fail(format!("{id}: a notice that may have run at {at} came again at {now}"));
                        }
                    }
                    if world.by_zone.load(Ordering::SeqCst)
                        && (seen.class == "notice" || seen.class == "turn")
                        && seen.zone.is_some_and(|ran_in| ran_in != zone)
                    {
                        world.fail(format!("{id}: may have run in another zone"));
                    }
                    seen.open += 1;
                }
            }
        }
        let closed = |possible: bool, delivered: bool| {
            let mut messages = world.messages.lock().unwrap();
            if let Some(seen) = messages.get_mut(&id) {
                seen.open = seen.open.saturating_sub(1);
                if possible && seen.first_possible.is_none() {
                    (seen.first_possible, seen.zone) = (Some(now), Some(zone));
                }
                if delivered && seen.delivered.is_none() {
                    seen.delivered = Some(world.record.ms());
                }
            }
        };
        let possible_now = || {
            let mut messages = world.messages.lock().unwrap();
            if let Some(seen) = messages.get_mut(&id)
                && seen.first_possible.is_none()
            {
                (seen.first_possible, seen.zone) = (Some(now), Some(zone));
            }
        };
        let kind = if world.calm.load(Ordering::SeqCst) || random.below(2) == 0 { 0 } else { random.below(100) };
        let text: String = match kind {
            0..=54 => {
                possible_now();
                if !stays(&mut stream, 5 + random.below(200)) {
                    closed(true, false);
                    return;
                }
                closed(true, true);
                let extra = match random.below(12) {
                    0 => "HTTP/1.1 100 Continue\r\n\r\n",
                    _ => "",
                };
                let more = match random.below(14) {
                    0 => "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                    1 => "noise noise",
                    _ => "",
                };
                format!("{extra}HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok{more}")
            }
            55..=60 => {
                possible_now();
                closed(true, false);
                "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n".into()
            }
            61..=67 => {
                closed(false, false);
                "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull".into()
            }
            68..=72 => {
                closed(false, false);
                format!("HTTP/1.1 429 Wait\r\nRetry-After: 0.{}\r\nContent-Length: 0\r\n\r\n", 1 + random.below(8))
            }
            73..=74 => {
                closed(false, false);
                "HTTP/1.1 503 Slots\r\nX-Over-Slots: 1\r\nContent-Length: 0\r\n\r\n".into()
            }
            75..=80 => {
                // Hangs until the other side gives up.
                possible_now();
                let mut rest = [0; 512];
                while matches!(stream.read(&mut rest), Ok(n) if n > 0) {}
                closed(true, false);
                return;
            }
            81..=85 => {
                possible_now();
                stays(&mut stream, random.below(150));
                closed(true, false);
                stream.shutdown(Shutdown::Both).ok();
                return;
            }
            86..=87 if std::env::var_os("FUZZ").is_some() => {
                possible_now();
                closed(true, false);
                let mut bytes = [
                    "HTTP/1.1 500 Oops\r\nContent-Length: 3\r\nRetry-After: 0.5\r\n\r\nabc",
                    "HTTP/1.1 404 No\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                    "HTTP/1.1 500 Oops\r\nEndpoint-Load-Metrics: x0=0.4,x1=25\r\nContent-Length: 0\r\n\r\n",
                ][random.below(3) as usize]
                .as_bytes()
                .to_vec();
                for _ in 0..1 + random.below(4) {
                    let at = random.below(bytes.len() as u64) as usize;
                    // The status stays, so that the answer says what the endpoint did.
                    if at > 12 {
                        bytes[at] = random.below(256) as u8;
                    }
                }
                stream.write_all(&bytes).ok();
                thread::sleep(Duration::from_millis(random.below(300)));
                return;
            }
            86..=89 => {
                possible_now();
                closed(true, false);
                ["\u{1}\u{2}garbage\r\n\r\n", "HTTP/1.1 503 Full\r\nContent-Length: 9000000000\r\n\r\nx", "HTTP/1.1 503 Fu", "HTTP/1.1 429 X\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nabcdefg"]
                    [random.below(4) as usize]
                    .into()
            }
            90..=92 => {
                possible_now();
                closed(true, true);
                ["HTTP/1.1 200 OK\r\nContent-Length: zzz\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nabc"][random.below(2) as usize].into()
            }
            93..=95 => {
                // In pieces.
                possible_now();
                let text = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
                for piece in text.chunks(7) {
                    if piece.as_ptr() == text.as_ptr() {
                        closed(true, true);
                    }
                    if stream.write_all(piece).is_err() {
                        break;
                    }
                    if !stays(&mut stream, random.below(30)) {
                        return;
                    }
                }
                continue;
            }
            _ => {
                possible_now();
                if !stays(&mut stream, 1000 + random.below(2500)) {
                    closed(true, false);
                    return;
                }
                closed(true, true);
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into()
            }
        };
        world.record.line(&format!("destination {destination}: answer to {id}: {:?}", &text[..text.len().min(30)]));
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        if random.below(25) == 0 {
            thread::sleep(Duration::from_millis(random.below(40)));
            return;
        }
    }
}

pub fn run(record: &Record) -> Verdict {
    let number = |name: &str, default: u64| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default);
    let (seed, seconds) = (number("SEED", 1), number("SECONDS", 60));
    let mut random = Random(seed);
    let world = Arc::new(World {
        messages: Mutex::default(),
        broken: Mutex::default(),
        excuses: Mutex::default(),
        record: record.clone(),
        calm: AtomicBool::new(false),
        ordered_since: AtomicU64::new(0),
        window: AtomicU64::new(0),
        by_zone: AtomicBool::new(false),
        platform: Mutex::default(),
        suspects: Mutex::default(),
    });
    let varied = number("VARIED", 0) == 1;
    let window_ms = if varied { [400, 1000, 3000, 8000][random.below(4) as usize] } else { 3000 };
    let by_zone = varied && random.below(2) == 0;
    let mut settings = SOAK.replace("3000000000,\"dedup-scope\":\"all\"", &format!("{}000000,\"dedup-scope\":\"{}\"", window_ms, if by_zone { "zone" } else { "all" }));
    if varied {
        let mut set = |field: &str, old: &str, values: &[&str]| {
            let value = values[random.below(values.len() as u64) as usize];
            settings = settings.replace(&format!("\"{field}\":{old}"), &format!("\"{field}\":{value}"));
            record.line(&format!("{field} = {value}"));
        };
        set("workers", "16", &["2", "4", "16", "40"]);
        set("balancers", "3", &["1", "3", "30", "300"]);
        set("max-open", "240", &["8", "30", "240", "1000"]);
        set("max-attempts", "6", &["1", "2", "6", "12"]);
        set("keepalive-ns", "15000000000", &["440000000", "2000000000", "15000000000"]);
        set("connect-timeout-ns", "1000000000", &["300000000", "1000000000", "1500000000"]);
        set("own-limits", "[false,true,false]", &["[false,true,false]", "[true,true,true]", "[false,false,false]"]);
        set("turn-gap-ns", "100000000", &["0", "100000000", "500000000"]);
        set("decay", "\"line\"", &["\"line\"", "\"halves\""]);
        record.line(&format!("window {window_ms} ms, by zone: {by_zone}"));
    }
    world.window.store(window_ms, Ordering::SeqCst);
    world.by_zone.store(by_zone, Ordering::SeqCst);
    let mut entries = vec![];
    for n in 0..6u64 {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let destination = 7 + n / 2;
        let kind = ["grocers", "couriers", "farms"][(n / 2) as usize];
        entries.push(Entry {
            id: format!("s-{n}"),
            addr: listener.local_addr().unwrap().to_string(),
            zone: ["hall-a", "hall-b"][(n % 2) as usize].into(),
            kind: kind.into(),
            cell: destination,
            state: "up",
        });
        let world = world.clone();
        let mut random = Random(seed ^ (n + 77));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (world, seed) = (world.clone(), random.next());
                thread::spawn(move || serve(&world, stream, destination, n % 2, seed));
            }
        });
    }
    let platform = Platform::start(&entries, record);
    *world.platform.lock().unwrap() = Some(platform.clone());
    let folder = Folder::create();
    let listen = free_addr();
    let start = |name: &str, seed: u64| {
        let mgmt = free_addr();
        let known = platform.list();
        let config =
            Dispatcher { listen: &listen, platform: &platform, known: &known, settings: &settings, mgmt: Some(&mgmt), seed }.json();
        (Process::start(name, &folder.0, &config, None, record), mgmt)
    };
    let (mut process, mut mgmt) = start("p0", seed);
    if !wait_ready(&listen, Duration::from_secs(10), record) {
        return Verdict::CannotRun("not ready".into());
    }
    // The state directory must stay under its limit at every moment, each file in whole blocks of 512 bytes.
    let largest = Arc::new(AtomicU64::new(0));
    {
        let (largest, path) = (largest.clone(), folder.0.join("state"));
        thread::spawn(move || {
            while let Ok(files) = std::fs::read_dir(&path) {
                let sizes = files.flatten().filter_map(|file| Some(file.metadata().ok()?.len().div_ceil(512) * 512));
                largest.fetch_max(sizes.sum(), Ordering::SeqCst);
                thread::sleep(Duration::from_micros(200));
            }
        });
    }
    let body_bytes = number("BODY", 3000);
    // Clients.
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(seed << 24));
    let mut clients = vec![];
    for n in 0..6u64 {
        let (world, stop, next, listen, record) = (world.clone(), stop.clone(), next.clone(), listen.clone(), record.clone());
        let mut random = Random(seed ^ (n + 1000));
        clients.push(thread::spawn(move || {
            let mut client: Option<Client> = None;
            while !stop.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20 + random.below(120)));
                if client.is_none() {
                    client = Client::connect(&listen, &record).ok();
                }
                let Some(open) = &mut client else { continue };
                let id = format!("{:016x}", next.fetch_add(1, Ordering::SeqCst) + 1);
                let class = ["notice", "payment", "safe", "turn"][random.below(4) as usize];
                let destination = 7 + random.below(3);
                let life = 300 + random.below(9000);
                let body = "x".repeat(random.below(body_bytes) as usize);
                let turn = if class == "turn" { n + 1 } else { 0 };
                let key = if class == "notice" || class == "turn" { format!(",k={id}") } else { String::new() };
                let fields = format!("c={class},d={life},dest={destination}{key}");
                world.messages.lock().unwrap().insert(id.clone(), Seen {
                    class: class.into(),
                    destination,
                    body: body.clone().into_bytes(),
                    key: turn,
                    ..Seen::default()
                });
                let taken = open.put(&Put { key: turn, id: &id, fields: &fields, body: &body });
                let now = record.ms();
                if taken {
                    let mut messages = world.messages.lock().unwrap();
                    let seen = messages.get_mut(&id).unwrap();
                    (seen.accepted, seen.due, seen.accepted_at) = (true, now + life, now);
                }
                if !open.is_open() || random.below(20) == 0 {
                    client = None;
                }
            }
        }));
    }
    if number("FUZZ", 0) == 1 {
        for n in 0..4 {
            let (stop, listen) = (stop.clone(), listen.clone());
            let mut random = Random(seed ^ (n + 5000));
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    bad_client(&listen, &mut random);
                }
            });
        }
    }
    let begin = Instant::now();
    let mut count = 0;
    let far = u64::MAX;
    if number("STORM", 0) == 1 {
        // Processes on one state directory that start and are killed within milliseconds, for a part of each 10 s.
        let mut others: Vec<Process> = vec![];
        while begin.elapsed() < Duration::from_secs(seconds) {
            world.ordered_since.store(far, Ordering::SeqCst);
            world.excuses.lock().unwrap().push((record.ms(), far));
            let storm = Instant::now();
            while storm.elapsed() < Duration::from_secs(3) {
                thread::sleep(Duration::from_millis(random.below(60)));
                count += 1;
                if others.len() < 3 && random.below(2) == 0 {
                    others.push(start(&format!("q{count}"), random.next()).0);
                } else if !others.is_empty() {
                    others.remove(random.below(others.len() as u64) as usize).kill();
                } else {
                    process.kill();
                    process = start(&format!("p{count}"), random.next()).0;
                }
            }
            process.kill();
            others.drain(..).for_each(|mut other| other.kill());
            thread::sleep(Duration::from_millis(100));
            (process, mgmt) = start(&format!("p{count}"), random.next());
            if !wait_admin_ready(&mgmt, Duration::from_secs(10), record) {
                return Verdict::Broken("not ready after the storm".into());
            }
            world.excuses.lock().unwrap().last_mut().unwrap().1 = record.ms() + 1500;
            world.ordered_since.store(record.ms() + 200, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(4000 + random.below(3000)));
        }
    }
    while begin.elapsed() < Duration::from_secs(seconds) {
        thread::sleep(Duration::from_millis(500 + random.below(3500)));
        count += 1;
        match random.below(9) {
            0 | 1 => {
                world.ordered_since.store(far, Ordering::SeqCst);
                world.excuses.lock().unwrap().push((record.ms(), far));
                process.kill();
                thread::sleep(Duration::from_millis(600 + random.below(2000)));
                (process, mgmt) = start(&format!("p{count}"), random.next());
                if !wait_admin_ready(&mgmt, Duration::from_secs(10), record) {
                    return Verdict::Broken("not ready after SIGKILL".into());
                }
                world.excuses.lock().unwrap().last_mut().unwrap().1 = record.ms() + 1500;
            }
            2 => {
                world.ordered_since.store(far, Ordering::SeqCst);
                world.excuses.lock().unwrap().push((record.ms(), far));
                process.signal("TERM");
                if !process.wait_for_end(Duration::from_millis(3700)) {
                    process.kill();
                    record.line("it had to be killed");
                }
                thread::sleep(Duration::from_millis(600));
                (process, mgmt) = start(&format!("p{count}"), random.next());
                if !wait_admin_ready(&mgmt, Duration::from_secs(10), record) {
                    return Verdict::Broken("not ready after SIGTERM".into());
                }
                world.excuses.lock().unwrap().last_mut().unwrap().1 = record.ms() + 1500;
            }
            3 | 4 => {
                world.ordered_since.store(far, Ordering::SeqCst);
                let (new, new_mgmt) = start(&format!("p{count}"), random.next());
                if !wait_admin_ready(&new_mgmt, Duration::from_secs(6), record) {
                    return Verdict::Broken("not ready in an upgrade".into());
                }
                // The known late notices of an upgrade are excused here.
                world.ordered_since.store(far, Ordering::SeqCst);
                world.excuses.lock().unwrap().push((record.ms(), far));
                let mut old = std::mem::replace(&mut process, new);
                mgmt = new_mgmt;
                match random.below(3) {
                    0 => old.kill(),
                    _ => {
                        old.signal("TERM");
                        if !old.wait_for_end(Duration::from_millis(3700)) {
                            old.kill();
                            record.line("it had to be killed");
                        }
                    }
                }
                world.excuses.lock().unwrap().last_mut().unwrap().1 = record.ms() + 1500;
            }
            5 => process.signal("HUP"),
            6 => {
                process.signal("STOP");
                thread::sleep(Duration::from_millis(140));
                process.signal("CONT");
            }
            7 => {
                let n = random.below(6) as usize;
                let mut entry = entries[n].clone();
                entry.state = "draining";
                platform.change(entry.clone());
                thread::sleep(Duration::from_millis(random.below(1500)));
                entry.state = "up";
                platform.change(entry);
            }
            _ => {
                let n = random.below(6);
                let reply = admin(&mgmt, &format!("disable-server s-{n}"));
                record.line(&format!("disable s-{n}: {reply:?}"));
                thread::sleep(Duration::from_millis(random.below(1500)));
                let reply = admin(&mgmt, &format!("enable-server s-{n}"));
                record.line(&format!("enable s-{n}: {reply:?}"));
            }
        }
        if world.ordered_since.load(Ordering::SeqCst) == far {
            world.ordered_since.store(record.ms() + 200, Ordering::SeqCst);
        }
        if !process.is_running() {
            return Verdict::Broken("the process has ended by itself".into());
        }
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().ok();
    }
    thread::sleep(Duration::from_millis(11500));
    let largest = largest.load(Ordering::SeqCst);
    record.line(&format!("the state directory had {largest} bytes at most"));
    if largest > 3_000_000 {
        world.fail(format!("the state directory had {largest} bytes"));
    }
    let diagnostics = admin_text(&mgmt, "show-diagnostics");
    record.line(&diagnostics);
    let notices: BTreeMap<String, u64> = platform.notices().into_iter().rev().map(|n| (n.message, n.at)).collect();
    for (id, other, at) in world.suspects.lock().unwrap().iter() {
        if notices.get(other).is_none_or(|notice| *notice > at + 20) {
            world.fail(format!("{id}: sent at {at}, before {other} of the same key was over"));
        }
    }
    let (mut accepted, mut delivered, mut noticed) = (0, 0, 0);
    for (id, seen) in world.messages.lock().unwrap().iter().filter(|(_, seen)| seen.accepted) {
        accepted += 1;
        delivered += u64::from(seen.delivered.is_some());
        let notice = notices.get(id).copied();
        noticed += u64::from(notice.is_some());
        let ended = seen.delivered.into_iter().chain(notice).min();
        let mut limit = seen.due + 350;
        for &(from, to) in world.excuses.lock().unwrap().iter() {
            if (from..to).contains(&limit) {
                limit = to;
            }
        }
        if ended.is_none_or(|at| at > limit) {
            world.fail(format!("{id}: due at {}, ended at {ended:?}, limit {limit}", seen.due));
        }
    }
    let broken = world.broken.lock().unwrap();
    let text = format!("seed {seed}: {accepted} taken on, {delivered} delivered, {noticed} notices, {count} events, {largest} bytes, {} broken: {:?}", broken.len(), broken.iter().take(3).collect::<Vec<_>>());
    record.line(&text);
    match broken.is_empty() {
        true => {
            println!("{text}");
            Verdict::Held
        }
        false => Verdict::Broken(text),
    }
}
