//! A restart after SIGKILL with a scoped configuration: the saved list is up to 5 s older than what the process had applied.

use crate::Verdict;
use crate::dispatcher::{Client, Folder, Process, Put, admin_text, free_addr, wait_ready};
use crate::endpoint::{Calls, Endpoint, Mode};
use crate::platform::Platform;
use crate::record::Record;
use crate::settings::{Dispatcher, LJUBLJANA};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Writes to the control process; returns whether it answered 200.
fn post(addr: &str, path: &str, body: &str, record: &Record) -> bool {
    let Ok(mut stream) = TcpStream::connect(addr) else { return false };
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok();
    let request = format!("POST {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let mut reply = String::new();
    stream.write_all(request.as_bytes()).ok();
    stream.read_to_string(&mut reply).ok();
    let first = reply.lines().next().unwrap_or_default().to_string();
    let last = reply.lines().last().unwrap_or_default().to_string();
    record.line(&format!("written to the control process: {body}: {first}: {last}"));
    first.contains(" 200 ")
}

fn entry(id: &str, at: &Endpoint, cell: u64, zone: &str, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{}","zone":"{zone}","kind":"couriers","cell":{cell},"state":"{state}","weight":1.0}}"#,
        at.addr
    )
}

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let calls = Calls::default();
    let moved = Endpoint::start("s-1", 7, Mode::Deliver(250), &calls, record);
    let second = Endpoint::start("s-2", 7, Mode::Deliver(250), &calls, record);
    let third = Endpoint::start("s-3", 8, Mode::Deliver(250), &calls, record);
    let platform = Platform::start(&[], record);
    let folder = Folder::create();
    let (listen, mgmt, control) = (free_addr(), free_addr(), free_addr());
    let zones = "zones = [{name = \"hall-a\", region = \"r\"}, {name = \"hall-b\", region = \"r\"}, {name = \"hall-c\", region = \"r\"}]\n";
    let control_file = folder.0.join("control.toml");
    let control_state = folder.0.join("control-state");
    std::fs::write(&control_file, format!(
        "name = \"control-1\"\nlisten = \"{control}\"\nstate = \"{}\"\nrole = \"writer\"\nbuckets_per_region = 8\n{zones}",
        control_state.display()
    )).unwrap();
    let installation = folder.0.join("installation.toml");
    std::fs::write(&installation, format!(
        "dispatcher = \"d1\"\nzone = \"hall-a\"\ncontrol = [\"{control}\"]\nbuckets_per_region = 8\n{zones}"
    )).unwrap();
    let _control = Process::start_control(&control_file, &folder.0, record);
    let ready = Instant::now();
    while TcpStream::connect(&control).is_err() && ready.elapsed() < Duration::from_secs(5) {
        sleep(Duration::from_millis(10));
    }
    if !post(&control, "/v2/members", r#"{"name":"d1","zone":"hall-a"}"#, record) {
        return Verdict::CannotRun("the control process did not take the member".into());
    }
    let first = [entry("s-1", &moved, 7, "hall-a", "up"), entry("s-2", &second, 7, "hall-b", "up"), entry("s-3", &third, 8, "hall-c", "up")].join("\n");
    if !post(&control, "/api/targets", &first, record) {
        return Verdict::CannotRun("the control process did not take the endpoints".into());
    }
    sleep(Duration::from_millis(1500));
    let config = |seed| {
        let known = r#"{"version":0,"full":true,"servers":[]}"#;
        Dispatcher { listen: &listen, platform: &platform, known, settings: LJUBLJANA, mgmt: Some(&mgmt), seed }.json()
    };
    let mut process = Process::start("first", &folder.0, &config(0x8c1f30d27a5be964), Some(&installation), record);
    let started = Instant::now();
    if !wait_ready(&listen, Duration::from_secs(10), record) {
        return Verdict::CannotRun("the dispatcher was not ready".into());
    }
    let mut number = 0;
    let mut put = |client: &mut Client, destination: u64| {
        number += 1;
        let (id, body) = (format!("{:016x}", 0xe000 + number), format!("payment {number} for destination {destination}"));
        client.put(&Put { key: 0, id: &id, fields: &format!("c=payment,d=20000,dest={destination}"), body: &body })
    };
    let Ok(client) = Client::connect(&listen, record) else {
        return Verdict::CannotRun("no connection".into());
    };
    // The list is saved 5 s after the start. Soon after that s-1 drains, goes, and a new endpoint of destination 8 starts at
    // its address.
    sleep(Duration::from_millis(5300).saturating_sub(started.elapsed()));
    post(&control, "/api/targets", &entry("s-1", &moved, 7, "hall-a", "draining"), record);
    sleep(Duration::from_millis(1500));
    post(&control, "/api/targets", &entry("s-1", &moved, 7, "hall-a", "removed"), record);
    moved.replace("s-9", 8, record);
    sleep(Duration::from_millis(200));
    post(&control, "/api/targets", &entry("s-9", &moved, 8, "hall-a", "up"), record);
    sleep(Duration::from_millis(300));
    drop(client);
    let Ok(mut client) = Client::connect(&listen, record) else {
        return Verdict::CannotRun("no connection".into());
    };
    // It has applied the change: all payments for destination 7 go to s-2.
    for _ in 0..14 {
        if !put(&mut client, 7) {
            return Verdict::CannotRun("a message was not taken on".into());
        }
    }
    sleep(Duration::from_millis(700));
    let wrong = |calls: &Calls| calls.lock().unwrap().iter().filter(|c| c.destination == 8).count();
    if wrong(&calls) > 0 || calls.lock().unwrap().is_empty() {
        return Verdict::CannotRun("the change was not in force before the kill".into());
    }
    for line in admin_text(&mgmt, "show-stat").lines().filter(|line| line.contains("scope.version") || line.contains("unsaved")) {
        record.line(line);
    }
    if trouble {
        process.kill();
        sleep(Duration::from_millis(1000));
        process = Process::start("second", &folder.0, &config(0x11d27a5be9648c1f), Some(&installation), record);
        if !wait_ready(&listen, Duration::from_secs(10), record) {
            return Verdict::CannotRun("the dispatcher was not ready again".into());
        }
    }
    sleep(Duration::from_millis(7000));
    drop((client, process));
    let found = wrong(&calls);
    let delivered = calls.lock().unwrap().iter().filter(|c| c.destination == 7 && c.status == 200).count();
    record.line(&format!("destination 7 got {delivered} payments, destination 8 got {found} of them; {} notices", platform.notices().len()));
    match found {
        0 => Verdict::Held,
        _ => Verdict::Broken(format!("{found} payments for destination 7 were given to an endpoint of destination 8, which answered 200")),
    }
}
