//! Starts, terminates, kills and restarts the dispatcher processes, and samples their resource usage. A restarted dispatcher
//! keeps its state directory.

use super::config::config;
use super::state::{DispatcherProcess, Pool, Shared};
use super::{clients, platform};
use crate::cost::Usage;
use crate::record::Observation;
use crate::world::plan::DispatcherSignal;
use crate::world::time::START;
use anyhow::{Context, Result};
use rustix::process::{Pid, Signal, kill_process};
use std::path::Path;
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};

/// Time limit for each dispatcher to become ready at the start of a run.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// A process that is still running this long after SIGTERM is killed.
const TERMINATION_TIMEOUT: Duration = Duration::from_millis(3_700);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

pub(super) async fn start_all(shared: &Rc<Shared>, program: &Path, work: &Path) -> Result<()> {
    let (count, net) = {
        let s = shared.state.borrow();
        (s.world.plan.spec.dispatchers.count, s.net)
    };
    let program = std::fs::canonicalize(program).with_context(|| program.display().to_string())?;
    for d in 0..count {
        let folder = work.join(format!("net{}-d{d}", net.0));
        // No state or log of an earlier run may remain.
        if folder.exists() {
            std::fs::remove_dir_all(&folder).with_context(|| folder.display().to_string())?;
        }
        std::fs::create_dir_all(folder.join("state"))
            .with_context(|| folder.display().to_string())?;
        let process = DispatcherProcess {
            program: program.clone(),
            folder,
            child: None,
            shutting_down: false,
            starts: 0,
            usage: Usage {
                dispatcher: d,
                ..Default::default()
            },
            sampled: None,
        };
        shared.dispatchers.borrow_mut().push(process);
        spawn(shared, d)?;
    }
    for d in 0..count {
        let at = shared.state.borrow().net.listen(d);
        let ready = tokio::time::timeout(READY_TIMEOUT, clients::wait_until_ready(at)).await;
        ready.with_context(|| {
            let folder = shared.dispatchers.borrow()[d].folder.display().to_string();
            format!("dispatcher {d} did not become ready; its log is in {folder}")
        })?;
        shared
            .state
            .borrow_mut()
            .observe(Observation::Ready { dispatcher: d });
    }
    Ok(())
}

fn spawn(shared: &Rc<Shared>, d: usize) -> Result<()> {
    let mut dispatchers = shared.dispatchers.borrow_mut();
    let process = &mut dispatchers[d];
    process.starts += 1;
    let mut state = shared.state.borrow_mut();
    let json = config(&state, d, process.starts);
    let version = state.published[d];
    platform::record_written(&mut state, d, version);
    state.observe(Observation::Started { dispatcher: d });
    let file = process.folder.join("config.json");
    std::fs::write(&file, json.to_string()).with_context(|| file.display().to_string())?;
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(process.folder.join("log"))?;
    let child = Command::new(&process.program)
        .arg("serve")
        .arg("--config")
        .arg(&file)
        .arg("--state")
        .arg(process.folder.join("state"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .kill_on_drop(true)
        .spawn()
        .with_context(|| process.program.display().to_string())?;
    process.child = Some(child);
    process.sampled = None;
    Ok(())
}

fn pid(process: &DispatcherProcess) -> Option<Pid> {
    process
        .child
        .as_ref()
        .and_then(Child::id)
        .and_then(|id| Pid::from_raw(id as i32))
}

/// Carries out a signal of the plan in a separate task.
pub(super) fn signal(shared: &Rc<Shared>, d: usize, signal: DispatcherSignal) {
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        match signal {
            DispatcherSignal::Kill => end(&shared, d, false).await,
            DispatcherSignal::Terminate => end(&shared, d, true).await,
            DispatcherSignal::Start => start(&shared, d).await,
        }
    });
}

