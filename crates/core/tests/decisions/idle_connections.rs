//! Keeping and closing of idle connections.

use crate::simulation::{Behavior, MS, SEC, Simulation, settings};

/// Regression (ljubljana-depot-later): after a dispatcher had met full connection tables or dropped
/// idle connections at one destination of a kind, it lost attempts in the same way at every other
/// destination of that kind.
#[test]
fn idle_connections_to_a_kind_are_closed_after_a_drop() {
    for behavior in [Behavior::RefusesConnections, Behavior::ResetsConnections] {
        let mut sim = Simulation::new(settings());
        sim.env.behaviors[..4].fill(behavior);
        sim.submit(0, 0);
        sim.env.behaviors.fill(Behavior::AnswersAfter(100 * MS));
        sim.advance(SEC);
        // Regression (herd+vast): idle connections without further messages stayed open and kept
        // other dispatchers from connecting.
        assert!(
            (4..8).all(|endpoint| sim.env.closed_idle.contains(&endpoint)),
            "{behavior:?}: unused idle connections stay open"
        );
        sim.submit(0, 1);
        sim.submit(0, 2);
        sim.advance(5 * SEC);
        assert!(
            sim.env
                .closed_idle
                .iter()
                .any(|endpoint| (4..8).contains(endpoint)),
            "{behavior:?}: idle connections kept to another destination of the kind"
        );
        assert!(
            !sim.env.closed_idle.iter().any(|endpoint| *endpoint >= 8),
            "{behavior:?}: idle connections closed to a destination of another kind"
        );
    }
}

/// Regression (churn, on sockets): after two of hundreds of connections had been reset, every
/// message waited for a handshake.
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
    // Lost answers appear as resets too, but only after the usual answer time.
    sim.env.behaviors[..4].fill(Behavior::ResetsAfterProcessing);
    for _ in 0..20 {
        sim.submit(0, 0);
        sim.advance(SEC);
    }
    assert_eq!(sim.env.closed_idle, Vec::<u32>::new());
}

/// Regression (wide+reset+stale, on sockets): new and idle connections were reset alike, and the
/// dispatcher used only new ones for a minute.
#[test]
fn idle_connections_are_kept_again_where_new_ones_break_too() {
    let mut sim = Simulation::new(settings());
    sim.env.behaviors[..4].fill(Behavior::ResetsConnections);
    for _ in 0..4 {
        sim.submit(0, 0);
        sim.advance(SEC);
    }
    assert!(
        !sim.env.closed_idle.is_empty(),
        "idle connections not closed at first"
    );
    sim.env.behaviors.fill(Behavior::AnswersAfter(100 * MS));
    sim.advance(5 * SEC);
    sim.env.closed_idle.clear();
    for _ in 0..20 {
        sim.submit(0, 1);
        sim.advance(SEC);
    }
    assert_eq!(sim.env.closed_idle, Vec::<u32>::new());
}
