//! The world in virtual time: it drives the decisions directly, with no sockets and no sleeping. Each dispatcher of the
//! simulation stands for what the daemon is around the decisions: pending messages, idle connections, time-outs, and the
//! journal that outlasts a kill. Equal plans give equal runs, byte for byte.

mod actions;
mod attempts;
mod clients;
mod connections;
mod dispatcher;
mod effects;
mod lifecycle;
mod simulation;

use crate::audit::Verdict;
use crate::load::Arrivals;
use crate::measure::Results;
use crate::world::ReturnLoad;
use crate::world::plan::Plan;
use crate::world::time::{S, START};
use bellsill_core::interface::Nanos;
use simulation::Simulation;

/// How much virtual time passes between two reports of progress.
const PROGRESS_INTERVAL: Nanos = S / 4;

/// What a run in virtual time came to.
pub struct RunOutcome {
    /// What the auditor found.
    pub verdict: Verdict,
    /// What was measured.
    pub results: Results,
    /// The load on endpoints that had returned cold.
    pub returns: Vec<ReturnLoad>,
    /// Calls on the decisions, all dispatchers together.
    pub steps: u64,
}

/// Runs a plan to its end. `progress` is given the fraction that is done, from 0 to 1.
pub fn run(plan: Plan, progress: &mut dyn FnMut(f64)) -> RunOutcome {
    let mut arrivals = Arrivals::new(&plan).peekable();
    let run_ends_at = plan.run_ends_at;
    let mut simulation = Simulation::new(plan);
    let mut reported_at = START;
    loop {
        let own = simulation.next_event();
        let next_arrival = arrivals.peek().map(|a| a.at);
        let next = [own, simulation.world.next_timer(), next_arrival]
            .into_iter()
            .flatten()
            .min();
        let Some(at) = next.filter(|at| *at <= run_ends_at) else {
            break;
        };
        simulation.now = at;
        if at > reported_at + PROGRESS_INTERVAL {
            reported_at = at;
            progress((at - START) as f64 / (run_ends_at - START) as f64);
        }
        simulation.world.advance(at);
        simulation.settle();
        if own == Some(at) {
            simulation.run_next_event();
        } else if next_arrival == Some(at)
            && let Some(arrival) = arrivals.next()
        {
            simulation.ledger.arrived(&arrival);
            let dispatcher = arrival.dispatcher;
            simulation.submit(arrival, 0, dispatcher);
        }
        simulation.settle();
    }
    let (verdict, results) = simulation.ledger.finish(run_ends_at);
    RunOutcome {
        verdict,
        results,
        returns: simulation.world.returns,
        steps: simulation.steps,
    }
}
