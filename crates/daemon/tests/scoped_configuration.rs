//! Tests of a dispatcher with a scoped configuration, which it gets from a stand-in for a control process.

use bellsill_test_support::client::{connect, new_id, put};
use bellsill_test_support::control_stand_in::{BUCKETS, Control};
use bellsill_test_support::endpoint::{Behavior, Endpoint, OK};
use bellsill_test_support::faults::{EIO, Faults, words};
use bellsill_test_support::program;
use bellsill_test_support::scoped_dispatcher::ScopedDispatcher;
use bellsill_test_support::wait::wait_for;

fn count_calls(endpoint: &Endpoint, body: &str) -> usize {
    endpoint
        .requests()
        .iter()
        .filter(|call| call.body == body)
        .count()
}

fn wait_for_delivery(endpoint: &Endpoint, body: &str) {
    wait_for(&format!("the message {body:?}"), || {
        count_calls(endpoint, body) > 0
    });
}

/// Submits messages until one of them reaches the endpoint, ignoring the responses to the earlier ones.
fn submit_until_delivered(
    dispatcher: &ScopedDispatcher,
    endpoint: &Endpoint,
    destination: u64,
    body: &str,
) {
    wait_for(&format!("the message {body:?}"), || {
        let fields = format!("c=payment,d=8000,k=,dest={destination}");
        dispatcher
            .process
            .client()
            .send(&put(&new_id(), &fields, body));
        // The limit on pending messages is low.
        std::thread::sleep(std::time::Duration::from_millis(50));
        count_calls(endpoint, body) > 0
    });
}

#[test]
fn entries_of_its_buckets_are_cached_and_changes_are_followed() {
    let (first, second, control) = (Endpoint::start(OK), Endpoint::start(OK), Control::start());
    control.write("e0", &first.addr, "north", 7, true);
    let mut dispatcher = ScopedDispatcher::new(program!(), &[&control.addr], 8);
    dispatcher.start();
    wait_for("complete buckets", || {
        dispatcher.scope("complete_buckets") == u64::from(BUCKETS)
    });
    let mut client = dispatcher.process.client();
    client.message("notice", 7, 8000, "cached");
    wait_for_delivery(&first, "cached");
    assert!(
        control.lookup_queries().is_empty(),
        "the entry is cached, no lookup is needed"
    );
    control.write("e0", &first.addr, "north", 7, false);
    control.write("e1", &second.addr, "north", 7, true);
    submit_until_delivered(&dispatcher, &second, 7, "after the change");
    assert_eq!(control.watch_queries(), ["follow=1&since=0&dispatcher=d1"]);
}

#[test]
fn a_message_for_an_uncached_destination_is_accepted_and_delivered_after_a_lookup() {
    let (endpoint, control) = (Endpoint::start(OK), Control::start());
    control.write("e0", &endpoint.addr, "south", 47, true);
    control.fail_lookups(true);
    let mut dispatcher = ScopedDispatcher::new(program!(), &[&control.addr], 8);
    dispatcher.start();
    let mut client = dispatcher.process.client();
    let mut accepted = Vec::new();
    for body in ["first", "second"] {
        client.message("notice", 47, 20_000, body);
        accepted.push(body);
    }
    wait_for("failed lookups", || control.lookup_queries().len() > 1);
    assert!(endpoint.requests().is_empty());
    control.fail_lookups(false);
    accepted
        .iter()
        .for_each(|body| wait_for_delivery(&endpoint, body));
    // After the lookup, the control process sends changes of the destination.
    let lookups = control.lookup_queries().len();
    let other = Endpoint::start(OK);
    control.write("e0", &other.addr, "south", 47, true);
    submit_until_delivered(&dispatcher, &other, 47, "moved");
    assert_eq!(
        control.lookup_queries().len(),
        lookups,
        "it is looked up only once"
    );
    assert!(
        control
            .lookup_queries()
            .iter()
            .all(|query| query == "dispatcher=d1&cells=47")
    );
}

