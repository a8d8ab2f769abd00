//! The mails that a dispatcher holds.

use crate::interface::*;
use crate::state::waiting::{Like, Place};

/// How far a mail has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// To be sent, for the first time or again.
    Waiting,
    /// A connect is out.
    Out,
    /// Relayed or withdrawn: no final answer is owed.
    Over,
    /// Its client was told to come back.
    Deferred,
    /// Its client was told that it failed.
    Bounced,
}

impl Stage {
    /// Whether nothing more is owed for the mail.
    pub fn ended(self) -> bool {
        !matches!(self, Stage::Waiting | Stage::Out)
    }
}

/// One mail that is held.
pub struct Mail {
    /// As it was taken, with what has been done for it until now.
    pub new: NewMail,
    pub stage: Stage,
}

impl Mail {
    /// The line of the waiting mails that it belongs in.
    pub fn like(&self) -> Like {
        Like {
            destination: self.new.destination,
            class: self.new.class.0,
            ran_in: self.new.past.ran.map(|(_, zone)| zone.0),
        }
    }

    /// Its place in that line.
    pub fn place(&self) -> Place {
        Place { due: self.new.due, id: self.new.id }
    }
}
