//! Simulation in virtual time: calls the decision logic directly, without sockets or sleeping. Each simulated dispatcher models
//! the rest of the daemon: pending messages, idle connections, time-outs, and the journal that survives a kill. Runs are
//! deterministic: equal plans give byte-identical results.

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

/// The virtual time between two progress reports.
const PROGRESS_INTERVAL: Nanos = S / 4;

/// The outcome of a run in virtual time.
pub struct RunOutcome {
    /// The auditor's verdict.
    pub verdict: Verdict,
    /// The measurements.
    pub results: Results,
    /// Samples of the load on endpoints in slow start.
    pub returns: Vec<ReturnLoad>,
    /// The number of calls to the decision logic, over all dispatchers.
    pub steps: u64,
}

/// Runs a plan to its end. `progress` receives the completed fraction, from 0 to 1.
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
