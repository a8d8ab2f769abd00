//! What goes into the decisions and what comes out of them: ids, plain inputs and the trait of answers.

/// A time or a span, in whole nanoseconds.
pub type Nanos = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MailId(pub u64);

/// An endpoint; the front may number them as it likes, the same for as long as an instance lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct EndpointId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct DestinationId(pub u64);

/// What mails of an ordered queue class are about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u64);

/// A row of [`BootFacts::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// A row of [`BootFacts::apart`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct KindId(pub usize);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct ZoneId(pub usize);

/// The connects of one mail, counted from nought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectNo(pub u32);

/// Whether a mail may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Redeliverable,
    /// A repeat is dropped within `window` of the first send, by endpoints of the scope.
    Tagged {
        window: Nanos,
        same_zone: bool,
    },
    OnceOnly,
}

#[derive(Clone, Debug)]
pub struct ClassFacts {
    pub importance: f64,
    pub target_delay: Nanos,
    pub lifetime: Nanos,
    pub late_share: f64,
    pub repeat: Repeat,
    pub ordered: bool,
}

/// What an instance is told when it starts.
#[derive(Clone, Debug, Default)]
pub struct BootFacts {
    pub seed: u64,
    pub dispatchers: u32,
    pub classes: Vec<ClassFacts>,
    /// For each kind of destination: are its endpoints separate routes?
    pub apart: Vec<bool>,
    /// For each kind: how many mails that go to one endpoint at once make one call.
    pub batch: Vec<usize>,
    /// Past the target delay importance falls by half with each further one (else evenly).
    pub halves: bool,
    pub slots: usize,
    pub holding_room: usize,
    /// The front asks [`crate::control::Dispatcher::admits`] before it takes a mail on; else a full hold gives up mails.
    pub own_door: bool,
    pub max_connects: u32,
    pub connect_timeout: Nanos,
    /// The longest time to come back that a client heeds; nought where none is heard.
    pub max_come_back: Nanos,
    pub cold_share: f64,
    pub ramp: Nanos,
    pub tip_multiple: f64,
    pub tip_window: Nanos,
    pub key_rest: Nanos,
    /// Where lists come only to those who ask: without a watch one has to ask within this.
    pub ask_within: Option<Nanos>,
    pub tick: Nanos,
}

impl BootFacts {
    pub fn longest_lifetime(&self) -> Nanos {
        self.classes.iter().map(|row| row.lifetime).max().unwrap_or(0)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed entries only.
    Update,
    /// The whole list; what is not in it is gone.
    Whole,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct ListEntry {
    pub endpoint: EndpointId,
    pub destination: DestinationId,
    pub zone: ZoneId,
    pub kind: KindId,
    /// False when it drains or is gone.
    pub serving: bool,
    /// The connects a second that what it shares a limit with takes from all dispatchers together, as listed: up to
    /// half too high or too low. Nought where nothing is listed.
    pub rate: f64,
}

#[derive(Clone, Copy, Debug)]
pub struct NewMail {
    pub id: MailId,
    pub class: ClassId,
    pub key: Option<KeyId>,
    pub destination: DestinationId,
    /// When its queue lifetime is up.
    pub due: Nanos,
    pub past: Past,
}

/// What was done for a mail: by a former process of this dispatcher, and by this one so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Past {
    pub connects: u32,
    /// The first connect that may have run: when it was sent, and the zone it went to.
    pub ran: Option<(Nanos, ZoneId)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Relayed,
    /// The destination answered with an error; it may have run.
    Errored,
    /// Refused as full, with the wait told (nought: none).
    Full(Nanos),
    TimedOut,
    /// No connection could be had.
    Unconnected,
    Reset,
    /// An answer came that cannot be read; it may have run.
    Spoilt,
    CalledOff,
    /// Not sent at all; true: no slot was free.
    Unsent(bool),
}

impl Outcome {
    /// Whether the outcome leaves it open that the mail ran.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Full(_) | Outcome::Unconnected | Outcome::Unsent(_))
    }
}

#[derive(Clone, Copy, Debug)]
pub struct ConnectEnd {
    pub mail: MailId,
    pub no: ConnectNo,
    pub outcome: Outcome,
    /// The mail is over by this outcome or was before.
    pub over: bool,
    /// Time since it was sent.
    pub took: Nanos,
    /// The connects a second that the limit there takes of all dispatchers, as the answer tells; nought: not told.
    pub limit: f64,
}

/// The answers of the decisions, carried out by whatever front stands before them.
pub trait Outlet {
    fn connect(&mut self, mail: MailId, endpoint: EndpointId, time_out: Nanos);
    fn defer(&mut self, mail: MailId, come_back: Nanos);
    fn bounce(&mut self, mail: MailId);
    fn call_off(&mut self, mail: MailId, no: ConnectNo);
    /// Closes the idle connections to an endpoint.
    fn hang_up(&mut self, endpoint: EndpointId);
    /// The endpoint is gone and nothing is known of it any more: its number may be another's from now on.
    fn forget(&mut self, endpoint: EndpointId);
    /// Asks discovery for a watch on the list; changes or [`crate::control::Dispatcher::list_lost`] answer it.
    fn ask(&mut self);
    /// Asks for [`crate::control::Dispatcher::woken`] after this span.
    fn wake(&mut self, after: Nanos);
    fn log(&mut self, line: &str);
}