#[test]
fn messages_that_wait_for_a_destination_whose_bucket_is_lost_are_delivered() {
    let (endpoint, control) = (
        Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 1")),
        Control::start(),
    );
    control.write("e0", &endpoint.addr, "north", 7, true);
    let mut dispatcher = ScopedDispatcher::new(program!(), &[&control.addr], 8);
    dispatcher.start();
    wait_for("complete buckets", || {
        dispatcher.scope("complete_buckets") == u64::from(BUCKETS)
    });
    dispatcher
        .process
        .client()
        .message("notice", 7, 20_000, "waits");
    wait_for("a first attempt", || !endpoint.requests().is_empty());
    control.reassign_buckets();
    wait_for("the buckets to be lost", || {
        dispatcher.scope("complete_buckets") == 0
    });
    endpoint.set_behavior(OK);
    wait_for("the message to be delivered", || {
        dispatcher
            .process
            .metric("downstream_requests.notice.completed")
            == 1
    });
    assert_eq!(control.lookup_queries(), ["dispatcher=d1&cells=7"]);
    assert_eq!(
        (dispatcher.scope("destinations"), dispatcher.scope("cached")),
        (1, 1)
    );
}

#[test]
fn a_message_for_a_missing_destination_ends_at_its_deadline_and_the_next_one_is_rejected() {
    let control = Control::start();
    let mut dispatcher = ScopedDispatcher::new(program!(), &[&control.addr], 8);
    dispatcher.start();
    let mut client = dispatcher.process.client();
    let id = client.message("payment", 47, 1000, "no endpoint");
    wait_for("the notification of the expired message", || {
        dispatcher.process.platform.notification(&id).is_some()
    });
    assert!(!control.lookup_queries().is_empty());
    let reply = client.send(&put(&new_id(), "c=payment,d=1000,k=,dest=47", "x"));
    assert_eq!(reply, "-ERR dest: unknown destination");
    // A destination that is created later is served.
    let endpoint = Endpoint::start(OK);
    control.write("e0", &endpoint.addr, "south", 47, true);
    submit_until_delivered(&dispatcher, &endpoint, 47, "created later");
}

#[test]
fn with_all_control_processes_down_a_restart_serves_the_saved_configuration() {
    let (held, cached, control) = (Endpoint::start(OK), Endpoint::start(OK), Control::start());
    control.write("e0", &held.addr, "north", 7, true);
    control.write("e1", &cached.addr, "south", 47, true);
    let mut dispatcher = ScopedDispatcher::new(program!(), &[&control.addr], 8);
    dispatcher.start();
    let mut client = dispatcher.process.client();
    client.message("notice", 7, 8000, "before");
    client.message("notice", 47, 8000, "before");
    [&held, &cached]
        .into_iter()
        .for_each(|endpoint| wait_for_delivery(endpoint, "before"));
    drop(client);
    dispatcher.stop();
    // No process listens on port 1.
    let unreachable = ScopedDispatcher::new(program!(), &["127.0.0.1:1"], 8);
    std::fs::copy(&unreachable.installation, &dispatcher.installation).unwrap();
    dispatcher.start();
    let mut client = dispatcher.process.client();
    client.message("notice", 7, 8000, "after");
    client.message("notice", 47, 8000, "after");
    [&held, &cached]
        .into_iter()
        .for_each(|endpoint| wait_for_delivery(endpoint, "after"));
    // A message for an unknown destination is accepted, and expires at its deadline.
    let id = client.message("payment", 48, 1000, "unknown");
    wait_for("the notification of the expired message", || {
        dispatcher.process.platform.notification(&id).is_some()
    });
    // The watch resumes from its version once the control process is reachable.
    drop(client);
    dispatcher.stop();
    let reachable = ScopedDispatcher::new(program!(), &[&control.addr], 8);
    std::fs::copy(&reachable.installation, &dispatcher.installation).unwrap();
    dispatcher.start();
    let query = control.wait_for_watch_query(1);
    assert!(
        query.contains("since=2&log=c0ffee&dispatcher=d1&buckets=0,1,2,3&cells=47"),
        "{query}"
    );
}

/// Issue 50, class of the cause: a scope file that could not be read for a moment counted as none, and without control
/// processes no destination was known.
#[test]
fn a_scope_file_that_cannot_be_read_for_a_moment_is_read_again() {
    let (e, control) = (Endpoint::start(OK), Control::start());
    control.write("e0", &e.addr, "north", 7, true);
    let mut dispatcher = ScopedDispatcher::new(program!(), &[&control.addr], 8);
    dispatcher.start();
    submit_until_delivered(&dispatcher, &e, 7, "before");
    dispatcher.stop();
    // No process listens on port 1.
    let unreachable = ScopedDispatcher::new(program!(), &["127.0.0.1:1"], 8);
    std::fs::copy(&unreachable.installation, &dispatcher.installation).unwrap();
    let faults = Faults::new(&dispatcher.process.dir, 1);
    let mut command = dispatcher.command();
    faults.preload(&mut command, &dispatcher.process.dir.join("state"));
    faults.set(words::OPEN_ERRNO, EIO);
    dispatcher.process.child = Some(command.spawn().unwrap());
    wait_for("failing reads", || faults.get(words::FILE_CALL_FAULTS) >= 3);
    faults.restore_state_directory();
    wait_for("the listener", || {
        connect(&dispatcher.process.listen).is_ok()
    });
    submit_until_delivered(&dispatcher, &e, 7, "after");
    assert_eq!(dispatcher.scope("refused_files"), 0);
}

