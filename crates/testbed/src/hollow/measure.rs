//! Processor time and memory of processes, sampled once a second.

use super::clock;
use bellsill_core::interface::Nanos;
use procfs::process::Process;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

const SAMPLE_EVERY: Duration = Duration::from_secs(1);

/// What a process had used by a moment.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    pub at: Nanos,
    pub processor_seconds: f64,
    pub resident_bytes: u64,
}

/// What a process used over a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Share of a core, on average.
    pub cores: f64,
    pub largest_resident_bytes: u64,
}

/// None for a process that has ended.
pub fn sample(pid: u32) -> Option<Sample> {
    let stat = Process::new(pid as i32).ok()?.stat().ok()?;
    let ticks = (stat.utime + stat.stime) as f64;
    let processor_seconds = ticks / procfs::ticks_per_second() as f64;
    let resident_bytes = stat.rss * procfs::page_size();
    Some(Sample {
        at: clock::now(),
        processor_seconds,
        resident_bytes,
    })
}

/// The samples of all processes that were named.
#[derive(Default)]
struct Samples {
    by_process: BTreeMap<u32, Vec<Sample>>,
    /// All processes together.
    largest_total_bytes: u64,
}

/// Samples processes in a thread of its own.
pub struct Sampler {
    samples: Arc<Mutex<Samples>>,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

fn locked(samples: &Mutex<Samples>) -> MutexGuard<'_, Samples> {
    samples.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Sampler {
    pub fn start() -> Self {
        let samples: Arc<Mutex<Samples>> = Arc::default();
        let over: Arc<AtomicBool> = Arc::default();
        let (of_thread, ends) = (Arc::clone(&samples), Arc::clone(&over));
        let thread = std::thread::spawn(move || {
            while !ends.load(Ordering::Relaxed) {
                sample_all(&of_thread);
                std::thread::sleep(SAMPLE_EVERY);
            }
        });
        Sampler {
            samples,
            over,
            thread: Some(thread),
        }
    }

    pub fn add(&self, pid: u32) {
        locked(&self.samples).by_process.insert(pid, vec![]);
    }

    pub fn sample_now(&self) {
        sample_all(&self.samples);
    }

    /// What a process used between two moments, by the samples between them.
    pub fn usage(&self, pid: u32, from: Nanos, to: Nanos) -> Usage {
        let samples = locked(&self.samples);
        let Some(all) = samples.by_process.get(&pid) else {
            return Usage::default();
        };
        let within: Vec<&Sample> = all.iter().filter(|s| (from..=to).contains(&s.at)).collect();
        let (Some(first), Some(last)) = (within.first(), within.last()) else {
            return Usage::default();
        };
        let span = (last.at - first.at) as f64 / clock::SECOND as f64;
        let used = last.processor_seconds - first.processor_seconds;
        Usage {
            cores: if span > 0.0 { used / span } else { 0.0 },
            largest_resident_bytes: within.iter().map(|s| s.resident_bytes).max().unwrap_or(0),
        }
    }

    pub fn largest_total_bytes(&self) -> u64 {
        locked(&self.samples).largest_total_bytes
    }
}

fn sample_all(samples: &Mutex<Samples>) {
    let pids: Vec<u32> = locked(samples).by_process.keys().copied().collect();
    let seen: Vec<(u32, Sample)> = pids
        .into_iter()
        .filter_map(|pid| Some((pid, sample(pid)?)))
        .collect();
    let mut samples = locked(samples);
    let total = seen.iter().map(|(_, sample)| sample.resident_bytes).sum();
    samples.largest_total_bytes = samples.largest_total_bytes.max(total);
    for (pid, sample) in seen {
        samples.by_process.entry(pid).or_default().push(sample);
    }
}

impl Drop for Sampler {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A sampler that panicked has nothing more to give.
            let _ = thread.join();
        }
    }
}
