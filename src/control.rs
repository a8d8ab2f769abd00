//! All decisions of a dispatcher: which mail goes out next, by which route, and when one is given up.
//!
//! Make one [`Dispatcher`] with [`Dispatcher::boot`]; then call the method for each thing that happens, with the
//! clock and an [`Outlet`] that carries out the answers at once. Inputs, ids and the outlet's trait are in
//! `src/interface.rs`; `docs/design.md` says why each part is there. Nothing here waits, sleeps or reads a clock.

use crate::interface::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

const MS: Nanos = 1_000_000;
const NEVER: Nanos = Nanos::MAX;
/// Untold suspension: shorter than the spans in which limits are counted, so that little of one is slept through.
const FIRST_WAIT: Nanos = 250 * MS;
const LONGEST_WAIT: Nanos = 2_000 * MS;
/// Untold suspensions are longer by as many times as there are so many dispatchers: they all come back to one limit.
const CROWD: u32 = 50;
/// The gap: its first step, its cap (a shut route refuses long; its gap must not outlive it), its share.
const GAP_STEP: Nanos = 40 * MS;
const LONGEST_GAP: Nanos = 1_000 * MS;
const GAP_SHARE: f64 = 0.15;
/// Refusals with nothing relayed between for so long are no limit's: the route was shut and returns cold.
const SHUT_AFTER: Nanos = 2_500 * MS;
/// A route is silent when its oldest connect is this many usual answer times old, and no less than the floor.
const SILENT_TIMES: f64 = 5.0;
const SILENT_FLOOR: Nanos = 700 * MS;
/// Time-outs, as multiples of the usual answer time, with floor and ceiling.
const TIMEOUT_TIMES: f64 = 8.0;
const TIMEOUT_FLOOR: Nanos = 2_000 * MS;
const TIMEOUT_CEILING: Nanos = 8_000 * MS;
/// The weight of one outcome in a route's failure share, and how far over the fleet's median is sick.
const FAIL_WEIGHT: f64 = 0.25;
const FAIL_MARGIN: f64 = 0.4;
/// Rest between trials of a suspect route; once-only mails stand back by the spare.
const TRIAL_REST: Nanos = 400 * MS;
const SPARE: Nanos = 2_500 * MS;
/// Between sends of all dispatchers together to a cold route that had next to no traffic, and to a struck one.
const COLD_REST: Nanos = 350 * MS;
const STRUCK_REST: Nanos = 100 * MS;
/// How long a trial may take; short enough that a tagged mail can be repeated after it.
const TRIAL_TIMEOUT: Nanos = 5_000 * MS;
/// The least weight of one answer in the usual answer times, and the usual time before any is known.
const PACE_WEIGHT: f64 = 0.1;
const FIRST_USUAL: f64 = 300e6;
/// What a warm route can take over what it took: it had room, or it would have refused.
const COLD_ROOM: f64 = 1.2;
/// Over how long a route's own traffic is averaged for the cold budget.
const TRAFFIC_SPAN: f64 = 8e9;
/// How far ahead the ranking looks for what waiting would lose, and how much worth itself counts beside that.
const HORIZON: Nanos = 1_500 * MS;
const WORTH_ITSELF: f64 = 0.03;
/// The share of the slots that one destination may hold.
const SLOT_SHARE: f64 = 0.35;
/// The share of the slots that all suspect routes together may hold.
const TRIAL_SHARE: f64 = 0.25;
/// More mails than this in a key's line, with a stuck one at its head, are worth more than that one.
const KEY_BEHIND: usize = 1;
/// For how long after a full table, or a reset of an idle connection, no idle ones are kept to that kind.
const TIGHT: Nanos = 60_000 * MS;

/// What differs by queue class, as far as it is read.
struct ClassRow {
    facts: ClassFacts,
    /// Usual answer time over all routes, in nanoseconds.
    usual: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Out,
    Relayed,
    Deferred,
    Bounced,
    Withdrawn,
}

impl Stage {
    fn ended(self) -> bool {
        !matches!(self, Stage::Waiting | Stage::Out)
    }
}

#[derive(Clone, Copy)]
struct Connect {
    no: ConnectNo,
    route: usize,
    at: Nanos,
    /// Idle connections were given back before it.
    fresh: bool,
}

struct Mail {
    class: usize,
    key: Option<KeyId>,
    dest: DestinationId,
    due: Nanos,
    stage: Stage,
    connects: u32,
    out: Option<Connect>,
    /// The first connect that may have run: when it was sent, and the zone it went to.
    ran: Option<(Nanos, ZoneId)>,
}

#[derive(Default)]
struct KeyLine {
    mails: VecDeque<MailId>,
    /// Ended mails whose last connect has no outcome yet.
    loose: u32,
    rest_until: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    Open,
    /// `since`: it was cold from then on when it became suspect.
    Suspect {
        next_trial: Nanos,
        since: Option<Nanos>,
    },
    Cold {
        since: Nanos,
    },
}

