//! Runs an experiment on sockets: simulated endpoints, platform agents and clients around real `bellsill serve` processes,
//! all on loopback addresses and in one thread of this process. The world model is the one used in virtual time; here its
//! input is read from connections and its responses are written to them.

mod clients;
mod config;
mod endpoints;
mod http;
mod net;
mod platform;
mod processes;
mod state;
mod tasks;

use crate::audit::{Slack, Verdict};
use crate::cost::Cost;
use crate::ledger::Ledger;
use crate::load::{Arrival, Arrivals};
use crate::measure::Results;
use crate::world::plan::Plan;
use crate::world::time::{S, START};
use crate::world::{Effect, ReturnLoad, World};
use anyhow::{Context, Result, bail};
use bellsill_core::interface::EndpointId;
use hdrhistogram::Histogram;
pub(crate) use http::{content_length, header};
use net::Net;
use state::{Pool, Shared, State};
use std::cell::RefCell;
use std::collections::HashMap;
use std::path::Path;
use std::rc::Rc;
use std::sync::Once;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc};

/// The result of a run on sockets.
pub struct RunOutcome {
    pub verdict: Verdict,
    pub results: Results,
    pub returns: Vec<ReturnLoad>,
    pub not_valid: Vec<String>,
    /// Failures outside the audited rules: a dispatcher that exited unexpectedly, calls that differ from the submission.
    pub faults: Vec<String>,
    pub cost: Cost,
    /// The run was stopped by Ctrl-C.
    pub interrupted: bool,
}

pub fn run(
    plan: Plan,
    program: &Path,
    work: &Path,
    tick: &mut dyn FnMut(f64),
) -> Result<RunOutcome> {
    if !program.is_file() {
        bail!(
            "{}: dispatcher program not found; build it with cargo build --release",
            program.display()
        );
    }
    // A panic in a task or thread must not leave a run that looks valid.
    static FAILED: AtomicBool = AtomicBool::new(false);
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let previous = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            FAILED.store(true, Ordering::SeqCst);
            previous(info);
        }));
    });
    FAILED.store(false, Ordering::SeqCst);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    let mut outcome = local.block_on(&runtime, run_plan(plan, program, work, tick))?;
    if FAILED.load(Ordering::SeqCst) {
        outcome
            .not_valid
            .push("the testbed panicked; see its standard error".into());
    }
    Ok(outcome)
}

/// Creates the state of a run, starts the endpoint and platform listeners, and waits until all dispatchers are ready.
async fn set_up(
    plan: &Plan,
    net: Net,
    program: &Path,
    work: &Path,
    slow_effects: mpsc::UnboundedSender<Effect>,
) -> Result<Rc<Shared>> {
    let count = plan.spec.dispatchers.count;
    let world = World::new(plan.clone());
    let first = world.first_version();
    let state = State {
        ledger: Ledger::new(plan, Slack::SOCKETS),
        net,
        t0: Instant::now(),
        conns: HashMap::new(),
        calls: HashMap::new(),
        messages: HashMap::new(),
        published: vec![first; count],
        written: vec![first; count],
        listeners: (0..world.endpoints()).map(|_| None).collect(),
        slow_effects,
        pending: 0,
        late: Histogram::new_with_bounds(1, 3_600_000_000, 2)
            .context("histogram of arrival lateness")?,
        open: vec![],
        faults: vec![],
        world,
    };
    let shared = Rc::new(Shared {
        timer_changed: Notify::new(),
        list_changed: (0..count).map(|_| Notify::new()).collect(),
        dispatchers: RefCell::new(vec![]),
        clients: RefCell::new((0..count).map(|_| Pool::default()).collect()),
        finished: RefCell::new(false),
        state: RefCell::new(state),
    });
    for e in 0..plan.endpoints.len() {
        endpoints::update_listener(&shared, EndpointId(e as u32))
            .with_context(|| format!("endpoint {e}"))?;
    }
    for d in 0..count {
        platform::listen(&shared, d)
            .with_context(|| format!("platform agent of dispatcher {d}"))?;
    }
    processes::start_all(&shared, program, work).await?;
    Ok(shared)
}

/// Sends the arrivals of a plan at their scheduled times from a separate thread, so that no other task can delay them.
fn schedule_arrivals(
    plan: &Plan,
    t0: Instant,
    to: mpsc::UnboundedSender<Arrival>,
) -> std::thread::JoinHandle<()> {
    let arrivals = Arrivals::new(plan);
    std::thread::spawn(move || {
        for arrival in arrivals {
            let at = t0 + Duration::from_nanos(arrival.at - START);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            if to.send(arrival).is_err() {
                return;
            }
        }
    })
}

