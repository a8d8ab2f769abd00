//! Delivery: connects the decision logic to the pending messages, connections and configuration.

mod actions;
mod admission;
mod attempts;
mod configuration;
mod coordinator;
mod endpoint_events;
mod message;
mod pending;
mod recovery;
mod runtime;
mod updates;

pub(crate) use admission::{Admission, Rejection};
pub(crate) use coordinator::Delivery;
pub(crate) use message::MAX_BODY_BYTES;
pub(crate) use recovery::AdoptionStatus;
pub(crate) use runtime::{AttemptSettings, Runtime};
