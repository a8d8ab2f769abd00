//! The dispatcher as a service: the decisions of `bellsill` on real sockets. [`start`] reads what a dispatcher is told,
//! [`event_loop::Daemon`] runs it; `docs/daemon.md` says how the parts fit.
#![deny(unsafe_code)]

pub use bellsill_net::{deadlines, http, ring, slots};
pub use bellsill_watch::backoff;

pub mod clock;
pub mod command_line;
pub mod start;
pub mod start_retry;

pub mod event_loop;
pub mod leaving;

pub mod clients;
pub mod endpoints;
pub mod messages;
pub mod mgmt;
pub mod notices;

pub mod conns;
pub mod discovery;
pub mod endpoint_list;
pub mod installation;
pub mod logger;
pub mod message_journal;
pub mod recent_ids;
pub mod resp;
pub mod scope;
