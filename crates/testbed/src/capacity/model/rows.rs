//! The rows of the page: what each role keeps, does and needs.

use super::super::fit::Fit;
use super::{Budgets, FullSize, Inputs, Slopes};
use bellsill_directory::line::LONGEST_LINE;

/// Who has a need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Dispatcher,
    ControlMachine,
    Carrier,
    Backlog,
    Endpoint,
    Client,
}

impl Role {
    pub const ALL: [Role; 6] = [
        Role::Dispatcher,
        Role::ControlMachine,
        Role::Carrier,
        Role::Backlog,
        Role::Endpoint,
        Role::Client,
    ];

    pub fn title(self) -> &'static str {
        match self {
            Role::Dispatcher => "A dispatcher",
            Role::ControlMachine => "A control machine",
            Role::Carrier => "What carries configuration",
            Role::Backlog => "Journal and backlog of a dispatcher",
            Role::Endpoint => "An endpoint as it is called",
            Role::Client => "A client as it is answered",
        }
    }
}

/// What of a role a row is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    State,
    Messages,
    ProcessorTime,
    Memory,
    Wire,
    Time,
}

impl Kind {
    pub fn title(self) -> &'static str {
        match self {
            Kind::State => "state",
            Kind::Messages => "messages",
            Kind::ProcessorTime => "processor time",
            Kind::Memory => "memory",
            Kind::Wire => "wire",
            Kind::Time => "time",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    Count,
    PerSecond,
    Bytes,
    BytesPerSecond,
    Cores,
    Seconds,
    Share,
}

/// Where a value comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From a slope that was measured.
    MeasuredSlope,
    /// From given or assumed figures alone.
    Assumed,
}

impl Source {
    pub fn title(self) -> &'static str {
        match self {
            Source::MeasuredSlope => "worked out from a measured slope",
            Source::Assumed => "worked out from given and assumed figures",
        }
    }
}

/// Rows that the ranking speaks of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowId {
    ConfigurationMemory,
    MessageItself,
    DestinationSearch,
    HeldPass,
    DownLines,
    ChangeWire,
    ChangeTime,
    LookUpWire,
    WholeTime,
    LongestLine,
    ControlChangeWire,
    ControlLookUpWire,
    Other,
}

/// The mechanism that carries a need, and its file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    InPlace {
        name: &'static str,
        file: &'static str,
    },
    /// There is none yet; what would carry it.
    NoneYet { wanted: &'static str },
}

/// One need: its formula, and how it is worked out.
pub struct Row {
    pub id: RowId,
    pub role: Role,
    pub kind: Kind,
    pub what: &'static str,
    pub formula: &'static str,
    pub unit: Unit,
    pub source: Source,
    /// The line whose slope the formula uses.
    pub slope: Option<fn(&Slopes) -> Fit>,
    pub value: fn(&Inputs) -> f64,
    pub budget: Option<fn(&Budgets, &FullSize) -> f64>,
    pub mechanism: Mechanism,
    /// What has to be there first: its mechanism makes this one possible, or makes it smaller.
    pub rests_on: Option<RowId>,
}

const SCOPED: Mechanism = Mechanism::InPlace {
    name: "scoped configuration",
    file: "crates/placement, crates/directory, crates/control-plane, crates/discovery-client",
};
const ROUTED: Mechanism = Mechanism::NoneYet {
    wanted: "messages routed to a holder of their destination",
};

const EMPTY: Row = Row {
    id: RowId::Other,
    role: Role::Dispatcher,
    kind: Kind::State,
    what: "",
    formula: "",
    unit: Unit::Count,
    source: Source::Assumed,
    slope: None,
    value: |_| 0.0,
    budget: None,
    mechanism: Mechanism::NoneYet { wanted: "" },
    rests_on: None,
};

const MICROSECOND: f64 = 1e-6;

impl Inputs {
    /// Cores that messages take at so many microseconds each.
    fn message_cores(&self, microseconds: f64) -> f64 {
        self.size.messages_per_dispatcher() * microseconds * MICROSECOND
    }