#[test]
fn a_damaged_scope_file_is_rejected_and_fetched_again() {
    let (endpoint, control) = (Endpoint::start(OK), Control::start());
    control.write("e0", &endpoint.addr, "north", 7, true);
    let mut dispatcher = ScopedDispatcher::new(program!(), &[&control.addr], 8);
    dispatcher.start();
    wait_for("complete buckets", || {
        dispatcher.scope("complete_buckets") == u64::from(BUCKETS)
    });
    dispatcher.stop();
    let file = dispatcher.process.dir.join("state/scope");
    let mut bytes = std::fs::read(&file).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&file, bytes).unwrap();
    dispatcher.start();
    assert_eq!(dispatcher.scope("refused_files"), 1);
    assert_eq!(
        control.wait_for_watch_query(1),
        "follow=1&since=0&dispatcher=d1"
    );
    submit_until_delivered(&dispatcher, &endpoint, 7, "fetched again");
}

#[test]
fn a_broken_watch_resumes_from_its_version_and_a_full_cache_evicts() {
    let control = Control::start();
    let endpoints: Vec<Endpoint> = (0..3).map(|_| Endpoint::start(OK)).collect();
    for (n, endpoint) in endpoints.iter().enumerate() {
        control.write(
            &format!("e{n}"),
            &endpoint.addr,
            "south",
            40 + n as u64,
            true,
        );
    }
    let mut dispatcher = ScopedDispatcher::new(program!(), &[&control.addr], 2);
    dispatcher.start();
    let mut client = dispatcher.process.client();
    for (n, endpoint) in endpoints.iter().enumerate() {
        client.message("notice", 40 + n as u64, 8000, "looked up");
        wait_for_delivery(endpoint, "looked up");
    }
    wait_for("the least recently used destination to be evicted", || {
        control
            .lookup_queries()
            .iter()
            .any(|query| query.contains("cells=42&forget=40"))
    });
    assert_eq!(
        (dispatcher.scope("cached"), dispatcher.scope("evicted")),
        (2, 1)
    );
    control.end_watches();
    assert!(
        control
            .wait_for_watch_query(1)
            .ends_with("buckets=0,1,2,3&cells=41,42")
    );
    // An evicted destination is looked up again when a message needs it.
    client.message("notice", 40, 8000, "after eviction");
    wait_for_delivery(&endpoints[0], "after eviction");
}

#[test]
fn a_message_that_waits_for_its_destination_is_delivered_after_a_restart() {
    let (endpoint, control) = (Endpoint::start(OK), Control::start());
    control.write("e0", &endpoint.addr, "south", 47, true);
    control.fail_lookups(true);
    let mut dispatcher = ScopedDispatcher::new(program!(), &[&control.addr], 8);
    dispatcher.start();
    dispatcher
        .process
        .client()
        .message("notice", 47, 20_000, "waits");
    wait_for("a lookup", || !control.lookup_queries().is_empty());
    dispatcher.process.kill();
    control.fail_lookups(false);
    dispatcher.start();
    wait_for_delivery(&endpoint, "waits");
}