/// Endpoints, one place each.
#[derive(Default)]
struct Routes {
    id: Vec<EndpointId>,
    zone: Vec<ZoneId>,
    gate: Vec<usize>,
    serving: Vec<bool>,
    out: Vec<Vec<(Nanos, MailId)>>,
    mode: Vec<Mode>,
    fail: Vec<f64>,
    dest: Vec<DestinationId>,
    /// Suspended until then, and for how long the next time if no wait is told.
    closed_until: Vec<Nanos>,
    wait: Vec<Nanos>,
    kind: Vec<usize>,
    sent_at: Vec<Nanos>,
    /// The most connects out at once: one when it becomes suspect, one more with each mail relayed in usual time.
    room: Vec<usize>,
    /// Mails relayed of late, fading while it is sound, and when that was reckoned.
    traffic: Vec<f64>,
    traffic_at: Vec<Nanos>,
    /// When a mail was last relayed in usual time.
    spoke_at: Vec<Nanos>,
    /// Stretches each space between sends to a cold or struck route, and each untold wait; drawn with each send.
    stretch: Vec<f64>,
    /// Something failed there, or was refused for long, since it was last sound: it will return cold.
    struck: Vec<bool>,
}

/// What a limit binds, one place each: a route where routes are apart, else all endpoints of a destination.
#[derive(Default)]
struct Gates {
    gap: Vec<Nanos>,
    sent_at: Vec<Nanos>,
    refused_at: Vec<Nanos>,
    refused_since: Vec<Option<Nanos>>,
}

#[derive(Default)]
struct Deck {
    cards: Vec<usize>,
    dealt: usize,
    shared_gate: Option<usize>,
    /// How its answer times compare with the usual ones, by so many answers.
    pace: f64,
    answers: f64,
}

pub struct Dispatcher {
    facts: BootFacts,
    rng: Pcg64Mcg,
    classes: Vec<ClassRow>,
    routes: Routes,
    gates: Gates,
    index: BTreeMap<EndpointId, usize>,
    decks: BTreeMap<DestinationId, Deck>,
    mails: BTreeMap<MailId, Mail>,
    keys: BTreeMap<KeyId, KeyLine>,
    held: usize,
    out: usize,
    no_slot_until: Nanos,
    /// A connect has been called off whose end has not come yet.
    called_off: Option<MailId>,
    /// By kind of destination: until then no idle connections are kept.
    tight_until: Vec<Nanos>,
    wake_at: Nanos,
    now: Nanos,
}

impl Dispatcher {
    pub fn boot(now: Nanos, facts: BootFacts) -> Self {
        let usual = FIRST_USUAL;
        Dispatcher {
            rng: Pcg64Mcg::seed_from_u64(facts.seed),
            classes: facts.classes.iter().map(|c| ClassRow { facts: c.clone(), usual }).collect(),
            routes: Routes::default(),
            gates: Gates::default(),
            index: BTreeMap::new(),
            decks: BTreeMap::new(),
            mails: BTreeMap::new(),
            keys: BTreeMap::new(),
            held: 0,
            out: 0,
            no_slot_until: 0,
            called_off: None,
            tight_until: vec![0; facts.apart.len() + 1],
            wake_at: NEVER,
            now,
            facts,
        }
    }

    pub fn list_news(&mut self, now: Nanos, scope: ListScope, entries: &[ListEntry], out: &mut impl Outlet) {
        self.routes.serving.iter_mut().for_each(|s| *s &= scope != ListScope::Whole);
        for entry in entries {
            let route = match self.index.get(&entry.endpoint) {
                Some(&route) => route,
                None if entry.serving => self.add_route(entry),
                None => continue,
            };
            if entry.serving && !std::mem::replace(&mut self.routes.serving[route], entry.serving) {
                // All dispatchers hear of it at once.
                self.routes.sent_at[route] = now;
            }
            self.routes.serving[route] = entry.serving;
        }
        self.go_on(now, out);
    }

    pub fn mail_taken(&mut self, now: Nanos, new: NewMail, out: &mut impl Outlet) {
        let row = &self.classes[new.class.0].facts;
        let mail = Mail {
            class: new.class.0,
            key: new.key.filter(|_| row.ordered),
            dest: new.destination,
            due: new.due,
            stage: Stage::Waiting,
            connects: 0,
            out: None,
            ran: None,
        };
        if let Some(key) = mail.key {
            self.keys.entry(key).or_default().mails.push_back(new.id);
        }
        self.held += 1;
        self.mails.insert(new.id, mail);
        self.go_on(now, out);
    }

