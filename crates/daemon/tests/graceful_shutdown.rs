//! Tests that a dispatcher loses no message when it shuts down on SIGTERM, alone or during an upgrade to a new version.

use bellsill_test_support::client::{Client, connect, new_id, put};
use bellsill_test_support::dispatcher_process::DispatcherProcess;
use bellsill_test_support::endpoint::{Behavior, Endpoint, OK};
use bellsill_test_support::program;
use bellsill_test_support::wait::wait_for;
use rustix::process::Signal;
use serde_json::json;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[test]
fn on_sigterm_pending_messages_are_sent_and_clients_are_closed_between_requests() {
    let e = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 0.7"));
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    let mut client = process.client();
    let pending = client.message("notice", 7, 20_000, "pending");
    wait_for("a rejected attempt", || process.attempt_never_ran(&pending));
    e.set_behavior(OK);
    process.signal(Signal::TERM);
    // For a short time new clients are still accepted, and connected ones are served. A request without a reply was
    // not read.
    let late = new_id();
    let try_late = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(&process.listen)?;
        stream.write_all(&put(&late, "c=notice,d=20000,k=l,dest=7", "late"))?;
        let mut reply = String::new();
        BufReader::new(stream).read_line(&mut reply).map(|_| reply)
    };
    let reply = try_late().unwrap_or_default();
    assert!(reply.is_empty() || reply == "+OK\r\n", "{reply}");
    assert_eq!(client.line(), "", "the connection is closed");
    assert_eq!(
        process.child.take().unwrap().wait().unwrap().code(),
        Some(0)
    );
    process.start();
    let last = process.client().message("notice", 7, 8000, "last");
    let count_calls = |id: &str| {
        e.requests()
            .iter()
            .filter(|c| c.header("X-Trace-Id") == id)
            .count()
    };
    wait_for("a later message", || count_calls(&last) == 1);
    wait_for("the pending message", || count_calls(&pending) >= 2);
    wait_for("the late message", || {
        reply.is_empty() || count_calls(&late) >= 1
    });
}

#[test]
fn on_sigterm_connected_clients_are_served_when_no_new_ones_are_accepted() {
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    let mut client = process.client();
    client.message("notice", 7, 8000, "before");
    process.signal(Signal::TERM);
    wait_for("a closed listener", || {
        TcpStream::connect(&process.listen).is_err()
    });
    client.message("notice", 7, 8000, "after closing");
    wait_for("the message", || {
        e.requests().iter().any(|c| c.body == "after closing")
    });
    assert_eq!(client.line(), "", "the connection is closed");
    assert_eq!(
        process.child.take().unwrap().wait().unwrap().code(),
        Some(0)
    );
}

#[test]
fn on_sigterm_an_attempt_without_a_response_delays_nothing() {
    let e = Endpoint::start(Behavior::Hangs);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    let id = process.client().message("payment", 7, 20_000, "x");
    wait_for("the attempt", || e.requests().len() == 1);
    process.signal(Signal::TERM);
    let mut status = None;
    wait_for("the dispatcher to exit", || {
        status = process.child.as_mut().unwrap().try_wait().unwrap();
        status.is_some()
    });
    assert_eq!(status.unwrap().code(), Some(0));
    process.start();
    wait_for("the notification of the message", || {
        process.platform.notification(&id).is_some()
    });
    assert_eq!(
        process.platform.notification(&id).unwrap()["result"],
        "dead"
    );
    assert_eq!(e.requests().len(), 1);
}

/// Submits messages until `stop` is set, and records the ids of accepted ones.
fn submit_until(listen: &str, stop: &AtomicBool, accepted: &Mutex<Vec<String>>) {
    let mut open: Option<Client> = None;
    while !stop.load(Ordering::SeqCst) {
        // A client whose connection is closed between requests repeats its request on a new connection, with the same
        // id.
        let id = new_id();
        let request = put(&id, "c=payment,d=20000,dest=7", "x");
        for _ in 0..100 {
            let Ok(mut client) = open.take().map_or_else(|| connect(listen), Ok) else {
                continue;
            };
            let mut line = String::new();
            let sent = client.writer.write_all(&request);
            if sent
                .and_then(|()| client.reader.read_line(&mut line))
                .is_ok_and(|n| n > 0)
            {
                assert_eq!(line, "+OK\r\n");
                accepted.lock().unwrap().push(id);
                open = Some(client);
                break;
            }
        }
        std::thread::sleep(Duration::from_millis(60));
    }
}

#[test]
fn a_new_version_takes_over_under_load_and_each_message_is_delivered_once() {
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.config["mgmt"] = process.admin_addr(0).into();
    process.config["settings"]["limits"]["max-open"] = json!(1000);
    process.start();
    let (stop, accepted) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(Mutex::new(Vec::new())),
    );
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (listen, stop, accepted) = (
                process.listen.clone(),
                Arc::clone(&stop),
                Arc::clone(&accepted),
            );
            std::thread::spawn(move || submit_until(&listen, &stop, &accepted))
        })
        .collect();
    let count = || accepted.lock().unwrap().len();
    let wait_for_accepted = |number: usize| {
        let from = count();
        wait_for("accepted messages", || count() >= from + number);
    };
    wait_for_accepted(40);
    let mut old = process.child.take().unwrap();
    process.config["mgmt"] = process.admin_addr(1).into();
    process.start_second_process();
    wait_for_accepted(40);
    rustix::process::kill_process(rustix::process::Pid::from_child(&old), Signal::TERM).unwrap();
    assert_eq!(old.wait().unwrap().code(), Some(0));
    wait_for_accepted(40);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().unwrap());
    let accepted = accepted.lock().unwrap().clone();
    wait_for("all messages to be delivered", || {
        e.requests().len() >= accepted.len() && process.metric("pending") == 0
    });
    let mut calls: Vec<String> = e
        .requests()
        .iter()
        .map(|c| c.header("X-Trace-Id").to_string())
        .collect();
    let total = calls.len();
    calls.sort();
    calls.dedup();
    assert_eq!(
        (calls.len(), process.platform.notifications()),
        (total, vec![]),
        "no message is delivered twice or abandoned"
    );
    assert!(
        accepted.iter().all(|id| calls.binary_search(id).is_ok()),
        "no message is lost"
    );
}
