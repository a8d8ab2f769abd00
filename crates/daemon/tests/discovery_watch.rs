//! The watch on discovery: followed over breaks, and moved on SIGHUP.

use bellsill_test_support::client::{fresh, put};
use bellsill_test_support::dispatcher_process::DispatcherProcess;
use bellsill_test_support::endpoint::{Behavior, Endpoint, OK, up};
use bellsill_test_support::platform::Platform;
use bellsill_test_support::program;
use bellsill_test_support::stand_in::{accept, request};
use bellsill_test_support::wait::wait_for;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;

#[test]
fn the_watch_is_followed_over_split_lines_bad_lines_and_disconnects() {
    let (first, second) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut process = DispatcherProcess::new(program!(), &[(&first, 7)]);
    process.start();
    let mut client = process.client();
    let tell = |version: u64, entries: Vec<Value>| {
        process
            .platform
            .publish("\n{\"not\": json\n{\"version\":true}\n\n");
        let line = json!({"version": version, "full": false, "servers": entries});
        process.platform.publish(&format!("{line}\n"));
    };
    let nonsense =
        json!({"id": "e9", "addr": "nowhere", "zone": "z", "kind": "k", "cell": 7, "state": "up"});
    tell(
        2,
        vec![
            nonsense,
            second.entry("e1", 7, "up"),
            first.entry("e0", 7, "draining"),
        ],
    );
    wait_for("messages at the newcomer", || {
        client.message("notice", 7, 8000, "to whom");
        !second.calls().is_empty()
    });
    for _ in 0..10 {
        client.message("notice", 7, 8000, "not to the first");
    }
    let bodies = |e: &Endpoint, body: &str| e.calls().iter().filter(|c| c.body == body).count();
    wait_for("all of them", || bodies(&second, "not to the first") == 10);
    assert_eq!(bodies(&first, "not to the first"), 0);
    // The watch disconnects: it is reopened after the last version.
    for watch in process.platform.watches.lock().unwrap().drain(..) {
        watch.shutdown(std::net::Shutdown::Both).unwrap();
    }
    let since = || {
        process
            .platform
            .since
            .lock()
            .unwrap()
            .last()
            .cloned()
            .unwrap()
    };
    wait_for("a new watch", || since().contains("since=2 "));
    tell(
        3,
        vec![first.entry("e0", 7, "up"), second.entry("e1", 7, "removed")],
    );
    wait_for("messages at the first again", || {
        client.message("notice", 7, 8000, "back");
        bodies(&first, "back") > 0
    });
}

#[test]
fn an_endpoint_listed_twice_gets_no_new_message_if_it_drains() {
    let (first, second) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut process = DispatcherProcess::new(program!(), &[(&first, 7), (&second, 7)]);
    let servers = process.json["known"]["servers"].as_array_mut().unwrap();
    let drains = first.entry("e0", 7, "draining");
    servers.insert(0, drains);
    let twice = second.entry("e1", 7, "up");
    servers.push(twice);
    process.start();
    let mut client = process.client();
    for n in 1..9 {
        client.message("payment", 7, 8000, "x");
        wait_for("the message at the second", || {
            second.calls().len() == n || !first.calls().is_empty()
        });
    }
    assert_eq!(first.calls().len(), 0);
}

/// Seen with a scoped configuration: the connection of a call that was out when its endpoint moved was kept for the next call,
/// and with one message after another all went to the old address.
#[test]
fn the_connection_of_an_attempt_whose_endpoint_was_relocated_is_not_reused() {
    let (old, new) = (
        TcpListener::bind("127.0.0.1:0").unwrap(),
        Endpoint::start(OK),
    );
    let mut process = DispatcherProcess::new(program!(), &[]);
    process.json["mgmt"] = process.mgmt_at(0).into();
    process.json["known"]["servers"] =
        vec![up("e0", &old.local_addr().unwrap().to_string(), 7)].into();
    process.start();
    let mut client = process.client();
    client.message("notice", 7, 8000, "out");
    let mut out = accept(&old);
    request(&mut out).unwrap();
    let moved = vec![new.entry("e0", 7, "up"), new.entry("e1", 8, "up")];
    process.platform.publish(&format!(
        "{}\n",
        json!({"version": 5, "full": false, "servers": moved})
    ));
    wait_for("the list", || process.metric("members") == 2);
    out.get_mut()
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        .unwrap();
    let mut end = [0];
    assert_eq!(
        out.read(&mut end).unwrap(),
        0,
        "it is closed, and nothing more comes on it"
    );
    client.message("notice", 7, 8000, "after");
    wait_for("the message at the new address", || new.calls().len() == 1);
}

#[test]
fn a_silent_watch_is_reopened_from_its_last_version() {
    let mut process = DispatcherProcess::new(program!(), &[]);
    process.start();
    process.platform.publish(&format!(
        "{}\n",
        json!({"version": 5, "full": false, "servers": []})
    ));
    // The stand-in keeps the connection open and sends nothing more.
    wait_for("another watch", || {
        process
            .platform
            .since
            .lock()
            .unwrap()
            .iter()
            .any(|s| s.contains("since=5 "))
    });
}