    pub fn connect_ended(&mut self, now: Nanos, end: ConnectEnd, out: &mut impl Outlet) {
        self.now = now;
        self.called_off = self.called_off.filter(|m| *m != end.mail);
        let Some(mail) = self.mails.get_mut(&end.mail) else { return };
        let Some(connect) = mail.out.filter(|c| c.no == end.no) else { return };
        let (class, key) = (mail.class, mail.key);
        mail.out = None;
        self.out -= 1;
        self.routes.out[connect.route].retain(|c| c.1 != end.mail);
        if end.outcome.may_have_run() && mail.ran.is_none() {
            mail.ran = Some((connect.at, self.routes.zone[connect.route]));
        }
        self.learn(now, connect, class, &end, out);
        if let Some(line) = key.and_then(|key| self.keys.get_mut(&key)) {
            if matches!(end.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::CalledOff) {
                line.rest_until = now + self.facts.key_rest + self.facts.tick;
            }
            if self.mails[&end.mail].stage.ended() {
                line.loose -= 1;
            }
        }
        let mail = &self.mails[&end.mail];
        match mail.stage {
            Stage::Out if end.outcome == Outcome::Relayed => self.shift(end.mail, Stage::Relayed, out),
            Stage::Out if end.over => self.shift(end.mail, Stage::Withdrawn, out),
            Stage::Out if self.may_go_again(mail, now) => self.shift(end.mail, Stage::Waiting, out),
            Stage::Out => self.give_up(end.mail, now, out),
            stage => self.shift(end.mail, stage, out),
        }
        self.go_on(now, out);
        // Idle connections held to a full table lock other dispatchers out, and what is sent on one that was dropped
        // unseen is lost. Where one kind's destination showed either, others of the kind will: each dispatcher sees
        // any one of them seldom. A new connection costs a handshake, so it is for a while only.
        if now < self.tight_until[self.routes.kind[connect.route]] {
            out.hang_up(self.routes.id[connect.route]);
        }
    }

    pub fn probe_ended(&mut self, now: Nanos, to: EndpointId, outcome: Outcome, out: &mut impl Outlet) {
        let Some(&route) = self.index.get(&to) else { return };
        if let Outcome::Full(told) = outcome {
            self.refused(route, now, now, told);
        }
        self.go_on(now, out);
    }

    pub fn peer_note(&mut self, now: Nanos, _note: &[u8], out: &mut impl Outlet) {
        self.go_on(now, out);
    }

    pub fn woken(&mut self, now: Nanos, out: &mut impl Outlet) {
        // A wake may come a little early; taken for a stale one it would never be asked for again, and the mails
        // that it was for would be lost.
        if self.wake_at <= now + self.facts.tick {
            self.wake_at = NEVER;
        }
        self.go_on(now, out);
    }

    pub fn mail_withdrawn(&mut self, now: Nanos, mail: MailId, out: &mut impl Outlet) {
        if self.mails.get(&mail).is_some_and(|m| !m.stage.ended()) {
            self.shift(mail, Stage::Withdrawn, out);
        }
        self.go_on(now, out);
    }

    fn add_route(&mut self, entry: &ListEntry) -> usize {
        let apart = self.facts.apart.get(entry.kind.0).copied().unwrap_or(false);
        let deck = self.decks.entry(entry.destination).or_default();
        let gate = match deck.shared_gate {
            Some(gate) if !apart => gate,
            _ => self.gates.add(),
        };
        deck.shared_gate = Some(gate).filter(|_| !apart);
        let route = self.routes.add(entry, gate, entry.kind.0.min(self.facts.apart.len()));
        // A wait told before it was listed binds it too.
        let closed = self.routes.of_gate(gate).map(|r| self.routes.closed_until[r]).max();
        self.routes.closed_until[route] = closed.unwrap_or(0);
        // One listed in its destination's outage is as cold: the backlogs of all would meet at it the moment that
        // they hear of it. It could slow a sound newcomer whose siblings alone are out.
        if let Some(sibling) = self.routes.of_gate(gate).find(|&r| self.routes.struck[r]) {
            self.routes.struck[route] = true;
            self.routes.traffic[route] = self.routes.traffic[sibling];
            self.routes.stretch[route] = self.rng.random_range(0.5..1.5);
        }
        deck.cards.push(route);
        self.index.insert(entry.endpoint, route);
        route
    }

    /// The only place where a mail changes its stage: gives the final answers and keeps the counts.
    fn shift(&mut self, id: MailId, to: Stage, out: &mut impl Outlet) {
        let Some(mail) = self.mails.get_mut(&id) else { return };
        let from = std::mem::replace(&mut mail.stage, to);
        let (key, still_out) = (mail.key, mail.out.is_some());
        match to {
            Stage::Deferred if from != to => {
                let come_back = self.come_back(id);
                out.defer(id, come_back);
            }
            Stage::Bounced if from != to => out.bounce(id),
            _ => {}
        }
        if !to.ended() {
            return;
        }
        if !from.ended() {
            self.held -= 1;
            if let Some(line) = key.and_then(|key| self.keys.get_mut(&key)) {
                line.mails.retain(|m| *m != id);
                line.loose += u32::from(still_out);
            }
            let now = self.now;
            self.keys.retain(|_, l| !l.mails.is_empty() || l.loose > 0 || l.rest_until > now);
        }
        if !still_out {
            self.mails.remove(&id);
        }
    }

    /// Gives up a mail at once: deferred where trying again is harmless, else bounced.
    fn give_up(&mut self, id: MailId, now: Nanos, out: &mut impl Outlet) {
        let mail = &self.mails[&id];
        let harmless = mail.out.is_none()
            && match (mail.ran, self.classes[mail.class].facts.repeat) {
                (None, _) | (_, Repeat::Redeliverable) => true,
                (Some((at, _)), Repeat::Tagged { window, same_zone: false }) => now < at + window / 2,
                _ => false,
            };
        self.shift(id, if harmless { Stage::Deferred } else { Stage::Bounced }, out);
    }

