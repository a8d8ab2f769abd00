//! The model of the world: endpoints, their faults over time, and what is listed of them. It has no sockets, no clock and no
//! threads: it is given what comes and when, and answers with effects. Both drives use it.
//!
//! Call [`World::advance`] up to a moment before passing in what comes then, and take each [`World::effect`] after a call.

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
