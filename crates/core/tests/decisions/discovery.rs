//! Changes of the endpoint list, and requests for a watch on it.

use crate::simulation::{SEC, Simulation, settings};
use bellsill_core::interface::{EndpointUpdate, Settings};

#[test]
fn the_number_of_a_long_removed_endpoint_is_reused() {
    let mut sim = Simulation::new(settings());
    for n in 0..60 {
        // Each destination's first endpoint is replaced by one with a new id, every five seconds.
        for destination in 0..3 {
            let last = sim
                .env
                .entries
                .iter()
                .rposition(|e| e.destination.0 == destination)
                .unwrap();
            sim.set_serving(last as u32, false, EndpointUpdate::Delta);
            sim.add_endpoint_like(last);
            sim.publish_endpoints(EndpointUpdate::Delta);
            sim.submit(0, destination);
        }
        sim.advance(5 * SEC);
        assert!(
            n < 20 || sim.env.entries.len() - sim.env.removed.len() < 12 + 3 * 20,
            "after {n} replacements"
        );
    }
    assert_eq!(sim.env.delivered.len(), 180);
    let mut distinct = sim.env.removed.clone();
    distinct.sort();
    distinct.dedup();
    assert_eq!(distinct.len(), sim.env.removed.len());
}

/// Regression (big-1 and big-2 of quito-sede: attempts 0.26 s after a drain that an earlier watch
/// would have shown). Where lists come only on request, a watch is requested in time, not by all
/// dispatchers at once, once for each watch, and in time again whenever it is lost.
#[test]
fn a_watch_is_requested_in_time_and_spread_over_dispatchers() {
    let within = 10 * SEC;
    let mut first = vec![];
    for seed in 0..40 {
        let mut sim = Simulation::new(Settings {
            seed,
            max_watch_request_delay: Some(within),
            dispatchers: 300,
            ..settings()
        });
        let start = sim.env.now;
        sim.advance(60 * SEC);
        assert_eq!(
            sim.env.watch_requests.len(),
            1,
            "requested again without a failure"
        );
        first.push(sim.env.watch_requests[0] - start);
        // Requests that fail: after each one four times as long is allowed.
        for _ in 0..6 {
            let (lost, requests) = (sim.env.now, sim.env.watch_requests.len());
            sim.dispatcher.watch_lost(lost, &mut sim.env);
            sim.advance(40 * SEC - 1);
            assert_eq!(sim.env.watch_requests.len(), requests + 1);
            assert!(
                requests == 1 || sim.env.watch_requests[requests] >= lost + within / 2,
                "repeated at once after a failure"
            );
        }
        // A watch that is lost after it was active is no failed request.
        sim.publish_endpoints(EndpointUpdate::Delta);
        let (lost, requests) = (sim.env.now, sim.env.watch_requests.len());
        sim.dispatcher.watch_lost(lost, &mut sim.env);
        sim.advance(within - 1);
        assert_eq!(sim.env.watch_requests.len(), requests + 1);
    }
    assert!(first.iter().all(|&at| at < within));
    let early = first.iter().filter(|&&at| at < within / 4).count();
    assert!(
        (5..25).contains(&early),
        "{early} of 40 in the first quarter"
    );
}

#[test]
fn no_watch_is_requested_where_lists_are_pushed() {
    let mut sim = Simulation::new(settings());
    sim.advance(60 * SEC);
    sim.dispatcher.watch_lost(sim.env.now, &mut sim.env);
    sim.advance(60 * SEC);
    assert!(sim.env.watch_requests.is_empty());
}
