//! Pending messages and notifications when descriptors run out, or a process, client, watch or connection ends.

use bellsill_daemon::journal::Recovered;
use bellsill_test_support::client::{Client, new_id, put};
use bellsill_test_support::dispatcher_process::DispatcherProcess;
use bellsill_test_support::endpoint::{Behavior, Endpoint, OK, up};
use bellsill_test_support::program;
use bellsill_test_support::stand_in::{accept, full_backlog, request};
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

/// Returns an address without a listener, on the IP address of this process, where no other socket is given the port.
fn unused_addr(process: &DispatcherProcess, port: u16) -> String {
    let listen: std::net::SocketAddr = process.listen.parse().unwrap();
    format!("{}:{port}", listen.ip())
}

/// Starts listening at an address and forwards its connections to another one.
fn forward(from: &str, to: &str) {
    let (listener, to) = (TcpListener::bind(from).unwrap(), to.to_string());
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(&to) else {
                continue;
            };
            let directions = [
                (client.try_clone().unwrap(), server.try_clone().unwrap()),
                (server.try_clone().unwrap(), client.try_clone().unwrap()),
            ];
            for (mut from, mut to) in directions {
                std::thread::spawn(move || {
                    std::io::copy(&mut from, &mut to).ok();
                    to.shutdown(Shutdown::Write).ok();
                    from.shutdown(Shutdown::Read).ok();
                });
            }
        }
    });
}

/// Reads until the connection is closed, or reset because of unread data, and returns what arrived.
fn read_to_close(from: &mut BufReader<TcpStream>) -> Vec<u8> {
    let mut received = Vec::new();
    if let Err(e) = from.read_to_end(&mut received) {
        assert_eq!(
            e.kind(),
            std::io::ErrorKind::ConnectionReset,
            "the connection must be closed or reset"
        );
    }
    received
}

/// Returns the ids of the messages in the journal.
fn journaled_ids(process: &DispatcherProcess) -> BTreeSet<String> {
    process
        .read_journal()
        .messages
        .iter()
        .map(|m| format!("{:016x}", m.id.0))
        .collect()
}

