//! The guarantees of the pages in their strictest fair reading, each at its limit; `docs/terms-audit.md` lists them by row.

use bellsill_test_support::client::{Client, connect, fresh, put};
use bellsill_test_support::dispatcher_process::{DispatcherProcess, OldProcess};
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

fn change(process: &DispatcherProcess, version: u64, entries: Vec<Value>) {
    process.platform.publish(&format!(
        "{}\n",
        json!({"version": version, "full": false, "servers": entries})
    ));
}

/// Row R1: a message goes to an endpoint whose cell is its destination, also after a change of that cell.
#[test]
fn an_endpoint_whose_destination_changes_gets_only_messages_of_the_new_one() {
    let (moving, staying) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut process = DispatcherProcess::new(program!(), &[(&moving, 7), (&staying, 7)]);
    process.start();
    let before = process.client().message("notice", 7, 8_000, "before");
    wait_for("the first message", || {
        moving.calls_of(&before) + staying.calls_of(&before) == 1
    });
    change(&process, 2, vec![moving.entry("e0", 8, "up")]);
    wait_for("the news", || {
        process
            .client()
            .send(&put(&fresh(), "c=notice,d=8000,k=n,dest=8", "news"))
            == "+OK"
    });
    let mut client = process.client();
    let old: Vec<String> = (0..20)
        .map(|_| client.message("notice", 7, 8_000, "for 7"))
        .collect();
    let new: Vec<String> = (0..5)
        .map(|_| client.message("notice", 8, 8_000, "for 8"))
        .collect();
    wait_for("all of them", || {
        old.iter()
            .all(|id| moving.calls_of(id) + staying.calls_of(id) == 1)
            && new
                .iter()
                .all(|id| moving.calls_of(id) + staying.calls_of(id) == 1)
    });
    assert!(
        old.iter().all(|id| moving.calls_of(id) == 0),
        "of another destination"
    );
    assert!(
        new.iter().all(|id| staying.calls_of(id) == 0),
        "of another destination"
    );
}

/// Row R2: the fields of a request name each value once.
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
        let answer = client.send(&put(&fresh(), fields, "x"));
        assert!(answer.starts_with("-ERR"), "{fields}: {answer}");
    }
    client.message("notice", 7, 8_000, "good");
    wait_for("the good one", || e.calls().len() == 1);
    assert_eq!(e.calls()[0].body, "good");
}

/// Row L1: what is read gets its answer. A new connection whose time is up is closed with nothing read from it any more;
/// one that stopped in the middle of a request gets an error before it is closed.
#[test]
fn a_new_connection_is_closed_unread_and_half_a_request_gets_an_error() {
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    let request = put(&fresh(), "c=notice,d=8000,k=a,dest=7", "x");
    let (mut silent, mut half) = (process.client(), process.client());
    half.to.write_all(&request[..30]).unwrap();
    let began = Instant::now();
    let mut told = Vec::new();
    half.from.read_to_end(&mut told).unwrap();
    assert!(
        told.starts_with(b"-ERR"),
        "{:?}",
        String::from_utf8_lossy(&told)
    );
    assert_eq!(silent.line(), "", "ended");
    assert!(
        began.elapsed() < Duration::from_secs(3),
        "{:?}",
        began.elapsed()
    );
    // Its request crosses the end. Read and thrown away it would be lost; unread, the connection is reset.
    silent.to.write_all(&request).ok();
    let mut reset = false;
    wait_for("a reset", || {
        reset = silent.to.write_all(b"PING\r\n").is_err();
        reset
    });
    assert!(reset && e.calls().is_empty());
}