/// Waits until the run's time is over, or the load has ended and no work is left. Returns true if Ctrl-C stopped it.
async fn wait_for_end(shared: &Rc<Shared>, plan: &Plan, tick: &mut dyn FnMut(f64)) -> bool {
    let (run_ends_at, load_until) = (plan.run_ends_at, plan.load_until);
    loop {
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(200)) => {}
            _ = tokio::signal::ctrl_c() => return true,
        }
        let now = shared.now();
        tick((now - START) as f64 / (run_ends_at - START) as f64);
        let idle = || {
            let s = shared.state.borrow();
            s.pending == 0 && s.ledger.audit.unresolved() == 0
        };
        if now > run_ends_at || now > load_until + S && idle() {
            return false;
        }
    }
}

/// Returns why a run is not valid; `max_late_ms` is the allowed 99th percentile of the lateness of arrivals.
fn reasons_not_valid(cost: &Cost, max_late_ms: f64, stall: Duration) -> Vec<String> {
    let (p99, max, stall_ms) = (
        cost.late_p99_ms,
        cost.late_max_ms,
        stall.as_secs_f64() * 1e3,
    );
    let mut not_valid = vec![];
    if p99 > max_late_ms || max > 10.0 * max_late_ms {
        not_valid.push(format!(
            "the load generator was late: 99th percentile {p99:.1} ms, maximum {max:.1} ms; the limits are {max_late_ms} ms \
             and {} ms",
            10.0 * max_late_ms
        ));
    }
    if stall_ms > 10.0 * max_late_ms {
        not_valid.push(format!(
            "the machine was too busy: the testbed thread stalled for {stall_ms:.0} ms"
        ));
    }
    not_valid
}

async fn run_plan(
    plan: Plan,
    program: &Path,
    work: &Path,
    tick: &mut dyn FnMut(f64),
) -> Result<RunOutcome> {
    let (net, net_guard) = Net::reserve()?;
    let (effect_sender, effect_receiver) = mpsc::unbounded_channel();
    let shared = set_up(&plan, net, program, work, effect_sender).await?;

    // Setup is not part of the measured time.
    shared.state.borrow_mut().t0 = Instant::now();
    let longest_stall = Rc::new(RefCell::new(Duration::ZERO));
    tokio::task::spawn_local(tasks::clock(shared.clone()));
    tokio::task::spawn_local(tasks::carry_out_effects(shared.clone(), effect_receiver));
    tokio::task::spawn_local(tasks::watch_stalls(longest_stall.clone()));
    tokio::task::spawn_local(processes::watch(shared.clone()));
    let (arrival_sender, arrival_receiver) = mpsc::unbounded_channel();
    let schedule = schedule_arrivals(&plan, shared.state.borrow().t0, arrival_sender);
    tokio::task::spawn_local(clients::submit_arrivals(shared.clone(), arrival_receiver));
    let interrupted = wait_for_end(&shared, &plan, tick).await;
    *shared.finished.borrow_mut() = true;
    let usage = processes::end_all(&shared).await;
    drop(net_guard);
    let mut state = shared.state.borrow_mut();
    let now = state.now();
    let ledger = std::mem::replace(&mut state.ledger, Ledger::new(&plan, Slack::SOCKETS));
    let (verdict, results) = ledger.finish(if interrupted { START } else { now });
    let cost = Cost {
        late_p99_ms: state.late.value_at_quantile(0.99) as f64 / 1e3,
        late_max_ms: state.late.max() as f64 / 1e3,
        usage,
        open: std::mem::take(&mut state.open),
        ..Default::default()
    };
    let mut not_valid = vec![];
    if interrupted {
        not_valid.push("interrupted".to_string());
    }
    let stall = *longest_stall.borrow();
    not_valid.extend(reasons_not_valid(&cost, plan.spec.run.late_ms, stall));
    if !interrupted && schedule.is_finished() {
        // A panic of the scheduling thread has already been recorded by the panic hook.
        drop(schedule.join());
    }
    Ok(RunOutcome {
        verdict,
        results,
        returns: std::mem::take(&mut state.world.returns),
        not_valid,
        faults: std::mem::take(&mut state.faults),
        cost,
        interrupted,
    })
}
