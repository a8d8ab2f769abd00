//! A dispatcher with a part of the configuration, from a control process that the test itself stands in for.

use bellsill_test_support::client::{fresh, put};
use bellsill_test_support::control_stand_in::{BUCKETS, Control};
use bellsill_test_support::dispatcher_process::DispatcherProcess;
use bellsill_test_support::endpoint::{Behavior, Endpoint, OK};
use bellsill_test_support::program;
use bellsill_test_support::wait::wait_for;
use std::path::PathBuf;
use std::process::Command;

/// A dispatcher `d1` of zone `north`; `south` is of another region.
struct ScopedDispatcher {
    process: DispatcherProcess,
    installation: PathBuf,
}

impl ScopedDispatcher {
    fn new(control: &[&str], cache_destinations: usize) -> ScopedDispatcher {
        let mut process = DispatcherProcess::new(program!(), &[]);
        process.json["mgmt"] = process.mgmt_at(0).into();
        let installation = process.folder.join("installation.toml");
        let addresses: Vec<String> = control.iter().map(|addr| format!("{addr:?}")).collect();
        let text = format!(
            "dispatcher = \"d1\"\nzone = \"north\"\ncontrol = [{}]\nbuckets_per_region = {BUCKETS}\n\
             cache_destinations = {cache_destinations}\n\
             zones = [{{name = \"north\", region = \"a\"}}, {{name = \"south\", region = \"b\"}}]\n",
            addresses.join(", ")
        );
        std::fs::write(&installation, text).unwrap();
        ScopedDispatcher {
            process,
            installation,
        }
    }

    fn command(&self) -> Command {
        let mut command = self.process.command("serve");
        command.arg("--installation").arg(&self.installation);
        command
    }

    fn start(&mut self) {
        let command = self.command();
        self.process.start_by(command);
    }

    /// Ends the process as an operator would, so that it saves what it knows.
    fn stop(&mut self) {
        self.process.signal(rustix::process::Signal::TERM);
        let mut child = self.process.child.take().unwrap();
        assert!(child.wait().unwrap().success());
    }

    /// What the dispatcher's own figures say.
    fn scope(&self, name: &str) -> u64 {
        self.process.metric(&format!("scope.{name}"))
    }
}

fn bodies(endpoint: &Endpoint, body: &str) -> usize {
    endpoint
        .calls()
        .iter()
        .filter(|call| call.body == body)
        .count()
}

fn delivered(endpoint: &Endpoint, body: &str) {
    wait_for(&format!("the message {body:?}"), || {
        bodies(endpoint, body) > 0
    });
}

/// Hands in one message after another until one has come to the endpoint, whatever the ones before are answered.
fn delivered_in_the_end(
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
            .send(&put(&fresh(), &fields, body));
        // The room for messages is small.
        std::thread::sleep(std::time::Duration::from_millis(50));
        bodies(endpoint, body) > 0
    });
}

#[test]
fn entries_of_its_buckets_are_cached_and_changes_are_followed() {
    let (first, second, control) = (Endpoint::start(OK), Endpoint::start(OK), Control::start());
    control.write("e0", &first.addr, "north", 7, true);
    let mut dispatcher = ScopedDispatcher::new(&[&control.addr], 8);
    dispatcher.start();
    wait_for("the buckets", || {
        dispatcher.scope("complete_buckets") == u64::from(BUCKETS)
    });
    let mut client = dispatcher.process.client();
    client.message("notice", 7, 8000, "held");
    delivered(&first, "held");
    assert!(control.lookup_queries().is_empty(), "it was known");
    control.write("e0", &first.addr, "north", 7, false);
    control.write("e1", &second.addr, "north", 7, true);
    delivered_in_the_end(&dispatcher, &second, 7, "after the change");
    assert_eq!(control.watch_queries(), ["follow=1&since=0&dispatcher=d1"]);
}

