//! Pacing: the intervals between sends to a limiter, to a cold route and to an ejected one.

use super::*;

/// Up to this number dispatchers see each route often; in a larger fleet waits grow by a power of the ratio.
const SMALL_FLEET: f64 = 3.0;
const FLEET_POWER: f64 = 0.65;
/// The first pacing interval after a refusal, and the longest (it must not outlive a long closure).
const PACING_STEP: Nanos = 40 * MS;
const MAX_PACING_INTERVAL: Nanos = 1_000 * MS;
/// By which part a delivery shortens the pacing interval.
const PACING_DECREASE: f64 = 0.15;
/// For a limiter of known rate: the longest pacing interval, in fair intervals (the first is one).
const MAX_FAIR_INTERVALS: f64 = 4.0;
/// The least spacing, over all dispatchers together, to a cold or ejected route that had hardly any traffic.
const COLD_SPACING: Nanos = 700 * MS;
const EJECTED_SPACING: Nanos = 300 * MS;
/// What a warm route is taken to bear, as a multiple of its traffic, and the time constant of the traffic.
const TRAFFIC_HEADROOM: f64 = 1.2;
const TRAFFIC_SPAN: f64 = 8e9;

impl Dispatcher {
    /// By how much waits are longer because many dispatchers meet at the same limiter.
    pub(super) fn fleet_factor(&self, route: usize) -> f64 {
        let many = (f64::from(self.settings.dispatchers) / SMALL_FLEET)
            .max(1.0)
            .powf(FLEET_POWER);
        if self.contended_interval(route) > 0.0 {
            1.0
        } else {
            many
        }
    }

    /// The time in which the limiter, at its known rate, takes one attempt of each dispatcher; else nought.
    pub(super) fn fair_interval(&self, route: usize) -> f64 {
        let rate = self.routes[route].entry.rate;
        rate.map_or(0.0, |rate| {
            f64::from(self.settings.dispatchers) * 1e9 / rate
        })
    }

    /// Whether all dispatchers can have messages for a limiter at once: they wait half their lifetime there.
    fn is_contended(&self, rate: f64) -> bool {
        rate * self.settings.longest_lifetime() as f64 / 2e9 >= f64::from(self.settings.dispatchers)
    }

    fn contended_interval(&self, route: usize) -> f64 {
        let rate = self.routes[route].entry.rate;
        if rate.is_some_and(|rate| self.is_contended(rate)) {
            self.fair_interval(route)
        } else {
            0.0
        }
    }

    /// Adopts the rate that an answer reports.
    pub(super) fn observe_rate(&mut self, route: usize, rate: f64) {
        if self.is_contended(rate) {
            let sharing = self.routes.sharing_limiter(route);
            sharing
                .into_iter()
                .for_each(|sibling| self.routes[sibling].entry.rate = Some(rate));
        }
    }

    /// In a large fleet a limiter that opens gets one message of each, and the next once that is answered.
    pub(super) fn first_pacing_interval(&self, route: usize) -> Nanos {
        ((PACING_STEP as f64 * self.fleet_factor(route)) as Nanos).min(MAX_PACING_INTERVAL)
    }

    /// Doubles the pacing interval after a refusal, with jitter: many are refused at once.
    pub(super) fn widen_pacing(&mut self, route: usize) {
        let contended_interval = self.contended_interval(self.routes[route].limiter_route);
        let fair = contended_interval * self.routes[route].jitter;
        let least = self.first_pacing_interval(route).max(fair as Nanos);
        let most = MAX_PACING_INTERVAL.max((MAX_FAIR_INTERVALS * fair) as Nanos);
        let limiter = self.routes.limiter_mut(route);
        limiter.pacing_interval = (limiter.pacing_interval * 2).clamp(least, most);
    }

    /// Shortens the pacing interval after a delivery.
    pub(super) fn narrow_pacing(&mut self, route: usize) {
        let limiter = self.routes.limiter_mut(route);
        limiter.refused_since = None;
        let interval = limiter.pacing_interval as f64 * (1.0 - PACING_DECREASE);
        limiter.pacing_interval = if interval < PACING_STEP as f64 / 4.0 {
            0
        } else {
            interval as Nanos
        };
    }

    /// The interval between sends to a cold or ejected route, by the warm part of its capacity and this
    /// dispatcher's former traffic. With next to none, all dispatchers together send one in `least`.
    fn spacing(&self, route: usize, warm: f64, least: Nanos) -> Nanos {
        let facts = &self.settings;
        let rate = self.routes[route].traffic / TRAFFIC_SPAN
            * TRAFFIC_HEADROOM
            * warm
            * facts.overload_multiple;
        let spacing = match self.fair_interval(route) {
            0.0 => 1.0 / rate.max(1e-18),
            fair => {
                fair * self.routes.sharing_limiter(route).len() as f64
                    / (warm * facts.overload_multiple)
            }
        };
        (spacing.min(f64::from(facts.dispatchers) * least as f64) * self.routes[route].jitter)
            as Nanos
    }

    /// When the ramp of a cold route, or the spacing of an ejected one, allows the next send.
    pub(super) fn spaced_until(&self, number: usize) -> Nanos {
        let (route, cold) = (&self.routes[number], self.settings.cold_capacity_share);
        let mut at = 0;
        if let Some(since) = route.cold_since.filter(|_| !route.suspect) {
            let ramp = ((self.now - since) as f64 / self.settings.slow_start as f64).min(1.0);
            at = route.sent_at + self.spacing(number, cold + (1.0 - cold) * ramp, COLD_SPACING);
        }
        if route.ejected {
            // All dispatchers learn from a retry-after when the route opens: they come at different times.
            let spacing = self.spacing(number, cold, EJECTED_SPACING);
            at = at.max(
                route
                    .sent_at
                    .max(route.suspended_until.saturating_sub(spacing / 2))
                    + spacing,
            );
        }
        at
    }

    /// Brings the traffic of a route up to date, and adds to it.
    pub(super) fn update_traffic(&mut self, route: usize, delivered: f64) {
        self.routes[route].update_traffic(self.now, delivered, TRAFFIC_SPAN);
    }
}
