//! The fleet as the parent drives it: control processes, workers, what they report, and what is known of it all.

use super::clock;
use super::control_process::{ControlPlace, ControlProcess, free_addresses};
use super::events::Event;
use super::holders::Holders;
use super::measure::{Sampler, Usage, sample};
use super::messages::{BucketDigest, FaultCounts, Order, Report, StartFrom, Status, Traffic};
use super::options::{HollowOptions, WorkerOptions};
use super::plan::{DispatcherIndex, Plan};
use super::propagation::Propagation;
use super::routes::fingerprint;
use super::worker_process::WorkerProcess;
use anyhow::{Context, Result, bail, ensure};
use bellsill_core::interface::Nanos;
use bellsill_directory::line::{EndpointEntry, Version};
use bellsill_placement::BucketId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

/// Entries in one request while the configuration is first written.
const SEED_BATCH: usize = 2_000;
const WORKERS_READY_WITHIN: Duration = Duration::from_secs(30);
const ANSWERS_WITHIN: Duration = Duration::from_secs(60);
/// How long the first filling of all dispatchers may take.
const FILLED_WITHIN: Duration = Duration::from_secs(300);
/// How long one wait for an event lasts, so that conditions on time are seen.
const TURN: Duration = Duration::from_millis(20);
/// Live holders of each bucket.
pub const REPLICAS: usize = bellsill_placement::REPLICAS;

/// A worker and what it has told.
struct Worker {
    process: WorkerProcess,
    dispatchers: Vec<DispatcherIndex>,
    status: Status,
    /// What it took up before it had dispatchers.
    empty_bytes: u64,
}

/// What is being answered by all workers.
#[derive(Default)]
struct Answers {
    ready: usize,
    traffic: Vec<Traffic>,
    digests: Vec<Vec<BucketDigest>>,
}

/// What a bucket's holders should have in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Expected {
    entries: u64,
    digest: u64,
}

/// How a filled bucket of a dispatcher differs from what it should have in force.
#[derive(Clone, Debug)]
pub struct WrongBucket {
    pub dispatcher: DispatcherIndex,
    pub bucket: BucketId,
    pub entries: u64,
    pub expected_entries: u64,
}

/// What the start took.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartFigures {
    pub seeded: Duration,
    pub filled: Duration,
    pub filled_bytes: u64,
    /// The most that one dispatcher read in 3 s while it was filled.
    pub largest_three_seconds: u64,
}

pub struct Fleet {
    pub options: HollowOptions,
    pub plan: Plan,
    pub controls: Vec<ControlProcess>,
    pub holders: Holders,
    pub propagation: Propagation,
    pub sampler: Sampler,
    pub start_figures: StartFigures,
    /// Faults in words, as they were reported.
    pub faults: Vec<String>,
    workers: Vec<Worker>,
    events: Receiver<Event>,
    sender: Sender<Event>,
    answers: Answers,
    /// Entries that are others than the plan's first ones, by destination.
    written: BTreeMap<u64, EndpointEntry>,
    running: BTreeSet<DispatcherIndex>,
    /// Of the last write that was answered.
    last_version: Version,
}

/// Measures from [`Fleet::begin_window`] to [`Fleet::end_window`].
pub struct WindowStart {
    at: Nanos,
}

/// What the processes used in a window.
pub struct Window {
    pub seconds: f64,
    pub traffic: Traffic,
    /// Of one dispatcher, by worker.
    pub dispatchers: Vec<DispatcherUsage>,
    pub writer: Usage,
    pub followers: Vec<Usage>,
}

/// What one dispatcher of a worker used, on average.
#[derive(Clone, Copy, Debug)]
pub struct DispatcherUsage {
    pub cores: f64,
    pub resident_bytes: u64,
}

