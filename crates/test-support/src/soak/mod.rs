//! A soak run of a dispatcher process with clients, endpoints that respond at random, the platform, and injected
//! faults. A [`Ledger`](crate::ledger) checks the guarantees.

mod endpoints;
mod fleet;
mod members;
mod scenario;
mod seeds;
mod sender;
mod servers;
mod upgrades;

pub use endpoints::SharedEndpoints;
pub use fleet::{FleetVerdict, MemberVerdict, draw_signals, run_fleet};
pub use scenario::{Fault, FaultSwitches, Scenario};
pub use seeds::{run_in_parallel, seeds};
pub use upgrades::{ProcessEnd, Survivor};

use crate::dispatcher_process::{DispatcherProcess, Program};
use crate::faults::{EIO, ENOSPC, Faults, words};
use crate::ledger::Verdict;
use crate::stand_in::stand_in;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use sender::Sender;
use serde_json::json;
use servers::{Shared, measure_machine_stalls, serve_platform};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The time between the exit of a process and the next start.
const DOWNTIME: Duration = Duration::from_millis(600);
/// The shortest time from SIGTERM to SIGKILL in a planned restart.
const KILL_AFTER_TERM: Duration = Duration::from_millis(3_700);
/// The maximum number of violations whose log lines are printed.
const MAX_TRACED_VIOLATIONS: usize = 20;
/// How long the dispatcher is suspended at a time: the delay of the process that the guarantees allow for.
const PAUSE_TIME: Duration = Duration::from_millis(150);

/// The configuration has decimal megabytes.
const BYTES_PER_MB: f64 = 1e6;

/// A dispatcher process with its clients, endpoints, platform and faults.
pub struct SoakRun {
    /// The dispatcher process.
    pub process: DispatcherProcess,
    /// The faults of the dispatcher's system calls.
    pub faults: Faults,
    scenario: Scenario,
    shared: Arc<Shared>,
    clients: Vec<JoinHandle<()>>,
    idle_connections: Vec<TcpStream>,
    enabled_faults: Vec<Fault>,
    member: u32,
    /// Whether the process was asked to end.
    is_stopping: bool,
    /// The number of upgrades so far.
    upgrades: u16,
    /// The random choices of the test itself, seeded by the scenario.
    pub random: Pcg64,
}

/// The number of runs started in this process, so that runs with the same seed make different choices.
static RUNS: AtomicU64 = AtomicU64::new(0);

impl SoakRun {
    /// Starts the dispatcher, the endpoints, the platform and the clients.
    pub fn start(program: Program, scenario: Scenario) -> SoakRun {
        SoakRun::start_with(program, scenario, &SharedEndpoints::start())
    }

    /// Starts the dispatcher, its platform and its clients, with endpoints that it shares with other dispatchers.
    pub fn start_with(
        program: Program,
        scenario: Scenario,
        endpoints: &SharedEndpoints,
    ) -> SoakRun {
        let shared = Arc::new(Shared {
            ledger: Mutex::default(),
            faults: FaultSwitches::default(),
            response_shares: scenario.response_shares,
            stop: AtomicBool::new(false),
            random: Mutex::new(Pcg64::seed_from_u64(scenario.seed ^ 1)),
        });
        let mut process = DispatcherProcess::new(program, &[]);
        process.config["known"]["servers"] = json!(endpoints.entries);
        let platform = Arc::clone(&shared);
        process.config["discovery"] =
            stand_in(move |stream| serve_platform(stream, &platform)).into();
        process.config["settings"]["limits"]["max-open"] = json!(400);
        process.config["settings"]["family-info"]["workers"] = json!(32);
        process.config["settings"]["services"][0]["window-ns"] =
            json!(scenario.window.as_nanos() as u64);
        if let Some(bytes) = scenario.disk_bytes {
            process.config["limits"]["disk_mb"] = json!(bytes as f64 / BYTES_PER_MB);
        }
        let faults = Faults::new(&process.dir, scenario.seed);
        let n = RUNS.fetch_add(1, Ordering::SeqCst);
        let random = Pcg64::seed_from_u64(scenario.seed.wrapping_add(n << 32));
        let mut run = SoakRun {
            process,
            faults,
            scenario,
            shared: Arc::clone(&shared),
            clients: vec![],
            idle_connections: vec![],
            enabled_faults: vec![],
            member: endpoints.members.add(Arc::clone(&shared)),
            is_stopping: false,
            upgrades: 0,
            random,
        };
        run.start_process();
        run.start_clients();
        run
    }

