//! The routes that a dispatcher knows, by number, by endpoint and by destination.

use crate::interface::*;
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

/// One endpoint, and what was learnt of it.
#[derive(Default)]
pub struct Route {
    /// `serving` there is what the list says, unless the route is held out by hand.
    pub entry: ListEntry,
    pub listed: bool,
    /// The first route of those that share its limit, itself where it has one of its own.
    pub gate: usize,
    /// What the limit shows, kept at its first route.
    pub limit: Limit,
    /// Held for silence or failing: one trial at a time.
    pub suspect: bool,
    /// Cold from then on, when it had answered again.
    pub cold_since: Option<Nanos>,
    /// The share of its connects that fail, of late.
    pub fail: f64,
    /// Suspended until then.
    pub closed_until: Nanos,
    /// For how long the next time if no wait is told.
    pub wait: Nanos,
    /// When something last went there, or its serving changed.
    pub sent_at: Nanos,
    /// Mails relayed of late, fading while it is sound.
    pub traffic: f64,
    /// When that was reckoned.
    pub traffic_at: Nanos,
    /// When it last answered in usual time.
    pub spoke_at: Nanos,
    /// Connections that it refused at once since it last relayed.
    pub unmet: u32,
    /// Stretches each space between sends to a cold or struck route, and untold waits; drawn with each send.
    pub stretch: f64,
    /// Something failed there, or was refused for long, since it was last sound: it will return cold.
    pub struck: bool,
}

impl Route {
    /// Takes in what the list says of the endpoint.
    pub fn list(&mut self, entry: &ListEntry, held_out: bool, now: Nanos) {
        self.listed = entry.serving;
        if entry.rate > 0.0 {
            self.entry.rate = entry.rate; // Else an answer may have told it.
        }
        let serving = entry.serving && !held_out;
        if std::mem::replace(&mut self.entry.serving, serving) != serving {
            self.sent_at = now; // All dispatchers hear of its return at once.
        }
    }

    /// Takes the endpoint out by hand, or puts it back. It is restarted while it is out, so it returns cold.
    pub fn hold_out(&mut self, out: bool, now: Nanos) {
        self.entry.serving = self.listed && !out;
        self.sent_at = now;
        self.struck = self.struck || !out;
    }

    /// Whether it is neither suspect nor cold.
    pub fn open(&self) -> bool {
        !self.suspect && self.cold_since.is_none()
    }
}

/// What the connects of all routes that share a limit show of it.
#[derive(Default)]
pub struct Limit {
    /// The space kept between sends.
    pub gap: Nanos,
    pub sent_at: Nanos,
    /// The last refusal that told something new.
    pub refused_at: Nanos,
    /// The first refusal since something was relayed.
    pub refused_since: Option<Nanos>,
}

/// The routes of a destination.
#[derive(Default)]
pub struct Deck {
    pub cards: Vec<usize>,
    /// So many from the front have been picked in this round.
    pub dealt: usize,
    /// The first route of those that share the limit of the destination.
    pub shared_gate: Option<usize>,
    /// By how much its answer times are over the usual ones.
    pub slower: f64,
    /// How many answers told of that.
    pub answers: f64,
}

impl Deck {
    /// Says under which route the limit of a new one is kept; `apart`: under itself.
    pub fn gate(&mut self, new: usize, apart: bool) -> usize {
        let gate = self.shared_gate.filter(|_| !apart).unwrap_or(new);
        self.shared_gate = Some(gate).filter(|_| !apart);
        gate
    }
}

/// All routes; a route's number is its place here.
#[derive(Default)]
pub struct Routes {
    all: Vec<Route>,
    by_endpoint: BTreeMap<EndpointId, usize>,
    decks: BTreeMap<DestinationId, Deck>,
}

impl Routes {
    /// The route to an endpoint.
    pub fn find(&self, endpoint: EndpointId) -> Option<usize> {
        self.by_endpoint.get(&endpoint).copied()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.all.iter()
    }

    /// What is kept for a destination that has had a route.
    pub fn deck(&self, destination: DestinationId) -> Option<&Deck> {
        self.decks.get(&destination)
    }

    /// The same, to be changed; made for a new destination.
    pub fn deck_mut(&mut self, destination: DestinationId) -> &mut Deck {
        self.decks.entry(destination).or_default()
    }

    /// The routes of a destination.
    pub fn cards(&self, destination: DestinationId) -> &[usize] {
        self.decks.get(&destination).map_or(&[], |deck| &deck.cards)
    }

    /// The routes that share this one's limit, itself among them.
    pub fn bound(&self, route: usize) -> Vec<usize> {
        let same = |&other: &usize| self[other].gate == self[route].gate;
        self.cards(self[route].entry.destination).iter().copied().filter(same).collect()
    }

    /// What the limit of a route shows.
    pub fn limit(&self, route: usize) -> &Limit {
        &self[self[route].gate].limit
    }

    /// The same, to be changed.
    pub fn limit_mut(&mut self, route: usize) -> &mut Limit {
        let gate = self[route].gate;
        &mut self[gate].limit
    }

    /// The number that the next new route gets.
    pub fn next_number(&self) -> usize {
        self.all.len()
    }

    /// Adds a route under the next number, or puts it in the place of one of the same destination. Names the
    /// endpoint that is known no more.
    pub fn put(&mut self, number: usize, route: Route) -> Option<EndpointId> {
        let endpoint = route.entry.endpoint;
        let gone = if number == self.all.len() {
            self.deck_mut(route.entry.destination).cards.push(number);
            self.all.push(route);
            None
        } else {
            Some(std::mem::replace(&mut self.all[number], route).entry.endpoint)
        };
        if let Some(gone) = gone {
            self.by_endpoint.remove(&gone);
        }
        self.by_endpoint.insert(endpoint, number);
        gone
    }

    /// A whole list has come: what is not in it is gone.
    pub fn unlist(&mut self, now: Nanos) {
        for route in &mut self.all {
            if std::mem::take(&mut route.entry.serving) {
                route.sent_at = now;
            }
            route.listed = false;
        }
    }
}

impl Index<usize> for Routes {
    type Output = Route;

    fn index(&self, route: usize) -> &Route {
        &self.all[route]
    }
}

impl IndexMut<usize> for Routes {
    fn index_mut(&mut self, route: usize) -> &mut Route {
        &mut self.all[route]
    }
}
