//! The documented guarantees in their strictest reasonable interpretation, each tested at its limit.
//! `docs/terms-audit.md` lists them by row.

use bellsill_test_support::client::{Client, connect, new_id, put};
use bellsill_test_support::dispatcher_process::{DispatcherProcess, KillOnDrop};
use bellsill_test_support::endpoint::{Behavior, Endpoint, OK};
use bellsill_test_support::faults::{EINTR, EIO, ENOSPC, Faults, words};
use bellsill_test_support::platform::Platform;
use bellsill_test_support::program;
use bellsill_test_support::wait::wait_for;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Publishes a delta of the endpoint list.
fn publish_delta(process: &DispatcherProcess, version: u64, entries: Vec<Value>) {
    process.platform.publish(&format!(
        "{}\n",
        json!({"version": version, "full": false, "servers": entries})
    ));
}

/// Row R1: a message goes only to endpoints of its destination, also after the destination of an endpoint changes.
#[test]
fn an_endpoint_whose_destination_changes_gets_only_messages_of_the_new_one() {
    let (moving, staying) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut process = DispatcherProcess::new(program!(), &[(&moving, 7), (&staying, 7)]);
    process.start();
    let before = process.client().message("notice", 7, 8_000, "before");
    wait_for("the first message", || {
        moving.received(&before) + staying.received(&before) == 1
    });
    publish_delta(&process, 2, vec![moving.entry("e0", 8, "up")]);
    wait_for("the list update", || {
        process
            .client()
            .send(&put(&new_id(), "c=notice,d=8000,k=n,dest=8", "update"))
            == "+OK"
    });
    let mut client = process.client();
    let old: Vec<String> = (0..20)
        .map(|_| client.message("notice", 7, 8_000, "for 7"))
        .collect();
    let new: Vec<String> = (0..5)
        .map(|_| client.message("notice", 8, 8_000, "for 8"))
        .collect();
    wait_for("all messages", || {
        old.iter()
            .all(|id| moving.received(id) + staying.received(id) == 1)
            && new
                .iter()
                .all(|id| moving.received(id) + staying.received(id) == 1)
    });
    assert!(
        old.iter().all(|id| moving.received(id) == 0),
        "an endpoint got a message of another destination"
    );
    assert!(
        new.iter().all(|id| staying.received(id) == 0),
        "an endpoint got a message of another destination"
    );
}

/// Row R2: a request that gives a field twice is rejected.
#[test]
fn a_request_with_a_duplicate_field_is_rejected() {
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    let mut client = process.client();
    for fields in [
        "c=notice,c=payment,d=8000,k=a,dest=7",
        "c=notice,d=8000,d=1,k=a,dest=7",
        "c=notice,d=8000,k=a,k=b,dest=7",
        "c=notice,d=8000,k=a,dest=7,dest=7",
    ] {
        let reply = client.send(&put(&new_id(), fields, "x"));
        assert!(reply.starts_with("-ERR"), "{fields}: {reply}");
    }
    client.message("notice", 7, 8_000, "good");
    wait_for("the valid message", || e.requests().len() == 1);
    assert_eq!(e.requests()[0].body, "good");
}

/// Row L1: every request that is read gets a reply. A new connection that times out is closed without reading from
/// it any more; one that stops in the middle of a request gets an error before it is closed.
#[test]
fn a_new_connection_is_closed_unread_and_a_partial_request_gets_an_error() {
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    let request = put(&new_id(), "c=notice,d=8000,k=a,dest=7", "x");
    let (mut silent, mut partial) = (process.client(), process.client());
    partial.writer.write_all(&request[..30]).unwrap();
    let started_at = Instant::now();
    let mut reply = Vec::new();
    partial.reader.read_to_end(&mut reply).unwrap();
    assert!(
        reply.starts_with(b"-ERR"),
        "{:?}",
        String::from_utf8_lossy(&reply)
    );
    assert_eq!(silent.line(), "", "the connection is closed");
    assert!(
        started_at.elapsed() < Duration::from_secs(3),
        "{:?}",
        started_at.elapsed()
    );
    // The request arrives after the close. If it were read and discarded, the client could not tell that it is lost;
    // because it is left unread, the connection is reset.
    silent.writer.write_all(&request).ok();
    let mut reset = false;
    wait_for("the connection reset", || {
        reset = silent.writer.write_all(b"PING\r\n").is_err();
        reset
    });
    assert!(reset && e.requests().is_empty());
}

