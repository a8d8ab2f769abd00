//! The program itself, started and spoken to over loopback sockets; endpoints and the platform are stand-ins of our own.

use bellsill_daemon::mail_journal::{Kept, MailJournal};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Waits for something to become true. It may take as long as it likes; only what never comes fails.
fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let from = Instant::now();
    while !done() {
        assert!(from.elapsed() < Duration::from_secs(60), "never came: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Reads the head and body of one HTTP request.
fn request(from: &mut BufReader<TcpStream>) -> Option<(Vec<String>, Vec<u8>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => break,
            text => lines.push(text.to_string()),
        }
    }
    let length =
        lines.iter().find_map(|l| l.strip_prefix("Content-Length: ")).map_or(0, |n| n.parse().unwrap());
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((lines, body))
}

/// A listener on a free port, with a thread for each connection.
fn stand_in(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    addr
}

#[derive(Clone, Debug)]
struct Call {
    head: Vec<String>,
    body: String,
    /// Counts the connections of its endpoint.
    conn: u64,
}

impl Call {
    fn header(&self, name: &str) -> &str {
        self.head.iter().find_map(|l| l.strip_prefix(name)?.strip_prefix(": ")).unwrap_or("")
    }
}

/// What an endpoint does with a call.
#[derive(Clone, Copy, PartialEq)]
enum Does {
    /// Answers with this: status line without its version, further headers.
    Says(&'static str),
    /// Answers, then closes the connection.
    SaysLast(&'static str),
    Hangs,
    Breaks,
    /// Writes just this, and keeps the connection open.
    Writes(&'static str),
}

#[derive(Clone)]
struct Endpoint {
    addr: String,
    calls: Arc<Mutex<Vec<Call>>>,
    does: Arc<Mutex<Does>>,
}

impl Endpoint {
    fn start(does: Does) -> Endpoint {
        let (calls, does) = (Arc::new(Mutex::new(vec![])), Arc::new(Mutex::new(does)));
        let (seen, way, conns) = (Arc::clone(&calls), Arc::clone(&does), Arc::new(AtomicU64::new(0)));
        let addr = stand_in(move |stream| {
            let conn = conns.fetch_add(1, Ordering::SeqCst);
            let mut to = stream.try_clone().unwrap();
            let mut from = BufReader::new(stream);
            while let Some((head, body)) = request(&mut from) {
                let body = String::from_utf8(body).unwrap();
                let does = *way.lock().unwrap();
                seen.lock().unwrap().push(Call { head, body, conn });
                let done = match does {
                    Does::Says(answer) | Does::SaysLast(answer) => {
                        write!(to, "HTTP/1.1 {answer}\r\nContent-Length: 2\r\n\r\nok")
                    }
                    Does::Hangs => Ok(()),
                    Does::Breaks => return,
                    Does::Writes(text) => to.write_all(text.as_bytes()),
                };
                if done.is_err() || matches!(does, Does::SaysLast(_)) {
                    return;
                }
            }
        });
        Endpoint { addr, calls, does }
    }
    fn does(&self, does: Does) {
        *self.does.lock().unwrap() = does;
    }
    fn calls(&self) -> Vec<Call> {
        self.calls.lock().unwrap().clone()
    }
    fn entry(&self, id: &str, cell: u64, state: &str) -> Value {
        json!({"id": id, "addr": self.addr, "zone": "north", "kind": "shops", "cell": cell, "state": state})
    }
}

/// Discovery and the place for notices.
#[derive(Clone)]
struct Platform {
    addr: String,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    since: Arc<Mutex<Vec<String>>>,
    notices: Arc<Mutex<Vec<Value>>>,
    deaf: Arc<AtomicBool>,
}

impl Platform {
    fn start() -> Platform {
        let watches: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let since: Arc<Mutex<Vec<String>>> = Arc::default();
        let notices: Arc<Mutex<Vec<Value>>> = Arc::default();
        let deaf = Arc::new(AtomicBool::new(false));
        let (w, s, n, d) =
            (Arc::clone(&watches), Arc::clone(&since), Arc::clone(&notices), Arc::clone(&deaf));
        let addr = stand_in(move |stream| {
            let mut to = stream.try_clone().unwrap();
            let mut from = BufReader::new(stream);
            while let Some((head, body)) = request(&mut from) {
                if head[0].starts_with("GET /api/targets?follow=1&since=") {
                    to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
                    s.lock().unwrap().push(head[0].clone());
                    w.lock().unwrap().push(to.try_clone().unwrap());
                    continue;
                }
                assert_eq!(head[0], "POST /v2/finals HTTP/1.1");
                if d.load(Ordering::SeqCst) {
                    return;
                }
                let lines = String::from_utf8(body).unwrap();
                n.lock().unwrap().extend(lines.lines().map(|l| serde_json::from_str::<Value>(l).unwrap()));
                to.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").unwrap();
            }
        });
        Platform { addr, watches, since, notices, deaf }
    }
    /// Tells all watches, each byte in a chunk of its own.
    fn tell(&self, text: &str) {
        wait_for("a watch", || !self.watches.lock().unwrap().is_empty());
        for watch in self.watches.lock().unwrap().iter_mut() {
            for byte in text.bytes() {
                // One that has ended hears no more.
                let _ = watch.write_all(&[b'1', b'\r', b'\n', byte, b'\r', b'\n']);
            }
        }
    }
    fn notices(&self) -> Vec<Value> {
        self.notices.lock().unwrap().clone()
    }
    fn notice(&self, id: &str) -> Option<Value> {
        self.notices().into_iter().find(|n| n["ref"] == id)
    }
}

/// A dispatcher's process, its folder and its world.
struct Rig {
    folder: PathBuf,
    listen: String,
    json: Value,
    platform: Platform,
    child: Option<Child>,
}

static RIGS: AtomicU64 = AtomicU64::new(0);
static IDS: AtomicU64 = AtomicU64::new(1);

impl Rig {
    fn new(endpoints: &[(&Endpoint, u64)]) -> Rig {
        let (n, pid) = (RIGS.fetch_add(1, Ordering::SeqCst), std::process::id());
        // An address of its own, so that nothing else is ever given its port.
        let listen = format!("127.{}.{}.{}:6379", 16 + pid % 200, pid / 200 % 250, n + 1);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("rig-{pid}-{n}"));
        std::fs::create_dir_all(folder.join("state")).unwrap();
        let mut json: Value = serde_json::from_str(include_str!("../../examples/config.json")).unwrap();
        let platform = Platform::start();
        json["listen"] = listen.clone().into();
        json["discovery"] = platform.addr.clone().into();
        let entries = endpoints.iter().enumerate();
        json["known"]["servers"] =
            entries.map(|(i, (e, cell))| e.entry(&format!("e{i}"), *cell, "up")).collect::<Vec<_>>().into();
        Rig { folder, listen, json, platform, child: None }
    }

    fn command(&self, what: &str) -> Command {
        std::fs::write(self.folder.join("config.json"), self.json.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_bellsill"));
        command.env_remove("RELAY_STATE").arg(what).arg("--config").arg(self.folder.join("config.json"));
        command.arg("--state").arg(self.folder.join("state")).arg("--log").arg("warn");
        command
    }

    fn start(&mut self) {
        let command = self.command("serve");
        self.start_by(command);
    }

    fn start_by(&mut self, mut command: Command) {
        self.child = Some(command.spawn().unwrap());
        wait_for("a dispatcher that is ready", || {
            let Ok(mut stream) = TcpStream::connect(&self.listen) else { return false };
            stream.write_all(b"PING\r\n").is_ok()
                && BufReader::new(stream).lines().next().is_some_and(|l| l.is_ok_and(|l| l == "+PONG"))
        });
    }

    /// Starts a process beside one that runs, at the `mgmt` address that the configuration names now.
    fn start_beside(&mut self) {
        let child = self.command("serve").spawn().unwrap();
        self.child = Some(child);
        wait_for("a new version that is ready", || {
            TcpStream::connect(self.json["mgmt"].as_str().unwrap()).is_ok()
        });
        assert!(self.call("ready")[0].starts_with("SUCCESS"));
    }

    /// What the journal holds at this moment.
    fn kept(&self) -> Kept {
        self.kept_in("mails")
    }

    /// What that journal of the folder holds at this moment.
    fn kept_in(&self, journal: &str) -> Kept {
        let copy = self.folder.join("copy");
        std::fs::create_dir_all(&copy).unwrap();
        std::fs::copy(self.folder.join("state").join(journal), copy.join("mails")).unwrap();
        MailJournal::open(&copy, 10_000_000).unwrap().1
    }

    /// Whether the journal says that a connect of the mail never ran.
    fn never_ran(&self, id: &str) -> bool {
        let mails = self.kept().mails;
        let mail = mails.iter().find(|m| format!("{:016x}", m.id.0) == id);
        mail.is_some_and(|m| m.connects.iter().any(|c| c.may_have_run == Some(false)))
    }

    fn kill(&mut self) {
        let mut child = self.child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    fn signal(&self, signal: Signal) {
        let pid = rustix::process::Pid::from_child(self.child.as_ref().unwrap());
        rustix::process::kill_process(pid, signal).unwrap();
    }

    /// Where operators call this rig's dispatcher: the n-th process beside others has an address of its own.
    fn mgmt_at(&self, n: u16) -> String {
        let ip: std::net::SocketAddr = self.listen.parse().unwrap();
        format!("{}:{}", ip.ip(), 9100 + n)
    }

    fn call(&self, line: &str) -> Vec<String> {
        call_at(self.json["mgmt"].as_str().unwrap(), line)
    }

    fn figure(&self, name: &str) -> u64 {
        figure_at(self.json["mgmt"].as_str().unwrap(), name)
    }

    fn client(&self) -> Client {
        connect(&self.listen).unwrap()
    }
}

/// One call as an operator makes it: a line out, the lines of the answer.
fn call_at(addr: &str, line: &str) -> Vec<String> {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    let mut lines = BufReader::new(stream).lines().map(|l| l.unwrap());
    let first = lines.next().unwrap();
    let more = line == "show-stat" && first.starts_with("SUCCESS");
    let rest = lines.take_while(|l| l != "EOT").take(if more { usize::MAX } else { 0 });
    std::iter::once(first).chain(rest).collect()
}

fn figure_at(addr: &str, name: &str) -> u64 {
    let lines = call_at(addr, "show-stat");
    let value = lines.iter().find_map(|l| l.strip_prefix(&format!("dispatcher.{name}=")));
    value.unwrap_or_else(|| panic!("{name} in {lines:?}")).parse().unwrap()
}

impl Drop for Rig {
    fn drop(&mut self) {
        if self.child.is_some() {
            self.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

struct Client {
    to: TcpStream,
    from: BufReader<TcpStream>,
}

fn connect(to: &str) -> std::io::Result<Client> {
    let stream = TcpStream::connect(to)?;
    // What never comes fails, as in `wait_for`.
    stream.set_read_timeout(Some(Duration::from_secs(60)))?;
    Ok(Client { from: BufReader::new(stream.try_clone()?), to: stream })
}

fn put(id: &str, fields: &str, body: &str) -> Vec<u8> {
    let words = ["MSG.PUT", "0000000000000000", id, fields, body];
    let words: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    format!("*5\r\n{words}").into_bytes()
}

fn fresh() -> String {
    format!("{:016x}", 0xb0_0000 + IDS.fetch_add(1, Ordering::SeqCst))
}

impl Client {
    fn line(&mut self) -> String {
        let mut line = String::new();
        self.from.read_line(&mut line).unwrap();
        line.trim_end().to_string()
    }
    fn says(&mut self, bytes: &[u8]) -> String {
        self.to.write_all(bytes).unwrap();
        self.line()
    }
    /// Hands in a mail that is taken on.
    fn mail(&mut self, class: &str, cell: u64, ms: u64, body: &str) -> String {
        let id = fresh();
        let answer = self.says(&put(&id, &format!("c={class},d={ms},k=k{id},dest={cell}"), body));
        assert_eq!(answer, "+OK");
        id
    }
}

const OK: Does = Does::Says("200 OK");

#[test]
fn split_and_pipelined_input_is_answered_in_order_and_relayed() {
    let e = Endpoint::start(OK);
    let mut rig = Rig::new(&[(&e, 7)]);
    rig.start();
    let (mut client, a, b) = (rig.client(), fresh(), fresh());
    let mut input = b"PING\r\n".to_vec();
    input.extend(put(&a, "c=notice,d=8000,k=tag-a,dest=7,new=1", "one\r\ntwo"));
    input.extend(put(&b, "c=payment,d=8000,dest=7", ""));
    input.extend(b"*1\r\n$4\r\nPING\r\n");
    for byte in input {
        client.to.write_all(&[byte]).unwrap();
    }
    assert_eq!(
        [client.line(), client.line(), client.line(), client.line()],
        ["+PONG", "+OK", "+OK", "+PONG"]
    );
    wait_for("both mails", || e.calls().len() == 2);
    let calls = e.calls();
    let call = calls.iter().find(|c| c.header("X-Trace-Id") == a).unwrap();
    assert_eq!((call.head[0].as_str(), call.body.as_str()), ("POST /events HTTP/1.1", "one\r\ntwo"));
    assert_eq!(call.header("Idempotency-Key"), "tag-a");
    assert!(call.header("X-Expires-In").ends_with('u'));
    let other = calls.iter().find(|c| c.header("X-Trace-Id") == b).unwrap();
    assert_eq!((other.header("Idempotency-Key"), other.body.as_str()), ("", ""));
    // One that is handed in twice is held or over; it is not an error, and while held not a second mail.
    client.mail("notice", 7, 8000, "another");
    wait_for("an idle connection used again", || e.calls().iter().any(|c| c.body == "another"));
    assert!(e.calls().iter().all(|c| c.conn < 2));
}

#[test]
fn bad_input_is_answered_and_stops_nothing() {
    let e = Endpoint::start(OK);
    let mut rig = Rig::new(&[(&e, 7)]);
    rig.start();
    let mut client = rig.client();
    let id = fresh();
    for (fields, named) in [
        ("d=1,k=a,dest=7", "c:"),
        ("c=notice,k=a,dest=7", "d:"),
        ("c=notice,d=x,k=a,dest=7", "d:"),
        ("c=notice,d=5,k=a", "dest:"),
        ("c=other,d=5,k=a,dest=7", "c:"),
        ("c=notice,d=+5,k=a,dest=7", "d:"),
        ("c=notice,d=20002,k=a,dest=7", "d:"),
        ("c=notice,d=5,k=a,dest=8", "dest:"),
        ("c=notice,d=5,dest=7", "k:"),
        ("c=notice,d=5,k=a\r\nX: y,dest=7", "k:"),
    ] {
        let answer = client.says(&put(&id, fields, "x"));
        assert!(answer.starts_with(&format!("-ERR {named}")), "{fields:?}: {answer}");
    }
    assert!(client.says(&put("xyz", "c=notice,d=5,k=a,dest=7", "x")).starts_with("-ERR id:"));
    assert!(client.says(b"*1\r\n$7\r\nMSG.PUT\r\n").starts_with("-ERR wrong number"));
    assert!(client.says(b"*1\r\n$4\r\nNONE\r\n").starts_with("-ERR unknown command"));
    assert_eq!(client.says(b"PING\r\n"), "+PONG");
    let long = "x".repeat(70_000);
    for malformed in ["*1\r\n+PING\r\n", "*x\r\n", "*1\r\n$-2\r\n", "\u{1}\u{2}\r\n", &put_text(&id, &long)] {
        let mut other = rig.client();
        assert!(other.says(malformed.as_bytes()).starts_with("-ERR Protocol error"), "{malformed:.20?}");
        assert_eq!(other.line(), "", "closed");
    }
    client.mail("notice", 7, 8000, "still served");
    wait_for("the mail", || e.calls().len() == 1);
}

fn put_text(id: &str, body: &str) -> String {
    String::from_utf8(put(id, "c=notice,d=8000,k=a,dest=7", body)).unwrap()
}

#[test]
fn a_bad_configuration_ends_with_status_2_and_names_the_field() {
    for (place, value, named) in [
        ("/listen", json!("nowhere"), "listen"),
        ("/limits/sockets", json!("many"), "limits.sockets"),
        ("/settings/services/0/repeat", json!("sometimes"), "settings.services[0].repeat"),
        ("/settings/family-info/workers", json!(0), "settings.family-info.workers"),
        ("/settings/guarantees/ramp-time-ns", json!(null), "settings.guarantees.ramp-time-ns"),
        ("/settings/balancers", json!(0), "settings.balancers"),
        ("/settings/balancers", json!(1u64 << 32), "settings.balancers"),
        ("/settings/guarantees/cold-share", json!(0), "settings.guarantees.cold-share"),
        ("/settings/guarantees/tip-multiple", json!(-2.0), "settings.guarantees.tip-multiple"),
        ("/settings/services/0/worth", json!(-1), "settings.services[0].worth"),
        ("/settings/penalties", json!({"probe": 0.01, "handshake": -0.04}), "settings.penalties.handshake"),
        ("/settings/penalties", json!({"probe": "dear"}), "settings.penalties.probe"),
        ("/settings/family-info/per-call", json!([0]), "settings.family-info.per-call"),
        ("/settings/family-info/per-call", json!([1, 20]), "settings.family-info.per-call"),
        ("/settings/discovery", json!("sometimes"), "settings.discovery"),
    ] {
        let mut rig = Rig::new(&[]);
        rig.json["settings"]["penalties"] = json!({"probe": 0.01});
        rig.json["settings"]["discovery"] = json!("pushed");
        rig.json["settings"]["family-info"]["per-call"] = json!([1]);
        assert!(rig.command("check").output().unwrap().status.success());
        *rig.json.pointer_mut(place).unwrap() = value;
        for what in ["serve", "check"] {
            let end = rig.command(what).stdout(Stdio::piped()).output().unwrap();
            let text = String::from_utf8(end.stderr).unwrap();
            assert!(end.status.code() == Some(2) && text.contains(&format!("field {named}:")), "{text}");
        }
    }
    let end = Command::new(env!("CARGO_BIN_EXE_bellsill")).arg("sing").output().unwrap();
    assert_eq!(end.status.code(), Some(2));
    let end = Command::new(env!("CARGO_BIN_EXE_bellsill")).arg("version").output().unwrap();
    assert!(end.status.success() && String::from_utf8(end.stdout).unwrap().starts_with("bellsill "));
}

#[test]
fn after_sigkill_each_mail_goes_on_as_its_class_allows() {
    let (hung, shut) =
        (Endpoint::start(Does::Hangs), Endpoint::start(Does::Says("429 Full\r\nRetry-After: 1000")));
    let mut rig = Rig::new(&[(&hung, 7), (&shut, 8)]);
    rig.json["settings"]["services"][0]["window-ns"] = json!(60_000_000_000u64);
    rig.start();
    let mut client = rig.client();
    let (tagged, once) = (client.mail("notice", 7, 19_000, "t"), client.mail("payment", 7, 19_000, "o"));
    wait_for("both calls", || hung.calls().len() == 2);
    let waits = client.mail("payment", 8, 19_000, "w");
    wait_for("a refusal", || rig.never_ran(&waits));
    rig.kill();
    hung.does(OK);
    shut.does(OK);
    rig.start();
    wait_for("the tagged mail again", || hung.calls().iter().filter(|c| c.body == "t").count() == 2);
    wait_for("the mail that never ran", || shut.calls().iter().filter(|c| c.body == "w").count() == 2);
    wait_for("the end of the other", || rig.platform.notice(&once).is_some());
    assert_eq!(rig.platform.notice(&once).unwrap()["result"], "dead");
    assert_eq!(hung.calls().iter().filter(|c| c.body == "o").count(), 1, "it may have run");
    wait_for("all to be over", || rig.kept() == Kept::default());
    assert_eq!(rig.platform.notices().len(), 1, "{tagged} and {waits} are relayed");
    // Relayed mails are over: the next process does nothing for them.
    rig.kill();
    rig.start();
    let last = rig.client().mail("notice", 7, 8000, "last");
    wait_for("a later mail", || hung.calls().iter().any(|c| c.header("X-Trace-Id") == last));
    assert_eq!((hung.calls().len(), shut.calls().len(), rig.platform.notices().len()), (4, 2, 1));
}

#[test]
fn a_notice_is_owed_until_the_platform_has_it() {
    let e = Endpoint::start(Does::Says("500 Oops"));
    let full = Endpoint::start(Does::Says("429 Full\r\nRetry-After: 1000"));
    let mut rig = Rig::new(&[(&e, 7), (&full, 99)]);
    rig.platform.deaf.store(true, Ordering::SeqCst);
    rig.start();
    let mut client = rig.client();
    let once = client.mail("payment", 7, 8000, "may have run");
    wait_for("the call", || e.calls().len() == 1);
    let unserved = client.mail("notice", 99, 100, "nowhere to go");
    rig.kill();
    rig.start();
    assert_eq!(rig.platform.notices().len(), 0);
    rig.platform.deaf.store(false, Ordering::SeqCst);
    wait_for("both notices", || rig.platform.notices().len() >= 2);
    assert_eq!(rig.platform.notice(&once).unwrap()["result"], "dead");
    let bounced = rig.platform.notice(&unserved).unwrap();
    assert!(bounced["result"] == "bounced" && bounced["wait_ms"].is_u64());
    assert_eq!(e.calls().len(), 1);
}

#[test]
fn on_sigterm_mails_held_go_out_and_clients_are_parted_with_between_requests() {
    let e = Endpoint::start(Does::Says("429 Full\r\nRetry-After: 0.7"));
    let mut rig = Rig::new(&[(&e, 7)]);
    rig.start();
    let mut client = rig.client();
    let held = client.mail("notice", 7, 20_000, "held");
    wait_for("a refusal", || rig.never_ran(&held));
    e.does(OK);
    rig.signal(Signal::TERM);
    // New clients may still come for a moment, and old ones ask on; what is not answered was not read.
    let late = fresh();
    let try_late = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(&rig.listen)?;
        stream.write_all(&put(&late, "c=notice,d=20000,k=l,dest=7", "late"))?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer).map(|_| answer)
    };
    let answer = try_late().unwrap_or_default();
    assert!(answer.is_empty() || answer == "+OK\r\n", "{answer}");
    assert_eq!(client.line(), "", "parted with");
    assert_eq!(rig.child.take().unwrap().wait().unwrap().code(), Some(0));
    rig.start();
    let last = rig.client().mail("notice", 7, 8000, "last");
    let gone_out = |id: &str| e.calls().iter().filter(|c| c.header("X-Trace-Id") == id).count();
    wait_for("a later mail", || gone_out(&last) == 1);
    wait_for("the mail held", || gone_out(&held) >= 2);
    wait_for("the late mail", || answer.is_empty() || gone_out(&late) >= 1);
}

#[test]
fn on_sigterm_clients_inside_are_served_when_no_new_ones_are_let_in() {
    let e = Endpoint::start(OK);
    let mut rig = Rig::new(&[(&e, 7)]);
    rig.start();
    let mut client = rig.client();
    client.mail("notice", 7, 8000, "before");
    rig.signal(Signal::TERM);
    wait_for("a closed door", || TcpStream::connect(&rig.listen).is_err());
    client.mail("notice", 7, 8000, "behind it");
    wait_for("the mail", || e.calls().iter().any(|c| c.body == "behind it"));
    assert_eq!(client.line(), "", "parted with");
    assert_eq!(rig.child.take().unwrap().wait().unwrap().code(), Some(0));
}

#[test]
fn on_sigterm_a_call_that_is_never_answered_holds_up_nothing() {
    let e = Endpoint::start(Does::Hangs);
    let mut rig = Rig::new(&[(&e, 7)]);
    rig.start();
    let once = rig.client().mail("payment", 7, 20_000, "x");
    wait_for("the call", || e.calls().len() == 1);
    rig.signal(Signal::TERM);
    let mut end = None;
    wait_for("the dispatcher's end", || {
        end = rig.child.as_mut().unwrap().try_wait().unwrap();
        end.is_some()
    });
    assert_eq!(end.unwrap().code(), Some(0));
    rig.start();
    wait_for("the mail's end", || rig.platform.notice(&once).is_some());
    assert_eq!(rig.platform.notice(&once).unwrap()["result"], "dead");
    assert_eq!(e.calls().len(), 1);
}

#[test]
fn what_is_no_http_is_a_reset_and_a_connection_s_end_is_met() {
    let babbles = Does::Writes("no HTTP at all\r\n\r\n");
    let e = Endpoint::start(babbles);
    let mut rig = Rig::new(&[(&e, 7)]);
    rig.start();
    let mut client = rig.client();
    for does in [babbles, Does::Breaks] {
        e.does(does);
        let once = client.mail("payment", 7, 8000, "once");
        wait_for("its end", || rig.platform.notice(&once).is_some());
        assert_eq!(rig.platform.notice(&once).unwrap()["result"], "dead");
    }
    e.does(Does::SaysLast("200 OK"));
    let before = e.calls().len();
    for n in 1..4 {
        client.mail("notice", 7, 8000, "each on a connection of its own");
        wait_for("the call", || e.calls().len() >= before + n);
    }
    let mut conns: Vec<u64> = e.calls()[before..].iter().map(|c| c.conn).collect();
    conns.dedup();
    assert!(conns.len() >= 3);
    assert_eq!(rig.platform.notices().len(), 2);
}

#[test]
fn a_spoilt_answer_may_have_run_unless_its_first_line_says_relayed() {
    let e = Endpoint::start(OK);
    let mut rig = Rig::new(&[(&e, 7)]);
    rig.start();
    let mut client = rig.client();
    let relayed = [
        "HTTP/1.1 200 OK\r\nno header at all\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on",
        "HTTP/1.1 200 OK\r\nX-Endless: a",
        "HTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
    ];
    for (n, text) in relayed.iter().enumerate() {
        e.does(Does::Writes(text));
        client.mail("payment", 7, 8000, "relayed");
        wait_for("the call", || e.calls().len() > n);
        wait_for("its end", || rig.kept().mails.is_empty());
    }
    let spoilt = [
        "HTTP/1.1 503 Full\r\nContent-Length: 3000000000\r\n\r\nand so on",
        "HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\nshort",
        "HTTP/1.1 429 Full\r\nRetry-After: 1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 503 Full\r\nX-Endless: a",
        "HTTP/1.1 099 What\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
    ];
    for text in spoilt {
        e.does(Does::Writes(text));
        let once = client.mail("payment", 7, 20_000, "spoilt");
        wait_for("its end", || rig.platform.notice(&once).is_some());
        assert_eq!(rig.platform.notice(&once).unwrap()["result"], "dead", "{text:?}");
    }
    e.does(OK);
    client.mail("notice", 7, 8000, "after all that");
    wait_for("the mail", || e.calls().iter().any(|c| c.body == "after all that"));
    assert_eq!(e.calls().len(), relayed.len() + spoilt.len() + 1, "each went out once");
    assert_eq!(rig.platform.notices().len(), spoilt.len());
}

#[test]
fn the_watch_is_followed_over_splits_bad_lines_and_breaks() {
    let (first, second) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut rig = Rig::new(&[(&first, 7)]);
    rig.start();
    let mut client = rig.client();
    let tell = |version: u64, entries: Vec<Value>| {
        rig.platform.tell("\n{\"not\": json\n{\"version\":true}\n\n");
        let line = json!({"version": version, "full": false, "servers": entries});
        rig.platform.tell(&format!("{line}\n"));
    };
    let nonsense = json!({"id": "e9", "addr": "nowhere", "zone": "z", "kind": "k", "cell": 7, "state": "up"});
    tell(2, vec![nonsense, second.entry("e1", 7, "up"), first.entry("e0", 7, "draining")]);
    wait_for("mails at the newcomer", || {
        client.mail("notice", 7, 8000, "to whom");
        !second.calls().is_empty()
    });
    for _ in 0..10 {
        client.mail("notice", 7, 8000, "not to the first");
    }
    let bodies = |e: &Endpoint, body: &str| e.calls().iter().filter(|c| c.body == body).count();
    wait_for("all of them", || bodies(&second, "not to the first") == 10);
    assert_eq!(bodies(&first, "not to the first"), 0);
    // The watch breaks: it is taken up again after the last version, and goes on.
    for watch in rig.platform.watches.lock().unwrap().drain(..) {
        watch.shutdown(std::net::Shutdown::Both).unwrap();
    }
    let since = || rig.platform.since.lock().unwrap().last().cloned().unwrap();
    wait_for("a new watch", || since().contains("since=2 "));
    tell(3, vec![first.entry("e0", 7, "up"), second.entry("e1", 7, "removed")]);
    wait_for("mails at the first again", || {
        client.mail("notice", 7, 8000, "back");
        bodies(&first, "back") > 0
    });
}

#[test]
fn of_an_endpoint_twice_in_one_list_nothing_new_goes_to_it_if_it_drains() {
    let (first, second) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut rig = Rig::new(&[(&first, 7), (&second, 7)]);
    let servers = rig.json["known"]["servers"].as_array_mut().unwrap();
    let drains = first.entry("e0", 7, "draining");
    servers.insert(0, drains);
    let twice = second.entry("e1", 7, "up");
    servers.push(twice);
    rig.start();
    let mut client = rig.client();
    for n in 1..9 {
        client.mail("payment", 7, 8000, "x");
        wait_for("the mail at the second", || second.calls().len() == n || !first.calls().is_empty());
    }
    assert_eq!(first.calls().len(), 0);
}

#[test]
fn a_watch_that_falls_silent_is_asked_for_anew_from_where_it_was() {
    let mut rig = Rig::new(&[]);
    rig.start();
    rig.platform.tell(&format!("{}\n", json!({"version": 5, "full": false, "servers": []})));
    // The stand-in keeps the connection open and sends nothing more.
    wait_for("another watch", || rig.platform.since.lock().unwrap().iter().any(|s| s.contains("since=5 ")));
}

/// An endpoint whose queue of new connections is full, by the one given back: one more comes up when there is room.
fn crowded() -> (TcpListener, TcpStream) {
    let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    listener.bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().unwrap().into()).unwrap();
    listener.listen(0).unwrap();
    let listener: TcpListener = listener.into();
    let filler = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (listener, filler)
}

#[test]
fn a_connection_that_comes_up_after_the_mail_s_time_gets_nothing() {
    let (slow, filler) = crowded();
    let entry = json!({"id": "slow", "addr": slow.local_addr().unwrap().to_string(), "zone": "north",
        "kind": "shops", "cell": 7, "state": "up"});
    let mut rig = Rig::new(&[]);
    rig.json["known"]["servers"] = json!([entry]);
    rig.json["settings"]["limits"]["connect-timeout-ns"] = json!(60_000_000_000u64);
    // The connection is kept, and closed when it has been idle for so long.
    rig.json["settings"]["limits"]["keepalive-ns"] = json!(1_000_000_000);
    rig.start();
    let mut client = rig.client();
    let (id, from) = (client.mail("payment", 7, 3000, "x"), Instant::now());
    assert_eq!(client.says(b"PING\r\n"), "+PONG");
    // The dispatcher stands still while the connection comes up, until the queue lifetime is over.
    rig.signal(Signal::STOP);
    drop((slow.accept().unwrap(), filler));
    let mut late = slow.accept().unwrap().0;
    std::thread::sleep(Duration::from_millis(3500).saturating_sub(from.elapsed()));
    rig.signal(Signal::CONT);
    wait_for("the mail's end", || rig.platform.notice(&id).is_some());
    assert_eq!(rig.platform.notice(&id).unwrap()["result"], "bounced", "it never ran");
    let mut got = Vec::new();
    assert!(late.read_to_end(&mut got).is_ok() && got.is_empty());
}

#[test]
fn a_connection_that_comes_up_after_its_endpoint_began_to_drain_gets_nothing() {
    let (slow, filler) = crowded();
    let addr = slow.local_addr().unwrap().to_string();
    let entry = |state: &str| json!({"id": "slow", "addr": addr, "zone": "north", "kind": "shops", "cell": 7, "state": state});
    let second = Endpoint::start(OK);
    let mut rig = Rig::new(&[]);
    rig.json["known"]["servers"] = json!([entry("up"), second.entry("second", 7, "up")]);
    rig.json["settings"]["limits"]["connect-timeout-ns"] = json!(60_000_000_000u64);
    rig.start();
    let mut client = rig.client();
    // Picks are even: one of the two goes to the endpoint that does not answer yet.
    let mails = [client.mail("payment", 7, 24_000, "x"), client.mail("payment", 7, 24_000, "x")];
    let relayed = |id: &String| second.calls().iter().any(|c| c.header("X-Trace-Id") == id);
    wait_for("the first mail", || mails.iter().any(relayed));
    let news =
        json!({"version": 2, "full": false, "servers": [entry("draining"), second.entry("more", 9, "up")]});
    rig.platform.tell(&format!("{news}\n"));
    // Its destination is in the same line, so when it goes out the drain is known.
    // Until the line is read its destination is unknown, and a mail to it is turned away unheard.
    let later = fresh();
    let ask = put(&later, &format!("c=notice,d=19000,k=k{later},dest=9"), "x");
    wait_for("the news", || match rig.client().says(&ask).as_str() {
        "-ERR dest: unknown destination" => false,
        answer => {
            assert_eq!(answer, "+OK");
            true
        }
    });
    wait_for("a mail after the drain", || relayed(&later));
    drop((slow.accept().unwrap(), filler));
    let mut late = slow.accept().unwrap().0;
    let mut got = Vec::new();
    // It is closed, as the endpoint drains, and nothing was written to it.
    assert!(late.read_to_end(&mut got).is_ok() && got.is_empty());
    wait_for("both mails", || mails.iter().all(relayed));
}

#[test]
fn a_refused_mail_goes_to_another_route_and_one_that_is_over_is_over() {
    let (full, open) = (
        Endpoint::start(Does::Says("429 Full\r\nRetry-After: 1000")),
        Endpoint::start(Does::Says("410 Gone")),
    );
    let mut rig = Rig::new(&[(&full, 8), (&open, 8)]);
    for entry in rig.json["known"]["servers"].as_array_mut().unwrap() {
        entry["kind"] = "banks".into();
    }
    rig.start();
    let mut client = rig.client();
    for n in 1..10 {
        client.mail("payment", 8, 8000, "x");
        wait_for("the mail at the open route", || open.calls().len() == n);
    }
    assert_eq!(full.calls().len(), 1);
    assert_eq!(rig.platform.notices().len(), 0, "nothing is owed for what is over");
}

#[test]
fn a_connection_turned_away_with_503_and_closed_closes_no_sibling() {
    let full = Endpoint::start(Does::SaysLast("503 Service Unavailable\r\nConnection: close"));
    let open = Endpoint::start(OK);
    let mut rig = Rig::new(&[(&full, 7), (&open, 7)]);
    // In so large a fleet the wait after a refusal at their common limit would outlast every mail.
    rig.json["settings"]["balancers"] = 100_000_000.into();
    rig.start();
    let mut client = rig.client();
    for n in 1..4 {
        client.mail("payment", 7, 8000, "x");
        wait_for("the mail at the open route", || {
            open.calls().len() == n || !rig.platform.notices().is_empty()
        });
    }
    assert_eq!((full.calls().len(), open.calls().len(), rig.platform.notices().len()), (1, 3, 0));
}

#[test]
fn a_mail_whose_client_has_gone_on_is_not_taken() {
    let e = Endpoint::start(OK);
    let mut rig = Rig::new(&[(&e, 7)]);
    rig.start();
    let (mut client, id) = (rig.client(), fresh());
    assert_eq!(client.says(b"PING\r\n"), "+PONG");
    // The dispatcher stands still while the client hands in a mail and ends its side.
    rig.signal(Signal::STOP);
    client.to.write_all(&put(&id, "c=payment,d=8000,dest=7", "x")).unwrap();
    client.to.shutdown(std::net::Shutdown::Write).unwrap();
    rig.signal(Signal::CONT);
    assert_eq!([client.line(), client.line()], ["-BUSY", ""]);
    let later = rig.client().mail("payment", 7, 8000, "x");
    wait_for("a later mail", || e.calls().iter().any(|c| c.header("X-Trace-Id") == later));
    assert!(!e.calls().iter().any(|c| c.header("X-Trace-Id") == id));
}

#[test]
fn a_log_that_nobody_reads_stops_nothing() {
    let e = Endpoint::start(OK);
    let mut rig = Rig::new(&[(&e, 7)]);
    let mut command = rig.command("serve");
    command.stderr(Stdio::piped());
    rig.start_by(command);
    // Far more than a pipe holds.
    let garbage = "{\"not\": json\n".repeat(5000);
    wait_for("a watch", || !rig.platform.watches.lock().unwrap().is_empty());
    let chunk = format!("{:x}\r\n{garbage}\r\n", garbage.len());
    rig.platform.watches.lock().unwrap()[0].write_all(chunk.as_bytes()).unwrap();
    rig.platform.tell(&format!("{}\n", json!({"version": 2, "servers": [e.entry("more", 9, "up")]})));
    rig.client().mail("notice", 9, 19_000, "behind all the garbage");
    wait_for("the mail", || e.calls().len() == 1);
}

#[test]
fn on_sighup_discovery_moves_and_a_bad_configuration_is_not_taken() {
    let (failing, other) = (Endpoint::start(Does::Says("500 Oops")), Endpoint::start(OK));
    let mut rig = Rig::new(&[(&failing, 7)]);
    rig.platform.deaf.store(true, Ordering::SeqCst);
    rig.start();
    rig.platform.tell(&format!("{}\n", json!({"version": 90, "full": false, "servers": []})));
    let mut client = rig.client();
    let once = client.mail("payment", 7, 8000, "may have run");
    wait_for("the call", || failing.calls().len() == 1);
    let old = std::mem::replace(&mut rig.platform, Platform::start());
    // What cannot be taken changes nothing.
    std::fs::write(rig.folder.join("config.json"), "{\"listen\":").unwrap();
    rig.signal(Signal::HUP);
    assert_eq!(client.says(b"PING\r\n"), "+PONG");
    rig.json["discovery"] = "nowhere".into();
    drop(rig.command("check"));
    rig.signal(Signal::HUP);
    assert_eq!(client.says(b"PING\r\n"), "+PONG");
    assert_eq!(rig.platform.since.lock().unwrap().len(), 0);
    // A new discovery takes over the watch, from the beginning, and the notices that are owed; the rest stays.
    rig.json["discovery"] = rig.platform.addr.clone().into();
    rig.json["listen"] = "127.0.0.1:1".into();
    drop(rig.command("check"));
    rig.signal(Signal::HUP);
    wait_for("the notice", || rig.platform.notice(&once).is_some());
    rig.platform
        .tell(&format!("{}\n", json!({"version": 3, "full": true, "servers": [other.entry("e1", 7, "up")]})));
    assert!(rig.platform.since.lock().unwrap()[0].contains("since=0 "));
    wait_for("a mail by the new list", || {
        client.mail("notice", 7, 8000, "to whom");
        !other.calls().is_empty()
    });
    let mut end = [0];
    wait_for("the end of the old watch", || {
        old.watches.lock().unwrap().iter().all(|w| matches!((&*w).read(&mut end), Ok(0)))
    });
}

#[test]
fn clients_that_say_nothing_or_stop_half_way_are_parted_with_and_starve_nobody() {
    let e = Endpoint::start(OK);
    let mut rig = Rig::new(&[(&e, 7)]);
    rig.json["limits"]["sockets"] = json!(64);
    rig.start();
    let whole = put(&fresh(), "c=notice,d=8000,k=a,dest=7", "x");
    let mut bad: Vec<Client> = (0..150).map(|_| rig.client()).collect();
    for (n, client) in bad.iter_mut().enumerate() {
        // Some end up where there is no place for them yet; whatever happens to them is an end.
        let _ = client.to.write_all(&whole[..n % 3 * 20]);
    }
    for n in 1..=3 {
        rig.client().mail("notice", 7, 8000, "a usual client");
        wait_for("the mail", || e.calls().len() == n);
    }
    for client in &mut bad {
        let mut rest = Vec::new();
        match client.from.read_to_end(&mut rest) {
            Ok(_) => {}
            Err(e) => assert_ne!(e.kind(), std::io::ErrorKind::WouldBlock, "neither an error nor a close"),
        }
    }
    assert_eq!(e.calls().len(), 3);
}

/// Found on crowd+term+scrape: with no place left a client was parted with whose request had come and was not read yet.
#[test]
fn a_client_whose_request_has_come_gives_way_to_nobody() {
    let e = Endpoint::start(OK);
    let mut rig = Rig::new(&[(&e, 7)]);
    rig.json["limits"]["sockets"] = json!(64);
    rig.start();
    let silent = rig.client();
    let mut inside: Vec<Client> = (0..10).map(|_| rig.client()).collect();
    assert!(inside.iter_mut().all(|c| c.says(b"PING\r\n") == "+PONG"), "they and the one before are inside");
    // While the dispatcher stands still a crowd comes first, then the requests; all of them find it at once.
    rig.signal(Signal::STOP);
    let crowd: Vec<Client> = (0..150).map(|_| rig.client()).collect();
    let ids = [fresh(), fresh()];
    let mut askers = [silent, inside.remove(0)];
    for (asker, id) in askers.iter_mut().zip(&ids) {
        asker.to.write_all(&put(id, "c=payment,d=20000,dest=7", "x")).unwrap();
    }
    std::thread::sleep(Duration::from_millis(600));
    rig.signal(Signal::CONT);
    for asker in &mut askers {
        assert_eq!(asker.line(), "+OK");
    }
    for id in &ids {
        wait_for("the mail", || e.calls().iter().any(|c| c.header("X-Trace-Id") == id));
    }
    drop(crowd);
}

#[test]
fn a_client_that_keeps_erring_is_parted_with_and_hundreds_of_commands_are_all_answered() {
    let mut rig = Rig::new(&[]);
    rig.start();
    let mut client = rig.client();
    client.to.write_all(&b"PING\r\n".repeat(500)).unwrap();
    assert!((0..500).all(|_| client.line() == "+PONG"));
    client.to.write_all(&b"NONE\r\n".repeat(500)).unwrap();
    let mut rest = String::new();
    client.from.read_to_string(&mut rest).unwrap();
    assert!(rest.starts_with("-ERR unknown command") && rest.lines().count() < 500, "{rest}");
}

#[test]
fn a_second_process_in_a_folder_in_use_starts_beside_it_and_takes_over_its_mails() {
    let hung = Endpoint::start(Does::Hangs);
    let mut rig = Rig::new(&[(&hung, 7)]);
    rig.json["settings"]["services"][0]["window-ns"] = json!(60_000_000_000u64);
    rig.start();
    let mut client = rig.client();
    let (tagged, once) = (client.mail("notice", 7, 19_000, "t"), client.mail("payment", 7, 19_000, "o"));
    wait_for("both calls", || hung.calls().len() == 2);
    // A new version: the same folder and the same clients' address, while the old one still runs.
    let mut old = rig.child.take().unwrap();
    rig.start();
    let state = rig.folder.join("state");
    wait_for("a journal of its own", || state.join("mails.1").exists());
    assert!(old.try_wait().unwrap().is_none() && rig.child.as_mut().unwrap().try_wait().unwrap().is_none());
    hung.does(OK);
    old.kill().unwrap();
    old.wait().unwrap();
    wait_for("the old journal taken over", || !state.join("mails").exists());
    wait_for("the tagged mail again", || hung.calls().iter().filter(|c| c.body == "t").count() == 2);
    wait_for("the end of the once-only one", || rig.platform.notice(&once).is_some());
    assert_eq!(rig.platform.notice(&once).unwrap()["result"], "dead");
    assert_eq!(hung.calls().iter().filter(|c| c.body == "o").count(), 1, "it may have run");
    assert_eq!(rig.platform.notices().len(), 1, "{tagged} is relayed");
    // What was taken over is not done again by the process after it. Killed before it has read the platform's answer, this
    // one would leave the notice owed, to be told once more: that does no harm, but is not what is shown here.
    wait_for("the ends in the journal", || rig.kept_in("mails.1") == Kept::default());
    rig.kill();
    rig.start();
    let last = rig.client().mail("notice", 7, 8000, "last");
    wait_for("a later mail", || hung.calls().iter().any(|c| c.header("X-Trace-Id") == last));
    assert_eq!((hung.calls().len(), rig.platform.notices().len()), (4, 1));
}

#[test]
fn calls_are_answered_whatever_other_callers_do_and_figures_are_those_of_a_counted_run() {
    let (sound, failing, shut) = (
        Endpoint::start(OK),
        Endpoint::start(Does::Says("500 No")),
        Endpoint::start(Does::Says("429 Full\r\nRetry-After: 1000")),
    );
    let mut rig = Rig::new(&[(&sound, 7), (&failing, 8), (&shut, 9)]);
    rig.json["mgmt"] = rig.mgmt_at(0).into();
    rig.start();
    // Callers that say nothing, half a line, or too much hold nobody up.
    let addr = rig.mgmt_at(0);
    let mut idle: Vec<TcpStream> = (0..30).map(|_| TcpStream::connect(&addr).unwrap()).collect();
    idle.iter_mut().skip(15).for_each(|c| drop(c.write_all(b"show-st")));
    for (line, says) in [
        ("ready", "SUCCESS"),
        ("reboot", "FAILURE unknown call"),
        ("ready now", "FAILURE `ready` takes no word"),
        ("", "FAILURE an empty call"),
        ("disable-server", "FAILURE `disable-server` needs"),
        ("disable-server e9", "FAILURE unknown endpoint"),
        ("enable-server e9", "FAILURE unknown endpoint"),
        ("enable-server e0", "SUCCESS"),
        (&"x".repeat(600), "FAILURE a call is 512 bytes at most"),
    ] {
        let answer = rig.call(line);
        assert!(answer[0].starts_with(says), "{line}: {answer:?}");
    }
    let mut client = rig.client();
    for _ in 0..5 {
        client.mail("notice", 7, 8000, "relayed");
    }
    let once = client.mail("payment", 8, 8000, "bounced");
    let late = client.mail("notice", 9, 700, "deferred");
    client.mail("notice", 9, 19_000, "waits");
    wait_for("the ends", || {
        sound.calls().len() == 5 && [&once, &late].iter().all(|id| rig.platform.notice(id).is_some())
    });
    let figures = [
        ("downstream_requests.notice.completed", 5),
        ("downstream_requests.notice.rejected", 1),
        ("downstream_requests.notice.failed", 0),
        ("downstream_requests.payment.completed", 0),
        ("downstream_requests.payment.failed", 1),
        ("pending", 1),
        ("members", 3),
        ("members_unavailable", 0),
    ];
    for (name, value) in figures {
        wait_for(name, || rig.figure(name) == value);
    }
    let calls = sound.calls().len() + failing.calls().len() + shut.calls().len();
    assert_eq!(rig.figure("upstream_requests"), calls as u64);
    assert!(rig.call("disable-server e0")[0].starts_with("SUCCESS"));
    assert_eq!((rig.figure("members"), rig.figure("members_unavailable")), (3, 1));
    drop(idle);
}

#[test]
fn a_drained_dispatcher_says_no_keeps_what_it_holds_and_takes_clients_again() {
    let (sound, hung) = (Endpoint::start(OK), Endpoint::start(Does::Hangs));
    let mut rig = Rig::new(&[(&sound, 7), (&hung, 8)]);
    rig.json["mgmt"] = rig.mgmt_at(0).into();
    rig.start();
    let (mut idle, mut within, mut asks) = (rig.client(), rig.client(), rig.client());
    idle.mail("notice", 7, 8000, "before");
    let held = asks.mail("notice", 8, 19_000, "held over the drain");
    wait_for("the call that hangs", || !hung.calls().is_empty());
    let (first, second) = (put(&fresh(), "c=notice,d=8000,k=a,dest=7", "half"), fresh());
    within.to.write_all(&first[..30]).unwrap();
    // Written before the drain, and perhaps not read: it is answered all the same.
    asks.to.write_all(&put(&second, "c=notice,d=8000,k=b,dest=7", "crossing")).unwrap();
    assert!(rig.call("drain")[0].starts_with("SUCCESS"));
    assert!(rig.call("drain")[0].starts_with("SUCCESS"), "twice is once");
    assert_eq!((asks.line().as_str(), asks.line().as_str()), ("+OK", ""));
    assert_eq!(idle.line(), "", "parted with");
    assert_eq!(within.says(&first[30..]), "+OK");
    assert_eq!(within.line(), "", "parted with once it is answered");
    assert!(rig.client().says(b"PING\r\n").starts_with("-ERR draining"));
    assert!(rig.call("ready")[0].starts_with("FAILURE"));
    // One that comes nonetheless is served, and what was held goes on.
    let mut late = rig.client();
    late.mail("notice", 7, 8000, "late");
    assert_eq!(late.line(), "");
    hung.does(OK);
    wait_for("the mail held", || hung.calls().iter().filter(|c| c.header("X-Trace-Id") == held).count() == 2);
    wait_for("all of them", || rig.figure("downstream_requests.notice.completed") == 5);
    assert!(rig.child.as_mut().unwrap().try_wait().unwrap().is_none(), "it stays");
    assert!(rig.call("resume")[0].starts_with("SUCCESS"));
    let mut after = rig.client();
    assert_eq!(after.says(b"PING\r\n"), "+PONG");
    after.mail("notice", 7, 8000, "after");
    assert_eq!(after.says(b"PING\r\n"), "+PONG", "stays inside");
    assert!(rig.platform.notices().is_empty());
}

#[test]
fn an_endpoint_out_by_hand_stays_out_over_lists_restarts_and_upgrades() {
    let (a, b) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut rig = Rig::new(&[(&a, 7), (&b, 7)]);
    rig.json["mgmt"] = rig.mgmt_at(0).into();
    // Left by a process that was stopped in the middle of things: what is no id is passed over.
    std::fs::write(rig.folder.join("state/held-out"), "two words\ne0\n\n").unwrap();
    rig.start();
    let mut client = rig.client();
    let mails = |client: &mut Client, many: usize| {
        let before = a.calls().len() + b.calls().len();
        (0..many).for_each(|_| drop(client.mail("notice", 7, 20_000, "x")));
        wait_for("the mails", || a.calls().len() + b.calls().len() == before + many);
    };
    mails(&mut client, 10);
    assert_eq!((a.calls().len(), b.calls().len()), (0, 10), "held out by the list left");
    assert!(rig.call("enable-server e0")[0].starts_with("SUCCESS"));
    for _ in 0..2 {
        assert!(rig.call("disable-server e1")[0].starts_with("SUCCESS"));
    }
    // What discovery says meanwhile changes nothing.
    let up = json!({"version": 2, "full": true, "servers": [a.entry("e0", 7, "up"), b.entry("e1", 7, "up"),
        a.entry("e2", 8, "up")]});
    rig.platform.tell(&format!("{up}\n"));
    wait_for("the list", || rig.figure("members") == 3);
    mails(&mut client, 10);
    assert_eq!((a.calls().len(), b.calls().len()), (10, 10));
    // An end that the journal does not have yet would be owed again.
    wait_for("their ends", || rig.figure("downstream_requests.notice.completed") == 20);
    rig.kill();
    rig.start();
    client = rig.client();
    mails(&mut client, 10);
    assert_eq!((a.calls().len(), b.calls().len()), (20, 10), "over a restart");
    // A new version beside it, then a call to the old one: the new one heeds it too.
    let mut old = rig.child.take().unwrap();
    rig.json["mgmt"] = rig.mgmt_at(1).into();
    rig.start_beside();
    assert!(call_at(&rig.mgmt_at(0), "enable-server e1")[0].starts_with("SUCCESS"));
    wait_for("the call back at the new one", || rig.figure("members_unavailable") == 0);
    assert!(call_at(&rig.mgmt_at(0), "disable-server e0")[0].starts_with("SUCCESS"));
    let out = || std::fs::read_to_string(rig.folder.join("state/held-out")).unwrap();
    assert_eq!(out(), "e0\n");
    wait_for("the call out at the new one", || rig.figure("members_unavailable") == 1);
    old.kill().unwrap();
    old.wait().unwrap();
    client = rig.client();
    mails(&mut client, 10);
    assert_eq!((a.calls().len(), b.calls().len()), (20, 20), "over an upgrade");
    assert!(rig.call("enable-server e0")[0].starts_with("SUCCESS"), "one call undoes two");
    assert_eq!(rig.figure("members_unavailable"), 0);
}

#[test]
fn a_mgmt_address_that_cannot_be_had_is_named() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut rig = Rig::new(&[]);
    rig.json["mgmt"] = taken.local_addr().unwrap().to_string().into();
    let end = rig.command("serve").output().unwrap();
    let text = String::from_utf8(end.stderr).unwrap();
    assert!(
        !end.status.success() && text.contains(&format!("mgmt: {}", taken.local_addr().unwrap())),
        "{text}"
    );
}

#[test]
fn a_new_version_takes_over_under_load_and_each_mail_is_relayed_once() {
    let e = Endpoint::start(OK);
    let mut rig = Rig::new(&[(&e, 7)]);
    rig.json["mgmt"] = rig.mgmt_at(0).into();
    rig.json["settings"]["limits"]["max-open"] = json!(1000);
    rig.start();
    let (stop, taken) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (listen, stop, taken) = (rig.listen.clone(), Arc::clone(&stop), Arc::clone(&taken));
            std::thread::spawn(move || {
                let mut kept: Option<Client> = None;
                while !stop.load(Ordering::SeqCst) {
                    // Parted with between requests, a client asks once more on a new connection, under the same id.
                    let id = fresh();
                    let request = put(&id, "c=payment,d=20000,dest=7", "x");
                    for _ in 0..100 {
                        let Ok(mut client) = kept.take().map_or_else(|| connect(&listen), Ok) else {
                            continue;
                        };
                        let mut line = String::new();
                        let sent = client.to.write_all(&request);
                        if sent.and_then(|()| client.from.read_line(&mut line)).is_ok_and(|n| n > 0) {
                            assert_eq!(line, "+OK\r\n");
                            taken.lock().unwrap().push(id);
                            kept = Some(client);
                            break;
                        }
                    }
                    std::thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    let count = || taken.lock().unwrap().len();
    let more = |many: usize| {
        let from = count();
        wait_for("mails", || count() >= from + many);
    };
    more(40);
    let mut old = rig.child.take().unwrap();
    rig.json["mgmt"] = rig.mgmt_at(1).into();
    rig.start_beside();
    more(40);
    rustix::process::kill_process(rustix::process::Pid::from_child(&old), Signal::TERM).unwrap();
    assert_eq!(old.wait().unwrap().code(), Some(0));
    more(40);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().unwrap());
    let taken = taken.lock().unwrap().clone();
    wait_for("all of them", || e.calls().len() >= taken.len() && rig.figure("pending") == 0);
    let mut calls: Vec<String> = e.calls().iter().map(|c| c.header("X-Trace-Id").to_string()).collect();
    let all = calls.len();
    calls.sort();
    calls.dedup();
    assert_eq!((calls.len(), rig.platform.notices()), (all, vec![]), "none twice, none given up");
    assert!(taken.iter().all(|id| calls.binary_search(id).is_ok()), "none lost");
}

#[test]
fn the_disk_limit_is_kept_and_told_as_busy() {
    let e = Endpoint::start(Does::Says("429 Full\r\nRetry-After: 1"));
    let mut rig = Rig::new(&[(&e, 7)]);
    rig.json["limits"]["disk_mb"] = json!(0.4);
    rig.start();
    let mut client = rig.client();
    let body = "x".repeat(30_000);
    let used = || {
        let files = std::fs::read_dir(rig.folder.join("state")).unwrap().flatten();
        files.map(|f| f.metadata().map_or(0, |m| m.len().div_ceil(512) * 512)).sum::<u64>()
    };
    let mut answers = Vec::new();
    for _ in 0..40 {
        let id = fresh();
        answers.push(client.says(&put(&id, "c=payment,d=20000,k=x,dest=7", &body)));
        assert!(used() <= 400_000);
    }
    assert_eq!((answers[0].as_str(), answers[39].as_str()), ("+OK", "-BUSY"));
    // Once mails are over there is room again, however much was written before.
    e.does(OK);
    wait_for("room for many more", || {
        let answer = client.says(&put(&fresh(), "c=notice,d=20000,k=x,dest=7", &body));
        assert!(used() <= 400_000);
        e.calls().len() > 40 && answer == "+OK"
    });
}

#[test]
fn more_clients_than_descriptors_wait_and_those_inside_are_served() {
    let e = Endpoint::start(OK);
    let mut rig = Rig::new(&[(&e, 7)]);
    rig.json["limits"]["sockets"] = json!(64);
    rig.start();
    let mut client = rig.client();
    assert_eq!(client.says(b"PING\r\n"), "+PONG");
    let others: Vec<Client> = (0..100).map(|_| rig.client()).collect();
    for _ in 0..20 {
        client.mail("notice", 7, 8000, "served all the same");
    }
    wait_for("all of them", || e.calls().len() == 20);
    let open = std::fs::read_dir(format!("/proc/{}/fd", rig.child.as_ref().unwrap().id())).unwrap().count();
    assert!(open <= 64, "{open} descriptors");
    drop(others);
    assert_eq!(rig.client().says(b"PING\r\n"), "+PONG");
}