/// Row T6: a start waits for a folder that fails, and answers nobody before.
#[test]
fn a_start_waits_for_a_failing_state_folder_and_loses_nothing() {
    let e = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 1"));
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    let faults = Faults::new(&process.folder, 1);
    process.start_with(&faults);
    let held = process.client().message("payment", 7, 20_000, "held");
    wait_for("a refusal", || process.never_ran(&held));
    process.kill();
    e.set_behavior(OK);
    for (word, errno) in [
        (words::OPEN_ERRNO, EIO),
        (words::UNLINK_ERRNO, EIO),
        (words::READ_ERRNO, EIO),
    ] {
        faults.ask(word, errno);
    }
    process.spawn_with(&faults);
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(1_500) {
        assert!(
            process
                .child
                .as_mut()
                .unwrap()
                .try_wait()
                .unwrap()
                .is_none(),
            "it has ended"
        );
        assert!(
            std::net::TcpStream::connect(&process.listen).is_err(),
            "clients are accepted"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    faults.heal_folder();
    faults.ask(words::READ_ERRNO, 0);
    wait_for("the message held", || e.calls_of(&held) == 2);
    assert_eq!(process.platform.notification(&held), None);
}

/// Row T6: what was taken over from another process's journal is not taken again, though that could not be emptied.
#[test]
fn an_adopted_journal_that_was_not_emptied_is_not_adopted_again() {
    let hung = Endpoint::start(Behavior::Hangs);
    let mut process = DispatcherProcess::new(program!(), &[(&hung, 7)]);
    let faults = Faults::new(&process.folder, 1);
    process.start_with(&faults);
    let mut client = process.client();
    let tagged = client.message("notice", 7, 20_000, "tagged");
    wait_for("the call", || hung.calls_of(&tagged) == 1);
    let mut old = OldProcess(process.child.take().unwrap());
    process.start_with(&faults);
    let state = process.folder.join("state");
    wait_for("a journal of its own", || state.join("mails.1").exists());
    faults.ask(words::TRUNCATE_ERRNO, EIO);
    hung.set_behavior(OK);
    old.kill();
    wait_for("the message again", || hung.calls_of(&tagged) == 2);
    wait_for("its end", || {
        process.journaled_in("mails.1") == Default::default()
    });
    assert!(state.join("mails").exists(), "not emptied");
    process.kill();
    faults.heal_folder();
    process.start_with(&faults);
    let last = process.client().message("payment", 7, 20_000, "last");
    wait_for("a later message", || hung.calls_of(&last) == 1);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(hung.calls_of(&tagged), 2, "taken over again");
    assert_eq!(process.platform.notification(&tagged), None);
}

/// Row D3: an endpoint is out from a second after the call, whatever becomes of the folder.
#[test]
fn an_endpoint_is_disabled_though_the_list_cannot_be_written() {
    let (out, other) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut process = DispatcherProcess::new(program!(), &[(&out, 7), (&other, 7)]);
    process.json["mgmt"] = process.mgmt_at(0).into();
    let faults = Faults::new(&process.folder, 1);
    process.start_with(&faults);
    faults.ask(words::OPEN_ERRNO, ENOSPC);
    process.call("disable-server e0");
    std::thread::sleep(Duration::from_secs(1));
    let mut client = process.client();
    let ids: Vec<String> = (0..10)
        .map(|_| client.message("notice", 7, 8_000, "x"))
        .collect();
    wait_for("all of them", || {
        ids.iter()
            .all(|id| other.calls_of(id) + out.calls_of(id) == 1)
    });
    assert!(out.calls().is_empty(), "taken out");
    // Once the folder is good again a restart knows it too.
    faults.heal_folder();
    wait_for("the list", || {
        std::fs::read_to_string(process.folder.join("state/held-out"))
            .is_ok_and(|text| text.contains("e0"))
    });
    process.kill();
    process.start_with(&faults);
    let mut client = process.client();
    let ids: Vec<String> = (0..10)
        .map(|_| client.message("notice", 7, 8_000, "x"))
        .collect();
    wait_for("all of them", || {
        ids.iter()
            .all(|id| other.calls_of(id) + out.calls_of(id) == 1)
    });
    assert!(out.calls().is_empty(), "taken out, also over the restart");
}

/// Row D4: an entry that drains its endpoint counts, whatever else of it cannot be read.
#[test]
fn an_endpoint_drains_though_the_rest_of_its_entry_is_unreadable() {
    let (draining, other) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut process = DispatcherProcess::new(program!(), &[(&draining, 7), (&other, 7)]);
    process.start();
    let mut client = process.client();
    let entry = json!({"id": "e0", "state": "draining", "weight": "heavy"});
    let newcomer = Endpoint::start(OK);
    change(&process, 2, vec![entry, newcomer.entry("e2", 8, "up")]);
    wait_for("the news", || {
        client.send(&put(&fresh(), "c=notice,d=8000,k=n,dest=8", "news")) == "+OK"
    });
    let ids: Vec<String> = (0..10)
        .map(|_| client.message("notice", 7, 8_000, "x"))
        .collect();
    wait_for("all of them", || {
        ids.iter()
            .all(|id| other.calls_of(id) + draining.calls_of(id) == 1)
    });
    assert!(ids.iter().all(|id| draining.calls_of(id) == 0), "it drains");
}

/// Row C1: a message whose class the settings no longer name may run by no other class's rules.
#[test]
fn a_message_of_a_class_removed_at_a_restart_fails_and_is_not_sent() {
    let e = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 1"));
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    let held = process.client().message("payment", 7, 20_000, "held");
    wait_for("a refusal", || process.never_ran(&held));
    process.kill();
    e.set_behavior(OK);
    let before = e.calls_of(&held);
    process.json["settings"]["services"]
        .as_array_mut()
        .unwrap()
        .pop();
    process.start();
    wait_for("its notice", || {
        process.platform.notification(&held).is_some()
    });
    let last = process.client().message("notice", 7, 8_000, "last");
    wait_for("a later message", || e.calls_of(&last) == 1);
    assert_eq!(e.calls_of(&held), before);
}

/// Row K1: the folder holds no more than its limit at any time, also with an old and a new process in it, the endpoints
/// disabled, and a journal adopted.
#[test]
fn two_processes_in_one_state_folder_stay_under_its_limit_together() {
    const LIMIT: u64 = 400_000;
    // Messages end soon, so that both journals are long with what is over.
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.json["limits"]["disk_mb"] = json!(LIMIT as f64 / 1e6);
    process.start();
    let body = "x".repeat(30_000);
    let state = process.folder.join("state");
    let used = move || -> u64 {
        let files = std::fs::read_dir(&state).unwrap().flatten();
        files
            .map(|file| file.metadata().map_or(0, |m| m.len().div_ceil(512) * 512))
            .sum()
    };
    let accepted = AtomicUsize::new(0);
    let fill = |client: &mut Client| {
        for _ in 0..12 {
            let answer = client.send(&put(&fresh(), "c=payment,d=20000,k=x,dest=7", &body));
            assert!(used() <= LIMIT, "{} bytes of {LIMIT}", used());
            accepted.fetch_add(usize::from(answer == "+OK"), Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(8));
        }
    };
    let mut first = process.client();
    fill(&mut first);
    let mut old = OldProcess(process.child.take().unwrap());
    process.json["mgmt"] = process.mgmt_at(1).into();
    process.start_beside();
    // Connections go to either process: enough of them reach both.
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
            "{} bytes of {LIMIT} while taken over",
            used()
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    wait_for("the old journal taken over", || {
        assert!(
            used() <= LIMIT,
            "{} bytes of {LIMIT} while taken over",
            used()
        );
        !process.folder.join("state/mails").exists()
            || !process.folder.join("state/mails.1").exists()
    });
}

/// Row T5: an interrupted connect continues by itself: it is no failure of its endpoint.
#[test]
fn an_interrupted_connect_is_not_a_failure() {
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    let faults = Faults::new(&process.folder, 1);
    process.start_with(&faults);
    faults.ask(words::CONNECT_ERRNO, EINTR);
    let id = process.client().message("payment", 7, 3_000, "x");
    wait_for("its end", || {
        e.calls_of(&id) > 0 || process.platform.notification(&id).is_some()
    });
    assert_eq!(
        (e.calls_of(&id), process.platform.notification(&id)),
        (1, None)
    );
    assert!(
        faults.count(words::SOCKET_FAULTS) > 0,
        "no connect was interrupted"
    );
}

/// Row R3: a client whose connection ended before it had read its answer sends the request once more, under the same id.
/// What was taken on, and may have ended since, is not taken on again: not by this process, and not by the next.
#[test]
fn a_repeated_request_is_answered_and_not_accepted_again_after_its_message_has_ended() {
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    let id = fresh();
    let request = put(&id, "c=payment,d=8000,dest=7", "once");
    assert_eq!(process.client().send(&request), "+OK");
    wait_for("its end", || {
        e.calls_of(&id) == 1 && process.journaled() == Default::default()
    });
    assert_eq!(process.client().send(&request), "+OK");
    process.kill();
    process.start();
    assert_eq!(process.client().send(&request), "+OK");
    let last = process.client().message("notice", 7, 8_000, "last");
    wait_for("a later message", || e.calls_of(&last) == 1);
    assert_eq!(
        (e.calls_of(&id), process.platform.notification(&id)),
        (1, None)
    );
}

/// Row W1: a wait that a refusal tells binds, whatever else the answer says.
#[test]
fn a_retry_after_binds_though_the_response_has_no_capacity_too() {
    let e = Endpoint::start(Behavior::Responds(
        "429 Full\r\nRetry-After: 1.5\r\nX-Over-Slots: 1",
    ));
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    let mut client = process.client();
    client.message("notice", 7, 8_000, "first");
    wait_for("the refusal", || e.calls().len() == 1);
    let told = Instant::now();
    e.set_behavior(OK);
    client.message("notice", 7, 8_000, "second");
    wait_for("the next call", || e.calls().len() > 1);
    assert!(
        told.elapsed() > Duration::from_millis(1_350),
        "called after {:?}",
        told.elapsed()
    );
}

/// Row T5: a start waits for sockets that cannot be had for a moment.
#[test]
fn a_start_waits_for_its_listeners() {
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.json["mgmt"] = process.mgmt_at(0).into();
    let faults = Faults::new(&process.folder, 1);
    faults.ask(words::SOCKET_PERMILLE, 1_000);
    process.spawn_with(&faults);
    wait_for("sockets that fail", || {
        faults.count(words::SOCKET_FAULTS) > 3
    });
    assert!(
        process
            .child
            .as_mut()
            .unwrap()
            .try_wait()
            .unwrap()
            .is_none(),
        "it has ended"
    );
    faults.ask(words::SOCKET_PERMILLE, 0);
    wait_for("a dispatcher that serves", || {
        connect(&process.listen).is_ok()
    });
    let id = process.client().message("payment", 7, 8_000, "x");
    wait_for("the message", || e.calls_of(&id) == 1);
    assert!(process.call("ready")[0].starts_with("SUCCESS"));
}

/// Row W3: a wait binds its endpoint also when the list says another zone of it meanwhile.
#[test]
fn a_retry_after_outlasts_a_change_of_its_endpoint_s_entry() {
    let e = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 2"));
    let other = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.json["known"]["servers"][0]["kind"] = json!("banks");
    process.start();
    let mut client = process.client();
    client.message("notice", 7, 8_000, "first");
    wait_for("the refusal", || e.calls().len() == 1);
    let told = Instant::now();
    e.set_behavior(OK);
    let mut moved = e.entry("e0", 7, "up");
    (moved["kind"], moved["zone"]) = (json!("banks"), json!("south"));
    change(&process, 2, vec![moved, other.entry("e1", 8, "up")]);
    wait_for("the news", || {
        process
            .client()
            .send(&put(&fresh(), "c=notice,d=8000,k=n,dest=8", "news"))
            == "+OK"
    });
    client.message("notice", 7, 8_000, "second");
    wait_for("the next call", || e.calls().len() > 1);
    assert!(
        told.elapsed() > Duration::from_millis(1_850),
        "called after {:?}",
        told.elapsed()
    );
}

/// Row D5: of new configurations in quick succession the last counts, for the list and for notices.
#[test]
fn of_several_configurations_in_quick_succession_the_last_counts() {
    let (leaving, staying) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut process = DispatcherProcess::new(program!(), &[(&leaving, 7), (&staying, 7)]);
    process.start();
    let platforms: Vec<Platform> = (0..4).map(|_| Platform::start()).collect();
    for platform in &platforms {
        process.json["discovery"] = platform.addr.clone().into();
        // Writes the file.
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
        "asked after {:?}",
        signalled.elapsed()
    );
    std::thread::sleep(Duration::from_secs(4).saturating_sub(signalled.elapsed()));
    let before = leaving.calls().len();
    let mut client = process.client();
    let ids: Vec<String> = (0..10)
        .map(|_| client.message("notice", 7, 8_000, "x"))
        .collect();
    wait_for("all of them", || {
        ids.iter()
            .all(|id| staying.calls_of(id) + leaving.calls_of(id) == 1)
    });
    assert_eq!(leaving.calls().len(), before, "it drains");
    staying.set_behavior(Behavior::Responds("500 Oops"));
    let failed = client.message("payment", 7, 8_000, "fails");
    wait_for("its notice", || last.notification(&failed).is_some());
}

/// Row R18: messages of one key go in the order in which they were taken, one at a time, also over a kill.
#[test]
fn messages_of_one_key_are_sent_in_order_over_a_restart() {
    let e = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 0.4"));
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.json["settings"]["services"][0]["in-turn"] = json!(true);
    process.start();
    let mut client = process.client();
    let ids: Vec<String> = (0..6).map(|_| fresh()).collect();
    for id in &ids {
        let request =
            String::from_utf8(put(id, &format!("c=notice,d=15000,k={id},dest=7"), "x")).unwrap();
        // The key of the order is the first word.
        let request = request.replacen("0000000000000000", "00000000000000aa", 1);
        assert_eq!(client.send(request.as_bytes()), "+OK");
    }
    wait_for("a refusal", || process.never_ran(&ids[0]));
    process.kill();
    e.set_behavior(OK);
    let before = e.calls().len();
    process.start();
    wait_for("all of them", || {
        ids.iter().all(|id| {
            e.calls()[before..]
                .iter()
                .any(|c| c.header("X-Trace-Id") == *id)
        })
    });
    let order: Vec<String> = e.calls()[before..]
        .iter()
        .map(|c| c.header("X-Trace-Id").to_string())
        .collect();
    assert_eq!(order, ids);
}

/// Row C1: a value of 60 MB is answered or closed within 6 s, and the others are served meanwhile.
#[test]
fn a_value_of_sixty_megabytes_is_rejected_in_time() {
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    let began = Instant::now();
    let mut huge = process.client();
    let mut to = huge.to.try_clone().unwrap();
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
    let served = process.client().message("notice", 7, 8_000, "a usual one");
    wait_for("the usual one", || e.calls_of(&served) == 1);
    let mut told = Vec::new();
    huge.from.read_to_end(&mut told).ok();
    assert!(
        began.elapsed() < Duration::from_secs(6),
        "{:?}",
        began.elapsed()
    );
    drop(huge);
    sender.join().unwrap();
    assert_eq!(e.calls().len(), 1);
}