impl Fleet {
    /// Starts all processes, writes the configuration, and waits until every bucket has all its holders.
    pub fn start(options: HollowOptions) -> Result<Fleet> {
        ensure!(
            options.control > 0,
            "--control: expected one process at least"
        );
        ensure!(
            options.dispatchers > 0,
            "--dispatchers: expected one at least"
        );
        ensure!(
            options.per_worker > 0,
            "--per-worker: expected one at least"
        );
        let plan = Plan::new(options.plan())?;
        renew_directory(&options.work)?;
        let addresses = free_addresses(options.control)?;
        let prepare = |n: usize| {
            let writer = (n > 0).then_some(addresses[0]);
            let place = ControlPlace {
                name: format!("control-{}", n + 1),
                listen: addresses[n],
                writer,
            };
            ControlProcess::prepare(&options, &plan, place)
        };
        let controls = (0..options.control)
            .map(prepare)
            .collect::<Result<Vec<_>>>()?;
        let (sender, events) = channel();
        let mut fleet = Fleet {
            options,
            plan,
            controls,
            holders: Holders::default(),
            propagation: Propagation::default(),
            sampler: Sampler::start(),
            start_figures: StartFigures::default(),
            faults: vec![],
            workers: vec![],
            events,
            sender,
            answers: Answers::default(),
            written: BTreeMap::new(),
            running: BTreeSet::new(),
            last_version: Version::default(),
        };
        fleet.start_control()?;
        fleet.start_workers(&addresses)?;
        fleet.fill()?;
        Ok(fleet)
    }

    /// The writer first, with all entries, then the followers.
    fn start_control(&mut self) -> Result<()> {
        let began = Instant::now();
        self.start_control_processes(&[0])?;
        let writer = self.controls[0].client();
        // Dispatchers that are declared are waited for no longer than the grace, so they are declared last.
        let destinations: Vec<u64> = (0..self.plan.options.destinations).collect();
        for batch in destinations.chunks(SEED_BATCH) {
            let entries: Vec<EndpointEntry> = batch.iter().map(|&d| self.plan.entry(d)).collect();
            self.last_version = writer
                .write_entries(&entries)
                .context("writing the configuration")?;
        }
        tracing::info!(
            "{} entries written, version {}",
            self.plan.options.destinations,
            self.last_version.0
        );
        let followers: Vec<usize> = (1..self.controls.len()).collect();
        // Dispatchers that met followers without a configuration would all stay at the writer.
        self.start_control_processes(&followers)?;
        self.start_figures.seeded = began.elapsed();
        Ok(())
    }

    /// Starts control processes at once, and waits until they have what was written.
    pub fn start_control_processes(&mut self, numbers: &[usize]) -> Result<()> {
        for &number in numbers {
            let pid = self.controls[number].start()?;
            self.sampler.add(pid);
        }
        numbers
            .iter()
            .try_for_each(|&number| self.controls[number].wait_until_ready(self.last_version))
    }

    fn start_workers(&mut self, addresses: &[SocketAddr]) -> Result<()> {
        let program = std::env::current_exe()?;
        let options = self.worker_options(addresses.to_vec())?;
        let all: Vec<DispatcherIndex> = self.plan.dispatchers().collect();
        let shares: Vec<Vec<DispatcherIndex>> = all
            .chunks(self.options.per_worker)
            .map(<[DispatcherIndex]>::to_vec)
            .collect();
        for (number, dispatchers) in shares.into_iter().enumerate() {
            let process = self.spawn_worker(&program, number, &options)?;
            let status = Status::default();
            self.workers.push(Worker {
                process,
                dispatchers,
                status,
                empty_bytes: 0,
            });
        }
        let count = self.workers.len();
        self.expect("all workers are ready", WORKERS_READY_WITHIN, |fleet| {
            fleet.answers.ready == count
        })?;
        for worker in &mut self.workers {
            worker.empty_bytes =
                sample(worker.process.pid()).map_or(0, |sample| sample.resident_bytes);
        }
        Ok(())
    }

    /// What a worker is told that watches control processes at these addresses.
    pub fn worker_options(&self, servers: Vec<SocketAddr>) -> Result<WorkerOptions> {
        let state_directory = self.state_directory();
        std::fs::create_dir_all(&state_directory)?;
        Ok(WorkerOptions {
            plan: self.plan.options,
            servers,
            state_directory,
            seed: self.options.seed,
        })
    }

    pub fn state_directory(&self) -> PathBuf {
        self.options.work.join("dispatchers")
    }

    fn spawn_worker(
        &self,
        program: &Path,
        number: usize,
        options: &WorkerOptions,
    ) -> Result<WorkerProcess> {
        let log = self.options.work.join(format!("worker-{number}.log"));
        let process = WorkerProcess::start(program, number, options, &log, self.sender.clone())?;
        self.sampler.add(process.pid());
        Ok(process)
    }

