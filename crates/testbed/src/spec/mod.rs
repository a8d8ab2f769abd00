//! The format of experiment files: their fields, defaults and valid ranges.

mod check;
mod defaults;
mod format;
mod section_defaults;

pub use check::check;
pub use format::{
    Burst, Class, Dispatchers, Drive, Fault, FaultKind, File, Kind, LimitForm, Load, Repeat, Rules,
    Run, Spec, Step, Vary, WorldSpec,
};
