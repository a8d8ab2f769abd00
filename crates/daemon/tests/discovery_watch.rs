//! Tests of the watch on discovery: reconnecting after failures, and changing its address on SIGHUP.

use bellsill_test_support::client::{new_id, put};
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
    let publish_changes = |version: u64, entries: Vec<Value>| {
        process
            .platform
            .publish("\n{\"not\": json\n{\"version\":true}\n\n");
        let line = json!({"version": version, "full": false, "servers": entries});
        process.platform.publish(&format!("{line}\n"));
    };
    let invalid =
        json!({"id": "e9", "addr": "nowhere", "zone": "z", "kind": "k", "cell": 7, "state": "up"});
    publish_changes(
        2,
        vec![
            invalid,
            second.entry("e1", 7, "up"),
            first.entry("e0", 7, "draining"),
        ],
    );
    wait_for("a message at the new endpoint", || {
        client.message("notice", 7, 8000, "to any endpoint");
        !second.requests().is_empty()
    });
    for _ in 0..10 {
        client.message("notice", 7, 8000, "while the first drains");
    }
    let count_calls =
        |e: &Endpoint, body: &str| e.requests().iter().filter(|c| c.body == body).count();
    wait_for("all messages at the second endpoint", || {
        count_calls(&second, "while the first drains") == 10
    });
    assert_eq!(count_calls(&first, "while the first drains"), 0);
    // Disconnect the watch: it must be reopened from the last version.
    for watch in process.platform.watches.lock().unwrap().drain(..) {
        watch.shutdown(std::net::Shutdown::Both).unwrap();
    }
    let since = || {
        process
            .platform
            .watch_requests
            .lock()
            .unwrap()
            .last()
            .cloned()
            .unwrap()
    };
    wait_for("a new watch", || since().contains("since=2 "));
    publish_changes(
        3,
        vec![first.entry("e0", 7, "up"), second.entry("e1", 7, "removed")],
    );
    wait_for("a message at the first endpoint again", || {
        client.message("notice", 7, 8000, "after draining");
        count_calls(&first, "after draining") > 0
    });
}

#[test]
fn an_endpoint_with_duplicate_entries_gets_no_new_message_if_one_of_them_is_draining() {
    let (first, second) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut process = DispatcherProcess::new(program!(), &[(&first, 7), (&second, 7)]);
    let servers = process.config["known"]["servers"].as_array_mut().unwrap();
    let draining = first.entry("e0", 7, "draining");
    servers.insert(0, draining);
    let duplicate = second.entry("e1", 7, "up");
    servers.push(duplicate);
    process.start();
    let mut client = process.client();
    for n in 1..9 {
        client.message("payment", 7, 8000, "x");
        wait_for("the message at the second endpoint", || {
            second.requests().len() == n || !first.requests().is_empty()
        });
    }
    assert_eq!(first.requests().len(), 0);
}

/// Regression test for a fault seen with a scoped configuration: when an endpoint was relocated during an attempt, the
/// connection of the attempt went back to the pool, and a series of messages all went to the old address.
#[test]
fn the_connection_of_an_attempt_whose_endpoint_was_relocated_is_not_reused() {
    let (old, new) = (
        TcpListener::bind("127.0.0.1:0").unwrap(),
        Endpoint::start(OK),
    );
    let mut process = DispatcherProcess::new(program!(), &[]);
    process.config["mgmt"] = process.admin_addr(0).into();
    process.config["known"]["servers"] =
        vec![up("e0", &old.local_addr().unwrap().to_string(), 7)].into();
    process.start();
    let mut client = process.client();
    client.message("notice", 7, 8000, "before the relocation");
    let mut attempt = accept(&old);
    request(&mut attempt).unwrap();
    let relocated = vec![new.entry("e0", 7, "up"), new.entry("e1", 8, "up")];
    process.platform.publish(&format!(
        "{}\n",
        json!({"version": 5, "full": false, "servers": relocated})
    ));
    wait_for("the list to be applied", || process.metric("members") == 2);
    attempt
        .get_mut()
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        .unwrap();
    let mut end = [0];
    assert_eq!(
        attempt.read(&mut end).unwrap(),
        0,
        "the connection is closed without another request"
    );
    client.message("notice", 7, 8000, "after the relocation");
    wait_for("the message at the new address", || {
        new.requests().len() == 1
    });
}

