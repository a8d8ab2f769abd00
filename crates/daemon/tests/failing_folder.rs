//! The state folder fails temporarily: writes fail completely or half, and the process is killed in between.

use bellsill_test_support::faults::{EIO, ENOSPC, words};
use bellsill_test_support::program;
use bellsill_test_support::soak::{Scenario, World, assert_kept};
use std::time::Duration;

/// Plays failing writes with kills among them, and checks that some writes did fail.
fn play_failing_writes(seed: u64, half_written: bool) {
    let mut world = World::start(program!(), Scenario::new(seed));
    for round in 0..8 {
        let healthy = world.draw_ms(200..900);
        world.play(healthy);
        world
            .faults
            .fail_writes(if round % 2 == 0 { ENOSPC } else { EIO }, half_written);
        let failing = world.draw_ms(100..600);
        world.play(failing);
        // Every second kill comes while writes still fail.
        if round % 2 == 0 {
            world.kill_and_restart(|world| world.faults.heal_folder());
        } else {
            world.faults.heal_folder();
            let soon = world.draw_ms(0..120);
            world.play(soon);
            world.kill_and_restart(|_| {});
        }
    }
    world.play(Duration::from_millis(300));
    assert!(
        world.faults.count(words::WRITE_FAULTS) > 0,
        "no write has failed"
    );
    let verdict = world.finish();
    assert!(verdict.accepted > 100, "{} accepted", verdict.accepted);
    assert_kept(&verdict);
}

#[test]
fn incomplete_records_that_cannot_be_truncated_lose_and_repeat_nothing() {
    play_failing_writes(1, true);
}

#[test]
fn temporarily_failing_writes_send_nothing_after_its_notification() {
    play_failing_writes(2, false);
}