/// A fake platform that records each notification request, acknowledges them only once `acknowledges` is set, and can
/// be stopped.
struct FakePlatform {
    addr: String,
    posts: Arc<Mutex<Vec<String>>>,
    acknowledges: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl FakePlatform {
    fn start() -> FakePlatform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let addr = listener.local_addr().unwrap().to_string();
        let posts: Arc<Mutex<Vec<String>>> = Arc::default();
        let (acknowledges, stopped) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicBool::new(false)),
        );
        let (thread_posts, thread_acknowledges, thread_stopped) = (
            Arc::clone(&posts),
            Arc::clone(&acknowledges),
            Arc::clone(&stopped),
        );
        let thread = std::thread::spawn(move || {
            while !thread_stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(2));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                let (posts, acknowledges) =
                    (Arc::clone(&thread_posts), Arc::clone(&thread_acknowledges));
                std::thread::spawn(move || {
                    let mut to = stream.try_clone().unwrap();
                    let mut from = BufReader::new(stream);
                    while let Some((head, body)) = request(&mut from) {
                        if head[0].starts_with("GET ") {
                            to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                                .ok();
                            continue;
                        }
                        let acknowledges = acknowledges.load(Ordering::SeqCst);
                        posts.lock().unwrap().push(String::from_utf8(body).unwrap());
                        if !acknowledges
                            || to.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        FakePlatform {
            addr,
            posts,
            acknowledges,
            stopped,
            thread: Some(thread),
        }
    }
    /// The number of requests that contained a notification of the message.
    fn notified(&self, id: &str) -> usize {
        self.posts
            .lock()
            .unwrap()
            .iter()
            .filter(|lines| lines.contains(id))
            .count()
    }
    /// Stops the listener.
    fn stop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.thread.take().unwrap().join().unwrap();
        wait_for("the listener to stop", || {
            TcpStream::connect(&self.addr).is_err()
        });
    }
}

/// Connects clients, each of which sends one `PING` and stays connected, until one gets no response.
fn fill_client_connections(process: &DispatcherProcess, clients: &mut Vec<Client>) {
    for _ in 0..60 {
        let mut client = process.client();
        client
            .writer
            .set_read_timeout(Some(Duration::from_millis(200)))
            .unwrap();
        let mut line = String::new();
        let result = client
            .writer
            .write_all(b"PING\r\n")
            .and_then(|()| client.reader.read_line(&mut line));
        clients.push(client);
        if result.is_err() || line != "+PONG\r\n" {
            return;
        }
    }
}

/// Submits a message on the open connection, and on a new one if that was closed, until it is accepted.
fn submit(
    process: &DispatcherProcess,
    client: Client,
    class: &str,
    destination: u64,
    ms: u64,
) -> String {
    let (id, mut client) = (new_id(), Some(client));
    let command = put(
        &id,
        &format!("c={class},d={ms},k=k{id},dest={destination}"),
        "x",
    );
    wait_for("the message to be accepted", || {
        let mut client = client.take().unwrap_or_else(|| process.client());
        client
            .writer
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        let sent = client.writer.write_all(&command);
        // A client that had waited to be accepted first gets the response to its earlier `PING`.
        let response = client
            .reader
            .lines()
            .map_while(Result::ok)
            .find(|line| !line.ends_with("PONG"));
        match (sent, response) {
            (Ok(()), Some(response)) => {
                assert_eq!(response, "+OK");
                true
            }
            _ => false,
        }
    });
    id
}

/// Starts the process with a system limit of 32 descriptors, the same as in its configuration.
fn start_with_32_descriptors(process: &mut DispatcherProcess) {
    let served = process.command("serve");
    let mut command = Command::new("sh");
    command
        .env_remove("RELAY_STATE")
        .arg("-c")
        .arg("ulimit -n 32 && exec \"$0\" \"$@\"");
    command.arg(served.get_program()).args(served.get_args());
    process.start_command(command);
}

#[test]
fn at_the_client_limit_attempts_admin_requests_notifications_and_the_watch_have_descriptors() {
    let (healthy, failing) = (
        Endpoint::start(OK),
        Endpoint::start(Behavior::Responds("500 Oops")),
    );
    let mut process = DispatcherProcess::new(program!(), &[(&healthy, 7), (&failing, 8)]);
    let discovery = unused_addr(&process, 7100);
    process.config["discovery"] = discovery.clone().into();
    process.config["limits"]["sockets"] = json!(32);
    process.config["mgmt"] = process.admin_addr(0).into();
    start_with_32_descriptors(&mut process);
    let mut clients = Vec::new();
    fill_client_connections(&process, &mut clients);
    let client = clients.remove(0);
    let delivered = submit(&process, client, "payment", 7, 20_000);
    wait_for("the message", || healthy.received(&delivered) == 1);
    fill_client_connections(&process, &mut clients);
    assert!(process.admin("ready")[0].starts_with("SUCCESS"));
    wait_for("the metric of completed messages", || {
        process.metric("downstream_requests.payment.completed") == 1
    });
    let client = clients.remove(clients.len() - 2);
    let failed = submit(&process, client, "payment", 8, 20_000);
    wait_for("the metric of failed messages", || {
        process.metric("downstream_requests.payment.failed") == 1
    });
    fill_client_connections(&process, &mut clients);
    assert!(
        process.platform.watch_requests.lock().unwrap().is_empty()
            && process.platform.notifications().is_empty()
    );
    forward(&discovery, &process.platform.addr);
    wait_for("the watch", || {
        !process.platform.watch_requests.lock().unwrap().is_empty()
    });
    wait_for("the notification", || {
        process.platform.notification(&failed).is_some()
    });
    assert_eq!(
        process.platform.notification(&failed).unwrap()["result"],
        "dead"
    );
    // Updates from the watch are applied and used for delivery.
    fill_client_connections(&process, &mut clients);
    process.platform.publish(&format!(
        "{}\n",
        json!({"version": 2, "servers": [healthy.entry("more", 9, "up")]})
    ));
    wait_for("the list update", || process.metric("members") == 3);
    let client = process.client();
    let last = submit(&process, client, "notice", 9, 19_000);
    wait_for("a message to the endpoint of the update", || {
        healthy.received(&last) == 1
    });
    assert_eq!(
        (healthy.received(&delivered), failing.received(&failed)),
        (1, 1)
    );
    assert!(
        process.platform.notification(&delivered).is_none()
            && process.platform.notification(&last).is_none()
    );
}

#[test]
fn accepted_messages_without_an_attempt_are_attempted_by_the_next_process() {
    let healthy = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[]);
    // One endpoint refuses connections; at the other, connects hang.
    let (refusing, (hanging, _filler)) = (unused_addr(&process, 7200), full_backlog());
    let hanging = hanging.local_addr().unwrap().to_string();
    process.config["known"]["servers"] = json!([up("e0", &refusing, 7), up("e1", &hanging, 8)]);
    process.start();
    let mut client = process.client();
    let mut messages = BTreeSet::new();
    for n in 0..12 {
        let (class, ms) = [("payment", 23_000), ("notice", 19_000)][n % 2];
        messages.insert(client.message(class, 7 + n as u64 / 2 % 2, ms, "x"));
    }
    let journaled = process.read_journal();
    assert!(
        journaled.messages.iter().all(|m| m.attempts.is_empty())
            && journaled.pending_notifications.is_empty()
    );
    assert_eq!(journaled_ids(&process), messages);
    process.kill();
    assert_eq!(journaled_ids(&process), messages);
    forward(&refusing, &healthy.addr);
    process.config["known"]["servers"][1]["addr"] = healthy.addr.clone().into();
    process.start();
    wait_for("all messages", || {
        messages.iter().all(|id| healthy.received(id) > 0)
    });
    wait_for("the end of all messages", || {
        process.read_journal() == Recovered::default()
    });
    assert!(
        messages.iter().all(|id| healthy.received(id) == 1),
        "each message is sent once"
    );
    assert_eq!(process.platform.notifications(), Vec::<Value>::new());
}

