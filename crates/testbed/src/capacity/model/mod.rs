//! What the measured slopes come to at the full size: each figure by a formula in code, compared with its budget.

pub mod failures;
pub mod full_size;
pub mod ranking;
pub mod rows;

use super::fit::Fit;
use super::report::{Capacity, MissingSeries, SeriesId};
use full_size::{Budgets, FullSize};

/// What of the design is in place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Design {
    /// Without an installation file: every dispatcher knows all destinations, messages come to any dispatcher.
    Unscoped,
    /// Scoped configuration: two dispatchers hold each destination; the others ask for it.
    Scoped,
    /// Besides, each message goes to a dispatcher that holds its destination.
    Routed,
}

impl Design {
    pub const ALL: [Design; 3] = [Design::Unscoped, Design::Scoped, Design::Routed];

    /// The heading of the design's column.
    pub fn title(self) -> &'static str {
        match self {
            Design::Unscoped => "unscoped",
            Design::Scoped => "scoped",
            Design::Routed => "scoped and routed",
        }
    }
}

/// The lines through the measured points that the formulas use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slopes {
    pub memory_by_known: Fit,
    pub start_by_known: Fit,
    pub message_by_known: Fit,
    pub message_by_held: Fit,
    pub message_by_down: Fit,
    pub whole_bytes: Fit,
    pub whole_time: Fit,
    pub change_bytes: Fit,
    pub change_time: Fit,
    pub memory_by_held: Fit,
    pub journal_by_held: Fit,
    pub restart_by_held: Fit,
    pub wasted: Fit,
}

impl Slopes {
    /// Takes the lines from a run.
    pub fn of(capacity: &Capacity) -> Result<Slopes, MissingSeries> {
        Ok(Slopes {
            memory_by_known: capacity.fit(SeriesId::MemoryByKnown)?,
            start_by_known: capacity.fit(SeriesId::StartTimeByKnown)?,
            message_by_known: capacity.fit(SeriesId::MessageTimeByKnown)?,
            message_by_held: capacity.fit(SeriesId::MessageTimeByHeld)?,
            message_by_down: capacity.fit(SeriesId::MessageTimeByDown)?,
            whole_bytes: capacity.fit(SeriesId::WholeBytesByKnown)?,
            whole_time: capacity.fit(SeriesId::WholeTimeByKnown)?,
            change_bytes: capacity.fit(SeriesId::ChangeBytesByKnown)?,
            change_time: capacity.fit(SeriesId::ChangeTimeByKnown)?,
            memory_by_held: capacity.fit(SeriesId::MemoryByHeld)?,
            journal_by_held: capacity.fit(SeriesId::JournalByHeld)?,
            restart_by_held: capacity.fit(SeriesId::RestartTimeByHeld)?,
            wasted: capacity.fit(SeriesId::WastedByDispatchers)?,
        })
    }
}

/// What a formula is worked out from.
#[derive(Clone, Copy, Debug)]
pub struct Inputs {
    pub slopes: Slopes,
    pub size: FullSize,
    pub budgets: Budgets,
    pub design: Design,
}

impl Inputs {
    /// A design at the full size.
    pub fn design(slopes: Slopes, design: Design) -> Inputs {
        Inputs {
            slopes,
            size: FullSize::DESIGN,
            budgets: Budgets::DESIGN,
            design,
        }
    }

    /// Destinations assigned to one dispatcher.
    pub fn assigned(&self) -> f64 {
        let size = &self.size;
        match self.design {
            Design::Unscoped => size.destinations,
            Design::Scoped | Design::Routed => size.replicas * size.destinations / size.dispatchers,
        }
    }

    /// Destinations of which one dispatcher has the configuration, with its cache.
    pub fn known(&self) -> f64 {
        let cached = match self.design {
            Design::Scoped => self.size.cached_destinations,
            Design::Unscoped | Design::Routed => 0.0,
        };
        (self.assigned() + cached).min(self.size.destinations)
    }

    /// The dispatchers that one destination's messages come to.
    pub fn dispatchers_per_destination(&self) -> f64 {
        match self.design {
            Design::Unscoped | Design::Scoped => self.size.dispatchers,
            Design::Routed => self.size.replicas,
        }
    }

    /// Destinations down that messages wait for at one dispatcher.
    pub fn down_destinations(&self) -> f64 {
        let met =
            self.size.destinations * self.dispatchers_per_destination() / self.size.dispatchers;
        met * self.size.down_share
    }

    /// Messages a second at one dispatcher for destinations whose configuration it does not have.
    pub fn look_ups_per_second(&self) -> f64 {
        let missed = match self.design {
            Design::Unscoped | Design::Routed => 0.0,
            Design::Scoped => 1.0 - self.known() / self.size.destinations,
        };
        self.size.messages_per_dispatcher() * missed
    }

    /// Changes a second that one dispatcher is told.
    pub fn changes_told_per_second(&self) -> f64 {
        self.size.changes_per_second() * self.known() / self.size.destinations
    }

    /// Bytes that tell a dispatcher all that is assigned to it.
    pub fn assigned_bytes(&self) -> f64 {
        self.slopes.whole_bytes.slope * self.assigned()
    }

    /// How often the dispatcher meets a destination, in seconds between two messages.
    pub fn seconds_between_messages(&self) -> f64 {
        self.dispatchers_per_destination() * self.size.destinations / self.size.messages_per_second
    }
}