#[test]
fn a_silent_watch_is_reopened_from_its_last_version() {
    let mut process = DispatcherProcess::new(program!(), &[]);
    process.start();
    process.platform.publish(&format!(
        "{}\n",
        json!({"version": 5, "full": false, "servers": []})
    ));
    // The platform stand-in keeps the connection open and sends nothing more.
    wait_for("a reopened watch", || {
        process
            .platform
            .watch_requests
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
    process
        .platform
        .drop_notifications
        .store(true, Ordering::SeqCst);
    process.start();
    process.platform.publish(&format!(
        "{}\n",
        json!({"version": 90, "full": false, "servers": []})
    ));
    let mut client = process.client();
    let id = client.message("payment", 7, 8000, "may have run");
    wait_for("the attempt", || failing.requests().len() == 1);
    let old = std::mem::replace(&mut process.platform, Platform::start());
    // An invalid configuration changes nothing.
    std::fs::write(process.dir.join("config.json"), "{\"listen\":").unwrap();
    process.signal(Signal::HUP);
    assert_eq!(client.send(b"PING\r\n"), "+PONG");
    process.config["discovery"] = "nowhere".into();
    drop(process.command("check"));
    process.signal(Signal::HUP);
    assert_eq!(client.send(b"PING\r\n"), "+PONG");
    assert_eq!(process.platform.watch_requests.lock().unwrap().len(), 0);
    // With a new discovery address, the watch is opened there from version 0 and pending notifications are sent there.
    // The changed `listen` is not applied.
    process.config["discovery"] = process.platform.addr.clone().into();
    process.config["listen"] = "127.0.0.1:1".into();
    drop(process.command("check"));
    process.signal(Signal::HUP);
    wait_for("the notification", || {
        process.platform.notification(&id).is_some()
    });
    process.platform.publish(&format!(
        "{}\n",
        json!({"version": 3, "full": true, "servers": [other.entry("e1", 7, "up")]})
    ));
    assert!(process.platform.watch_requests.lock().unwrap()[0].contains("since=0 "));
    wait_for("a message to an endpoint of the new list", || {
        client.message("notice", 7, 8000, "to any endpoint");
        !other.requests().is_empty()
    });
    let mut end = [0];
    wait_for("the old watch to be closed", || {
        old.watches
            .lock()
            .unwrap()
            .iter()
            .all(|w| matches!((&*w).read(&mut end), Ok(0)))
    });
}

/// A discovery listener whose responses the test itself sends, and its address.
fn manual_discovery() -> (TcpListener, Value) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    (listener, addr.into())
}

/// Accepts the next watch request and returns its connection and request line. Other connections are for notifications
/// and are dropped.
fn accept_watch(at: &TcpListener) -> (TcpStream, String) {
    loop {
        let mut from = accept(at);
        if let Some((head, _)) = request(&mut from)
            && head[0].starts_with("GET /api/targets?follow=1")
        {
            return (from.into_inner(), head[0].clone());
        }
    }
}

fn write_chunk(to: &mut TcpStream, text: &str) -> std::io::Result<()> {
    write!(to, "{:x}\r\n{text}\r\n", text.len())
}

const CHUNKED_RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Regression test: at another installation, with a drain grace of 250 ms (scenario `roll+mass`), restarted dispatchers
/// requested the list up to 1 s after startup, and meanwhile sent messages to endpoints that were draining, as the
/// platform's agent knew.
#[test]
fn the_watch_is_opened_before_the_first_reply_to_a_client() {
    let (discovery, addr) = manual_discovery();
    let mut process = DispatcherProcess::new(program!(), &[]);
    process.config["discovery"] = addr;
    process.config["settings"]["balancers"] = json!(300);
    // With a longer grace, the first request may be delayed by up to half of it.
    process.config["settings"]["guarantees"]["drain-grace-ns"] = json!(0);
    process.start();
    discovery.set_nonblocking(true).unwrap();
    assert!(discovery.accept().is_ok(), "the watch has not been opened");
}

#[test]
fn a_watch_with_an_unterminated_line_is_reopened() {
    let (discovery, addr) = manual_discovery();
    let mut process = DispatcherProcess::new(program!(), &[]);
    process.config["discovery"] = addr;
    process.start();
    let (mut first, _) = accept_watch(&discovery);
    first.write_all(CHUNKED_RESPONSE_HEAD).unwrap();
    write_chunk(
        &mut first,
        &format!(
            "{}\n{{\"version\":",
            json!({"version": 5, "full": false, "servers": []})
        ),
    )
    .unwrap();
    // Keep sending single bytes until the dispatcher closes the connection, which it does only after opening another
    // one.
    let sender = std::thread::spawn(move || {
        while write_chunk(&mut first, " ").is_ok() {
            std::thread::sleep(std::time::Duration::from_millis(100));
        }
    });
    let (_second, head) = accept_watch(&discovery);
    assert!(
        head.contains("since=5 "),
        "reopened from the last complete line: {head}"
    );
    sender.join().unwrap();
}

/// A discovery server with a low request rate responds to requests in order, including abandoned ones, so giving up a
/// queued request would waste its place in the queue.
#[test]
fn a_slow_watch_request_stays_open_beside_a_second_one_and_the_first_response_is_used() {
    let (discovery, addr) = manual_discovery();
    let endpoint = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[]);
    process.config["discovery"] = addr;
    process.start();
    let (mut first, _) = accept_watch(&discovery);
    first.write_all(CHUNKED_RESPONSE_HEAD).unwrap();
    let (mut second, _) = accept_watch(&discovery);
    let list = json!({"version": 2, "full": true, "servers": [endpoint.entry("e0", 7, "up")]});
    write_chunk(&mut first, &format!("{list}\n")).unwrap();
    let mut end = [0];
    assert_eq!(
        second.read(&mut end).unwrap(),
        0,
        "the other request is closed"
    );
    wait_for("a message to an endpoint of the list", || {
        let id = new_id();
        process
            .client()
            .send(&put(&id, &format!("c=notice,d=8000,k=k{id},dest=7"), "x"));
        !endpoint.requests().is_empty()
    });
}

#[test]
fn an_indented_list_is_parsed_and_a_truncated_list_does_not_hide_later_ones() {
    let endpoint = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[]);
    process.start();
    let list = |version: u64, servers: Value| json!({"version": version, "full": true, "servers": servers});
    let text =
        serde_json::to_string_pretty(&list(2, json!([endpoint.entry("e0", 7, "up")]))).unwrap();
    // A truncated list, then a list on a single line, then a list over several lines.
    process.platform.publish(&format!(
        "{}\n{}\n{text}\n",
        &text[..text.len() - 9],
        list(1, json!([]))
    ));
    wait_for("a message to an endpoint of the list", || {
        let id = new_id();
        process
            .client()
            .send(&put(&id, &format!("c=notice,d=8000,k=k{id},dest=7"), "x"));
        !endpoint.requests().is_empty()
    });
}
