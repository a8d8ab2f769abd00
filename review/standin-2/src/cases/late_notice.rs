//! An upgrade while a destination hangs: the old process stops its decisions 2.9 s after SIGTERM and holds its messages
//! until 3.5 s.

use crate::Verdict;
use crate::dispatcher::{Client, Folder, Process, Put, free_addr, wait_admin_ready, wait_ready};
use crate::endpoint::{Calls, Endpoint, Mode};
use crate::platform::{Entry, Platform};
use crate::record::Record;
use crate::settings::{Dispatcher, LJUBLJANA};
use std::thread::sleep;
use std::time::Duration;

/// Half a second, as the renewed page has it in place of 300 ms, and 50 ms as on sockets every time limit is longer.
const LIMIT_MS: u64 = 550;

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let calls = Calls::default();
    let hung = Endpoint::start("s-1", 7, Mode::Hang, &calls, record);
    // Half of the endpoints hang.
    let sound = Endpoint::start("s-2", 8, Mode::Deliver(100), &calls, record);
    let other = Entry { id: "s-2".into(), addr: sound.addr.clone(), zone: "hall-b".into(), kind: "farms".into(), cell: 8, state: "up" };
    let entry = Entry { id: "s-1".into(), addr: hung.addr.clone(), zone: "hall-a".into(), kind: "farms".into(), cell: 7, state: "up" };
    let platform = Platform::start(&[entry, other], record);
    let folder = Folder::create();
    let (listen, mgmt_old, mgmt_new) = (free_addr(), free_addr(), free_addr());
    let known = platform.list();
    let config = |mgmt: &str| {
        Dispatcher { listen: &listen, platform: &platform, known: &known, settings: LJUBLJANA, mgmt: Some(mgmt), seed: 0x8c1f30d27a5be964 }.json()
    };
    let mut old = Process::start("old", &folder.0, &config(&mgmt_old), None, record);
    if !wait_ready(&listen, Duration::from_secs(10), record) {
        return Verdict::CannotRun("the dispatcher was not ready".into());
    }
    let Ok(mut client) = Client::connect(&listen, record) else {
        return Verdict::CannotRun("no connection".into());
    };
    let mut new = None;
    if trouble {
        new = Some(Process::start("new", &folder.0, &config(&mgmt_new), None, record));
        if !wait_admin_ready(&mgmt_new, Duration::from_secs(6), record) {
            return Verdict::CannotRun("the new process did not say yes within 6 s".into());
        }
        old.signal("TERM");
    }
    let term = record.ms();
    // On a connection that stays open, the old process takes on payments whose calls hang, and notices that run out.
    let mut due = vec![];
    for (number, class, life) in [(1, "payment", 20000), (2, "payment", 20000), (3, "notice", 0), (4, "notice", 0), (5, "payment", 0), (6, "payment", 0)] {
        sleep(Duration::from_millis(100));
        let now = record.ms();
        // The short ones run out 2.94 s after SIGTERM.
        let life = if life == 0 { term + 2940 - now } else { life };
        let id = format!("{:016x}", 0xc000 + number);
        let key = if class == "notice" { format!(",k={id}") } else { String::new() };
        let fields = format!("c={class},d={life},dest=7{key}");
        if !client.put(&Put { key: 0, id: &id, fields: &fields, body: "hello" }) {
            return Verdict::CannotRun("a message was not taken on".into());
        }
        // The time counts from the client's sending; the later moment is taken, in favour of the dispatcher.
        due.push((id, record.ms() + life));
    }
    drop(client);
    if trouble {
        old.wait_for_end(Duration::from_secs(5));
    }
    sleep(Duration::from_millis((term + 6000).saturating_sub(record.ms())));
    let notices = platform.notices();
    let mut late = vec![];
    for (id, due) in due.iter().filter(|(_, due)| *due < term + 4000) {
        let told = notices.iter().find(|n| n.message == *id).map(|n| n.at);
        let after = told.map(|at| at as i64 - *due as i64);
        record.line(&format!("message {id}: due at {due} ms, its notice came {after:?} ms after that"));
        if told.is_none_or(|at| at > due + LIMIT_MS) {
            late.push(after);
        }
    }
    drop((old, new));
    match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!("notices came {late:?} ms after the messages' time, {LIMIT_MS} ms are allowed")),
    }
}
