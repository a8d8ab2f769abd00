//! Writes to the state directory fail temporarily, completely or after half of the bytes, and the process is killed
//! during and after the failures.

use bellsill_test_support::faults::{EIO, ENOSPC, words};
use bellsill_test_support::program;
use bellsill_test_support::soak::{Scenario, SoakRun, assert_no_violations};
use std::time::Duration;

/// Alternates between working and failing writes with kills in between, and checks that some writes did fail and that
/// the guarantees were kept.
fn run_with_failing_writes(seed: u64, half_written: bool) {
    let mut run = SoakRun::start(program!(), Scenario::new(seed));
    for round in 0..8 {
        let healthy_time = run.random_duration_ms(200..900);
        run.run_for(healthy_time);
        run.faults
            .fail_writes(if round % 2 == 0 { ENOSPC } else { EIO }, half_written);
        let failing_time = run.random_duration_ms(100..600);
        run.run_for(failing_time);
        // Every second kill happens while writes still fail.
        if round % 2 == 0 {
            run.kill_and_restart(|run| run.faults.restore_state_directory());
        } else {
            run.faults.restore_state_directory();
            let time_to_kill = run.random_duration_ms(0..120);
            run.run_for(time_to_kill);
            run.kill_and_restart(|_| {});
        }
    }
    run.run_for(Duration::from_millis(300));
    assert!(run.faults.get(words::WRITE_FAULTS) > 0, "no write failed");
    let verdict = run.finish();
    assert!(
        verdict.accepted > 100,
        "only {} messages accepted",
        verdict.accepted
    );
    assert_no_violations(&verdict);
}

#[test]
fn incomplete_records_that_cannot_be_truncated_cause_no_loss_or_repetition() {
    run_with_failing_writes(1, true);
}

#[test]
fn temporarily_failing_writes_send_no_message_after_its_notification() {
    run_with_failing_writes(2, false);
}
