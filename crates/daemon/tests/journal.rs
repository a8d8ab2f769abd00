//! Recovery from the journal after a kill, by the next process or by one that already runs, and the journal's disk
//! quota.

use bellsill_daemon::journal::Recovered;
use bellsill_test_support::client::{new_id, put};
use bellsill_test_support::dispatcher_process::DispatcherProcess;
use bellsill_test_support::endpoint::{Behavior, Endpoint, OK};
use bellsill_test_support::program;
use bellsill_test_support::wait::wait_for;
use serde_json::json;
use std::sync::atomic::Ordering;

fn calls_with_body(endpoint: &Endpoint, body: &str) -> usize {
    let calls = endpoint.requests();
    calls.iter().filter(|call| call.body == body).count()
}

/// Sends another message and waits until it has reached the endpoint.
fn send_later_message(process: &DispatcherProcess, endpoint: &Endpoint) {
    let last = process.client().message("notice", 7, 8000, "last");
    wait_for("a later message", || {
        endpoint
            .requests()
            .iter()
            .any(|c| c.header("X-Trace-Id") == last)
    });
}

#[test]
fn after_sigkill_each_message_is_retried_as_its_class_allows() {
    let (hanging, full) = (
        Endpoint::start(Behavior::Hangs),
        Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 1000")),
    );
    let mut process = DispatcherProcess::new(program!(), &[(&hanging, 7), (&full, 8)]);
    process.config["settings"]["services"][0]["window-ns"] = json!(60_000_000_000u64);
    process.start();
    let mut client = process.client();
    let (idempotent, at_most_once) = (
        client.message("notice", 7, 19_000, "t"),
        client.message("payment", 7, 19_000, "o"),
    );
    wait_for("both calls", || hanging.requests().len() == 2);
    let rejected = client.message("payment", 8, 19_000, "w");
    wait_for("a rejection", || process.attempt_never_ran(&rejected));
    process.kill();
    hanging.set_behavior(OK);
    full.set_behavior(OK);
    process.start();
    wait_for("the second attempt of the idempotent message", || {
        calls_with_body(&hanging, "t") == 2
    });
    wait_for("the second attempt of the message that never ran", || {
        calls_with_body(&full, "w") == 2
    });
    wait_for("the end of the other message", || {
        process.platform.notification(&at_most_once).is_some()
    });
    assert_eq!(
        process.platform.notification(&at_most_once).unwrap()["result"],
        "dead"
    );
    assert_eq!(calls_with_body(&hanging, "o"), 1, "it may have run");
    wait_for("an empty journal", || {
        process.read_journal() == Recovered::default()
    });
    assert_eq!(
        process.platform.notifications().len(),
        1,
        "{idempotent} and {rejected} are delivered"
    );
    // Delivered messages have ended: the next process makes no attempts or notifications for them.
    process.kill();
    process.start();
    send_later_message(&process, &hanging);
    assert_eq!(
        (
            hanging.requests().len(),
            full.requests().len(),
            process.platform.notifications().len()
        ),
        (4, 2, 1)
    );
}

#[test]
fn a_notification_is_pending_until_the_platform_confirms_it() {
    let failing = Endpoint::start(Behavior::Responds("500 Oops"));
    let full = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 1000"));
    let mut process = DispatcherProcess::new(program!(), &[(&failing, 7), (&full, 99)]);
    process
        .platform
        .drop_notifications
        .store(true, Ordering::SeqCst);
    process.start();
    let mut client = process.client();
    let may_have_run = client.message("payment", 7, 8000, "may have run");
    wait_for("the attempt", || failing.requests().len() == 1);
    let unserved = client.message("notice", 99, 100, "nowhere to go");
    process.kill();
    process.start();
    assert_eq!(process.platform.notifications().len(), 0);
    process
        .platform
        .drop_notifications
        .store(false, Ordering::SeqCst);
    wait_for("both notifications", || {
        process.platform.notifications().len() >= 2
    });
    assert_eq!(
        process.platform.notification(&may_have_run).unwrap()["result"],
        "dead"
    );
    let rejected = process.platform.notification(&unserved).unwrap();
    assert!(rejected["result"] == "bounced" && rejected["wait_ms"].is_u64());
    assert_eq!(failing.requests().len(), 1);
}

