//! Tests of the update log: what a process was told of the endpoint list, the next one and one beside it know as well.
//! Guards against messages that go to an endpoint of which an earlier process knew that it drains or has moved.

use bellsill_test_support::client::{Client, connect, new_id, put};
use bellsill_test_support::control_stand_in::Control;
use bellsill_test_support::dispatcher_process::{DispatcherProcess, KillOnDrop};
use bellsill_test_support::endpoint::{Behavior, Endpoint, OK};
use bellsill_test_support::faults::{EIO, Faults};
use bellsill_test_support::program;
use bellsill_test_support::scoped_dispatcher::ScopedDispatcher;
use bellsill_test_support::wait::wait_for;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::io::Write;
use std::path::PathBuf;

const LOG_FILE: &str = "state/endpoints";
/// The error number of a full disk.
const ENOSPC: u64 = 28;

/// A dispatcher that knows the endpoint `old` of destination 7, and `new`, which takes its place.
struct Replacement {
    process: DispatcherProcess,
    old: Endpoint,
    new: Endpoint,
    version: u64,
}

impl Replacement {
    fn new() -> Replacement {
        let (old, new) = (Endpoint::start(OK), Endpoint::start(OK));
        let mut process = DispatcherProcess::new(program!(), &[(&old, 7)]);
        process.config["mgmt"] = process.admin_addr(0).into();
        let version = process.config["known"]["version"].as_u64().unwrap();
        Replacement {
            process,
            old,
            new,
            version,
        }
    }

    fn publish(&mut self, full: bool, entries: Vec<Value>) {
        self.version += 1;
        let list = json!({"version": self.version, "full": full, "servers": entries});
        self.process.platform.publish(&format!("{list}\n"));
    }

    /// Has discovery report that the old endpoint drains and that the new one is up, in two updates.
    fn replace(&mut self) {
        self.publish(false, vec![self.new.entry("new", 7, "up")]);
        // An update without entries advances the version too.
        self.publish(false, vec![]);
        self.publish(false, vec![self.old.entry("e0", 7, "draining")]);
        self.wait_for_new("told");
    }

    /// Sends messages until the new endpoint gets one. From then on the old one gets none.
    fn wait_for_new(&self, body: &str) {
        let mut client = self.process.client();
        wait_for(
            "a message at the new endpoint and none at the old one",
            || {
                let id = client.message("notice", 7, 8000, body);
                wait_for("the delivery", || {
                    self.old.received(&id) + self.new.received(&id) > 0
                });
                self.new.received(&id) > 0 && self.new_gets_all(&mut client)
            },
        );
    }

    /// Whether the new endpoint gets every one of several messages.
    fn new_gets_all(&self, client: &mut Client) -> bool {
        const MESSAGES: usize = 8;
        (0..MESSAGES).all(|_| {
            let id = client.message("notice", 7, 8000, "to the new endpoint");
            wait_for("the delivery", || {
                self.old.received(&id) + self.new.received(&id) > 0
            });
            self.new.received(&id) > 0
        })
    }

    /// Starts the process anew; discovery accepts its watch and sends nothing. Its first messages have to go to the new
    /// endpoint.
    fn assert_known_after_restart(&mut self) {
        self.process.start();
        assert!(self.new_gets_all(&mut self.process.client()));
    }

    fn log_path(&self) -> PathBuf {
        self.process.dir.join(LOG_FILE)
    }

    /// The request line of the last watch, once there are more than `seen`.
    fn watch_request(&self, seen: usize) -> String {
        let requests = || self.process.platform.watch_requests.lock().unwrap().clone();
        wait_for("a watch", || requests().len() > seen);
        requests().last().unwrap().clone()
    }
}

