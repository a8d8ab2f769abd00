//! The decision logic of bellsill, which delivers messages to the systems of other companies. This
//! crate does no I/O and knows no wire format: [`control`] handles input events, [`interface`]
//! defines these events and the resulting actions.

pub mod control;
pub mod interface;
pub mod random;
mod state;
mod units;