#[test]
fn a_second_process_in_a_state_directory_in_use_starts_and_adopts_its_messages() {
    let hanging = Endpoint::start(Behavior::Hangs);
    let mut process = DispatcherProcess::new(program!(), &[(&hanging, 7)]);
    process.config["settings"]["services"][0]["window-ns"] = json!(60_000_000_000u64);
    process.start();
    let mut client = process.client();
    let (idempotent, at_most_once) = (
        client.message("notice", 7, 19_000, "t"),
        client.message("payment", 7, 19_000, "o"),
    );
    wait_for("both calls", || hanging.requests().len() == 2);
    // Starts a second process with the same directory and client address while the first one still runs, as an upgrade
    // does.
    let mut first_process = process.child.take().unwrap();
    process.start();
    let state = process.dir.join("state");
    wait_for("a second journal", || state.join("mails.1").exists());
    assert!(
        first_process.try_wait().unwrap().is_none()
            && process
                .child
                .as_mut()
                .unwrap()
                .try_wait()
                .unwrap()
                .is_none()
    );
    hanging.set_behavior(OK);
    first_process.kill().unwrap();
    first_process.wait().unwrap();
    wait_for("the adoption of the old journal", || {
        !state.join("mails").exists()
    });
    wait_for("the second attempt of the idempotent message", || {
        calls_with_body(&hanging, "t") == 2
    });
    wait_for("the end of the other message", || {
        process.platform.notification(&at_most_once).is_some()
    });
    assert_eq!(
        process.platform.notification(&at_most_once).unwrap()["result"],
        "dead"
    );
    assert_eq!(calls_with_body(&hanging, "o"), 1, "it may have run");
    assert_eq!(
        process.platform.notifications().len(),
        1,
        "{idempotent} is delivered"
    );
    // The next process must not repeat what was adopted. If this process were killed before it had read the platform's
    // response, the notification would stay pending and the next process would repeat it; that is allowed, but not
    // tested here, so wait until the journal is empty.
    wait_for("an empty journal", || {
        process.read_journal_in("mails.1") == Recovered::default()
    });
    process.kill();
    process.start();
    send_later_message(&process, &hanging);
    assert_eq!(
        (
            hanging.requests().len(),
            process.platform.notifications().len()
        ),
        (4, 1)
    );
}

#[test]
fn the_disk_quota_is_kept_and_the_reply_is_busy() {
    let rejecting = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 1"));
    let mut process = DispatcherProcess::new(program!(), &[(&rejecting, 7)]);
    process.config["limits"]["disk_mb"] = json!(0.4);
    process.start();
    let mut client = process.client();
    let body = "x".repeat(30_000);
    let disk_usage = || {
        let files = std::fs::read_dir(process.dir.join("state"))
            .unwrap()
            .flatten();
        files
            .map(|f| f.metadata().map_or(0, |m| m.len().div_ceil(512) * 512))
            .sum::<u64>()
    };
    let mut replies = Vec::new();
    for _ in 0..40 {
        let id = new_id();
        replies.push(client.send(&put(&id, "c=payment,d=20000,k=x,dest=7", &body)));
        assert!(disk_usage() <= 400_000);
    }
    assert_eq!(
        (replies[0].as_str(), replies[39].as_str()),
        ("+OK", "-BUSY")
    );
    // Once messages have ended, the capacity of their records is available again, however much was written before.
    rejecting.set_behavior(OK);
    wait_for("capacity for further messages", || {
        let reply = client.send(&put(&new_id(), "c=notice,d=20000,k=x,dest=7", &body));
        assert!(disk_usage() <= 400_000);
        rejecting.requests().len() > 40 && reply == "+OK"
    });
}