    /// Cores of a dispatcher for its messages altogether.
    pub fn all_message_cores(&self) -> f64 {
        let slopes = &self.slopes;
        let itself = slopes.message_by_known.at(self.known());
        let held = slopes.message_by_held.slope * self.size.backlog_per_dispatcher();
        let down = slopes.message_by_down.slope * self.down_destinations();
        self.message_cores(itself + held + down)
    }
}

/// All rows, in the order of the page.
pub fn all() -> Vec<Row> {
    [
        dispatcher(),
        control_machine(),
        carrier(),
        backlog(),
        endpoint(),
        client(),
    ]
    .into_iter()
    .flatten()
    .collect()
}

fn dispatcher() -> Vec<Row> {
    let mut rows = vec![
        Row {
            what: "destinations known",
            formula: "unscoped N; scoped 2 N / D and the cache; routed 2 N / D",
            value: |i| i.known(),
            mechanism: SCOPED,
            ..EMPTY
        },
        Row {
            id: RowId::ConfigurationMemory,
            kind: Kind::Memory,
            what: "configuration",
            formula: "bytes a destination × destinations known",
            unit: Unit::Bytes,
            source: Source::MeasuredSlope,
            slope: Some(|s| s.memory_by_known),
            value: |i| i.slopes.memory_by_known.slope * i.known(),
            budget: Some(|b, _| b.control_memory),
            mechanism: SCOPED,
            ..EMPTY
        },
        Row {
            kind: Kind::Messages,
            what: "messages taken",
            formula: "E / D",
            unit: Unit::PerSecond,
            value: |i| i.size.messages_per_dispatcher(),
            mechanism: Mechanism::InPlace {
                name: "the loop",
                file: "crates/daemon/src/event_loop.rs",
            },
            ..EMPTY
        },
    ];
    rows.extend(dispatcher_processor_time());
    rows.extend(dispatcher_control());
    rows
}

fn dispatcher_processor_time() -> Vec<Row> {
    let row = Row {
        kind: Kind::ProcessorTime,
        unit: Unit::Cores,
        source: Source::MeasuredSlope,
        ..EMPTY
    };
    vec![
        Row {
            id: RowId::MessageItself,
            what: "messages themselves",
            formula: "E / D × time a message at no destination known",
            value: |i| i.message_cores(i.slopes.message_by_known.intercept),
            budget: Some(|b, _| b.message_cores),
            mechanism: Mechanism::InPlace {
                name: "the loop",
                file: "crates/daemon/src/event_loop.rs",
            },
            ..row
        },
        Row {
            id: RowId::DestinationSearch,
            what: "search whether a destination is known",
            formula: "E / D × time a message a destination × destinations known",
            slope: Some(|s| s.message_by_known),
            value: |i| i.message_cores(i.slopes.message_by_known.slope * i.known()),
            budget: Some(|b, _| b.message_cores),
            mechanism: Mechanism::InPlace {
                name: "an index of destinations",
                file: "crates/daemon/src/endpoint/",
            },
            rests_on: Some(RowId::ConfigurationMemory),
            ..row
        },
        Row {
            id: RowId::HeldPass,
            what: "passes over all messages held",
            formula: "E / D × time a message a held one × B / D",
            slope: Some(|s| s.message_by_held),
            value: |i| {
                i.message_cores(i.slopes.message_by_held.slope * i.size.backlog_per_dispatcher())
            },
            budget: Some(|b, _| b.message_cores),
            mechanism: Mechanism::InPlace {
                name: "messages are looked through on the way out alone",
                file: "crates/daemon/src/shutdown.rs, Shutdown::is_quiet",
            },
            ..row
        },
        Row {
            id: RowId::DownLines,
            what: "passes over destinations down that messages wait for",
            formula: "E / D × time a message a destination down × those met (unscoped, scoped u N; routed u 2 N / D)",
            slope: Some(|s| s.message_by_down),
            value: |i| i.message_cores(i.slopes.message_by_down.slope * i.down_destinations()),
            budget: Some(|b, _| b.message_cores),
            mechanism: Mechanism::NoneYet {
                wanted: "messages routed to a holder; an order of waiting queues by when they open, crates/core/src/state/queues.rs",
            },
            rests_on: Some(RowId::LookUpWire),
            ..row
        },
    ]
}

