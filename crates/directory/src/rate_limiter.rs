//! A token bucket that limits the network bandwidth of bucket fills and transfers.

/// Nanoseconds since an arbitrary point in time that is the same for all callers.
pub type Nanos = u64;

const NANOS_PER_SECOND: f64 = 1e9;

/// The limits of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// The rate at which the bucket refills.
    pub bytes_per_second: u64,
    /// The capacity of the bucket.
    pub burst_bytes: u64,
}

/// A token bucket that a line may overdraw, so that a line longer than the capacity can still be sent.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    limits: RateLimit,
    tokens: f64,
    refilled_at: Nanos,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(limits: RateLimit, now: Nanos) -> TokenBucket {
        TokenBucket {
            limits,
            tokens: limits.burst_bytes as f64,
            refilled_at: now,
        }
    }

    /// Refills the bucket, and returns whether a line may be sent now.
    pub(crate) fn has_tokens(&mut self, now: Nanos) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / NANOS_PER_SECOND;
        let tokens = self.tokens + elapsed * self.limits.bytes_per_second as f64;
        self.tokens = tokens.min(self.limits.burst_bytes as f64);
        self.refilled_at = now;
        self.tokens > 0.0
    }

    /// Takes the tokens for a line that is sent.
    pub(crate) fn take(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }
}
