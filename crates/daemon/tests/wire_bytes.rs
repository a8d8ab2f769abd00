//! Compares the exact bytes of every protocol with those that an earlier version wrote (`fixtures/wire`). Only addresses
//! and time-dependent values are masked.

use bellsill_test_support::client::put;
use bellsill_test_support::control_stand_in::Control;
use bellsill_test_support::dispatcher_process::DispatcherProcess;
use bellsill_test_support::endpoint::{Behavior, Endpoint, OK, up};
use bellsill_test_support::program;
use bellsill_test_support::stand_in::stand_in;
use bellsill_test_support::wait::wait_for;
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures/wire")
        .join(name)
}

fn assert_recorded(name: &str, text: &str) {
    let recorded = std::fs::read_to_string(fixture(name)).unwrap();
    assert_eq!(text, recorded, "the bytes of {name} have changed");
}

/// Reads one HTTP request without changing its bytes.
fn raw_request(from: &mut BufReader<TcpStream>) -> Option<String> {
    let mut request = String::new();
    while !request.ends_with("\r\n\r\n") {
        if from.read_line(&mut request).ok()? == 0 {
            return None;
        }
    }
    let length = request
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: "))
        .map_or(0, |digits| digits.parse().unwrap());
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some(request + &String::from_utf8(body).unwrap())
}

/// A server that records each request and sends the response that a function chooses for it.
#[derive(Clone)]
struct RecordingServer {
    address: String,
    requests: Arc<Mutex<Vec<String>>>,
}

impl RecordingServer {
    fn start(respond: fn(&str) -> &'static str) -> RecordingServer {
        let requests: Arc<Mutex<Vec<String>>> = Arc::default();
        let recorded = Arc::clone(&requests);
        let address = stand_in(move |stream| {
            let mut to = stream.try_clone().unwrap();
            let mut from = BufReader::new(stream);
            while let Some(request) = raw_request(&mut from) {
                let response = respond(&request);
                recorded.lock().unwrap().push(request);
                if to.write_all(response.as_bytes()).is_err() {
                    return;
                }
            }
        });
        RecordingServer { address, requests }
    }

    /// Waits for the first request that contains `text`, and masks the address in it.
    fn request_with(&self, text: &str) -> String {
        let find = || {
            let requests = self.requests.lock().unwrap();
            requests.iter().find(|r| r.contains(text)).cloned()
        };
        wait_for(text, || find().is_some());
        find().unwrap().replace(&self.address, "ADDRESS")
    }
}

const WATCH_OPENED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\n\r\n";

fn platform_response(request: &str) -> &'static str {
    if request.starts_with("POST") {
        NO_CONTENT
    } else {
        WATCH_OPENED
    }
}

/// Replaces the digits after each occurrence of `prefix` by `N`.
fn mask_digits_after(text: &str, prefix: &str) -> String {
    let mut parts = text.split(prefix);
    let first = parts.next().unwrap_or("").to_string();
    parts.fold(first, |masked, part| {
        masked + prefix + "N" + part.trim_start_matches(|c: char| c.is_ascii_digit())
    })
}