#[test]
fn a_message_for_another_destination_is_accepted_and_delivered_once_its_entry_is_known() {
    let (endpoint, control) = (Endpoint::start(OK), Control::start());
    control.write("e0", &endpoint.addr, "south", 47, true);
    control.fail_lookups(true);
    let mut dispatcher = ScopedDispatcher::new(&[&control.addr], 8);
    dispatcher.start();
    let mut client = dispatcher.process.client();
    let mut taken = Vec::new();
    for body in ["first", "second"] {
        client.message("notice", 47, 20_000, body);
        taken.push(body);
    }
    wait_for("lookups that fail", || control.lookup_queries().len() > 1);
    assert!(endpoint.calls().is_empty());
    control.fail_lookups(false);
    taken.iter().for_each(|body| delivered(&endpoint, body));
    // From then on its changes are sent.
    let lookups = control.lookup_queries().len();
    let other = Endpoint::start(OK);
    control.write("e0", &other.addr, "south", 47, true);
    delivered_in_the_end(&dispatcher, &other, 47, "moved");
    assert_eq!(
        control.lookup_queries().len(),
        lookups,
        "it is asked for once"
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
    let mut dispatcher = ScopedDispatcher::new(&[&control.addr], 8);
    dispatcher.start();
    wait_for("the buckets", || {
        dispatcher.scope("complete_buckets") == u64::from(BUCKETS)
    });
    dispatcher
        .process
        .client()
        .message("notice", 7, 20_000, "waits");
    wait_for("a first call", || !endpoint.calls().is_empty());
    control.take_buckets_away();
    wait_for("the buckets to be lost", || {
        dispatcher.scope("complete_buckets") == 0
    });
    endpoint.set_behavior(OK);
    wait_for("its delivery", || {
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
    let mut dispatcher = ScopedDispatcher::new(&[&control.addr], 8);
    dispatcher.start();
    let mut client = dispatcher.process.client();
    let id = client.message("payment", 47, 1000, "to nobody");
    wait_for("its end", || {
        dispatcher.process.platform.notification(&id).is_some()
    });
    assert!(!control.lookup_queries().is_empty());
    let answer = client.send(&put(&fresh(), "c=payment,d=1000,k=,dest=47", "x"));
    assert_eq!(answer, "-ERR dest: unknown destination");
    // One that comes to be is served.
    let endpoint = Endpoint::start(OK);
    control.write("e0", &endpoint.addr, "south", 47, true);
    delivered_in_the_end(&dispatcher, &endpoint, 47, "at last");
}

#[test]
fn with_all_control_processes_dead_a_restart_serves_what_was_known() {
    let (held, cached, control) = (Endpoint::start(OK), Endpoint::start(OK), Control::start());
    control.write("e0", &held.addr, "north", 7, true);
    control.write("e1", &cached.addr, "south", 47, true);
    let mut dispatcher = ScopedDispatcher::new(&[&control.addr], 8);
    dispatcher.start();
    let mut client = dispatcher.process.client();
    client.message("notice", 7, 8000, "before");
    client.message("notice", 47, 8000, "before");
    [&held, &cached]
        .into_iter()
        .for_each(|endpoint| delivered(endpoint, "before"));
    drop(client);
    dispatcher.stop();
    // Nobody listens there any more.
    let dead = ScopedDispatcher::new(&["127.0.0.1:1"], 8);
    std::fs::copy(&dead.installation, &dispatcher.installation).unwrap();
    dispatcher.start();
    let mut client = dispatcher.process.client();
    client.message("notice", 7, 8000, "after");
    client.message("notice", 47, 8000, "after");
    [&held, &cached]
        .into_iter()
        .for_each(|endpoint| delivered(endpoint, "after"));
    // One that is not known is taken, and ends by its time.
    let id = client.message("payment", 48, 1000, "unknown");
    wait_for("its end", || {
        dispatcher.process.platform.notification(&id).is_some()
    });
    // It resumes from its version when control is back.
    drop(client);
    dispatcher.stop();
    let alive = ScopedDispatcher::new(&[&control.addr], 8);
    std::fs::copy(&alive.installation, &dispatcher.installation).unwrap();
    dispatcher.start();
    let query = control.next_watch(1);
    assert!(
        query.contains("since=2&log=c0ffee&dispatcher=d1&buckets=0,1,2,3&cells=47"),
        "{query}"
    );
}

#[test]
fn a_damaged_scope_file_is_rejected_and_fetched_again() {
    let (endpoint, control) = (Endpoint::start(OK), Control::start());
    control.write("e0", &endpoint.addr, "north", 7, true);
    let mut dispatcher = ScopedDispatcher::new(&[&control.addr], 8);
    dispatcher.start();
    wait_for("the buckets", || {
        dispatcher.scope("complete_buckets") == u64::from(BUCKETS)
    });
    dispatcher.stop();
    let file = dispatcher.process.folder.join("state/scope");
    let mut bytes = std::fs::read(&file).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&file, bytes).unwrap();
    dispatcher.start();
    assert_eq!(dispatcher.scope("refused_files"), 1);
    assert_eq!(control.next_watch(1), "follow=1&since=0&dispatcher=d1");
    delivered_in_the_end(&dispatcher, &endpoint, 7, "anew");
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
    let mut dispatcher = ScopedDispatcher::new(&[&control.addr], 2);
    dispatcher.start();
    let mut client = dispatcher.process.client();
    for (n, endpoint) in endpoints.iter().enumerate() {
        client.message("notice", 40 + n as u64, 8000, "each");
        delivered(endpoint, "each");
    }
    wait_for("the oldest to be forgotten", || {
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
            .next_watch(1)
            .ends_with("buckets=0,1,2,3&cells=41,42")
    );
    // What gave way is asked for again when it is wanted.
    client.message("notice", 40, 8000, "again");
    delivered(&endpoints[0], "again");
}

#[test]
fn a_message_that_waits_for_its_destination_is_delivered_after_a_restart() {
    let (endpoint, control) = (Endpoint::start(OK), Control::start());
    control.write("e0", &endpoint.addr, "south", 47, true);
    control.fail_lookups(true);
    let mut dispatcher = ScopedDispatcher::new(&[&control.addr], 8);
    dispatcher.start();
    dispatcher
        .process
        .client()
        .message("notice", 47, 20_000, "waits");
    wait_for("a lookup", || !control.lookup_queries().is_empty());
    dispatcher.process.kill();
    control.fail_lookups(false);
    dispatcher.start();
    delivered(&endpoint, "waits");
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
    let mut dispatcher = ScopedDispatcher::new(&[&control.addr], 3);
    dispatcher.start();
    let mut client = dispatcher.process.client();
    client.message("notice", 40, 20_000, "waits");
    wait_for("a first call", || !full.calls().is_empty());
    let completed = || {
        dispatcher
            .process
            .metric("downstream_requests.notice.completed")
    };
    for (n, cell) in [41, 42, 41, 43, 44].into_iter().enumerate() {
        client.message("notice", cell, 8000, "is delivered");
        wait_for("its answer", || completed() == n as u64 + 1);
    }
    // The second one was used longest ago, then the first one; the message for 40 still waits.
    let last = control.lookup_queries().last().unwrap().clone();
    assert!(last.contains("cells=44&forget=41"), "{last}");
    let asked = control
        .lookup_queries()
        .into_iter()
        .filter(|query| query.contains("cells=40"));
    assert_eq!(asked.count(), 1, "it never gave way");
    full.set_behavior(OK);
    wait_for("what waited", || completed() == 6);
}

#[test]
fn a_line_that_cannot_be_applied_ends_the_watch_and_changes_nothing() {
    let (endpoint, control) = (Endpoint::start(OK), Control::start());
    control.write("e0", &endpoint.addr, "north", 7, true);
    let mut dispatcher = ScopedDispatcher::new(&[&control.addr], 8);
    dispatcher.start();
    wait_for("the buckets", || {
        dispatcher.scope("complete_buckets") == u64::from(BUCKETS)
    });
    control.send_snapshot_line();
    assert!(
        control
            .next_watch(1)
            .contains("since=1&log=c0ffee&dispatcher=d1&buckets=0,1,2,3")
    );
    assert_eq!(
        (
            dispatcher.scope("refused_lines"),
            dispatcher.scope("destinations")
        ),
        (1, 1)
    );
    delivered_in_the_end(&dispatcher, &endpoint, 7, "as ever");
}

#[test]
fn the_known_list_is_used_where_there_is_no_scope_file() {
    let endpoint = Endpoint::start(OK);
    let mut dispatcher = ScopedDispatcher::new(&["127.0.0.1:1"], 8);
    dispatcher.process.json["known"]["servers"] = vec![endpoint.entry("e0", 7, "up")].into();
    dispatcher.start();
    dispatcher
        .process
        .client()
        .message("notice", 7, 8000, "by the list of the start");
    delivered(&endpoint, "by the list of the start");
}

/// Installation files with one error each, and what is said of it.
fn bad_installations(good: &str) -> [(String, &'static str); 9] {
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
fn an_installation_file_is_checked_completely_and_errors_are_named() {
    let process = ScopedDispatcher::new(&["127.0.0.1:7400"], 8);
    let good = std::fs::read_to_string(&process.installation).unwrap();
    let check = |text: &str| {
        std::fs::write(&process.installation, text).unwrap();
        let mut command = process.process.command("check");
        let done = command
            .arg("--installation")
            .arg(&process.installation)
            .output()
            .unwrap();
        (
            done.status.code().unwrap(),
            String::from_utf8(done.stderr).unwrap(),
        )
    };
    assert_eq!(check(&good).0, 0);
    for (text, says) in bad_installations(&good) {
        let (status, said) = check(&text);
        assert!(
            status == 2 && said.contains(says),
            "expected {says}, got {status} with {said}"
        );
    }
}
