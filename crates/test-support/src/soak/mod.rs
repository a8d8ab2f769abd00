//! A world that a dispatcher is played against for some seconds: clients that keep their connections, endpoints that
//! answer by chance, the platform, and faults. A [`Ledger`](crate::ledger) judges what came of it.

mod scenario;
mod sender;
mod servers;

pub use scenario::{Fault, FaultSwitches, Scenario};

use crate::dispatcher_process::{DispatcherProcess, Program};
use crate::faults::{EIO, ENOSPC, Faults, words};
use crate::ledger::Verdict;
use crate::stand_in::stand_in;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use sender::Sender;
use serde_json::json;
use servers::{Shared, serve_calls, serve_platform, watch_machine};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CLIENTS: u64 = 16;
/// From the kill to the next start.
const DOWN_FOR: Duration = Duration::from_millis(600);
/// The earliest kill after SIGTERM.
const KILL_AFTER_TERM: Duration = Duration::from_millis(3_700);
/// The log is shown of this many messages whose rules were broken.
const TRACED_MOST: usize = 20;
/// How long a dispatcher may be delayed.
const STANDSTILL: Duration = Duration::from_millis(150);

/// A dispatcher with all that it is played against.
pub struct World {
    /// The dispatcher.
    pub process: DispatcherProcess,
    /// What its system calls do.
    pub faults: Faults,
    scenario: Scenario,
    shared: Arc<Shared>,
    clients: Vec<JoinHandle<()>>,
    idle: Vec<TcpStream>,
    disturbances: Vec<Fault>,
    /// Draws of the test itself, by the scenario's seed.
    pub random: Pcg64,
}

static WORLDS: AtomicU64 = AtomicU64::new(0);

impl World {
    /// Starts a dispatcher and its world, and has clients begin.
    pub fn start(program: Program, scenario: Scenario) -> World {
        let shared = Arc::new(Shared {
            ledger: Mutex::default(),
            faults: FaultSwitches::default(),
            answers: scenario.answers,
            stop: AtomicBool::new(false),
            random: Mutex::new(Pcg64::seed_from_u64(scenario.seed ^ 1)),
        });
        let mut process = DispatcherProcess::new(program, &[]);
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
        process.config["known"]["servers"] = json!(servers);
        let platform = Arc::clone(&shared);
        process.config["discovery"] =
            stand_in(move |stream| serve_platform(stream, &platform)).into();
        process.config["settings"]["limits"]["max-open"] = json!(400);
        process.config["settings"]["family-info"]["workers"] = json!(32);
        process.config["settings"]["services"][0]["window-ns"] =
            json!(scenario.window.as_nanos() as u64);
        let faults = Faults::new(&process.dir, scenario.seed);
        let n = WORLDS.fetch_add(1, Ordering::SeqCst);
        let random = Pcg64::seed_from_u64(scenario.seed.wrapping_add(n << 32));
        let mut world = World {
            process,
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
                listen: self.process.listen.clone(),
                scenario: self.scenario.clone(),
                shared: Arc::clone(&self.shared),
                random: Pcg64::seed_from_u64(self.scenario.seed * 1_000 + n),
                kept: None,
            };
            self.clients.push(std::thread::spawn(move || sender.run()));
        }
        for _ in 0..self.scenario.idle_clients {
            self.idle
                .extend(TcpStream::connect(&self.process.listen).ok());
        }
    }

    fn start_process(&mut self) {
        let mut command = self.process.command_with_faults(&self.faults);
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_path())
            .unwrap();
        command.arg("--log").arg("debug").stderr(log);
        self.process.start_command(command);
    }

    fn log_path(&self) -> std::path::PathBuf {
        self.process.dir.join("log")
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

    /// The switches of what endpoints, platform and clients do.
    pub fn faults(&self) -> &FaultSwitches {
        &self.shared.faults
    }

    /// Plays on for a while. The dispatcher may not end by itself.
    pub fn play(&mut self, time: Duration) {
        std::thread::sleep(time);
        if let Some(child) = &mut self.process.child {
            assert_eq!(
                child.try_wait().unwrap(),
                None,
                "the dispatcher ended by itself"
            );
        }
    }

    /// A time between these, by the scenario's seed.
    pub fn draw_ms(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    /// A restart by SIGKILL alone; what happens while the process is down comes between.
    pub fn kill_and_restart(&mut self, between: impl FnOnce(&World)) {
        self.shared.ledger().restart_began();
        self.process.kill();
        self.come_back(between);
    }

    /// The process has ended, by whatever; the next one is started.
    pub fn come_back(&mut self, between: impl FnOnce(&World)) {
        std::thread::sleep(DOWN_FOR);
        between(self);
        self.shared.ledger().started_again();
        self.start_process();
        self.shared.ledger().restart_ended();
    }

    /// Holds the process up.
    pub fn stand_still(&self, time: Duration) {
        self.process.signal(Signal::STOP);
        std::thread::sleep(time);
        self.process.signal(Signal::CONT);
    }

    /// A planned restart: signals in series, and the kill at the earliest moment.
    pub fn end_and_restart(&mut self, signals: &[(Signal, Duration)]) {
        self.shared.ledger().restart_began();
        self.process.signal(Signal::TERM);
        let began = Instant::now();
        for (signal, after) in signals {
            std::thread::sleep(*after);
            if self
                .process
                .child
                .as_mut()
                .unwrap()
                .try_wait()
                .unwrap()
                .is_none()
            {
                self.process.signal(*signal);
            }
        }
        self.disturb_for(KILL_AFTER_TERM.saturating_sub(began.elapsed()));
        self.process.kill();
        self.come_back(|_| {});
    }

    fn is_disturbed_by(&self, fault: Fault) -> bool {
        self.disturbances.contains(&fault)
    }

    /// Plays on for a while, with the disturbances that come and go.
    pub fn disturb_for(&mut self, time: Duration) {
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
            .process
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
    pub fn disturb_by(&mut self, faults: &[Fault]) {
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
    pub fn kill_while_disturbed(&mut self) {
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
        let mut child = self.process.child.take().unwrap();
        let until = Instant::now() + Duration::from_secs(20);
        while child.try_wait().unwrap().is_none() {
            assert!(Instant::now() < until, "nothing was written");
            std::thread::sleep(Duration::from_millis(1));
        }
        self.come_back(|_| {});
    }

    /// Clients stop; everything accepted is given the time to end; the verdict.
    pub fn finish(mut self) -> Verdict {
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
        self.process.kill();
        std::thread::sleep(Duration::from_millis(100));
        let verdict = self.shared.ledger().verdict();
        self.trace(&verdict.broken)
            .iter()
            .for_each(|line| println!("{line}"));
        verdict
    }
}

/// Fails with what was broken.
pub fn assert_kept(verdict: &Verdict) {
    println!("{verdict}");
    let first: Vec<_> = verdict.broken.iter().take(12).collect();
    assert!(
        verdict.broken.is_empty(),
        "{} broken, the first: {first:#?}",
        verdict.broken.len()
    );
}