/// Ends a dispatcher's process: with SIGTERM first if `graceful`, and with SIGKILL at once or after the timeout.
async fn end(shared: &Rc<Shared>, d: usize, graceful: bool) {
    let child = {
        let mut dispatchers = shared.dispatchers.borrow_mut();
        if let Some(pid) = pid(&dispatchers[d]).filter(|_| graceful) {
            // Fails if the process has just exited by itself.
            let _ = kill_process(pid, Signal::TERM);
        }
        let child = dispatchers[d].child.take();
        dispatchers[d].shutting_down |= child.is_some();
        child
    };
    let Some(mut child) = child else { return };
    let in_time = graceful
        && tokio::time::timeout(TERMINATION_TIMEOUT, child.wait())
            .await
            .is_ok();
    if !in_time {
        let _ = child.kill().await;
    }
    record_stop(shared, d);
}

fn record_stop(shared: &Rc<Shared>, d: usize) {
    let mut dispatchers = shared.dispatchers.borrow_mut();
    let process = &mut dispatchers[d];
    (process.shutting_down, process.sampled) = (false, None);
    shared.clients.borrow_mut()[d] = Pool::default();
    shared.with(|s| s.observe(Observation::Stopped { dispatcher: d }));
}

async fn start(shared: &Rc<Shared>, d: usize) {
    // Waits for a previous process that is still shutting down.
    while shared.dispatchers.borrow()[d].shutting_down && !*shared.finished.borrow() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    if *shared.finished.borrow() || shared.dispatchers.borrow()[d].child.is_some() {
        return;
    }
    if let Err(e) = spawn(shared, d) {
        return shared.with(|s| s.fault(format!("dispatcher {d} could not be restarted: {e:#}")));
    }
    let at = shared.state.borrow().net.listen(d);
    clients::wait_until_ready(at).await;
    shared.with(|s| s.observe(Observation::Ready { dispatcher: d }));
}

/// Returns the CPU seconds, resident megabytes and open file descriptors of a process.
fn read_usage(pid: u32) -> Option<(f64, f64, u64)> {
    // `schedstat` counts in nanoseconds, `stat` only in ticks of 10 ms. It covers only the main thread, which is enough
    // because the dispatcher has one thread.
    let stat = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
    let cpu = stat.split_whitespace().next()?.parse::<f64>().ok()? / 1e9;
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: f64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    let fds = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |d| d.count() as u64);
    Some((cpu, pages * rustix::param::page_size() as f64 / 1e6, fds))
}

/// Samples the usage of each dispatcher periodically, and records a fault for one that exited unexpectedly.
pub(super) async fn watch(shared: Rc<Shared>) {
    loop {
        let count = shared.dispatchers.borrow().len();
        for d in 0..count {
            sample(&shared, d);
        }
        {
            let mut s = shared.state.borrow_mut();
            let at = (s.now() - START) as f64 / 1e9;
            let open = s.ledger.audit.unresolved();
            s.open.push((at, open));
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

fn sample(shared: &Rc<Shared>, d: usize) {
    let at = (shared.now() - START) as f64 / 1e9;
    let mut exit_status = None;
    {
        let mut dispatchers = shared.dispatchers.borrow_mut();
        let process = &mut dispatchers[d];
        let Some(child) = &mut process.child else {
            return;
        };
        // A process that is being ended on purpose has already been taken out of `child`.
        if let Ok(Some(status)) = child.try_wait() {
            exit_status = Some(status);
            process.child = None;
        } else if let Some((cpu, mb, fds)) = child.id().and_then(read_usage) {
            let now = Instant::now();
            if let Some((last_time, last_cpu)) = process.sampled {
                let share = (cpu - last_cpu) / now.duration_since(last_time).as_secs_f64();
                process.usage.samples.push((at, share, mb, fds));
            }
            process.sampled = Some((now, cpu));
            process.usage.peak_mb = process.usage.peak_mb.max(mb);
        }
    }
    if let Some(status) = exit_status {
        shared.with(|s| {
            s.fault(format!(
                "dispatcher {d} exited unexpectedly at {at:.3} s: {status}"
            ))
        });
        record_stop(shared, d);
    }
}

/// Kills all processes and returns the usage of each.
pub(super) async fn end_all(shared: &Rc<Shared>) -> Vec<Usage> {
    let count = shared.dispatchers.borrow().len();
    (0..count).for_each(|d| sample(shared, d));
    for d in 0..count {
        let child = shared.dispatchers.borrow_mut()[d].child.take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }
    let mut dispatchers = shared.dispatchers.borrow_mut();
    dispatchers.drain(..).map(|process| process.usage).collect()
}
