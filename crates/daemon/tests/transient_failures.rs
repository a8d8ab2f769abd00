//! System calls that fail for a moment. Every request that was written to an open connection gets its reply, and every
//! accepted message its end, whichever call fails.

use bellsill_test_support::client::{Client, connect, new_id, put};
use bellsill_test_support::dispatcher_process::{DispatcherProcess, KillOnDrop};
use bellsill_test_support::endpoint::{Behavior, Endpoint, OK};
use bellsill_test_support::faults::words::{
    ACCEPT, ACCEPTED_SOCKETS, ANY_SOCKET, CREATED_SOCKETS, LIST_DIRECTORY, LOCK, OPEN_BOOT_ID,
    OPEN_ELSEWHERE, POLL_ADD, POLL_CREATE, POLL_MODIFY, POLL_WAIT, READ_PIPE, RECEIVE, SEND,
    SET_NONBLOCKING, SHUT_DOWN, SOCKET_PAIR, STATUS, TransientCall,
};
use bellsill_test_support::faults::{EINTR, ENOSPC, Faults, words};
use bellsill_test_support::platform::Platform;
use bellsill_test_support::program;
use bellsill_test_support::stand_in::{accept, request};
use bellsill_test_support::wait::wait_for;
use rustix::process::Signal;
use serde_json::json;
use std::io::{BufRead, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// How long a client waits for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// A dispatcher with one endpoint of destination 7, started with fault injection.
fn start(endpoint: &Endpoint) -> (DispatcherProcess, Faults) {
    let mut process = DispatcherProcess::new(program!(), &[(endpoint, 7)]);
    let faults = Faults::new(&process.dir, 1);
    process.start_with_faults(&faults);
    (process, faults)
}

/// A dispatcher that is not started, and the listener of its only endpoint, of destination 7, for tests that write the
/// response themselves.
fn with_listener() -> (DispatcherProcess, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let mut process = DispatcherProcess::new(program!(), &[]);
    process.config["known"]["servers"] = json!([
        {"id": "e0", "addr": addr, "zone": "north", "kind": "shops", "cell": 7, "state": "up"}
    ]);
    (process, listener)
}

/// Writes a request and returns the reply, or why there was none.
fn reply_to_put(client: &mut Client, id: &str) -> String {
    client.writer.set_read_timeout(Some(REPLY_TIMEOUT)).unwrap();
    let request = put(id, &format!("c=payment,d=8000,k=k{id},dest=7"), "x");
    if let Err(e) = client.writer.write_all(&request) {
        return format!("the request could not be written: {e}");
    }
    let mut line = String::new();
    match client.reader.read_line(&mut line) {
        Ok(0) => "the connection was closed".into(),
        Ok(_) => line.trim_end().to_string(),
        Err(e) => format!("no reply: {e}"),
    }
}

/// Makes this many calls on a client's connection fail while a request on it is handled, and checks that this request and the
/// next one on the same connection are answered and delivered.
fn check_requests_while_failing(call: TransientCall, count: u64) {
    let e = Endpoint::start(OK);
    let (process, faults) = start(&e);
    let mut client = process.client();
    client.message("payment", 7, 8_000, "before");
    let ids = [new_id(), new_id()];
    faults.fail_next(call, count, ACCEPTED_SOCKETS);
    for id in &ids {
        assert_eq!(reply_to_put(&mut client, id), "+OK");
    }
    assert!(faults.have_failed(call), "the fault was not injected");
    wait_for("both messages", || ids.iter().all(|id| e.received(id) == 1));
}

/// Issue 50, `lost`: a request whose bytes could not be received for a moment got no reply.
#[test]
fn a_request_is_answered_though_receiving_it_fails_for_a_moment() {
    check_requests_while_failing(RECEIVE, 1);
}

/// Issue 50, `lost`: an accepted message whose reply could not be sent for a moment got none.
#[test]
fn a_request_is_answered_though_sending_the_reply_fails_for_a_moment() {
    check_requests_while_failing(SEND, 3);
}

/// Issue 50, `lost`: a connection that the poller could not re-arm for a moment was closed, or never read again.
#[test]
fn requests_are_answered_though_the_poller_fails_for_a_moment() {
    let e = Endpoint::start(OK);
    let (process, faults) = start(&e);
    let mut client = process.client();
    client.message("payment", 7, 8_000, "before");
    faults.fail_next(POLL_MODIFY, 1, ACCEPTED_SOCKETS);
    for _ in 0..3 {
        assert_eq!(reply_to_put(&mut client, &new_id()), "+OK");
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(
        faults.have_failed(POLL_MODIFY),
        "the fault was not injected"
    );
}

/// Issue 50, `lost`: a client taken from the accept queue was closed unread because a call that sets up its connection
/// failed.
#[test]
fn a_new_client_is_served_though_setting_up_its_connection_fails_for_a_moment() {
    let e = Endpoint::start(OK);
    let (process, faults) = start(&e);
    for call in [SET_NONBLOCKING, POLL_ADD] {
        faults.fail_next(call, 1, ACCEPTED_SOCKETS);
        assert_eq!(
            reply_to_put(&mut process.client(), &new_id()),
            "+OK",
            "{}",
            call.documented_errno
        );
        faults.stop_failing(call);
    }
}

/// Issue 50, `lost`: clients in the accept queue were reset, because accepting failed when the shutdown closed the
/// listener.
#[test]
fn clients_in_the_accept_queue_are_served_though_accepting_fails_when_the_listener_closes() {
    let e = Endpoint::start(OK);
    let (process, faults) = start(&e);
    process.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(250));
    faults.fail_next(ACCEPT, u64::MAX, ANY_SOCKET);
    let mut clients: Vec<Client> = (0..4).map(|_| process.client()).collect();
    let ids: Vec<String> = clients.iter().map(|_| new_id()).collect();
    for (client, id) in clients.iter_mut().zip(&ids) {
        let request = put(id, &format!("c=payment,d=8000,k=k{id},dest=7"), "x");
        client.writer.write_all(&request).unwrap();
    }
    std::thread::sleep(Duration::from_millis(450));
    faults.stop_failing(ACCEPT);
    for client in &mut clients {
        client
            .writer
            .set_read_timeout(Some(Duration::from_secs(2)))
            .unwrap();
        let mut line = String::new();
        client.reader.read_line(&mut line).unwrap_or(0);
        assert_eq!(line.trim_end(), "+OK");
    }
    wait_for("the messages", || ids.iter().all(|id| e.received(id) == 1));
}

/// Issue 50, `lost`: a failed call of the event loop ended the process with all its clients' requests.
#[test]
fn the_process_goes_on_though_calls_of_the_event_loop_fail_for_a_moment() {
    let e = Endpoint::start(OK);
    let (mut process, faults) = start(&e);
    let mut client = process.client();
    for (call, count) in [
        (POLL_WAIT, 3),
        (POLL_MODIFY, 3),
        (READ_PIPE, 3),
        (RECEIVE, 3),
    ] {
        faults.fail_next(call, count, ANY_SOCKET);
        // The signal is read from a pipe.
        process.signal(Signal::HUP);
        for _ in 0..3 {
            assert_eq!(reply_to_put(&mut client, &new_id()), "+OK");
        }
        faults.stop_failing(call);
        let status = process.child.as_mut().unwrap().try_wait().unwrap();
        assert_eq!(status, None, "the process has exited");
    }
}

/// Issue 50, `lost`: after a reload that could not read the file for a moment, notifications went on to an address that
/// no longer exists.
#[test]
fn a_reload_is_repeated_though_the_file_cannot_be_read_for_a_moment() {
    let e = Endpoint::start(Behavior::Responds("500 Oops"));
    let (mut process, faults) = start(&e);
    let next = Platform::start();
    process.config["discovery"] = next.addr.clone().into();
    // Building the command writes the configuration file.
    drop(process.command("serve"));
    faults.fail_next(OPEN_ELSEWHERE, 3, ANY_SOCKET);
    process.signal(Signal::HUP);
    let signalled_at = Instant::now();
    wait_for("the failed reads", || faults.have_failed(OPEN_ELSEWHERE));
    // A new configuration is in force 4 s after the signal.
    std::thread::sleep(Duration::from_secs(4).saturating_sub(signalled_at.elapsed()));
    let id = process.client().message("payment", 7, 8_000, "fails");
    wait_for("a notification", || {
        next.notification(&id).is_some() || process.platform.notification(&id).is_some()
    });
    assert!(
        next.notification(&id).is_some(),
        "the notification went to the old address"
    );
}

/// Issue 50, `lost`: a reply was reset together with the connection, because shutting down one side failed.
#[test]
fn a_client_reads_its_reply_though_shutting_down_the_connection_fails_for_a_moment() {
    let e = Endpoint::start(OK);
    let (process, faults) = start(&e);
    let mut client = process.client();
    faults.fail_next(SHUT_DOWN, 1, ACCEPTED_SOCKETS);
    // What follows QUIT is never read, so closing the socket would reset the connection and take the replies along.
    let mut input = put(&new_id(), "c=payment,d=8000,k=a,dest=7", "x");
    input.extend(b"QUIT\r\n");
    input.extend(vec![b'x'; 200_000]);
    let mut to = client.writer.try_clone().unwrap();
    let writer = std::thread::spawn(move || to.write_all(&input).ok());
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!([client.line(), client.line()], ["+OK", "+OK"]);
    assert!(faults.have_failed(SHUT_DOWN), "the fault was not injected");
    drop(client);
    writer.join().unwrap();
}

/// Issue 50, `lost`: a message whose endpoint answered was ended as failed, because its response could not be received
/// for a moment.
#[test]
fn a_response_counts_though_receiving_it_fails_for_a_moment() {
    for call in [RECEIVE, SEND, POLL_MODIFY, POLL_ADD] {
        let e = Endpoint::start(OK);
        let (process, faults) = start(&e);
        let mut client = process.client();
        // Discovery keeps sending empty lines on a created socket as well, so several calls fail.
        faults.fail_next(call, 3, CREATED_SOCKETS);
        let ids: Vec<String> = (0..6)
            .map(|_| client.message("payment", 7, 8_000, "once"))
            .collect();
        wait_for("the messages", || ids.iter().all(|id| e.received(id) == 1));
        std::thread::sleep(Duration::from_millis(300));
        for id in &ids {
            assert_eq!(
                (e.received(id), process.platform.notification(id)),
                (1, None)
            );
        }
    }
}

/// Issue 50, `lost`: a start ended on calls that fail for a moment, and left the messages of the last process without
/// their end.
#[test]
fn a_start_outlasts_calls_that_fail_for_a_moment() {
    const FULL: Behavior = Behavior::Responds("429 Full\r\nRetry-After: 1");
    let e = Endpoint::start(FULL);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.config["mgmt"] = process.admin_addr(0).into();
    let faults = Faults::new(&process.dir, 1);
    process.start_with_faults(&faults);
    for (call, name) in [
        (SOCKET_PAIR, "socketpair"),
        (OPEN_ELSEWHERE, "open"),
        (POLL_CREATE, "epoll_create1"),
        (POLL_ADD, "epoll_ctl"),
        (SET_NONBLOCKING, "ioctl"),
        (LOCK, "flock"),
        (STATUS, "statx"),
    ] {
        e.set_behavior(FULL);
        let pending = process.client().message("payment", 7, 20_000, "pending");
        wait_for("the rejection", || e.received(&pending) == 1);
        // Leaves time for the response to be recorded.
        std::thread::sleep(Duration::from_millis(200));
        process.kill();
        e.set_behavior(OK);
        faults.fail_next(call, 2, ANY_SOCKET);
        process.spawn_with_faults(&faults);
        wait_for("the message", || {
            let status = process.child.as_mut().unwrap().try_wait().unwrap();
            assert_eq!(status, None, "{name}: the process has exited");
            e.received(&pending) == 2
        });
        assert!(
            faults.have_failed(call),
            "{name}: the fault was not injected"
        );
        assert_eq!(process.platform.notification(&pending), None);
    }
}

/// Issue 50, class of the cause: a lock that could not be taken for a moment counted as taken, and a second process
/// adopted the messages of a running one.
#[test]
fn a_lock_that_cannot_be_taken_for_a_moment_does_not_count_as_taken() {
    let hung = Endpoint::start(Behavior::Hangs);
    let mut process = DispatcherProcess::new(program!(), &[(&hung, 7)]);
    process.config["mgmt"] = process.admin_addr(0).into();
    let faults = Faults::new(&process.dir, 1);
    process.start_with_faults(&faults);
    let id = process.client().message("notice", 7, 20_000, "once");
    wait_for("the request", || hung.received(&id) == 1);
    let mut old = KillOnDrop(process.child.take().unwrap());
    process.config["mgmt"] = process.admin_addr(1).into();
    faults.fail_next(LOCK, 1, ANY_SOCKET);
    process.spawn_with_faults(&faults);
    wait_for("the second process", || {
        connect(&process.admin_addr(1)).is_ok()
    });
    std::thread::sleep(Duration::from_millis(700));
    assert!(faults.have_failed(LOCK), "the fault was not injected");
    assert_eq!(hung.received(&id), 1, "two processes have sent the message");
    old.kill();
    process.kill();
}

/// Issue 50, `lost`: an end that comes too late, because attempts cannot be recorded while the disk fails.
#[test]
fn a_message_ends_in_time_though_the_journal_cannot_be_written() {
    const LIFETIME_MS: u64 = 1_200;
    let e = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 0.1"));
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.config["settings"]["family-info"]["workers"] = json!(8);
    let faults = Faults::new(&process.dir, 1);
    process.start_with_faults(&faults);
    let mut client = process.client();
    let submitted_at = Instant::now();
    let ids: Vec<String> = (0..10)
        .map(|n| {
            let class = if n % 2 == 0 { "payment" } else { "notice" };
            client.message(class, 7, LIFETIME_MS, "x")
        })
        .collect();
    faults.fail_writes(ENOSPC, false);
    wait_for("the notifications", || {
        ids.iter()
            .all(|id| process.platform.notification(id).is_some())
    });
    // The stated limit: 300 ms after the lifetime, and 50 ms on sockets.
    let limit = Duration::from_millis(LIFETIME_MS + 350);
    assert!(
        submitted_at.elapsed() < limit,
        "the last end came after {:?}",
        submitted_at.elapsed()
    );
    faults.restore_state_directory();
}

/// Issue 50, class of the cause: a boot id that could not be read for a moment counted as that of another boot, and a step of
/// the wall clock ended a message at once.
#[test]
fn a_boot_id_that_cannot_be_read_for_a_moment_is_not_that_of_another_boot() {
    let e = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 1"));
    let (mut process, faults) = start(&e);
    let pending = process.client().message("payment", 7, 20_000, "pending");
    wait_for("the rejection", || process.attempt_never_ran(&pending));
    process.kill();
    e.set_behavior(OK);
    faults.step_wall_clock(3_600);
    faults.fail_next(OPEN_BOOT_ID, 1, ANY_SOCKET);
    process.start_with_faults(&faults);
    assert!(
        faults.have_failed(OPEN_BOOT_ID),
        "the fault was not injected"
    );
    wait_for("the end of the message", || {
        e.received(&pending) == 2 || process.platform.notification(&pending).is_some()
    });
    assert_eq!(process.platform.notification(&pending), None);
}

/// Issue 50, class of the cause: a directory that could not be listed for a moment counted as empty, and the journal grew over
/// the disk quota.
#[test]
fn a_directory_that_cannot_be_listed_for_a_moment_does_not_count_as_empty() {
    const LIMIT: u64 = 400_000;
    let hung = Endpoint::start(Behavior::Hangs);
    let mut process = DispatcherProcess::new(program!(), &[(&hung, 7)]);
    process.config["limits"]["disk_mb"] = json!(LIMIT as f64 / 1e6);
    let faults = Faults::new(&process.dir, 1);
    process.start_with_faults(&faults);
    // Another process's journal takes most of the quota.
    std::fs::write(process.dir.join("state/mails.7.old"), vec![0; 330_000]).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    // The directory is listed when a message is written.
    let mut client = process.client();
    client.send(&put(&new_id(), "c=payment,d=20000,k=y,dest=7", "small"));
    faults.fail_next(LIST_DIRECTORY, u64::MAX, ANY_SOCKET);
    let body = "x".repeat(30_000);
    for _ in 0..12 {
        let reply = client.send(&put(&new_id(), "c=payment,d=20000,k=x,dest=7", &body));
        let files = std::fs::read_dir(process.dir.join("state")).unwrap();
        let used: u64 = files
            .flatten()
            .map(|file| file.metadata().unwrap().len())
            .sum();
        assert!(used <= LIMIT, "{used} bytes of {LIMIT} after {reply}");
        std::thread::sleep(Duration::from_millis(30));
    }
}

/// Issue 50, `lost`: the error for a request that did not come whole was dropped, because sending it failed for a moment.
/// Found by the fleet soak, seed 60.
#[test]
fn a_partial_request_gets_its_error_though_sending_it_fails_for_a_moment() {
    let e = Endpoint::start(OK);
    let (process, faults) = start(&e);
    let mut client = process.client();
    client.writer.write_all(b"*5\r\n$7\r\nMSG.PUT\r\n").unwrap();
    std::thread::sleep(Duration::from_millis(500));
    faults.fail_next(SEND, 3, ACCEPTED_SOCKETS);
    assert!(client.line().starts_with("-ERR"), "no error reply");
    assert!(faults.have_failed(SEND), "the fault was not injected");
}

/// Issue 50, class of the cause: a start ended because no journal could be locked for a moment.
#[test]
fn a_start_outlasts_locks_that_cannot_be_taken_for_a_moment() {
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    let faults = Faults::new(&process.dir, 1);
    // One more than there are journals in a state directory.
    faults.fail_next(LOCK, 9, ANY_SOCKET);
    process.spawn_with_faults(&faults);
    wait_for("the listener", || {
        let status = process.child.as_mut().unwrap().try_wait().unwrap();
        assert_eq!(status, None, "the process has exited");
        connect(&process.listen).is_ok()
    });
    assert!(faults.have_failed(LOCK), "the fault was not injected");
    assert!(process.dir.join("state/mails").exists());
}

/// Issue 50, class of the cause: a process that shut down while its journal could not be written ended before the record of a
/// delivery was written, and the next process reported the message as failed.
#[test]
fn a_shutdown_waits_for_records_that_cannot_be_written_for_a_moment() {
    let (mut process, listener) = with_listener();
    let faults = Faults::new(&process.dir, 1);
    process.start_with_faults(&faults);
    let id = process.client().message("payment", 7, 20_000, "once");
    let mut endpoint = accept(&listener);
    request(&mut endpoint).unwrap();
    faults.fail_writes(ENOSPC, false);
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    endpoint.get_mut().write_all(response).unwrap();
    wait_for("the failed write", || faults.get(words::WRITE_FAULTS) > 0);
    process.signal(Signal::TERM);
    // After this time the process starts no attempts any more.
    std::thread::sleep(Duration::from_millis(3_100));
    faults.restore_state_directory();
    process.child.take().unwrap().wait().unwrap();
    process.start_with_faults(&faults);
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(process.platform.notification(&id), None);
}

/// Issue 50, class of the cause: a call that was interrupted again and again kept the event loop from all other connections.
#[test]
fn clients_are_served_though_other_calls_are_interrupted_again_and_again() {
    let e = Endpoint::start(OK);
    let (process, faults) = start(&e);
    faults.fail_next(RECEIVE, u64::MAX, CREATED_SOCKETS);
    faults.set(RECEIVE.errno_word(), EINTR);
    let mut client = process.client();
    for _ in 0..10 {
        // The first messages reach the endpoint, whose responses cannot be received.
        assert_eq!(reply_to_put(&mut client, &new_id()), "+OK");
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(!e.requests().is_empty(), "no request was sent");
}

/// Issue 50, a fault of its first fix: a response without a length counted as complete though its connection was reset, and
/// a message that may have run was sent again.
#[test]
fn a_response_that_ends_with_a_reset_is_not_complete() {
    let (mut process, listener) = with_listener();
    process.start();
    let id = process.client().message("payment", 7, 8_000, "once");
    let mut endpoint = accept(&listener);
    request(&mut endpoint).unwrap();
    let head = b"HTTP/1.1 429 Full\r\nRetry-After: 0.1\r\n\r\n";
    endpoint.get_mut().write_all(head).unwrap();
    socket2::SockRef::from(endpoint.get_ref())
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(endpoint);
    wait_for("the notification or another call", || {
        process.platform.notification(&id).is_some() || listener.accept().is_ok()
    });
    let notification = process.platform.notification(&id);
    assert_eq!(
        notification.map(|n| n["result"].clone()),
        Some(json!("dead"))
    );
}
