//! The world on sockets: stand-ins for endpoints, platform and clients around real `bellsill serve` processes, all on
//! loopback addresses and in one thread of this process. The world is the same as in virtual time; here it is given what
//! comes over connections, and what it answers is written to them.

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

/// What a run on sockets came to.
pub struct RunOutcome {
    pub verdict: Verdict,
    pub results: Results,
    pub returns: Vec<ReturnLoad>,
    pub not_valid: Vec<String>,
    /// What went wrong beside the rules: a dispatcher that ended by itself, calls that were not what was submitted.
    pub faults: Vec<String>,
    pub cost: Cost,
    /// Ctrl-C came.
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
            "{}: expected the dispatcher's program; build it with cargo build --release",
            program.display()
        );
    }
    // A task that fails must not leave a run that looks whole.
    static FAILED: AtomicBool = AtomicBool::new(false);
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let before = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |what| {
            FAILED.store(true, Ordering::SeqCst);
            before(what);
        }));
    });
    FAILED.store(false, Ordering::SeqCst);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    let mut outcome = local.block_on(&runtime, play(plan, program, work, tick))?;
    if FAILED.load(Ordering::SeqCst) {
        outcome
            .not_valid
            .push("the laboratory itself failed; see its standard error".into());
    }
    Ok(outcome)
}

/// The state of a run, with its endpoints and platforms listening and its dispatchers ready.
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
        late: Histogram::new_with_bounds(1, 3_600_000_000, 2).context("bounds")?,
        open: vec![],
        faults: vec![],
        world,
    };
    let shared = Rc::new(Shared {
        sooner: Notify::new(),
        list_changed: (0..count).map(|_| Notify::new()).collect(),
        dispatchers: RefCell::new(vec![]),
        clients: RefCell::new((0..count).map(|_| Pool::default()).collect()),
        over: RefCell::new(false),
        state: RefCell::new(state),
    });
    for e in 0..plan.endpoints.len() {
        endpoints::update_listener(&shared, EndpointId(e as u32))
            .with_context(|| format!("endpoint {e}"))?;
    }
    for d in 0..count {
        platform::listen(&shared, d).with_context(|| format!("the platform of dispatcher {d}"))?;
    }
    processes::start_all(&shared, program, work).await?;
    Ok(shared)
}

/// Sends the arrivals of a plan at their times, from a thread of its own: it waits for nothing but the clock.
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

/// Lets the run go on until its time is over or nothing is left to do. True: Ctrl-C came.
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

/// Why a run is not valid; `late_most` is in milliseconds.
fn reasons_not_valid(cost: &Cost, late_most: f64, stall: Duration) -> Vec<String> {
    let (p99, most, stood) = (
        cost.late_p99_ms,
        cost.late_max_ms,
        stall.as_secs_f64() * 1e3,
    );
    let mut not_valid = vec![];
    if p99 > late_most || most > 10.0 * late_most {
        not_valid.push(format!(
            "the generator was late: {p99:.1} ms at its 99th percentile and {most:.1} ms at worst, at most {late_most} \
             and {} are allowed",
            10.0 * late_most
        ));
    }
    if stood > 10.0 * late_most {
        not_valid.push(format!(
            "the machine was too busy: the laboratory stood still for {stood:.0} ms"
        ));
    }
    not_valid
}

async fn play(
    plan: Plan,
    program: &Path,
    work: &Path,
    tick: &mut dyn FnMut(f64),
) -> Result<RunOutcome> {
    let (net, keeps) = Net::free()?;
    let (effect_sender, effect_receiver) = mpsc::unbounded_channel();
    let shared = set_up(&plan, net, program, work, effect_sender).await?;

    // From here on time counts.
    shared.state.borrow_mut().t0 = Instant::now();
    let worst = Rc::new(RefCell::new(Duration::ZERO));
    tokio::task::spawn_local(tasks::clock(shared.clone()));
    tokio::task::spawn_local(tasks::carry_out_effects(shared.clone(), effect_receiver));
    tokio::task::spawn_local(tasks::watch_stalls(worst.clone()));
    tokio::task::spawn_local(processes::watch(shared.clone()));
    let (to, from) = mpsc::unbounded_channel();
    let schedule = schedule_arrivals(&plan, shared.state.borrow().t0, to);
    tokio::task::spawn_local(clients::submit_arrivals(shared.clone(), from));
    let interrupted = wait_for_end(&shared, &plan, tick).await;
    *shared.over.borrow_mut() = true;
    let usage = processes::end_all(&shared).await;
    drop(keeps);
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
    let stall = *worst.borrow();
    not_valid.extend(reasons_not_valid(&cost, plan.spec.run.late_ms, stall));
    if !interrupted && schedule.is_finished() {
        // A panic of the schedule has been noted by the hook.
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
