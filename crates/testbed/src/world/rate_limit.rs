//! The limit on what one route, or all routes of a destination together, take on.

use super::draw::interpolate;
use super::plan::RateLimitPlan;
use super::time::{MS, ms};
use crate::spec::{Kind, LimitForm};
use bellsill_core::interface::Nanos;

/// The part of a second whose calls a plain rate takes at once.
const AT_ONCE: f64 = 0.1;

/// The state of a limit.
#[derive(Clone, Debug, Default)]
pub struct RateLimit {
    /// Rate: when it will have room again for all that it takes at once.
    free_at: Nanos,
    /// Span: which one, and the calls counted in it.
    span: Nanos,
    count: u64,
    /// The parts to which faults have lowered it.
    pub lowered: Vec<(usize, f64)>,
}

impl RateLimit {
    /// None: the call is within the limit. Else the time until there is room again.
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
            if now / length != self.span {
                (self.span, self.count) = (now / length, 0);
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
        let slack = space * ((rate * AT_ONCE) as Nanos).max(1) - space;
        if self.free_at <= now + slack {
            self.free_at = self.free_at.max(now) + space;
            return None;
        }
        if kind.refusals_count {
            // Never further than a second: one that is beaten on opens again.
            self.free_at = (self.free_at + space).min(now + slack + 1_000 * MS);
        }
        Some(ms(interpolate(kind.told_ms, drawn)).max(self.free_at - now - slack))
    }
}