#[test]
fn updates_received_before_a_kill_are_known_after_the_restart() {
    let mut replacement = Replacement::new();
    replacement.process.start();
    replacement.replace();
    for restarts in 1..=2 {
        replacement.process.kill();
        replacement.assert_known_after_restart();
        let request = replacement.watch_request(restarts);
        assert!(
            request.contains(&format!("since={} ", replacement.version)),
            "{request}"
        );
    }
    // A complete list takes the place of all updates.
    let entries = vec![replacement.old.entry("e0", 7, "up")];
    replacement.publish(true, entries);
    wait_for("the complete list in the log", || {
        std::fs::read_to_string(replacement.log_path())
            .unwrap()
            .lines()
            .count()
            == 1
    });
    replacement.process.kill();
    replacement.process.start();
    assert!(!replacement.new_gets_all(&mut replacement.process.client()));
}

#[test]
fn updates_received_before_an_upgrade_are_known_to_the_new_process() {
    let mut replacement = Replacement::new();
    replacement.process.start();
    replacement.replace();
    let old = KillOnDrop(replacement.process.child.take().unwrap());
    replacement.process.config["mgmt"] = replacement.process.admin_addr(1).into();
    replacement.process.start_second_process();
    drop(old);
    assert!(replacement.new_gets_all(&mut replacement.process.client()));
}

#[test]
fn updates_that_only_one_of_two_processes_receives_are_followed_by_the_other() {
    let mut replacement = Replacement::new();
    replacement.process.start();
    replacement.watch_request(0);
    let old = KillOnDrop(replacement.process.child.take().unwrap());
    replacement.process.config["mgmt"] = replacement.process.admin_addr(1).into();
    replacement.process.start_second_process();
    replacement.watch_request(1);
    // Only the watch of the old process is served.
    let silent = replacement.process.platform.watches.lock().unwrap().pop();
    let entries = vec![
        replacement.new.entry("new", 7, "up"),
        replacement.old.entry("e0", 7, "draining"),
    ];
    replacement.publish(false, entries);
    wait_for("the update in the log", || replacement.log_path().exists());
    drop(old);
    replacement.wait_for_new("by the other process");
    drop(silent);
}

#[test]
fn a_damaged_or_incomplete_line_of_the_log_hides_no_earlier_update() {
    for damage in [&b"half a li"[..], b"", b"00000000 {}\n", b"\n\n\xff\xfe\n"] {
        let mut replacement = Replacement::new();
        replacement.process.start();
        replacement.replace();
        replacement.process.kill();
        let mut log = std::fs::OpenOptions::new()
            .append(true)
            .open(replacement.log_path())
            .unwrap();
        log.write_all(damage).unwrap();
        replacement.assert_known_after_restart();
        replacement.watch_request(1);
        // The next update stands on a line of its own.
        let entries = vec![replacement.old.entry("e0", 7, "up")];
        replacement.publish(false, entries);
        wait_for("a message at the old endpoint", || {
            !replacement.new_gets_all(&mut replacement.process.client())
        });
        replacement.process.kill();
        replacement.process.start();
        assert!(!replacement.new_gets_all(&mut replacement.process.client()));
    }
}

#[test]
fn an_update_behind_a_missing_one_is_requested_again() {
    let mut replacement = Replacement::new();
    let first = replacement.version;
    replacement.process.start();
    replacement.replace();
    replacement.process.kill();
    let log = std::fs::read_to_string(replacement.log_path()).unwrap();
    let (_, second) = log.split_once('\n').unwrap();
    std::fs::write(replacement.log_path(), second).unwrap();
    replacement.process.start();
    let request = replacement.watch_request(1);
    assert!(request.contains(&format!("since={first} ")), "{request}");
}

#[test]
fn a_known_list_that_is_newer_than_the_log_is_used() {
    let mut replacement = Replacement::new();
    replacement.process.start();
    replacement.replace();
    replacement.process.kill();
    let newer = replacement.version + 5;
    replacement.process.config["known"]["version"] = newer.into();
    replacement.process.start();
    assert!(!replacement.new_gets_all(&mut replacement.process.client()));
    let request = replacement.watch_request(1);
    assert!(request.contains(&format!("since={newer} ")), "{request}");
    // Updates of the newer list are recorded and known as well.
    replacement.version = newer;
    replacement.replace();
    replacement.process.kill();
    replacement.assert_known_after_restart();
}

