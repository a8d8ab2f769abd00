//! Steps the wall clock during a restart: deadlines and deduplication windows must remain spans of elapsed time.

use bellsill_test_support::dispatcher_process::DispatcherProcess;
use bellsill_test_support::endpoint::{Behavior, Endpoint, OK};
use bellsill_test_support::faults::{Faults, words};
use bellsill_test_support::program;
use bellsill_test_support::wait::wait_for;
use serde_json::json;
use std::time::{Duration, Instant};

const HOUR_SECONDS: i64 = 3_600;
const WINDOW: Duration = Duration::from_secs(3);
/// How long after a restart an overdue notification may arrive.
const RESTART_TOLERANCE: Duration = Duration::from_millis(1_500);
/// How long after a message's deadline its notification may arrive.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(300);

/// The messages that had an attempt in flight when the process was killed. They may have run, and their class allows at
/// most one run, so they must fail.
fn interrupted_messages(process: &DispatcherProcess, ids: &[String]) -> Vec<String> {
    let messages = process.read_journal().messages;
    let is_interrupted = |id: &&String| {
        let message = messages.iter().find(|m| format!("{:016x}", m.id.0) == **id);
        message.is_some_and(|m| m.attempts.iter().any(|a| a.may_have_run.is_none()))
    };
    ids.iter().filter(is_interrupted).cloned().collect()
}

/// Waits until all long-lived messages have ended, and checks that exactly the interrupted ones failed.
fn assert_only_interrupted_fail(
    process: &DispatcherProcess,
    recovering: &Endpoint,
    long_lived: &[String],
    interrupted: &[String],
    step_seconds: i64,
) {
    wait_for("the ends of the long-lived messages", || {
        long_lived.iter().all(|id| {
            let notified = process.platform.notification(id).is_some();
            notified || (recovering.received(id) >= 1 && !interrupted.contains(id))
        })
    });
    let failed: Vec<String> = long_lived
        .iter()
        .filter(|id| process.platform.notification(id).is_some())
        .cloned()
        .collect();
    assert_eq!(
        failed, interrupted,
        "{step_seconds} s: failed long before the deadline, or sent again although they may have run"
    );
}

/// Leaves messages pending, steps the wall clock while no process runs, and checks that the step has no effect on them.
fn check_step(step_seconds: i64) {
    let recovering = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 0.5"));
    let rejecting = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 1000"));
    let hanging = Endpoint::start(Behavior::Hangs);
    let mut process = DispatcherProcess::new(
        program!(),
        &[(&recovering, 7), (&rejecting, 8), (&hanging, 9)],
    );
    process.config["settings"]["services"][0]["window-ns"] = json!(WINDOW.as_nanos() as u64);
    let faults = Faults::new(&process.dir, 1);
    process.start_with_faults(&faults);
    let mut client = process.client();
    let long_lived: Vec<String> = (0..10)
        .map(|_| client.message("payment", 7, 20_000, "long-lived"))
        .collect();
    let short_lived: Vec<String> = (0..10)
        .map(|_| client.message("notice", 8, 3_000, "short-lived"))
        .collect();
    let short_lived_deadline = Instant::now() + Duration::from_millis(3_000);
    let idempotent = client.message("notice", 9, 19_000, "idempotent");
    wait_for("the attempt that hangs", || {
        hanging.received(&idempotent) == 1
    });
    let attempted_at = Instant::now();
    wait_for("a rejection", || process.attempt_never_ran(&long_lived[0]));
    process.kill();
    let interrupted = interrupted_messages(&process, &long_lived);
    faults.step_wall_clock(step_seconds);
    recovering.set_behavior(OK);
    // The deduplication window of the idempotent message ends while no process runs.
    std::thread::sleep((WINDOW + DEADLINE_TOLERANCE).saturating_sub(attempted_at.elapsed()));
    process.start_with_faults(&faults);
    let restarted_at = Instant::now();
    wait_for("the notifications of the short-lived messages", || {
        short_lived
            .iter()
            .all(|id| process.platform.notification(id).is_some())
    });
    let overdue = (short_lived_deadline + DEADLINE_TOLERANCE).max(restarted_at + RESTART_TOLERANCE);
    let late = Instant::now().saturating_duration_since(overdue);
    assert!(
        late.is_zero(),
        "{step_seconds} s: notifications {} ms late",
        late.as_millis()
    );
    assert_only_interrupted_fail(
        &process,
        &recovering,
        &long_lived,
        &interrupted,
        step_seconds,
    );
    assert_eq!(
        hanging.received(&idempotent),
        1,
        "{step_seconds} s: sent again after its window"
    );
}

#[test]
fn a_wall_clock_step_during_a_restart_changes_no_deadline_or_window() {
    for step_seconds in [HOUR_SECONDS, -HOUR_SECONDS, 5, -5] {
        check_step(step_seconds);
    }
}

#[test]
fn after_a_reboot_the_wall_clock_measures_the_remaining_time() {
    let recovering = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 0.5"));
    let rejecting = Endpoint::start(Behavior::Responds("429 Full\r\nRetry-After: 1000"));
    let mut process = DispatcherProcess::new(program!(), &[(&recovering, 7), (&rejecting, 8)]);
    let faults = Faults::new(&process.dir, 1);
    // The monotonic clock of the first process is ahead of that of the second, as before a reboot of the machine.
    faults.set(words::MONOTONIC_SHIFT_SECONDS, 100_000);
    process.start_with_faults(&faults);
    let mut client = process.client();
    let long_lived = client.message("payment", 7, 20_000, "long-lived");
    let short_lived = client.message("notice", 8, 2_000, "short-lived");
    wait_for("a rejection", || process.attempt_never_ran(&long_lived));
    process.kill();
    faults.set(words::MONOTONIC_SHIFT_SECONDS, 0);
    recovering.set_behavior(OK);
    process.start_with_faults(&faults);
    let restarted_at = Instant::now();
    wait_for("the notification of the short-lived message", || {
        process.platform.notification(&short_lived).is_some()
    });
    assert!(
        restarted_at.elapsed() < Duration::from_secs(4),
        "{:?}",
        restarted_at.elapsed()
    );
    wait_for("the second attempt of the long-lived message", || {
        recovering.received(&long_lived) >= 2
    });
    assert_eq!(process.platform.notification(&long_lived), None);
}
