//! What is torn, flipped or too long is refused with an error, counted, and changes nothing that is in force.

use super::bad_server::{BAD_ANSWERS, BadServer};
use super::control_process::{
    ControlPlace, ControlProcess, RefusedRequests, free_addresses, state_file,
};
use super::events::Event;
use super::fleet::Fleet;
use super::messages::{BucketDigest, Order, Report, StartFrom, Status};
use super::plan::DispatcherIndex;
use super::player::Player;
use super::report::{Outcome, seconds_or_never};
use super::worker_process::WorkerProcess;
use anyhow::{Context, Result, bail};
use bellsill_directory::line::{EndpointEntry, Version};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

const WITHIN: Duration = Duration::from_secs(60);
/// A damaged control process that refuses does so within this.
const CONTROL_DECIDES_WITHIN: Duration = Duration::from_secs(5);
/// What is written is seen by dispatchers within this, if at all.
const SEEN_WITHIN: Duration = Duration::from_secs(2);
/// A name that makes any line longer than a dispatcher reads.
const OVERLONG_NAME: usize = 1024 * 1024;
/// Times that each bad answer is given.
const ROUNDS: usize = 2;

/// How the bytes of a file are damaged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Damage {
    /// The last bytes are missing.
    TornTail,
    /// One bit in the middle is another.
    FlippedBit,
    /// The second half is missing.
    Half,
}

const DAMAGES: [Damage; 3] = [Damage::TornTail, Damage::FlippedBit, Damage::Half];
const TORN_BYTES: usize = 7;

impl Damage {
    fn apply(self, file: &Path) -> Result<()> {
        let mut bytes = std::fs::read(file).with_context(|| file.display().to_string())?;
        match self {
            Damage::TornTail => bytes.truncate(bytes.len().saturating_sub(TORN_BYTES)),
            Damage::Half => bytes.truncate(bytes.len() / 2),
            Damage::FlippedBit => {
                let middle = bytes.len() / 2;
                bytes[middle] ^= 1;
            }
        }
        Ok(std::fs::write(file, bytes)?)
    }
}

pub fn play(player: &mut Player) -> Result<Outcome> {
    let mut outcome = Outcome::new("what is torn, flipped or too long");
    let before = player.before()?;
    bad_lines(&mut player.fleet, &mut outcome)?;
    bad_state_files(&mut player.fleet, &mut outcome)?;
    bad_writes(&mut player.fleet, &mut outcome)?;
    bad_control_files(&mut player.fleet, &mut outcome)?;
    player.settle(&mut outcome, "in the end")?;
    player.tell_since(&mut outcome, &before, "all of it")?;
    player.prove_writes(&mut outcome)?;
    Ok(outcome)
}

/// A worker beside the fleet, whose reports are read here.
struct LoneWorker {
    process: WorkerProcess,
    events: Receiver<Event>,
    status: Status,
    faults: Vec<String>,
}

impl LoneWorker {
    fn start(fleet: &Fleet, server: &BadServer, state_directory: &Path) -> Result<LoneWorker> {
        let (sender, events) = channel();
        let mut options = fleet.worker_options(vec![server.address])?;
        options.state_directory = state_directory.to_path_buf();
        let log = fleet.options.work.join("worker-lone.log");
        let process = WorkerProcess::start(&std::env::current_exe()?, 0, &options, &log, sender)?;
        Ok(LoneWorker {
            process,
            events,
            status: Status::default(),
            faults: vec![],
        })
    }

    /// Takes reports until there is one that the caller wants.
    fn until<T>(&mut self, mut wanted: impl FnMut(&LoneWorker, &Report) -> Option<T>) -> Result<T> {
        let began = Instant::now();
        while began.elapsed() < WITHIN {
            let Event::Report { report, .. } = self.events.recv_timeout(WITHIN)? else {
                bail!("the worker has ended");
            };
            match &report {
                Report::Status(status) => self.status = status.clone(),
                Report::Fault { what, .. } => self.faults.push(what.clone()),
                _ => {}
            }
            if let Some(found) = wanted(self, &report) {
                return Ok(found);
            }
        }
        bail!("not within {WITHIN:?}")
    }

