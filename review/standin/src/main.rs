//! The cases of the review: `review-standin CASE ROOT RECORD`. `TROUBLE=0` leaves the disruption out. Ends with 1 if
//! the rule was broken, 0 if it held, 2 if the case could not run.

mod order;
mod process;
mod quota;
mod second_process;
mod settings;
mod world;

use process::{Process, Start};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use world::{Message, World};

/// A message is lost that has no end this long after its time: 300 ms, and the 50 ms that every limit is longer on
/// sockets.
const ANSWER_GRACE: u64 = 350;
/// The whole case ends after this time at the latest.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// A deployment with one dispatcher.
pub struct Site {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub listen: String,
    pub world: Arc<World>,
    pub trouble: bool,
}

impl Site {
    fn new(root: PathBuf, trouble: bool) -> Site {
        let folder = folder();
        for name in ["state", "tmp"] {
            std::fs::create_dir_all(folder.join(name)).expect("a temporary folder");
        }
        Site {
            root,
            folder,
            listen: free_address(),
            world: World::start(),
            trouble,
        }
    }

    /// Writes the configuration with these settings.
    pub fn write_config(&self, settings: &str, disk_mb: f64) {
        let config = format!(
            "{{\"name\":\"n0\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":{disk_mb}}},\
             \"known\":{},\"settings\":{settings}}}",
            self.listen,
            self.world.discovery,
            self.world.list()
        );
        std::fs::write(self.folder.join("config.json"), config).expect("the configuration file");
    }

    /// Starts `run` once more, with an operators' address of its own.
    pub fn start(&self, name: &str) -> Process {
        let mgmt = free_address();
        self.world.note(format!("platform: {name} is started"));
        Process::start(&Start {
            root: &self.root,
            folder: &self.folder,
            name,
            listen: &self.listen,
            discovery: &self.world.discovery,
            mgmt: &mgmt,
        })
    }

    /// Starts the first process and waits until it is ready.
    pub fn start_first(&self, name: &str) -> Result<Process, String> {
        let mut process = self.start(name);
        if !process.wait_ready(Duration::from_secs(10)) || !world::pongs(&self.listen) {
            return Err(format!("{name} is not ready: {}", self.log(name)));
        }
        self.world.note(format!("platform: {name} is ready"));
        Ok(process)
    }

    /// The log of a process.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Judges the rule "no mail is lost": each message that was taken on has ended, by a 200 or by a notice, at most
    /// `ANSWER_GRACE` after its time, or by `excused_until`. The run must have gone on until then.
    pub fn judge_lost(&self, excused_until: u64) -> Verdict {
        let messages = self.world.messages.lock().expect("a lock").clone();
        let taken: Vec<(&String, &Message)> =
            messages.iter().filter(|m| m.1.taken.is_some()).collect();
        let due = |m: &Message| (m.deadline() + ANSWER_GRACE).max(excused_until);
        let now = self.world.now();
        if taken.is_empty() || taken.iter().any(|m| due(m.1) > now) {
            return Verdict::NotRun("no message was taken on, or the run was too short".into());
        }
        let lost: Vec<_> = taken
            .iter()
            .filter(|(_, m)| m.end().is_none_or(|end| end > due(m)))
            .collect();
        let never = lost.iter().filter(|(_, m)| m.end().is_none()).count();
        let uncalled = lost.iter().filter(|(_, m)| m.calls.is_empty()).count();
        self.world.note(format!(
            "result: {} handed in, {} taken on, {} of these delivered, {} ended by a notice, {} lost ({never} of them \
             with no end at all, {uncalled} without any call to an endpoint)",
            messages.len(),
            taken.len(),
            taken.iter().filter(|(_, m)| !m.delivered.is_empty()).count(),
            taken.iter().filter(|(_, m)| m.delivered.is_empty() && !m.notices.is_empty()).count(),
            lost.len(),
        ));
        for (id, m) in &lost {
            self.world.note(format!(
                "lost: {id}: taken on at {} ms, its time was up at {} ms, end: {}",
                m.taken.unwrap_or(0),
                m.deadline(),
                m.end().map_or("none".into(), |end| format!("{end} ms")),
            ));
        }
        if lost.is_empty() {
            Verdict::Held
        } else {
            Verdict::Broken
        }
    }

    fn write_record(&self, path: &Path, verdict: &str) {
        let mut text = format!("{verdict}\n\ntimes are milliseconds of the run\n\n");
        for (at, line) in self.world.lines.lock().expect("a lock").iter() {
            text += &format!("{at:>7} {line}\n");
        }
        text += "\nmessages: id, class, destination, bytes, sent, time up, taken on, calls (run), 200 written, notices\n";
        for (id, m) in self.world.messages.lock().expect("a lock").iter() {
            text += &format!(
                "{id} {} {} {} {} {} {} {:?} {:?} {:?}\n",
                m.class,
                m.dest,
                m.body.len(),
                m.sent,
                m.deadline(),
                m.taken.map_or("-".into(), |t| t.to_string()),
                m.calls,
                m.delivered,
                m.notices
            );
        }
        for name in ["old", "new"] {
            text += &format!("\nlog of the process `{name}`:\n{}", self.log(name));
        }
        std::fs::write(path, text).expect("the record");
    }
}

/// The case's own temporary folder.
fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("bellsill-review-{}", std::process::id()))
}

/// A free loopback address.
fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").to_string()
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE ROOT RECORD");
        std::process::exit(2);
    };
    // A case that fails by itself could not run. The processes end with this one (see `Process::start`).
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("the case could not run: {panic}");
        std::fs::remove_dir_all(folder()).ok();
        std::process::exit(2);
    }));
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        panic!("it took too long");
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let site = Site::new(root.into(), trouble);
    let verdict = match case.as_str() {
        "second-process" => second_process::run(&site),
        "order" => order::run(&site),
        "quota" => quota::run(&site),
        _ => Err(format!("no such case: {case}")),
    };
    let (code, text) = match verdict.unwrap_or_else(Verdict::NotRun) {
        Verdict::Held => (0, "the rule held".to_string()),
        Verdict::Broken => (1, "the rule was broken".to_string()),
        Verdict::NotRun(why) => (2, format!("the case could not run: {why}")),
    };
    let text = format!(
        "{case}, {} the disruption: {text}",
        if trouble { "with" } else { "without" }
    );
    site.write_record(Path::new(record), &text);
    std::fs::remove_dir_all(&site.folder).ok();
    println!("{text}");
    let lines = site.world.lines.lock().expect("a lock");
    lines
        .iter()
        .filter(|l| l.1.starts_with("result: "))
        .for_each(|l| println!("{}", l.1));
    std::process::exit(code);
}
