//! Wakeups, timeouts and deduplication windows.

use crate::simulation::{Behavior, LIFETIME, MS, SEC, Simulation, settings};
use bellsill_core::interface::{
    DeduplicationScope, DeliverySemantics, MessageHistory, Nanos, PossibleRun, ZoneId,
};

/// Regression (head-office big-2): wakeups that fired slightly early were ignored, so messages
/// never got their final answer.
#[test]
fn a_wakeup_that_comes_early_is_not_lost() {
    let mut sim = Simulation::new(settings());
    sim.env.behaviors.fill(Behavior::Unreachable);
    for class in 0..4 {
        sim.submit_with(class, 1, Some(1), LIFETIME);
    }
    sim.advance(20 * SEC);
    assert_eq!(sim.env.rejected.len() + sim.env.failed.len(), 4);
}

/// Operators' requirement: a timeout that would exceed the deduplication window is derived from the
/// window instead. Otherwise, with a window of 3 s, a half-open trial timed out after 5 s and its
/// message could not be sent again; with one of 1 s, every timeout made its message fail.
#[test]
fn a_timeout_leaves_time_for_a_retry_or_equals_that_of_at_most_once_messages() {
    let first_timeout = |window, suspect: bool| {
        let mut settings = settings();
        settings.classes[1].semantics = DeliverySemantics::IdempotencyKey {
            window,
            scope: DeduplicationScope::Destination,
        };
        let mut sim = Simulation::with_single_endpoint(settings);
        if suspect {
            // Unanswered idempotent messages make the route suspect.
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
            .expect("the message was sent")
            .timeout
    };
    for suspect in [false, true] {
        let expected = if suspect { 2 * SEC } else { 2_400 * MS };
        assert!(
            first_timeout(3 * SEC, suspect) == expected && first_timeout(SEC, suspect) > 7 * SEC
        );
    }
    assert!(first_timeout(12 * SEC, false) >= 2 * SEC && first_timeout(12 * SEC, true) == 5 * SEC);
}

/// Operators' requirement: a dispatcher may stall for 0.15 s between reading its clock and writing,
/// which deduplication windows have to allow for. A retry that was decided 5 ms before the end of
/// the window was written 145 ms after it.
#[test]
fn no_retry_starts_so_late_that_a_stall_delays_it_past_its_window() {
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