#[test]
fn each_accepted_message_of_a_client_that_floods_and_disconnects_ends_once() {
    let healthy = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[]);
    let addr = unused_addr(&process, 7200);
    process.config["known"]["servers"] = json!([up("e0", &addr, 7), up("e1", &addr, 8)]);
    process.start();
    let mut other = process.client();
    let mut ids = Vec::new();
    // The first client disconnects after one response, so at least one message is accepted. The second disconnects at
    // once.
    for destination in [7, 8] {
        let mut commands = Vec::new();
        for _ in 0..200 {
            ids.push(new_id());
            let fields = format!("c=payment,d=8000,dest={destination}");
            commands.extend(put(ids.last().unwrap(), &fields, "flood"));
        }
        let mut flood = process.client();
        flood.writer.write_all(&commands).unwrap();
        if destination == 7 {
            assert_eq!(flood.line(), "+OK");
            assert!(
                journaled_ids(&process).contains(&ids[0]),
                "a message must be in the journal before its response"
            );
        }
        drop(flood);
        for _ in 0..20 {
            assert_eq!(other.send(b"PING\r\n"), "+PONG");
        }
    }
    let accepted = journaled_ids(&process);
    assert!(accepted.contains(&ids[0]) && accepted.iter().all(|id| ids.contains(id)));
    forward(&addr, &healthy.addr);
    wait_for("the end of all messages", || {
        assert_eq!(other.send(b"PING\r\n"), "+PONG");
        process.read_journal() == Recovered::default()
    });
    for id in &ids {
        let (delivered, notified) = (
            healthy.received(id),
            process.platform.notification(id).is_some(),
        );
        assert!(delivered <= 1, "{id} was sent {delivered} times");
        let ends = delivered + usize::from(notified);
        match accepted.contains(id) {
            true => assert_eq!(ends, 1, "{id}: delivered {delivered}, notified {notified}"),
            false => assert!(
                ends <= 1,
                "{id}: delivered {delivered}, notified {notified}"
            ),
        }
    }
}

