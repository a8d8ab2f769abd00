//! Settings of the simulated dispatchers.

use bellsill_core::interface::{
    ClassSettings, DeduplicationScope, DeliverySemantics, Nanos, Settings, ValueDecay,
};

pub(crate) const MS: Nanos = 1_000_000;
pub(crate) const SEC: Nanos = 1_000 * MS;
/// The lifetime of all classes.
pub(crate) const LIFETIME: Nanos = 12 * SEC;

/// Settings for three destinations with four endpoints each. The endpoints of the last destination
/// have separate limiters.
pub(crate) fn settings() -> Settings {
    let class = |priority_weight, semantics, ordered| ClassSettings {
        priority_weight,
        latency_objective: 2 * SEC,
        lifetime: LIFETIME,
        late_value_share: 0.4,
        semantics,
        ordered,
    };
    let with_key = |scope| DeliverySemantics::IdempotencyKey {
        window: 6 * SEC,
        scope,
    };
    Settings {
        dispatcher_index: Some(0),
        seed: 7,
        dispatchers: 1,
        classes: vec![
            class(1.0, DeliverySemantics::Idempotent, false),
            class(2.0, with_key(DeduplicationScope::Destination), false),
            class(2.0, with_key(DeduplicationScope::Zone), true),
            class(4.0, DeliverySemantics::AtMostOnce, true),
        ],
        per_endpoint_limits: vec![false, true],
        max_batch: vec![],
        value_decay: ValueDecay::Linear,
        max_in_flight: 8,
        queue_capacity: 60,
        caller_admission: false,
        max_attempts: 6,
        connect_timeout: SEC,
        max_retry_after: Some(2 * SEC),
        cold_capacity_share: 0.2,
        slow_start: 10 * SEC,
        overload_multiple: 2.0,
        overload_window: 2 * SEC,
        key_cooldown: 100 * MS,
        max_watch_request_delay: None,
        clock_resolution: 5 * MS,
    }
}