#[test]
fn an_older_known_list_does_not_bring_back_an_endpoint_that_drains() {
    let mut replacement = Replacement::new();
    replacement.process.config["known"]["version"] = 40.into();
    replacement.version = 40;
    replacement.process.start();
    let entries = vec![replacement.new.entry("new", 7, "up")];
    replacement.publish(true, entries);
    replacement.wait_for_new("told");
    replacement.process.kill();
    replacement.process.config["known"]["version"] = 39.into();
    replacement.assert_known_after_restart();
}

#[test]
fn an_endpoint_that_drains_is_not_used_by_a_known_list_of_another_discovery() {
    let mut replacement = Replacement::new();
    let entries = [
        replacement.old.entry("e0", 7, "up"),
        replacement.new.entry("new", 7, "up"),
    ];
    replacement.process.config["known"]["servers"] = entries.to_vec().into();
    replacement.process.start();
    let entries = vec![replacement.old.entry("e0", 7, "draining")];
    replacement.publish(false, entries);
    replacement.wait_for_new("told");
    replacement.process.kill();
    // Neither the list nor the address is the one before, so the versions say nothing.
    let other = bellsill_test_support::platform::Platform::start();
    replacement.process.config["discovery"] = other.addr.clone().into();
    replacement.process.config["known"]["version"] = 3.into();
    replacement.assert_known_after_restart();
    wait_for("a watch for the complete list", || {
        let requests = other.watch_requests.lock().unwrap().clone();
        requests
            .first()
            .is_some_and(|request| request.contains("since=0 "))
    });
}

#[test]
fn changes_that_another_discovery_sends_after_a_reload_are_known_after_a_kill() {
    let mut replacement = Replacement::new();
    replacement.process.start();
    replacement.publish(false, vec![replacement.new.entry("new", 7, "up")]);
    let other = bellsill_test_support::platform::Platform::start();
    replacement.process.config["discovery"] = other.addr.clone().into();
    // Writes the configuration file.
    replacement.process.command("check");
    replacement.process.signal(Signal::HUP);
    replacement.process.platform = other;
    replacement.watch_request(0);
    replacement.version = 1;
    replacement.publish(false, vec![replacement.old.entry("e0", 7, "draining")]);
    replacement.wait_for_new("told by the other discovery");
    replacement.process.kill();
    replacement.assert_known_after_restart();
    assert!(replacement.watch_request(1).contains("since=2 "));
}

#[test]
fn an_update_that_finds_a_full_disk_is_recorded_as_soon_as_there_is_space() {
    for errno in [ENOSPC, EIO] {
        for half in [false, true] {
            let mut replacement = Replacement::new();
            let faults = Faults::new(&replacement.process.dir, 1);
            replacement.process.start_with_faults(&faults);
            faults.fail_writes(errno, half);
            replacement.publish(false, vec![replacement.new.entry("new", 7, "up")]);
            replacement.publish(false, vec![replacement.old.entry("e0", 7, "draining")]);
            std::thread::sleep(std::time::Duration::from_millis(200));
            faults.restore_state_directory();
            wait_for("the list in the log", || {
                std::fs::read_to_string(replacement.log_path())
                    .is_ok_and(|log| log.contains("draining"))
            });
            replacement.process.kill();
            replacement.assert_known_after_restart();
        }
    }
}

