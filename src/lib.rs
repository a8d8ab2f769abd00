//! bellsill delivers mails to other firms' systems. This library holds its decisions and nothing of any wire:
//! [`control`] decides, [`interface`] names what goes in and what comes out.

pub mod chance;
pub mod control;
pub mod interface;
mod state;
