//! The world on sockets: stand-ins for endpoints, platform and clients around real `bellsill serve` processes, all on
//! loopback addresses and in one thread of this process. The world is the same as in virtual time; here it is given what
//! comes over connections, and what it answers is written to them.

mod clients;
mod endpoints;
mod platform;
mod processes;

use crate::audit::{AuditedEndpoint, Slack, Verdict};
use crate::ledger::Ledger;
use crate::load::{Arrival, Arrivals};
use crate::measure::Results;
use crate::record::{CallNumber, Observation};
use crate::run::Cost;
use crate::world::plan::Plan;
use crate::world::time::{S, START, ms};
use crate::world::{Answer, CallId, ConnId, Effect, ListState, ReturnLoad, World};
use anyhow::{Context, Result, bail};
use bellsill_core::interface::{EndpointId, MessageId, Nanos};
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
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

/// Up to this many faults are described.
const MAX_FAULTS: usize = 50;
const ENDPOINT_PORT: u16 = 7_400;
const PLATFORM_PORT: u16 = 7_401;
const LISTEN_PORT: u16 = 7_402;
/// Loopback nets that are tried: one run has one to itself.
const NETS: std::ops::Range<u8> = 32..224;
/// How often this thread checks for its own stalls.
const STALL_CHECK: Duration = Duration::from_millis(5);

/// Where everything of a run listens: 127.net.x.y.
#[derive(Clone, Copy)]
struct Net(u8);

impl Net {
    fn addr(self, n: usize, port: u16) -> SocketAddr {
        // The last number is never 0 or 255.
        SocketAddr::new(
            IpAddr::V4(Ipv4Addr::new(
                127,
                self.0,
                (n / 250) as u8,
                (n % 250) as u8 + 1,
            )),
            port,
        )
    }
    fn endpoint(self, endpoint: EndpointId) -> SocketAddr {
        self.addr(endpoint.0 as usize, ENDPOINT_PORT)
    }
    fn platform(self, dispatcher: usize) -> SocketAddr {
        self.addr(dispatcher, PLATFORM_PORT)
    }
    fn listen(self, dispatcher: usize) -> SocketAddr {
        self.addr(dispatcher, LISTEN_PORT)
    }
    /// A net in which nobody listens, and the listener that keeps it so.
    fn free() -> Result<(Net, std::net::TcpListener)> {
        let first = std::process::id() as u8;
        for i in 0..NETS.len() {
            let net = Net(NETS.start + (first as usize + i) as u8 % NETS.len() as u8);
            let at = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net.0, 255, 1)), ENDPOINT_PORT);
            if let Ok(listener) = std::net::TcpListener::bind(at) {
                return Ok((net, listener));
            }
        }
        bail!(
            "no loopback net is free: expected one of 127.{}.0.0 to 127.{}.0.0",
            NETS.start,
            NETS.end - 1
        )
    }
}

/// What a connection's task is told by the world.
enum EndpointReply {
    Answer(Answer),
    Disconnect,
}

/// What is known of a submitted message.
#[derive(Clone)]
struct SubmittedMessage {
    dispatcher: usize,
    arrival: Rc<Arrival>,
}

struct State {
    world: World,
    ledger: Ledger,
    net: Net,
    t0: Instant,
    conns: HashMap<ConnId, mpsc::UnboundedSender<EndpointReply>>,
    /// Which connection a call is on, and its number in the records.
    calls: HashMap<CallId, CallNumber>,
    messages: HashMap<MessageId, SubmittedMessage>,
    /// Which version of the list each dispatcher's agent has, and which it has written to the dispatcher.
    published: Vec<usize>,
    written: Vec<usize>,
    listeners: Vec<Option<endpoints::Listening>>,
    /// Effects that a task of their own carries out.
    slow_effects: mpsc::UnboundedSender<Effect>,
    /// Messages that may be submitted again.
    pending: usize,
    late: Histogram<u64>,
    open: Vec<(f64, usize)>,
    faults: Vec<String>,
}

