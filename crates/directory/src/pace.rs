//! A token bucket of bytes: bounds what fillings take of a network in a second.

/// Nanoseconds since some moment that all callers share.
pub type Nanos = u64;

const SECOND: f64 = 1e9;

/// What a token bucket holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceLimits {
    pub bytes_per_second: u64,
    pub burst_bytes: u64,
}

/// A token bucket that may be overdrawn by its last taker, so that a line is never too long for it.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limits: PaceLimits,
    tokens: f64,
    refilled: Nanos,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(limits: PaceLimits, now: Nanos) -> TokenBucket {
        TokenBucket {
            limits,
            tokens: limits.burst_bytes as f64,
            refilled: now,
        }
    }

    /// Whether something may be taken now.
    pub fn is_open(&mut self, now: Nanos) -> bool {
        let elapsed = now.saturating_sub(self.refilled) as f64 / SECOND;
        let tokens = self.tokens + elapsed * self.limits.bytes_per_second as f64;
        self.tokens = tokens.min(self.limits.burst_bytes as f64);
        self.refilled = now;
        self.tokens > 0.0
    }

    /// Takes bytes that were written.
    pub fn take(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }
}
