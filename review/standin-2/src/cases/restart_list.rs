//! A restart after SIGKILL: the messages of the journal are sent by the list of the configuration file, before discovery's
//! answer is read.

use crate::Verdict;
use crate::dispatcher::{Client, Folder, Process, Put, free_addr, wait_ready};
use crate::endpoint::{Calls, Endpoint, Mode};
use crate::platform::{Entry, Platform};
use crate::record::Record;
use crate::settings::{Dispatcher, LJUBLJANA};
use std::thread::sleep;
use std::time::Duration;

fn entry(id: &str, at: &Endpoint, cell: u64, zone: &str, state: &'static str) -> Entry {
    Entry { id: id.into(), addr: at.addr.clone(), zone: zone.into(), kind: "couriers".into(), cell, state }
}

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let calls = Calls::default();
    // A payment takes 250 ms.
    let moved = Endpoint::start("s-1", 7, Mode::Deliver(250), &calls, record);
    let second = Endpoint::start("s-2", 7, Mode::Deliver(250), &calls, record);
    let third = Endpoint::start("s-3", 8, Mode::Deliver(250), &calls, record);
    let platform = Platform::start(
        &[entry("s-1", &moved, 7, "hall-a", "up"), entry("s-2", &second, 7, "hall-b", "up"), entry("s-3", &third, 8, "hall-c", "up")],
        record,
    );
    let folder = Folder::create();
    let listen = free_addr();
    // The list as this dispatcher had it last: nothing changes before it is killed.
    let known = platform.list();
    let config = |seed| Dispatcher { listen: &listen, platform: &platform, known: &known, settings: LJUBLJANA, mgmt: None, seed }.json();
    let mut process = Process::start("first", &folder.0, &config(0x8c1f30d27a5be964), None, record);
    if !wait_ready(&listen, Duration::from_secs(10), record) {
        return Verdict::CannotRun("the dispatcher was not ready".into());
    }
    // So that the watch is open.
    sleep(Duration::from_millis(1500));
    let Ok(mut client) = Client::connect(&listen, record) else {
        return Verdict::CannotRun("no connection".into());
    };
    let clump = 12;
    for number in 1..=clump {
        let (id, body) = (format!("{:016x}", 0xb000 + number), format!("payment {number} for destination 7"));
        if !client.put(&Put { key: 0, id: &id, fields: "c=payment,d=20000,dest=7", body: &body }) {
            return Verdict::CannotRun("a message was not taken on".into());
        }
    }
    sleep(Duration::from_millis(120));
    if trouble {
        process.kill();
    }
    drop(client);
    // The endpoint s-1 drains, goes, and a new endpoint of destination 8 starts at its address.
    platform.change(entry("s-1", &moved, 7, "hall-a", "draining"));
    sleep(Duration::from_millis(3000));
    platform.change(entry("s-1", &moved, 7, "hall-a", "removed"));
    moved.replace("s-9", 8, record);
    sleep(Duration::from_millis(500));
    platform.change(entry("s-9", &moved, 8, "hall-a", "up"));
    sleep(Duration::from_millis(500));
    if trouble {
        process = Process::start("second", &folder.0, &config(0x11d27a5be9648c1f), None, record);
        if !wait_ready(&listen, Duration::from_secs(10), record) {
            return Verdict::CannotRun("the dispatcher was not ready again".into());
        }
    }
    sleep(Duration::from_millis(8000));
    drop(process);
    let calls = calls.lock().unwrap();
    let notices = platform.notices().len();
    let found = calls.iter().filter(|c| c.destination == 8).count();
    let delivered = calls.iter().filter(|c| c.destination == 7 && c.status == 200).count();
    record.line(&format!("destination 7 got {delivered} of {clump} payments, destination 8 got {found} of them; {notices} notices"));
    if found > 0 {
        return Verdict::Broken(format!(
            "{found} payments for destination 7 were given to an endpoint of destination 8, which answered 200; {notices} notices came"
        ));
    }
    match delivered > 0 {
        true => Verdict::Held,
        false => Verdict::CannotRun("no message was delivered".into()),
    }
}