    /// The routes of a destination.
    fn cards(&self, dest: DestinationId) -> &[usize] {
        self.decks.get(&dest).map_or(&[], |d| &d.cards)
    }

    /// When a client had best come back: when a route of the destination opens again.
    fn come_back(&self, id: MailId) -> Nanos {
        let routes = self.cards(self.mails[&id].dest).iter().filter(|&&r| self.routes.serving[r]);
        let soonest = routes.map(|&r| self.routes.closed_until[r]).min().unwrap_or(0);
        soonest.saturating_sub(self.now).min(self.facts.max_come_back)
    }

    /// Whether a mail that has no connect out may be sent once more.
    fn may_go_again(&self, mail: &Mail, now: Nanos) -> bool {
        mail.connects < self.facts.max_connects
            && now + self.margin() < mail.due
            && match (mail.ran, self.classes[mail.class].facts.repeat) {
                (None, _) | (_, Repeat::Redeliverable) => true,
                (Some((at, _)), Repeat::Tagged { window, .. }) => now + self.facts.tick < at + window,
                (Some(_), Repeat::OnceOnly) => false,
            }
    }

    /// How long before the end of its queue lifetime a mail is answered at the latest.
    fn margin(&self) -> Nanos {
        2 * self.facts.tick
    }

    fn usual(&self, route: usize, class: usize) -> f64 {
        let pace =
            self.decks.get(&self.routes.dest[route]).filter(|d| d.answers > 0.0).map_or(1.0, |d| d.pace);
        self.classes[class].usual * pace
    }

    /// What one outcome tells of its route.
    fn learn(&mut self, now: Nanos, connect: Connect, class: usize, end: &ConnectEnd, out: &mut impl Outlet) {
        let route = connect.route;
        let gate = self.routes.gate[route];
        let late = end.took > self.silent_after(route, class);
        match end.outcome {
            Outcome::Relayed => {
                self.gates.refused_since[gate] = None;
                let gap = self.gates.gap[gate] as f64 * (1.0 - GAP_SHARE);
                self.gates.gap[gate] = if gap < GAP_STEP as f64 / 4.0 { 0 } else { gap as Nanos };
                self.routes.of_gate(gate).for_each(|r| self.routes.wait[r] = FIRST_WAIT);
                self.routes.count(route, now, 1.0);
                self.routes.fail[route] *= 1.0 - FAIL_WEIGHT;
                if !late {
                    self.routes.spoke_at[route] = now;
                    self.routes.room[route] = self.routes.room[route].saturating_add(1);
                    let row = &mut self.classes[class];
                    let deck = self.decks.entry(self.routes.dest[route]).or_default();
                    let pace = if deck.answers > 0.0 { deck.pace } else { 1.0 };
                    row.usual += PACE_WEIGHT * (end.took as f64 / pace - row.usual);
                    let seen = (end.took as f64 / row.usual).max(0.1);
                    // The first answers weigh more, against one of usual time.
                    deck.answers += 1.0;
                    deck.pace = pace + (1.0 / (1.0 + deck.answers)).max(PACE_WEIGHT) * (seen - pace);
                }
                self.cleared(route, now, end.took, late, out);
            }
            Outcome::Full(told) => self.refused(route, connect.at, now, told),
            // No connection, said at once: the endpoint's table is full, whatever its siblings' are. It alone is
            // suspended, as for an untold refusal. An endpoint that is down and says so is met in the same way.
            Outcome::Unconnected if end.took < self.facts.connect_timeout / 2 => {
                self.suspend(route, now, 0);
                if self.routes.wait[route] > 4 * FIRST_WAIT {
                    self.routes.count(route, now, 0.0);
                    self.routes.struck[route] = true;
                }
                self.tight_until[self.routes.kind[route]] = now + TIGHT;
            }
            // It may have been an idle connection dropped unseen, and then it tells nothing of the route.
            Outcome::Reset if !connect.fresh => self.tight_until[self.routes.kind[route]] = now + TIGHT,
            // A lost answer, not an outage: others have come since it was sent.
            Outcome::TimedOut if self.routes.spoke_at[route] >= connect.at => {}
            Outcome::Errored | Outcome::TimedOut | Outcome::Unconnected | Outcome::Reset => {
                self.routes.count(route, now, 0.0);
                self.routes.fail[route] += FAIL_WEIGHT * (1.0 - self.routes.fail[route]);
                let (share, was) = (self.routes.fail[route], self.routes.mode[route]);
                if was == Mode::Open && share <= self.median_fail() + FAIL_MARGIN {
                    return;
                }
                for r in self.routes.of_gate(gate) {
                    self.routes.struck[r] |= r == route;
                }
                if let Mode::Suspect { .. } = was {
                    self.routes.mode[route] = Mode::Suspect { next_trial: now + TRIAL_REST, since: None };
                } else {
                    let why = format!("failure share {share:.2}, fleet {:.2}", self.median_fail());
                    self.suspect(route, now, &why, out);
                }
            }
            Outcome::Unsent(true) => self.no_slot_until = now + 10 * self.facts.tick,
            Outcome::Unsent(false) | Outcome::CalledOff => {}
        }
    }