#[test]
fn requests_to_endpoints_have_the_recorded_bytes() {
    let endpoint = RecordingServer::start(|_| "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    let mut process = DispatcherProcess::new(program!(), &[]);
    process.config["known"]["servers"] = json!([up("e0", &endpoint.address, 7)]);
    process.start();
    let mut client = process.client();
    let tagged = put(
        "00000000000000a1",
        "c=notice,d=8000,k=a-key,dest=7",
        "tagged",
    );
    let plain = put(
        "00000000000000a2",
        "c=payment,d=9000,dest=7",
        "plain \u{e9}",
    );
    assert_eq!(client.send(&tagged), "+OK");
    assert_eq!(client.send(&plain), "+OK");
    let requests = ["00000000000000a1", "00000000000000a2"].map(|id| endpoint.request_with(id));
    assert_recorded(
        "calls.txt",
        &mask_digits_after(&requests.join("\n"), "X-Expires-In: "),
    );
}

#[test]
fn replies_to_clients_have_the_recorded_bytes() {
    let hung = Endpoint::start(Behavior::Hangs);
    let mut process = DispatcherProcess::new(program!(), &[(&hung, 7)]);
    process.config["settings"]["limits"]["max-open"] = json!(4);
    process.start();
    let long = "x".repeat(2000);
    let commands: Vec<Vec<u8>> = vec![
        b"PING\r\n".to_vec(),
        b"ping\r\n".to_vec(),
        b"*1\r\n$4\r\nPING\r\n".to_vec(),
        b"*2\r\n$4\r\nPING\r\n$2\r\nhi\r\n".to_vec(),
        b"GET key\r\n".to_vec(),
        b"MSG.PUT\r\n".to_vec(),
        b"*x\r\n".to_vec(),
        b"*1\r\n+4\r\n".to_vec(),
        b"*1\r\n$99999999\r\n".to_vec(),
        b"*1\r\n$2\r\nabcd\r\n".to_vec(),
        b"\x01\r\n".to_vec(),
        format!("{long}\r\n").into_bytes(),
        put("zz", "c=notice,d=8000,k=a,dest=7", "body"),
        put("00000000000000b1", "c=other,d=8000,k=a,dest=7", "body"),
        put("00000000000000b2", "c=notice,d=8000,dest=7", "body"),
        put("00000000000000b3", "c=notice,d=90000000,k=a,dest=7", "body"),
        put("00000000000000b4", "c=notice,d=8000,k=a,dest=99", "body"),
        put("00000000000000b5", "c=notice,d=soon,k=a,dest=7", "body"),
        put("00000000000000b6", "c=notice,d=8000,k=a", "body"),
        put("00000000000000b7", "d=8000,k=a,dest=7", "body"),
        put(
            "00000000000000b8",
            "c=notice,c=notice,d=8000,k=a,dest=7",
            "body",
        ),
        put(
            "00000000000000b9",
            &format!("c=notice,d=8000,k={},dest=7", "k".repeat(65)),
            "body",
        ),
        put("00000000000000ba", "c=notice,d=8000,k=a,dest=7", "body"),
        put("00000000000000ba", "c=notice,d=8000,k=a,dest=7", "body"),
        put("00000000000000bb", "c=notice,d=8000,k=b,dest=7", "body"),
        put("00000000000000bc", "c=notice,d=8000,k=c,dest=7", "body"),
        put("00000000000000bd", "c=notice,d=8000,k=d,dest=7", "body"),
    ];
    let replies = commands.iter().map(|command| {
        let mut client = process.client();
        client.writer.write_all(command).unwrap();
        let mut reply = String::new();
        client.reader.read_line(&mut reply).unwrap();
        let shown: String = String::from_utf8_lossy(command).chars().take(90).collect();
        format!("{} => {}\n", shown.escape_debug(), reply.escape_debug())
    });
    let replies: String = replies.collect();
    assert_recorded("answers.txt", &replies);
}

#[test]
fn notifications_and_the_unscoped_watch_have_the_recorded_bytes() {
    let failing = Endpoint::start(Behavior::Responds("500 Oops"));
    let full = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 1000"));
    let platform = RecordingServer::start(platform_response);
    let mut process = DispatcherProcess::new(program!(), &[(&failing, 7), (&full, 99)]);
    process.config["discovery"] = platform.address.clone().into();
    process.start();
    let mut client = process.client();
    client.send(&put(
        "00000000000000c1",
        "c=payment,d=8000,dest=7",
        "may have run",
    ));
    let failed = platform.request_with("00000000000000c1");
    client.send(&put(
        "00000000000000c2",
        "c=notice,d=100,k=a,dest=99",
        "refused",
    ));
    let rejected = platform.request_with("00000000000000c2");
    let watch = platform.request_with("GET ");
    let requests = [watch, failed, rejected].join("\n");
    assert_recorded(
        "platform.txt",
        &mask_digits_after(&requests, "\"wait_ms\":"),
    );
}

#[test]
fn the_scoped_watch_has_the_recorded_bytes() {
    let control = RecordingServer::start(|_| WATCH_OPENED);
    let mut process = DispatcherProcess::new(program!(), &[]);
    start_scoped(&mut process, &control.address);
    assert_recorded("scoped_watch.txt", &control.request_with("follow=1"));
}

#[test]
fn the_lookup_of_a_destination_has_the_recorded_query() {
    let control = Control::start();
    let mut process = DispatcherProcess::new(program!(), &[]);
    start_scoped(&mut process, &control.addr);
    process.client().send(&put(
        "00000000000000d1",
        "c=notice,d=8000,k=a,dest=47",
        "body",
    ));
    wait_for("a lookup", || !control.lookup_queries().is_empty());
    assert_recorded("look_up.txt", &control.lookup_queries()[0]);
}

/// Starts a dispatcher with a scoped configuration that follows this control process.
fn start_scoped(process: &mut DispatcherProcess, control: &str) {
    let installation = process.dir.join("installation.toml");
    let text = format!(
        "dispatcher = \"d1\"\nzone = \"north\"\ncontrol = [{control:?}]\nbuckets_per_region = 4\ncache_destinations = 8\n\
         zones = [{{name = \"north\", region = \"a\"}}, {{name = \"south\", region = \"b\"}}]\n",
    );
    std::fs::write(&installation, text).unwrap();
    let mut command = process.command("serve");
    command.arg("--installation").arg(&installation);
    process.start_command(command);
}

#[test]
fn replies_to_operators_have_the_recorded_bytes() {
    let endpoint = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&endpoint, 7)]);
    process.config["mgmt"] = process.admin_addr(0).into();
    process.start();
    let long = "x".repeat(600);
    let requests = [
        "ready",
        "show-stat",
        "drain",
        "ready",
        "resume",
        "disable-server e0",
        "show-stat",
        "enable-server e0",
        "disable-server nobody",
        "disable-server",
        "ready now",
        "reboot",
        "",
        &long,
    ];
    let exchange = |request: &&str| {
        let mut stream = TcpStream::connect(process.config["mgmt"].as_str().unwrap()).unwrap();
        stream.write_all(format!("{request}\n").as_bytes()).unwrap();
        let mut from = BufReader::new(stream);
        let mut reply = String::new();
        from.read_line(&mut reply).unwrap();
        while *request == "show-stat" && !reply.ends_with("EOT\n") {
            from.read_line(&mut reply).unwrap();
        }
        let shown: String = request.chars().take(40).collect();
        format!("> {shown}\n{reply}")
    };
    let exchanges: String = requests.iter().map(exchange).collect();
    assert_recorded("operators.txt", &exchanges);
}
