//! Requests whose client has left, and requests that come again: each message runs once.

use bellsill_test_support::client::{connect, new_id, put};
use bellsill_test_support::dispatcher_process::{DispatcherProcess, KillOnDrop};
use bellsill_test_support::endpoint::{Behavior, Endpoint, OK};
use bellsill_test_support::program;
use bellsill_test_support::wait::wait_for;
use rustix::process::Signal;
use std::io::Write;
use std::time::Duration;

/// A time in which an attempt that must not be made would be.
const SETTLE_TIME: Duration = Duration::from_millis(300);

fn payment(id: &str, body: &str) -> Vec<u8> {
    put(id, "c=payment,d=8000,dest=7", body)
}

/// Whether the process is stopped by a signal.
fn is_suspended(process: &DispatcherProcess) -> bool {
    let id = process.child.as_ref().unwrap().id();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    status.lines().any(|line| line.starts_with("State:\tT"))
}

/// Guards against requests that are accepted though their client had left: the end of its connection was not seen behind
/// the unread ones.
#[test]
fn requests_in_front_of_the_end_of_a_connection_are_not_accepted_however_many_they_are() {
    // More than the dispatcher's buffer holds, and less than the kernel's, which has grown with the traffic before.
    const REQUESTS: usize = 250;
    const BODY_BYTES: usize = 500;
    const EARLIER_COMMANDS: usize = 30;
    const EARLIER_BATCHES: usize = 200;
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    for closes_fully in [true, false] {
        let mut client = process.client();
        let commands = format!("PING {}\r\n", "x".repeat(900)).repeat(EARLIER_COMMANDS);
        for _ in 0..EARLIER_BATCHES {
            client.writer.write_all(commands.as_bytes()).unwrap();
            // Each reply has two lines.
            for _ in 0..2 * EARLIER_COMMANDS {
                client.line();
            }
        }
        let ids: Vec<String> = (0..REQUESTS).map(|_| new_id()).collect();
        let body = "x".repeat(BODY_BYTES);
        let input: Vec<u8> = ids.iter().flat_map(|id| payment(id, &body)).collect();
        // The client submits and leaves while the dispatcher is suspended.
        process.signal(Signal::STOP);
        wait_for("the suspension", || is_suspended(&process));
        client.writer.write_all(&input).unwrap();
        client.writer.shutdown(std::net::Shutdown::Write).unwrap();
        let kept = (!closes_fully).then_some(client);
        process.signal(Signal::CONT);
        let later = process.client().message("payment", 7, 8000, "later");
        wait_for("a later message", || e.received(&later) == 1);
        std::thread::sleep(SETTLE_TIME);
        let received = ids.iter().filter(|id| e.received(id) > 0).count();
        assert_eq!(received, 0, "of {REQUESTS}, closed fully: {closes_fully}");
        drop(kept);
    }
}

/// Guards against requests that get no reply because the end of the client's sending side is known before they are read.
#[test]
fn every_request_in_front_of_the_end_of_the_sending_side_gets_a_reply() {
    // More than the dispatcher's buffer holds.
    const REQUESTS: usize = 1_000;
    const BODY_BYTES: usize = 500;
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    let mut client = process.client();
    let body = "x".repeat(BODY_BYTES);
    let input: Vec<u8> = (0..REQUESTS)
        .flat_map(|_| payment(&new_id(), &body))
        .collect();
    let mut writer = client.writer.try_clone().unwrap();
    let writing = std::thread::spawn(move || {
        writer.write_all(&input).unwrap();
        writer.shutdown(std::net::Shutdown::Write).unwrap();
    });
    for request in 0..REQUESTS {
        let reply = client.line();
        assert!(
            ["+OK", "-BUSY"]
                .iter()
                .any(|known| reply.starts_with(known)),
            "{request}: {reply:?}"
        );
    }
    writing.join().unwrap();
}

/// Guards against a message that runs twice because its client left before the reply and came again.
#[test]
fn a_request_that_comes_again_after_its_client_has_left_runs_once() {
    let e = Endpoint::start(Behavior::Hangs);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    let id = new_id();
    let mut client = process.client();
    client.writer.write_all(&payment(&id, "x")).unwrap();
    wait_for("the attempt", || e.received(&id) == 1);
    drop(client);
    for _ in 0..3 {
        assert_eq!(process.client().send(&payment(&id, "x")), "+OK");
    }
    std::thread::sleep(SETTLE_TIME);
    assert_eq!(e.received(&id), 1);
}

/// An upgrade in which each process has an address of its own, so that the test knows which one gets a request.
struct Upgrade {
    process: DispatcherProcess,
    old_address: String,
    _old: KillOnDrop,
}

impl Upgrade {
    /// Starts the new process beside the old one.
    fn begin(mut process: DispatcherProcess) -> Upgrade {
        let old_address = process.listen.clone();
        let old = KillOnDrop(process.child.take().unwrap());
        process.config["listen"] = process.admin_addr(1).into();
        process.config["mgmt"] = process.admin_addr(2).into();
        process.start_second_process();
        Upgrade {
            process,
            old_address,
            _old: old,
        }
    }

    fn new_address(&self) -> &str {
        self.process.config["listen"].as_str().unwrap()
    }
}

fn submit(address: &str, id: &str) -> String {
    connect(address).unwrap().send(&payment(id, "x"))
}

/// Guards against a message that runs twice because its request came again at the new process of an upgrade while the old
/// one has it.
#[test]
fn a_pending_request_that_comes_again_at_the_new_process_of_an_upgrade_runs_once() {
    let e = Endpoint::start(Behavior::Hangs);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    let id = new_id();
    assert_eq!(submit(&process.listen, &id), "+OK");
    wait_for("the attempt", || e.received(&id) == 1);
    let upgrade = Upgrade::begin(process);
    assert_eq!(submit(upgrade.new_address(), &id), "+OK");
    std::thread::sleep(SETTLE_TIME);
    assert_eq!(e.received(&id), 1);
}

/// Guards against a message that runs twice because its request came again at the other process of an upgrade, in either
/// direction, after it had ended.
#[test]
fn an_ended_request_that_comes_again_at_the_other_process_of_an_upgrade_runs_once() {
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.start();
    let before = new_id();
    assert_eq!(submit(&process.listen, &before), "+OK");
    wait_for("the delivery", || e.received(&before) == 1);
    let upgrade = Upgrade::begin(process);
    let (old, new) = (upgrade.old_address.as_str(), upgrade.new_address());
    assert_eq!(submit(new, &before), "+OK");
    let mut ids = vec![before];
    for (first, second) in [(new, old), (old, new), (new, old), (old, new)] {
        let id = new_id();
        assert_eq!(submit(first, &id), "+OK");
        wait_for("the delivery", || e.received(&id) > 0);
        assert_eq!(submit(second, &id), "+OK");
        ids.push(id);
    }
    std::thread::sleep(SETTLE_TIME);
    let received: Vec<usize> = ids.iter().map(|id| e.received(id)).collect();
    assert_eq!(received, vec![1; ids.len()]);
}