    /// A refusal as full: suspends all that the limit binds, until its told wait ends or for a doubling short while,
    /// and widens the gap. Connects already out at the last refusal double nothing again: they tell nothing new.
    fn refused(&mut self, route: usize, sent: Nanos, now: Nanos, told: Nanos) {
        let gate = self.routes.gate[route];
        let fresh = sent >= self.gates.refused_at[gate];
        let since = *self.gates.refused_since[gate].get_or_insert(now);
        if fresh {
            self.gates.gap[gate] = (self.gates.gap[gate] * 2).clamp(GAP_STEP, LONGEST_GAP);
            self.gates.refused_at[gate] = now;
        }
        for route in self.routes.of_gate(gate) {
            if fresh || told > 0 {
                self.suspend(route, now, told);
            }
            let long = now - since >= SHUT_AFTER && self.gates.gap[gate] > 2 * GAP_STEP;
            self.routes.count(route, now, 0.0);
            self.routes.struck[route] |= long || told >= SHUT_AFTER;
        }
    }

    fn suspend(&mut self, route: usize, now: Nanos, told: Nanos) {
        let r = &mut self.routes;
        let crowd = f64::from(self.facts.dispatchers.max(CROWD)) / f64::from(CROWD);
        let untold = (r.wait[route] as f64 * (1.0 + (crowd - 1.0) * r.stretch[route])) as Nanos;
        r.closed_until[route] = r.closed_until[route].max(now + if told > 0 { told } else { untold });
        if told == 0 {
            r.wait[route] = (r.wait[route] * 2).min(LONGEST_WAIT);
        }
    }

    fn median_fail(&self) -> f64 {
        let r = &self.routes;
        let mut shares: Vec<f64> = (0..r.id.len()).filter(|&i| r.serving[i]).map(|i| r.fail[i]).collect();
        shares.sort_by(f64::total_cmp);
        shares.get(shares.len() / 2).copied().unwrap_or(0.0)
    }

    fn silent_after(&self, route: usize, class: usize) -> Nanos {
        ((SILENT_TIMES * self.usual(route, class)) as Nanos).max(SILENT_FLOOR)
    }

    fn suspect(&mut self, route: usize, now: Nanos, why: &str, out: &mut impl Outlet) {
        self.routes.count(route, now, 0.0);
        let since = if let Mode::Cold { since } = self.routes.mode[route] { Some(since) } else { None };
        self.routes.mode[route] = Mode::Suspect { next_trial: now + TRIAL_REST, since };
        self.routes.room[route] = 1;
        out.log(&format!("route {} suspect: {why}", self.routes.id[route].0));
    }

    /// A relayed mail speaks for its route: one in usual time takes it from suspect over cold to open. A route where
    /// nothing had failed or been refused was slow for a while, not out, and is not cold.
    fn cleared(&mut self, route: usize, now: Nanos, took: Nanos, late: bool, out: &mut impl Outlet) {
        let was = self.routes.mode[route];
        let mode = match was {
            Mode::Suspect { since, .. } if late => Mode::Suspect { next_trial: now + TRIAL_REST, since },
            Mode::Suspect { .. } | Mode::Open if self.routes.struck[route] => Mode::Cold { since: now },
            // A cold route is slow at first; held for silence and cleared again, it is still cold.
            Mode::Suspect { since: Some(since), .. } if now < since + self.facts.ramp => Mode::Cold { since },
            Mode::Cold { since } if now < since + self.facts.ramp => was,
            _ => Mode::Open,
        };
        self.routes.mode[route] = mode;
        let word = match (was, mode) {
            (Mode::Suspect { .. } | Mode::Open, Mode::Cold { .. }) => "returns cold",
            (Mode::Suspect { .. } | Mode::Cold { .. }, Mode::Open) => "open",
            _ => return,
        };
        self.routes.struck[route] = false;
        let (id, share) = (self.routes.id[route].0, self.routes.fail[route]);
        out.log(&format!("route {id} {word}: relayed in {} ms, failure share {share:.2}", took / MS));
    }

    /// The space between sends to a cold or struck route: this dispatcher's own former traffic there, cut to what
    /// a cold destination bears, rising over the ramp. Hundreds that saw the same outage each keep to their own part;
    /// where one had next to no traffic, all of them together go by one mail in `least`.
    fn space(&self, route: usize, warm: f64, least: Nanos) -> Nanos {
        let f = &self.facts;
        let rate = self.routes.traffic[route] / TRAFFIC_SPAN * COLD_ROOM * warm * f.tip_multiple;
        let space = (1.0 / rate.max(1e-18)).min(f64::from(f.dispatchers) * least as f64);
        (space * self.routes.stretch[route]) as Nanos
    }

