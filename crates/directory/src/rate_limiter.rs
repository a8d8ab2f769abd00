//! A rate limiter: a token bucket that bounds the bytes a second that fills take of a network.

/// Nanoseconds since a moment that all callers agree on.
pub type Nanos = u64;

const NANOS_PER_SECOND: f64 = 1e9;

/// The limits of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// How fast the bucket refills.
    pub bytes_per_second: u64,
    /// What a full bucket holds.
    pub burst_bytes: u64,
}

/// A token bucket that the last line may overdraw, so that a line is never too long for it.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    limits: RateLimit,
    tokens: f64,
    refilled_at: Nanos,
}

impl TokenBucket {
    /// A full bucket.
    pub(crate) fn new(limits: RateLimit, now: Nanos) -> TokenBucket {
        TokenBucket {
            limits,
            tokens: limits.burst_bytes as f64,
            refilled_at: now,
        }
    }

    /// Whether a line may be sent now.
    pub(crate) fn is_open(&mut self, now: Nanos) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / NANOS_PER_SECOND;
        let tokens = self.tokens + elapsed * self.limits.bytes_per_second as f64;
        self.tokens = tokens.min(self.limits.burst_bytes as f64);
        self.refilled_at = now;
        self.tokens > 0.0
    }

    /// Accounts for a line that is sent.
    pub(crate) fn take(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }
}