    fn digests(&mut self) -> Result<Vec<BucketDigest>> {
        self.process.order(&Order::Digest)?;
        self.until(|_, report| match report {
            Report::Digests(digests) => Some(digests.clone()),
            _ => None,
        })
    }
}

/// Stops a dispatcher of the fleet, takes a copy of its state file, and starts it again.
fn copy_state(fleet: &mut Fleet, dispatcher: DispatcherIndex, to: &Path) -> Result<PathBuf> {
    let name = fleet.plan.dispatcher_name(dispatcher);
    let holds = move |fleet: &Fleet| {
        fleet
            .holders
            .replicas()
            .iter()
            .any(|r| r.dispatcher == dispatcher)
    };
    fleet.stop_dispatchers(&[dispatcher])?;
    fleet.wait(WITHIN, |fleet| !holds(fleet))?;
    std::fs::create_dir_all(to)?;
    let copy = state_file(to, &name);
    std::fs::copy(state_file(&fleet.state_directory(), &name), &copy)?;
    fleet.start_dispatchers(&[dispatcher], StartFrom::StateFile)?;
    fleet.wait(WITHIN, holds)?;
    Ok(copy)
}

/// A dispatcher is told bad lines of every kind.
fn bad_lines(fleet: &mut Fleet, outcome: &mut Outcome) -> Result<()> {
    let dispatcher = DispatcherIndex(0);
    let directory = fleet.options.work.join("bad-lines");
    copy_state(fleet, dispatcher, &directory)?;
    let server = BadServer::start()?;
    let mut worker = LoneWorker::start(fleet, &server, &directory)?;
    worker.process.order(&Order::Start {
        dispatchers: vec![dispatcher],
        from: StartFrom::StateFile,
    })?;
    let before = worker.digests()?;
    let rounds = BAD_ANSWERS.len() * ROUNDS;
    worker.until(|_, report| {
        let status = matches!(report, Report::Status(_));
        (status && server.answered() >= rounds).then_some(())
    })?;
    let after = worker.digests()?;
    // A torn line is never whole, so there is nothing to refuse.
    let refusals = (rounds - ROUNDS) as u64;
    let refused = worker.status.faults.refused_lines;
    outcome.check(
        "bad lines: refused and counted",
        refused,
        format!(">= {refusals}"),
        refused >= refusals,
    );
    outcome.tell("bad lines: as they were told", worker.faults.join("; "));
    let same = before == after && !before.is_empty();
    let text = if same { "the same" } else { "another" };
    outcome.check(
        format!("bad lines: what is in force of {} buckets", before.len()),
        text,
        "the same",
        same,
    );
    Ok(())
}

/// Dispatchers of the fleet start from damaged state files: they refuse them and are filled anew.
fn bad_state_files(fleet: &mut Fleet, outcome: &mut Outcome) -> Result<()> {
    let chosen: Vec<DispatcherIndex> = fleet.plan.dispatchers().take(DAMAGES.len()).collect();
    for (dispatcher, damage) in chosen.into_iter().zip(DAMAGES) {
        bad_state_file(fleet, outcome, dispatcher, damage)?;
    }
    Ok(())
}

fn held_buckets(fleet: &Fleet, dispatcher: DispatcherIndex) -> usize {
    fleet
        .holders
        .replicas()
        .iter()
        .filter(|replica| replica.dispatcher == dispatcher)
        .count()
}

