//! Settings of the auditor: the simulated environment and the tolerances of the checks.

use bellsill_core::interface::{ClassSettings, Nanos};

pub(super) const MILLISECOND: Nanos = 1_000_000;

/// Tolerances added to the limits of the rules.
#[derive(Clone, Copy, Debug)]
pub struct Slack {
    /// Time after the queue lifetime within which a message must have ended.
    pub ending: Nanos,
    /// Added to the other time limits on sending: drain grace period, deadline, deduplication window and ending.
    pub time: Nanos,
    /// Time from writing a Retry-After until the dispatcher must respect it.
    pub retry_after: Nanos,
    /// Maximum time between two events that may be observed out of order.
    pub reordering: Nanos,
    /// Time within which a message must be rejected or failed once no further attempt is possible.
    pub exhausted: Nanos,
    /// Time after a dispatcher is ready again within which overdue messages must be reported as ended.
    pub ready: Nanos,
}

impl Slack {
    /// For runs with real processes on loopback sockets.
    pub const SOCKETS: Slack = Slack {
        ending: 300 * MILLISECOND,
        time: 50 * MILLISECOND,
        retry_after: 100 * MILLISECOND,
        reordering: 60 * MILLISECOND,
        exhausted: 1_500 * MILLISECOND,
        ready: 1_500 * MILLISECOND,
    };
    /// For runs in virtual time, where the order of events is exact.
    pub const VIRTUAL: Slack = Slack {
        ending: MILLISECOND,
        time: MILLISECOND,
        retry_after: 0,
        reordering: 0,
        exhausted: 1_500 * MILLISECOND,
        ready: 1_500 * MILLISECOND,
    };
}

/// An endpoint as the auditor knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuditedEndpoint {
    /// Zone of the endpoint.
    pub zone: usize,
    /// Number of the rate limit that a Retry-After applies to; shared by endpoints with a common limit.
    pub rate_limit: usize,
}

impl AuditedEndpoint {
    /// Placeholder for an endpoint that was never announced.
    pub(super) const UNKNOWN: AuditedEndpoint = AuditedEndpoint {
        zone: usize::MAX,
        rate_limit: usize::MAX,
    };
}

/// Configuration of the auditor; everything else is learnt from observations.
#[derive(Clone, Debug)]
pub struct AuditSettings {
    /// Queue classes, indexed by number.
    pub classes: Vec<ClassSettings>,
    /// Endpoints, indexed by number.
    pub endpoints: Vec<AuditedEndpoint>,
    /// Time during which a draining endpoint may still receive new attempts.
    pub drain_grace: Nanos,
    /// Cooldown of a key after an attempt without a response.
    pub key_cooldown: Nanos,
    /// Maximum number of attempts per message.
    pub max_attempts: u32,
    /// Tolerances of the checks.
    pub slack: Slack,
}
