//! A world that a dispatcher is played against for some seconds: clients that keep their connections, endpoints that
//! answer by chance, the platform, and faults. A [`Ledger`] judges what came of it.

use super::faults::{EIO, ENOSPC, Faults, words};
use super::ledger::{Class, Effect, Heard, Ledger, Verdict};
use super::{Client, Rig, connect, fresh, put, request, stand_in};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CLIENTS: u64 = 16;
/// How long a client waits for an answer.
const ANSWER_WITHIN: Duration = Duration::from_millis(400);
/// From the kill to the next start.
const DOWN_FOR: Duration = Duration::from_millis(600);
/// The earliest kill after SIGTERM.
const KILL_AFTER_TERM: Duration = Duration::from_millis(3_700);
/// How often the machine is looked at, and what of a sleep's lateness is none of its stalls.
const BEAT: Duration = Duration::from_millis(5);
const NO_STALL: Duration = Duration::from_millis(50);
/// The log is shown of this many messages whose rules were broken.
const TRACED_MOST: usize = 20;
/// How long a dispatcher may be delayed.
const STANDSTILL: Duration = Duration::from_millis(150);
/// What a hanging endpoint holds a call for at most.
const HANG_FOR: Duration = Duration::from_secs(30);

/// Within this time a client that stops in the middle of a request gets an error or is closed.
const BAD_CLIENT_OWED: Duration = Duration::from_secs(3);
const NOTICE_WINDOW: Duration = Duration::from_secs(8);

/// How a world is set up.
#[derive(Clone)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    /// The lifetimes that clients ask for, in milliseconds.
    pub(crate) lifetimes_ms: std::ops::Range<u64>,
    /// The window of the class whose repeats are dropped.
    pub(crate) window: Duration,
    /// Of a hundred requests, how many are delivered, answered with a Retry-After, answered with an error, and closed.
    pub(crate) answers: [u32; 4],
    /// Between two messages of a client.
    pub(crate) pause: Duration,
    pub(crate) idle_clients: usize,
}

impl Scenario {
    /// A scenario under these faults, as far as they are part of its setting.
    pub(crate) fn with_faults(seed: u64, faults: &[Fault]) -> Scenario {
        let mut scenario = Scenario::new(seed);
        for fault in faults {
            match fault {
                Fault::ShortTimes => scenario.lifetimes_ms = 5..400,
                Fault::ShortWindow => scenario.window = Duration::from_secs(1),
                Fault::Crowd => scenario.idle_clients = 400,
                _ => {}
            }
        }
        scenario
    }

    pub(crate) fn new(seed: u64) -> Scenario {
        Scenario {
            seed,
            lifetimes_ms: 1_500..4_000,
            window: NOTICE_WINDOW,
            answers: [72, 8, 8, 12],
            pause: Duration::from_millis(100),
            idle_clients: 0,
        }
    }
}

/// The faults that a run is played under.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    WallSteps,
    FailingWrites,
    HalfWriteAtKill,
    SocketErrors,
    DiscoverySilent,
    Hang,
    CutAnswers,
    CloseIdle,
    Standstill,
    StopHalfWay,
    ShortTimes,
    ShortWindow,
    Crowd,
}

impl Fault {
    pub(crate) const ALL: [Fault; 13] = [
        Fault::WallSteps,
        Fault::FailingWrites,
        Fault::HalfWriteAtKill,
        Fault::SocketErrors,
        Fault::DiscoverySilent,
        Fault::Hang,
        Fault::CutAnswers,
        Fault::CloseIdle,
        Fault::Standstill,
        Fault::StopHalfWay,
        Fault::ShortTimes,
        Fault::ShortWindow,
        Fault::Crowd,
    ];
}

/// What the endpoints and the platform do beside answering.
#[derive(Default)]
pub(crate) struct FaultSwitches {
    /// Endpoints take calls and never answer.
    pub(crate) hang: AtomicBool,
    /// Endpoints end connections that no call is on.
    pub(crate) close_idle: AtomicBool,
    /// Endpoints answer half and close.
    pub(crate) cut_answers: AtomicBool,
    /// Discovery answers nothing; notices are answered all the same.
    pub(crate) discovery_silent: AtomicBool,
    /// Clients stop in the middle of a request and stay.
    pub(crate) stop_half_way: AtomicBool,
}