fn bad_state_file(
    fleet: &mut Fleet,
    outcome: &mut Outcome,
    dispatcher: DispatcherIndex,
    damage: Damage,
) -> Result<()> {
    let refused_before = fleet.fault_counts().refused_state_files;
    let held_before = held_buckets(fleet, dispatcher);
    fleet.stop_dispatchers(&[dispatcher])?;
    fleet.wait(WITHIN, |fleet| held_buckets(fleet, dispatcher) == 0)?;
    let name = fleet.plan.dispatcher_name(dispatcher);
    damage.apply(&state_file(&fleet.state_directory(), &name))?;
    fleet.faults.clear();
    fleet.start_dispatchers(&[dispatcher], StartFrom::StateFile)?;
    let filled = fleet.wait(WITHIN, |fleet| {
        held_buckets(fleet, dispatcher) == held_before
    })?;
    fleet.wait(WITHIN, |fleet| {
        fleet.fault_counts().refused_state_files > refused_before
    })?;
    let refused = fleet.fault_counts().refused_state_files - refused_before;
    let label = format!("state file, {damage:?}");
    outcome.check(
        format!("{label}: refused and counted"),
        refused,
        "1",
        refused == 1,
    );
    outcome.tell(format!("{label}: as it was told"), fleet.faults.join("; "));
    outcome.check(
        format!("{label}: {held_before} buckets filled anew after"),
        seconds_or_never(filled),
        "all are",
        filled.is_some(),
    );
    Ok(())
}

/// A request that the writer must refuse.
struct BadWrite {
    what: &'static str,
    body: Vec<u8>,
}

fn bad_requests(fleet: &Fleet) -> Result<Vec<BadWrite>> {
    let good = serde_json::to_vec(&fleet.plan.replaced_entry(0, 2))?;
    let overlong = EndpointEntry {
        id: "x".repeat(OVERLONG_NAME),
        ..fleet.plan.entry(0)
    };
    let mut flipped = good.clone();
    flipped[0] ^= 1;
    let torn = good[..good.len() / 2].to_vec();
    let second_bad = [good.as_slice(), b"\n{\"id\":1}"].concat();
    Ok(vec![
        BadWrite {
            what: "too long",
            body: serde_json::to_vec(&overlong)?,
        },
        BadWrite {
            what: "flipped bit",
            body: flipped,
        },
        BadWrite {
            what: "torn",
            body: torn,
        },
        BadWrite {
            what: "good line, then a bad one",
            body: second_bad,
        },
    ])
}

fn bad_writes(fleet: &mut Fleet, outcome: &mut Outcome) -> Result<()> {
    let writer = fleet.controls[0].client();
    let before = writer.figures()?;
    let requests = bad_requests(fleet)?;
    for BadWrite { what, body } in &requests {
        let answer = writer.post_bytes("/api/targets", body);
        let held = answer.is_err();
        let said = answer.map_or_else(|e| format!("{e:#}"), |said| format!("taken: {said}"));
        outcome.check(
            format!("bad write, {what}"),
            first_line(&said),
            "refused",
            held,
        );
    }
    let after = writer.figures()?;
    let count = |refused: RefusedRequests| refused.malformed + refused.too_large;
    let counted = count(after.refused) - count(before.refused);
    let sent = requests.len() as u64;
    outcome.check(
        "bad writes: counted",
        counted,
        sent.to_string(),
        counted == sent,
    );
    let kept = before.version == after.version;
    outcome.check(
        "bad writes: version",
        format!("{:?}", after.version),
        "as before",
        kept,
    );
    fleet.run_for(SEEN_WITHIN)?;
    tell_wrong_buckets(fleet, outcome, "bad writes")
}

fn tell_wrong_buckets(fleet: &mut Fleet, outcome: &mut Outcome, label: &str) -> Result<()> {
    let wrong = fleet.wrong_buckets()?.len() as u64;
    outcome.none(
        format!("{label}: buckets in force that are not as written"),
        wrong,
    );
    Ok(())
}

fn first_line(text: &str) -> String {
    text.lines()
        .next()
        .unwrap_or_default()
        .chars()
        .take(160)
        .collect()
}

/// A follower starts from damaged files: it must say so, or miss nothing; nothing in force changes.
fn bad_control_files(fleet: &mut Fleet, outcome: &mut Outcome) -> Result<()> {
    let number = fleet.controls.len() - 1;
    if number == 0 {
        return Ok(());
    }
    let version = fleet.controls[number].client().figures()?.version;
    fleet.controls[number].kill();
    let directory = fleet.controls[number].state_directory();
    for file in files_in(&directory)? {
        for damage in DAMAGES {
            bad_control_file(fleet, outcome, number, version, &file, damage)?;
        }
    }
    bad_writer_lines(fleet, outcome, &directory)?;
    fleet.start_control_processes(&[number])
}