#[test]
fn a_notification_without_a_response_is_sent_by_the_next_process_until_acknowledged() {
    let failing = Endpoint::start(Behavior::Responds("500 Oops"));
    let mut process = DispatcherProcess::new(program!(), &[(&failing, 7)]);
    let mut old = FakePlatform::start();
    process.config["discovery"] = old.addr.clone().into();
    process.start();
    let failed = process.client().message("payment", 7, 8000, "x");
    wait_for("the notification", || old.notified(&failed) >= 1);
    old.stop();
    let before = old.notified(&failed);
    assert_eq!(process.client().send(b"PING\r\n"), "+PONG");
    process.kill();
    assert_eq!(process.read_journal().pending_notifications.len(), 1);
    let new = FakePlatform::start();
    process.config["discovery"] = new.addr.clone().into();
    process.start();
    wait_for("repeated notifications", || new.notified(&failed) >= 2);
    assert_eq!(
        process.read_journal().pending_notifications.len(),
        1,
        "the notification is not acknowledged"
    );
    new.acknowledges.store(true, Ordering::SeqCst);
    wait_for("the acknowledgement", || {
        process.read_journal() == Recovered::default()
    });
    assert!(new.posts.lock().unwrap().iter().all(|lines| {
        let line: Value = serde_json::from_str(lines).unwrap();
        line == json!({"ref": failed, "result": "dead"})
    }));
    // Once acknowledged, it is not sent again, not even by the next process.
    let count = new.notified(&failed);
    process.kill();
    process.start();
    let later = process.client().message("payment", 7, 8000, "x");
    wait_for("a later notification", || new.notified(&later) >= 1);
    assert_eq!(
        (old.notified(&failed), new.notified(&failed)),
        (before, count)
    );
    assert_eq!(
        (failing.received(&failed), failing.received(&later)),
        (1, 1)
    );
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
    process.config["discovery"] = old.local_addr().unwrap().to_string().into();
    process.start();
    let mut watch = accept(&old);
    assert!(request(&mut watch).unwrap().0[0].starts_with("GET /api/targets?follow=1"));
    let write_chunk = |to: &mut TcpStream, text: &str| write!(to, "{:x}\r\n{text}\r\n", text.len());
    // The old watch starts a list and then sends nothing more.
    let mut to = watch.get_ref().try_clone().unwrap();
    to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .unwrap();
    write_chunk(&mut to, "{\"version\": 50, \"servers\": [\n").unwrap();
    process.config["discovery"] = process.platform.addr.clone().into();
    // Building the command writes the configuration file.
    drop(process.command("check"));
    process.signal(Signal::HUP);
    wait_for("the watch at the new address", || {
        !process.platform.watch_requests.lock().unwrap().is_empty()
    });
    assert!(process.platform.watch_requests.lock().unwrap()[0].contains("since=0 "));
    // The rest of the list, and a list in a single line. The writes fail if the connection is already closed.
    let entries = json!([late.entry("late7", 7, "up"), late.entry("late9", 9, "up")]);
    write_chunk(
        &mut to,
        &format!("{}]}}\n", entries.to_string().trim_matches(['[', ']'])),
    )
    .ok();
    write_chunk(
        &mut to,
        &format!(
            "{}\n",
            json!({"version": 51, "full": true, "servers": entries})
        ),
    )
    .ok();
    read_to_close(&mut watch);
    process.platform.publish(&format!(
        "{}\n",
        json!({"version": 3, "servers": [new.entry("new", 11, "up")]})
    ));
    let mut client = process.client();
    let command = |destination: u64| {
        put(
            &new_id(),
            &format!("c=notice,d=19000,k=a{destination},dest={destination}"),
            "x",
        )
    };
    wait_for("the list update", || client.send(&command(11)) == "+OK");
    wait_for("a message to a new endpoint", || !new.requests().is_empty());
    assert_eq!(client.send(&command(9)), "-ERR dest: unknown destination");
    for n in 1..=8 {
        client.message("payment", 7, 20_000, "x");
        wait_for("the message", || {
            known.requests().len() + late.requests().len() == n
        });
    }
    assert_eq!(late.requests().len(), 0);
}