struct Shared {
    ledger: Mutex<Ledger>,
    faults: FaultSwitches,
    answers: [u32; 4],
    stop: AtomicBool,
    random: Mutex<Pcg64>,
}

impl Shared {
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap()
    }

    fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.random.lock().unwrap().random_range(range)
    }
}

pub(crate) struct World {
    pub(crate) rig: Rig,
    pub(crate) faults: Faults,
    scenario: Scenario,
    shared: Arc<Shared>,
    clients: Vec<JoinHandle<()>>,
    idle: Vec<TcpStream>,
    disturbances: Vec<Fault>,
    pub(crate) random: Pcg64,
}

/// Reads the id out of a call's head.
fn id_of(head: &[String]) -> String {
    head.iter()
        .find_map(|line| line.strip_prefix("X-Trace-Id: "))
        .unwrap_or("none")
        .to_string()
}

/// Waits until the other side has closed, or for as long as an endpoint hangs.
fn wait_for_end(from: &mut BufReader<TcpStream>) {
    from.get_ref().set_read_timeout(Some(HANG_FOR)).ok();
    let _read = from.read(&mut [0; 64]);
}

/// How long ago the last bytes of a connection came, as the kernel saw it: a thread that reads them late may have been
/// held up.
fn last_came(stream: &TcpStream) -> Duration {
    // SAFETY: the structure is plain numbers, and the kernel writes no more of it than its length says.
    let came_ms = unsafe {
        let mut info: libc::tcp_info = std::mem::zeroed();
        let mut length = std::mem::size_of::<libc::tcp_info>() as libc::socklen_t;
        let at = std::ptr::from_mut(&mut info).cast();
        let done = libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            at,
            &mut length,
        );
        if done == 0 {
            info.tcpi_last_data_recv
        } else {
            0
        }
    };
    Duration::from_millis(came_ms.into())
}

/// One connection to an endpoint; a limiter is what its waits bind.
fn serve_calls(stream: TcpStream, limiter: usize, shared: &Shared) {
    let Ok(mut to) = stream.try_clone() else {
        return;
    };
    let mut from = BufReader::new(stream);
    let mut served = 0;
    loop {
        if served > 0 && shared.faults.close_idle.load(Ordering::SeqCst) && shared.draw(0..3) == 0 {
            return;
        }
        let Some((head, _body)) = request(&mut from) else {
            return;
        };
        served += 1;
        let id = id_of(&head);
        let call = shared
            .ledger()
            .call_began(&id, limiter, last_came(from.get_ref()));
        std::thread::sleep(Duration::from_millis(shared.draw(1..12)));
        let end = |effect| shared.ledger().call_ended(&id, call, effect);
        if shared.faults.hang.load(Ordering::SeqCst) {
            wait_for_end(&mut from);
            return end(Effect::MayHaveRun);
        }
        let [delivered, full, error, _closed] = shared.answers;
        let written = match shared.draw(0..100) as u32 {
            n if n < delivered => {
                let cut =
                    shared.faults.cut_answers.load(Ordering::SeqCst) && shared.draw(0..4) == 0;
                if cut {
                    // Not the complete status line: whether it was delivered cannot be known.
                    to.write_all(b"HTTP/1.1 20").ok();
                    return end(Effect::MayHaveRun);
                }
                end(Effect::Delivered);
                to.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            }
            n if n < delivered + full => {
                let wait_ms = shared.draw(50..400);
                shared
                    .ledger()
                    .told_to_wait(limiter, Duration::from_millis(wait_ms));
                end(Effect::NeverRan);
                let seconds = wait_ms as f64 / 1000.0;
                write!(
                    to,
                    "HTTP/1.1 429 Full\r\nRetry-After: {seconds:.3}\r\nContent-Length: 0\r\n\r\n"
                )
            }
            n if n < delivered + full + error => {
                end(Effect::MayHaveRun);
                to.write_all(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")
            }
            _ => return end(Effect::MayHaveRun),
        };
        if written.is_err() {
            return;
        }
    }
}

/// One connection to the platform: discovery's watch, or notices.
fn serve_platform(stream: TcpStream, shared: &Shared) {
    let Ok(mut to) = stream.try_clone() else {
        return;
    };
    let mut from = BufReader::new(stream);
    while let Some((head, body)) = request(&mut from) {
        if head[0].starts_with("GET ") {
            if shared.faults.discovery_silent.load(Ordering::SeqCst) {
                return wait_for_end(&mut from);
            }
            to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                .ok();
            while !shared.faults.discovery_silent.load(Ordering::SeqCst)
                && to.write_all(b"1\r\n\n\r\n").is_ok()
                && !shared.stop.load(Ordering::SeqCst)
            {
                std::thread::sleep(Duration::from_millis(500));
            }
            return wait_for_end(&mut from);
        }
        let lines = String::from_utf8(body).unwrap();
        for line in lines.lines() {
            let notice: Value = serde_json::from_str(line).unwrap();
            shared.ledger().noticed(notice["ref"].as_str().unwrap());
        }
        if to.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
            return;
        }
    }
}

