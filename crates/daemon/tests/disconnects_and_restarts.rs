//! What is still pending when something ends: descriptors, a process, a client, a watch, a connection.

use bellsill_daemon::journal::Recovered;
use bellsill_test_support::client::{Client, fresh, put};
use bellsill_test_support::dispatcher_process::DispatcherProcess;
use bellsill_test_support::endpoint::{Behavior, Endpoint, OK, up};
use bellsill_test_support::program;
use bellsill_test_support::stand_in::{accept, crowded, request};
use bellsill_test_support::wait::wait_for;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// An address of the process's own where nobody listens, and nothing else is ever given the port.
fn nobody(process: &DispatcherProcess, port: u16) -> String {
    let listen: std::net::SocketAddr = process.listen.parse().unwrap();
    format!("{}:{port}", listen.ip())
}

/// Has somebody listen there from now on: connections go on to another address.
fn forward(from: &str, to: &str) {
    let (listener, to) = (TcpListener::bind(from).unwrap(), to.to_string());
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(&to) else {
                continue;
            };
            let ways = [
                (near.try_clone().unwrap(), far.try_clone().unwrap()),
                (far.try_clone().unwrap(), near.try_clone().unwrap()),
            ];
            for (mut from, mut to) in ways {
                std::thread::spawn(move || {
                    std::io::copy(&mut from, &mut to).ok();
                    to.shutdown(Shutdown::Write).ok();
                    from.shutdown(Shutdown::Read).ok();
                });
            }
        }
    });
}

/// Reads to the end of a connection, which may be a reset where something was unread. What came until then.
fn to_the_end(from: &mut BufReader<TcpStream>) -> Vec<u8> {
    let mut got = Vec::new();
    if let Err(e) = from.read_to_end(&mut got) {
        assert_eq!(
            e.kind(),
            std::io::ErrorKind::ConnectionReset,
            "neither an end nor a reset"
        );
    }
    got
}

fn kept_ids(process: &DispatcherProcess) -> BTreeSet<String> {
    process
        .journaled()
        .messages
        .iter()
        .map(|m| format!("{:016x}", m.id.0))
        .collect()
}