/// Row T6: startup waits while the state directory fails, and accepts no clients until then.
#[test]
fn a_start_waits_for_a_failing_state_directory_and_loses_nothing() {
    let e = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 1"));
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    let faults = Faults::new(&process.dir, 1);
    process.start_with_faults(&faults);
    let pending = process.client().message("payment", 7, 20_000, "pending");
    wait_for("the rejection", || process.attempt_never_ran(&pending));
    process.kill();
    e.set_behavior(OK);
    for (word, errno) in [
        (words::OPEN_ERRNO, EIO),
        (words::UNLINK_ERRNO, EIO),
        (words::READ_ERRNO, EIO),
    ] {
        faults.set(word, errno);
    }
    process.spawn_with_faults(&faults);
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_millis(1_500) {
        assert!(
            process
                .child
                .as_mut()
                .unwrap()
                .try_wait()
                .unwrap()
                .is_none(),
            "the process has exited"
        );
        assert!(
            std::net::TcpStream::connect(&process.listen).is_err(),
            "clients are accepted while the state directory fails"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    faults.restore_state_directory();
    faults.set(words::READ_ERRNO, 0);
    wait_for("the pending message", || e.received(&pending) == 2);
    assert_eq!(process.platform.notification(&pending), None);
}

/// Row T6: messages adopted from another process's journal are not adopted again, even if that journal could not be
/// emptied.
#[test]
fn an_adopted_journal_that_was_not_emptied_is_not_adopted_again() {
    let hung = Endpoint::start(Behavior::Hangs);
    let mut process = DispatcherProcess::new(program!(), &[(&hung, 7)]);
    let faults = Faults::new(&process.dir, 1);
    process.start_with_faults(&faults);
    let mut client = process.client();
    let idempotent = client.message("notice", 7, 20_000, "idempotent");
    wait_for("the request", || hung.received(&idempotent) == 1);
    let mut old = KillOnDrop(process.child.take().unwrap());
    process.start_with_faults(&faults);
    let state = process.dir.join("state");
    wait_for("the journal of the new process", || {
        state.join("mails.1").exists()
    });
    faults.set(words::TRUNCATE_ERRNO, EIO);
    hung.set_behavior(OK);
    old.kill();
    wait_for("the retry of the message", || {
        hung.received(&idempotent) == 2
    });
    wait_for("the end of the message", || {
        process.read_journal_in("mails.1") == Default::default()
    });
    assert!(
        state.join("mails").exists(),
        "the adopted journal was removed"
    );
    process.kill();
    faults.restore_state_directory();
    process.start_with_faults(&faults);
    let last = process.client().message("payment", 7, 20_000, "last");
    wait_for("a later message", || hung.received(&last) == 1);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(
        hung.received(&idempotent),
        2,
        "the message was adopted again"
    );
    assert_eq!(process.platform.notification(&idempotent), None);
}

/// Row D3: a disabled endpoint gets no messages from 1 s after the call, even if the state directory fails.
#[test]
fn an_endpoint_is_disabled_though_the_list_cannot_be_written() {
    let (disabled, other) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut process = DispatcherProcess::new(program!(), &[(&disabled, 7), (&other, 7)]);
    process.config["mgmt"] = process.admin_addr(0).into();
    let faults = Faults::new(&process.dir, 1);
    process.start_with_faults(&faults);
    faults.set(words::OPEN_ERRNO, ENOSPC);
    process.admin("disable-server e0");
    std::thread::sleep(Duration::from_secs(1));
    let mut client = process.client();
    let ids: Vec<String> = (0..10)
        .map(|_| client.message("notice", 7, 8_000, "x"))
        .collect();
    wait_for("all messages", || {
        ids.iter()
            .all(|id| other.received(id) + disabled.received(id) == 1)
    });
    assert!(disabled.requests().is_empty(), "the endpoint is disabled");
    // Once the directory works again, the list is written and a restart keeps the endpoint disabled.
    faults.restore_state_directory();
    wait_for("the list of disabled endpoints", || {
        std::fs::read_to_string(process.dir.join("state/held-out"))
            .is_ok_and(|text| text.contains("e0"))
    });
    process.kill();
    process.start_with_faults(&faults);
    let mut client = process.client();
    let ids: Vec<String> = (0..10)
        .map(|_| client.message("notice", 7, 8_000, "x"))
        .collect();
    wait_for("all messages", || {
        ids.iter()
            .all(|id| other.received(id) + disabled.received(id) == 1)
    });
    assert!(
        disabled.requests().is_empty(),
        "the endpoint is still disabled after the restart"
    );
}

/// Row D4: an entry that drains its endpoint takes effect even if other fields of it are invalid.
#[test]
fn an_endpoint_drains_though_the_rest_of_its_entry_is_unreadable() {
    let (draining, other) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut process = DispatcherProcess::new(program!(), &[(&draining, 7), (&other, 7)]);
    process.start();
    let mut client = process.client();
    let entry = json!({"id": "e0", "state": "draining", "weight": "heavy"});
    let newcomer = Endpoint::start(OK);
    publish_delta(&process, 2, vec![entry, newcomer.entry("e2", 8, "up")]);
    wait_for("the list update", || {
        client.send(&put(&new_id(), "c=notice,d=8000,k=n,dest=8", "update")) == "+OK"
    });
    let ids: Vec<String> = (0..10)
        .map(|_| client.message("notice", 7, 8_000, "x"))
        .collect();
    wait_for("all messages", || {
        ids.iter()
            .all(|id| other.received(id) + draining.received(id) == 1)
    });
    assert!(
        ids.iter().all(|id| draining.received(id) == 0),
        "a draining endpoint gets no messages"
    );
}

/// Row C1: a message whose queue class is no longer configured must not run under the rules of another class.
#[test]
fn a_message_of_a_class_removed_at_a_restart_fails_and_is_not_sent() {
    let e = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 1"));
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    let pending = process.client().message("payment", 7, 20_000, "pending");
    wait_for("the rejection", || process.attempt_never_ran(&pending));
    process.kill();
    e.set_behavior(OK);
    let before = e.received(&pending);
    process.config["settings"]["services"]
        .as_array_mut()
        .unwrap()
        .pop();
    process.start();
    wait_for("the notification", || {
        process.platform.notification(&pending).is_some()
    });
    let last = process.client().message("notice", 7, 8_000, "last");
    wait_for("a later message", || e.received(&last) == 1);
    assert_eq!(e.received(&pending), before);
}

/// Row K1: the state directory, including the list of disabled endpoints, never exceeds its size limit, also while an
/// old and a new process share it and while a journal is adopted.
#[test]
fn two_processes_in_one_state_directory_stay_under_its_limit_together() {
    const LIMIT: u64 = 400_000;
    // Messages end quickly, so both journals fill up with ended messages.
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.config["limits"]["disk_mb"] = json!(LIMIT as f64 / 1e6);
    process.start();
    let body = "x".repeat(30_000);
    let state = process.dir.join("state");
    let used = move || -> u64 {
        let files = std::fs::read_dir(&state).unwrap().flatten();
        files
            .map(|file| file.metadata().map_or(0, |m| m.len().div_ceil(512) * 512))
            .sum()
    };
    let accepted = AtomicUsize::new(0);
    let fill = |client: &mut Client| {
        for _ in 0..12 {
            let reply = client.send(&put(&new_id(), "c=payment,d=20000,k=x,dest=7", &body));
            assert!(used() <= LIMIT, "{} bytes of {LIMIT}", used());
            accepted.fetch_add(usize::from(reply == "+OK"), Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(8));
        }
    };
    let mut first = process.client();
    fill(&mut first);
    let mut old = KillOnDrop(process.child.take().unwrap());
    process.config["mgmt"] = process.admin_addr(1).into();
    process.start_second_process();
    // Each connection goes to one of the two processes; with this many, both get some.
    for _ in 0..24 {
        fill(&mut process.client());
    }
    assert!(
        accepted.load(Ordering::SeqCst) > 60,
        "{accepted:?} accepted"
    );
    old.kill();
    for _ in 0..40 {
        assert!(
            used() <= LIMIT,
            "{} bytes of {LIMIT} during adoption",
            used()
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    wait_for("the adoption of the old journal", || {
        assert!(
            used() <= LIMIT,
            "{} bytes of {LIMIT} during adoption",
            used()
        );
        !process.dir.join("state/mails").exists() || !process.dir.join("state/mails.1").exists()
    });
}

/// Row T5: a connect interrupted by a signal continues in the background and does not count as a failure of the
/// endpoint.
#[test]
fn an_interrupted_connect_is_not_a_failure() {
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    let faults = Faults::new(&process.dir, 1);
    process.start_with_faults(&faults);
    faults.set(words::CONNECT_ERRNO, EINTR);
    let id = process.client().message("payment", 7, 3_000, "x");
    wait_for("the end of the message", || {
        e.received(&id) > 0 || process.platform.notification(&id).is_some()
    });
    assert_eq!(
        (e.received(&id), process.platform.notification(&id)),
        (1, None)
    );
    assert!(
        faults.get(words::SOCKET_FAULTS) > 0,
        "the fault was not injected"
    );
}

/// Row R3: a client whose connection closed before it read the reply repeats the request with the same id. A message
/// that was accepted is not accepted again, even if it has ended since, neither by this process nor by the next.
#[test]
fn a_repeated_request_gets_a_reply_and_is_not_accepted_again_after_its_message_has_ended() {
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    let id = new_id();
    let request = put(&id, "c=payment,d=8000,dest=7", "once");
    assert_eq!(process.client().send(&request), "+OK");
    wait_for("the end of the message", || {
        e.received(&id) == 1 && process.read_journal() == Default::default()
    });
    assert_eq!(process.client().send(&request), "+OK");
    process.kill();
    process.start();
    assert_eq!(process.client().send(&request), "+OK");
    let last = process.client().message("notice", 7, 8_000, "last");
    wait_for("a later message", || e.received(&last) == 1);
    assert_eq!(
        (e.received(&id), process.platform.notification(&id)),
        (1, None)
    );
}

/// Row W1: the `Retry-After` of a rejection is observed whatever other headers the response has.
#[test]
fn a_retry_after_applies_though_the_response_also_reports_no_capacity() {
    let e = Endpoint::start(Behavior::Responds(
        "429 Full\r\nRetry-After: 1.5\r\nX-Over-Slots: 1",
    ));
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    let mut client = process.client();
    client.message("notice", 7, 8_000, "first");
    wait_for("the rejection", || e.requests().len() == 1);
    let rejected_at = Instant::now();
    e.set_behavior(OK);
    client.message("notice", 7, 8_000, "second");
    wait_for("the next request", || e.requests().len() > 1);
    assert!(
        rejected_at.elapsed() > Duration::from_millis(1_350),
        "next request after {:?}",
        rejected_at.elapsed()
    );
}

/// Row T5: startup waits while sockets temporarily cannot be created.
#[test]
fn a_start_waits_for_its_listeners() {
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.config["mgmt"] = process.admin_addr(0).into();
    let faults = Faults::new(&process.dir, 1);
    faults.set(words::SOCKET_PERMILLE, 1_000);
    process.spawn_with_faults(&faults);
    wait_for("failures to create sockets", || {
        faults.get(words::SOCKET_FAULTS) > 3
    });
    assert!(
        process
            .child
            .as_mut()
            .unwrap()
            .try_wait()
            .unwrap()
            .is_none(),
        "the process has exited"
    );
    faults.set(words::SOCKET_PERMILLE, 0);
    wait_for("the listener", || connect(&process.listen).is_ok());
    let id = process.client().message("payment", 7, 8_000, "x");
    wait_for("the message", || e.received(&id) == 1);
    assert!(process.admin("ready")[0].starts_with("SUCCESS"));
}

/// Row W3: a `Retry-After` still applies to an endpoint after the list changes its zone.
#[test]
fn a_retry_after_outlasts_a_change_of_its_endpoint_s_entry() {
    let e = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 2"));
    let other = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.config["known"]["servers"][0]["kind"] = json!("banks");
    process.start();
    let mut client = process.client();
    client.message("notice", 7, 8_000, "first");
    wait_for("the rejection", || e.requests().len() == 1);
    let rejected_at = Instant::now();
    e.set_behavior(OK);
    let mut moved = e.entry("e0", 7, "up");
    (moved["kind"], moved["zone"]) = (json!("banks"), json!("south"));
    publish_delta(&process, 2, vec![moved, other.entry("e1", 8, "up")]);
    wait_for("the list update", || {
        process
            .client()
            .send(&put(&new_id(), "c=notice,d=8000,k=n,dest=8", "update"))
            == "+OK"
    });
    client.message("notice", 7, 8_000, "second");
    wait_for("the next request", || e.requests().len() > 1);
    assert!(
        rejected_at.elapsed() > Duration::from_millis(1_850),
        "next request after {:?}",
        rejected_at.elapsed()
    );
}

/// Row D5: of several configuration reloads in quick succession the last one applies, to the list and to notifications.
#[test]
fn of_several_configurations_in_quick_succession_the_last_counts() {
    let (leaving, staying) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut process = DispatcherProcess::new(program!(), &[(&leaving, 7), (&staying, 7)]);
    process.start();
    let platforms: Vec<Platform> = (0..4).map(|_| Platform::start()).collect();
    for platform in &platforms {
        process.config["discovery"] = platform.addr.clone().into();
        // Building the command writes the configuration file.
        drop(process.command("serve"));
        process.signal(Signal::HUP);
        std::thread::sleep(Duration::from_millis(15));
    }
    let signalled = Instant::now();
    let last = platforms.last().unwrap();
    last.publish(&format!(
        "{}\n",
        json!({"version": 9, "full": false, "servers": [leaving.entry("e0", 7, "draining")]})
    ));
    assert!(
        signalled.elapsed() < Duration::from_secs(4),
        "watch of the last address requested after {:?}",
        signalled.elapsed()
    );
    std::thread::sleep(Duration::from_secs(4).saturating_sub(signalled.elapsed()));
    let before = leaving.requests().len();
    let mut client = process.client();
    let ids: Vec<String> = (0..10)
        .map(|_| client.message("notice", 7, 8_000, "x"))
        .collect();
    wait_for("all messages", || {
        ids.iter()
            .all(|id| staying.received(id) + leaving.received(id) == 1)
    });
    assert_eq!(
        leaving.requests().len(),
        before,
        "a draining endpoint gets no messages"
    );
    staying.set_behavior(Behavior::Responds("500 Oops"));
    let failed = client.message("payment", 7, 8_000, "fails");
    wait_for("the notification", || last.notification(&failed).is_some());
}

/// Row R18: messages of one key are sent in the order of their acceptance, one at a time, also across a kill.
#[test]
fn messages_of_one_key_are_sent_in_order_over_a_restart() {
    let e = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 0.4"));
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.config["settings"]["services"][0]["in-turn"] = json!(true);
    process.start();
    let mut client = process.client();
    let ids: Vec<String> = (0..6).map(|_| new_id()).collect();
    for id in &ids {
        let request =
            String::from_utf8(put(id, &format!("c=notice,d=15000,k={id},dest=7"), "x")).unwrap();
        // The ordering key is the first argument of the command.
        let request = request.replacen("0000000000000000", "00000000000000aa", 1);
        assert_eq!(client.send(request.as_bytes()), "+OK");
    }
    wait_for("the rejection", || process.attempt_never_ran(&ids[0]));
    process.kill();
    e.set_behavior(OK);
    let before = e.requests().len();
    process.start();
    wait_for("all messages", || {
        ids.iter().all(|id| {
            e.requests()[before..]
                .iter()
                .any(|c| c.header("X-Trace-Id") == *id)
        })
    });
    let order: Vec<String> = e.requests()[before..]
        .iter()
        .map(|c| c.header("X-Trace-Id").to_string())
        .collect();
    assert_eq!(order, ids);
}

/// Row C1: a value of 60 MB gets a reply or a closed connection within 6 s, and other clients are served meanwhile.
#[test]
fn a_value_of_sixty_megabytes_is_rejected_in_time() {
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    let started_at = Instant::now();
    let mut huge = process.client();
    let mut to = huge.writer.try_clone().unwrap();
    let sender = std::thread::spawn(move || {
        to.write_all(
            b"*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000000000000000\r\n$16\r\n00000000000000bb\r\n",
        )
        .ok();
        to.write_all(b"$28\r\nc=notice,d=8000,k=a,dest=7  \r\n$60000000\r\n")
            .ok();
        let part = vec![b'x'; 1 << 20];
        (0..58).all(|_| to.write_all(&part).is_ok())
    });
    let other = process
        .client()
        .message("notice", 7, 8_000, "of another client");
    wait_for("the message of another client", || e.received(&other) == 1);
    let mut reply = Vec::new();
    huge.reader.read_to_end(&mut reply).ok();
    assert!(
        started_at.elapsed() < Duration::from_secs(6),
        "{:?}",
        started_at.elapsed()
    );
    drop(huge);
    sender.join().unwrap();
    assert_eq!(e.requests().len(), 1);
}
