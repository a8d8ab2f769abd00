//! The dispatcher as a service: the decisions of `bellsill-core` on real sockets. [`start`] reads the configuration,
//! [`event_loop::Daemon`] runs the dispatcher; `docs/daemon.md` describes how the parts fit together.
//!
//! From the top down, each module uses only those below it:
//!
//! | module | what it owns |
//! | --- | --- |
//! | [`event_loop`] | polling, and the dispatch of poll events and timers |
//! | `startup`, `reload`, `shutdown` | building the parts, reading the configuration again, the phases of a graceful shutdown |
//! | [`client`], [`admin`] | the sessions of clients and of operators |
//! | `delivery` | the decisions, pending messages, attempts in flight, admission, recovery |
//! | [`endpoint`], `notification`, [`discovery`] | what is said to endpoints, to the platform, and to discovery |
//! | [`journal`], [`scope`] | stored data |
//! | `connection`, `timer` | sockets, the poller, and what is to be done when |
#![deny(unsafe_code)]

pub use bellsill_discovery_client::backoff;
pub use bellsill_net::{http, ring_buffer, slot_table, timer_queue};

pub mod admin;
pub mod client;
pub mod clock;
pub mod command_line;
mod connection;
mod delivery;
pub mod discovery;
pub mod endpoint;
pub mod endpoint_list;
pub mod event_loop;
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