    /// When this mail may go by this route, as things stand; NEVER: not before something else happens.
    fn opens_at(&self, route: usize, mail: &Mail, now: Nanos) -> Nanos {
        let r = &self.routes;
        let row = &self.classes[mail.class].facts;
        if !r.serving[route] {
            return NEVER;
        }
        if let (Some((_, zone)), Repeat::Tagged { same_zone: true, .. }) = (mail.ran, row.repeat)
            && zone != r.zone[route]
        {
            return NEVER;
        }
        let (gate, cold) = (r.gate[route], self.facts.cold_share);
        let mut at = r.closed_until[route].max(self.gates.sent_at[gate] + self.gates.gap[gate]);
        match r.mode[route] {
            // Answered once, a crawling route would else be given its whole backlog, and with it the slots.
            Mode::Open if r.out[route].len() >= r.room[route] => return NEVER,
            Mode::Open => {}
            Mode::Suspect { .. } if self.trials_full() || self.on_trial(route, now) => return NEVER,
            Mode::Suspect { next_trial, .. } => {
                at = at.max(next_trial + if row.repeat == Repeat::OnceOnly { SPARE } else { 0 });
            }
            Mode::Cold { since } => {
                let ramp = ((now - since) as f64 / self.facts.ramp as f64).min(1.0);
                let warm = cold + (1.0 - cold) * ramp;
                at = at.max(r.sent_at[route] + self.space(route, warm, COLD_REST));
            }
        }
        if r.struck[route] {
            // Those told when a shut route opens come apart.
            let space = self.space(route, cold, STRUCK_REST);
            at = at.max(r.sent_at[route].max(r.closed_until[route].saturating_sub(space / 2)) + space);
        }
        at
    }

    /// Whether suspect routes together hold all the slots that they may: many struck at once, each with its own
    /// trial, would else leave none for the sound ones.
    fn trials_full(&self) -> bool {
        let suspect = (0..self.routes.id.len()).filter(|&r| self.routes.suspect(r));
        let held: usize = suspect.map(|r| self.routes.out[r].len()).sum();
        held >= ((self.facts.slots as f64 * TRIAL_SHARE) as usize).max(1)
    }

    /// Whether a trial is out that may still be answered in usual time; connects older than that hold up none.
    fn on_trial(&self, route: usize, now: Nanos) -> bool {
        let young = |at: Nanos, id: MailId| now < at + self.silent_after(route, self.mails[&id].class);
        self.routes.out[route].iter().any(|&(at, id)| young(at, id))
    }

    /// What the mail is worth if it is answered at a time.
    fn worth_at(&self, mail: &Mail, at: Nanos) -> f64 {
        let row = &self.classes[mail.class].facts;
        let age = at.saturating_sub(mail.due.saturating_sub(row.lifetime));
        if at >= mail.due {
            return 0.0;
        }
        let late = age.saturating_sub(row.target_delay) as f64;
        let share = if self.facts.halves {
            0.5f64.powf(late / row.target_delay as f64).max(row.late_share)
        } else {
            1.0 - (1.0 - row.late_share) * late / (row.lifetime - row.target_delay).max(1) as f64
        };
        row.importance * share
    }

    /// What waiting for the horizon would lose of the mail's worth, for the slot time that it needs; a part of its
    /// worth itself counts too, so that what loses nothing yet goes by worth.
    fn loss_rate(&self, mail: &Mail, now: Nanos) -> f64 {
        let slot = self.slot_time(mail);
        let at = now + slot as Nanos;
        ((1.0 + WORTH_ITSELF) * self.worth_at(mail, at) - self.worth_at(mail, at + HORIZON)) / slot
    }

    /// When the mail's turn comes among those of its key.
    fn turn_at(&self, id: MailId, mail: &Mail) -> Nanos {
        let Some(line) = mail.key.and_then(|key| self.keys.get(&key)) else { return 0 };
        if line.mails.front() != Some(&id) || line.loose > 0 {
            return NEVER;
        }
        if mail.connects > 0 { 0 } else { line.rest_until }
    }

    /// Everything that is due by now: silent routes, ends of queue lifetimes, holding room, sends, the next wake.
    fn go_on(&mut self, now: Nanos, out: &mut impl Outlet) {
        self.now = now;
        self.watch_silence(now, out);
        self.end_overdue(now, out);
        self.send_all(now, out);
        self.make_room(now, out);
        self.free_slot(now, out);
        let at = self.next_wake(now);
        if at < self.wake_at {
            self.wake_at = at;
            out.wake(at - now);
        }
    }

    /// Stops hung, silent and much slowed routes from taking up the slots, long before time-outs tell of them.
    fn watch_silence(&mut self, now: Nanos, out: &mut impl Outlet) {
        for route in 0..self.routes.id.len() {
            if let Some((_, age)) = self.oldest(route, now).filter(|o| now >= o.0)
                && !self.routes.suspect(route)
            {
                let why = format!("oldest connect {} ms unanswered", age / MS);
                self.suspect(route, now, &why, out);
            }
        }
    }

