//! A hollow dispatcher: the real watch, its scoped list and the route table that follows it, without sockets.

use super::clock::SECOND;
use super::messages::{BucketDigest, FaultCounts, Report, Traffic};
use super::plan::{DispatcherIndex, Plan};
use super::routes::RouteTable;
use super::traffic::TrafficMeter;
use bellsill_core::interface::Nanos;
use bellsill_directory::line::{EndpointEntry, Version};
use bellsill_discovery_client::scoped_list::DEFAULT_CACHE_DESTINATIONS;
use bellsill_discovery_client::{
    Applied, BucketMap, CallId, Command, ScopedList, ScopedOptions, Timer, Watch,
};
use bellsill_net::ring_buffer::RingBuffer;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// The grace of a drain, by which the first call is spread.
const DRAIN_GRACE: Nanos = SECOND;
/// So many faults are told in words; all are counted.
const FAULTS_TOLD: u64 = 3;

/// What all dispatchers of a worker share.
pub struct Surroundings {
    pub plan: Arc<Plan>,
    pub servers: Vec<SocketAddr>,
    /// Entries of higher versions are reported once they are in force.
    pub report_above: Version,
}

/// What the owner of the sockets is to do.
pub enum Action {
    Connect {
        call: CallId,
        address: SocketAddr,
        request: Vec<u8>,
    },
    Close(CallId),
}

/// When a dispatcher heard from which control process.
#[derive(Clone, Copy)]
pub struct Heard {
    pub at: Nanos,
    pub server: SocketAddr,
}

pub struct HollowDispatcher {
    index: DispatcherIndex,
    name: String,
    watch: Watch,
    routes: RouteTable,
    timers: BTreeMap<Timer, Nanos>,
    actions: VecDeque<Action>,
    reports: Vec<Report>,
    heard: Option<Heard>,
    traffic: TrafficMeter,
    /// The last version in force of each endpoint that has been reported.
    versions: BTreeMap<String, Version>,
    faults: FaultCounts,
}

impl HollowDispatcher {
    /// A dispatcher that begins from a saved list, or from nothing.
    pub fn new(
        now: Nanos,
        surroundings: &Surroundings,
        index: DispatcherIndex,
        seed: u64,
        saved: Option<&[u8]>,
    ) -> Self {
        let plan = &surroundings.plan;
        let name = plan.dispatcher_name(index);
        let layout: Arc<dyn BucketMap> = Arc::clone(plan) as Arc<dyn BucketMap>;
        let restored = saved.map(|bytes| {
            ScopedList::from_bytes(
                bytes,
                &name,
                Arc::clone(&layout),
                DEFAULT_CACHE_DESTINATIONS,
            )
        });
        let refused = restored
            .as_ref()
            .and_then(|list| list.as_ref().err().map(ToString::to_string));
        let list = restored.and_then(Result::ok);
        let known = list.is_some();
        let list = list.unwrap_or_else(|| ScopedList::new(layout, DEFAULT_CACHE_DESTINATIONS));
        let options = ScopedOptions {
            dispatcher: name.clone(),
            servers: surroundings.servers.clone(),
            seed,
        };
        let mut dispatcher = HollowDispatcher {
            index,
            name,
            watch: Watch::scoped(options, list),
            routes: RouteTable::new(now, seed, plan.options.dispatchers),
            timers: BTreeMap::new(),
            actions: VecDeque::new(),
            reports: vec![],
            heard: None,
            traffic: TrafficMeter::new(now),
            versions: BTreeMap::new(),
            faults: FaultCounts::default(),
        };
        if let Some(what) = refused {
            dispatcher.faults.refused_state_files += 1;
            dispatcher.tell_fault(format!("state file: {what}"));
        }
        if known {
            dispatcher.serve_restored(now, plan);
        }
        dispatcher
    }

    /// Puts in force what the state file has, before anything is heard.
    fn serve_restored(&mut self, now: Nanos, plan: &Plan) {
        let Some(list) = self.watch.list() else {
            return;
        };
        let entries: Vec<EndpointEntry> = list.entries().cloned().collect();
        let buckets = list.complete_buckets().collect();
        self.routes.apply(now, plan, &entries, &[]);
        self.reports.push(Report::Restored {
            dispatcher: self.index,
            at: super::clock::now(),
            buckets,
        });
    }

    pub fn start(&mut self, now: Nanos) {
        let commands = self.watch.start(now, DRAIN_GRACE);
        self.take(commands);
    }

    pub fn connected(&mut self, now: Nanos, call: CallId) {
        let commands = self.watch.connected(now, call);
        self.take(commands);
    }