#[test]
fn a_long_log_is_replaced_by_the_list_in_force() {
    const UPDATES: usize = 1_500;
    const MAX_LOG_BYTES: u64 = 80 * 1024;
    let mut replacement = Replacement::new();
    replacement.process.start();
    let addr = replacement.old.addr.clone();
    let lines: String = (0..UPDATES)
        .map(|n| {
            replacement.version += 1;
            let mut entry = replacement.old.entry("flapping", 8, "up");
            entry["addr"] = addr.clone().into();
            entry["weight"] = (n as f64).into();
            format!(
                "{}\n",
                json!({"version": replacement.version, "full": false, "servers": [entry]})
            )
        })
        .collect();
    replacement.process.platform.publish(&lines);
    replacement.replace();
    let length = std::fs::metadata(replacement.log_path()).unwrap().len();
    assert!(length <= MAX_LOG_BYTES, "{length} bytes");
    replacement.process.kill();
    replacement.assert_known_after_restart();
    let request = replacement.watch_request(1);
    assert!(
        request.contains(&format!("since={} ", replacement.version)),
        "{request}"
    );
}

/// Submits long messages that stay pending, until one is rejected. Returns how many were accepted.
fn fill_with_messages(process: &DispatcherProcess) -> usize {
    const BODY_BYTES: usize = 30_000;
    let mut client = process.client();
    let body = "x".repeat(BODY_BYTES);
    let accepted = std::iter::from_fn(|| {
        let reply = client.send(&put(&new_id(), "c=payment,d=20000,k=x,dest=7", &body));
        (reply == "+OK").then_some(())
    });
    accepted.count()
}

/// Guards against messages that are rejected because a long list and its updates have taken their disk space.
#[test]
fn a_long_list_leaves_messages_the_space_that_they_have_without_it() {
    const QUOTA_MB: f64 = 1.2;
    // The list takes a sixth of the quota, as one of 3,200 endpoints does of 3 MB.
    const ENDPOINTS: usize = 1_700;
    /// How many endpoints each of two updates contains.
    const UPDATED: usize = 1_500;
    let hanging = Endpoint::start(Behavior::Hangs);
    let mut process = DispatcherProcess::new(program!(), &[(&hanging, 7)]);
    process.config["limits"]["disk_mb"] = json!(QUOTA_MB);
    process.start();
    let without_list = fill_with_messages(&process);
    let mut process = DispatcherProcess::new(program!(), &[(&hanging, 7)]);
    process.config["limits"]["disk_mb"] = json!(QUOTA_MB);
    process.start();
    let known = process.config["known"]["version"].as_u64().unwrap();
    for (updates, count) in [ENDPOINTS, UPDATED, UPDATED].into_iter().enumerate() {
        let version = known + 1 + updates as u64;
        let mut entries = vec![hanging.entry("e0", 7, "up")];
        entries.extend((0..count).map(|n| hanging.entry(&format!("endpoint-{n}"), 8, "up")));
        let list = json!({"version": version, "full": updates == 0, "servers": entries});
        process.platform.publish(&format!("{list}\n"));
        wait_for("the update in the log", || {
            std::fs::read_to_string(process.dir.join(LOG_FILE))
                .is_ok_and(|log| log.contains(&format!("\"version\":{version}")))
        });
    }
    assert_eq!(fill_with_messages(&process), without_list);
    assert!(without_list > 0);
}

/// The form of the file is that of every earlier version: a change needs a migration.
#[test]
fn a_line_of_the_log_has_a_fixed_form() {
    let mut replacement = Replacement::new();
    let source = replacement.process.platform.addr.clone();
    let entries = [
        replacement.old.entry("e0", 7, "draining"),
        replacement.new.entry("new", 7, "up"),
    ];
    let document = json!({"version": 5, "full": true, "servers": entries});
    let content =
        format!("{{\"source\":\"{source}\",\"since\":4,\"known\":0,\"document\":{document}}}");
    let line = format!("{:08x} {content}\n", crc32fast::hash(content.as_bytes()));
    std::fs::write(replacement.log_path(), line).unwrap();
    replacement.assert_known_after_restart();
    assert!(replacement.watch_request(0).contains("since=5 "));
    // What is written has the same form.
    replacement.version = 5;
    replacement.publish(false, vec![replacement.old.entry("e0", 7, "removed")]);
    wait_for("the update in the log", || {
        let log = std::fs::read_to_string(replacement.log_path()).unwrap();
        log.lines().count() == 2 && log.ends_with('\n')
    });
    let log = std::fs::read_to_string(replacement.log_path()).unwrap();
    let (checksum, content) = log.lines().last().unwrap().split_once(' ').unwrap();
    assert_eq!(
        checksum,
        format!("{:08x}", crc32fast::hash(content.as_bytes()))
    );
    assert!(content.starts_with(&format!("{{\"source\":\"{source}\",\"since\":5,\"known\":")));
    let record: Value = serde_json::from_str(content).unwrap();
    assert_eq!(record.as_object().unwrap().len(), 4);
    assert_eq!(record["document"]["version"], 6);
}