pub(crate) struct Shared {
    state: RefCell<State>,
    /// The world's next moment may have come nearer.
    sooner: Notify,
    /// By dispatcher: its agent has a new version of the list.
    list_changed: Vec<Notify>,
    dispatchers: RefCell<Vec<processes::DispatcherProcess>>,
    clients: RefCell<Vec<clients::Pool>>,
    over: RefCell<bool>,
}

impl State {
    fn now(&self) -> Nanos {
        START + self.t0.elapsed().as_nanos() as Nanos
    }
    fn fault(&mut self, what: String) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(what);
        }
    }
    fn observe(&mut self, observation: Observation) {
        let now = self.now();
        self.ledger.observe(now, observation);
    }
    /// Lets the world come up to now, and carries out what it does.
    fn advance(&mut self) {
        let now = self.now();
        self.world.advance(now);
        self.pump();
    }
    fn pump(&mut self) {
        while let Some(effect) = self.world.effect() {
            match effect {
                Effect::Answer { call, conn, answer } => {
                    if let Some(call) = self.calls.remove(&call) {
                        self.observe(Observation::Answered { call, answer });
                    }
                    if let Some(to) = self.conns.get(&conn) {
                        // A task that has ended has closed its connection.
                        let _ = to.send(EndpointReply::Answer(answer));
                    }
                }
                Effect::ConnectionBroken { conn } => {
                    if let Some(to) = self.conns.remove(&conn) {
                        let _ = to.send(EndpointReply::Disconnect);
                    }
                }
                Effect::Applied { call, fresh, .. } => {
                    if let Some(call) = self.calls.get(&call).copied() {
                        self.observe(Observation::Applied { call, fresh });
                    }
                }
                Effect::Overloaded {
                    endpoint,
                    informed_calls,
                    all_calls,
                } => self.observe(Observation::Overloaded {
                    endpoint,
                    informed_calls,
                    all_calls,
                }),
                effect => drop(self.slow_effects.send(effect)),
            }
        }
    }
}

impl Shared {
    /// Something is done with the world as it is now, and what comes of it is carried out.
    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.borrow_mut();
        state.advance();
        let done = act(&mut state);
        state.pump();
        self.sooner.notify_one();
        done
    }
    fn now(&self) -> Nanos {
        self.state.borrow().now()
    }
    fn instant(&self, at: Nanos) -> tokio::time::Instant {
        (self.state.borrow().t0 + Duration::from_nanos(at.saturating_sub(START))).into()
    }
}

/// Lets the world's own moments come.
async fn clock(shared: Rc<Shared>) {
    loop {
        let next = shared.state.borrow().world.next_timer();
        let next = next.map(|at| shared.instant(at));
        match next {
            Some(at) => {
                tokio::select! {
                    () = tokio::time::sleep_until(at) => {}
                    () = shared.sooner.notified() => {}
                }
            }
            None => shared.sooner.notified().await,
        }
        shared.state.borrow_mut().advance();
    }
}

/// What the world asks for that takes its time.
async fn carry_out_effects(shared: Rc<Shared>, mut from: mpsc::UnboundedReceiver<Effect>) {
    while let Some(effect) = from.recv().await {
        match effect {
            Effect::ReachabilityChanged { endpoint, .. } => {
                // As it is by now, not as it was when this was sent.
                if let Err(e) = endpoints::update_listener(&shared, endpoint) {
                    shared.with(|s| {
                        s.fault(format!("endpoint {} could not be set up: {e}", endpoint.0))
                    });
                }
            }
            Effect::EndpointAdded { endpoint } => {
                shared.with(|s| {
                    let plan = s.world.endpoint(endpoint).clone();
                    let endpoint = AuditedEndpoint {
                        zone: plan.zone,
                        gate: plan.gate,
                    };
                    s.ledger.audit.endpoint_appeared(endpoint);
                    s.listeners.resize_with(s.world.endpoints(), || None);
                });
                if let Err(e) = endpoints::update_listener(&shared, endpoint) {
                    shared.with(|s| {
                        s.fault(format!("endpoint {} could not be set up: {e}", endpoint.0))
                    });
                }
            }
            Effect::ListPublished {
                dispatcher,
                version,
            } => {
                let published = &mut shared.state.borrow_mut().published[dispatcher];
                *published = (*published).max(version);
                shared.list_changed[dispatcher].notify_waiters();
            }
            Effect::DispatcherSignalled { dispatcher, signal } => {
                processes::signal(&shared, dispatcher, signal)
            }
            _ => {}
        }
    }
}