    /// When the oldest connect of which no answer has come since is to be held for silence, and its age.
    fn oldest(&self, route: usize, now: Nanos) -> Option<(Nanos, Nanos)> {
        let outs = self.routes.out[route].iter().filter(|o| o.0 > self.routes.spoke_at[route]);
        outs.map(|&(at, id)| (at + self.silent_after(route, self.mails[&id].class), now - at)).min()
    }

    fn end_overdue(&mut self, now: Nanos, out: &mut impl Outlet) {
        let margin = self.margin();
        let over = |m: &Mail| match m.stage {
            Stage::Waiting => now + margin >= m.due || !self.may_go_again(m, now) || self.blocks_key(m),
            Stage::Out => now >= m.due,
            _ => false,
        };
        let overdue: Vec<MailId> = self.mails.iter().filter(|(_, m)| over(m)).map(|(&id, _)| id).collect();
        for id in overdue {
            self.give_up(id, now, out);
        }
    }

    /// Whether a mail that may have run holds up others of its key while all routes that it may still take are
    /// suspect: it is given up for theirs. Could lose a mail whose route returns the next moment.
    fn blocks_key(&self, mail: &Mail) -> bool {
        let behind = mail.key.and_then(|k| self.keys.get(&k)).map_or(0, |l| l.mails.len());
        let patience = self.classes[mail.class].facts.target_delay;
        let Some((at, zone)) = mail.ran.filter(|_| behind > KEY_BEHIND) else { return false };
        let sound =
            |&r: &usize| self.routes.zone[r] == zone && self.routes.serving[r] && !self.routes.suspect(r);
        self.now >= at + patience && !self.cards(mail.dest).iter().any(sound)
    }

    /// Keeps a place free for the next mail: at a full hold, the destination with most mails waiting gives up the
    /// one worth least. Stops a struck destination's backlog from turning away the mails of all others.
    fn make_room(&mut self, now: Nanos, out: &mut impl Outlet) {
        while self.held >= self.facts.holding_room {
            let mut waiting: BTreeMap<DestinationId, Vec<(f64, Nanos, MailId)>> = BTreeMap::new();
            for (&id, m) in self.mails.iter().filter(|(_, m)| m.stage == Stage::Waiting) {
                waiting.entry(m.dest).or_default().push((self.worth_at(m, now), m.due, id));
            }
            let longest = waiting.into_values().max_by_key(Vec::len).unwrap_or_default();
            let least = longest.iter().min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let Some(&(_, _, id)) = least else { return };
            self.give_up(id, now, out);
        }
    }

    fn send_all(&mut self, now: Nanos, out: &mut impl Outlet) {
        while self.out < self.facts.slots && now >= self.no_slot_until {
            let mut best: Option<(f64, Nanos, MailId)> = None;
            for (&id, mail) in self.mails.iter().filter(|(_, m)| m.stage == Stage::Waiting) {
                let worth = self.loss_rate(mail, now);
                let better = best.is_none_or(|b| worth > b.0 || (worth == b.0 && mail.due < b.1));
                if better && self.turn_at(id, mail) <= now && self.has_route(mail, now) {
                    best = Some((worth, mail.due, id));
                }
            }
            let Some((_, _, id)) = best else { return };
            let Some(route) = self.deal(id, now) else { return };
            self.send(id, route, now, out);
        }
    }

    /// With all slots taken and a mail kept waiting by that alone, calls off the connect longest out beyond its
    /// usual time on a suspect route. Stops hung, silent or crawling routes from starving all others; it could
    /// bounce a once-only mail that would yet have been answered, so it acts on one at a time.
    fn free_slot(&mut self, now: Nanos, out: &mut impl Outlet) {
        if self.out < self.facts.slots || self.called_off.is_some() {
            return;
        }
        let stuck = (0..self.routes.id.len()).filter(|&r| self.routes.suspect(r));
        let late = |at, id, r| now >= at + 2 * self.silent_after(r, self.mails[&id].class);
        let stuck = stuck.flat_map(|r| self.routes.out[r].iter().filter(move |o| late(o.0, o.1, r)));
        let Some(&(_, id)) = stuck.min() else { return };
        let kept = |(&id, m): (&MailId, &Mail)| {
            m.stage == Stage::Waiting && self.turn_at(id, m) <= now && self.has_route(m, now)
        };
        if let Some(connect) = self.mails[&id].out
            && self.mails.iter().any(kept)
        {
            self.called_off = Some(id);
            out.call_off(id, connect.no);
        }
    }

    /// How long a connect of this mail will hold its slot, by the quickest of its routes.
    fn slot_time(&self, mail: &Mail) -> f64 {
        self.cards(mail.dest).iter().map(|&r| self.usual(r, mail.class)).fold(1e12, f64::min)
    }

    fn has_route(&self, mail: &Mail, now: Nanos) -> bool {
        let most = ((self.facts.slots as f64 * SLOT_SHARE) as usize).max(2);
        let cards = self.cards(mail.dest);
        cards.iter().map(|&r| self.routes.out[r].len()).sum::<usize>() < most
            && cards.iter().any(|&r| self.opens_at(r, mail, now) <= now)
    }

