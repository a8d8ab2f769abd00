//! Wakeups, timeouts and the end of deduplication windows.

use crate::simulation::{Behavior, LIFETIME, MS, SEC, Simulation, settings};
use bellsill_core::interface::{
    DeduplicationScope, DeliverySemantics, MessageHistory, Nanos, PossibleRun, ZoneId,
};

/// Regression (head-office big-2): wakeups that came a fraction early were lost, and messages with
/// them.
#[test]
fn a_wakeup_that_comes_early_is_not_lost() {
    let mut sim = Simulation::new(settings());
    sim.env.behaviors.fill(Behavior::IsUnreachable);
    for class in 0..4 {
        sim.submit_with(class, 1, Some(1), LIFETIME);
    }
    sim.advance(20 * SEC);
    assert_eq!(sim.env.rejected.len() + sim.env.failed.len(), 4);
}

/// The operators' rule: timeouts follow from the deduplication window where they would outlast it.
/// At a window of 3 s a half-open trial took 5 s, and nothing that it cut off could be repeated; at
/// one of 1 s every timeout ended in a failure.
#[test]
fn a_timeout_leaves_time_for_a_repeat_or_is_that_of_an_at_most_once_message() {
    let first_timeout = |window, hangs: bool| {
        let mut settings = settings();
        settings.classes[1].semantics = DeliverySemantics::IdempotencyKey {
            window,
            scope: DeduplicationScope::Destination,
        };
        let mut sim = Simulation::with_single_endpoint(settings);
        if hangs {
            // Idempotent messages make the route suspect.
            sim.env.behaviors[8] = Behavior::Hangs;
            sim.submit_many(2, 0, 2);
            sim.advance(4 * SEC);
        }
        sim.env.sent.clear();
        let message = sim.submit(1, 2);
        sim.advance(10 * SEC);
        sim.env
            .sent
            .iter()
            .find(|s| s.message == message)
            .expect("it is sent")
            .timeout
    };
    for hangs in [false, true] {
        let most = if hangs { 2 * SEC } else { 2_400 * MS };
        assert!(first_timeout(3 * SEC, hangs) == most && first_timeout(SEC, hangs) > 7 * SEC);
    }
    assert!(first_timeout(12 * SEC, false) >= 2 * SEC && first_timeout(12 * SEC, true) == 5 * SEC);
}

/// The operators' rule: a dispatcher may stall for 0.15 s between reading its clock and writing,
/// and a window has to allow for that. A repeat that was decided 5 ms before the window's end came
/// 145 ms after it.
#[test]
fn no_repeat_starts_so_late_that_a_stall_carries_it_past_its_window() {
    const WINDOW: Nanos = 6 * SEC;
    for (left, sent) in [(100 * MS, false), (140 * MS, false), (200 * MS, true)] {
        let mut sim = Simulation::with_single_endpoint(settings());
        let history = MessageHistory {
            attempts: 1,
            possible_run: Some(PossibleRun {
                sent_at: sim.env.now + left - WINDOW,
                zone: ZoneId(0),
            }),
        };
        sim.submit_with_history(1, 0, history);
        assert_eq!(
            !sim.env.sent.is_empty(),
            sent,
            "with {} ms of the window left",
            left / MS
        );
    }
}