#[test]
fn an_idle_connection_that_received_a_partial_line_is_not_reused() {
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut process = DispatcherProcess::new(program!(), &[]);
    process.config["known"]["servers"] =
        json!([up("e0", &endpoint.local_addr().unwrap().to_string(), 7)]);
    process.start();
    let mut client = process.client();
    let respond = |conn: &mut BufReader<TcpStream>, id: &str| {
        let (head, _) = request(conn).unwrap();
        assert!(
            head.contains(&format!("X-Trace-Id: {id}")),
            "{id} in {head:?}"
        );
        conn.get_mut()
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            .unwrap();
        // Once the message has ended, the response was read and the connection is idle.
        wait_for("the end of the message", || {
            process.read_journal().messages.is_empty()
        });
    };
    let write_partial_line =
        |conn: &mut BufReader<TcpStream>| conn.get_mut().write_all(b"HTTP/1.1 2").unwrap();
    // A connection without unexpected data is reused.
    let a = client.message("payment", 7, 20_000, "x");
    let mut first = accept(&endpoint);
    respond(&mut first, &a);
    let b = client.message("payment", 7, 20_000, "x");
    respond(&mut first, &b);
    write_partial_line(&mut first);
    assert!(
        read_to_close(&mut first).is_empty(),
        "closed, with nothing written to it"
    );
    let c = client.message("payment", 7, 20_000, "x");
    let mut second = accept(&endpoint);
    respond(&mut second, &c);
    // The partial line and the next message arrive at the same time.
    let d = new_id();
    process.signal(Signal::STOP);
    write_partial_line(&mut second);
    client
        .writer
        .write_all(&put(&d, "c=payment,d=20000,dest=7", "x"))
        .unwrap();
    process.signal(Signal::CONT);
    assert_eq!(client.line(), "+OK");
    assert!(
        read_to_close(&mut second).is_empty(),
        "closed, with nothing written to it"
    );
    let mut third = accept(&endpoint);
    respond(&mut third, &d);
    wait_for("the end of all messages", || {
        process.read_journal() == Recovered::default()
    });
    assert_eq!(process.platform.notifications(), Vec::<Value>::new());
}

#[test]
fn an_attempt_in_flight_at_sigkill_is_retried_only_where_its_class_allows() {
    let hung = Endpoint::start(Behavior::Hangs);
    let mut process = DispatcherProcess::new(program!(), &[(&hung, 7)]);
    process.config["settings"]["services"][0]["window-ns"] = json!(60_000_000_000u64);
    process.start();
    let mut client = process.client();
    let once = client.message("payment", 7, 23_000, "x");
    let idempotent = client.message("notice", 7, 19_000, "x");
    wait_for("both requests", || {
        hung.received(&once) == 1 && hung.received(&idempotent) >= 1
    });
    process.kill();
    hung.set_behavior(OK);
    let before = hung.received(&idempotent);
    process.start();
    wait_for("the retry of the idempotent message", || {
        hung.received(&idempotent) > before
    });
    wait_for("the notification of the other message", || {
        process.platform.notification(&once).is_some()
    });
    assert_eq!(
        process.platform.notification(&once).unwrap()["result"],
        "dead"
    );
    wait_for("the end of all messages", || {
        process.read_journal() == Recovered::default()
    });
    let last = process.client().message("payment", 7, 20_000, "x");
    wait_for("a later message", || hung.received(&last) == 1);
    assert_eq!(hung.received(&once), 1, "the message may have run");
    assert!(
        process.platform.notification(&idempotent).is_none(),
        "no notification is sent for a delivered message"
    );
}

#[test]
fn an_attempt_with_an_idempotency_key_in_flight_at_sigkill_is_not_retried_after_its_window() {
    let hung = Endpoint::start(Behavior::Hangs);
    let mut process = DispatcherProcess::new(program!(), &[(&hung, 7)]);
    process.config["settings"]["services"][0]["window-ns"] = json!(1_000_000_000);
    process.start();
    let id = process.client().message("notice", 7, 19_000, "x");
    wait_for("the request", || hung.received(&id) >= 1);
    process.kill();
    hung.set_behavior(OK);
    // The journal does not change while no process runs. If the machine was suspended, the retry may already have been
    // sent before the kill.
    let journaled = process.read_journal();
    let attempts = journaled
        .messages
        .first()
        .map(|m| m.attempts.iter().map(|c| c.sent_at).collect::<Vec<_>>());
    let before = attempts
        .as_ref()
        .map_or_else(|| hung.received(&id), Vec::len);
    let window_end = attempts.and_then(|c| c.last().copied()).unwrap_or(0) + 1_100_000_000;
    // The times in the journal are those of the dispatcher's clock.
    wait_for("the end of the deduplication window", || {
        bellsill_daemon::clock::now() > window_end
    });
    process.start();
    wait_for("the notification", || {
        process.platform.notification(&id).is_some()
    });
    assert_eq!(
        process.platform.notification(&id).unwrap()["result"],
        "dead",
        "the message may have run"
    );
    let last = process.client().message("payment", 7, 20_000, "x");
    wait_for("a later message", || hung.received(&last) == 1);
    assert!(
        hung.received(&id) <= before,
        "{} after {before}",
        hung.received(&id)
    );
}