    /// Deals the next route from the destination's shuffled deck, passing over those not available.
    fn deal(&mut self, id: MailId, now: Nanos) -> Option<usize> {
        let mail = &self.mails[&id];
        let dest = mail.dest;
        let open: Vec<bool> = self.cards(dest).iter().map(|&r| self.opens_at(r, mail, now) <= now).collect();
        let deck = self.decks.get_mut(&dest)?;
        if !open[deck.dealt..].contains(&true) {
            deck.dealt = 0;
        }
        let open: Vec<usize> = (deck.dealt..deck.cards.len()).filter(|&i| open[i]).collect();
        let pick = *open.get(self.rng.random_range(0..open.len().max(1)))?;
        deck.cards.swap(deck.dealt, pick);
        deck.dealt += 1;
        Some(deck.cards[deck.dealt - 1])
    }

    fn send(&mut self, id: MailId, route: usize, now: Nanos, out: &mut impl Outlet) {
        let usual = self.usual(route, self.mails[&id].class);
        let margin = self.margin();
        let Some(mail) = self.mails.get_mut(&id) else { return };
        let left = mail.due - now - margin;
        let time_out = match self.classes[mail.class].facts.repeat {
            // For a once-only mail a time-out is a bounce, so a slow answer is worth a longer wait; but a slot held
            // for all its lifetime by a route that hangs starves every other destination.
            Repeat::OnceOnly => TIMEOUT_CEILING.min(left),
            // A crawling route still answers: its trials are given the time, or all its work would be in vain.
            _ if self.routes.suspect(route) => TRIAL_TIMEOUT.min(left),
            _ => ((TIMEOUT_TIMES * usual) as Nanos).clamp(TIMEOUT_FLOOR, TIMEOUT_CEILING).min(left),
        };
        let fresh = now < self.tight_until[self.routes.kind[route]];
        if fresh {
            out.hang_up(self.routes.id[route]);
        }
        mail.out = Some(Connect { no: ConnectNo(mail.connects), route, at: now, fresh });
        mail.connects += 1;
        self.out += 1;
        self.routes.out[route].push((now, id));
        self.routes.sent_at[route] = now;
        self.routes.stretch[route] = self.rng.random_range(0.5..1.5);
        self.gates.sent_at[self.routes.gate[route]] = now;
        self.shift(id, Stage::Out, out);
        out.connect(id, self.routes.id[route], time_out);
    }

    /// The next moment at which something may be due without any news.
    fn next_wake(&self, now: Nanos) -> Nanos {
        let mut at = NEVER;
        let mut note = |t: Nanos| {
            if t > now {
                at = at.min(t);
            }
        };
        for route in 0..self.routes.id.len() {
            for &(at, id) in &self.routes.out[route] {
                note(at + self.silent_after(route, self.mails[&id].class));
            }
        }
        for (&id, mail) in self.mails.iter().filter(|(_, m)| !m.stage.ended()) {
            note(if mail.stage == Stage::Out { mail.due } else { mail.due.saturating_sub(self.margin()) });
            if mail.stage == Stage::Waiting && self.out < self.facts.slots {
                let turn = self.turn_at(id, mail);
                for &route in self.cards(mail.dest) {
                    note(self.opens_at(route, mail, now).max(turn).max(self.no_slot_until));
                }
            }
        }
        at
    }
}

impl Routes {
    fn add(&mut self, entry: &ListEntry, gate: usize, kind: usize) -> usize {
        self.id.push(entry.endpoint);
        self.zone.push(entry.zone);
        self.gate.push(gate);
        self.serving.push(false);
        self.out.push(Vec::new());
        self.mode.push(Mode::Open);
        self.fail.push(0.0);
        self.dest.push(entry.destination);
        self.closed_until.push(0);
        self.wait.push(FIRST_WAIT);
        self.kind.push(kind);
        self.sent_at.push(0);
        self.room.push(usize::MAX);
        self.traffic.push(0.0);
        self.traffic_at.push(0);
        self.spoke_at.push(0);
        self.stretch.push(1.0);
        self.struck.push(false);
        self.id.len() - 1
    }

    /// The routes that one limit binds.
    fn of_gate(&self, gate: usize) -> impl Iterator<Item = usize> + use<> {
        let bound: Vec<usize> = (0..self.gate.len()).filter(|&r| self.gate[r] == gate).collect();
        bound.into_iter()
    }

    fn suspect(&self, route: usize) -> bool {
        matches!(self.mode[route], Mode::Suspect { .. })
    }

    /// Lets the route's traffic fade up to now and adds to it, while the route is open and sound.
    fn count(&mut self, route: usize, now: Nanos, relayed: f64) {
        if self.mode[route] == Mode::Open && !self.struck[route] {
            let faded = (-((now - self.traffic_at[route]) as f64) / TRAFFIC_SPAN).exp();
            self.traffic[route] = self.traffic[route] * faded + relayed;
            self.traffic_at[route] = now;
        }
    }
}

impl Gates {
    fn add(&mut self) -> usize {
        self.gap.push(0);
        self.sent_at.push(0);
        self.refused_at.push(0);
        self.refused_since.push(None);
        self.gap.len() - 1
    }
}
