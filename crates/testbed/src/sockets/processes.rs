//! The dispatchers' processes: started, asked to shut down, killed and started again with the folder that lasts; and what they use.

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

/// All dispatchers must be there within this.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// SIGKILL comes this long after SIGTERM.
const TERM_TO_KILL: Duration = Duration::from_millis(3_700);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

pub(super) async fn start_all(shared: &Rc<Shared>, program: &Path, work: &Path) -> Result<()> {
    let (count, net) = {
        let s = shared.state.borrow();
        (s.world.plan.spec.dispatchers.count, s.net)
    };
    let program = std::fs::canonicalize(program).with_context(|| program.display().to_string())?;
    for d in 0..count {
        let folder = work.join(format!("net{}-d{d}", net.0));
        // Nothing of an earlier run may remain.
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
        let there = tokio::time::timeout(READY_WITHIN, clients::ready(at)).await;
        there.with_context(|| {
            let folder = shared.dispatchers.borrow()[d].folder.display().to_string();
            format!("dispatcher {d} did not get ready; its log is in {folder}")
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
    platform::note_written(&mut state, d, version);
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

/// Carries out a signal of the script.
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

/// Ends a dispatcher's process: killed at once, or `asked` first and killed when its time is up.
async fn end(shared: &Rc<Shared>, d: usize, asked: bool) {
    let child = {
        let mut dispatchers = shared.dispatchers.borrow_mut();
        if let Some(pid) = pid(&dispatchers[d]).filter(|_| asked) {
            // It may just have ended by itself.
            let _ = kill_process(pid, Signal::TERM);
        }
        let child = dispatchers[d].child.take();
        dispatchers[d].shutting_down |= child.is_some();
        child
    };
    let Some(mut child) = child else { return };
    let in_time = asked
        && tokio::time::timeout(TERM_TO_KILL, child.wait())
            .await
            .is_ok();
    if !in_time {
        let _ = child.kill().await;
    }
    ended(shared, d);
}

fn ended(shared: &Rc<Shared>, d: usize) {
    let mut dispatchers = shared.dispatchers.borrow_mut();
    let process = &mut dispatchers[d];
    (process.shutting_down, process.sampled) = (false, None);
    shared.clients.borrow_mut()[d] = Pool::default();
    shared.with(|s| s.observe(Observation::Stopped { dispatcher: d }));
}

async fn start(shared: &Rc<Shared>, d: usize) {
    // A process that is shutting down may take until it is killed.
    while shared.dispatchers.borrow()[d].shutting_down && !*shared.over.borrow() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    if *shared.over.borrow() || shared.dispatchers.borrow()[d].child.is_some() {
        return;
    }
    if let Err(e) = spawn(shared, d) {
        return shared
            .with(|s| s.fault(format!("dispatcher {d} could not be started again: {e:#}")));
    }
    let at = shared.state.borrow().net.listen(d);
    clients::ready(at).await;
    shared.with(|s| s.observe(Observation::Ready { dispatcher: d }));
}

/// Processor seconds, resident megabytes and descriptors of a process.
fn used(pid: u32) -> Option<(f64, f64, u64)> {
    // In nanoseconds, where the ticks of `stat` are hundredths of a second. The daemon is one thread.
    let stat = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
    let cpu = stat.split_whitespace().next()?.parse::<f64>().ok()? / 1e9;
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: f64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    let fds = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |d| d.count() as u64);
    Some((cpu, pages * rustix::param::page_size() as f64 / 1e6, fds))
}

/// Samples what each dispatcher uses, and notes one that ended unasked.
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
    let mut crashed = None;
    {
        let mut dispatchers = shared.dispatchers.borrow_mut();
        let process = &mut dispatchers[d];
        let Some(child) = &mut process.child else {
            return;
        };
        // One that was asked to shut down is no longer here.
        if let Ok(Some(status)) = child.try_wait() {
            crashed = Some(status);
            process.child = None;
        } else if let Some((cpu, mb, fds)) = child.id().and_then(used) {
            let now = Instant::now();
            if let Some((before, was)) = process.sampled {
                let share = (cpu - was) / now.duration_since(before).as_secs_f64();
                process.usage.samples.push((at, share, mb, fds));
            }
            process.sampled = Some((now, cpu));
            process.usage.peak_mb = process.usage.peak_mb.max(mb);
        }
    }
    if let Some(status) = crashed {
        shared.with(|s| {
            s.fault(format!(
                "dispatcher {d} ended by itself at {at:.3} s: {status}"
            ))
        });
        ended(shared, d);
    }
}

/// All processes end; what each used.
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
