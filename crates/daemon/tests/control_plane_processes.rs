//! Tests with three dispatchers and three control processes that are killed, suspended and resumed, or partitioned.
//! Each test waits for the expected result and makes no assertions about time.

use bellsill_test_support::endpoint::{Endpoint, OK};
use bellsill_test_support::installation::Installation;
use bellsill_test_support::program;
use bellsill_test_support::wait::wait_for;
use rustix::process::Signal;

/// Each dispatcher holds the buckets of some of these destinations and looks the others up.
const DESTINATIONS: std::ops::Range<u64> = 0..8;

#[test]
fn every_dispatcher_delivers_to_every_destination_and_follows_changes() {
    let (first, second) = (Endpoint::start(OK), Endpoint::start(OK));
    let installation = Installation::start(program!());
    installation.write(DESTINATIONS, &first);
    installation.wait_until_all_deliver(DESTINATIONS, &first, "first version");
    let looked_up: u64 = installation
        .dispatchers
        .iter()
        .map(|d| d.scope("cached"))
        .sum();
    assert!(
        looked_up > 0,
        "some destinations are in buckets of other dispatchers"
    );
    installation.write(DESTINATIONS, &second);
    installation.wait_until_all_deliver(DESTINATIONS, &second, "second version");
}

#[test]
fn a_killed_control_process_is_replaced_by_another_and_rejoins() {
    let (first, second) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut installation = Installation::start(program!());
    installation.write(DESTINATIONS, &first);
    installation.wait_until_all_deliver(DESTINATIONS, &first, "with all three");
    installation.control[1].kill();
    installation.write(DESTINATIONS, &second);
    installation.wait_until_all_deliver(DESTINATIONS, &second, "without one");
    installation.control[1].start();
    installation.control[2].kill();
    installation.write(DESTINATIONS, &first);
    installation.wait_until_all_deliver(DESTINATIONS, &first, "without the other");
}

#[test]
fn dispatchers_switch_from_a_suspended_control_process_to_another_one() {
    let (first, second) = (Endpoint::start(OK), Endpoint::start(OK));
    let installation = Installation::start(program!());
    installation.write(DESTINATIONS, &first);
    installation.wait_until_all_deliver(DESTINATIONS, &first, "with all three");
    for process in &installation.control[1..] {
        process.signal(Signal::STOP);
    }
    installation.write(DESTINATIONS, &second);
    installation.wait_until_all_deliver(DESTINATIONS, &second, "with two suspended");
    for process in &installation.control[1..] {
        process.signal(Signal::CONT);
    }
    installation.write(DESTINATIONS, &first);
    installation.wait_until_all_deliver(DESTINATIONS, &first, "with all three again");
}

#[test]
fn a_suspended_dispatcher_resumes_from_its_version() {
    let (first, second) = (Endpoint::start(OK), Endpoint::start(OK));
    let installation = Installation::start(program!());
    installation.write(DESTINATIONS, &first);
    installation.wait_until_all_deliver(DESTINATIONS, &first, "before");
    installation.dispatchers[0].process.signal(Signal::STOP);
    installation.write(DESTINATIONS, &second);
    installation.dispatchers[1].wait_until_delivered(0, &second, "by another dispatcher");
    installation.dispatchers[0].process.signal(Signal::CONT);
    installation.wait_until_all_deliver(DESTINATIONS, &second, "after");
}

#[test]
fn a_partitioned_dispatcher_serves_its_last_configuration_and_catches_up_afterwards() {
    let (first, second) = (Endpoint::start(OK), Endpoint::start(OK));
    let installation = Installation::start(program!());
    installation.write(DESTINATIONS, &first);
    installation.wait_until_all_deliver(DESTINATIONS, &first, "before the partition");
    let partitioned = &installation.dispatchers[0];
    partitioned.set_disconnected(true);
    installation.write(DESTINATIONS, &second);
    installation.dispatchers[1].wait_until_delivered(0, &second, "by another dispatcher");
    for destination in DESTINATIONS {
        partitioned.wait_until_delivered(
            destination,
            &first,
            &format!("partitioned, for {destination}"),
        );
    }
    partitioned.set_disconnected(false);
    installation.wait_until_all_deliver(DESTINATIONS, &second, "after the partition");
}

#[test]
fn with_all_control_processes_killed_a_dispatcher_restarts_with_its_scope_file() {
    let (first, second) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut installation = Installation::start(program!());
    installation.write(DESTINATIONS, &first);
    installation.wait_until_all_deliver(DESTINATIONS, &first, "before");
    wait_for("the scope file to be saved", || {
        installation.dispatchers[0].scope("unsaved") == 0
    });
    installation
        .control
        .iter_mut()
        .for_each(|process| process.kill());
    installation.dispatchers[0].process.kill();
    installation.dispatchers[0].start();
    installation.wait_until_all_deliver(DESTINATIONS, &first, "with no control process");
    installation
        .control
        .iter_mut()
        .for_each(|process| process.start());
    installation.write(DESTINATIONS, &second);
    installation.wait_until_all_deliver(DESTINATIONS, &second, "with all of them again");
}
