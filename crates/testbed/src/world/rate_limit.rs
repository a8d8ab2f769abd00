//! The rate limit of one route, or of all routes of a destination together.

use super::draw::interpolate;
use super::plan::RateLimitPlan;
use super::time::{MS, ms};
use crate::spec::{Kind, LimitForm};
use bellsill_core::interface::Nanos;

/// The burst that a plain rate limit allows, in seconds of its rate.
const BURST_SECONDS: f64 = 0.1;

/// The state of a limit.
#[derive(Clone, Debug, Default)]
pub struct RateLimit {
    /// For a plain rate: when the full burst is available again.
    free_at: Nanos,
    /// For a fixed window: the index of the current window.
    window: Nanos,
    /// For a fixed window: the calls counted in it.
    count: u64,
    /// The active faults that lower the limit, each with the fraction that remains.
    pub lowered: Vec<(usize, f64)>,
}

impl RateLimit {
    /// Counts a call. Returns `None` if it is within the limit, otherwise the delay after which to retry.
    pub fn call(
        &mut self,
        now: Nanos,
        plan: &RateLimitPlan,
        kind: &Kind,
        drawn: f64,
    ) -> Option<Nanos> {
        let part: f64 = self.lowered.iter().map(|l| l.1).product();
        let rate = match plan.limit {
            Some(rate) => rate * part,
            None if self.lowered.is_empty() => return None,
            None => plan.capacity * part,
        };
        let rate = rate.max(0.01);
        if kind.limit == LimitForm::Span {
            let length = ms(kind.span_ms).max(MS);
            if now / length != self.window {
                (self.window, self.count) = (now / length, 0);
            }
            let most = ((rate * length as f64 / 1e9).round() as u64).max(1);
            if self.count < most {
                self.count += 1;
                return None;
            }
            if kind.refusals_count {
                self.count += 1;
            }
            return Some(length - now % length);
        }
        let space = (1e9 / rate) as Nanos;
        let slack = space * ((rate * BURST_SECONDS) as Nanos).max(1) - space;
        if self.free_at <= now + slack {
            self.free_at = self.free_at.max(now) + space;
            return None;
        }
        if kind.refusals_count {
            // At most one second ahead, so that the limit opens again even under constant retries.
            self.free_at = (self.free_at + space).min(now + slack + 1_000 * MS);
        }
        Some(ms(interpolate(kind.told_ms, drawn)).max(self.free_at - now - slack))
    }
}
