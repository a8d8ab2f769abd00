//! What the auditor has to know of the world, and the tolerances of its verdicts.

use bellsill_core::interface::{ClassSettings, Nanos};

pub(super) const MILLISECOND: Nanos = 1_000_000;

/// What the real world is allowed beyond the rules' own limits.
#[derive(Clone, Copy, Debug)]
pub struct Slack {
    /// Added to the queue lifetime, until a message must have ended.
    pub end: Nanos,
    /// Added to the grace period of draining and to the lifetime of what is sent.
    pub time: Nanos,
    /// After a Retry-After was written, until the dispatcher must know it.
    pub told: Nanos,
    /// Within this, two events may be observed in the wrong order.
    pub order: Nanos,
    /// Until what has been given up must be answered.
    pub given_up: Nanos,
    /// After a dispatcher is ready again, until messages that ended meanwhile must be known to have ended.
    pub ready: Nanos,
}

impl Slack {
    /// For runs with real processes on loopback sockets.
    pub const SOCKETS: Slack = Slack {
        end: 300 * MILLISECOND,
        time: 50 * MILLISECOND,
        told: 100 * MILLISECOND,
        order: 60 * MILLISECOND,
        given_up: 1_500 * MILLISECOND,
        ready: 1_500 * MILLISECOND,
    };
    /// For runs in virtual time, where the order of events is exact.
    pub const VIRTUAL: Slack = Slack {
        end: MILLISECOND,
        time: MILLISECOND,
        told: 0,
        order: 0,
        given_up: 1_500 * MILLISECOND,
        ready: 1_500 * MILLISECOND,
    };
}

/// What the auditor knows of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuditedEndpoint {
    /// Where it is.
    pub zone: usize,
    /// What its Retry-After binds: equal for endpoints that share a limit.
    pub rate_limit: usize,
}

impl AuditedEndpoint {
    /// Stands in for an endpoint that was never announced.
    pub(super) const UNKNOWN: AuditedEndpoint = AuditedEndpoint {
        zone: usize::MAX,
        rate_limit: usize::MAX,
    };
}

/// What the auditor must know of the world; everything else it observes.
#[derive(Clone, Debug)]
pub struct AuditSettings {
    /// The queue classes, by number.
    pub classes: Vec<ClassSettings>,
    /// The endpoints, by number.
    pub endpoints: Vec<AuditedEndpoint>,
    /// For how long a draining endpoint may still get something new.
    pub drain_grace: Nanos,
    /// For how long a key rests after an attempt without an answer.
    pub key_cooldown: Nanos,
    /// Attempts of one message at most.
    pub max_attempts: u32,
    /// The tolerances.
    pub slack: Slack,
}