/// Notes the longest time for which this thread was stalled.
async fn watch_stalls(worst: Rc<RefCell<Duration>>) {
    loop {
        let from = Instant::now();
        tokio::time::sleep(STALL_CHECK).await;
        let over = from.elapsed().saturating_sub(STALL_CHECK);
        let mut worst = worst.borrow_mut();
        *worst = (*worst).max(over);
    }
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

async fn play(
    plan: Plan,
    program: &Path,
    work: &Path,
    tick: &mut dyn FnMut(f64),
) -> Result<RunOutcome> {
    let (net, keeps) = Net::free()?;
    let (over_at, load_until, count) = (plan.over_at, plan.load_until, plan.spec.dispatchers.count);
    let late_most = plan.spec.run.late_ms;
    let (effect_sender, effect_receiver) = mpsc::unbounded_channel();
    let world = World::new(plan.clone());
    let first = world.first_version();
    let state = State {
        ledger: Ledger::new(&plan, Slack::SOCKETS),
        net,
        t0: Instant::now(),
        conns: HashMap::new(),
        calls: HashMap::new(),
        messages: HashMap::new(),
        published: vec![first; count],
        written: vec![first; count],
        listeners: (0..world.endpoints()).map(|_| None).collect(),
        slow_effects: effect_sender,
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
        clients: RefCell::new((0..count).map(|_| clients::Pool::default()).collect()),
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

    // From here on time counts.
    shared.state.borrow_mut().t0 = Instant::now();
    let worst = Rc::new(RefCell::new(Duration::ZERO));
    tokio::task::spawn_local(clock(shared.clone()));
    tokio::task::spawn_local(carry_out_effects(shared.clone(), effect_receiver));
    tokio::task::spawn_local(watch_stalls(worst.clone()));
    tokio::task::spawn_local(processes::watch(shared.clone()));
    let (t0, arrivals) = (shared.state.borrow().t0, Arrivals::new(&plan));
    let (to, from) = mpsc::unbounded_channel();
    // A thread of its own keeps the schedule: it waits for nothing but the clock.
    let schedule = std::thread::spawn(move || {
        for arrival in arrivals {
            let at = t0 + Duration::from_nanos(arrival.at - START);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            if to.send(arrival).is_err() {
                return;
            }
        }
    });
    tokio::task::spawn_local(clients::submit_arrivals(shared.clone(), from));
    let mut interrupted = false;
    loop {
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(200)) => {}
            _ = tokio::signal::ctrl_c() => {
                interrupted = true;
                break;
            }
        }
        let now = shared.now();
        tick((now - START) as f64 / (over_at - START) as f64);
        let idle = || {
            let s = shared.state.borrow();
            s.pending == 0 && s.ledger.audit.unresolved() == 0
        };
        if now > over_at || now > load_until + S && idle() {
            break;
        }
    }
    *shared.over.borrow_mut() = true;
    let usage = processes::end_all(&shared).await;
    drop(keeps);
    let mut state = shared.state.borrow_mut();
    let now = state.now();
    let ledger = std::mem::replace(&mut state.ledger, Ledger::new(&plan, Slack::SOCKETS));
    let (verdict, results) = ledger.finish(if interrupted { START } else { now });
    let (p99, most) = (
        state.late.value_at_quantile(0.99) as f64 / 1e3,
        state.late.max() as f64 / 1e3,
    );
    let stood = worst.borrow().as_secs_f64() * 1e3;
    let mut not_valid = vec![];
    if interrupted {
        not_valid.push("interrupted".to_string());
    }
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
    if !interrupted && schedule.is_finished() {
        let _ = schedule.join();
    }
    let open = std::mem::take(&mut state.open);
    let cost = Cost {
        late_p99_ms: p99,
        late_max_ms: most,
        usage,
        open,
        ..Default::default()
    };
    let (returns, faults) = (
        std::mem::take(&mut state.world.returns),
        std::mem::take(&mut state.faults),
    );
    Ok(RunOutcome {
        verdict,
        results,
        returns,
        not_valid,
        faults,
        cost,
        interrupted,
    })
}

