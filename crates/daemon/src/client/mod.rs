//! Clients: commands in, in order, an answer to each.

mod accept;
mod commands;
pub mod resp;
mod session;
