//! The auditor: checks the six rules against externally observed events ([`Observation`](crate::record::Observation)). It
//! has no access to the internal state of a dispatcher. Each violation records the message, time, rule and evidence.
//!
//! Events on different sockets may be observed out of order. Checks that depend on the order are therefore delayed by
//! [`Slack::reordering`]; in virtual time the order is exact and this slack is zero.
//!
//! `state` holds the observed state, `observing` applies each observation to it, and each rule has its own module.

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
