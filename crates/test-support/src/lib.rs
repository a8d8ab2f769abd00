//! What the tests of several packages share. Only tests depend on this package; nothing of it is deployed.
//!
//! [`control_process`], [`control_client`] and [`endpoint_lines`] are for control processes that run in threads of a
//! test.

use std::time::Duration;

pub mod control_client;
pub mod control_process;
pub mod endpoint_lines;

/// How long the helpers for control processes wait for something before the test fails.
pub const PATIENCE: Duration = Duration::from_secs(30);
