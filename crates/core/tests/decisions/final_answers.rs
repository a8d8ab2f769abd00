//! Final answers: which messages are rejected or failed, and when.

use crate::simulation::{Behavior, MS, SEC, Simulation, settings};
use bellsill_core::interface::{MessageHistory, Nanos, PossibleRun, Settings, ZoneId};

#[test]
fn a_message_that_cannot_be_sent_is_rejected_with_a_retry_after() {
    let mut sim = Simulation::new(settings());
    sim.env.behaviors.fill(Behavior::RateLimits(Some(5 * SEC)));
    let id = sim.submit_with(3, 0, None, 2 * SEC);
    sim.advance(3 * SEC);
    assert_eq!(sim.env.rejected.len(), 1);
    assert!(sim.env.rejected[0].0 == id && sim.env.rejected[0].1 > SEC);
}

#[test]
fn a_message_for_an_unknown_destination_is_rejected() {
    let mut sim = Simulation::new(settings());
    sim.submit_with(3, 77, None, 2 * SEC);
    sim.advance(3 * SEC);
    assert_eq!(sim.env.rejected.len(), 1);
}

#[test]
fn a_full_queue_rejects_its_least_valuable_message() {
    let mut sim = Simulation::new(settings());
    sim.env.behaviors.fill(Behavior::RateLimits(Some(10 * SEC)));
    let first = sim.submit(0, 0);
    for _ in 0..58 {
        sim.submit(3, 0);
    }
    assert_eq!(sim.env.rejected.first().map(|rejection| rejection.0), None);
    sim.advance(50 * MS);
    sim.submit(3, 0);
    assert_eq!(
        sim.env.rejected.first().map(|rejection| rejection.0),
        Some(first)
    );
}

#[test]
fn a_message_that_may_have_run_is_rejected_only_if_its_window_covers_its_lifetime() {
    for (lifetime, rejected) in [(12 * SEC, false), (5 * SEC, true)] {
        let mut sim = Simulation::new(Settings {
            max_attempts: 1,
            ..settings()
        });
        sim.env.behaviors.fill(Behavior::ReturnsErrors);
        let message = sim.submit_with(1, 0, None, lifetime);
        sim.advance(SEC);
        let answers = (
            sim.env
                .rejected
                .iter()
                .any(|rejection| rejection.0 == message),
            sim.env.failed.contains(&message),
        );
        assert_eq!(
            answers,
            (rejected, !rejected),
            "with a lifetime of {lifetime} ns and a window of 6 s"
        );
    }
}

fn history(attempts: u32, possible_run_at: Option<Nanos>) -> MessageHistory {
    MessageHistory {
        attempts,
        possible_run: possible_run_at.map(|sent_at| PossibleRun {
            sent_at,
            zone: ZoneId(0),
        }),
    }
}

/// A restarted process takes over the messages of the previous process.
#[test]
fn messages_of_an_earlier_process_continue_as_their_history_allows() {
    let mut sim = Simulation::new(settings());
    let sent_at = sim.env.now - SEC;
    let not_run = sim.submit_with_history(3, 0, history(1, None));
    let at_most_once = sim.submit_with_history(3, 0, history(1, Some(sent_at)));
    let within_window = sim.submit_with_history(1, 0, history(1, Some(sent_at)));
    let after_window = sim.submit_with_history(1, 0, history(1, Some(sim.env.now - 9 * SEC)));
    let attempts_exhausted = sim.submit_with_history(0, 0, history(6, None));
    sim.advance(2 * SEC);
    assert_eq!(sim.env.failed, [at_most_once, after_window]);
    assert_eq!(
        sim.env
            .rejected
            .iter()
            .map(|rejection| rejection.0)
            .collect::<Vec<_>>(),
        [attempts_exhausted]
    );
    assert!(
        sim.env.delivered.contains(&not_run)
            && sim.env.delivered.contains(&within_window)
            && sim.env.delivered.len() == 2
    );
}
