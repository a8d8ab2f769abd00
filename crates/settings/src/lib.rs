//! Parses the settings that an instance receives at startup, JSON with the platform's field names, into the
//! [`Settings`](bellsill_core::interface::Settings) of the decision logic.

mod bounds;
mod class_settings;
mod names;
mod platform_settings;
mod reader;

pub use names::{InvalidWeight, PlatformNames};
pub use platform_settings::{PlatformSettings, read};
pub use reader::{FieldReader, InvalidField};
