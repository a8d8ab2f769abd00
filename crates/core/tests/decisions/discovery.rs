//! Changes of the endpoint list, and the timing of watch requests.

use crate::simulation::{SEC, Simulation, settings};
use bellsill_core::interface::{EndpointUpdate, Settings};

#[test]
fn the_number_of_a_long_removed_endpoint_is_reused() {
    let mut sim = Simulation::new(settings());
    for n in 0..60 {
        // Replaces the latest endpoint of each destination by one with a new ID every five seconds.
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
            "endpoint numbers are not reused after {n} replacements"
        );
    }
    assert_eq!(sim.env.delivered.len(), 180);
    let mut distinct = sim.env.removed.clone();
    distinct.sort();
    distinct.dedup();
    assert_eq!(distinct.len(), sim.env.removed.len());
}

/// Regression (big-1 and big-2 of quito-sede): attempts were sent 0.26 s after a drain that an
/// earlier watch would have reported. Where lists are sent on request only, a dispatcher requests
/// each watch once and within the allowed delay, also after a loss, and dispatchers do not send
/// their requests at the same time.
#[test]
fn a_watch_is_requested_in_time_and_at_different_times_by_dispatchers() {
    let max_delay = 10 * SEC;
    let mut first = vec![];
    for seed in 0..40 {
        let mut sim = Simulation::new(Settings {
            seed,
            max_watch_request_delay: Some(max_delay),
            dispatchers: 300,
            ..settings()
        });
        let start = sim.env.now;
        sim.advance(60 * SEC);
        assert_eq!(
            sim.env.watch_requests.len(),
            1,
            "watch requested again without a failure"
        );
        first.push(sim.env.watch_requests[0] - start);
        // After each failed request the allowed delay is four times as long.
        for _ in 0..6 {
            let (lost, requests) = (sim.env.now, sim.env.watch_requests.len());
            sim.dispatcher.watch_lost(lost, &mut sim.env);
            sim.advance(40 * SEC - 1);
            assert_eq!(sim.env.watch_requests.len(), requests + 1);
            assert!(
                requests == 1 || sim.env.watch_requests[requests] >= lost + max_delay / 2,
                "watch requested too soon after a failure"
            );
        }
        // The loss of an active watch does not count as a failed request.
        sim.publish_endpoints(EndpointUpdate::Delta);
        let (lost, requests) = (sim.env.now, sim.env.watch_requests.len());
        sim.dispatcher.watch_lost(lost, &mut sim.env);
        sim.advance(max_delay - 1);
        assert_eq!(sim.env.watch_requests.len(), requests + 1);
    }
    assert!(first.iter().all(|&at| at < max_delay));
    let early = first.iter().filter(|&&at| at < max_delay / 4).count();
    assert!(
        (5..25).contains(&early),
        "{early} of 40 requests in the first quarter of the delay"
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
