//! Pacing: the minimum intervals between sends to a rate limiter, to a route that is warming up and
//! to an ejected route.

use crate::interface::{Nanos, Settings};
use crate::state::routes::{Limiter, Route, Routes};
use crate::units::MS;

/// Up to this number of dispatchers, each dispatcher uses every route often.
const SMALL_FLEET_SIZE: f64 = 3.0;
/// In a larger fleet, waits grow with the ratio of its size to `SMALL_FLEET_SIZE`, raised to this
/// power.
const FLEET_EXPONENT: f64 = 0.65;
/// The pacing interval after the first rate-limited attempt, before scaling by the fleet factor.
const INITIAL_PACING_INTERVAL: Nanos = 40 * MS;
/// The maximum pacing interval, so that pacing does not outlast a long outage of the limiter.
const MAX_PACING_INTERVAL: Nanos = 1_000 * MS;
/// The fraction by which a delivery shortens the pacing interval.
const PACING_DECREASE: f64 = 0.15;
/// The maximum pacing interval for a limiter with a known rate, as a multiple of the fair interval.
/// The initial pacing interval of such a limiter is one fair interval.
const MAX_FAIR_INTERVALS: f64 = 4.0;
/// The maximum spacing, over all dispatchers together, between sends to a warming route that had
/// little traffic.
const WARMING_SPACING: Nanos = 700 * MS;
/// The equivalent of `WARMING_SPACING` for an ejected route.
const EJECTED_SPACING: Nanos = 300 * MS;
/// The assumed capacity of a warm route, as a multiple of its recent traffic.
const TRAFFIC_HEADROOM: f64 = 1.2;
/// The time constant of the exponential decay of a route's traffic.
const TRAFFIC_TIME_CONSTANT_NANOS: f64 = 8e9;

/// Whether all dispatchers can have messages for a limiter of this rate at the same time, assuming
/// that messages wait for half of the longest lifetime.
fn is_contended(settings: &Settings, rate: f64) -> bool {
    rate * settings.longest_lifetime() as f64 / 2e9 >= f64::from(settings.dispatchers)
}

impl Route {
    /// The factor by which waits are extended because many dispatchers use the same limiter; 1 for
    /// a limiter whose known rate determines the waits.
    pub(super) fn fleet_factor(&self, settings: &Settings) -> f64 {
        let by_fleet_size = (f64::from(settings.dispatchers) / SMALL_FLEET_SIZE)
            .max(1.0)
            .powf(FLEET_EXPONENT);
        if self.contended_interval(settings).is_some() {
            1.0
        } else {
            by_fleet_size
        }
    }

    /// The time a limiter of known rate takes to admit one attempt from each dispatcher.
    pub(super) fn fair_interval(&self, settings: &Settings) -> Option<f64> {
        self.entry
            .rate_limit
            .map(|rate| f64::from(settings.dispatchers) * 1e9 / rate)
            .filter(|&interval| interval > 0.0)
    }

    /// The fair interval of a contended limiter; `None` for any other.
    fn contended_interval(&self, settings: &Settings) -> Option<f64> {
        self.fair_interval(settings).filter(|_| {
            self.entry
                .rate_limit
                .is_some_and(|rate| is_contended(settings, rate))
        })
    }

    /// The initial pacing interval. In a large fleet it is long enough that a limiter that accepts
    /// attempts again gets one message from each dispatcher, and the next only after the answer.
    pub(super) fn first_pacing_interval(&self, settings: &Settings) -> Nanos {
        ((INITIAL_PACING_INTERVAL as f64 * self.fleet_factor(settings)) as Nanos)
            .min(MAX_PACING_INTERVAL)
    }

    /// Decays the traffic up to now and adds the delivered messages.
    pub(super) fn observe_traffic(&mut self, now: Nanos, delivered: f64) {
        self.add_traffic(now, delivered, TRAFFIC_TIME_CONSTANT_NANOS);
    }
}

impl Limiter {
    /// Shortens the pacing interval after a delivery.
    pub(super) fn narrow_pacing(&mut self) {
        self.rate_limited_since = None;
        let interval = self.pacing_interval as f64 * (1.0 - PACING_DECREASE);
        self.pacing_interval = if interval < INITIAL_PACING_INTERVAL as f64 / 4.0 {
            0
        } else {
            interval as Nanos
        };
    }
}

impl Routes {
    /// Adopts the rate that an answer reported, if the limiter is contended at that rate.
    pub(super) fn observe_reported_rate(&mut self, settings: &Settings, route: usize, rate: f64) {
        if is_contended(settings, rate) {
            let sharing = self.sharing_limiter(route);
            sharing
                .into_iter()
                .for_each(|sibling| self[sibling].entry.rate_limit = Some(rate));
        }
    }

    /// Doubles the pacing interval after a rate-limited attempt, with jitter because many attempts
    /// are rejected at the same time.
    pub(super) fn widen_pacing(&mut self, settings: &Settings, route: usize) {
        let contended_interval = self[self[route].limiter_route].contended_interval(settings);
        let fair = contended_interval.unwrap_or(0.0) * self[route].jitter;
        let min_interval = self[route]
            .first_pacing_interval(settings)
            .max(fair as Nanos);
        let max_interval = MAX_PACING_INTERVAL.max((MAX_FAIR_INTERVALS * fair) as Nanos);
        let limiter = self.limiter_mut(route);
        limiter.pacing_interval = (limiter.pacing_interval * 2).clamp(min_interval, max_interval);
    }

    /// The interval between sends to a warming or ejected route, from the available share of its
    /// capacity and either its known rate or this dispatcher's earlier traffic. Capped so that all
    /// dispatchers together send at least one attempt per `max_fleet_spacing`, before jitter.
    fn spacing(
        &self,
        settings: &Settings,
        number: usize,
        available: f64,
        max_fleet_spacing: Nanos,
    ) -> Nanos {
        let route = &self[number];
        let rate = route.traffic / TRAFFIC_TIME_CONSTANT_NANOS
            * TRAFFIC_HEADROOM
            * available
            * settings.overload_multiple;
        let spacing = match route.fair_interval(settings) {
            None => 1.0 / rate.max(1e-18),
            Some(fair) => {
                fair * self.sharing_limiter(number).len() as f64
                    / (available * settings.overload_multiple)
            }
        };
        (spacing.min(f64::from(settings.dispatchers) * max_fleet_spacing as f64) * route.jitter)
            as Nanos
    }

    /// The earliest time at which the slow start of a warming route, or the spacing of an ejected
    /// one, allows the next send.
    pub(super) fn spaced_until(&self, settings: &Settings, now: Nanos, number: usize) -> Nanos {
        let (route, cold) = (&self[number], settings.cold_capacity_share);
        let mut at = 0;
        if let Some(since) = route.warming_since.filter(|_| !route.suspect) {
            let progress = ((now - since) as f64 / settings.slow_start as f64).min(1.0);
            let available = cold + (1.0 - cold) * progress;
            at = route.last_sent_at + self.spacing(settings, number, available, WARMING_SPACING);
        }
        if route.ejected {
            // A Retry-After gives all dispatchers the same time at which the route reopens. The
            // jittered spacing, counted from half an interval before it, spreads their sends.
            let spacing = self.spacing(settings, number, cold, EJECTED_SPACING);
            at = at.max(
                route
                    .last_sent_at
                    .max(route.suspended_until.saturating_sub(spacing / 2))
                    + spacing,
            );
        }
        at
    }
}
