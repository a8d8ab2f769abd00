//! Test helpers shared by several packages. Only tests depend on this package; it is not deployed.
//!
//! [`control_process`], [`control_client`] and [`endpoint_lines`] support tests that run control processes in threads.
//! The other modules start the executable, either a single dispatcher ([`dispatcher_process`]) or a complete
//! [`installation`], with stand-ins for external systems. [`soak`] runs a dispatcher under injected faults.

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
pub mod scoped_dispatcher;
pub mod soak;
pub mod stand_in;
pub mod wait;

/// The timeout of the helpers for control processes; the test fails when it expires.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