/// Sleeps again and again, and notes for how long the machine held it up.
fn watch_machine(shared: &Shared) {
    while !shared.stop.load(Ordering::SeqCst) {
        let began = Instant::now();
        std::thread::sleep(BEAT);
        let late = began.elapsed().saturating_sub(BEAT);
        if late > NO_STALL {
            shared.ledger().stalled(late);
        }
    }
}

/// What became of one request on one connection.
enum Asked {
    Answered(String),
    Closed,
    Silent,
}

fn ask(client: &mut Client, bytes: &[u8]) -> Asked {
    use std::io::BufRead;
    client.to.set_read_timeout(Some(ANSWER_WITHIN)).ok();
    if client.to.write_all(bytes).is_err() {
        return Asked::Closed;
    }
    let mut line = String::new();
    match client.from.read_line(&mut line) {
        Ok(0) => Asked::Closed,
        Ok(_) if line.ends_with('\n') => Asked::Answered(line.trim_end().to_string()),
        Ok(_) => Asked::Closed,
        Err(e)
            if matches!(
                e.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ) =>
        {
            Asked::Silent
        }
        Err(_) => Asked::Closed,
    }
}

/// A client that hands in message after message on a connection that it keeps.
struct Sender {
    listen: String,
    scenario: Scenario,
    shared: Arc<Shared>,
    random: Pcg64,
    kept: Option<Client>,
}

impl Sender {
    fn run(mut self) {
        while !self.shared.stop.load(Ordering::SeqCst) {
            if self.shared.faults.stop_half_way.load(Ordering::SeqCst)
                && self.random.random_range(0..20) == 0
            {
                self.stop_half_way();
            }
            self.hand_in();
            let pause = self.scenario.pause.as_millis() as u64;
            std::thread::sleep(Duration::from_millis(
                self.random.random_range(pause / 2..pause * 3 / 2 + 1),
            ));
        }
    }

    /// A connection of its own on which half a request is sent, and which stays open until it gets an error or is closed.
    fn stop_half_way(&self) {
        let Ok(mut client) = connect(&self.listen) else {
            return;
        };
        client
            .to
            .write_all(b"*5\r\n$7\r\nMSG.PUT\r\n$16\r\n00000000")
            .ok();
        let shared = Arc::clone(&self.shared);
        std::thread::spawn(move || {
            let began = Instant::now();
            client.to.set_read_timeout(Some(2 * BAD_CLIENT_OWED)).ok();
            let _read = client.from.read(&mut [0; 64]);
            shared.ledger().bad_client_ended(began, BAD_CLIENT_OWED);
        });
    }

