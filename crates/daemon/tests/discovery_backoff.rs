//! Tests of the backoff between requests to discovery, for a single dispatcher and for a fleet.

use bellsill_core::interface::Nanos;
use bellsill_daemon::backoff::{Backoff, CONNECT_TIMEOUT, FIRST_LINE_TIMEOUT, SILENCE_TIMEOUT};
use bellsill_daemon::discovery::LATE_CALL_TIMEOUT;
use std::collections::BTreeSet;

const SECOND: Nanos = 1_000_000_000;

/// The operators require that, whatever the backoff after failed requests, a dispatcher knows a change within 6 s of
/// discovery having it and being reachable. The backoff used to reach 18 s.
#[test]
fn after_any_failure_the_next_first_line_arrives_within_the_limit_for_changes() {
    for dispatchers in [1, 3, 30, 100, 300, u32::MAX] {
        for seed in 0..200 {
            let mut backoff = Backoff::new(seed, dispatchers);
            assert!((0..40).all(
                |_| backoff.next_delay(0) + CONNECT_TIMEOUT + FIRST_LINE_TIMEOUT < 6 * SECOND
            ));
            for elapsed in [
                0,
                FIRST_LINE_TIMEOUT,
                CONNECT_TIMEOUT + FIRST_LINE_TIMEOUT,
                SILENCE_TIMEOUT,
                20 * SECOND,
            ] {
                backoff.reset();
                let max_delay = 6 * SECOND
                    - (CONNECT_TIMEOUT + FIRST_LINE_TIMEOUT + elapsed).min(6 * SECOND - 2);
                assert!((0..40).all(|_| backoff.next_delay(elapsed) < max_delay));
            }
            // The first delay must be short, since until then messages are routed by a list that may be out of date.
            assert!(
                backoff.first_delay(0) == 0
                    && backoff.first_delay(SECOND / 4) <= SECOND / 8
                    && backoff.first_delay(60 * SECOND) <= SECOND
            );
        }
    }
}

/// Regression test for the scenario `herd+vast`: 70 of 100 dispatchers, killed together, sent a request every 250 ms,
/// and none got a response for 19 s. Discovery responds in order, one request per dispatcher in 8 s, abandoned requests
/// included. A request that may still get a response is therefore kept open while others are made: with delays of at
/// most 6 s, no dispatcher would get a response otherwise.
#[test]
fn a_fleet_that_starts_at_once_is_served_without_repeated_polling() {
    for dispatchers in [3, 30, 100, 300, 1000] {
        let mut backoffs: Vec<Backoff> = (0..dispatchers as u64)
            .map(|n| Backoff::new(n, dispatchers as u32))
            .collect();
        let mut due: BTreeSet<(Nanos, usize)> = (0..dispatchers).map(|n| (0, n)).collect();
        // For each dispatcher, when the first of its open requests gets a response.
        let mut response_at: Vec<Option<Nanos>> = vec![None; dispatchers];
        let (mut free_at, mut calls) = (0, 0);
        while let Some((at, n)) = due.pop_first() {
            if response_at[n].is_some_and(|t| t <= at) {
                continue;
            }
            (free_at, calls) = (at.max(free_at) + 8 * SECOND / dispatchers as u64, calls + 1);
            if free_at <= at + LATE_CALL_TIMEOUT {
                response_at[n] = Some(response_at[n].map_or(free_at, |t| t.min(free_at)));
            }
            if free_at > at + FIRST_LINE_TIMEOUT {
                due.insert((
                    at + FIRST_LINE_TIMEOUT + backoffs[n].next_delay(FIRST_LINE_TIMEOUT),
                    n,
                ));
            }
            assert!(
                calls < 50 * dispatchers,
                "{dispatchers} dispatchers keep polling"
            );
        }
        let last = response_at
            .iter()
            .map(|t| t.expect("every dispatcher gets a response"))
            .max()
            .unwrap();
        assert!(
            calls <= dispatchers * 4,
            "{calls} requests from {dispatchers} dispatchers"
        );
        assert!(
            last < 9 * SECOND,
            "{dispatchers} dispatchers: the last one got a response after {} s",
            last / SECOND
        );
    }
}
