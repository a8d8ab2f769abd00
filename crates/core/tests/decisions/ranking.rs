//! Ranking and batches: which waiting message is sent first, and which messages share a call.

use crate::simulation::{Behavior, MS, SEC, SentAttempt, Simulation, settings};
use bellsill_core::interface::{MessageId, Nanos, Settings};

/// Regression (head-office-later rough-1): a message that could wait was sent before one that was
/// near its latency objective.
#[test]
fn a_message_that_loses_value_by_waiting_is_sent_first() {
    let mut sim = Simulation::new(Settings {
        max_in_flight: 2,
        ..settings()
    });
    for _ in 0..2 {
        sim.submit(0, 1);
    }
    let soon = sim.submit_with(0, 2, None, 10_200 * MS);
    let later = sim.submit(3, 2);
    sim.advance(300 * MS);
    let order: Vec<MessageId> = sim
        .env
        .sent
        .iter()
        .map(|s| s.message)
        .filter(|m| *m == soon || *m == later)
        .collect();
    assert_eq!(order, [soon, later]);
}

/// Regression (churn, on sockets): once the queue was full, every message was sent just before its
/// deadline.
#[test]
fn under_lasting_overload_messages_are_sent_well_before_their_deadline() {
    let mut sim = Simulation::new(Settings {
        queue_capacity: 900,
        ..settings()
    });
    for _ in 0..600 {
        for destination in 0..3 {
            sim.submit(0, destination);
            sim.submit(0, destination);
        }
        sim.advance(50 * MS);
    }
    // 120 messages per second are submitted, 80 can be sent.
    let late: Vec<_> = sim.env.sent.iter().filter(|s| s.at > 1_015 * SEC).collect();
    let age: Nanos = late
        .iter()
        .map(|s| s.at - sim.env.accepted_at(s.message))
        .sum::<Nanos>()
        / late.len() as Nanos;
    assert!(
        age < 3_300 * MS,
        "messages were {} ms old on average when sent",
        age / MS
    );
}

/// Regression (wales-head-office big-1): the messages of a backlog were sent in separate calls,
/// each of which counted against the limit.
#[test]
fn a_backlog_is_sent_in_batches_where_its_kind_allows() {
    let mut sim = Simulation::new(Settings {
        max_batch: vec![1, 4],
        max_in_flight: 2,
        ..settings()
    });
    sim.env.behaviors.fill(Behavior::RateLimits(Some(SEC)));
    for _ in 0..6 {
        sim.submit(0, 2);
        sim.submit(0, 0);
    }
    sim.advance(500 * MS);
    sim.env.behaviors.fill(Behavior::AnswersAfter(100 * MS));
    sim.env.sent.clear();
    sim.advance(11 * SEC);
    assert_eq!(sim.env.delivered.len(), 12);
    let largest_batch = |endpoints: std::ops::Range<u32>| {
        let same = |s: &SentAttempt| {
            sim.env
                .sent
                .iter()
                .filter(|t| (t.at, t.endpoint) == (s.at, s.endpoint))
                .count()
        };
        sim.env
            .sent
            .iter()
            .filter(|s| endpoints.contains(&s.endpoint))
            .map(same)
            .max()
    };
    assert_eq!(
        (largest_batch(8..12), largest_batch(0..4)),
        (Some(4), Some(1))
    );
}

/// Regression (rough-1 of wales-head-office and of maadi-main): the answers to one call arrive up
/// to 20 ms apart, and the Retry-After in the first was ignored until the last had arrived.
#[test]
fn a_retry_after_for_any_message_of_a_batch_applies() {
    let mut sim = Simulation::with_single_endpoint(Settings {
        max_batch: vec![1, 4],
        max_in_flight: 20,
        ..settings()
    });
    sim.env.behaviors.fill(Behavior::RateLimits(Some(SEC)));
    sim.submit_many(6, 0, 2);
    // The environment checks the Retry-After at every attempt.
    sim.advance(3 * SEC);
    sim.env.behaviors.fill(Behavior::AnswersAfter(600 * MS));
    sim.advance(9 * SEC);
    assert_eq!(sim.env.delivered.len(), 6);
}