    fn start_clients(&mut self) {
        let shared = Arc::clone(&self.shared);
        self.clients
            .push(std::thread::spawn(move || measure_machine_stalls(&shared)));
        for n in 0..self.scenario.clients {
            let sender = Sender {
                listen: self.process.listen.clone(),
                scenario: self.scenario.clone(),
                shared: Arc::clone(&self.shared),
                random: Pcg64::seed_from_u64(self.scenario.seed * 1_000 + n),
                connection: None,
                member: self.member,
            };
            self.clients.push(std::thread::spawn(move || sender.run()));
        }
        for _ in 0..self.scenario.idle_clients {
            self.idle_connections
                .extend(TcpStream::connect(&self.process.listen).ok());
        }
    }

    fn start_process(&mut self) {
        let command = self.logging_command();
        self.process.start_command(command);
    }

    /// Returns the command that starts the dispatcher with fault injection, and appends its log to that of the run.
    fn logging_command(&self) -> std::process::Command {
        let mut command = self.process.command_with_faults(&self.faults);
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_path())
            .unwrap();
        command.arg("--log").arg("debug").stderr(log);
        command
    }

    fn log_path(&self) -> std::path::PathBuf {
        self.process.dir.join("log")
    }

    /// Returns the dispatcher's log lines for the messages with violations, so that each violation is printed with its
    /// trace.
    fn trace(&self, violations: &[String]) -> Vec<String> {
        let log = std::fs::read(self.log_path()).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        let ids: Vec<&str> = violations
            .iter()
            .filter_map(|violation| violation.split(':').next())
            .take(MAX_TRACED_VIOLATIONS)
            .collect();
        let matching = log
            .lines()
            .filter(|line| ids.iter().any(|id| line.contains(id)));
        matching.map(|line| format!("  log: {line}")).collect()
    }

    /// Returns the log lines in which the dispatcher reports that it violated one of its own rules.
    fn reported_violations(&self) -> Vec<String> {
        let log = std::fs::read(self.log_path()).unwrap_or_default();
        String::from_utf8_lossy(&log)
            .lines()
            .filter(|line| line.contains("rule violated"))
            .map(str::to_string)
            .collect()
    }

    /// The switches for faults of the endpoints, the platform and the clients.
    pub fn switches(&self) -> &FaultSwitches {
        &self.shared.faults
    }

    /// Continues for this time, then fails if the dispatcher has exited by itself.
    pub fn run_for(&mut self, time: Duration) {
        std::thread::sleep(time);
        if let Some(child) = &mut self.process.child {
            assert_eq!(
                child.try_wait().unwrap(),
                None,
                "the dispatcher exited by itself"
            );
        }
    }

    /// Draws a duration from a range of milliseconds.
    pub fn random_duration_ms(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    /// Restarts the process by SIGKILL, and calls `between` while it is down.
    pub fn kill_and_restart(&mut self, between: impl FnOnce(&SoakRun)) {
        self.shared.ledger().restart_started();
        self.shared.ledger().process_killed();
        self.process.kill();
        self.restart_after_exit(between);
    }

    /// Starts the next process after the previous one has exited, and calls `between` first.
    pub fn restart_after_exit(&mut self, between: impl FnOnce(&SoakRun)) {
        std::thread::sleep(DOWNTIME);
        between(self);
        self.is_stopping = false;
        self.restore_directory_soon();
        self.shared.ledger().process_started();
        self.start_process();
        self.shared.ledger().restart_ended();
    }

    /// Suspends the process for this time by SIGSTOP.
    pub fn pause_process(&self, time: Duration) {
        self.process.signal(Signal::STOP);
        std::thread::sleep(time);
        self.process.signal(Signal::CONT);
    }

    /// Performs a planned restart: SIGTERM, the given signals with their delays, and SIGKILL at the earliest time
    /// allowed.
    pub fn stop_and_restart(&mut self, signals: &[(Signal, Duration)]) {
        self.shared.ledger().restart_started();
        self.is_stopping = true;
        self.process.signal(Signal::TERM);
        let started_at = Instant::now();
        for (signal, delay) in signals {
            std::thread::sleep(*delay);
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
        self.run_under_faults(KILL_AFTER_TERM.saturating_sub(started_at.elapsed()));
        self.shared.ledger().process_killed();
        self.process.kill();
        self.restart_after_exit(|_| {});
    }

    fn is_enabled(&self, fault: Fault) -> bool {
        self.enabled_faults.contains(&fault)
    }

    /// Continues for this time, and switches the enabled intermittent faults on and off at random.
    pub fn run_under_faults(&mut self, time: Duration) {
        let until = Instant::now() + time;
        loop {
            let remaining = until.saturating_duration_since(Instant::now());
            let pause = self.random_duration_ms(60..400).min(remaining);
            std::thread::sleep(pause);
            if remaining.is_zero() {
                return;
            }
            self.check_running();
            self.switch_intermittent_faults();
        }
    }

    /// Records a violation if the process has exited without having been asked to.
    fn check_running(&mut self) {
        let status = self
            .process
            .child
            .as_mut()
            .map(|child| child.try_wait().unwrap());
        if let Some(Some(status)) = status
            && !self.is_stopping
        {
            let description = format!("the dispatcher exited by itself: {status}");
            self.shared.ledger().violated(description);
            self.is_stopping = true;
        }
    }

    /// Ends the faults of the state directory a moment after the next process has started.
    fn restore_directory_soon(&mut self) {
        if self.is_enabled(Fault::FailingDirectory) {
            let faults = self.faults.clone_handle();
            let delay = self.random_duration_ms(0..800);
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                faults.restore_state_directory();
            });
        }
    }

    fn switch_intermittent_faults(&mut self) {
        let is_running = self
            .process
            .child
            .as_mut()
            .is_some_and(|child| child.try_wait().unwrap().is_none());
        for fault in self.enabled_faults.clone() {
            let draw: u64 = self.random.random_range(0..6);
            match fault {
                Fault::WallClockSteps => {
                    let steps = [3_600, -3_600, 5, -5, 0, 0];
                    self.faults.step_wall_clock(steps[draw as usize]);
                }
                Fault::FailingWrites if draw < 2 => {
                    self.faults
                        .fail_writes(if draw == 0 { ENOSPC } else { EIO }, draw == 1);
                    let failing_time = self.random_duration_ms(50..500);
                    std::thread::sleep(failing_time);
                    self.faults.restore_state_directory();
                }
                Fault::ProcessPause if draw == 0 && is_running => self.pause_process(PAUSE_TIME),
                Fault::TransientCalls => {
                    let permille = [40, 15, 0, 0, 0, 0][draw as usize];
                    self.faults.set(words::TRANSIENT_PERMILLE, permille);
                }
                Fault::FailingDirectory => match draw {
                    0 => self.faults.fail_state_directory(EIO),
                    1 => self.faults.fail_state_directory(ENOSPC),
                    _ => self.faults.restore_state_directory(),
                },
                Fault::Hang => self.switches().hang.store(draw < 2, Ordering::SeqCst),
                Fault::DiscoverySilent => {
                    self.switches()
                        .discovery_silent
                        .store(draw < 3, Ordering::SeqCst);
                }
                _ => {}
            }
        }
    }

    /// Enables these faults. Those that are part of the scenario are in effect from the start.
    pub fn enable_faults(&mut self, faults: &[Fault]) {
        self.enabled_faults = faults.to_vec();
        for fault in faults {
            match fault {
                Fault::SocketErrors => {
                    self.faults.set(words::SOCKET_PERMILLE, 50);
                    self.faults.set(words::SHORT_PERMILLE, 50);
                }
                Fault::TruncatedResponses => self
                    .switches()
                    .truncate_responses
                    .store(true, Ordering::SeqCst),
                Fault::CloseIdle => self.switches().close_idle.store(true, Ordering::SeqCst),
                Fault::PartialRequests => self
                    .switches()
                    .send_partial_requests
                    .store(true, Ordering::SeqCst),
                _ => {}
            }
        }
    }

    /// Ends all faults, so that pending notifications can be sent.
    fn end_faults(&mut self) {
        self.enabled_faults.clear();
        let faults = self.switches();
        for flag in [
            &faults.hang,
            &faults.hang_one_destination,
            &faults.close_idle,
            &faults.truncate_responses,
            &faults.discovery_silent,
            &faults.send_partial_requests,
        ] {
            flag.store(false, Ordering::SeqCst);
        }
        self.faults.restore_state_directory();
        self.faults.set(words::SOCKET_PERMILLE, 0);
        self.faults.set(words::SHORT_PERMILLE, 0);
        self.faults.set(words::TRANSIENT_PERMILLE, 0);
    }

    /// Restarts the process by SIGKILL, in the middle of a write if that fault is enabled.
    pub fn kill_and_restart_under_faults(&mut self) {
        if self.is_enabled(Fault::KillDuringWrite) {
            // While a torn tail cannot be removed, nothing is written and no write kills the process.
            self.faults.restore_state_directory();
            let nth = self.random.random_range(1..40);
            self.shared.ledger().restart_started();
            self.shared.ledger().process_killed();
            self.faults.set(words::KILL_AT_WRITE, nth);
            return self.await_kill_and_restart();
        }
        self.kill_and_restart(|_| {});
    }

    /// Waits until the process is killed in the middle of a write, then starts the next one.
    fn await_kill_and_restart(&mut self) {
        let mut child = self.process.child.take().unwrap();
        let until = Instant::now() + Duration::from_secs(20);
        while child.try_wait().unwrap().is_none() {
            assert!(
                Instant::now() < until,
                "the process was not killed during a write within 20 s"
            );
            std::thread::sleep(Duration::from_millis(1));
        }
        self.restart_after_exit(|_| {});
    }

    /// Stops the clients, waits until every accepted message has ended or is overdue, and checks the guarantees.
    pub fn finish(mut self) -> Verdict {
        self.end_faults();
        self.shared.stop.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            client.join().unwrap();
        }
        let longest_wait =
            Duration::from_millis(self.scenario.lifetimes_ms.end) + Duration::from_secs(3);
        let until = Instant::now() + longest_wait;
        while Instant::now() < until && !self.shared.ledger().all_ended() {
            std::thread::sleep(Duration::from_millis(20));
        }
        // Leaves time for wrong calls after the end of a message to be recorded.
        std::thread::sleep(Duration::from_millis(700));
        self.check_running();
        self.process.kill();
        std::thread::sleep(Duration::from_millis(100));
        let mut verdict = self.shared.ledger().verdict();
        verdict.violations.extend(self.reported_violations());
        self.trace(&verdict.violations)
            .iter()
            .for_each(|line| println!("{line}"));
        verdict
    }
}

/// Fails with the first violations, if there are any.
pub fn assert_no_violations(verdict: &Verdict) {
    println!("{verdict}");
    let first: Vec<_> = verdict.violations.iter().take(12).collect();
    assert!(
        verdict.violations.is_empty(),
        "{} violations, the first: {first:#?}",
        verdict.violations.len()
    );
}