fn dispatcher_control() -> Vec<Row> {
    let row = Row {
        source: Source::MeasuredSlope,
        ..EMPTY
    };
    vec![
        Row {
            id: RowId::ChangeWire,
            kind: Kind::Wire,
            what: "changes told as changes",
            formula: "C × bytes a change × destinations known / N",
            unit: Unit::BytesPerSecond,
            slope: Some(|s| s.change_bytes),
            value: |i| i.slopes.change_bytes.at(i.known()) * i.changes_told_per_second(),
            budget: Some(|b, _| b.control_bytes_per_second),
            mechanism: Mechanism::InPlace {
                name: "the watch",
                file: "crates/discovery-client/src/watch.rs, crates/daemon/src/discovery.rs",
            },
            ..row
        },
        Row {
            id: RowId::ChangeTime,
            kind: Kind::ProcessorTime,
            what: "changes told as changes",
            formula: "C × destinations known / N × time a change a destination × destinations known",
            unit: Unit::Cores,
            slope: Some(|s| s.change_time),
            value: |i| {
                i.slopes.change_time.slope * i.known() * MICROSECOND * i.changes_told_per_second()
            },
            budget: Some(|b, _| b.control_cores),
            mechanism: Mechanism::InPlace {
                name: "Delivery::apply_list",
                file: "crates/daemon/src/delivery/configuration.rs",
            },
            ..row
        },
        Row {
            id: RowId::WholeTime,
            kind: Kind::Time,
            what: "a whole list, during which nothing else is done",
            formula: "time a destination × destinations assigned",
            unit: Unit::Seconds,
            slope: Some(|s| s.whole_time),
            value: |i| i.slopes.whole_time.slope * MICROSECOND * i.assigned(),
            budget: Some(|b, _| b.change_seconds),
            mechanism: SCOPED,
            rests_on: Some(RowId::ConfigurationMemory),
            ..row
        },
        Row {
            id: RowId::LookUpWire,
            kind: Kind::Wire,
            what: "asking for destinations that are not known",
            formula: "E / D × (1 − destinations known / N) × bytes of asking, where nothing routes messages",
            unit: Unit::BytesPerSecond,
            source: Source::Assumed,
            value: |i| i.look_ups_per_second() * i.size.look_up_bytes,
            budget: Some(|b, _| b.control_bytes_per_second),
            mechanism: ROUTED,
            rests_on: Some(RowId::ConfigurationMemory),
            ..row
        },
        Row {
            kind: Kind::Time,
            what: "a start with its configuration at hand",
            formula: "time a destination × destinations assigned",
            unit: Unit::Seconds,
            slope: Some(|s| s.start_by_known),
            value: |i| i.slopes.start_by_known.slope * MICROSECOND * i.assigned(),
            mechanism: Mechanism::InPlace {
                name: "`known`",
                file: "crates/daemon/src/start.rs",
            },
            ..row
        },
    ]
}

fn control_machine() -> Vec<Row> {
    let row = Row {
        role: Role::ControlMachine,
        mechanism: SCOPED,
        ..EMPTY
    };
    vec![
        Row {
            what: "dispatchers that watch",
            formula: "D / 9",
            value: |i| i.size.watchers_per_control_machine(),
            ..row
        },
        Row {
            kind: Kind::Memory,
            what: "the whole configuration, as long as on the wire",
            formula: "bytes a destination on the wire × N",
            unit: Unit::Bytes,
            source: Source::MeasuredSlope,
            slope: Some(|s| s.whole_bytes),
            value: |i| i.slopes.whole_bytes.slope * i.size.destinations,
            ..row
        },
        Row {
            id: RowId::ControlChangeWire,
            kind: Kind::Wire,
            what: "changes told to all dispatchers that they concern",
            formula: "C × bytes a change × D / 9 × destinations known / N",
            unit: Unit::BytesPerSecond,
            source: Source::MeasuredSlope,
            slope: Some(|s| s.change_bytes),
            value: |i| {
                let told = i.changes_told_per_second() * i.size.watchers_per_control_machine();
                i.slopes.change_bytes.at(i.known()) * told
            },
            budget: Some(|b, size| b.control_machine_bytes_per_second(size)),
            ..row
        },
        Row {
            kind: Kind::Messages,
            what: "dispatchers that ask for a destination",
            formula: "E / 9 × (1 − destinations known / N), where nothing routes messages",
            unit: Unit::PerSecond,
            value: |i| i.look_ups_per_second() * i.size.watchers_per_control_machine(),
            mechanism: ROUTED,
            ..row
        },
        Row {
            id: RowId::ControlLookUpWire,
            kind: Kind::Wire,
            what: "dispatchers that ask for a destination",
            formula: "the same × bytes of asking",
            unit: Unit::BytesPerSecond,
            value: |i| {
                let asked = i.look_ups_per_second() * i.size.watchers_per_control_machine();
                asked * i.size.look_up_bytes
            },
            budget: Some(|b, size| b.control_machine_bytes_per_second(size)),
            mechanism: ROUTED,
            rests_on: Some(RowId::ConfigurationMemory),
            ..row
        },
        Row {
            kind: Kind::Time,
            what: "telling all dispatchers everything assigned to them, at what they may take",
            formula: "bytes a destination on the wire × destinations assigned / 17 KB/s",
            unit: Unit::Seconds,
            source: Source::MeasuredSlope,
            slope: Some(|s| s.whole_bytes),
            value: |i| i.assigned_bytes() / i.budgets.control_bytes_per_second,
            ..row
        },
    ]
}

