//! A complete installation at small scale: three control processes and three dispatchers, each a process of the program, and a
//! link to the control processes that can be cut for each dispatcher.

use crate::client::{new_id, put};
use crate::dispatcher_process::{DispatcherProcess, Program};
use crate::endpoint::Endpoint;
use crate::stand_in::stand_in;
use crate::wait::wait_for;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Dispatchers `d0` to `d2` and control processes `c0` (the writer) to `c2`.
pub const SIZE: usize = 3;
const BUCKETS_PER_REGION: u32 = 16;
/// The dispatchers' zones. Each bucket is held in both.
const ZONES: [&str; SIZE] = ["north", "south", "north"];

/// A control process with its configuration and its log in a folder.
pub struct ControlProcess {
    program: Program,
    addr: String,
    dir: PathBuf,
    child: Option<Child>,
}

impl ControlProcess {
    fn new(
        program: Program,
        addr: String,
        folder: PathBuf,
        writer: Option<&str>,
    ) -> ControlProcess {
        std::fs::create_dir_all(folder.join("log")).unwrap();
        let role = match writer {
            None => "role = \"writer\"".to_string(),
            Some(writer) => format!("role = \"follower\"\nwriter = \"{writer}\""),
        };
        let text = format!(
            "name = \"control\"\nlisten = \"{addr}\"\nstate = \"{}\"\n{role}\n{}",
            folder.join("log").display(),
            layout()
        );
        std::fs::write(folder.join("control.toml"), text).unwrap();
        ControlProcess {
            program,
            addr,
            dir: folder,
            child: None,
        }
    }

    /// Starts it, and waits until it accepts connections.
    pub fn start(&mut self) {
        let mut command = Command::new(self.program.executable);
        command
            .arg("control")
            .arg("--config")
            .arg(self.dir.join("control.toml"))
            .arg("--log")
            .arg("warn");
        self.child = Some(command.spawn().unwrap());
        wait_for("a control process that is ready", || {
            TcpStream::connect(&self.addr).is_ok()
        });
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(self.child.as_ref().unwrap()), signal).unwrap();
    }

    /// Ends it by SIGKILL, if it runs.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }
}

impl Drop for ControlProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The layout as both kinds of processes are told it.
fn layout() -> String {
    format!(
        "buckets_per_region = {BUCKETS_PER_REGION}\n\
         zones = [{{name = \"north\", region = \"a\"}}, {{name = \"south\", region = \"a\"}}]\n"
    )
}

/// A link to one address: bytes go both ways until it is cut, then they wait, and new connections too.
#[derive(Clone)]
struct Link {
    addr: String,
    cut: Arc<AtomicBool>,
}

impl Link {
    fn to(target: String) -> Link {
        let cut = Arc::new(AtomicBool::new(false));
        let seen = Arc::clone(&cut);
        let addr = stand_in(move |near| {
            wait_until_healed(&seen);
            let Ok(far) = TcpStream::connect(&target) else {
                return;
            };
            let (near_again, far_again) = (near.try_clone().unwrap(), far.try_clone().unwrap());
            let there = Arc::clone(&seen);
            std::thread::spawn(move || carry(near_again, far_again, &there));
            carry(far, near, &seen);
        });
        Link { addr, cut }
    }
}