    fn hand_in(&mut self) {
        let id = fresh();
        let tagged = self.random.random_range(0..2) == 0;
        let lifetime = self.random.random_range(self.scenario.lifetimes_ms.clone());
        let class = match tagged {
            true => Class {
                name: "notice",
                window: Some(self.scenario.window),
            },
            false => Class {
                name: "payment",
                window: None,
            },
        };
        let destination = self.random.random_range(7..9);
        let fields = format!("c={},d={lifetime},k=k{id},dest={destination}", class.name);
        let bytes = put(&id, &fields, "a message");
        self.shared
            .ledger()
            .handed_in(&id, class, Duration::from_millis(lifetime));
        let resting = self.kept.is_some();
        let mut asked = self.ask(&bytes);
        if resting && matches!(asked, Asked::Closed) {
            // Its end crossed the request: once more on a new connection.
            asked = self.ask(&bytes);
        }
        // In a crowd new connections may be shut unread.
        if matches!(asked, Asked::Closed) && self.scenario.idle_clients == 0 {
            self.shared.ledger().closed_unanswered(&id);
        }
        match asked {
            Asked::Answered(answer) if answer == "+OK" => {
                self.shared.ledger().heard(&id, Heard::Accepted)
            }
            Asked::Answered(answer) if answer.starts_with("-BUSY") => {
                self.shared.ledger().heard(&id, Heard::Refused);
            }
            Asked::Answered(answer) => panic!("{id}: {answer}"),
            Asked::Closed | Asked::Silent => {}
        }
    }

    fn ask(&mut self, bytes: &[u8]) -> Asked {
        let Ok(mut client) = self.kept.take().map_or_else(|| connect(&self.listen), Ok) else {
            return Asked::Silent;
        };
        let asked = ask(&mut client, bytes);
        if matches!(asked, Asked::Answered(_)) {
            self.kept = Some(client);
        }
        asked
    }
}

static WORLDS: AtomicU64 = AtomicU64::new(0);

impl World {
    /// Starts a dispatcher and its world, and has clients begin.
    pub(crate) fn start(scenario: Scenario) -> World {
        let shared = Arc::new(Shared {
            ledger: Mutex::default(),
            faults: FaultSwitches::default(),
            answers: scenario.answers,
            stop: AtomicBool::new(false),
            random: Mutex::new(Pcg64::seed_from_u64(scenario.seed ^ 1)),
        });
        let mut rig = Rig::new(&[]);
        let endpoint = |limiter: usize| {
            let shared = Arc::clone(&shared);
            stand_in(move |stream| serve_calls(stream, limiter, &shared))
        };
        let list = [
            ("e0", 7, 0, "shops"),
            ("e1", 7, 0, "shops"),
            ("e2", 8, 1, "banks"),
        ];
        let servers = list.map(|(id, cell, limiter, kind)| {
            json!({"id": id, "addr": endpoint(limiter), "zone": "north", "kind": kind, "cell": cell,
                "state": "up"})
        });
        rig.json["known"]["servers"] = json!(servers);
        let platform = Arc::clone(&shared);
        rig.json["discovery"] = stand_in(move |stream| serve_platform(stream, &platform)).into();
        rig.json["settings"]["limits"]["max-open"] = json!(400);
        rig.json["settings"]["family-info"]["workers"] = json!(32);
        rig.json["settings"]["services"][0]["window-ns"] = json!(scenario.window.as_nanos() as u64);
        let faults = Faults::new(&rig.folder, scenario.seed);
        let n = WORLDS.fetch_add(1, Ordering::SeqCst);
        let random = Pcg64::seed_from_u64(scenario.seed.wrapping_add(n << 32));
        let mut world = World {
            rig,
            faults,
            scenario,
            shared,
            clients: vec![],
            idle: vec![],
            disturbances: vec![],
            random,
        };
        world.start_process();
        world.start_clients();
        world
    }

