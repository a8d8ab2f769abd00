//! Many dispatchers before the same endpoints, each knowing only what it observed itself: what they
//! do together.

use crate::simulation::{Behavior, MS, SEC, Simulation, settings};
use bellsill_core::interface::{EndpointUpdate, Nanos, Settings};

/// The listed limit of each destination: the attempts a second that it takes of all dispatchers
/// together.
const RATE: f64 = 50.0;

struct Fleet(Vec<Simulation>);

/// An attempt that was sent after an outage.
struct SentAfterOutage {
    at: Nanos,
    /// Whether its dispatcher knows of the outage by an attempt of its own that failed.
    informed: bool,
}

impl Fleet {
    /// Destinations have the limit that is listed, if any.
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

    /// Lets time pass in which destination 0 gets messages at its listed rate, spread over all
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

    /// How many attempts all of them sent to destination 0 since then.
    fn sent(&self, since: Nanos) -> usize {
        self.0
            .iter()
            .flat_map(|sim| &sim.env.sent)
            .filter(|s| s.endpoint < 4 && s.at >= since)
            .count()
    }

    /// The attempts that were sent to an endpoint since its return, in the order of time.
    fn sent_after_outage(
        &self,
        endpoint: u32,
        down_at: Nanos,
        returned_at: Nanos,
    ) -> Vec<SentAfterOutage> {
        let mut sent = vec![];
        for sim in &self.0 {
            let to_endpoint = || sim.env.sent.iter().filter(|s| s.endpoint == endpoint);
            let informed = to_endpoint().any(|s| (down_at..returned_at - SEC).contains(&s.at));
            sent.extend(
                to_endpoint()
                    .filter(|s| s.at >= returned_at)
                    .map(|s| SentAfterOutage { at: s.at, informed }),
            );
        }
        sent.sort_by_key(|s| (s.at, s.informed));
        sent
    }

    fn now(&self) -> Nanos {
        self.0[0].env.now
    }

    /// How many messages each of them has delivered.
    fn delivered(&self) -> Vec<usize> {
        self.0.iter().map(|sim| sim.env.delivered.len()).collect()
    }

    /// How many of them have delivered no more than before.
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

/// Regression (join+vast): 100 dispatchers waited up to 20 s each after a few rate-limited
/// attempts, whatever the limit was.
#[test]
fn limited_at_a_listed_rate_all_keep_to_fair_shares_and_soon_find_capacity_again() {
    for dispatchers in [3, 100, 300] {
        let mut fleet = Fleet::new(dispatchers, Some(RATE));
        fleet.advance(Behavior::AnswersAfter(100 * MS), 10 * SEC);
        let share = SEC as f64 * f64::from(dispatchers) / RATE;
        fleet.advance(Behavior::RateLimits(None), (4.0 * share) as Nanos + 4 * SEC);
        let (from, span) = (fleet.now(), (8.0 * share) as Nanos + 4 * SEC);
        fleet.advance(Behavior::RateLimits(None), span);
        let (sent, most) = (fleet.sent(from), RATE * span as f64 / SEC as f64 / 2.0);
        assert!(
            (sent as f64) < most,
            "{dispatchers}: {sent} sent in {} s of rate limiting",
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
            "{dispatchers}: found no capacity"
        );
    }
}

/// Regression (zone+vast): after an outage of 5 s most of 100 dispatchers noticed the return ten
/// seconds late.
#[test]
fn a_return_after_an_outage_is_noticed_by_all_and_overloads_nothing() {
    let (mut fleet, settings) = (Fleet::new(100, Some(RATE)), settings());
    fleet.advance(Behavior::AnswersAfter(100 * MS), 10 * SEC);
    fleet.advance(Behavior::IsUnreachable, 5 * SEC);
    let (before, from) = (fleet.delivered(), fleet.now());
    fleet.advance(Behavior::AnswersAfter(100 * MS), settings.overload_window);
    let bears = RATE
        * settings.cold_capacity_share
        * settings.overload_multiple
        * settings.overload_window as f64
        / SEC as f64;
    let sent = fleet.sent(from) as f64;
    assert!(
        sent < 1.25 * bears,
        "{sent} sent to an endpoint that bears {bears}"
    );
    // Each of the four endpoints bears a quarter.
    let space = 4.0 * 100.0 / (RATE * settings.cold_capacity_share * settings.overload_multiple);
    fleet.advance(
        Behavior::AnswersAfter(100 * MS),
        (1.5 * space * SEC as f64) as Nanos,
    );
    assert_eq!(fleet.without_delivery_since(&before), 0, "not noticed");
}

/// Regression (herd+vast): 100 dispatchers that were rate-limited at one moment all returned at one
/// moment.
#[test]
fn dispatchers_limited_at_the_same_moment_return_at_different_moments() {
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
    let fifths = fleet
        .0
        .iter()
        .flat_map(|sim| &sim.env.sent)
        .filter(|s| s.at >= from)
        .map(|s| (s.at - from) / (200 * MS));
    let mut returns = [0; 50];
    fifths.for_each(|fifth| returns[fifth as usize] += 1);
    assert_eq!(returns.iter().sum::<usize>(), 100);
    assert!(returns.iter().all(|&n| n <= 25), "{returns:?}");
}

/// Regression (zone+vast): the slow start of an endpoint that had been back for seconds began again
/// at each dispatcher that noticed it.
#[test]
fn a_return_is_dated_half_way_back_to_the_attempt_before() {
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
    // Its share of the limit is 5 a second. A slow start that began now would bear twice 0.2 to 0.6
    // of it in the four seconds: 16.
    assert!(delivered > 22, "{delivered} delivered");
}

/// Regression (quito-sede at 24.29 s and 45.20 s, big-1): many dispatchers were rate-limited at one
/// moment by a route in an outage, and 15 of 16 attempts that overloaded it at its return came from
/// them, 2 to 7 s later, each the first since.
#[test]
fn dispatchers_limited_in_an_outage_return_spread_over_many_seconds() {
    let mut returned_after = vec![];
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
        returned_after.extend(sim.env.sent.get(1).map(|s| s.at - start));
    }
    let window = |from: Nanos| {
        returned_after
            .iter()
            .filter(|&&at| (from..from + 1_500 * MS).contains(&at))
            .count()
    };
    let most = returned_after.iter().map(|&from| window(from)).max();
    assert!(
        returned_after.len() > 250 && most < Some(50),
        "{most:?} of {} within 1.5 s",
        returned_after.len()
    );
}

