//! Slow start of endpoints that recovered with cold caches: available capacity, collapse under overload, and load samples.

use super::effects::{Effect, ReturnLoad};
use super::endpoint::RecentCall;
use super::state::{SAMPLE_INTERVAL, Timer, World};
use super::time::ms;
use bellsill_core::interface::EndpointId;

/// Below this number of expected calls, the budget of a cold endpoint gets a larger tolerance for random variation.
const SMALL_CALL_COUNT: f64 = 30.0;

/// The number of calls in the window above which a cold endpoint collapses. `allowed` is the expected number of calls; the
/// tolerance added to it covers random variation. The acceptance test uses the same formula.
pub fn slow_start_budget(allowed: f64) -> f64 {
    let slack = if allowed < SMALL_CALL_COUNT { 3.0 } else { 2.0 };
    allowed + slack * allowed.sqrt() + slack
}

impl World {
    /// The fraction of an endpoint's capacity that is available; it grows linearly during slow start.
    pub(super) fn warm_fraction(&self, e: usize) -> f64 {
        let (r, endpoint) = (&self.plan.spec.rules, &self.endpoints[e]);
        match endpoint.cold_since {
            None => 1.0,
            Some(since) => {
                let ramp_progress = (self.now - since) as f64 / ms(r.ramp_ms).max(1) as f64;
                (r.cold_share + (1.0 - r.cold_share) * ramp_progress).min(1.0)
            }
        }
    }

    pub(super) fn workers(&self, e: usize) -> u32 {
        ((f64::from(self.plan.endpoints[e].workers) * self.warm_fraction(e)).ceil() as u32).max(1)
    }

    /// The calls per second that an endpoint can currently handle.
    pub fn capacity(&self, endpoint: EndpointId) -> f64 {
        let e = endpoint.0 as usize;
        if self.endpoints[e].in_outage() {
            0.0
        } else {
            self.plan.endpoints[e].capacity * self.warm_fraction(e)
        }
    }

    pub(super) fn note_outage_seen(&mut self, e: usize, dispatcher: usize) {
        if self.endpoints[e].in_outage() {
            self.endpoints[e].outage_seen_by.insert(dispatcher);
        }
    }

    /// Counts a call against the budget of a cold endpoint, and collapses the endpoint if the call exceeds it.
    pub(super) fn count_against_budget(&mut self, e: usize, dispatcher: usize) {
        let Some(since) = self.endpoints[e].cold_since else {
            return;
        };
        if self.endpoints[e].in_outage() {
            return;
        }
        let r = &self.plan.spec.rules;
        if self.now >= since + ms(r.ramp_ms) {
            let endpoint = &mut self.endpoints[e];
            (endpoint.cold_since, endpoint.calls_in_sample) = (None, 0);
            endpoint.recent_calls.clear();
            endpoint.outage_seen_by.clear();
            self.cold.retain(|c| *c != e);
            return;
        }
        let window = ms(r.tip_window_ms);
        let warm_capacity = self.plan.endpoints[e].capacity * self.warm_fraction(e);
        let budget = slow_start_budget(r.tip_multiple * warm_capacity * window as f64 / 1e9);
        let endpoint = &mut self.endpoints[e];
        let informed = endpoint.outage_seen_by.contains(&dispatcher);
        endpoint.calls_in_sample += 1;
        endpoint.recent_calls.push_back(RecentCall {
            at: self.now,
            informed,
        });
        while endpoint
            .recent_calls
            .front()
            .is_some_and(|c| c.at + window <= self.now)
        {
            endpoint.recent_calls.pop_front();
        }
        let all_calls = endpoint.recent_calls.len();
        if all_calls as f64 > budget {
            let informed_calls = endpoint.recent_calls.iter().filter(|c| c.informed).count();
            endpoint.collapsed = true;
            self.effects.push_back(Effect::Overloaded {
                endpoint: EndpointId(e as u32),
                informed_calls,
                all_calls,
            });
            self.collapse(e);
            self.report_reachability(e);
        }
    }

    pub(super) fn sample(&mut self) {
        let at = self.now;
        if !self.cold.is_empty() {
            let mut load = ReturnLoad {
                at,
                endpoints: self.cold.len(),
                ..Default::default()
            };
            for e in self.cold.clone() {
                load.calls += std::mem::take(&mut self.endpoints[e].calls_in_sample) as f64;
                load.capacity += self.capacity(EndpointId(e as u32)) * SAMPLE_INTERVAL as f64 / 1e9;
            }
            self.returns.push(load);
            let ramp = ms(self.plan.spec.rules.ramp_ms);
            let endpoints = &self.endpoints;
            self.cold.retain(|&e| {
                endpoints[e]
                    .cold_since
                    .is_some_and(|since| at < since + ramp)
            });
        }
        if at < self.plan.run_ends_at {
            self.schedule(at + SAMPLE_INTERVAL, Timer::Sample);
        }
    }
}
