//! The mails that wait to be sent, in lines of those that are alike.
//!
//! Mails of one line may go by the same routes, so that a long backlog is asked about line by line.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// What mails have in common that go by the same routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Like {
    pub destination: DestinationId,
    pub class: usize,
    /// The zone in which they may have run.
    pub ran_in: Option<usize>,
}

/// The place of a mail in its line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// When its queue lifetime is up.
    pub due: Nanos,
    pub id: MailId,
}

/// Mails that are alike, by when they are due.
pub type WaitingLine = BTreeSet<Place>;

/// All lines that are not empty.
#[derive(Default)]
pub struct WaitingMails {
    lines: BTreeMap<Like, WaitingLine>,
}

impl WaitingMails {
    /// Puts a mail into its line.
    pub fn insert(&mut self, like: Like, place: Place) {
        self.lines.entry(like).or_default().insert(place);
    }

    /// Takes a mail out of its line.
    pub fn remove(&mut self, like: Like, place: Place) {
        let Some(line) = self.lines.get_mut(&like) else { return };
        line.remove(&place);
        if line.is_empty() {
            self.lines.remove(&like);
        }
    }

    /// The lines, by destination first.
    pub fn lines(&self) -> impl Iterator<Item = (&Like, &WaitingLine)> {
        self.lines.iter()
    }

    /// How many mails wait for a destination.
    pub fn backlog(&self, destination: DestinationId) -> usize {
        let first = Like { destination, class: 0, ran_in: None };
        let lines = self.lines.range(first..).take_while(|(like, _)| like.destination == destination);
        lines.map(|(_, line)| line.len()).sum()
    }
}
