//! The combined behavior of many dispatchers that share endpoints, each of which knows only its own
//! observations.

use crate::simulation::{Behavior, MS, SEC, Simulation, settings};
use bellsill_core::interface::{EndpointUpdate, Nanos, Settings};

/// The rate limit of each destination where one is listed: attempts per second from all dispatchers
/// together. Also the rate at which messages are submitted.
const RATE: f64 = 50.0;

struct Fleet(Vec<Simulation>);

/// An attempt that was sent after an outage.
struct SentAfterOutage {
    at: Nanos,
    /// Whether the dispatcher observed the outage with an attempt of its own.
    informed: bool,
}

impl Fleet {
    /// Creates a fleet whose destinations have the listed rate limit, if any.
    fn new(dispatchers: u32, listed_rate: Option<f64>) -> Fleet {
        let one = |seed| {
            let mut sim = Simulation::new(Settings {
                seed,
                dispatchers,
                queue_capacity: 400,
                ..settings()
            });
            if listed_rate.is_some() {
                list_rate(&mut sim, listed_rate);
            }
            sim
        };
        Fleet((0..u64::from(dispatchers)).map(one).collect())
    }

    /// Advances the time while messages for destination 0 are submitted at `RATE`, spread over all
    /// dispatchers.
    fn advance(&mut self, behavior: Behavior, span: Nanos) {
        let interval = (self.0.len() as f64 * SEC as f64 / RATE) as Nanos;
        for (n, sim) in self.0.iter_mut().enumerate() {
            sim.env.behaviors[..4].fill(behavior);
            let until = sim.env.now + span;
            let mut next = sim.env.now + n as Nanos % 100 * interval / 100;
            while next < until {
                sim.advance(next - sim.env.now);
                sim.submit_with(0, 0, None, 20 * SEC);
                next += interval;
            }
            sim.advance(until - sim.env.now);
        }
    }

    /// The number of attempts that the fleet has sent to destination 0 since this time.
    fn sent(&self, since: Nanos) -> usize {
        self.0
            .iter()
            .flat_map(|sim| &sim.env.sent)
            .filter(|s| s.endpoint < 4 && s.at >= since)
            .count()
    }

    /// The attempts sent to an endpoint since its recovery, ordered by time.
    fn sent_after_outage(
        &self,
        endpoint: u32,
        down_at: Nanos,
        recovered_at: Nanos,
    ) -> Vec<SentAfterOutage> {
        let mut sent = vec![];
        for sim in &self.0 {
            let to_endpoint = || sim.env.sent.iter().filter(|s| s.endpoint == endpoint);
            let informed = to_endpoint().any(|s| (down_at..recovered_at - SEC).contains(&s.at));
            sent.extend(
                to_endpoint()
                    .filter(|s| s.at >= recovered_at)
                    .map(|s| SentAfterOutage { at: s.at, informed }),
            );
        }
        sent.sort_by_key(|s| (s.at, s.informed));
        sent
    }

    fn now(&self) -> Nanos {
        self.0[0].env.now
    }

    /// The number of messages that each dispatcher has delivered.
    fn delivered(&self) -> Vec<usize> {
        self.0.iter().map(|sim| sim.env.delivered.len()).collect()
    }

    /// The number of dispatchers without a delivery since `before` was taken.
    fn without_delivery_since(&self, before: &[usize]) -> usize {
        self.0
            .iter()
            .zip(before)
            .filter(|(sim, before)| sim.env.delivered.len() == **before)
            .count()
    }
}

fn list_rate(sim: &mut Simulation, rate: Option<f64>) {
    sim.env
        .entries
        .iter_mut()
        .for_each(|entry| entry.rate_limit = rate);
    sim.publish_endpoints(EndpointUpdate::Snapshot);
}

