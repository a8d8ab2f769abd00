//! The simulation model: endpoints, their faults over time, and the endpoint list. It has no sockets, clock or threads: it
//! takes timestamped inputs and returns effects. Runs in virtual time and runs on sockets both use it.
//!
//! Call [`World::advance`] before passing in the inputs of a moment, and drain [`World::effect`] after each call.

mod cold_return;
mod connections;
pub mod draw;
mod effects;
mod endpoint;
mod listing;
pub mod plan;
pub mod rate_limit;
mod script;
mod service;
mod state;
pub mod time;

pub use cold_return::slow_start_budget;
pub use effects::{
    Answer, CallId, CallRequest, ConnId, ConnectResult, Effect, ListChange, ListState,
    Reachability, ReturnLoad,
};
pub use state::World;