/// The value of a header of this name.
pub(crate) fn header<'b>(head: &httparse::Request<'_, 'b>, name: &str) -> Option<&'b [u8]> {
    head.headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case(name))
        .map(|h| h.value)
}

pub(crate) fn content_length(head: &httparse::Request) -> Option<usize> {
    std::str::from_utf8(header(head, "content-length")?)
        .ok()?
        .trim()
        .parse()
        .ok()
}

/// The configuration file of a dispatcher at its start.
fn config(state: &State, dispatcher: usize, start: u32) -> serde_json::Value {
    use serde_json::json;
    let plan = &state.world.plan;
    let (d, r, facts) = (
        &plan.spec.dispatchers,
        &plan.spec.rules,
        plan.dispatcher_settings(dispatcher, start),
    );
    let class = |c: &crate::spec::Class| {
        let repeat = match c.repeat {
            crate::spec::Repeat::Redeliverable => "idempotent",
            crate::spec::Repeat::Tagged => "deduplicated",
            crate::spec::Repeat::OnceOnly => "at_most_once",
        };
        json!({
            "name": c.name, "repeat": repeat, "worth": c.importance, "aim-ns": ms(c.target_ms),
            "deadline-ns": ms(c.lifetime_ms), "late-share": c.late_share, "window-ns": ms(c.window_ms),
            "dedup-scope": if c.same_zone { "dc" } else { "all" }, "in-turn": c.ordered_keys > 0,
        })
    };
    let list = state.world.listing(state.published[dispatcher]);
    json!({
        "name": format!("d{dispatcher}"),
        "listen": state.net.listen(dispatcher).to_string(),
        "discovery": state.net.platform(dispatcher).to_string(),
        "seed": format!("{:016x}", facts.seed),
        "limits": {"cores": 1.0, "memory_mb": d.memory_mb, "sockets": d.sockets, "disk_mb": d.disk_mb},
        "known": platform::full_list(state, state.published[dispatcher], &list),
        "settings": {
            "balancers": d.count,
            "dcs": plan.spec.world.zones,
            "flavors": plan.spec.kinds.iter().map(|k| &k.name).collect::<Vec<_>>(),
            "family-info": {"decay": "halves", "own-limits": facts.per_endpoint_limits, "workers": facts.max_in_flight},
            "services": plan.spec.classes.iter().map(class).collect::<Vec<_>>(),
            "limits": {
                "max-open": facts.queue_capacity, "max-attempts": facts.max_attempts,
                "connect-timeout-ns": facts.connect_timeout, "keepalive-ns": ms(d.keep_alive_ms),
                "retry-after": facts.max_retry_after.is_some(),
                "max-retry-after-ns": facts.max_retry_after.unwrap_or(0),
            },
            "guarantees": {
                "cold-share": r.cold_share, "ramp-time-ns": ms(r.ramp_ms), "tip-multiple": r.tip_multiple,
                "overload-for-ns": ms(r.tip_window_ms), "drain-grace-ns": ms(r.drain_grace_ms),
                "turn-gap-ns": ms(r.key_rest_ms),
            },
            "tick-ns": facts.clock_resolution,
        }
    })
}

/// The list at a version, by endpoint.
type Listing = BTreeMap<EndpointId, ListState>;
