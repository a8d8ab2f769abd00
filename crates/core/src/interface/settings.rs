//! The settings that an instance starts with.

use super::ids::Nanos;

/// Whether a message that may have run may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliverySemantics {
    /// It may run any number of times.
    Idempotent,
    /// Endpoints recognise its idempotency key and drop a repeat.
    IdempotencyKey {
        /// How long after the first attempt a repeat is dropped.
        window: Nanos,
        /// Which endpoints drop it.
        scope: DeduplicationScope,
    },
    /// It may not run again.
    AtMostOnce,
}

/// Which endpoints of a destination share their knowledge of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    Destination,
    /// Those of one zone.
    Zone,
}

/// How the value of a message decays once it is older than its latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ValueDecay {
    /// Evenly, down to the late value at the end of the lifetime.
    #[default]
    Linear,
    /// By half with each further latency objective, but never below the late value.
    Halving,
}

/// The settings of a queue class.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// The value of a message that is delivered within the latency objective.
    pub priority_weight: f64,
    /// Up to this age a message counts in full.
    pub latency_objective: Nanos,
    /// At this age a message has to have its final answer.
    pub lifetime: Nanos,
    /// The share of the priority weight that is left at the end of the lifetime.
    pub late_value_share: f64,
    /// Whether messages may be sent again.
    pub semantics: DeliverySemantics,
    /// Messages of the same key are delivered in order.
    pub ordered: bool,
}

/// The settings of one instance.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The seed of the instance's random numbers.
    pub seed: u64,
    /// How many dispatchers there are.
    pub dispatchers: u32,
    /// Which of them this is, counted from zero; `None` where the settings do not say.
    pub dispatcher_index: Option<u32>,
    /// The queue classes.
    pub classes: Vec<ClassSettings>,
    /// For each kind: whether each endpoint has a limiter of its own.
    pub per_endpoint_limits: Vec<bool>,
    /// For each kind: how many messages that are sent to one endpoint at once share a call.
    pub max_batch: Vec<usize>,
    /// How the value of late messages decays.
    pub value_decay: ValueDecay,
    /// How many calls may be in flight.
    pub max_in_flight: usize,
    /// How many messages may be pending.
    pub queue_capacity: usize,
    /// The caller asks [`Dispatcher::admits`](crate::control::Dispatcher::admits) before it accepts
    /// a message; otherwise messages of a full queue are given up.
    pub caller_admission: bool,
    /// How many attempts a message may have.
    pub max_attempts: u32,
    /// How long a connection may take to come up.
    pub connect_timeout: Nanos,
    /// The longest Retry-After that clients respect; `None` where they respect none.
    pub max_retry_after: Option<Nanos>,
    /// The part of its capacity that an endpoint has at the beginning of its slow start.
    pub cold_capacity_share: f64,
    /// How long a slow start takes.
    pub slow_start: Nanos,
    /// The multiple of its capacity that an endpoint in slow start bears for the span of
    /// `overload_window`.
    pub overload_multiple: f64,
    /// For how long an endpoint in slow start bears `overload_multiple`.
    pub overload_window: Nanos,
    /// How long after an attempt that may still run the next message of its key waits.
    pub key_cooldown: Nanos,
    /// Where endpoint lists come only on request: the time within which a watch has to be
    /// requested.
    pub max_watch_request_delay: Option<Nanos>,
    /// The resolution of the caller's clock.
    pub clock_resolution: Nanos,
}

impl Settings {
    /// The lifetime of the class that has the longest.
    pub fn longest_lifetime(&self) -> Nanos {
        self.classes
            .iter()
            .map(|class| class.lifetime)
            .max()
            .unwrap_or(0)
    }

    /// The value, by the settings, of a message of the class with this deadline if it is delivered
    /// at `at`.
    pub fn value_at(&self, class: usize, deadline: Nanos, at: Nanos) -> f64 {
        let class = &self.classes[class];
        if at >= deadline {
            return 0.0;
        }
        let age = at.saturating_sub(deadline.saturating_sub(class.lifetime));
        let late = age.saturating_sub(class.latency_objective) as f64;
        let share = match self.value_decay {
            ValueDecay::Halving => 0.5f64
                .powf(late / class.latency_objective as f64)
                .max(class.late_value_share),
            ValueDecay::Linear => {
                let decay_span = (class.lifetime - class.latency_objective).max(1) as f64;
                1.0 - (1.0 - class.late_value_share) * late / decay_span
            }
        };
        class.priority_weight * share
    }
}
