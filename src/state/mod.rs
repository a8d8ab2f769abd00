//! What a dispatcher keeps in mind: records, queues and indexes. Nothing here decides; [`crate::control`] does.

pub mod connects;
pub mod idle;
pub mod keys;
pub mod mails;
pub mod routes;
mod sends;
mod stages;
pub mod waiting;

use crate::chance::Chance;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// A time that does not come.
pub const NEVER: Nanos = Nanos::MAX;

/// One instance. Here is all that it knows; the methods that decide are in [`crate::control`].
#[derive(Default)]
pub struct Dispatcher {
    pub(crate) facts: BootFacts,
    pub(crate) rng: Chance,
    /// The clock as the latest event told it.
    pub(crate) now: Nanos,
    /// The usual answer time of each class, over all routes.
    pub(crate) usual: Vec<f64>,
    pub(crate) routes: routes::Routes,
    pub(crate) mails: BTreeMap<MailId, mails::Mail>,
    /// The mails that wait: each asked, a backlog took all time.
    pub(crate) waiting: waiting::WaitingMails,
    pub(crate) keys: keys::KeyLines,
    pub(crate) out: connects::ConnectsOut,
    /// The number of the latest call.
    pub(crate) calls: u64,
    /// Taken out by hand: nothing new goes there, whatever the list says, until it is put back.
    pub(crate) held_out: BTreeSet<EndpointId>,
    /// Nothing is sent until then: no slot was free, against what is counted here.
    pub(crate) no_slot_until: Nanos,
    /// No trial of a suspect route until then.
    pub(crate) trial_until: Nanos,
    /// The share of connects, of late, that were not answered in usual time.
    pub(crate) missed: f64,
    /// By kind, whether idle connections are kept.
    pub(crate) tight: BTreeMap<usize, idle::Tight>,
    /// Where lists come only to those who ask: when to ask.
    pub(crate) ask_at: Nanos,
    /// How far the next time to ask is spread.
    pub(crate) ask_spread: Nanos,
    /// How much sooner than its lifetime's end a mail is given up.
    pub(crate) margin: Nanos,
    /// The soonest wake that was asked for.
    pub(crate) wake_at: Nanos,
}

impl Dispatcher {
    /// The listed endpoints that are avoided now: held out by hand, or held for silence or failing.
    pub fn avoided(&self) -> usize {
        self.routes.iter().filter(|route| route.listed && (!route.entry.serving || route.suspect)).count()
    }

    /// The usual answer time of a class at a destination.
    pub(crate) fn usual(&self, destination: DestinationId, class: usize) -> f64 {
        self.usual[class] * (1.0 + self.routes.deck(destination).map_or(0.0, |deck| deck.slower))
    }

    /// When the key of a mail lets it go.
    pub(crate) fn turn_at(&self, id: MailId) -> Nanos {
        if self.keys.is_empty() {
            return 0;
        }
        let mail = &self.mails[&id];
        let Some(line) = self.keys.get(mail.new.key) else { return 0 };
        if line.mails.front() != Some(&id) || line.loose > 0 {
            return NEVER;
        }
        if mail.new.past.connects > 0 { 0 } else { line.rest_until }
    }
}