fn files_in(directory: &Path) -> Result<Vec<PathBuf>> {
    let mut files = vec![];
    for entry in std::fs::read_dir(directory)? {
        let path = entry?.path();
        if path.is_file() && path.metadata()?.len() > TORN_BYTES as u64 {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// Damages one file, starts the process, says what it did, and puts the file back.
fn bad_control_file(
    fleet: &mut Fleet,
    outcome: &mut Outcome,
    number: usize,
    version: Version,
    file: &Path,
    damage: Damage,
) -> Result<()> {
    let directory = fleet.controls[number].state_directory();
    let kept = directory.with_extension("kept");
    copy_files(&directory, &kept)?;
    damage.apply(file)?;
    let whole = format!(
        "at version {} with {} endpoints",
        version.0, fleet.plan.options.destinations
    );
    let control = &mut fleet.controls[number];
    let logged = control.log().len();
    control.start()?;
    let ended = control.ends_within(CONTROL_DECIDES_WITHIN);
    let lines = control.log().split_off(logged);
    control.kill();
    let state = directory.display().to_string();
    let said: Vec<String> = lines
        .lines()
        .filter(|line| line.contains(&state))
        .map(first_line)
        .collect();
    let name = file
        .file_name()
        .map(|name| name.to_string_lossy().into_owned())
        .unwrap_or_default();
    let label = format!("control, {name}, {damage:?}");
    let did = match (ended, lines.contains(&whole)) {
        (true, _) => "ended",
        (false, true) => "began with all there was",
        (false, false) => "began with less",
    };
    let value = format!("{did}; said: {}", said.join("; "));
    // A file that a later snapshot has replaced is not read any more.
    let held = !said.is_empty() || lines.contains(&whole);
    outcome.check(&label, value, "says so, or misses nothing", held);
    std::fs::remove_dir_all(&directory)?;
    std::fs::rename(&kept, &directory)?;
    tell_wrong_buckets(fleet, outcome, &label)
}

/// A follower beside the fleet is told bad lines by what it takes for the writer.
fn bad_writer_lines(fleet: &mut Fleet, outcome: &mut Outcome, state: &Path) -> Result<()> {
    let server = BadServer::start()?;
    let listen = free_addresses(1)?[0];
    let place = ControlPlace {
        name: "control-lone".to_string(),
        listen,
        writer: Some(server.address),
    };
    let mut follower = ControlProcess::prepare(&fleet.options, &fleet.plan, place)?;
    copy_files(state, &follower.state_directory())?;
    follower.start()?;
    follower.wait_until_ready(Version::default())?;
    let client = follower.client();
    let before = client.figures()?;
    let rounds = BAD_ANSWERS.len() * ROUNDS;
    let refusals = (rounds - ROUNDS) as u64;
    let enough = |_: &Fleet| {
        server.answered() > rounds
            && client
                .figures()
                .is_ok_and(|figures| figures.writer_lines_refused >= refusals)
    };
    fleet.wait(WITHIN, enough)?;
    let after = client.figures()?;
    let refused = after.writer_lines_refused;
    let label = "bad lines to a follower";
    outcome.check(
        format!(
            "{label}: refused and counted, of {} connections",
            server.answered()
        ),
        refused,
        format!(">= {refusals}"),
        refused >= refusals,
    );
    let kept = before.version == after.version;
    outcome.check(
        format!("{label}: version"),
        format!("{:?}", after.version),
        "as before",
        kept,
    );
    Ok(())
}

fn copy_files(from: &Path, to: &Path) -> Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let path = entry?.path();
        if let Some(name) = path.file_name().filter(|_| path.is_file()) {
            std::fs::copy(&path, to.join(name))?;
        }
    }
    Ok(())
}