/// Regression (join+vast): after a few rate-limited attempts each of 100 dispatchers waited up to
/// 20 s, whatever the limit was.
#[test]
fn rate_limited_dispatchers_keep_to_their_fair_shares_and_recover_quickly() {
    for dispatchers in [3, 100, 300] {
        let mut fleet = Fleet::new(dispatchers, Some(RATE));
        fleet.advance(Behavior::AnswersAfter(100 * MS), 10 * SEC);
        let share = SEC as f64 * f64::from(dispatchers) / RATE;
        fleet.advance(Behavior::RateLimits(None), (4.0 * share) as Nanos + 4 * SEC);
        let (from, span) = (fleet.now(), (8.0 * share) as Nanos + 4 * SEC);
        fleet.advance(Behavior::RateLimits(None), span);
        let (sent, max_sent) = (fleet.sent(from), RATE * span as f64 / SEC as f64 / 2.0);
        assert!(
            (sent as f64) < max_sent,
            "{dispatchers} dispatchers: {sent} attempts in {} s of rate limiting",
            span / SEC
        );
        let before = fleet.delivered();
        fleet.advance(
            Behavior::AnswersAfter(100 * MS),
            (7.0 * share) as Nanos + 4 * SEC,
        );
        assert_eq!(
            fleet.without_delivery_since(&before),
            0,
            "{dispatchers} dispatchers: some delivered nothing after the rate limiting"
        );
    }
}

/// Regression (zone+vast): after an outage of 5 s, most of 100 dispatchers detected the recovery
/// ten seconds late.
#[test]
fn all_dispatchers_detect_a_recovery_without_overloading_the_endpoints() {
    let (mut fleet, settings) = (Fleet::new(100, Some(RATE)), settings());
    fleet.advance(Behavior::AnswersAfter(100 * MS), 10 * SEC);
    fleet.advance(Behavior::Unreachable, 5 * SEC);
    let (before, from) = (fleet.delivered(), fleet.now());
    fleet.advance(Behavior::AnswersAfter(100 * MS), settings.overload_window);
    let capacity = RATE
        * settings.cold_capacity_share
        * settings.overload_multiple
        * settings.overload_window as f64
        / SEC as f64;
    let sent = fleet.sent(from) as f64;
    assert!(
        sent < 1.25 * capacity,
        "{sent} attempts to endpoints with a capacity of {capacity}"
    );
    // Each of the four endpoints has a quarter of the capacity.
    let spacing = 4.0 * 100.0 / (RATE * settings.cold_capacity_share * settings.overload_multiple);
    fleet.advance(
        Behavior::AnswersAfter(100 * MS),
        (1.5 * spacing * SEC as f64) as Nanos,
    );
    assert_eq!(
        fleet.without_delivery_since(&before),
        0,
        "some dispatchers did not detect the recovery"
    );
}

/// Regression (herd+vast): 100 dispatchers that were rate-limited at the same time all retried at
/// the same time.
#[test]
fn dispatchers_rate_limited_at_the_same_time_retry_at_different_times() {
    let mut fleet = Fleet::new(100, Some(RATE));
    fleet.advance(Behavior::AnswersAfter(100 * MS), 10 * SEC);
    for sim in &mut fleet.0 {
        sim.env.behaviors[..4].fill(Behavior::RateLimits(None));
        sim.submit_with(0, 0, None, 20 * SEC);
        sim.advance(100 * MS);
        sim.env.behaviors[..4].fill(Behavior::AnswersAfter(100 * MS));
    }
    let from = fleet.now();
    for sim in &mut fleet.0 {
        sim.advance(10 * SEC);
    }
    let intervals = fleet
        .0
        .iter()
        .flat_map(|sim| &sim.env.sent)
        .filter(|s| s.at >= from)
        .map(|s| (s.at - from) / (200 * MS));
    let mut retries = [0; 50];
    intervals.for_each(|interval| retries[interval as usize] += 1);
    assert_eq!(retries.iter().sum::<usize>(), 100);
    assert!(retries.iter().all(|&n| n <= 25), "{retries:?}");
}

/// Regression (zone+vast): each dispatcher that detected the recovery of an endpoint began a new
/// slow start, although the endpoint had been available again for seconds.
#[test]
fn recovery_is_dated_half_way_back_to_the_previous_attempt() {
    let mut sim = Simulation::new(Settings {
        dispatchers: 10,
        queue_capacity: 400,
        max_in_flight: 40,
        ..settings()
    });
    list_rate(&mut sim, Some(RATE));
    sim.env.behaviors[..4].fill(Behavior::RefusesConnections);
    for _ in 0..20 {
        sim.submit_with(0, 0, None, 3 * SEC);
        sim.advance(SEC);
    }
    sim.advance(8 * SEC);
    sim.env.behaviors[..4].fill(Behavior::AnswersAfter(100 * MS));
    let before = sim.env.delivered.len();
    for _ in 0..100 {
        sim.submit(0, 0);
    }
    sim.advance(4 * SEC);
    let delivered = sim.env.delivered.len() - before;
    // The dispatcher's share of the limit is 5 per second. A slow start that began now would allow
    // twice 0.2 to 0.6 of that during the four seconds: 16 messages.
    assert!(delivered > 22, "only {delivered} delivered");
}