/// A stand-in for the platform that records each notification, and answers only on request; it can stop for good.
struct Place {
    addr: String,
    posts: Arc<Mutex<Vec<String>>>,
    answers: Arc<AtomicBool>,
    gone: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Place {
    fn start() -> Place {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let addr = listener.local_addr().unwrap().to_string();
        let posts: Arc<Mutex<Vec<String>>> = Arc::default();
        let (answers, gone) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicBool::new(false)),
        );
        let (p, a, g) = (Arc::clone(&posts), Arc::clone(&answers), Arc::clone(&gone));
        let thread = std::thread::spawn(move || {
            while !g.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(2));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                let (posts, answers) = (Arc::clone(&p), Arc::clone(&a));
                std::thread::spawn(move || {
                    let mut to = stream.try_clone().unwrap();
                    let mut from = BufReader::new(stream);
                    while let Some((head, body)) = request(&mut from) {
                        if head[0].starts_with("GET ") {
                            to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                                .ok();
                            continue;
                        }
                        let answers = answers.load(Ordering::SeqCst);
                        posts.lock().unwrap().push(String::from_utf8(body).unwrap());
                        if !answers || to.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Place {
            addr,
            posts,
            answers,
            gone,
            thread: Some(thread),
        }
    }
    /// How many requests had a notification of that message.
    fn notified(&self, id: &str) -> usize {
        self.posts
            .lock()
            .unwrap()
            .iter()
            .filter(|lines| lines.contains(id))
            .count()
    }
    /// Nobody listens there from now on.
    fn go(&mut self) {
        self.gone.store(true, Ordering::SeqCst);
        self.thread.take().unwrap().join().unwrap();
        wait_for("its end", || TcpStream::connect(&self.addr).is_err());
    }
}

/// Clients that ask once and stay, until one more has no answer.
fn crowd(process: &DispatcherProcess, inside: &mut Vec<Client>) {
    for _ in 0..60 {
        let mut client = process.client();
        client
            .to
            .set_read_timeout(Some(Duration::from_millis(200)))
            .unwrap();
        let mut line = String::new();
        let answered = client
            .to
            .write_all(b"PING\r\n")
            .and_then(|()| client.from.read_line(&mut line));
        inside.push(client);
        if answered.is_err() || line != "+PONG\r\n" {
            return;
        }
    }
}

/// Hands in a message as clients do: on the open connection, and on another one where that was closed.
fn hand_in(process: &DispatcherProcess, client: Client, class: &str, cell: u64, ms: u64) -> String {
    let (id, mut client) = (fresh(), Some(client));
    let ask = put(&id, &format!("c={class},d={ms},k=k{id},dest={cell}"), "x");
    wait_for("a message accepted", || {
        let mut by = client.take().unwrap_or_else(|| process.client());
        by.to
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        let sent = by.to.write_all(&ask);
        // One that waited for its place is told what it asked before.
        let answer = by
            .from
            .lines()
            .map_while(Result::ok)
            .find(|line| !line.ends_with("PONG"));
        match (sent, answer) {
            (Ok(()), Some(answer)) => {
                assert_eq!(answer, "+OK");
                true
            }
            _ => false,
        }
    });
    id
}

/// Starts the process where the system allows it no more descriptors than its configuration does.
fn start_with_32_descriptors(process: &mut DispatcherProcess) {
    let served = process.command("serve");
    let mut command = Command::new("sh");
    command
        .env_remove("RELAY_STATE")
        .arg("-c")
        .arg("ulimit -n 32 && exec \"$0\" \"$@\"");
    command.arg(served.get_program()).args(served.get_args());
    process.start_by(command);
}

#[test]
fn at_the_client_limit_attempts_admin_requests_notifications_and_the_watch_have_descriptors() {
    let (sound, failing) = (
        Endpoint::start(OK),
        Endpoint::start(Behavior::Responds("500 Oops")),
    );
    let mut process = DispatcherProcess::new(program!(), &[(&sound, 7), (&failing, 8)]);
    let discovery = nobody(&process, 7100);
    process.json["discovery"] = discovery.clone().into();
    process.json["limits"]["sockets"] = json!(32);
    process.json["mgmt"] = process.mgmt_at(0).into();
    start_with_32_descriptors(&mut process);
    let mut inside = Vec::new();
    crowd(&process, &mut inside);
    let one = inside.remove(0);
    let relayed = hand_in(&process, one, "payment", 7, 20_000);
    wait_for("the message", || sound.calls_of(&relayed) == 1);
    crowd(&process, &mut inside);
    assert!(process.call("ready")[0].starts_with("SUCCESS"));
    wait_for("the figure", || {
        process.metric("downstream_requests.payment.completed") == 1
    });
    let one = inside.remove(inside.len() - 2);
    let dead = hand_in(&process, one, "payment", 8, 20_000);
    wait_for("its end", || {
        process.metric("downstream_requests.payment.failed") == 1
    });
    crowd(&process, &mut inside);
    assert!(
        process.platform.since.lock().unwrap().is_empty()
            && process.platform.notifications().is_empty()
    );
    forward(&discovery, &process.platform.addr);
    wait_for("the watch", || {
        !process.platform.since.lock().unwrap().is_empty()
    });
    wait_for("the notice", || {
        process.platform.notification(&dead).is_some()
    });
    assert_eq!(
        process.platform.notification(&dead).unwrap()["result"],
        "dead"
    );
    // What the watch says is heard, and messages go by it.
    crowd(&process, &mut inside);
    process.platform.publish(&format!(
        "{}\n",
        json!({"version": 2, "servers": [sound.entry("more", 9, "up")]})
    ));
    wait_for("the news", || process.metric("members") == 3);
    let client = process.client();
    let last = hand_in(&process, client, "notice", 9, 19_000);
    wait_for("a message by the news", || sound.calls_of(&last) == 1);
    assert_eq!((sound.calls_of(&relayed), failing.calls_of(&dead)), (1, 1));
    assert!(
        process.platform.notification(&relayed).is_none()
            && process.platform.notification(&last).is_none()
    );
}

#[test]
fn accepted_messages_without_an_attempt_are_attempted_by_the_next_process() {
    let sound = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[]);
    // One endpoint refuses connections, at the other none comes up.
    let (refuses, (hangs, _filler)) = (nobody(&process, 7200), crowded());
    let hangs = hangs.local_addr().unwrap().to_string();
    process.json["known"]["servers"] = json!([up("e0", &refuses, 7), up("e1", &hangs, 8)]);
    process.start();
    let mut client = process.client();
    let mut messages = BTreeSet::new();
    for n in 0..12 {
        let (class, ms) = [("payment", 23_000), ("notice", 19_000)][n % 2];
        messages.insert(client.message(class, 7 + n as u64 / 2 % 2, ms, "x"));
    }
    let held = process.journaled();
    assert!(
        held.messages.iter().all(|m| m.attempts.is_empty())
            && held.pending_notifications.is_empty()
    );
    assert_eq!(kept_ids(&process), messages);
    process.kill();
    assert_eq!(kept_ids(&process), messages);
    forward(&refuses, &sound.addr);
    process.json["known"]["servers"][1]["addr"] = sound.addr.clone().into();
    process.start();
    wait_for("all of them", || {
        messages.iter().all(|id| sound.calls_of(id) > 0)
    });
    wait_for("their ends", || process.journaled() == Recovered::default());
    assert!(
        messages.iter().all(|id| sound.calls_of(id) == 1),
        "each once"
    );
    assert_eq!(process.platform.notifications(), Vec::<Value>::new());
}

#[test]
fn each_accepted_message_of_a_client_that_floods_and_disconnects_ends_once() {
    let sound = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[]);
    let addr = nobody(&process, 7200);
    process.json["known"]["servers"] = json!([up("e0", &addr, 7), up("e1", &addr, 8)]);
    process.start();
    let mut other = process.client();
    let mut ids = Vec::new();
    // The first goes when it has read one answer: so one is taken for sure. The second goes at once.
    for cell in [7, 8] {
        let mut commands = Vec::new();
        for _ in 0..200 {
            ids.push(fresh());
            let fields = format!("c=payment,d=8000,dest={cell}");
            commands.extend(put(ids.last().unwrap(), &fields, "flood"));
        }
        let mut flood = process.client();
        flood.to.write_all(&commands).unwrap();
        if cell == 7 {
            assert_eq!(flood.line(), "+OK");
            assert!(
                kept_ids(&process).contains(&ids[0]),
                "it is in the journal before its answer"
            );
        }
        drop(flood);
        for _ in 0..20 {
            assert_eq!(other.send(b"PING\r\n"), "+PONG");
        }
    }
    let taken = kept_ids(&process);
    assert!(taken.contains(&ids[0]) && taken.iter().all(|id| ids.contains(id)));
    forward(&addr, &sound.addr);
    wait_for("all ends", || {
        assert_eq!(other.send(b"PING\r\n"), "+PONG");
        process.journaled() == Recovered::default()
    });
    for id in &ids {
        let (delivered, notified) = (
            sound.calls_of(id),
            process.platform.notification(id).is_some(),
        );
        assert!(delivered <= 1, "{id} was sent {delivered} times");
        let ends = delivered + usize::from(notified);
        match taken.contains(id) {
            true => assert_eq!(ends, 1, "{id}: delivered {delivered}, notified {notified}"),
            false => assert!(
                ends <= 1,
                "{id}: delivered {delivered}, notified {notified}"
            ),
        }
    }
}

#[test]
fn a_notification_whose_answer_was_lost_is_sent_by_the_next_process_until_acknowledged() {
    let failing = Endpoint::start(Behavior::Responds("500 Oops"));
    let mut process = DispatcherProcess::new(program!(), &[(&failing, 7)]);
    let mut old = Place::start();
    process.json["discovery"] = old.addr.clone().into();
    process.start();
    let dead = process.client().message("payment", 7, 8000, "x");
    wait_for("the notice", || old.notified(&dead) >= 1);
    old.go();
    let before = old.notified(&dead);
    assert_eq!(process.client().send(b"PING\r\n"), "+PONG");
    process.kill();
    assert_eq!(process.journaled().pending_notifications.len(), 1);
    let new = Place::start();
    process.json["discovery"] = new.addr.clone().into();
    process.start();
    wait_for("the notice again", || new.notified(&dead) >= 2);
    assert_eq!(
        process.journaled().pending_notifications.len(),
        1,
        "it has no answer"
    );
    new.answers.store(true, Ordering::SeqCst);
    wait_for("its end", || process.journaled() == Recovered::default());
    assert!(new.posts.lock().unwrap().iter().all(|lines| {
        let line: Value = serde_json::from_str(lines).unwrap();
        line == json!({"ref": dead, "result": "dead"})
    }));
    // Acknowledged, it is sent no more, by the next process neither.
    let told = new.notified(&dead);
    process.kill();
    process.start();
    let later = process.client().message("payment", 7, 8000, "x");
    wait_for("a later notice", || new.notified(&later) >= 1);
    assert_eq!((old.notified(&dead), new.notified(&dead)), (before, told));
    assert_eq!((failing.calls_of(&dead), failing.calls_of(&later)), (1, 1));
}

#[test]
fn after_sighup_a_late_line_of_the_old_watch_is_ignored() {
    let (known, late, new) = (
        Endpoint::start(OK),
        Endpoint::start(OK),
        Endpoint::start(OK),
    );
    let old = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut process = DispatcherProcess::new(program!(), &[(&known, 7)]);
    process.json["discovery"] = old.local_addr().unwrap().to_string().into();
    process.start();
    let mut watch = accept(&old);
    assert!(request(&mut watch).unwrap().0[0].starts_with("GET /api/targets?follow=1"));
    let says = |to: &mut TcpStream, text: &str| write!(to, "{:x}\r\n{text}\r\n", text.len());
    // It begins a list, and falls silent.
    let mut to = watch.get_ref().try_clone().unwrap();
    to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .unwrap();
    says(&mut to, "{\"version\": 50, \"servers\": [\n").unwrap();
    process.json["discovery"] = process.platform.addr.clone().into();
    // It writes the configuration.
    drop(process.command("check"));
    process.signal(Signal::HUP);
    wait_for("the move", || {
        !process.platform.since.lock().unwrap().is_empty()
    });
    assert!(process.platform.since.lock().unwrap()[0].contains("since=0 "));
    // The list's end, and a list on one line. Where the connection has ended already that cannot be written.
    let entries = json!([late.entry("late7", 7, "up"), late.entry("late9", 9, "up")]);
    says(
        &mut to,
        &format!("{}]}}\n", entries.to_string().trim_matches(['[', ']'])),
    )
    .ok();
    says(
        &mut to,
        &format!(
            "{}\n",
            json!({"version": 51, "full": true, "servers": entries})
        ),
    )
    .ok();
    to_the_end(&mut watch);
    process.platform.publish(&format!(
        "{}\n",
        json!({"version": 3, "servers": [new.entry("new", 11, "up")]})
    ));
    let mut client = process.client();
    let ask = |cell: u64| {
        put(
            &fresh(),
            &format!("c=notice,d=19000,k=a{cell},dest={cell}"),
            "x",
        )
    };
    wait_for("the new one's line", || client.send(&ask(11)) == "+OK");
    wait_for("a message by it", || !new.calls().is_empty());
    assert_eq!(client.send(&ask(9)), "-ERR dest: unknown destination");
    for n in 1..=8 {
        client.message("payment", 7, 20_000, "x");
        wait_for("the message", || {
            known.calls().len() + late.calls().len() == n
        });
    }
    assert_eq!(late.calls().len(), 0);
}

#[test]
fn an_idle_connection_that_received_half_a_line_is_not_reused() {
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut process = DispatcherProcess::new(program!(), &[]);
    process.json["known"]["servers"] =
        json!([up("e0", &endpoint.local_addr().unwrap().to_string(), 7)]);
    process.start();
    let mut client = process.client();
    let answer = |conn: &mut BufReader<TcpStream>, id: &str| {
        let (head, _) = request(conn).unwrap();
        assert!(
            head.contains(&format!("X-Trace-Id: {id}")),
            "{id} in {head:?}"
        );
        conn.get_mut()
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            .unwrap();
        // The answer is read, and the connection idle.
        wait_for("its end", || process.journaled().messages.is_empty());
    };
    let half = |conn: &mut BufReader<TcpStream>| conn.get_mut().write_all(b"HTTP/1.1 2").unwrap();
    // A sound one is used again.
    let a = client.message("payment", 7, 20_000, "x");
    let mut first = accept(&endpoint);
    answer(&mut first, &a);
    let b = client.message("payment", 7, 20_000, "x");
    answer(&mut first, &b);
    half(&mut first);
    assert!(
        to_the_end(&mut first).is_empty(),
        "closed, with nothing written to it"
    );
    let c = client.message("payment", 7, 20_000, "x");
    let mut second = accept(&endpoint);
    answer(&mut second, &c);
    // The half line and the next message are there in the same instant.
    let d = fresh();
    process.signal(Signal::STOP);
    half(&mut second);
    client
        .to
        .write_all(&put(&d, "c=payment,d=20000,dest=7", "x"))
        .unwrap();
    process.signal(Signal::CONT);
    assert_eq!(client.line(), "+OK");
    assert!(
        to_the_end(&mut second).is_empty(),
        "closed, with nothing written to it"
    );
    let mut third = accept(&endpoint);
    answer(&mut third, &d);
    wait_for("all to be over", || {
        process.journaled() == Recovered::default()
    });
    assert_eq!(process.platform.notifications(), Vec::<Value>::new());
}

#[test]
fn an_attempt_in_flight_at_sigkill_is_retried_only_where_its_class_allows() {
    let hung = Endpoint::start(Behavior::Hangs);
    let mut process = DispatcherProcess::new(program!(), &[(&hung, 7)]);
    process.json["settings"]["services"][0]["window-ns"] = json!(60_000_000_000u64);
    process.start();
    let mut client = process.client();
    let once = client.message("payment", 7, 23_000, "x");
    let tagged = client.message("notice", 7, 19_000, "x");
    wait_for("both calls", || {
        hung.calls_of(&once) == 1 && hung.calls_of(&tagged) >= 1
    });
    process.kill();
    hung.set_behavior(OK);
    let before = hung.calls_of(&tagged);
    process.start();
    wait_for("the tagged one again", || hung.calls_of(&tagged) > before);
    wait_for("the end of the other", || {
        process.platform.notification(&once).is_some()
    });
    assert_eq!(
        process.platform.notification(&once).unwrap()["result"],
        "dead"
    );
    wait_for("all to be over", || {
        process.journaled() == Recovered::default()
    });
    let last = process.client().message("payment", 7, 20_000, "x");
    wait_for("a later message", || hung.calls_of(&last) == 1);
    assert_eq!(hung.calls_of(&once), 1, "it may have run");
    assert!(
        process.platform.notification(&tagged).is_none(),
        "it is relayed"
    );
}

#[test]
fn an_attempt_with_an_idempotency_key_in_flight_at_sigkill_is_not_retried_after_its_window() {
    let hung = Endpoint::start(Behavior::Hangs);
    let mut process = DispatcherProcess::new(program!(), &[(&hung, 7)]);
    process.json["settings"]["services"][0]["window-ns"] = json!(1_000_000_000);
    process.start();
    let id = process.client().message("notice", 7, 19_000, "x");
    wait_for("the call", || hung.calls_of(&id) >= 1);
    process.kill();
    hung.set_behavior(OK);
    // The journal does not change. On a suspended machine the retry may have been sent before.
    let held = process.journaled();
    let attempts = held
        .messages
        .first()
        .map(|m| m.attempts.iter().map(|c| c.sent_at).collect::<Vec<_>>());
    let before = attempts
        .as_ref()
        .map_or_else(|| hung.calls_of(&id), Vec::len);
    let closed = attempts.and_then(|c| c.last().copied()).unwrap_or(0) + 1_100_000_000;
    // The journal's times are on the dispatcher's clock.
    wait_for("the window's end", || {
        bellsill_daemon::clock::now() > closed
    });
    process.start();
    wait_for("its end", || process.platform.notification(&id).is_some());
    assert_eq!(
        process.platform.notification(&id).unwrap()["result"],
        "dead",
        "it may have run"
    );
    let last = process.client().message("payment", 7, 20_000, "x");
    wait_for("a later message", || hung.calls_of(&last) == 1);
    assert!(
        hung.calls_of(&id) <= before,
        "{} after {before}",
        hung.calls_of(&id)
    );
}