fn carrier() -> Vec<Row> {
    let row = Row {
        role: Role::Carrier,
        source: Source::MeasuredSlope,
        ..EMPTY
    };
    vec![
        Row {
            id: RowId::LongestLine,
            kind: Kind::Wire,
            what: "the longest line; a dispatcher skips one that is longer than the budget",
            formula: "unscoped bytes a destination on the wire × N; scoped at most LONGEST_LINE",
            unit: Unit::Bytes,
            slope: Some(|s| s.whole_bytes),
            value: |i| match i.design {
                super::Design::Unscoped => i.assigned_bytes(),
                super::Design::Scoped | super::Design::Routed => {
                    i.assigned_bytes().min(LONGEST_LINE as f64)
                }
            },
            budget: Some(|b, _| b.line_bytes),
            mechanism: Mechanism::InPlace {
                name: "lines of at most 64 KiB",
                file: "crates/directory/src/line.rs, crates/directory/src/feed.rs",
            },
            rests_on: Some(RowId::ConfigurationMemory),
            ..row
        },
        Row {
            kind: Kind::Wire,
            what: "a change, over all dispatchers",
            formula: "bytes a change × (unscoped D; scoped and routed 2)",
            unit: Unit::Bytes,
            slope: Some(|s| s.change_bytes),
            value: |i| {
                let told = i.size.dispatchers * i.assigned() / i.size.destinations;
                i.slopes.change_bytes.at(i.known()) * told
            },
            mechanism: SCOPED,
            ..row
        },
        Row {
            kind: Kind::Wire,
            what: "all that one dispatcher is told that begins from nothing",
            formula: "bytes a destination on the wire × destinations assigned",
            unit: Unit::Bytes,
            slope: Some(|s| s.whole_bytes),
            value: |i| i.assigned_bytes(),
            mechanism: SCOPED,
            ..row
        },
    ]
}

fn backlog() -> Vec<Row> {
    let row = Row {
        role: Role::Backlog,
        source: Source::MeasuredSlope,
        ..EMPTY
    };
    vec![
        Row {
            what: "messages held",
            formula: "B / D",
            source: Source::Assumed,
            value: |i| i.size.backlog_per_dispatcher(),
            mechanism: Mechanism::InPlace {
                name: "the decisions and the daemon",
                file: "crates/daemon/src/delivery/",
            },
            ..row
        },
        Row {
            kind: Kind::Memory,
            what: "messages held, with a body of 512 bytes",
            formula: "bytes a message held × B / D",
            unit: Unit::Bytes,
            slope: Some(|s| s.memory_by_held),
            value: |i| i.slopes.memory_by_held.slope * i.size.backlog_per_dispatcher(),
            mechanism: Mechanism::NoneYet {
                wanted: "bodies that stay on disk while a message waits",
            },
            ..row
        },
        Row {
            kind: Kind::State,
            what: "the journal; for the moment of writing it anew twice that",
            formula: "bytes a message in the journal × B / D",
            unit: Unit::Bytes,
            slope: Some(|s| s.journal_by_held),
            value: |i| i.slopes.journal_by_held.slope * i.size.backlog_per_dispatcher(),
            mechanism: Mechanism::InPlace {
                name: "one file a dispatcher",
                file: "crates/daemon/src/journal/",
            },
            ..row
        },
        Row {
            kind: Kind::Time,
            what: "a restart, until its first answer",
            formula: "time a message in the journal × B / D",
            unit: Unit::Seconds,
            slope: Some(|s| s.restart_by_held),
            value: |i| {
                i.slopes.restart_by_held.slope * MICROSECOND * i.size.backlog_per_dispatcher()
            },
            mechanism: Mechanism::InPlace {
                name: "MessageJournal::open",
                file: "crates/daemon/src/journal/",
            },
            ..row
        },
    ]
}

