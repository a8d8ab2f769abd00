//! Whether idle connections are kept.

use crate::simulation::{Behavior, MS, SEC, Simulation, settings};

/// Regression (ljubljana-depot-later): full connection tables and dropped idle connections,
/// observed at one destination of a kind, cost every dispatcher attempts again at each other one.
#[test]
fn idle_connections_to_a_kind_are_closed_after_a_drop() {
    for behavior in [Behavior::RefusesConnections, Behavior::ResetsConnections] {
        let mut sim = Simulation::new(settings());
        sim.env.behaviors[..4].fill(behavior);
        sim.submit(0, 0);
        sim.env.behaviors.fill(Behavior::AnswersAfter(100 * MS));
        sim.advance(SEC);
        // Regression (herd+vast): those that no message was sent on stayed, and kept other
        // dispatchers out.
        assert!(
            (4..8).all(|endpoint| sim.env.closed_idle.contains(&endpoint)),
            "{behavior:?}: idle ones stay open until they are used"
        );
        sim.submit(0, 1);
        sim.submit(0, 2);
        sim.advance(5 * SEC);
        assert!(
            sim.env
                .closed_idle
                .iter()
                .any(|endpoint| (4..8).contains(endpoint)),
            "{behavior:?}: kept to another destination of the kind"
        );
        assert!(
            !sim.env.closed_idle.iter().any(|endpoint| *endpoint >= 8),
            "{behavior:?}: closed to another kind"
        );
    }
}

/// Regression (churn, on sockets): after two connections that broke among hundreds, every message
/// waited for a handshake.
#[test]
fn a_few_broken_connections_close_no_idle_ones() {
    let mut sim = Simulation::new(settings());
    for n in 0..200 {
        sim.env.behaviors[..4].fill(if n % 25 == 24 {
            Behavior::ResetsConnections
        } else {
            Behavior::AnswersAfter(100 * MS)
        });
        sim.submit(0, 0);
        sim.env.behaviors[..4].fill(Behavior::AnswersAfter(100 * MS));
        sim.advance(200 * MS);
    }
    assert_eq!(sim.env.closed_idle, Vec::<u32>::new());
    // Lost answers show as resets too, but as late as an answer.
    sim.env.behaviors[..4].fill(Behavior::ResetsAfterWork);
    for _ in 0..20 {
        sim.submit(0, 0);
        sim.advance(SEC);
    }
    assert_eq!(sim.env.closed_idle, Vec::<u32>::new());
}

/// Regression (wide+reset+stale, on sockets): connections broke whether new or kept, and all were
/// new for a minute.
#[test]
fn idle_connections_are_kept_again_where_new_ones_break_too() {
    let mut sim = Simulation::new(settings());
    sim.env.behaviors[..4].fill(Behavior::ResetsConnections);
    for _ in 0..4 {
        sim.submit(0, 0);
        sim.advance(SEC);
    }
    assert!(!sim.env.closed_idle.is_empty(), "not closed at first");
    sim.env.behaviors.fill(Behavior::AnswersAfter(100 * MS));
    sim.advance(5 * SEC);
    sim.env.closed_idle.clear();
    for _ in 0..20 {
        sim.submit(0, 1);
        sim.advance(SEC);
    }
    assert_eq!(sim.env.closed_idle, Vec::<u32>::new());
}