/// Regression (quito-sede at 48.09 s): when a route in an outage opened again, each of 313
/// dispatchers sent several waiting messages within 50 ms, before the first was rejected; 35 of 41
/// attempts that overloaded it came from those.
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
/// overloaded at its return; two thirds of the attempts came from dispatchers that had met one
/// connect timeout each, and took it for healthy.
#[test]
fn one_connect_timeout_is_an_outage_where_a_route_is_seldom_used() {
    for (dispatchers, outage) in [(300, true), (3, false)] {
        let mut sim = Simulation::with_single_endpoint(Settings {
            dispatchers,
            ..settings()
        });
        sim.env.behaviors[8] = Behavior::IsUnreachable;
        sim.submit(0, 2);
        sim.advance(SEC / 2);
        sim.env.behaviors[8] = Behavior::AnswersAfter(100 * MS);
        sim.advance(10 * SEC);
        // All dispatchers together try it no more often than a warming one bears: this one not
        // within its message's lifetime.
        assert_eq!(
            sim.env.delivered.len(),
            usize::from(!outage),
            "{:?}",
            sim.env.log_lines
        );
        assert_eq!(sim.has_logged("suspect"), outage, "{:?}", sim.env.log_lines);
    }
}

/// Regression (maadi-main i5db0fb at 13.53 s): 14 of 15 attempts that overloaded an endpoint after
/// a crash came from dispatchers that had met one or two refused connections there; the third would
/// have shown them the outage.
#[test]
fn two_refused_connections_are_an_outage_where_a_route_is_seldom_used() {
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

/// Regression (rough-1 and big-2 of maadi-main): no limit is listed, answers report them; each
/// dispatcher returned by the size of the fleet alone.
#[test]
fn a_reported_limit_replaces_a_listed_rate() {
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
    // A share of 50 a second is 2 s for 100, spread by half.
    assert!(interval(Some(50.0)) >= 800 * MS && interval(None) < 800 * MS);
}

/// The operators' rule: beyond the N attempts that a warming endpoint bears in the settings'
/// window, only 2 x root of N + 2 are allowed for chance, summed over all dispatchers, with 20 or
/// 30 as with 3 or 300, with listed rates and without.
#[test]
fn a_fleet_of_any_size_sends_no_more_than_a_warming_endpoint_bears() {
    for (dispatchers, listed) in [
        (3, false),
        (20, false),
        (30, false),
        (3, true),
        (20, true),
        (30, true),
        (300, true),
    ] {
        assert_return_overloads_nothing(dispatchers, listed);
    }
}

fn assert_return_overloads_nothing(dispatchers: u32, listed: bool) {
    let settings = settings();
    let mut fleet = Fleet::new(dispatchers, Some(RATE).filter(|_| listed));
    fleet.advance(Behavior::AnswersAfter(100 * MS), 10 * SEC);
    let down_at = fleet.now();
    fleet.advance(Behavior::IsUnreachable, 6 * SEC);
    let returned_at = fleet.now();
    fleet.advance(Behavior::AnswersAfter(100 * MS), settings.slow_start);
    // Four endpoints share the capacity of their destination: the listed rate, else a fifth over
    // what they took.
    let capacity = if listed { RATE } else { 1.2 * RATE } / 4.0;
    for endpoint in 0..4 {
        let sent = fleet.sent_after_outage(endpoint, down_at, returned_at);
        let within = |from: Nanos| {
            sent.iter()
                .filter(move |s| (from..from + settings.overload_window).contains(&s.at))
        };
        for from in sent
            .iter()
            .map(|s| s.at)
            .filter(|from| from + settings.overload_window < returned_at + settings.slow_start)
        {
            let available = settings.cold_capacity_share
                + (1.0 - settings.cold_capacity_share)
                    * (from - returned_at + settings.overload_window / 2) as f64
                    / settings.slow_start as f64;
            let bears =
                capacity * available * settings.overload_multiple * settings.overload_window as f64
                    / SEC as f64;
            let all = within(from).count();
            let informed = within(from).filter(|s| s.informed).count();
            let most = bears + 2.0 * bears.sqrt() + 2.0;
            let at = (from - returned_at) / MS;
            assert!(
                all as f64 <= most || 3 * informed <= 2 * all,
                "{dispatchers}, listed {listed}: {all} of {most:.1} from {at} ms on, {informed} of them informed"
            );
        }
    }
}