/// Regression (quito-sede at 24.29 s and 45.20 s, big-1): a route in an outage rate-limited many
/// dispatchers at the same time. Their first retries, 2 to 7 s later, were 15 of the 16 attempts
/// that overloaded the route when it recovered.
#[test]
fn dispatchers_rate_limited_in_an_outage_retry_spread_over_many_seconds() {
    let mut retried_after = vec![];
    for seed in 0..262 {
        let mut sim = Simulation::with_single_endpoint(Settings {
            seed,
            dispatchers: 262,
            ..settings()
        });
        sim.env.behaviors[8] = Behavior::RateLimits(None);
        let start = sim.env.now;
        sim.submit_with(0, 2, None, 20 * SEC);
        sim.advance(15 * SEC);
        retried_after.extend(sim.env.sent.get(1).map(|s| s.at - start));
    }
    let window = |from: Nanos| {
        retried_after
            .iter()
            .filter(|&&at| (from..from + 1_500 * MS).contains(&at))
            .count()
    };
    let max_in_window = retried_after.iter().map(|&from| window(from)).max();
    assert!(
        retried_after.len() > 250 && max_in_window < Some(50),
        "{max_in_window:?} of {} retries within 1.5 s",
        retried_after.len()
    );
}

/// Regression (quito-sede at 48.09 s): when the suspension of a route in an outage ended, each of
/// 313 dispatchers sent several waiting messages within 50 ms, before the first was rejected. They
/// were 35 of the 41 attempts that overloaded the route.
#[test]
fn each_dispatcher_of_a_large_fleet_first_sends_one_message_to_a_route_that_reopens() {
    let mut sim = Simulation::with_single_endpoint(Settings {
        dispatchers: 313,
        ..settings()
    });
    sim.env.behaviors[8] = Behavior::RateLimitsLate;
    for _ in 0..3 {
        sim.submit_with(0, 2, None, 20 * SEC);
        sim.advance(300 * MS);
    }
    sim.env.sent.clear();
    sim.advance(15 * SEC);
    let at: Vec<Nanos> = sim.env.sent.iter().map(|s| s.at).collect();
    assert!(
        !at.is_empty() && at.windows(2).all(|p| p[1] > p[0] + 300 * MS),
        "{at:?}"
    );
}

/// Regression (maadi-main at 41.25 s): an endpoint that had been unreachable for 21 s was
/// overloaded when it recovered. Two thirds of the attempts came from dispatchers that had observed
/// one connect timeout each and considered the endpoint healthy.
#[test]
fn one_connect_timeout_is_an_outage_in_a_large_fleet() {
    for (dispatchers, outage) in [(300, true), (3, false)] {
        let mut sim = Simulation::with_single_endpoint(Settings {
            dispatchers,
            ..settings()
        });
        sim.env.behaviors[8] = Behavior::Unreachable;
        sim.submit(0, 2);
        sim.advance(SEC / 2);
        sim.env.behaviors[8] = Behavior::AnswersAfter(100 * MS);
        sim.advance(10 * SEC);
        // All dispatchers together try the endpoint no more often than a warming one can handle, so
        // this dispatcher does not try it again within the lifetime of its message.
        assert_eq!(
            sim.env.delivered.len(),
            usize::from(!outage),
            "{:?}",
            sim.env.log_lines
        );
        assert_eq!(sim.has_logged("suspect"), outage, "{:?}", sim.env.log_lines);
    }
}

/// Regression (maadi-main i5db0fb at 13.53 s): 14 of the 15 attempts that overloaded an endpoint
/// after a crash came from dispatchers that had observed one or two refused connections, while only
/// a third one counted as an outage.
#[test]
fn two_refused_connections_are_an_outage_in_a_large_fleet() {
    let attempts = |dispatchers| {
        let mut sim = Simulation::with_single_endpoint(Settings {
            dispatchers,
            ..settings()
        });
        sim.env.behaviors[8] = Behavior::RefusesConnections;
        for _ in 0..4 {
            sim.submit_with(0, 2, None, 20 * SEC);
            sim.advance(10 * SEC);
        }
        sim.env.sent.len()
    };
    assert_eq!(attempts(300), 2);
    assert!(attempts(3) > 3);
}