fn wait_until_healed(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn carry(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut bytes = [0; 4096];
    while let Ok(count) = from.read(&mut bytes) {
        wait_until_healed(cut);
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    to.shutdown(std::net::Shutdown::Both).ok();
    from.shutdown(std::net::Shutdown::Both).ok();
}

/// A dispatcher, and its links to the control processes.
pub struct Dispatcher {
    /// Its process.
    pub process: DispatcherProcess,
    links: Vec<Link>,
}

impl Dispatcher {
    fn new(program: Program, number: usize, control: &[ControlProcess]) -> Dispatcher {
        let mut process = DispatcherProcess::new(program, &[]);
        process.config["mgmt"] = process.admin_addr(0).into();
        let links: Vec<Link> = control
            .iter()
            .map(|process| Link::to(process.addr.clone()))
            .collect();
        let addresses: Vec<String> = links
            .iter()
            .map(|link| format!("{:?}", link.addr))
            .collect();
        let text = format!(
            "dispatcher = \"d{number}\"\nzone = \"{}\"\ncontrol = [{}]\n{}",
            ZONES[number],
            addresses.join(", "),
            layout()
        );
        std::fs::write(process.dir.join("installation.toml"), text).unwrap();
        Dispatcher { process, links }
    }

    /// Starts it with the installation that its folder describes.
    pub fn start(&mut self) {
        let mut command = self.process.command("serve");
        command
            .arg("--installation")
            .arg(self.process.dir.join("installation.toml"));
        self.process.start_command(command);
    }

    /// Cuts or heals the link to all control processes.
    pub fn set_disconnected(&self, disconnected: bool) {
        self.links
            .iter()
            .for_each(|link| link.cut.store(disconnected, Ordering::SeqCst));
    }

    /// One of the metrics of its part of the endpoint list.
    pub fn scope(&self, name: &str) -> u64 {
        self.process.metric(&format!("scope.{name}"))
    }

    /// Hands in one message after another until one has reached the endpoint, whatever the answers to the ones before.
    pub fn wait_until_delivered(&self, destination: u64, endpoint: &Endpoint, body: &str) {
        let came = || endpoint.requests().iter().any(|call| call.body == body);
        wait_for(&format!("the message {body:?} for {destination}"), || {
            let fields = format!("c=payment,d=8000,k=,dest={destination}");
            self.process.client().send(&put(&new_id(), &fields, body));
            // The room for messages is small.
            std::thread::sleep(Duration::from_millis(50));
            came()
        });
    }
}

/// All processes; they end when it is dropped.
pub struct Installation {
    /// The first of them accepts writes.
    pub control: Vec<ControlProcess>,
    /// Two of the first zone and one of the second.
    pub dispatchers: Vec<Dispatcher>,
}

impl Installation {
    /// All processes run, and the dispatchers are declared and hold their buckets.
    pub fn start(program: Program) -> Installation {
        let places: Vec<DispatcherProcess> = (0..SIZE)
            .map(|_| DispatcherProcess::new(program, &[]))
            .collect();
        let addr = |n: usize| places[n].listen.replace(":6379", ":7400");
        let folder = |n: usize| places[n].dir.with_extension("control");
        let mut control: Vec<ControlProcess> = (0..SIZE)
            .map(|n| {
                let leader = Some(addr(0)).filter(|_| n > 0);
                ControlProcess::new(program, addr(n), folder(n), leader.as_deref())
            })
            .collect();
        control.iter_mut().for_each(ControlProcess::start);
        let mut installation = Installation {
            control,
            dispatchers: Vec::new(),
        };
        let members: Vec<String> = ZONES
            .iter()
            .enumerate()
            .map(|(n, zone)| format!("{{\"name\":\"d{n}\",\"zone\":\"{zone}\"}}\n"))
            .collect();
        installation.post("/v2/members", &members.concat());
        for n in 0..SIZE {
            let mut dispatcher = Dispatcher::new(program, n, &installation.control);
            dispatcher.start();
            installation.dispatchers.push(dispatcher);
        }
        installation.wait_for_buckets();
        installation
    }

    /// Waits until every bucket is held in both zones.
    pub fn wait_for_buckets(&self) {
        wait_for("every bucket in both zones", || {
            let held: u64 = self
                .dispatchers
                .iter()
                .map(|d| d.scope("complete_buckets"))
                .sum();
            held == 2 * u64::from(BUCKETS_PER_REGION)
        });
    }

    /// Writes an endpoint of each of these destinations, at the writer.
    pub fn write(&self, destinations: std::ops::Range<u64>, endpoint: &Endpoint) {
        let lines = destinations
            .map(|cell| format!("{}\n", endpoint.entry(&format!("e{cell}"), cell, "up")));
        self.post("/api/targets", &lines.collect::<String>());
    }

    fn post(&self, path: &str, body: &str) {
        let mut to = TcpStream::connect(&self.control[0].addr).unwrap();
        write!(
            to,
            "POST {path} HTTP/1.1\r\nHost: control\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .unwrap();
        let mut status = String::new();
        BufReader::new(to).read_line(&mut status).unwrap();
        assert!(status.starts_with("HTTP/1.1 200 "), "{path}: {status}");
    }

    /// Every dispatcher delivers to each of these destinations.
    pub fn wait_until_all_deliver(
        &self,
        destinations: std::ops::Range<u64>,
        endpoint: &Endpoint,
        what: &str,
    ) {
        for (n, dispatcher) in self.dispatchers.iter().enumerate() {
            for destination in destinations.clone() {
                dispatcher.wait_until_delivered(
                    destination,
                    endpoint,
                    &format!("{what}: by d{n} for {destination}"),
                );
            }
        }
    }
}

impl Drop for Installation {
    fn drop(&mut self) {
        for process in &mut self.control {
            process.kill();
            std::fs::remove_dir_all(&process.dir).ok();
        }
    }
}
