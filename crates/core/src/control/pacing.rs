//! Pacing: the intervals between sends to a limiter, to a route that is warming up and to an
//! ejected one.

use crate::interface::{Nanos, Settings};
use crate::state::routes::{Limiter, Route, Routes};
use crate::units::MS;

/// Up to this number of dispatchers each of them uses each route often.
const SMALL_FLEET: f64 = 3.0;
/// In a larger fleet waits grow by this power of the ratio to a small one.
const FLEET_POWER: f64 = 0.65;
/// The first pacing interval after a rate-limited attempt.
const PACING_STEP: Nanos = 40 * MS;
/// The longest pacing interval: it must not outlive a long closure.
const MAX_PACING_INTERVAL: Nanos = 1_000 * MS;
/// The part by which a delivery shortens the pacing interval.
const PACING_DECREASE: f64 = 0.15;
/// For a limiter of known rate: the longest pacing interval, in fair intervals (the first is one).
const MAX_FAIR_INTERVALS: f64 = 4.0;
/// The least spacing, over all dispatchers together, to a warming route that had hardly any
/// traffic.
const WARMING_SPACING: Nanos = 700 * MS;
/// The same for an ejected route.
const EJECTED_SPACING: Nanos = 300 * MS;
/// What a warm route is taken to bear, as a multiple of its traffic.
const TRAFFIC_HEADROOM: f64 = 1.2;
/// The time constant with which the traffic of a route decays.
const TRAFFIC_SPAN_NANOS: f64 = 8e9;

/// Whether all dispatchers can have messages for a limiter of this rate at once: they wait half
/// their lifetime there.
fn is_contended(settings: &Settings, rate: f64) -> bool {
    rate * settings.longest_lifetime() as f64 / 2e9 >= f64::from(settings.dispatchers)
}

impl Route {
    /// The factor by which waits are longer because many dispatchers use the same limiter.
    pub(super) fn fleet_factor(&self, settings: &Settings) -> f64 {
        let many = (f64::from(settings.dispatchers) / SMALL_FLEET)
            .max(1.0)
            .powf(FLEET_POWER);
        if self.contended_interval(settings).is_some() {
            1.0
        } else {
            many
        }
    }

    /// The time in which the limiter, at its known rate, takes one attempt of each dispatcher.
    pub(super) fn fair_interval(&self, settings: &Settings) -> Option<f64> {
        self.entry
            .rate_limit
            .map(|rate| f64::from(settings.dispatchers) * 1e9 / rate)
            .filter(|&interval| interval > 0.0)
    }

    /// The fair interval of a limiter for which all dispatchers can have messages at once.
    fn contended_interval(&self, settings: &Settings) -> Option<f64> {
        self.fair_interval(settings).filter(|_| {
            self.entry
                .rate_limit
                .is_some_and(|rate| is_contended(settings, rate))
        })
    }

    /// In a large fleet a limiter that opens gets one message of each dispatcher, and the next once
    /// that is answered.
    pub(super) fn first_pacing_interval(&self, settings: &Settings) -> Nanos {
        ((PACING_STEP as f64 * self.fleet_factor(settings)) as Nanos).min(MAX_PACING_INTERVAL)
    }

    /// Brings the traffic up to date, and adds to it.
    pub(super) fn observe_traffic(&mut self, now: Nanos, delivered: f64) {
        self.add_traffic(now, delivered, TRAFFIC_SPAN_NANOS);
    }
}

impl Limiter {
    /// Shortens the pacing interval after a delivery.
    pub(super) fn narrow_pacing(&mut self) {
        self.rate_limited_since = None;
        let interval = self.pacing_interval as f64 * (1.0 - PACING_DECREASE);
        self.pacing_interval = if interval < PACING_STEP as f64 / 4.0 {
            0
        } else {
            interval as Nanos
        };
    }
}

impl Routes {
    /// Adopts the rate that an answer reports.
    pub(super) fn observe_reported_rate(&mut self, settings: &Settings, route: usize, rate: f64) {
        if is_contended(settings, rate) {
            let sharing = self.sharing_limiter(route);
            sharing
                .into_iter()
                .for_each(|sibling| self[sibling].entry.rate_limit = Some(rate));
        }
    }

    /// Doubles the pacing interval after a rate-limited attempt, with jitter because many are
    /// rejected at once.
    pub(super) fn widen_pacing(&mut self, settings: &Settings, route: usize) {
        let contended_interval = self[self[route].limiter_route].contended_interval(settings);
        let fair = contended_interval.unwrap_or(0.0) * self[route].jitter;
        let least = self[route]
            .first_pacing_interval(settings)
            .max(fair as Nanos);
        let most = MAX_PACING_INTERVAL.max((MAX_FAIR_INTERVALS * fair) as Nanos);
        let limiter = self.limiter_mut(route);
        limiter.pacing_interval = (limiter.pacing_interval * 2).clamp(least, most);
    }

    /// The interval between sends to a warming or ejected route, by the available part of its
    /// capacity and this dispatcher's former traffic. With next to none, all dispatchers together
    /// send one in `least`.
    fn spacing(&self, settings: &Settings, number: usize, available: f64, least: Nanos) -> Nanos {
        let route = &self[number];
        let rate = route.traffic / TRAFFIC_SPAN_NANOS
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
        (spacing.min(f64::from(settings.dispatchers) * least as f64) * route.jitter) as Nanos
    }

    /// When the slow start of a warming route, or the spacing of an ejected one, allows the next
    /// send.
    pub(super) fn spaced_until(&self, settings: &Settings, now: Nanos, number: usize) -> Nanos {
        let (route, cold) = (&self[number], settings.cold_capacity_share);
        let mut at = 0;
        if let Some(since) = route.warming_since.filter(|_| !route.suspect) {
            let progress = ((now - since) as f64 / settings.slow_start as f64).min(1.0);
            let available = cold + (1.0 - cold) * progress;
            at = route.last_sent_at + self.spacing(settings, number, available, WARMING_SPACING);
        }
        if route.ejected {
            // All dispatchers learn from a Retry-After when the route opens: the spacing spreads
            // them before and after.
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
