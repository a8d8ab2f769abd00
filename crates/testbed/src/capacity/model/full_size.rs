//! The fleet that is designed for, and what it may spend. Nothing here is measured: figures are given with the task,
//! or assumed where their comment says so.

const SECONDS_A_DAY: f64 = 86_400.0;
const HOURS_A_DAY: f64 = 24.0;

/// The full size of the fleet and its traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FullSize {
    pub dispatchers: f64,
    pub messages_per_second: f64,
    pub destinations: f64,
    /// The part of the destinations that is down at any time.
    pub down_share: f64,
    /// Messages that wait, over all dispatchers.
    pub backlog: f64,
    pub regions: f64,
    pub zones: f64,
    pub changes_per_day: f64,
    /// Machines set aside for control.
    pub control_machines: f64,
    /// Dispatchers restarted or replaced in a day, and machines that fail on an ordinary one.
    pub restarts_per_day: f64,
    pub machine_failures_per_day: f64,
    /// Dispatchers that hold the configuration of a destination.
    pub replicas: f64,
    /// Dispatchers of one rack or switch: assumed.
    pub dispatchers_per_rack: f64,
    /// Bytes of asking for a destination that is not held, with its answer: assumed.
    pub look_up_bytes: f64,
    /// Destinations outside of its scope that a dispatcher keeps at most (docs/configuration.md).
    pub cached_destinations: f64,
    /// How long an idle connection to an endpoint is kept: assumed, as in examples/config.json.
    pub keep_alive_seconds: f64,
}

impl FullSize {
    pub const DESIGN: FullSize = FullSize {
        dispatchers: 1_900.0,
        messages_per_second: 1_400_000.0,
        destinations: 730_000.0,
        down_share: 0.049,
        backlog: 2.1e9,
        regions: 7.0,
        zones: 22.0,
        changes_per_day: 3_300.0,
        control_machines: 9.0,
        restarts_per_day: 110.0,
        machine_failures_per_day: 8.0,
        replicas: 2.0,
        dispatchers_per_rack: 40.0,
        look_up_bytes: 400.0,
        cached_destinations: 4_096.0,
        keep_alive_seconds: 15.0,
    };

    /// The same fleet of machines with a part of the traffic, destinations, changes and backlog.
    pub fn part(self, part: f64) -> FullSize {
        FullSize {
            messages_per_second: self.messages_per_second * part,
            destinations: self.destinations * part,
            backlog: self.backlog * part,
            changes_per_day: self.changes_per_day * part,
            ..self
        }
    }

    /// Messages a second that one dispatcher takes.
    pub fn messages_per_dispatcher(&self) -> f64 {
        self.messages_per_second / self.dispatchers
    }

    /// Messages that wait at one dispatcher.
    pub fn backlog_per_dispatcher(&self) -> f64 {
        self.backlog / self.dispatchers
    }

    pub fn changes_per_second(&self) -> f64 {
        self.changes_per_day / SECONDS_A_DAY
    }

    pub fn changes_per_hour(&self) -> f64 {
        self.changes_per_day / HOURS_A_DAY
    }

    /// Dispatchers that one control machine serves.
    pub fn watchers_per_control_machine(&self) -> f64 {
        self.dispatchers / self.control_machines
    }
}

/// What a dispatcher may spend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budgets {
    /// For control, a dispatcher: cores, bytes of memory, bytes a second.
    pub control_cores: f64,
    pub control_memory: f64,
    pub control_bytes_per_second: f64,
    /// A change is in force everywhere within this.
    pub change_seconds: f64,
    /// For messages, a dispatcher: assumed, since the daemon is one thread; what control may take is its own.
    pub message_cores: f64,
    /// The longest line of a list that a dispatcher reads (`MAX_PLAIN_LINE_BYTES` of `crates/discovery-client/src/plain_source.rs`).
    pub line_bytes: f64,
}

impl Budgets {
    pub const DESIGN: Budgets = Budgets {
        control_cores: 0.036,
        control_memory: 64e6,
        control_bytes_per_second: 17e3,
        change_seconds: 3.0,
        message_cores: 1.0 - 0.036,
        line_bytes: 8.0 * 1024.0 * 1024.0,
    };

    /// What the dispatchers of one control machine may take from it together.
    pub fn control_machine_bytes_per_second(&self, size: &FullSize) -> f64 {
        self.control_bytes_per_second * size.watchers_per_control_machine()
    }
}