    /// Declares and starts all dispatchers.
    fn fill(&mut self) -> Result<()> {
        self.controls[0]
            .client()
            .declare_members(&self.plan)
            .context("declaring the dispatchers")?;
        let window = self.begin_window()?;
        let began = Instant::now();
        let all: Vec<DispatcherIndex> = self.plan.dispatchers().collect();
        self.start_dispatchers(&all, StartFrom::Nothing)?;
        self.expect(
            "every bucket has all its holders",
            FILLED_WITHIN,
            Fleet::settled,
        )?;
        self.start_figures.filled = began.elapsed();
        let traffic = self.end_window(&window)?.traffic;
        self.start_figures.filled_bytes = traffic.bytes;
        self.start_figures.largest_three_seconds = traffic.largest_three_seconds;
        Ok(())
    }

    /// All running dispatchers are served, and every bucket has all its holders.
    pub fn settled(&self) -> bool {
        let buckets = self.plan.buckets() as usize;
        self.served() == self.running.len() && self.holders.with_holders(REPLICAS) == buckets
    }

    pub fn running(&self) -> &BTreeSet<DispatcherIndex> {
        &self.running
    }

    fn order_all(&mut self, order: &Order) -> Result<()> {
        self.workers
            .iter_mut()
            .try_for_each(|worker| worker.process.order(order))
    }

    /// Orders each worker what concerns its own dispatchers of these.
    fn order_each(
        &mut self,
        dispatchers: &[DispatcherIndex],
        order: impl Fn(Vec<DispatcherIndex>) -> Order,
    ) -> Result<()> {
        for worker in &mut self.workers {
            let own: Vec<DispatcherIndex> = dispatchers
                .iter()
                .copied()
                .filter(|d| worker.dispatchers.contains(d))
                .collect();
            if !own.is_empty() {
                worker.process.order(&order(own))?;
            }
        }
        Ok(())
    }

    pub fn start_dispatchers(
        &mut self,
        dispatchers: &[DispatcherIndex],
        from: StartFrom,
    ) -> Result<()> {
        self.running.extend(dispatchers);
        self.order_each(dispatchers, |dispatchers| Order::Start {
            dispatchers,
            from,
        })
    }

    pub fn stop_dispatchers(&mut self, dispatchers: &[DispatcherIndex]) -> Result<()> {
        self.running.retain(|d| !dispatchers.contains(d));
        self.order_each(dispatchers, |dispatchers| Order::Stop { dispatchers })
    }

    /// Handles events until the condition holds; how long that took, or none where it did not in time.
    pub fn wait(
        &mut self,
        within: Duration,
        mut condition: impl FnMut(&Fleet) -> bool,
    ) -> Result<Option<Duration>> {
        let began = Instant::now();
        loop {
            if condition(self) {
                return Ok(Some(began.elapsed()));
            }
            if began.elapsed() > within {
                return Ok(None);
            }
            self.next_event()?;
        }
    }

    /// As [`Fleet::wait`]; that the condition does not hold in time ends the run.
    fn expect(
        &mut self,
        what: &str,
        within: Duration,
        condition: impl FnMut(&Fleet) -> bool,
    ) -> Result<Duration> {
        let waited = self.wait(within, condition)?;
        waited.with_context(|| {
            let buckets = self.plan.buckets();
            let full = self.holders.with_holders(REPLICAS);
            let (served, running) = (self.served(), self.running.len());
            let faults: Vec<&str> = self.faults.iter().take(5).map(String::as_str).collect();
            format!(
                "not within {within:?}: {what} ({served} of {running} dispatchers are served, {full} of {buckets} \
                 buckets have all holders; {faults:?})"
            )
        })
    }

    /// Handles events for a time.
    pub fn run_for(&mut self, span: Duration) -> Result<()> {
        self.wait(span, |_| false).map(drop)
    }

    /// Waits for one event and handles it and those that have come with it.
    fn next_event(&mut self) -> Result<()> {
        match self.events.recv_timeout(TURN) {
            Ok(event) => self.handle(event)?,
            Err(RecvTimeoutError::Timeout) => return Ok(()),
            Err(RecvTimeoutError::Disconnected) => bail!("no thread is left that tells events"),
        }
        while let Ok(event) = self.events.try_recv() {
            self.handle(event)?;
        }
        Ok(())
    }

