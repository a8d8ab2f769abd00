//! A small complete installation of three control processes and three dispatchers, each a separate process. Each
//! dispatcher connects to the control processes through TCP proxies, which can simulate a network partition.

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

/// The number of dispatchers (`d0` to `d2`), and of control processes, of which the first is the leader.
pub const SIZE: usize = 3;
const BUCKETS_PER_REGION: u32 = 16;
/// The zones of the dispatchers. Each bucket has a holder in both zones.
const ZONES: [&str; SIZE] = ["north", "south", "north"];

/// A control process, and the directory of its configuration file and its log.
pub struct ControlProcess {
    program: Program,
    addr: String,
    dir: PathBuf,
    child: Option<Child>,
}

impl ControlProcess {
    fn new(program: Program, addr: String, dir: PathBuf, leader: Option<&str>) -> ControlProcess {
        std::fs::create_dir_all(dir.join("log")).unwrap();
        let role = match leader {
            None => "role = \"writer\"".to_string(),
            Some(leader) => format!("role = \"follower\"\nwriter = \"{leader}\""),
        };
        let text = format!(
            "name = \"control\"\nlisten = \"{addr}\"\nstate = \"{}\"\n{role}\n{}",
            dir.join("log").display(),
            layout()
        );
        std::fs::write(dir.join("control.toml"), text).unwrap();
        ControlProcess {
            program,
            addr,
            dir,
            child: None,
        }
    }

    /// Starts the process and waits until it accepts connections.
    pub fn start(&mut self) {
        let mut command = Command::new(self.program.executable);
        command
            .arg("control")
            .arg("--config")
            .arg(self.dir.join("control.toml"))
            .arg("--log")
            .arg("warn");
        self.child = Some(command.spawn().unwrap());
        wait_for("the control process to be ready", || {
            TcpStream::connect(&self.addr).is_ok()
        });
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(self.child.as_ref().unwrap()), signal).unwrap();
    }

    /// Kills the process with SIGKILL, if it is running.
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

/// Returns the layout settings, which are the same for dispatchers and control processes.
fn layout() -> String {
    format!(
        "buckets_per_region = {BUCKETS_PER_REGION}\n\
         zones = [{{name = \"north\", region = \"a\"}}, {{name = \"south\", region = \"a\"}}]\n"
    )
}

/// A TCP proxy to one address. While it is disconnected, bytes in both directions and new connections are delayed, as
/// in a network partition.
#[derive(Clone)]
struct Proxy {
    addr: String,
    disconnected: Arc<AtomicBool>,
}

impl Proxy {
    fn start(target: String) -> Proxy {
        let disconnected = Arc::new(AtomicBool::new(false));
        let shared = Arc::clone(&disconnected);
        let addr = stand_in(move |client| {
            wait_while_disconnected(&shared);
            let Ok(server) = TcpStream::connect(&target) else {
                return;
            };
            let (client_copy, server_copy) =
                (client.try_clone().unwrap(), server.try_clone().unwrap());
            let shared_by_other = Arc::clone(&shared);
            std::thread::spawn(move || forward(client_copy, server_copy, &shared_by_other));
            forward(server, client, &shared);
        });
        Proxy { addr, disconnected }
    }
}

fn wait_while_disconnected(disconnected: &AtomicBool) {
    while disconnected.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, disconnected: &AtomicBool) {
    let mut bytes = [0; 4096];
    while let Ok(count) = from.read(&mut bytes) {
        wait_while_disconnected(disconnected);
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    to.shutdown(std::net::Shutdown::Both).ok();
    from.shutdown(std::net::Shutdown::Both).ok();
}

/// A dispatcher and its proxies to the control processes.
pub struct Dispatcher {
    /// The dispatcher process.
    pub process: DispatcherProcess,
    proxies: Vec<Proxy>,
}

impl Dispatcher {
    fn new(program: Program, number: usize, control: &[ControlProcess]) -> Dispatcher {
        let mut process = DispatcherProcess::new(program, &[]);
        process.config["mgmt"] = process.admin_addr(0).into();
        let proxies: Vec<Proxy> = control
            .iter()
            .map(|process| Proxy::start(process.addr.clone()))
            .collect();
        let addresses: Vec<String> = proxies
            .iter()
            .map(|proxy| format!("{:?}", proxy.addr))
            .collect();
        let text = format!(
            "dispatcher = \"d{number}\"\nzone = \"{}\"\ncontrol = [{}]\n{}",
            ZONES[number],
            addresses.join(", "),
            layout()
        );
        std::fs::write(process.dir.join("installation.toml"), text).unwrap();
        Dispatcher { process, proxies }
    }

    /// Starts it with the installation file in its directory, and waits until it is ready.
    pub fn start(&mut self) {
        let mut command = self.process.command("serve");
        command
            .arg("--installation")
            .arg(self.process.dir.join("installation.toml"));
        self.process.start_command(command);
    }

    /// Sets whether the dispatcher is disconnected from all control processes.
    pub fn set_disconnected(&self, disconnected: bool) {
        self.proxies
            .iter()
            .for_each(|proxy| proxy.disconnected.store(disconnected, Ordering::SeqCst));
    }

    /// Returns the current value of a metric of its scope of the endpoint list.
    pub fn scope(&self, name: &str) -> u64 {
        self.process.metric(&format!("scope.{name}"))
    }

    /// Submits messages until one of them reaches the endpoint. Replies are ignored: earlier messages may be rejected.
    pub fn wait_until_delivered(&self, destination: u64, endpoint: &Endpoint, body: &str) {
        let is_received = || {
            endpoint
                .requests()
                .iter()
                .any(|request| request.body == body)
        };
        wait_for(&format!("the message {body:?} for {destination}"), || {
            let fields = format!("c=payment,d=8000,k=,dest={destination}");
            self.process.client().send(&put(&new_id(), &fields, body));
            // The dispatcher has room for only a few messages, so they are submitted slowly.
            std::thread::sleep(Duration::from_millis(50));
            is_received()
        });
    }
}

/// All processes of the installation, which are killed when it is dropped.
pub struct Installation {
    /// The control processes. The first one is the leader.
    pub control: Vec<ControlProcess>,
    /// The dispatchers: two in zone `north` and one in zone `south`.
    pub dispatchers: Vec<Dispatcher>,
}

impl Installation {
    /// Starts all processes, declares the dispatchers, and waits until they hold their buckets.
    pub fn start(program: Program) -> Installation {
        let prepared: Vec<DispatcherProcess> = (0..SIZE)
            .map(|_| DispatcherProcess::new(program, &[]))
            .collect();
        let addr = |n: usize| prepared[n].listen.replace(":6379", ":7400");
        let dir = |n: usize| prepared[n].dir.with_extension("control");
        let mut control: Vec<ControlProcess> = (0..SIZE)
            .map(|n| {
                let leader = Some(addr(0)).filter(|_| n > 0);
                ControlProcess::new(program, addr(n), dir(n), leader.as_deref())
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

    /// Waits until every bucket has a complete holder in both zones.
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

    /// Writes one endpoint entry for each of these destinations to the leader.
    pub fn write(&self, destinations: std::ops::Range<u64>, endpoint: &Endpoint) {
        let lines = destinations.map(|destination| {
            format!(
                "{}\n",
                endpoint.entry(&format!("e{destination}"), destination, "up")
            )
        });
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

    /// Waits until every dispatcher has delivered a message to each of these destinations.
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
