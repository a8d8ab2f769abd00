//! The settings of a dispatcher instance, fixed at its start.

use super::ids::Nanos;

/// Whether a message may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliverySemantics {
    /// A message may be processed any number of times.
    Idempotent,
    /// Endpoints recognize the idempotency key of a message and drop duplicates.
    IdempotencyKey {
        /// How long after the first attempt duplicates are dropped.
        window: Nanos,
        /// The endpoints that drop duplicates of each other's messages.
        scope: DeduplicationScope,
    },
    /// A message must not be processed twice.
    AtMostOnce,
}

/// The endpoints of a destination that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints of the destination.
    Destination,
    /// The endpoints of the destination in one zone.
    Zone,
}

/// How the value of a message decays after its latency objective has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ValueDecay {
    /// Linearly, down to the late value at the end of the lifetime.
    #[default]
    Linear,
    /// Halved with each further latency objective, but never below the late value.
    Halving,
}

/// The settings of a queue class.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// The value of a message delivered within the latency objective.
    pub priority_weight: f64,
    /// The message age up to which a delivery has its full value.
    pub latency_objective: Nanos,
    /// The message age by which the final answer must be given.
    pub lifetime: Nanos,
    /// The share of the priority weight that remains at the end of the lifetime.
    pub late_value_share: f64,
    /// Whether messages may be sent again after an attempt that may have run.
    pub semantics: DeliverySemantics,
    /// Whether messages with the same key are delivered in order.
    pub ordered: bool,
}

/// The settings of one instance.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The seed of the random number generator.
    pub seed: u64,
    /// The number of dispatchers in the fleet.
    pub dispatchers: u32,
    /// The zero-based index of this dispatcher in the fleet, if configured.
    pub dispatcher_index: Option<u32>,
    /// The queue classes.
    pub classes: Vec<ClassSettings>,
    /// For each kind: whether every endpoint has its own limiter; otherwise the endpoints of a
    /// destination share one.
    pub per_endpoint_limits: Vec<bool>,
    /// For each kind: the maximum number of messages sent to an endpoint in one call.
    pub max_batch: Vec<usize>,
    /// How the value of late messages decays.
    pub value_decay: ValueDecay,
    /// The maximum number of calls in flight.
    pub max_in_flight: usize,
    /// The maximum number of pending messages.
    pub queue_capacity: usize,
    /// Whether the caller checks [`Dispatcher::admits`](crate::control::Dispatcher::admits) before
    /// it accepts a message. Otherwise messages are given up when the queue is full.
    pub caller_admission: bool,
    /// The maximum number of attempts per message.
    pub max_attempts: u32,
    /// The timeout for establishing a connection.
    pub connect_timeout: Nanos,
    /// The longest Retry-After that clients respect; `None` if they ignore it.
    pub max_retry_after: Option<Nanos>,
    /// The share of its capacity that an endpoint has at the start of its slow start.
    pub cold_capacity_share: f64,
    /// The duration of a slow start.
    pub slow_start: Nanos,
    /// The multiple of its available capacity that an endpoint in slow start can sustain for
    /// `overload_window`.
    pub overload_multiple: f64,
    /// How long an endpoint in slow start can sustain `overload_multiple`.
    pub overload_window: Nanos,
    /// The delay before the next message of a key after an attempt that the endpoint may still be
    /// processing.
    pub key_cooldown: Nanos,
    /// The time within which a watch on the endpoint list has to be requested, if lists are sent on
    /// request only; `None` if they are pushed.
    pub max_watch_request_delay: Option<Nanos>,
    /// The resolution of the caller's clock.
    pub clock_resolution: Nanos,
}

impl Settings {
    /// The longest lifetime of all classes.
    pub fn longest_lifetime(&self) -> Nanos {
        self.classes
            .iter()
            .map(|class| class.lifetime)
            .max()
            .unwrap_or(0)
    }

    /// The value of a message with this class and deadline if it is delivered at `at`.
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