    fn handle(&mut self, event: Event) -> Result<()> {
        match event {
            Event::Report { worker, report } => self.take_report(worker, report),
            Event::BadReport { worker, what } => {
                bail!("worker {worker} reports what cannot be read: {what}")
            }
            Event::WorkerEnded { worker } => {
                bail!("worker {worker} has ended; its log is beside its state")
            }
            Event::Writing { change, entry } => {
                self.written.insert(entry.destination, entry);
                self.propagation.writing(change, &self.holders);
            }
            Event::Written {
                endpoint,
                version,
                started,
                answered,
            } => {
                self.last_version = self.last_version.max(version);
                self.propagation
                    .written(&endpoint, version, started, answered);
            }
            Event::WriteRefused { endpoint, what } => {
                self.written.retain(|_, entry| entry.id != endpoint);
                self.propagation.refused(&endpoint, what)
            }
        }
        Ok(())
    }

    fn take_report(&mut self, worker: usize, report: Report) {
        match report {
            Report::Ready => self.answers.ready += 1,
            Report::Applied {
                dispatcher,
                endpoint,
                version,
                at,
            } => self.propagation.applied(dispatcher, &endpoint, version, at),
            Report::Restored {
                dispatcher,
                at,
                buckets,
            } => self.holders.filled(dispatcher, &buckets, at),
            Report::Held {
                dispatcher,
                at,
                gained,
                lost,
                filled,
            } => {
                self.holders.gained(dispatcher, &gained);
                self.holders.lost(dispatcher, &lost, at);
                self.holders.filled(dispatcher, &filled, at);
            }
            Report::Stopped { dispatcher, at } => self.holders.stopped(dispatcher, at),
            Report::Fault { dispatcher, what } => {
                self.faults
                    .push(format!("{}: {what}", self.plan.dispatcher_name(dispatcher)));
            }
            Report::Status(status) => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.status = status;
                }
            }
            Report::Traffic(traffic) => self.answers.traffic.push(traffic),
            Report::Digests(digests) => self.answers.digests.push(digests),
        }
    }

    /// Where threads of the parent tell what they do.
    pub fn sender(&self) -> Sender<Event> {
        self.sender.clone()
    }

    pub fn served(&self) -> usize {
        self.workers.iter().map(|worker| worker.status.served).sum()
    }

    /// Dispatchers that were served by one of these control processes, by statuses since that moment; none where some worker
    /// has told none since then.
    pub fn served_by(&self, controls: &[usize], since: Nanos) -> Option<usize> {
        let told = self.workers.iter().all(|worker| worker.status.at >= since);
        let by = |worker: &Worker| {
            controls
                .iter()
                .map(|&n| worker.status.by_server[n])
                .sum::<usize>()
        };
        told.then(|| self.workers.iter().map(by).sum())
    }

    /// How many dispatchers each control process serves.
    pub fn served_by_each(&self) -> Vec<usize> {
        let by = |n: usize| {
            self.workers
                .iter()
                .filter_map(|worker| worker.status.by_server.get(n))
                .sum()
        };
        (0..self.controls.len()).map(by).collect()
    }

    /// Bytes that all dispatchers have read since the start.
    pub fn bytes(&self) -> u64 {
        self.workers.iter().map(|worker| worker.status.bytes).sum()
    }

    pub fn connects(&self) -> u64 {
        self.workers
            .iter()
            .map(|worker| worker.status.connects)
            .sum()
    }

    pub fn fault_counts(&self) -> FaultCounts {
        let mut counts = FaultCounts::default();
        self.workers
            .iter()
            .for_each(|worker| counts.add(&worker.status.faults));
        counts
    }

    /// Begins to follow changes anew: what is written from now on is reported.
    pub fn follow_changes(&mut self) -> Result<()> {
        self.propagation = Propagation::default();
        self.order_all(&Order::ReportAbove(self.last_version))
    }

    pub fn begin_window(&mut self) -> Result<WindowStart> {
        self.order_all(&Order::BeginTraffic)?;
        self.sampler.sample_now();
        Ok(WindowStart { at: clock::now() })
    }

    pub fn end_window(&mut self, start: &WindowStart) -> Result<Window> {
        self.sampler.sample_now();
        let to = clock::now();
        self.answers.traffic.clear();
        self.order_all(&Order::EndTraffic)?;
        let count = self.workers.len();
        self.expect("all workers tell their traffic", ANSWERS_WITHIN, |f| {
            f.answers.traffic.len() == count
        })?;
        let mut traffic = Traffic::default();
        self.answers
            .traffic
            .drain(..)
            .for_each(|of_worker| traffic.add(&of_worker));
        let control = |process: &ControlProcess| {
            process
                .pid()
                .map(|pid| self.sampler.usage(pid, start.at, to))
                .unwrap_or_default()
        };
        Ok(Window {
            seconds: (to - start.at) as f64 / clock::SECOND as f64,
            traffic,
            dispatchers: self
                .workers
                .iter()
                .map(|w| self.dispatcher_usage(w, start.at, to))
                .collect(),
            writer: control(&self.controls[0]),
            followers: self.controls[1..].iter().map(control).collect(),
        })
    }

    fn dispatcher_usage(&self, worker: &Worker, from: Nanos, to: Nanos) -> DispatcherUsage {
        let usage = self.sampler.usage(worker.process.pid(), from, to);
        let count = worker.dispatchers.len();
        let grown = usage
            .largest_resident_bytes
            .saturating_sub(worker.empty_bytes);
        DispatcherUsage {
            cores: usage.cores / count as f64,
            resident_bytes: grown / count as u64,
        }
    }

    /// The processes of all roles, and the parent.
    pub fn process_count(&self) -> usize {
        self.workers.len() + self.controls.len() + 1
    }

    /// Compares what is in force everywhere with what was written: the buckets that differ.
    pub fn wrong_buckets(&mut self) -> Result<Vec<WrongBucket>> {
        self.answers.digests.clear();
        self.order_all(&Order::Digest)?;
        let count = self.workers.len();
        self.expect("all workers tell their digests", ANSWERS_WITHIN, |f| {
            f.answers.digests.len() == count
        })?;
        let digests: Vec<BucketDigest> = self.answers.digests.drain(..).flatten().collect();
        Ok(self.compare(&digests))
    }

    fn compare(&self, digests: &[BucketDigest]) -> Vec<WrongBucket> {
        let expected = self.expected();
        let mut found: BTreeMap<(DispatcherIndex, BucketId), Expected> = BTreeMap::new();
        for digest in digests {
            let told = Expected {
                entries: digest.entries,
                digest: digest.digest,
            };
            found.insert((digest.dispatcher, digest.bucket), told);
        }
        let mut wrong = vec![];
        for replica in self.holders.replicas() {
            let told = found
                .remove(&(replica.dispatcher, replica.bucket))
                .unwrap_or_default();
            let expected = expected.get(&replica.bucket).copied().unwrap_or_default();
            if told != expected {
                wrong.push(WrongBucket {
                    dispatcher: replica.dispatcher,
                    bucket: replica.bucket,
                    entries: told.entries,
                    expected_entries: expected.entries,
                });
            }
        }
        // What is left is in force without being held.
        let kept = found
            .into_iter()
            .map(|((dispatcher, bucket), told)| WrongBucket {
                dispatcher,
                bucket,
                entries: told.entries,
                expected_entries: 0,
            });
        wrong.extend(kept);
        wrong
    }

    fn expected(&self) -> BTreeMap<BucketId, Expected> {
        let mut expected: BTreeMap<BucketId, Expected> = BTreeMap::new();
        for destination in 0..self.plan.options.destinations {
            let entry = match self.written.get(&destination) {
                Some(entry) => entry.clone(),
                None => self.plan.entry(destination),
            };
            let Some(address) = entry.addr.and_then(|address| address.parse().ok()) else {
                continue;
            };
            let of_bucket = expected
                .entry(self.plan.bucket_of(destination))
                .or_default();
            of_bucket.entries += 1;
            of_bucket.digest ^= fingerprint(&entry.id, address);
        }
        expected
    }
}

/// An empty directory, whatever was there.
fn renew_directory(directory: &Path) -> Result<()> {
    if directory.exists() {
        std::fs::remove_dir_all(directory).with_context(|| directory.display().to_string())?;
    }
    std::fs::create_dir_all(directory).with_context(|| directory.display().to_string())
}
