//! A dispatcher that shuts down on SIGTERM, alone or for a new version, loses no message.

use bellsill_test_support::client::{Client, connect, fresh, put};
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
    let held = client.message("notice", 7, 20_000, "held");
    wait_for("a refusal", || process.never_ran(&held));
    e.set_behavior(OK);
    process.signal(Signal::TERM);
    // New clients may still come for a moment, and old ones ask on; what is not answered was not read.
    let late = fresh();
    let try_late = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(&process.listen)?;
        stream.write_all(&put(&late, "c=notice,d=20000,k=l,dest=7", "late"))?;
        let mut answer = String::new();
        BufReader::new(stream)
            .read_line(&mut answer)
            .map(|_| answer)
    };
    let answer = try_late().unwrap_or_default();
    assert!(answer.is_empty() || answer == "+OK\r\n", "{answer}");
    assert_eq!(client.line(), "", "closed");
    assert_eq!(
        process.child.take().unwrap().wait().unwrap().code(),
        Some(0)
    );
    process.start();
    let last = process.client().message("notice", 7, 8000, "last");
    let gone_out = |id: &str| {
        e.calls()
            .iter()
            .filter(|c| c.header("X-Trace-Id") == id)
            .count()
    };
    wait_for("a later message", || gone_out(&last) == 1);
    wait_for("the message held", || gone_out(&held) >= 2);
    wait_for("the late message", || {
        answer.is_empty() || gone_out(&late) >= 1
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
    client.message("notice", 7, 8000, "behind it");
    wait_for("the message", || {
        e.calls().iter().any(|c| c.body == "behind it")
    });
    assert_eq!(client.line(), "", "closed");
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
    let once = process.client().message("payment", 7, 20_000, "x");
    wait_for("the call", || e.calls().len() == 1);
    process.signal(Signal::TERM);
    let mut end = None;
    wait_for("the dispatcher's end", || {
        end = process.child.as_mut().unwrap().try_wait().unwrap();
        end.is_some()
    });
    assert_eq!(end.unwrap().code(), Some(0));
    process.start();
    wait_for("the message's end", || {
        process.platform.notification(&once).is_some()
    });
    assert_eq!(
        process.platform.notification(&once).unwrap()["result"],
        "dead"
    );
    assert_eq!(e.calls().len(), 1);
}

/// A client that hands in messages until it is stopped, and notes those that are accepted.
fn hand_in_until(listen: &str, stop: &AtomicBool, taken: &Mutex<Vec<String>>) {
    let mut kept: Option<Client> = None;
    while !stop.load(Ordering::SeqCst) {
        // Closed between requests, a client sends its request again on a new connection, under the same id.
        let id = fresh();
        let request = put(&id, "c=payment,d=20000,dest=7", "x");
        for _ in 0..100 {
            let Ok(mut client) = kept.take().map_or_else(|| connect(listen), Ok) else {
                continue;
            };
            let mut line = String::new();
            let sent = client.to.write_all(&request);
            if sent
                .and_then(|()| client.from.read_line(&mut line))
                .is_ok_and(|n| n > 0)
            {
                assert_eq!(line, "+OK\r\n");
                taken.lock().unwrap().push(id);
                kept = Some(client);
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
    process.json["mgmt"] = process.mgmt_at(0).into();
    process.json["settings"]["limits"]["max-open"] = json!(1000);
    process.start();
    let (stop, taken) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(Mutex::new(Vec::new())),
    );
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (listen, stop, taken) = (
                process.listen.clone(),
                Arc::clone(&stop),
                Arc::clone(&taken),
            );
            std::thread::spawn(move || hand_in_until(&listen, &stop, &taken))
        })
        .collect();
    let count = || taken.lock().unwrap().len();
    let more = |many: usize| {
        let from = count();
        wait_for("messages", || count() >= from + many);
    };
    more(40);
    let mut old = process.child.take().unwrap();
    process.json["mgmt"] = process.mgmt_at(1).into();
    process.start_beside();
    more(40);
    rustix::process::kill_process(rustix::process::Pid::from_child(&old), Signal::TERM).unwrap();
    assert_eq!(old.wait().unwrap().code(), Some(0));
    more(40);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().unwrap());
    let taken = taken.lock().unwrap().clone();
    wait_for("all of them", || {
        e.calls().len() >= taken.len() && process.metric("pending") == 0
    });
    let mut calls: Vec<String> = e
        .calls()
        .iter()
        .map(|c| c.header("X-Trace-Id").to_string())
        .collect();
    let all = calls.len();
    calls.sort();
    calls.dedup();
    assert_eq!(
        (calls.len(), process.platform.notifications()),
        (all, vec![]),
        "none twice, none given up"
    );
    assert!(
        taken.iter().all(|id| calls.binary_search(id).is_ok()),
        "none lost"
    );
}
