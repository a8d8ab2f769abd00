//! How often something goes to a limit, to a cold route, and to one that was struck.

use super::*;

/// Up to so many dispatchers see each route often; with more, untold waits grow by a power of the ratio.
const FEW: f64 = 3.0;
const CROWD_POWER: f64 = 0.65;
/// The gap: its first step, its cap (a shut route refuses long; its gap must not outlive it), its share.
const GAP_STEP: Nanos = 40 * MS;
const LONGEST_GAP: Nanos = 1_000 * MS;
const GAP_SHARE: f64 = 0.15;
/// Where a limit is listed the first gap is a share of it, the longest so many.
const MOST_SHARES: f64 = 4.0;
/// Between sends of all dispatchers together to a cold route that had hardly any traffic, or a struck one.
const COLD_REST: Nanos = 700 * MS;
const STRUCK_REST: Nanos = 300 * MS;
/// What a warm route can take over what it took, and over how long that is averaged.
const COLD_ROOM: f64 = 1.2;
const TRAFFIC_SPAN: f64 = 8e9;

impl Dispatcher {
    /// How much longer the waits are for the number of dispatchers.
    pub(super) fn crowd(&self, route: usize) -> f64 {
        let many = (f64::from(self.facts.dispatchers) / FEW).max(1.0).powf(CROWD_POWER);
        if self.pace(route) > 0.0 { 1.0 } else { many }
    }

    /// The time in which its limit, as listed, takes one connect of each dispatcher; nought where none is.
    pub(super) fn share(&self, route: usize) -> f64 {
        let rate = self.routes[route].entry.rate;
        if rate > 0.0 { f64::from(self.facts.dispatchers) * 1e9 / rate } else { 0.0 }
    }

    /// Whether all can have mails for a limit at once: at one always met a mail waits half its lifetime.
    fn paces(&self, rate: f64) -> bool {
        rate * self.facts.longest_lifetime() as f64 / 2e9 >= f64::from(self.facts.dispatchers)
    }

    fn pace(&self, route: usize) -> f64 {
        if self.paces(self.routes[route].entry.rate) { self.share(route) } else { 0.0 }
    }

    /// Takes the rate that an answer tells, where it paces.
    pub(super) fn learn_rate(&mut self, route: usize, told: f64) {
        if self.paces(told) {
            self.routes.bound(route).into_iter().for_each(|bound| self.routes[bound].entry.rate = told);
        }
    }

    /// The first gap. One that opens again in a crowd gets one mail of each first, and the next once that is
    /// answered.
    pub(super) fn gap_step(&self, route: usize) -> Nanos {
        ((GAP_STEP as f64 * self.crowd(route)) as Nanos).min(LONGEST_GAP)
    }

    /// Something was refused.
    pub(super) fn widen_gap(&mut self, route: usize) {
        let gate = self.routes[route].gate;
        let share = self.pace(gate) * self.routes[route].stretch; // Many are refused at once.
        let least = self.gap_step(route).max(share as Nanos);
        let most = LONGEST_GAP.max((MOST_SHARES * share) as Nanos);
        let limit = self.routes.limit_mut(route);
        limit.gap = (limit.gap * 2).clamp(least, most);
    }

    /// Something was relayed.
    pub(super) fn narrow_gap(&mut self, route: usize) {
        let limit = self.routes.limit_mut(route);
        limit.refused_since = None;
        let gap = limit.gap as f64 * (1.0 - GAP_SHARE);
        limit.gap = if gap < GAP_STEP as f64 / 4.0 { 0 } else { gap as Nanos };
    }

    /// The space between sends to a cold or struck route: a part of what a cold one bears, by its own former
    /// traffic. Where it had next to none, all together go by one mail in `least`.
    fn space(&self, route: usize, warm: f64, least: Nanos) -> Nanos {
        let facts = &self.facts;
        let rate = self.routes[route].traffic / TRAFFIC_SPAN * COLD_ROOM * warm * facts.tip_multiple;
        let space = match self.share(route) {
            0.0 => 1.0 / rate.max(1e-18),
            share => share * self.routes.bound(route).len() as f64 / (warm * facts.tip_multiple),
        };
        (space.min(f64::from(facts.dispatchers) * least as f64) * self.routes[route].stretch) as Nanos
    }

    /// When the ramp of a cold route, or what a struck one bears, allows the next send.
    pub(super) fn bears_at(&self, number: usize) -> Nanos {
        let (route, cold) = (&self.routes[number], self.facts.cold_share);
        let mut at = 0;
        if let Some(since) = route.cold_since.filter(|_| !route.suspect) {
            let ramp = ((self.now - since) as f64 / self.facts.ramp as f64).min(1.0);
            at = route.sent_at + self.space(number, cold + (1.0 - cold) * ramp, COLD_REST);
        }
        if route.struck {
            // Those told when a shut route opens come apart.
            let space = self.space(number, cold, STRUCK_REST);
            at = at.max(route.sent_at.max(route.closed_until.saturating_sub(space / 2)) + space);
        }
        at
    }
}

impl Route {
    /// Lets the route's traffic fade up to now and adds to it, while the route is open and sound.
    pub(super) fn count(&mut self, now: Nanos, relayed: f64) {
        if self.open() && !self.struck {
            let faded = (-((now - self.traffic_at) as f64) / TRAFFIC_SPAN).exp();
            self.traffic = self.traffic * faded + relayed;
            self.traffic_at = now;
        }
    }
}