/// The number of destinations that a dispatcher may cache.
const CACHE_DESTINATIONS: usize = 8;
/// An address at which nobody answers.
const UNREACHABLE: &str = "127.0.0.1:1";

fn scoped_dispatcher(control: &Control) -> ScopedDispatcher {
    ScopedDispatcher::new(program!(), &[&control.addr], CACHE_DESTINATIONS)
}

fn wait_for_version(dispatcher: &ScopedDispatcher, version: u64) {
    wait_for("the version", || dispatcher.scope("version") == version);
}

/// Sends messages for destination 7, each of which has to reach this endpoint.
fn assert_delivered(process: &DispatcherProcess, endpoint: &Endpoint, other: &Endpoint) {
    const MESSAGES: usize = 8;
    let mut client = connect(&process.listen).unwrap();
    for _ in 0..MESSAGES {
        let id = client.message("notice", 7, 8000, "x");
        wait_for("the delivery", || {
            endpoint.received(&id) + other.received(&id) > 0
        });
        assert_eq!(other.received(&id), 0);
    }
}

#[test]
fn a_scoped_change_that_was_applied_is_known_after_a_kill() {
    let (old, new, control) = (Endpoint::start(OK), Endpoint::start(OK), Control::start());
    control.write("e0", &old.addr, "north", 7, true);
    let mut dispatcher = scoped_dispatcher(&control);
    dispatcher.start();
    wait_for_version(&dispatcher, 1);
    // The scope file is saved on SIGTERM, and 5 s after a start at the earliest.
    dispatcher.stop();
    dispatcher.start();
    // A change outside of its scope advances the version alone.
    control.write("e2", &old.addr, "south", 47, true);
    wait_for_version(&dispatcher, 2);
    control.write("e0", &old.addr, "north", 7, false);
    wait_for_version(&dispatcher, 3);
    control.write("e1", &new.addr, "north", 7, true);
    wait_for_version(&dispatcher, 4);
    dispatcher.process.kill();
    dispatcher.write_installation(&[UNREACHABLE], CACHE_DESTINATIONS);
    for _ in 0..2 {
        dispatcher.start();
        assert_delivered(&dispatcher.process, &new, &old);
        dispatcher.process.kill();
    }
}

#[test]
fn a_scoped_change_is_known_to_the_new_process_of_an_upgrade() {
    let (old, new, control) = (Endpoint::start(OK), Endpoint::start(OK), Control::start());
    control.write("e0", &old.addr, "north", 7, true);
    control.write("e1", &new.addr, "north", 7, true);
    let mut dispatcher = scoped_dispatcher(&control);
    dispatcher.start();
    wait_for_version(&dispatcher, 2);
    control.write("e0", &old.addr, "north", 7, false);
    wait_for_version(&dispatcher, 3);
    let first = KillOnDrop(dispatcher.process.child.take().unwrap());
    dispatcher.process.config["mgmt"] = dispatcher.process.admin_addr(1).into();
    dispatcher.write_installation(&[UNREACHABLE], CACHE_DESTINATIONS);
    dispatcher
        .process
        .start_second_command(dispatcher.command());
    drop(first);
    assert_delivered(&dispatcher.process, &new, &old);
}