#[test]
fn a_destination_with_pending_messages_or_recent_use_is_not_evicted() {
    let control = Control::start();
    let full = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 1"));
    let endpoint = Endpoint::start(OK);
    control.write("e40", &full.addr, "south", 40, true);
    for cell in 41..=44 {
        control.write(&format!("e{cell}"), &endpoint.addr, "south", cell, true);
    }
    let mut dispatcher = ScopedDispatcher::new(program!(), &[&control.addr], 3);
    dispatcher.start();
    let mut client = dispatcher.process.client();
    client.message("notice", 40, 20_000, "waits");
    wait_for("a first attempt", || !full.requests().is_empty());
    let completed = || {
        dispatcher
            .process
            .metric("downstream_requests.notice.completed")
    };
    for (n, cell) in [41, 42, 41, 43, 44].into_iter().enumerate() {
        client.message("notice", cell, 8000, "is delivered");
        wait_for("the message to be completed", || {
            completed() == n as u64 + 1
        });
    }
    // 42 was the least recently used one, then 41; the message for 40 is still pending.
    let last = control.lookup_queries().last().unwrap().clone();
    assert!(last.contains("cells=44&forget=41"), "{last}");
    let lookups = control
        .lookup_queries()
        .into_iter()
        .filter(|query| query.contains("cells=40"));
    assert_eq!(lookups.count(), 1, "it was never evicted");
    full.set_behavior(OK);
    wait_for("the pending message to be completed", || completed() == 6);
}

#[test]
fn a_line_that_cannot_be_applied_ends_the_watch_and_changes_nothing() {
    let (endpoint, control) = (Endpoint::start(OK), Control::start());
    control.write("e0", &endpoint.addr, "north", 7, true);
    let mut dispatcher = ScopedDispatcher::new(program!(), &[&control.addr], 8);
    dispatcher.start();
    wait_for("complete buckets", || {
        dispatcher.scope("complete_buckets") == u64::from(BUCKETS)
    });
    control.send_snapshot_line();
    assert!(
        control
            .wait_for_watch_query(1)
            .contains("since=1&log=c0ffee&dispatcher=d1&buckets=0,1,2,3")
    );
    assert_eq!(
        (
            dispatcher.scope("refused_lines"),
            dispatcher.scope("destinations")
        ),
        (1, 1)
    );
    submit_until_delivered(&dispatcher, &endpoint, 7, "after the rejected line");
}

#[test]
fn the_known_list_is_used_where_there_is_no_scope_file() {
    let endpoint = Endpoint::start(OK);
    let mut dispatcher = ScopedDispatcher::new(program!(), &["127.0.0.1:1"], 8);
    dispatcher.process.config["known"]["servers"] = vec![endpoint.entry("e0", 7, "up")].into();
    dispatcher.start();
    dispatcher
        .process
        .client()
        .message("notice", 7, 8000, "from the known list");
    wait_for_delivery(&endpoint, "from the known list");
}

/// Installation files with one error each, and the expected error text.
fn invalid_installations(good: &str) -> [(String, &'static str); 9] {
    [
        (
            good.replace("\"d1\"", "\"d 1\""),
            "field `dispatcher`: expected the name",
        ),
        (
            good.replace("zone = \"north\"", "zone = \"east\""),
            "field `zone`: expected one of the zones",
        ),
        (
            good.replace("[\"127.0.0.1:7400\"]", "[]"),
            "field `control`: expected 1 to 64 addresses",
        ),
        (
            good.replace(
                "\"127.0.0.1:7400\"",
                "\"127.0.0.1:7400\", \"127.0.0.1:7400\"",
            ),
            "field `control`: expected each address once",
        ),
        (
            good.replace("= 8\n", "= 0\n"),
            "field `cache_destinations`: expected a whole number from 1",
        ),
        (
            good.replace("buckets_per_region = 4", "buckets_per_region = 0"),
            "`buckets_per_region`",
        ),
        (
            good.replace("region = \"b\"", "region = \"b 2\""),
            "field `zones`: expected names",
        ),
        (format!("{good}colour = 3\n"), "unknown field `colour`"),
        (
            good.replace("zone = \"north\"\n", ""),
            "missing field `zone`",
        ),
    ]
}

#[test]
fn an_invalid_installation_file_is_rejected_with_the_name_of_the_field() {
    let process = ScopedDispatcher::new(program!(), &["127.0.0.1:7400"], 8);
    let good = std::fs::read_to_string(&process.installation).unwrap();
    let check = |text: &str| {
        std::fs::write(&process.installation, text).unwrap();
        let mut command = process.process.command("check");
        let output = command
            .arg("--installation")
            .arg(&process.installation)
            .output()
            .unwrap();
        (
            output.status.code().unwrap(),
            String::from_utf8(output.stderr).unwrap(),
        )
    };
    assert_eq!(check(&good).0, 0);
    for (text, expected) in invalid_installations(&good) {
        let (status, error) = check(&text);
        assert!(
            status == 2 && error.contains(expected),
            "expected {expected}, got status {status} with {error}"
        );
    }
}