    fn start_clients(&mut self) {
        let shared = Arc::clone(&self.shared);
        self.clients
            .push(std::thread::spawn(move || watch_machine(&shared)));
        for n in 0..CLIENTS {
            let sender = Sender {
                listen: self.rig.listen.clone(),
                scenario: self.scenario.clone(),
                shared: Arc::clone(&self.shared),
                random: Pcg64::seed_from_u64(self.scenario.seed * 1_000 + n),
                kept: None,
            };
            self.clients.push(std::thread::spawn(move || sender.run()));
        }
        for _ in 0..self.scenario.idle_clients {
            self.idle.extend(TcpStream::connect(&self.rig.listen).ok());
        }
    }

    fn start_process(&mut self) {
        let mut command = self.rig.command_with(&self.faults);
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_path())
            .unwrap();
        command.arg("--log").arg("debug").stderr(log);
        self.rig.start_by(command);
    }

    fn log_path(&self) -> std::path::PathBuf {
        self.rig.folder.join("log")
    }

    /// What the dispatcher logged of the messages that a breach names, so that each breach comes with its trace.
    fn trace(&self, broken: &[String]) -> Vec<String> {
        let log = std::fs::read(self.log_path()).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        let ids: Vec<&str> = broken
            .iter()
            .filter_map(|what| what.split(':').next())
            .take(TRACED_MOST)
            .collect();
        let of_ids = log
            .lines()
            .filter(|line| ids.iter().any(|id| line.contains(id)));
        of_ids.map(|line| format!("  log: {line}")).collect()
    }

    pub(crate) fn faults(&self) -> &FaultSwitches {
        &self.shared.faults
    }

    /// Plays on for a while. The dispatcher may not end by itself.
    pub(crate) fn play(&mut self, time: Duration) {
        std::thread::sleep(time);
        if let Some(child) = &mut self.rig.child {
            assert_eq!(
                child.try_wait().unwrap(),
                None,
                "the dispatcher ended by itself"
            );
        }
    }

    /// A time between these, by the scenario's seed.
    pub(crate) fn draw_ms(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    /// A restart by SIGKILL alone; what happens while the process is down comes between.
    pub(crate) fn kill_and_restart(&mut self, between: impl FnOnce(&World)) {
        self.shared.ledger().restart_began();
        self.rig.kill();
        self.come_back(between);
    }

    /// The process has ended, by whatever; the next one is started.
    pub(crate) fn come_back(&mut self, between: impl FnOnce(&World)) {
        std::thread::sleep(DOWN_FOR);
        between(self);
        self.shared.ledger().started_again();
        self.start_process();
        self.shared.ledger().restart_ended();
    }

    /// Holds the process up.
    pub(crate) fn stand_still(&self, time: Duration) {
        self.rig.signal(Signal::STOP);
        std::thread::sleep(time);
        self.rig.signal(Signal::CONT);
    }

    /// A planned restart: signals in series, and the kill at the earliest moment.
    pub(crate) fn end_and_restart(&mut self, signals: &[(Signal, Duration)]) {
        self.shared.ledger().restart_began();
        self.rig.signal(Signal::TERM);
        let began = Instant::now();
        for (signal, after) in signals {
            std::thread::sleep(*after);
            if self
                .rig
                .child
                .as_mut()
                .unwrap()
                .try_wait()
                .unwrap()
                .is_none()
            {
                self.rig.signal(*signal);
            }
        }
        self.disturb_for(KILL_AFTER_TERM.saturating_sub(began.elapsed()));
        self.rig.kill();
        self.come_back(|_| {});
    }

    fn is_disturbed_by(&self, fault: Fault) -> bool {
        self.disturbances.contains(&fault)
    }

    /// Plays on for a while, with the disturbances that come and go.
    pub(crate) fn disturb_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let pause = self.draw_ms(60..400).min(left);
            std::thread::sleep(pause);
            if left.is_zero() {
                return;
            }
            self.disturb_once();
        }
    }

    fn disturb_once(&mut self) {
        let runs = self
            .rig
            .child
            .as_mut()
            .is_some_and(|child| child.try_wait().unwrap().is_none());
        for fault in self.disturbances.clone() {
            let drawn: u64 = self.random.random_range(0..6);
            match fault {
                Fault::WallSteps => {
                    let steps = [3_600, -3_600, 5, -5, 0, 0];
                    self.faults.step_wall_clock(steps[drawn as usize]);
                }
                Fault::FailingWrites if drawn < 2 => {
                    self.faults
                        .fail_writes(if drawn == 0 { ENOSPC } else { EIO }, drawn == 1);
                    let failing = self.draw_ms(50..500);
                    std::thread::sleep(failing);
                    self.faults.heal_folder();
                }
                Fault::Standstill if drawn == 0 && runs => self.stand_still(STANDSTILL),
                Fault::Hang => self.faults().hang.store(drawn < 2, Ordering::SeqCst),
                Fault::DiscoverySilent => {
                    self.faults()
                        .discovery_silent
                        .store(drawn < 3, Ordering::SeqCst);
                }
                _ => {}
            }
        }
    }

    /// From now on, or as set up already, these faults are there.
    pub(crate) fn disturb_by(&mut self, faults: &[Fault]) {
        self.disturbances = faults.to_vec();
        for fault in faults {
            match fault {
                Fault::SocketErrors => {
                    self.faults.ask(words::SOCKET_PERMILLE, 50);
                    self.faults.ask(words::SHORT_PERMILLE, 50);
                }
                Fault::CutAnswers => self.faults().cut_answers.store(true, Ordering::SeqCst),
                Fault::CloseIdle => self.faults().close_idle.store(true, Ordering::SeqCst),
                Fault::StopHalfWay => self.faults().stop_half_way.store(true, Ordering::SeqCst),
                _ => {}
            }
        }
    }

    /// All faults end, so that pending notifications can be sent.
    fn calm(&mut self) {
        self.disturbances.clear();
        let faults = self.faults();
        for flag in [
            &faults.hang,
            &faults.close_idle,
            &faults.cut_answers,
            &faults.discovery_silent,
            &faults.stop_half_way,
        ] {
            flag.store(false, Ordering::SeqCst);
        }
        self.faults.heal_folder();
        self.faults.ask(words::SOCKET_PERMILLE, 0);
        self.faults.ask(words::SHORT_PERMILLE, 0);
    }

    /// A restart by SIGKILL, in the middle of a write where that is one of the faults.
    pub(crate) fn kill_while_disturbed(&mut self) {
        if self.is_disturbed_by(Fault::HalfWriteAtKill) {
            let nth = self.random.random_range(1..40);
            self.shared.ledger().restart_began();
            self.faults.ask(words::KILL_AT_WRITE, nth);
            return self.await_kill_and_restart();
        }
        self.kill_and_restart(|_| {});
    }

    /// Waits for a process that is killed in the middle of a write.
    fn await_kill_and_restart(&mut self) {
        let mut child = self.rig.child.take().unwrap();
        let until = Instant::now() + Duration::from_secs(20);
        while child.try_wait().unwrap().is_none() {
            assert!(Instant::now() < until, "nothing was written");
            std::thread::sleep(Duration::from_millis(1));
        }
        self.come_back(|_| {});
    }

    /// Clients stop; everything accepted is given the time to end; the verdict.
    pub(crate) fn finish(mut self) -> Verdict {
        self.calm();
        self.shared.stop.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            client.join().unwrap();
        }
        let longest =
            Duration::from_millis(self.scenario.lifetimes_ms.end) + Duration::from_secs(3);
        let until = Instant::now() + longest;
        while Instant::now() < until && !self.shared.ledger().all_ended() {
            std::thread::sleep(Duration::from_millis(20));
        }
        // Calls after the end would come now.
        self.play(Duration::from_millis(700));
        self.rig.kill();
        std::thread::sleep(Duration::from_millis(100));
        let verdict = self.shared.ledger().verdict();
        self.trace(&verdict.broken)
            .iter()
            .for_each(|line| println!("{line}"));
        verdict
    }
}

/// Fails with what was broken.
pub(crate) fn assert_kept(verdict: &Verdict) {
    println!("{verdict}");
    let first: Vec<_> = verdict.broken.iter().take(12).collect();
    assert!(
        verdict.broken.is_empty(),
        "{} broken, the first: {first:#?}",
        verdict.broken.len()
    );
}
