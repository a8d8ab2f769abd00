//! Writes to the state directory fail temporarily, completely or after half of the bytes, and the process is killed
//! during and after the failures.

use bellsill_test_support::faults::{EIO, ENOSPC, words};
use bellsill_test_support::program;
use bellsill_test_support::soak::{Scenario, World, assert_kept};
use std::time::Duration;

/// Alternates between working and failing writes with kills in between, and checks that some writes did fail and that
/// the guarantees were kept.
fn run_with_failing_writes(seed: u64, half_written: bool) {
    let mut world = World::start(program!(), Scenario::new(seed));
    for round in 0..8 {
        let healthy_time = world.draw_ms(200..900);
        world.play(healthy_time);
        world
            .faults
            .fail_writes(if round % 2 == 0 { ENOSPC } else { EIO }, half_written);
        let failing_time = world.draw_ms(100..600);
        world.play(failing_time);
        // Every second kill happens while writes still fail.
        if round % 2 == 0 {
            world.kill_and_restart(|world| world.faults.heal_folder());
        } else {
            world.faults.heal_folder();
            let time_to_kill = world.draw_ms(0..120);
            world.play(time_to_kill);
            world.kill_and_restart(|_| {});
        }
    }
    world.play(Duration::from_millis(300));
    assert!(
        world.faults.count(words::WRITE_FAULTS) > 0,
        "no write failed"
    );
    let verdict = world.finish();
    assert!(
        verdict.accepted > 100,
        "only {} messages accepted",
        verdict.accepted
    );
    assert_kept(&verdict);
}

#[test]
fn incomplete_records_that_cannot_be_truncated_cause_no_loss_or_repetition() {
    run_with_failing_writes(1, true);
}

#[test]
fn temporarily_failing_writes_send_no_message_after_its_notification() {
    run_with_failing_writes(2, false);
}