    pub fn broken(&mut self, now: Nanos, call: CallId) {
        let commands = self.watch.call_failed(now, call);
        self.take(commands);
    }

    /// Bytes have come from a control process.
    pub fn heard(&mut self, now: Nanos, server: SocketAddr, bytes: usize) {
        self.heard = Some(Heard { at: now, server });
        self.traffic.read(now, bytes);
    }

    pub fn heard_last(&self) -> Option<Heard> {
        self.heard
    }

    pub fn received(
        &mut self,
        now: Nanos,
        surroundings: &Surroundings,
        call: CallId,
        input: &mut RingBuffer,
        ended: bool,
    ) {
        let received = self.watch.received(now, call, input, ended);
        self.take(received.commands);
        for document in received.documents {
            match self.watch.apply(&document) {
                Ok(applied) => self.put_in_force(now, surroundings, applied),
                Err(e) => {
                    self.tell_fault(format!("line: {e}"));
                    return self.broken(now, call);
                }
            }
        }
    }

    fn put_in_force(&mut self, now: Nanos, surroundings: &Surroundings, applied: Applied) {
        let dropped: Vec<String> = applied.dropped.into_iter().map(|entry| entry.id).collect();
        if !applied.changed.is_empty() || !dropped.is_empty() {
            self.routes
                .apply(now, &surroundings.plan, &applied.changed, &dropped);
        }
        for name in &dropped {
            self.versions.remove(name);
        }
        for entry in applied
            .changed
            .iter()
            .filter(|entry| entry.version > surroundings.report_above)
        {
            self.report_change(entry);
        }
        if !(applied.gained.is_empty() && applied.lost.is_empty() && applied.filled.is_empty()) {
            self.reports.push(Report::Held {
                dispatcher: self.index,
                at: super::clock::now(),
                gained: applied.gained,
                lost: applied.lost,
                filled: applied.filled,
            });
        }
    }

    fn report_change(&mut self, entry: &EndpointEntry) {
        match self.versions.insert(entry.id.clone(), entry.version) {
            Some(before) if before > entry.version => self.faults.out_of_order += 1,
            Some(before) if before == entry.version => self.faults.twice += 1,
            _ => {}
        }
        self.reports.push(Report::Applied {
            dispatcher: self.index,
            endpoint: entry.id.clone(),
            version: entry.version,
            at: super::clock::now(),
        });
    }

    fn tell_fault(&mut self, what: String) {
        self.faults.told += 1;
        if self.faults.told <= FAULTS_TOLD {
            self.reports.push(Report::Fault {
                dispatcher: self.index,
                what,
            });
        }
    }

    /// Fires all timers that are due.
    pub fn fire(&mut self, now: Nanos) {
        while let Some(timer) = self
            .timers
            .iter()
            .find(|&(_, &at)| at <= now)
            .map(|(&timer, _)| timer)
        {
            self.timers.remove(&timer);
            let commands = self.watch.timer_fired(now, timer);
            self.take(commands);
        }
        if self.routes.wake_at().is_some_and(|at| at <= now) {
            self.routes.woken(now);
        }
    }

    pub fn next_due(&self) -> Option<Nanos> {
        self.timers
            .values()
            .copied()
            .chain(self.routes.wake_at())
            .min()
    }

    fn take(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Connect {
                    call,
                    address,
                    request,
                } => self.actions.push_back(Action::Connect {
                    call,
                    address,
                    request,
                }),
                Command::Close(call) => self.actions.push_back(Action::Close(call)),
                Command::SetTimer(timer, at) => drop(self.timers.insert(timer, at)),
                Command::ClearTimer(timer) => drop(self.timers.remove(&timer)),
            }
        }
    }

    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    pub fn take_reports(&mut self) -> Vec<Report> {
        std::mem::take(&mut self.reports)
    }

    /// What its state file has.
    pub fn state(&self) -> Vec<u8> {
        self.watch
            .list()
            .map(|list| list.to_bytes(&self.name))
            .unwrap_or_default()
    }

    pub fn faults(&self) -> FaultCounts {
        let list = self
            .watch
            .list()
            .map(ScopedList::counters)
            .unwrap_or_default();
        FaultCounts {
            refused_lines: list.rejected_lines + self.watch.counters().overlong_lines,
            entries_not_taken: list.stale_entries + list.duplicate_entries,
            ..self.faults
        }
    }

    pub fn digests(&self, plan: &Plan) -> Vec<BucketDigest> {
        self.routes.digests(plan, self.index)
    }

    pub fn begin_traffic(&mut self, now: Nanos) {
        self.traffic = TrafficMeter::new(now);
    }

    pub fn end_traffic(&mut self, now: Nanos) -> Traffic {
        self.traffic.end(now)
    }
}
