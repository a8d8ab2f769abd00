//! bellsill delivers messages to other firms' systems. This library holds its decisions and nothing
//! of any wire: [`control`] decides, [`interface`] declares its inputs and its actions.

pub mod control;
pub mod interface;
pub mod random;
mod state;
mod units;
