//! The settings that an instance gets at its start: JSON under the platform's names, read into
//! [`Settings`](bellsill_core::interface::Settings).

mod bounds;
mod class_settings;
mod names;
mod platform_settings;
mod reader;

pub use names::{InvalidWeight, PlatformNames};
pub use platform_settings::{PlatformSettings, read};
pub use reader::{FieldReader, InvalidField};