fn endpoint() -> Vec<Row> {
    let row = Row {
        role: Role::Endpoint,
        ..EMPTY
    };
    vec![
        Row {
            what: "dispatchers that call it",
            formula: "unscoped and scoped D; routed 2",
            value: |i| i.dispatchers_per_destination(),
            mechanism: ROUTED,
            ..row
        },
        Row {
            kind: Kind::Messages,
            what: "messages of one destination",
            formula: "E / N",
            unit: Unit::PerSecond,
            value: |i| i.size.messages_per_second / i.size.destinations,
            mechanism: Mechanism::InPlace {
                name: "calls",
                file: "crates/daemon/src/endpoint/",
            },
            ..row
        },
        Row {
            kind: Kind::Time,
            what: "between two messages of one dispatcher for it",
            formula: "dispatchers that call it × N / E",
            unit: Unit::Seconds,
            value: |i| i.seconds_between_messages(),
            mechanism: ROUTED,
            ..row
        },
        Row {
            kind: Kind::Messages,
            what: "calls that need a new connection, where messages come at random",
            formula: "exp(−time an idle connection is kept / the time between two messages)",
            unit: Unit::Share,
            value: |i| (-i.size.keep_alive_seconds / i.seconds_between_messages()).exp(),
            mechanism: ROUTED,
            ..row
        },
        Row {
            kind: Kind::Messages,
            what: "first attempts at destinations that are down, of all first attempts",
            formula: "the line of the virtual runs at log10 of the dispatchers that call it",
            unit: Unit::Share,
            source: Source::MeasuredSlope,
            slope: Some(|s| s.wasted),
            value: |i| i.slopes.wasted.at(i.dispatchers_per_destination().log10()),
            mechanism: ROUTED,
            ..row
        },
        Row {
            kind: Kind::Messages,
            what: "the same, over the fleet",
            formula: "E × that share",
            unit: Unit::PerSecond,
            source: Source::MeasuredSlope,
            slope: Some(|s| s.wasted),
            value: |i| {
                let share = i.slopes.wasted.at(i.dispatchers_per_destination().log10());
                i.size.messages_per_second * share
            },
            mechanism: ROUTED,
            ..row
        },
    ]
}

fn client() -> Vec<Row> {
    let row = Row {
        role: Role::Client,
        ..EMPTY
    };
    vec![
        Row {
            kind: Kind::Messages,
            what: "hand-ins that a dispatcher answers",
            formula: "E / D",
            unit: Unit::PerSecond,
            value: |i| i.size.messages_per_dispatcher(),
            mechanism: Mechanism::InPlace {
                name: "clients",
                file: "crates/daemon/src/client/",
            },
            ..row
        },
        Row {
            kind: Kind::ProcessorTime,
            what: "all message work of its dispatcher; over one core hand-ins wait (the sum of rows above, not ranked)",
            formula: "E / D × (time a message + what it grows by with destinations, held ones and those down)",
            unit: Unit::Cores,
            source: Source::MeasuredSlope,
            value: |i| i.all_message_cores(),
            mechanism: Mechanism::InPlace {
                name: "a full hold is answered -BUSY; full cores are not",
                file: "crates/core/src/control/admission.rs, Dispatcher::admits",
            },
            ..row
        },
    ]
}
