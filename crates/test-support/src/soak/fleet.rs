//! A soak run of a fleet: dispatcher processes that share their endpoints, each with faults that overlap in time and with
//! crashes and planned restarts.

use super::{Fault, Scenario, SharedEndpoints, SoakRun};
use crate::dispatcher_process::Program;
use crate::ledger::Verdict;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use std::fmt;
use std::time::Duration;

/// The number of clients of each dispatcher.
const CLIENTS: u64 = 5;
/// The mean time between two messages of a client.
const CLIENT_PAUSE: Duration = Duration::from_millis(150);
/// The number of connections that are opened and never used, in runs with the fault [`Fault::ConnectionLimit`].
const CROWD: usize = 120;

/// The result of one dispatcher of a fleet.
pub struct MemberVerdict {
    /// The faults of this dispatcher.
    pub faults: Vec<Fault>,
    /// What the ledger has recorded.
    pub verdict: Verdict,
}

/// The results of a fleet.
pub struct FleetVerdict {
    /// The result of each dispatcher.
    pub members: Vec<MemberVerdict>,
    /// The ids of calls that carried no message of any dispatcher.
    pub strays: Vec<String>,
    /// The number of dispatchers whose run was aborted, such as by a process that did not become ready.
    pub aborted_runs: usize,
}

impl FleetVerdict {
    /// Describes each violated guarantee.
    pub fn violations(&self) -> Vec<String> {
        let of_members = self.members.iter().flat_map(|member| {
            let describe = |violation: &String| format!("{:?}: {violation}", member.faults);
            member.verdict.violations.iter().map(describe)
        });
        let strays = self.strays.iter();
        let aborted = (0..self.aborted_runs).map(|_| "a run was aborted, see above".to_string());
        of_members
            .chain(strays.map(|id| format!("{id}: called, but never submitted")))
            .chain(aborted)
            .collect()
    }
}

impl fmt::Display for FleetVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sum = |count: fn(&Verdict) -> usize| -> usize {
            self.members.iter().map(|m| count(&m.verdict)).sum()
        };
        let stall = self.members.iter().map(|m| m.verdict.longest_stall).max();
        write!(
            f,
            "{} dispatchers, accepted {}, refused {}, delivered {}, notified {}, machine stalled {} ms, violations {}",
            self.members.len(),
            sum(|v| v.accepted),
            sum(|v| v.refused),
            sum(|v| v.delivered),
            sum(|v| v.notified),
            stall.unwrap_or_default().as_millis(),
            self.violations().len()
        )
    }
}

/// Runs a fleet of this many dispatchers. The seed determines the faults and all random choices, but not the timing of
/// threads and sockets.
pub fn run_fleet(program: Program, seed: u64, dispatchers: u64) -> FleetVerdict {
    let endpoints = SharedEndpoints::start();
    let results: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..dispatchers)
            .map(|n| {
                let endpoints = &endpoints;
                let seed = seed * 1_000 + n;
                scope.spawn(move || run_member(program, seed, endpoints))
            })
            .collect();
        threads.into_iter().map(|thread| thread.join()).collect()
    });
    let members: Vec<MemberVerdict> = results.into_iter().flatten().collect();
    FleetVerdict {
        aborted_runs: dispatchers as usize - members.len(),
        members,
        strays: endpoints.members.strays(),
    }
}

fn run_member(program: Program, seed: u64, endpoints: &SharedEndpoints) -> MemberVerdict {
    let mut random = Pcg64::seed_from_u64(seed);
    let faults = draw_faults(&mut random);
    let mut scenario = Scenario::with_faults(seed, &faults);
    scenario.clients = CLIENTS;
    scenario.pause = CLIENT_PAUSE;
    scenario.idle_clients = scenario.idle_clients.min(CROWD);
    let mut run = SoakRun::start_with(program, scenario, endpoints);
    run.enable_faults(&faults);
    run.run_under_faults(draw_ms(&mut random, 300..1_500));
    for _ in 0..2 {
        match random.random_range(0..3) {
            0 => run.kill_and_restart_under_faults(),
            _ => run.stop_and_restart(&draw_signals(&mut random)),
        }
        run.run_under_faults(draw_ms(&mut random, 300..1_500));
    }
    MemberVerdict {
        faults,
        verdict: run.finish(),
    }
}

fn draw_ms(random: &mut Pcg64, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

/// Draws two to four faults; half of the dispatchers have system calls that fail.
fn draw_faults(random: &mut Pcg64) -> Vec<Fault> {
    let all = Fault::for_fleet();
    let mut faults = Vec::new();
    if random.random_range(0..2) == 0 {
        faults.push(Fault::TransientCalls);
    }
    let count = random.random_range(2..5);
    while faults.len() < count {
        let fault = all[random.random_range(0..all.len())];
        if !faults.contains(&fault) {
            faults.push(fault);
        }
    }
    faults
}

/// Draws the signals that follow the first SIGTERM of a planned restart, each with its delay after the previous one.
pub fn draw_signals(random: &mut Pcg64) -> Vec<(Signal, Duration)> {
    let count = random.random_range(0..4);
    let mut draw = || {
        let signal = match random.random_range(0..2) {
            0 => Signal::TERM,
            _ => Signal::HUP,
        };
        (signal, draw_ms(random, 0..900))
    };
    (0..count).map(|_| draw()).collect()
}