#[test]
fn on_sighup_discovery_is_relocated_and_a_bad_configuration_is_rejected() {
    let (failing, other) = (
        Endpoint::start(Behavior::Responds("500 Oops")),
        Endpoint::start(OK),
    );
    let mut process = DispatcherProcess::new(program!(), &[(&failing, 7)]);
    process.platform.deaf.store(true, Ordering::SeqCst);
    process.start();
    process.platform.publish(&format!(
        "{}\n",
        json!({"version": 90, "full": false, "servers": []})
    ));
    let mut client = process.client();
    let once = client.message("payment", 7, 8000, "may have run");
    wait_for("the call", || failing.calls().len() == 1);
    let old = std::mem::replace(&mut process.platform, Platform::start());
    // What cannot be taken changes nothing.
    std::fs::write(process.folder.join("config.json"), "{\"listen\":").unwrap();
    process.signal(Signal::HUP);
    assert_eq!(client.send(b"PING\r\n"), "+PONG");
    process.json["discovery"] = "nowhere".into();
    drop(process.command("check"));
    process.signal(Signal::HUP);
    assert_eq!(client.send(b"PING\r\n"), "+PONG");
    assert_eq!(process.platform.since.lock().unwrap().len(), 0);
    // A new discovery takes over the watch, from the beginning, and the notices that are owed; the rest stays.
    process.json["discovery"] = process.platform.addr.clone().into();
    process.json["listen"] = "127.0.0.1:1".into();
    drop(process.command("check"));
    process.signal(Signal::HUP);
    wait_for("the notice", || {
        process.platform.notification(&once).is_some()
    });
    process.platform.publish(&format!(
        "{}\n",
        json!({"version": 3, "full": true, "servers": [other.entry("e1", 7, "up")]})
    ));
    assert!(process.platform.since.lock().unwrap()[0].contains("since=0 "));
    wait_for("a message by the new list", || {
        client.message("notice", 7, 8000, "to whom");
        !other.calls().is_empty()
    });
    let mut end = [0];
    wait_for("the end of the old watch", || {
        old.watches
            .lock()
            .unwrap()
            .iter()
            .all(|w| matches!((&*w).read(&mut end), Ok(0)))
    });
}

/// A discovery whose calls the test answers one by one, by hand.
fn by_hand() -> (TcpListener, Value) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    (listener, addr.into())
}

/// The next call of a watch, once all of it has come; other connections are for notices, and are dropped.
fn next_watch(at: &TcpListener) -> (TcpStream, String) {
    loop {
        let mut from = accept(at);
        if let Some((head, _)) = request(&mut from)
            && head[0].starts_with("GET /api/targets?follow=1")
        {
            return (from.into_inner(), head[0].clone());
        }
    }
}

fn says(to: &mut TcpStream, text: &str) -> std::io::Result<()> {
    write!(to, "{:x}\r\n{text}\r\n", text.len())
}

const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Seen on another customer's roll+mass, where a drain's grace is 250 ms: restarted dispatchers asked for the list up to 1 s
/// after their start, and sent messages to what drained, as the platform's agent knew.
#[test]
fn the_watch_is_opened_before_the_first_client_is_answered() {
    let (discovery, addr) = by_hand();
    let mut process = DispatcherProcess::new(program!(), &[]);
    process.json["discovery"] = addr;
    process.json["settings"]["balancers"] = json!(300);
    // Elsewhere it may take half of the grace.
    process.json["settings"]["guarantees"]["drain-grace-ns"] = json!(0);
    process.start();
    discovery.set_nonblocking(true).unwrap();
    assert!(discovery.accept().is_ok(), "no call has come");
}

#[test]
fn a_watch_whose_line_never_ends_is_reopened() {
    let (discovery, addr) = by_hand();
    let mut process = DispatcherProcess::new(program!(), &[]);
    process.json["discovery"] = addr;
    process.start();
    let (mut first, _) = next_watch(&discovery);
    first.write_all(CHUNKED).unwrap();
    says(
        &mut first,
        &format!(
            "{}\n{{\"version\":",
            json!({"version": 5, "full": false, "servers": []})
        ),
    )
    .unwrap();
    // It drips until it is closed, which only another call brings about.
    let drips = std::thread::spawn(move || {
        while says(&mut first, " ").is_ok() {
            std::thread::sleep(std::time::Duration::from_millis(100));
        }
    });
    let (_second, head) = next_watch(&discovery);
    assert!(
        head.contains("since=5 "),
        "from the last line that was whole: {head}"
    );
    drips.join().unwrap();
}

/// A discovery that serves few calls a second answers in turn: a call given up before its turn would be served for nothing.
#[test]
fn a_slow_watch_request_is_kept_beside_a_second_one_and_the_first_to_answer_is_used() {
    let (discovery, addr) = by_hand();
    let endpoint = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[]);
    process.json["discovery"] = addr;
    process.start();
    let (mut first, _) = next_watch(&discovery);
    first.write_all(CHUNKED).unwrap();
    let (mut second, _) = next_watch(&discovery);
    let list = json!({"version": 2, "full": true, "servers": [endpoint.entry("e0", 7, "up")]});
    says(&mut first, &format!("{list}\n")).unwrap();
    let mut end = [0];
    assert_eq!(second.read(&mut end).unwrap(), 0, "the other one is closed");
    wait_for("a message by the list", || {
        let id = fresh();
        process
            .client()
            .send(&put(&id, &format!("c=notice,d=8000,k=k{id},dest=7"), "x"));
        !endpoint.calls().is_empty()
    });
}

#[test]
fn an_indented_list_is_read_and_a_truncated_one_hides_none_after_it() {
    let endpoint = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[]);
    process.start();
    let list = |version: u64, servers: Value| json!({"version": version, "full": true, "servers": servers});
    let text =
        serde_json::to_string_pretty(&list(2, json!([endpoint.entry("e0", 7, "up")]))).unwrap();
    // Broken off, then one on a line of its own, then one over many lines.
    process.platform.publish(&format!(
        "{}\n{}\n{text}\n",
        &text[..text.len() - 9],
        list(1, json!([]))
    ));
    wait_for("a message by the list", || {
        let id = fresh();
        process
            .client()
            .send(&put(&id, &format!("c=notice,d=8000,k=k{id},dest=7"), "x"));
        !endpoint.calls().is_empty()
    });
}
