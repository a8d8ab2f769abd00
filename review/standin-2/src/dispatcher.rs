//! Starts the dispatcher with the command of the deploy file, and speaks with it as a client.

use crate::record::Record;
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// An address that is free now. Each has a loopback address of its own, so that no connection that goes out from the usual
/// one can take its port before the dispatcher does.
pub fn free_addr() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let nanos = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().subsec_nanos();
    let start = u64::from(std::process::id()) * 251 + u64::from(nanos) / 1000;
    loop {
        let n = start + 7919 * NEXT.fetch_add(1, Ordering::SeqCst);
        let addr = format!("127.{}.{}.{}:6379", 16 + n % 200, n / 200 % 250, n / 50_000 % 250 + 1);
        if TcpListener::bind(&addr).is_ok() {
            return addr;
        }
    }
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with("run = \"")).expect("run");
    line.split('"').nth(1).unwrap().to_string()
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let base = std::env::temp_dir();
        let nanos = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_nanos();
        let path = base.join(format!("bellsill-review-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(path.join("state")).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

/// The processes that run, so that a case that takes too long leaves none behind.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Kills all processes that a case has started and that still run.
pub fn kill_all() {
    let running = RUNNING.lock().map(|running| running.clone()).unwrap_or_default();
    for id in running {
        Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {id}")).status().ok();
    }
}

/// A dispatcher process; it is killed when this is dropped.
pub struct Process {
    name: String,
    child: Child,
    record: Record,
}

impl Process {
    fn new(name: &str, child: Child, record: &Record) -> Process {
        RUNNING.lock().unwrap().insert(child.id());
        Process { name: name.to_string(), child, record: record.clone() }
    }

    /// Kills the process, unless it has ended, and waits for its end.
    fn end(&mut self) {
        RUNNING.lock().unwrap().remove(&self.child.id());
        self.child.kill().ok();
        self.child.wait().ok();
    }

    pub fn start(name: &str, folder: &Path, config: &str, installation: Option<&Path>, record: &Record) -> Process {
        let file = folder.join(format!("config-{name}.json"));
        std::fs::write(&file, config).unwrap();
        let log = std::fs::OpenOptions::new().create(true).append(true).open(folder.join(format!("log-{name}"))).unwrap();
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(run_command())
            .env("RELAY_CONFIG", &file)
            .env("RELAY_STATE", folder.join("state"))
            .env_remove("RELAY_MGMT")
            .env_remove("BELLSILL_INSTALLATION")
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if let Some(installation) = installation {
            command.env("BELLSILL_INSTALLATION", installation);
        }
        let child = command.spawn().expect("the dispatcher starts");
        record.line(&format!("process {name} starts"));
        Process::new(name, child, record)
    }

    /// Starts a control process, by the program that the deploy file runs.
    pub fn start_control(config: &Path, folder: &Path, record: &Record) -> Process {
        let log = File::create(folder.join("log-control")).unwrap();
        let program = run_command().trim_start_matches("exec ").split(' ').next().unwrap().to_string();
        let child = Command::new(program)
            .arg("control")
            .arg("--config")
            .arg(config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the control process starts");
        record.line("the control process starts");
        Process::new("control", child, record)
    }

    /// Sends a signal by the shell's own `kill`.
    pub fn signal(&self, signal: &str) {
        self.record.line(&format!("process {} gets SIG{signal}", self.name));
        let kill = format!("kill -{signal} {}", self.child.id());
        Command::new("/bin/sh").arg("-c").arg(kill).status().ok();
    }

    pub fn kill(&mut self) {
        self.record.line(&format!("process {} gets SIGKILL", self.name));
        self.end();
    }

    pub fn is_running(&mut self) -> bool {
        let running = matches!(self.child.try_wait(), Ok(None));
        if !running {
            RUNNING.lock().unwrap().remove(&self.child.id());
        }
        running
    }

    /// Waits until the process has ended, and records that.
    pub fn wait_for_end(&mut self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if !self.is_running() {
                self.record.line(&format!("process {} has ended", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(2));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    record: Record,
    open: bool,
}

/// A message that a client hands in.
pub struct Put<'a> {
    pub key: u64,
    pub id: &'a str,
    pub fields: &'a str,
    pub body: &'a str,
}

impl Client {
    pub fn connect(addr: &str, record: &Record) -> std::io::Result<Client> {
        let stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(400)))?;
        Ok(Client { stream, record: record.clone(), open: true })
    }

    fn command(&mut self, words: &[&str]) -> Option<String> {
        let mut text = format!("*{}\r\n", words.len());
        for word in words {
            text.push_str(&format!("${}\r\n{word}\r\n", word.len()));
        }
        self.stream.write_all(text.as_bytes()).ok()?;
        let mut reply = Vec::new();
        let mut byte = [0];
        while !reply.ends_with(b"\r\n") {
            match self.stream.read(&mut byte) {
                Ok(1) => reply.push(byte[0]),
                _ => return None,
            }
        }
        Some(String::from_utf8_lossy(&reply).trim_end().to_string())
    }

    /// Whether the last command was answered.
    pub fn is_open(&self) -> bool {
        self.open
    }

    pub fn ping(&mut self) -> bool {
        self.command(&["PING"]).as_deref() == Some("+PONG")
    }

    /// Hands in a message and returns whether it was taken on.
    pub fn put(&mut self, put: &Put) -> bool {
        let key = format!("{:016x}", put.key);
        let sent = self.record.ms();
        let reply = self.command(&["MSG.PUT", &key, put.id, put.fields, put.body]);
        self.open &= reply.is_some();
        let shown = reply.clone().unwrap_or("no answer".into());
        self.record.line(&format!(
            "client: message {} key {key} {} body {:?}, sent at {sent} ms: {shown}",
            put.id,
            put.fields,
            &put.body[..put.body.len().min(40)]
        ));
        reply.as_deref() == Some("+OK")
    }
}

/// Waits until a dispatcher that listens there answers yes.
pub fn wait_ready(addr: &str, limit: Duration, record: &Record) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if let Ok(mut client) = Client::connect(addr, record)
            && client.ping()
        {
            record.line("a dispatcher says yes");
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}

/// Sends an operator's call and returns its first line.
pub fn admin(addr: &str, call: &str) -> Option<String> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(format!("{call}\n").as_bytes()).ok()?;
    let mut reply = Vec::new();
    let mut byte = [0];
    while !reply.ends_with(b"\n") {
        match stream.read(&mut byte) {
            Ok(1) => reply.push(byte[0]),
            _ => return None,
        }
    }
    Some(String::from_utf8_lossy(&reply).trim_end().to_string())
}

/// Waits until the process at this operators' address says that it is ready.
pub fn wait_admin_ready(addr: &str, limit: Duration, record: &Record) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if admin(addr, "ready").is_some_and(|reply| reply.starts_with("SUCCESS")) {
            record.line("the new process says yes to `ready`");
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}

/// Sends an operator's call whose answer has several lines.
pub fn admin_text(addr: &str, call: &str) -> String {
    let mut text = String::new();
    if let Ok(mut stream) = TcpStream::connect(addr) {
        stream.set_read_timeout(Some(Duration::from_millis(500))).ok();
        stream.write_all(format!("{call}\n").as_bytes()).ok();
        let mut bytes = [0; 4096];
        while let Ok(n) = stream.read(&mut bytes) {
            text.push_str(&String::from_utf8_lossy(&bytes[..n]));
            if n == 0 || text.ends_with("EOT\n") {
                break;
            }
        }
    }
    text
}
