//! The same under failures: what a machine's loss, a rack's, a zone's, a cut between regions and restarts ask for.

use super::{Design, FullSize, Inputs, Slopes};

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    Machine,
    Rack,
    Zone,
    RegionCutOff,
    RestartsOfADay,
    TenthAtOnce,
}

/// The share of the dispatchers that is restarted at once in [`Failure::TenthAtOnce`].
const AT_ONCE: f64 = 0.1;

impl Failure {
    pub const ALL: [Failure; 6] = [
        Failure::Machine,
        Failure::Rack,
        Failure::Zone,
        Failure::RegionCutOff,
        Failure::RestartsOfADay,
        Failure::TenthAtOnce,
    ];

    pub fn title(self, size: &FullSize) -> String {
        match self {
            Failure::Machine => {
                format!(
                    "a machine is lost ({} on an ordinary day)",
                    size.machine_failures_per_day
                )
            }
            Failure::Rack => "a rack or switch is lost (its size is assumed)".into(),
            Failure::Zone => "a zone is lost".into(),
            Failure::RegionCutOff => "a region is cut off for an hour".into(),
            Failure::RestartsOfADay => format!("{} restarts over a day", size.restarts_per_day),
            Failure::TenthAtOnce => format!("{} % of the dispatchers at once", 100.0 * AT_ONCE),
        }
    }

    fn dispatchers(self, size: &FullSize) -> f64 {
        match self {
            Failure::Machine => 1.0,
            Failure::Rack => size.dispatchers_per_rack,
            Failure::Zone => size.dispatchers / size.zones,
            Failure::RegionCutOff => size.dispatchers / size.regions,
            Failure::RestartsOfADay => size.restarts_per_day,
            Failure::TenthAtOnce => AT_ONCE * size.dispatchers,
        }
    }

    /// Whether the dispatchers concerned are away together, and others take their messages.
    fn moves_messages(self) -> bool {
        matches!(
            self,
            Failure::Machine | Failure::Rack | Failure::Zone | Failure::TenthAtOnce
        )
    }
}

/// What a failure comes to under a design.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Consequence {
    pub dispatchers: f64,
    /// Messages a second that go to other dispatchers meanwhile, and by which share each of these takes more.
    pub messages_moved: f64,
    pub more_load: f64,
    /// Bytes of configuration to be told, over all, to one dispatcher that begins anew, and the time of the latter at
    /// what a dispatcher may take.
    pub bytes_told: f64,
    pub seconds_each: f64,
    /// The time that the control machines need for all of it, at what their dispatchers may take of them together.
    pub seconds_all: f64,
    /// Messages held that cannot go out meanwhile; lost where the machine does not come back.
    pub held_away: f64,
}

/// Works out what a failure comes to.
pub fn consequence(slopes: Slopes, design: Design, failure: Failure) -> Consequence {
    let inputs = Inputs::design(slopes, design);
    let Inputs { size, budgets, .. } = inputs;
    let dispatchers = failure.dispatchers(&size);
    let each = match failure {
        // Those cut off go on with what they know; afterwards they are told what changed.
        Failure::RegionCutOff => {
            let changes = size.changes_per_hour() * inputs.known() / size.destinations;
            changes * slopes.change_bytes.at(inputs.known())
        }
        _ => inputs.assigned_bytes(),
    };
    let moved = f64::from(u8::from(failure.moves_messages())) * dispatchers;
    let away = if failure == Failure::RegionCutOff {
        0.0
    } else {
        dispatchers
    };
    let machines = size.control_machines * budgets.control_machine_bytes_per_second(&size);
    Consequence {
        dispatchers,
        messages_moved: moved * size.messages_per_dispatcher(),
        more_load: moved / (size.dispatchers - moved),
        bytes_told: each * dispatchers,
        seconds_each: each / budgets.control_bytes_per_second,
        seconds_all: each * dispatchers / machines,
        held_away: away * size.backlog_per_dispatcher(),
    }
}
