//! The interface of the decisions: identifiers, the events that go in, and the trait of the actions that come out.

/// A time or a duration, in whole nanoseconds.
pub type Nanos = u64;

/// A message; unique for as long as an instance lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub u64);

/// An endpoint. The front numbers them as it likes, the same for as long as an instance lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct EndpointId(pub u32);

/// A destination: the system of another firm, with several endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct DestinationId(pub u64);

/// An ordering key: the messages of an ordered class that have the same one are delivered in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u64);

/// A queue class, by its index in [`BootFacts::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// A kind of destinations, by its index in [`BootFacts::separate_limits`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct KindId(pub usize);

/// The zone of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct ZoneId(pub usize);

/// The attempts of one message, numbered from zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptNumber(pub u32);

/// Whether a message that may have run may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may.
    Idempotent,
    /// Endpoints drop a repeat within `window` of the first attempt: all of them, or those of the same zone.
    Deduplicated { window: Nanos, same_zone: bool },
    /// It may not.
    AtMostOnce,
}

/// The settings of a queue class.
#[derive(Clone, Debug)]
pub struct ClassFacts {
    pub importance: f64,
    /// Up to this age a message counts in full.
    pub target_delay: Nanos,
    /// At this age a message has to have its final answer.
    pub lifetime: Nanos,
    /// The share of the importance that is left at the end of the lifetime.
    pub late_share: f64,
    pub repeat: Repeat,
    /// Messages of the same key are delivered in order.
    pub ordered: bool,
}

/// The settings that an instance gets when it starts.
#[derive(Clone, Debug, Default)]
pub struct BootFacts {
    pub seed: u64,
    /// How many dispatchers there are.
    pub dispatchers: u32,
    /// Which of them this is, counted from nought; none where the settings do not say.
    pub position: Option<u32>,
    pub classes: Vec<ClassFacts>,
    /// For each kind: whether each endpoint has a limiter of its own.
    pub separate_limits: Vec<bool>,
    /// For each kind: how many messages sent to one endpoint at once share a call.
    pub batch: Vec<usize>,
    /// Past the target delay importance halves with each further one; else it falls evenly.
    pub halves: bool,
    /// How many calls may be in flight.
    pub slots: usize,
    /// How many messages may be held.
    pub holding_room: usize,
    /// The front asks [`crate::control::Dispatcher::admits`] before it accepts a message; else messages of a full
    /// hold are given up.
    pub own_admission: bool,
    pub max_attempts: u32,
    pub connect_timeout: Nanos,
    /// The longest retry-after that clients respect; nought where they respect none.
    pub max_retry_after: Nanos,
    /// The part of its capacity that a cold endpoint has.
    pub cold_share: f64,
    /// How long a cold endpoint takes to get warm.
    pub ramp: Nanos,
    /// The multiple of its capacity that a cold endpoint bears for the span of `tip_window`.
    pub tip_multiple: f64,
    pub tip_window: Nanos,
    /// How long after an attempt that may still run the next message of its key waits.
    pub key_cooldown: Nanos,
    /// Where lists come only on request: the time within which a watch has to be requested.
    pub watch_within: Option<Nanos>,
    /// The resolution of the clock.
    pub tick: Nanos,
}

impl BootFacts {
    /// The lifetime of the class that has the longest.
    pub fn longest_lifetime(&self) -> Nanos {
        self.classes
            .iter()
            .map(|class| class.lifetime)
            .max()
            .unwrap_or(0)
    }

    /// What a message of the class that is due then is worth, as the settings say, if it is delivered `at`.
    pub fn value_at(&self, class: usize, due: Nanos, at: Nanos) -> f64 {
        let class = &self.classes[class];
        let age = at.saturating_sub(due.saturating_sub(class.lifetime));
        let late = age.saturating_sub(class.target_delay) as f64;
        let share = if at >= due {
            0.0
        } else if self.halves {
            0.5f64
                .powf(late / class.target_delay as f64)
                .max(class.late_share)
        } else {
            1.0 - (1.0 - class.late_share) * late
                / (class.lifetime - class.target_delay).max(1) as f64
        };
        class.importance * share
    }
}

