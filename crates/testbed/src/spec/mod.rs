//! Experiment files: their format, the defaults of their fields, and the ranges that are checked.

mod check;
mod defaults;
mod format;
mod section_defaults;

pub use check::check;
pub use format::{
    Burst, Class, Dispatchers, Drive, Fault, FaultKind, File, Kind, LimitForm, Load, Repeat, Rules,
    Run, Spec, Step, Vary, WorldSpec,
};