/// Regression (rough-1 and big-2 of maadi-main): rate limits were not listed but reported in
/// answers, and dispatchers based the time of their retries on the fleet size alone.
#[test]
fn a_reported_rate_limit_is_used_where_none_is_listed() {
    let interval = |reported_rate_limit| {
        let mut sim = Simulation::with_single_endpoint(Settings {
            dispatchers: 100,
            ..settings()
        });
        sim.env.reported_rate_limit = reported_rate_limit;
        sim.submit(0, 2);
        sim.advance(SEC);
        sim.env.behaviors[8] = Behavior::RateLimitsLate;
        sim.submit_many(2, 0, 2);
        sim.advance(110 * MS);
        sim.env.behaviors[8] = Behavior::AnswersAfter(100 * MS);
        sim.env.sent.clear();
        sim.set_serving(9, false, EndpointUpdate::Delta);
        sim.advance(11 * SEC);
        sim.env.sent[1].at - sim.env.sent[0].at
    };
    // 50 per second give each of 100 dispatchers one attempt every 2 s, spread by half.
    assert!(interval(Some(50.0)) >= 800 * MS && interval(None) < 800 * MS);
}

/// Operators' requirement: if a warming endpoint can handle N attempts in the configured overload
/// window, all dispatchers together may exceed N by at most 2 * sqrt(N) + 2, as a tolerance for
/// random variation. This has to hold for 20 or 30 dispatchers as for 3 or 300, with listed rates
/// and without; the case of 300 is run with listed rates only.
#[test]
fn a_fleet_of_any_size_does_not_overload_a_warming_endpoint() {
    for (dispatchers, listed) in [
        (3, false),
        (20, false),
        (30, false),
        (3, true),
        (20, true),
        (30, true),
        (300, true),
    ] {
        assert_recovery_overloads_nothing(dispatchers, listed);
    }
}

/// Checks the overload windows of each endpoint during its slow start. A window may exceed the
/// limit if at most two thirds of its attempts came from dispatchers that had observed the outage.
fn assert_recovery_overloads_nothing(dispatchers: u32, listed: bool) {
    let settings = settings();
    let mut fleet = Fleet::new(dispatchers, Some(RATE).filter(|_| listed));
    fleet.advance(Behavior::AnswersAfter(100 * MS), 10 * SEC);
    let down_at = fleet.now();
    fleet.advance(Behavior::Unreachable, 6 * SEC);
    let recovered_at = fleet.now();
    fleet.advance(Behavior::AnswersAfter(100 * MS), settings.slow_start);
    // Four endpoints share the capacity of their destination: the listed rate limit, or a fifth
    // more than the rate of submission.
    let capacity = if listed { RATE } else { 1.2 * RATE } / 4.0;
    for endpoint in 0..4 {
        let sent = fleet.sent_after_outage(endpoint, down_at, recovered_at);
        let within = |from: Nanos| {
            sent.iter()
                .filter(move |s| (from..from + settings.overload_window).contains(&s.at))
        };
        for from in sent
            .iter()
            .map(|s| s.at)
            .filter(|from| from + settings.overload_window < recovered_at + settings.slow_start)
        {
            let available = settings.cold_capacity_share
                + (1.0 - settings.cold_capacity_share)
                    * (from - recovered_at + settings.overload_window / 2) as f64
                    / settings.slow_start as f64;
            let expected =
                capacity * available * settings.overload_multiple * settings.overload_window as f64
                    / SEC as f64;
            let all = within(from).count();
            let informed = within(from).filter(|s| s.informed).count();
            let max_attempts = expected + 2.0 * expected.sqrt() + 2.0;
            let at = (from - recovered_at) / MS;
            assert!(
                all as f64 <= max_attempts || 3 * informed <= 2 * all,
                "{dispatchers} dispatchers, listed {listed}: {all} attempts of {max_attempts:.1} from {at} ms on, {informed} of them informed"
            );
        }
    }
}
