//! The dispatcher as a service: the decisions of `bellsill` on real sockets. [`start`] reads what a dispatcher is told,
//! [`event_loop::Daemon`] runs it; `docs/daemon.md` says how the parts fit.
// Not finished yet: see docs/ROADMAP.md.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::cognitive_complexity,
    clippy::let_underscore_must_use,
    clippy::map_err_ignore,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::wildcard_imports
)]
#![deny(unsafe_code)]

pub use bellsill_discovery_client::backoff;
pub use bellsill_net::{http, ring_buffer, slot_table, timer_queue};

pub mod admin;
pub mod client;
pub mod clock;
pub mod command_line;
pub mod connection;
pub mod delivery;
pub mod discovery;
pub mod endpoint;
pub mod endpoint_list;
pub mod event_loop;
pub mod installation;
pub mod journal;
pub mod logger;
pub mod notification;
pub mod recent_ids;
pub mod reload;
pub mod scope;
pub mod shutdown;
pub mod signals;
pub mod start;
pub mod start_retry;
pub mod startup;
pub mod timer;