/// What entries of the list are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Those that changed.
    Update,
    /// All; what is not among them is gone.
    Whole,
}

/// An endpoint in the list of discovery.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListEntry {
    pub endpoint: EndpointId,
    /// A number that the endpoint has at every dispatcher, by chance: made from its name.
    pub shared_order: u32,
    pub destination: DestinationId,
    pub zone: ZoneId,
    pub kind: KindId,
    /// False when it drains or is gone.
    pub serving: bool,
    /// The attempts a second that its limiter takes from all dispatchers together, as listed: up to half too high
    /// or too low. Nought where nothing is listed.
    pub rate: f64,
    /// Until when a wait binds that the endpoint told under an entry of other contents; nought for none.
    pub waits_until: Nanos,
}

/// A message that was accepted.
#[derive(Clone, Copy, Debug)]
pub struct NewMessage {
    pub id: MessageId,
    pub class: ClassId,
    pub key: Option<KeyId>,
    pub destination: DestinationId,
    /// When its lifetime is up.
    pub due: Nanos,
    pub past: Past,
}

/// What a former process of this dispatcher did for a message.
#[derive(Clone, Copy, Debug, Default)]
pub struct Past {
    pub attempts: u32,
    /// The first attempt that may have run: when it was sent, and the zone it went to.
    pub ran: Option<(Nanos, ZoneId)>,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Relayed,
    /// The destination answered with an error; it may have run.
    Errored,
    /// Refused by a limiter, with its retry-after (nought: none).
    Full(Nanos),
    /// No answer came in time; it may have run.
    TimedOut,
    /// No connection was made.
    Unconnected,
    /// The connection broke; it may have run.
    Reset,
    /// An answer came that cannot be read; it may have run.
    Spoilt,
    /// Cancelled on request; it may have run.
    CalledOff,
    /// Not sent at all; true: no slot was free.
    Unsent(bool),
    /// The front could not begin it, for want of something of its own: it counts as no attempt.
    NotBegun,
}

impl Outcome {
    /// Whether the message may have run in spite of the outcome.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Outcome::Full(_) | Outcome::Unconnected | Outcome::Unsent(_) | Outcome::NotBegun
        )
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    pub message: MessageId,
    pub number: AttemptNumber,
    pub outcome: Outcome,
    /// The message is over by this outcome or was before.
    pub over: bool,
    /// The time since it was sent.
    pub took: Nanos,
    /// The attempts a second that the limiter takes from all dispatchers, as the answer reports; nought: none.
    pub reported_limit: f64,
}

/// The actions of the decisions, carried out at once by the front.
pub trait Outlet {
    /// Sends a message to an endpoint and awaits the answer for so long.
    fn attempt(&mut self, message: MessageId, endpoint: EndpointId, timeout: Nanos);
    /// Final answer: the client is asked to come back after so long.
    fn defer(&mut self, message: MessageId, retry_after: Nanos);
    /// Final answer: the message failed.
    fn bounce(&mut self, message: MessageId);
    /// Cancels an attempt in flight.
    fn cancel(&mut self, message: MessageId, number: AttemptNumber);
    /// Closes the idle connections to an endpoint.
    fn close_idle(&mut self, endpoint: EndpointId);
    /// An endpoint is gone and its state dropped: its number may be another's from now on.
    fn forget(&mut self, endpoint: EndpointId);
    /// Requests a watch on the list; changes or [`crate::control::Dispatcher::watch_lost`] answer it.
    fn request_watch(&mut self);
    /// Requests [`crate::control::Dispatcher::woken`] after this duration.
    fn wake(&mut self, after: Nanos);
    /// A line for the log.
    fn log(&mut self, line: &str);
}
