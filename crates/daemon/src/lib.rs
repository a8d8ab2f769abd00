//! The dispatcher daemon: runs the decision logic of `bellsill-core` on real sockets. [`start`] reads the configuration
//! and [`event_loop::Daemon`] runs the dispatcher; `docs/daemon.md` describes the architecture.
//!
//! The modules form layers; each one uses only those below it:
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`event_loop`] | polling, and dispatching poll events and expired timers |
//! | `startup`, `reload`, `shutdown` | building the components, configuration reload, the phases of a graceful shutdown |
//! | [`client`], [`admin`] | client and operator sessions |
//! | `delivery` | the decision logic, pending messages, attempts in flight, admission, recovery |
//! | [`endpoint`], `notification`, [`discovery`] | communication with endpoints, with the platform and with discovery |
//! | [`journal`], [`scope`], [`update_log`] | persistent state |
//! | `action_rules` | what may be sent, closed or ended now, and the count of violations |
//! | `connection`, `command_reader`, `timer` | sockets, parsing of commands, the poller, and scheduled timers |
#![deny(unsafe_code)]

pub use bellsill_discovery_client::backoff;
pub use bellsill_net::{http, ring_buffer, slot_table, timer_queue};

pub mod action_rules;
pub mod admin;
pub mod client;
pub mod clock;
pub mod command_line;
mod command_reader;
mod connection;
mod delivery;
pub mod discovery;
mod disk_space;
pub mod endpoint;
pub mod endpoint_list;
pub mod event_loop;
mod file_lock;
pub mod installation;
mod io;
pub mod journal;
pub mod logger;
mod message_slot;
mod metrics;
mod notification;
pub mod recent_ids;
mod reload;
pub mod scope;
mod shutdown;
pub mod signals;
pub mod start;
pub mod start_retry;
mod startup;
mod status;
mod timer;
pub mod update_log;
