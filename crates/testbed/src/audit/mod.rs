//! The auditor: the six rules, judged from outside on what really passed ([`Observation`](crate::record::Observation)). It
//! does not know what a dispatcher intended; each violation names message, time, rule and evidence.
//!
//! Two things that happen in one order may be observed in the other, since they arrive on different sockets. Where that can
//! be, the verdict waits for [`Slack::order`]; in virtual time the order is exact and the slack zero.
//!
//! `state` holds what has been observed, `observing` applies each observation to it, and each rule has a module of its own.

mod cold_return;
mod draining;
mod endings;
mod held_back;
mod observing;
mod ordering;
mod repeats;
mod resolving;
mod retry_after;
mod settings;
mod state;
mod suspicions;
mod verdict;

pub use settings::{AuditSettings, AuditedEndpoint, Slack};
pub use state::Auditor;
pub use verdict::{Rule, Verdict, Violation};
