//! A new configuration moves discovery; the new address sends the whole list of a large fleet, indented.

use crate::Verdict;
use crate::dispatcher::{Client, Folder, Process, Put, free_addr, wait_ready};
use crate::endpoint::{Calls, Endpoint, Mode};
use crate::platform::{Entry, Platform};
use crate::record::Record;
use crate::settings::{Dispatcher, LJUBLJANA};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;

/// Half a second, as the renewed page has it in place of 300 ms, and 50 ms as on sockets every time limit is longer.
const LIMIT_MS: u64 = 550;
/// The messages of the clump.
const CLUMP: u64 = 40;
/// The most endpoints that the pages name.
const MOST_ENDPOINTS: usize = 3200;

pub fn run(trouble: bool, record: &Record) -> Verdict {
    // `ENDPOINTS` is for a look at smaller fleets; the case is the default.
    let endpoints: usize = std::env::var("ENDPOINTS").ok().and_then(|v| v.parse().ok()).unwrap_or(MOST_ENDPOINTS);
    let calls = Calls::default();
    let endpoint = Endpoint::start("s-0", 7, Mode::Deliver(250), &calls, record);
    // Nobody sends messages to the other destinations, and nothing listens at their addresses.
    let mut entries: Vec<Entry> = (1..endpoints as u64)
        .map(|n| Entry {
            id: format!("s-{n:08x}"),
            addr: format!("127.1.{}.{}:6379", n / 200, n % 200 + 1),
            zone: ["hall-a", "hall-b", "hall-c"][(n % 3) as usize].into(),
            kind: ["grocers", "couriers", "farms"][(n % 3) as usize].into(),
            cell: 100 + n / 2,
            state: "up",
        })
        .collect();
    entries.push(Entry { id: "s-0".into(), addr: endpoint.addr.clone(), zone: "hall-a".into(), kind: "farms".into(), cell: 7, state: "up" });
    let (old, new) = (Platform::start(&entries, record), Platform::start(&entries, record));
    // `COMPACT` is for comparison: the same list on one line.
    if std::env::var_os("COMPACT").is_none() {
        old.indent();
        new.indent();
    }
    let folder = Folder::create();
    let listen = free_addr();
    let known = old.list();
    let config = |platform: &Platform| {
        Dispatcher { listen: &listen, platform, known: &known, settings: LJUBLJANA, mgmt: None, seed: 0x8c1f30d27a5be964 }.json()
    };
    let process = Process::start("only", &folder.0, &config(&old), None, record);
    if !wait_ready(&listen, Duration::from_secs(20), record) {
        return Verdict::CannotRun("the dispatcher was not ready".into());
    }
    sleep(Duration::from_millis(2500));
    let Ok(mut client) = Client::connect(&listen, record) else {
        return Verdict::CannotRun("no connection".into());
    };
    // A clump for one destination, which takes 250 ms for each; the first run out of time after 2 s, the last after 10 s.
    let mut due = vec![];
    for number in 0..CLUMP {
        let (id, life) = (format!("{:016x}", 0xf000 + number), 2000 + 200 * number);
        let fields = format!("c=payment,d={life},dest=7");
        if client.put(&Put { key: 0, id: &id, fields: &fields, body: "hello" }) {
            due.push((id, record.ms() + life));
        }
    }
    drop(client);
    if (due.len() as u64) < CLUMP {
        return Verdict::CannotRun(format!("{} messages were taken on", due.len()));
    }
    // Asks whether the dispatcher is there, and records the longest time without an answer.
    let (stop, longest) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let asking = {
        let (stop, longest, listen, record) = (stop.clone(), longest.clone(), listen.clone(), record.clone());
        thread::spawn(move || {
            let mut last = record.ms();
            while !stop.load(Ordering::SeqCst) {
                if Client::connect(&listen, &record).is_ok_and(|mut client| client.ping()) {
                    last = record.ms();
                }
                longest.fetch_max(record.ms() - last, Ordering::SeqCst);
                sleep(Duration::from_millis(50));
            }
        })
    };
    sleep(Duration::from_millis(100));
    if trouble {
        std::fs::write(folder.0.join("config-only.json"), config(&new)).unwrap();
        process.signal("HUP");
    }
    sleep(Duration::from_millis(1500));
    if trouble {
        old.leave();
    }
    // To the end of the last message's time, and long enough for late notices.
    let last = due.iter().map(|(_, due)| *due).max().unwrap_or(0);
    sleep(Duration::from_millis((last + 30000).saturating_sub(record.ms()).min(45000)));
    stop.store(true, Ordering::SeqCst);
    asking.join().ok();
    let notices: Vec<_> = old.notices().into_iter().chain(new.notices()).collect();
    let mut late = vec![];
    for (id, due) in &due {
        let delivered = calls.lock().unwrap().iter().filter(|c| c.message == *id && c.status == 200).map(|c| c.answered_at).min();
        let notice = notices.iter().filter(|n| n.message == *id).map(|n| n.at).min();
        let ended = delivered.into_iter().chain(notice).min();
        record.line(&format!("message {id}: its time is up at {due} ms, delivered at {delivered:?}, notice at {notice:?}"));
        if ended.is_none_or(|at| at > due + LIMIT_MS) {
            late.push(ended.map_or(u64::MAX, |at| at - due));
        }
    }
    let longest = longest.load(Ordering::SeqCst);
    record.line(&format!("longest time without an answer to PING: {longest} ms"));
    drop(process);
    match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!(
            "{} of {} messages were ended too late, up to {} ms after their time, {LIMIT_MS} ms are allowed; no answer to PING for {longest} ms",
            late.len(),
            due.len(),
            late.iter().max().copied().unwrap_or_default()
        )),
    }
}
