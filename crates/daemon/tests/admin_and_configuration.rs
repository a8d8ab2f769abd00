//! Operation of a dispatcher: configuration errors, logging and admin requests.

use bellsill_test_support::admin::admin_request;
use bellsill_test_support::client::{Client, new_id, put};
use bellsill_test_support::dispatcher_process::DispatcherProcess;
use bellsill_test_support::endpoint::{Behavior, Endpoint, OK};
use bellsill_test_support::program;
use bellsill_test_support::wait::wait_for;
use serde_json::json;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};

/// JSON pointer of a field, an invalid value, and the field name that the error must contain.
const INVALID_FIELDS: [(&str, &str, &str); 15] = [
    ("/listen", r#""nowhere""#, "listen"),
    ("/limits/sockets", r#""many""#, "limits.sockets"),
    (
        "/settings/services/0/repeat",
        r#""sometimes""#,
        "settings.services[0].repeat",
    ),
    (
        "/settings/family-info/workers",
        "0",
        "settings.family-info.workers",
    ),
    (
        "/settings/guarantees/ramp-time-ns",
        "null",
        "settings.guarantees.ramp-time-ns",
    ),
    ("/settings/balancers", "0", "settings.balancers"),
    ("/settings/balancers", "4294967296", "settings.balancers"),
    (
        "/settings/guarantees/cold-share",
        "0",
        "settings.guarantees.cold-share",
    ),
    (
        "/settings/guarantees/tip-multiple",
        "-2.0",
        "settings.guarantees.tip-multiple",
    ),
    (
        "/settings/services/0/worth",
        "-1",
        "settings.services[0].worth",
    ),
    (
        "/settings/penalties",
        r#"{"probe": 0.01, "handshake": -0.04}"#,
        "settings.penalties.handshake",
    ),
    (
        "/settings/penalties",
        r#"{"probe": "dear"}"#,
        "settings.penalties.probe",
    ),
    (
        "/settings/family-info/per-call",
        "[0]",
        "settings.family-info.per-call",
    ),
    (
        "/settings/family-info/per-call",
        "[1, 20]",
        "settings.family-info.per-call",
    ),
    (
        "/settings/discovery",
        r#""sometimes""#,
        "settings.discovery",
    ),
];

#[test]
fn an_invalid_configuration_exits_with_status_2_and_names_the_field() {
    for (pointer, value, field) in INVALID_FIELDS {
        let mut process = DispatcherProcess::new(program!(), &[]);
        process.config["settings"]["penalties"] = json!({"probe": 0.01});
        process.config["settings"]["discovery"] = json!("pushed");
        process.config["settings"]["family-info"]["per-call"] = json!([1]);
        assert!(process.command("check").output().unwrap().status.success());
        *process.config.pointer_mut(pointer).unwrap() = serde_json::from_str(value).unwrap();
        for command in ["serve", "check"] {
            let output = process
                .command(command)
                .stdout(Stdio::piped())
                .output()
                .unwrap();
            let text = String::from_utf8(output.stderr).unwrap();
            assert!(
                output.status.code() == Some(2) && text.contains(&format!("field {field}:")),
                "{text}"
            );
        }
    }
    let output = Command::new(env!("CARGO_BIN_EXE_bellsill"))
        .arg("no-such-command")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let output = Command::new(env!("CARGO_BIN_EXE_bellsill"))
        .arg("version")
        .output()
        .unwrap();
    assert!(
        output.status.success()
            && String::from_utf8(output.stdout)
                .unwrap()
                .starts_with("bellsill ")
    );
}

#[test]
fn a_full_log_pipe_does_not_block_the_dispatcher() {
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    let mut command = process.command("serve");
    command.stderr(Stdio::piped());
    process.start_command(command);
    // Each invalid line is logged; together they exceed the capacity of the pipe by far.
    let invalid = "{\"not\": json\n".repeat(5000);
    wait_for("a watch", || {
        !process.platform.watches.lock().unwrap().is_empty()
    });
    let chunk = format!("{:x}\r\n{invalid}\r\n", invalid.len());
    process.platform.watches.lock().unwrap()[0]
        .write_all(chunk.as_bytes())
        .unwrap();
    process.platform.publish(&format!(
        "{}\n",
        json!({"version": 2, "servers": [e.entry("more", 9, "up")]})
    ));
    process
        .client()
        .message("notice", 9, 19_000, "after the invalid lines");
    wait_for("the message", || e.requests().len() == 1);
}

/// The metrics expected at the end of the test below.
const EXPECTED_METRICS: [(&str, u64); 8] = [
    ("downstream_requests.notice.completed", 5),
    ("downstream_requests.notice.rejected", 1),
    ("downstream_requests.notice.failed", 0),
    ("downstream_requests.payment.completed", 0),
    ("downstream_requests.payment.failed", 1),
    ("pending", 1),
    ("members", 3),
    ("members_unavailable", 0),
];

#[test]
fn admin_requests_get_replies_beside_stalled_connections_and_metrics_match_the_messages_sent() {
    let (healthy, failing, full) = (
        Endpoint::start(OK),
        Endpoint::start(Behavior::Responds("500 No")),
        Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 1000")),
    );
    let mut process =
        DispatcherProcess::new(program!(), &[(&healthy, 7), (&failing, 8), (&full, 9)]);
    process.config["mgmt"] = process.admin_addr(0).into();
    process.start();
    // Admin connections that send nothing or an incomplete line must not delay others.
    let addr = process.admin_addr(0);
    let mut idle: Vec<TcpStream> = (0..30)
        .map(|_| TcpStream::connect(&addr).unwrap())
        .collect();
    idle.iter_mut()
        .skip(15)
        .for_each(|c| drop(c.write_all(b"show-st")));
    for (line, expected) in [
        ("ready", "SUCCESS"),
        ("reboot", "FAILURE unknown call"),
        ("ready now", "FAILURE `ready` takes no word"),
        ("", "FAILURE an empty call"),
        ("disable-server", "FAILURE `disable-server` needs"),
        ("disable-server e9", "FAILURE unknown endpoint"),
        ("enable-server e9", "FAILURE unknown endpoint"),
        ("enable-server e0", "SUCCESS"),
        (&"x".repeat(600), "FAILURE a call is 512 bytes at most"),
    ] {
        let reply = process.admin(line);
        assert!(reply[0].starts_with(expected), "{line}: {reply:?}");
    }
    let mut client = process.client();
    for _ in 0..5 {
        client.message("notice", 7, 8000, "delivered");
    }
    let failed = client.message("payment", 8, 8000, "failed");
    let rejected = client.message("notice", 9, 700, "rejected");
    client.message("notice", 9, 19_000, "pending");
    wait_for("the deliveries and notifications", || {
        healthy.requests().len() == 5
            && [&failed, &rejected]
                .iter()
                .all(|id| process.platform.notification(id).is_some())
    });
    for (name, value) in EXPECTED_METRICS {
        wait_for(name, || process.metric(name) == value);
    }
    let calls = healthy.requests().len() + failing.requests().len() + full.requests().len();
    assert_eq!(process.metric("upstream_requests"), calls as u64);
    assert!(process.admin("disable-server e0")[0].starts_with("SUCCESS"));
    assert_eq!(
        (
            process.metric("members"),
            process.metric("members_unavailable")
        ),
        (3, 1)
    );
    drop(idle);
}

#[test]
fn a_drained_dispatcher_is_not_ready_keeps_pending_messages_and_accepts_clients_again() {
    let (healthy, hung) = (Endpoint::start(OK), Endpoint::start(Behavior::Hangs));
    let mut process = DispatcherProcess::new(program!(), &[(&healthy, 7), (&hung, 8)]);
    process.config["mgmt"] = process.admin_addr(0).into();
    process.start();
    let (mut idle, mut partial, mut busy) = (process.client(), process.client(), process.client());
    idle.message("notice", 7, 8000, "before");
    let pending = busy.message("notice", 8, 19_000, "pending");
    wait_for("the hanging request", || !hung.requests().is_empty());
    let first = put(&new_id(), "c=notice,d=8000,k=a,dest=7", "half");
    let second = new_id();
    partial.writer.write_all(&first[..30]).unwrap();
    // Sent before the drain and perhaps not read yet when it starts: it must still get a reply.
    busy.writer
        .write_all(&put(&second, "c=notice,d=8000,k=b,dest=7", "crossing"))
        .unwrap();
    assert!(process.admin("drain")[0].starts_with("SUCCESS"));
    assert!(
        process.admin("drain")[0].starts_with("SUCCESS"),
        "drain is idempotent"
    );
    assert_eq!((busy.line().as_str(), busy.line().as_str()), ("+OK", ""));
    assert_eq!(idle.line(), "", "closed");
    assert_eq!(partial.send(&first[30..]), "+OK");
    assert_eq!(partial.line(), "", "closed after the reply");
    assert!(
        process
            .client()
            .send(b"PING\r\n")
            .starts_with("-ERR draining")
    );
    assert!(process.admin("ready")[0].starts_with("FAILURE"));
    // A client that connects during the drain is still served, and pending messages are delivered.
    let mut late = process.client();
    late.message("notice", 7, 8000, "late");
    assert_eq!(late.line(), "");
    hung.set_behavior(OK);
    wait_for("the pending message", || {
        hung.requests()
            .iter()
            .filter(|c| c.header("X-Trace-Id") == pending)
            .count()
            == 2
    });
    wait_for("all messages", || {
        process.metric("downstream_requests.notice.completed") == 5
    });
    assert!(
        process
            .child
            .as_mut()
            .unwrap()
            .try_wait()
            .unwrap()
            .is_none(),
        "the process keeps running"
    );
    assert!(process.admin("resume")[0].starts_with("SUCCESS"));
    let mut after = process.client();
    assert_eq!(after.send(b"PING\r\n"), "+PONG");
    after.message("notice", 7, 8000, "after");
    assert_eq!(after.send(b"PING\r\n"), "+PONG", "stays open");
    assert!(process.platform.notifications().is_empty());
}

/// Sends this many messages and waits until the two endpoints have received them.
fn send_messages(client: &mut Client, endpoints: [&Endpoint; 2], count: usize) {
    let calls = || endpoints.iter().map(|e| e.requests().len()).sum::<usize>();
    let before = calls();
    (0..count).for_each(|_| drop(client.message("notice", 7, 20_000, "x")));
    wait_for("the messages", || calls() == before + count);
}

#[test]
fn a_disabled_endpoint_stays_disabled_across_list_updates_restarts_and_upgrades() {
    let (a, b) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut process = DispatcherProcess::new(program!(), &[(&a, 7), (&b, 7)]);
    process.config["mgmt"] = process.admin_addr(0).into();
    // The list left by a process that was stopped while it wrote; the invalid line is skipped.
    std::fs::write(process.dir.join("state/held-out"), "two words\ne0\n\n").unwrap();
    process.start();
    let mut client = process.client();
    let calls = || (a.requests().len(), b.requests().len());
    let messages = |client: &mut Client, count| send_messages(client, [&a, &b], count);
    messages(&mut client, 10);
    assert_eq!(calls(), (0, 10), "disabled by the existing file");
    assert!(process.admin("enable-server e0")[0].starts_with("SUCCESS"));
    for _ in 0..2 {
        assert!(process.admin("disable-server e1")[0].starts_with("SUCCESS"));
    }
    // A new endpoint list from discovery does not enable the endpoint again.
    let up = [
        a.entry("e0", 7, "up"),
        b.entry("e1", 7, "up"),
        a.entry("e2", 8, "up"),
    ];
    let up = json!({"version": 2, "full": true, "servers": up});
    process.platform.publish(&format!("{up}\n"));
    wait_for("the list", || process.metric("members") == 3);
    messages(&mut client, 10);
    assert_eq!(calls(), (10, 10));
    // After a restart, messages whose completion is not journaled yet would be sent again.
    wait_for("the completions", || {
        process.metric("downstream_requests.notice.completed") == 20
    });
    process.kill();
    process.start();
    client = process.client();
    messages(&mut client, 10);
    assert_eq!(calls(), (20, 10), "after a restart");
    // During an upgrade a new process runs beside the old one; a request to the old one applies to both.
    let mut old = process.child.take().unwrap();
    process.config["mgmt"] = process.admin_addr(1).into();
    process.start_second_process();
    assert!(admin_request(&process.admin_addr(0), "enable-server e1")[0].starts_with("SUCCESS"));
    wait_for("the endpoint enabled in the new process", || {
        process.metric("members_unavailable") == 0
    });
    assert!(admin_request(&process.admin_addr(0), "disable-server e0")[0].starts_with("SUCCESS"));
    let disabled = || std::fs::read_to_string(process.dir.join("state/held-out")).unwrap();
    assert_eq!(disabled(), "e0\n");
    wait_for("the endpoint disabled in the new process", || {
        process.metric("members_unavailable") == 1
    });
    old.kill().unwrap();
    old.wait().unwrap();
    client = process.client();
    messages(&mut client, 10);
    assert_eq!(calls(), (20, 20), "after an upgrade");
    assert!(
        process.admin("enable-server e0")[0].starts_with("SUCCESS"),
        "one enable request undoes two disable requests"
    );
    assert_eq!(process.metric("members_unavailable"), 0);
}

#[test]
fn an_admin_address_that_cannot_be_bound_is_reported() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut process = DispatcherProcess::new(program!(), &[]);
    process.config["mgmt"] = taken.local_addr().unwrap().to_string().into();
    let output = process.command("serve").output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(
        !output.status.success()
            && text.contains(&format!("mgmt: {}", taken.local_addr().unwrap())),
        "{text}"
    );
}

#[test]
fn diagnostics_count_why_messages_are_refused_and_connections_closed() {
    let e = Endpoint::start(OK);
    let mut process = DispatcherProcess::new(program!(), &[(&e, 7)]);
    process.config["mgmt"] = process.admin_addr(0).into();
    process.start();
    let mut client = process.client();
    let reply = client.send(&put(&new_id(), "c=nothing,d=8000,k=a,dest=7", "x"));
    assert!(reply.starts_with("-ERR c:"), "{reply}");
    assert_eq!(process.diagnostic("refusals.unknown_class"), 1);
    let closed_before = process.diagnostic("client_closes.peer_closed");
    drop(client);
    wait_for("the close", || {
        let closed = process.diagnostic("client_closes.peer_closed");
        let overdue = process.diagnostic("client_closes.overdue");
        assert!(
            closed <= closed_before + 1 && overdue == 0,
            "{closed_before} closed before, {closed} now, {overdue} overdue"
        );
        closed == closed_before + 1
    });
    assert_eq!(process.diagnostic("client_closes.call_failed"), 0);
}
