//! What the tests of several packages share. Only tests depend on this package; nothing of it is deployed.
//!
//! [`control_process`], [`control_client`] and [`endpoint_lines`] are for control processes that run in threads of a
//! test. The other modules start the program itself, a [`dispatcher_process`] or a whole [`installation`], with stand-ins
//! for the systems around it; [`soak`] plays it under faults.

use std::time::Duration;

pub mod admin;
pub mod client;
pub mod control_client;
pub mod control_process;
pub mod control_stand_in;
pub mod dispatcher_process;
pub mod endpoint;
pub mod endpoint_lines;
pub mod faults;
pub mod installation;
pub mod ledger;
pub mod platform;
pub mod soak;
pub mod stand_in;
pub mod wait;

/// How long the helpers for control processes wait for something before the test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
