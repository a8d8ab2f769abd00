//! All decisions of a dispatcher: which mail goes next, by which route, when one is given up. Call the method
//! for what happens, with the clock and an [`Outlet`] that acts at once. `docs/design.md` says why.

use crate::chance::Chance;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const MS: Nanos = 1_000_000;
const NEVER: Nanos = Nanos::MAX;
/// Untold suspension: shorter than the spans in which limits are counted.
const FIRST_WAIT: Nanos = 250 * MS;
const LONGEST_WAIT: Nanos = 2_000 * MS;
/// Up to so many dispatchers see each route often; with more, untold waits grow by a power of the ratio.
const FEW: f64 = 3.0;
const CROWD_POWER: f64 = 0.65;
/// Their spread, from nought on, in the crowd's mean wait: a clump refused at one moment comes back apart.
const CROWD_SPREAD: f64 = 3.0;
/// The gap: its first step, its cap (a shut route refuses long; its gap must not outlive it), its share.
const GAP_STEP: Nanos = 40 * MS;
const LONGEST_GAP: Nanos = 1_000 * MS;
const GAP_SHARE: f64 = 0.15;
/// Where a limit is listed the first gap is a share of it, the longest so many.
const MOST_SHARES: f64 = 4.0;
/// Refused for so long, a route was shut or hung, and returns cold.
const SHUT_AFTER: Nanos = 2_500 * MS;
/// So many connections refused at once, and nothing relayed: it is down, and returns cold.
const DOWN_AFTER: u32 = 3;
/// A route is silent when its oldest connect is this many usual answer times old, and no less than the floor.
const SILENT_TIMES: f64 = 5.0;
/// The patience is cut, down to this part, by the share of connects not answered in usual time; one's weight.
const LEAST_PATIENCE: f64 = 0.4;
const MISSED_WEIGHT: f64 = 0.15;
const SILENT_FLOOR: Nanos = 700 * MS;
/// Time-outs, as multiples of the usual answer time, with floor and ceiling.
const TIMEOUT_TIMES: f64 = 8.0;
const TIMEOUT_FLOOR: Nanos = 2_000 * MS;
const TIMEOUT_CEILING: Nanos = 8_000 * MS;
/// The weight of one outcome in a route's failure share, and the share over which it is sick.
const FAIL_WEIGHT: f64 = 0.25;
const FAIL_MARGIN: f64 = 0.4;
/// Rest between trials of a suspect route; once-only mails stand back by the spare.
const TRIAL_REST: Nanos = 400 * MS;
const SPARE: Nanos = 2_500 * MS;
/// Between sends of all dispatchers together to a cold route that had hardly any traffic, or a struck one.
const COLD_REST: Nanos = 700 * MS;
const STRUCK_REST: Nanos = 300 * MS;
/// How long a trial may take: a crawling route answers, and a tagged mail must be repeatable after it.
const TRIAL_TIMEOUT: Nanos = 5_000 * MS;
/// The least weight of one answer in the usual answer times, and the usual time before any is known.
const PACE_WEIGHT: f64 = 0.1;
const FIRST_USUAL: f64 = 300e6;
/// What a warm route can take over what it took, and over how long that is averaged.
const COLD_ROOM: f64 = 1.2;
const TRAFFIC_SPAN: f64 = 8e9;
/// How far ahead the ranking looks at least, and by how much less than the backlog takes; worth counts too.
const HORIZON: Nanos = 1_500 * MS;
const SHORT_BACKLOG: f64 = 2e9;
const WORTH_ITSELF: f64 = 0.03;
/// What is learnt of an endpoint outlasts it by so long, in case it returns.
const FORGET_AFTER: Nanos = 60_000 * MS;
/// The shares of the slots that one destination, and all suspect routes together, may hold.
const SLOT_SHARE: f64 = 0.35;
/// Times what is free in the hold, what one destination's mails of the worthiest class may take of it.
const DOOR_SHARE: f64 = 4.0;
const TRIAL_SHARE: f64 = 0.25;
/// How long a kind keeps no idle connections once this share of connects met drops or full tables, the least
/// weight of one in it; one is enough where nothing had gone for so long.
const TIGHT: Nanos = 60_000 * MS;
const TIGHT_RESTED: Nanos = 2_000 * MS;
const TIGHT_SHARE: f64 = 0.15;
const TIGHT_WEIGHT: f64 = 0.05;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Out,
    Over, // Relayed, or withdrawn.
    Deferred,
    Bounced,
}

impl Stage {
    fn ended(self) -> bool {
        !matches!(self, Stage::Waiting | Stage::Out)
    }
}

#[derive(Clone, Copy)]
struct Connect {
    at: Nanos,
    mail: MailId,
    no: ConnectNo,
    /// Mails of a batch go in one call: it takes one slot and has one fate.
    call: u64,
    class: usize,
    route: usize,
    /// Idle connections were given back before it; for how long nothing had gone there.
    fresh: bool,
    rested: Nanos,
    called_off: bool,
}

struct Mail {
    /// With what has been done for it until now.
    new: NewMail,
    stage: Stage,
}

/// What mails have in common that go by the same routes: destination, class, the zone they may have run in.
type Like = (DestinationId, usize, Option<usize>);

impl Mail {
    fn like(&self) -> Like {
        (self.new.destination, self.new.class.0, self.new.past.ran.map(|(_, zone)| zone.0))
    }
}

#[derive(Default)]
struct KeyLine {
    mails: VecDeque<MailId>,
    /// Ended mails whose last connect has no outcome yet.
    loose: u32,
    rest_until: Nanos,
}

#[derive(Default)]
struct Route {
    /// `serving` there is what the list says, unless the route is held out by hand.
    entry: ListEntry,
    listed: bool,
    /// What a limit binds, by its first route: the route where routes are apart, else all of a destination's.
    gate: usize,
    /// Held for silence or failing: one trial at a time.
    suspect: bool,
    /// Cold from then on, when it had answered again.
    cold_since: Option<Nanos>,
    fail: f64,
    /// Suspended until then, and for how long the next time if no wait is told.
    closed_until: Nanos,
    wait: Nanos,
    sent_at: Nanos,
    /// Mails relayed of late, fading while it is sound, and when that was reckoned.
    traffic: f64,
    traffic_at: Nanos,
    spoke_at: Nanos,
    /// Connections that it refused at once since it last relayed.
    unmet: u32,
    /// Stretches each space between sends to a cold or struck route, and untold waits; drawn with each send.
    stretch: f64,
    /// Something failed there, or was refused for long, since it was last sound: it will return cold.
    struck: bool,
    /// Under the place of the gate, what its limit shows.
    gap: Nanos,
    gate_sent_at: Nanos,
    refused_at: Nanos,
    refused_since: Option<Nanos>,
}

#[derive(Default)]
struct Deck {
    cards: Vec<usize>,
    dealt: usize,
    shared_gate: Option<usize>,
    /// By how much its answer times are over the usual ones, and how many answers told of it.
    slower: f64,
    answers: f64,
}

#[derive(Default)]
pub struct Dispatcher {
    facts: BootFacts,
    rng: Chance,
    usual: Vec<f64>,
    routes: Vec<Route>,
    index: BTreeMap<EndpointId, usize>,
    decks: BTreeMap<DestinationId, Deck>,
    mails: BTreeMap<MailId, Mail>,
    /// The mails that wait, those alike together, by when they are due: each asked, a backlog took all time.
    waiting: BTreeMap<Like, BTreeSet<(Nanos, MailId)>>,
    /// Taken out by hand: nothing new goes there, whatever the list says, until it is put back.
    held_out: BTreeSet<EndpointId>,
    keys: BTreeMap<KeyId, KeyLine>,
    out: Vec<Connect>,
    calls: u64,
    no_slot_until: Nanos,
    trial_until: Nanos,
    missed: f64,
    /// By kind: the share of connects that met drops or full tables, of how many; no idle ones until then.
    tight: BTreeMap<usize, (f64, f64, Nanos)>,
    /// Where lists come only to those who ask: when to ask, and how far the next time is spread.
    ask_at: Nanos,
    ask_spread: Nanos,
    margin: Nanos,
    wake_at: Nanos,
    now: Nanos,
}

impl Dispatcher {
    pub fn boot(now: Nanos, facts: BootFacts) -> Self {
        let (rng, usual) = (Chance::seeded(facts.seed), vec![FIRST_USUAL; facts.classes.len()]);
        let margin = 2 * facts.tick;
        let mut d =
            Dispatcher { rng, usual, margin, wake_at: NEVER, ask_at: NEVER, facts, ..Self::default() };
        d.ask_later(now);
        d
    }

    /// Sets when discovery is asked: a call of each within `ask_within`, spread. A drain is learnt later.
    fn ask_later(&mut self, now: Nanos) {
        if let Some(within) = self.facts.ask_within {
            // After a failed call there is four times as long; shorter rests would fill the line in vain.
            let (least, most) = (self.ask_spread / 2, (self.ask_spread * 3 / 2).max(within / 4 * 3));
            self.ask_at = now + self.rng.range(least..most.max(least + 1));
            self.ask_spread = (self.ask_spread * 2).clamp(within, 2 * within);
        }
    }

    pub fn list_lost(&mut self, now: Nanos, out: &mut impl Outlet) {
        self.ask_later(now);
        self.go_on(now, out);
    }

    pub fn list_news(&mut self, now: Nanos, scope: ListScope, entries: &[ListEntry], out: &mut impl Outlet) {
        self.ask_spread *= Nanos::from(self.ask_at != NEVER); // Else the watch serves.
        if scope == ListScope::Whole {
            let serving = self.routes.iter_mut().filter(|r| r.entry.serving);
            serving.for_each(|r| (r.entry.serving, r.sent_at) = (false, now));
            self.routes.iter_mut().for_each(|r| r.listed = false);
        }
        for entry in entries {
            let known = self.index.get(&entry.endpoint).copied();
            let new = || entry.serving.then(|| self.add_route(entry, now, out));
            let Some(route) = known.or_else(new) else { continue };
            let serving = entry.serving && !self.held_out.contains(&entry.endpoint);
            let r = &mut self.routes[route];
            r.listed = entry.serving;
            r.entry.rate = if entry.rate > 0.0 { entry.rate } else { r.entry.rate }; // It may have been told.
            if std::mem::replace(&mut r.entry.serving, serving) != serving {
                r.sent_at = now; // All dispatchers hear of its return at once.
            }
        }
        self.go_on(now, out);
    }

    pub fn mails_taken(&mut self, now: Nanos, all: impl IntoIterator<Item = NewMail>, out: &mut impl Outlet) {
        self.now = now;
        for new in all {
            let key = new.key.filter(|_| self.facts.classes[new.class.0].ordered);
            if let Some(key) = key {
                self.keys.entry(key).or_default().mails.push_back(new.id);
            }
            let mail = Mail { new: NewMail { key, ..new }, stage: Stage::Waiting };
            let over = !self.may_go_again(&mail, now);
            self.waiting.entry(mail.like()).or_default().insert((new.due, new.id));
            self.mails.insert(new.id, mail);
            if over {
                self.give_up(new.id, out); // By its past.
            }
        }
        self.go_on(now, out);
    }

    pub fn connect_ended(&mut self, now: Nanos, end: ConnectEnd, out: &mut impl Outlet) {
        self.now = now;
        let Some(i) = self.out.iter().position(|c| c.mail == end.mail && c.no == end.no) else { return };
        let connect = self.out.remove(i);
        let Some(mail) = self.mails.get_mut(&end.mail) else { return };
        let key = mail.new.key;
        if end.outcome.may_have_run() && mail.new.past.ran.is_none() {
            mail.new.past.ran = Some((connect.at, self.routes[connect.route].entry.zone));
        }
        // A call is one piece of news; but a wait binds from the first mail that tells it.
        if matches!(end.outcome, Outcome::Full(_)) || self.count_out(|o| o.call == connect.call) == 0 {
            self.learn(now, connect, &end, out);
        }
        if let Some(line) = key.and_then(|key| self.keys.get_mut(&key)) {
            if matches!(end.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::CalledOff) {
                line.rest_until = now + self.facts.key_rest + self.facts.tick;
            }
            if self.mails[&end.mail].stage.ended() {
                line.loose -= 1;
            }
        }
        let mail = &self.mails[&end.mail];
        let over = end.over || end.outcome == Outcome::Relayed;
        match mail.stage {
            Stage::Out if over => self.shift(end.mail, Stage::Over, out),
            Stage::Out if self.may_go_again(mail, now) => self.shift(end.mail, Stage::Waiting, out),
            Stage::Out => self.give_up(end.mail, out),
            stage => self.shift(end.mail, stage, out),
        }
        self.go_on(now, out);
        // Idle connections fill tables; what is sent on one dropped unseen is lost. New ones cost handshakes.
        if self.tight(connect.route, now) {
            out.hang_up(self.routes[connect.route].entry.endpoint);
        }
    }

    pub fn woken(&mut self, now: Nanos, out: &mut impl Outlet) {
        // A wake may come a little early; taken for a stale one its mails would be lost.
        if self.wake_at <= now + self.facts.tick {
            self.wake_at = NEVER;
        }
        self.go_on(now, out);
    }

    pub fn mail_withdrawn(&mut self, now: Nanos, mail: MailId, out: &mut impl Outlet) {
        if self.mails.get(&mail).is_some_and(|m| !m.stage.ended()) {
            self.shift(mail, Stage::Over, out);
        }
        self.go_on(now, out);
    }

    /// An endpoint is taken out by hand, or put back. It is restarted while it is out, so it returns cold.
    pub fn hold_out(&mut self, now: Nanos, endpoint: EndpointId, out: bool, outlet: &mut impl Outlet) {
        let changed = if out { self.held_out.insert(endpoint) } else { self.held_out.remove(&endpoint) };
        if let Some(r) = self.index.get(&endpoint).map(|&r| &mut self.routes[r]).filter(|_| changed) {
            (r.entry.serving, r.sent_at, r.struck) = (r.listed && !out, now, r.struck || !out);
            outlet.hang_up(endpoint);
        }
        if changed {
            self.go_on(now, outlet);
        }
    }

    /// The listed endpoints that are avoided now: held out by hand, or held for silence or failing.
    pub fn avoided(&self) -> usize {
        self.routes.iter().filter(|r| r.listed && (!r.entry.serving || r.suspect)).count()
    }

    /// Whether a front with a door of its own lets one more in; what is in goes on waiting. One destination's
    /// mails may take so much of what is free, by worth, that a hung one leaves room for the others.
    pub fn admits(&self, class: ClassId, destination: DestinationId) -> bool {
        let free = self.facts.holding_room.saturating_sub(self.mails.len() + 1) as f64;
        let most = self.facts.classes.iter().map(|row| row.importance).fold(f64::MIN_POSITIVE, f64::max);
        let share = DOOR_SHARE * self.facts.classes[class.0].importance / most;
        (self.backlog(destination) as f64) < free * share
    }

    /// Whether a connect may be written whose connection came up now: no drain, wait or window's end since.
    pub fn may_begin(&self, now: Nanos, mail: MailId, endpoint: EndpointId) -> bool {
        self.still_open(now, endpoint) && self.mails.get(&mail).is_some_and(|m| self.repeatable(m, None, now))
    }

    pub fn still_open(&self, now: Nanos, endpoint: EndpointId) -> bool {
        let open = |&r: &usize| self.routes[r].entry.serving && self.routes[r].closed_until <= now;
        self.index.get(&endpoint).is_some_and(open)
    }

    fn add_route(&mut self, entry: &ListEntry, now: Nanos, out: &mut impl Outlet) -> usize {
        let apart = self.facts.apart.get(entry.kind.0).copied().unwrap_or(false);
        let deck = self.decks.entry(entry.destination).or_default();
        // The place of one long gone is taken: nothing grows with ids. One back still later is taken for new.
        let long_gone = |&c: &usize| {
            let r: &Route = &self.routes[c];
            let over = !r.listed && now >= r.closed_until.max(r.sent_at + FORGET_AFTER);
            over && deck.shared_gate != Some(c) && !self.out.iter().any(|o| o.route == c)
        };
        let old = deck.cards.iter().copied().find(long_gone);
        let route = old.unwrap_or(self.routes.len());
        let gate = deck.shared_gate.filter(|_| !apart).unwrap_or(route);
        deck.shared_gate = Some(gate).filter(|_| !apart);
        let entry = ListEntry { serving: !self.held_out.contains(&entry.endpoint), ..*entry };
        let new = Route { entry, listed: true, gate, wait: FIRST_WAIT, sent_at: now, ..Route::default() };
        if let Some(old) = old {
            let old = std::mem::replace(&mut self.routes[old], new).entry.endpoint;
            self.index.remove(&old);
            self.held_out.remove(&old);
            out.forget(old);
        } else {
            self.routes.push(new);
            deck.cards.push(route);
        }
        self.index.insert(entry.endpoint, route);
        // A wait told before binds it too. One listed in an outage is as cold: all backlogs meet at it.
        let (bound, r) = (self.bound(route), &mut self.routes);
        r[route].closed_until = bound.iter().map(|&s| r[s].closed_until).max().unwrap_or(0);
        r[route].struck = bound.iter().any(|&s| r[s].struck);
        r[route].traffic = r[bound[0]].traffic;
        r[route].stretch = self.rng.range(0.5..1.5);
        route
    }

    /// The only place where a mail changes its stage: gives the final answers and keeps the counts.
    fn shift(&mut self, id: MailId, to: Stage, out: &mut impl Outlet) {
        let Some(mail) = self.mails.get_mut(&id) else { return };
        let from = std::mem::replace(&mut mail.stage, to);
        let (key, like, place) = (mail.new.key, mail.like(), (mail.new.due, id));
        if to == Stage::Waiting {
            self.waiting.entry(like).or_default().insert(place);
        } else if from == Stage::Waiting
            && let Some(line) = self.waiting.get_mut(&like)
        {
            line.remove(&place);
            if line.is_empty() {
                self.waiting.remove(&like);
            }
        }
        match to {
            Stage::Out if from != to => mail.new.past.connects += 1,
            Stage::Deferred if from != to => out.defer(id, self.come_back(id)),
            Stage::Bounced if from != to => out.bounce(id),
            _ => {}
        }
        if !to.ended() {
            return;
        }
        let still_out = self.count_out(|c| c.mail == id) > 0;
        if !from.ended() {
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

    fn give_up(&mut self, id: MailId, out: &mut impl Outlet) {
        let mail = &self.mails[&id];
        let harmless = self.count_out(|c| c.mail == id) == 0
            && match (mail.new.past.ran, self.facts.classes[mail.new.class.0].repeat) {
                (None, _) | (_, Repeat::Redeliverable) => true,
                (Some((at, _)), Repeat::Tagged { window, same_zone: false }) => mail.new.due <= at + window,
                _ => false,
            };
        self.shift(id, if harmless { Stage::Deferred } else { Stage::Bounced }, out);
    }

    fn cards(&self, dest: DestinationId) -> &[usize] {
        self.decks.get(&dest).map_or(&[], |d| &d.cards)
    }

    fn backlog(&self, dest: DestinationId) -> usize {
        self.waiting.range((dest, 0, None)..).take_while(|(l, _)| l.0 == dest).map(|(_, ids)| ids.len()).sum()
    }

    fn bound(&self, route: usize) -> Vec<usize> {
        let same = |&r: &usize| self.routes[r].gate == self.routes[route].gate;
        self.cards(self.routes[route].entry.destination).iter().copied().filter(same).collect()
    }

    /// When a client had best come back: when a route of the destination opens again.
    fn come_back(&self, id: MailId) -> Nanos {
        let routes = self.cards(self.mails[&id].new.destination).iter().map(|&r| &self.routes[r]);
        let soonest = routes.filter(|r| r.entry.serving).map(|r| r.closed_until).min().unwrap_or(0);
        soonest.saturating_sub(self.now).min(self.facts.max_come_back)
    }

    fn may_go_again(&self, mail: &Mail, now: Nanos) -> bool {
        mail.new.past.connects < self.facts.max_connects
            && now + self.margin < mail.new.due
            && self.repeatable(mail, None, now)
    }

    /// Whether earlier connects, and one of `then` that may have run, allow one that begins now.
    fn repeatable(&self, mail: &Mail, then: Option<Nanos>, now: Nanos) -> bool {
        match (mail.new.past.ran.map(|r| r.0).or(then), self.facts.classes[mail.new.class.0].repeat) {
            (None, _) | (_, Repeat::Redeliverable) => true,
            (Some(at), Repeat::Tagged { window, .. }) => now + self.facts.tick < at + window,
            (Some(_), Repeat::OnceOnly) => false,
        }
    }

    fn usual(&self, dest: DestinationId, class: usize) -> f64 {
        self.usual[class] * (1.0 + self.decks.get(&dest).map_or(0.0, |d| d.slower))
    }

    fn learn(&mut self, now: Nanos, connect: Connect, end: &ConnectEnd, out: &mut impl Outlet) {
        let Connect { route, class, .. } = connect;
        let (gate, kind) = (self.routes[route].gate, self.routes[route].entry.kind.0);
        if self.paces(end.limit) {
            self.bound(route).into_iter().for_each(|r| self.routes[r].entry.rate = end.limit);
        }
        let late = end.took > self.silent_after(route, class);
        if matches!(end.outcome, Outcome::Relayed | Outcome::TimedOut | Outcome::CalledOff) {
            let missed = f64::from(u8::from(late || end.outcome != Outcome::Relayed));
            self.missed += MISSED_WEIGHT * (missed - self.missed);
        }
        let part = self.facts.slots as f64 * TRIAL_SHARE;
        if self.routes[route].suspect && part < 1.0 && (late || end.outcome != Outcome::Relayed) {
            self.trial_until = now + (end.took as f64 * (1.0 / part - 1.0)) as Nanos;
        }
        let at_once = end.outcome == Outcome::Unconnected && end.took < self.facts.connect_timeout / 2;
        // No drop: a reset as late as an answer. No full table: a route that refuses again before it relays.
        let early = (end.took as f64) < self.usual(self.routes[route].entry.destination, class) / 2.0;
        let sound = self.routes[route].wait == FIRST_WAIT && !self.routes[route].struck;
        let met = !connect.fresh && ((at_once && sound) || (end.outcome == Outcome::Reset && early));
        let (share, of, until) = self.tight.entry(kind).or_default();
        *of += 1.0;
        *share += (1.0 / *of).max(TIGHT_WEIGHT) * (f64::from(u8::from(met)) - *share);
        if connect.fresh && end.outcome == Outcome::Reset {
            (*share, *of, *until) = (0.0, 1.0 / TIGHT_WEIGHT, now); // New ones break as well.
        }
        let many = *share > TIGHT_SHARE || connect.rested > TIGHT_RESTED;
        if met && many && std::mem::replace(until, now + TIGHT) <= now {
            out.log(&format!("kind {kind} keeps no idle connections: {share:.2} of connects"));
            self.routes.iter().filter(|r| r.entry.kind.0 == kind).for_each(|r| out.hang_up(r.entry.endpoint));
        }
        match end.outcome {
            Outcome::Relayed => {
                self.routes[gate].refused_since = None;
                let gap = self.routes[gate].gap as f64 * (1.0 - GAP_SHARE);
                self.routes[gate].gap = if gap < GAP_STEP as f64 / 4.0 { 0 } else { gap as Nanos };
                self.routes[route].unmet = 0;
                // One that refuses connections is not opened by its siblings' answers.
                for r in self.bound(route) {
                    if self.routes[r].unmet == 0 {
                        self.routes[r].wait = FIRST_WAIT;
                    }
                }
                self.routes[route].count(now, 1.0);
                self.routes[route].fail *= 1.0 - FAIL_WEIGHT;
                if !late {
                    self.routes[route].spoke_at = now;
                    let usual = &mut self.usual[class];
                    let deck = self.decks.entry(self.routes[route].entry.destination).or_default();
                    let pace = 1.0 + deck.slower;
                    *usual += PACE_WEIGHT * (end.took as f64 / pace - *usual);
                    let seen = (end.took as f64 / *usual).max(0.1);
                    deck.answers += 1.0;
                    deck.slower += (1.0 / (1.0 + deck.answers)).max(PACE_WEIGHT) * (seen - pace);
                }
                match self.routes[route].suspect && late {
                    true => self.suspect(route, now, "", out),
                    false => self.cleared(connect, now, end.took, out),
                }
            }
            Outcome::Full(told) => self.refused(route, connect.at, now, told),
            // No connection, said at once: its table is full, or it is down. It alone is refused, untold.
            Outcome::Unconnected if at_once => {
                self.suspend(route, now, 0);
                self.routes[route].unmet += 1;
                let seldom = u32::from(self.crowd(route) > 1.0); // It is met seldom, and one fewer has to do.
                if self.routes[route].unmet + seldom >= DOWN_AFTER {
                    self.routes[route].strike(now);
                }
            }
            Outcome::Reset if !connect.fresh && early => {} // Perhaps an idle connection dropped unseen.
            Outcome::Unsent(true) => self.no_slot_until = now + 10 * self.facts.tick,
            Outcome::Unsent(false) | Outcome::CalledOff => {}
            _ => {
                // Single answers are spoilt on the way from any route; one that spoils all is found later.
                let spoilt = end.outcome == Outcome::Spoilt;
                let part = if spoilt { FAIL_WEIGHT / 4.0 } else { FAIL_WEIGHT };
                let share = self.routes[route].fail * (1.0 - part) + part;
                self.routes[route].fail = share;
                // In a crowd each meets a route seldom: one connection not had in time says that it is gone.
                let gone = end.outcome == Outcome::Unconnected && self.crowd(route) > 1.0;
                if (spoilt || self.routes[route].open()) && share <= FAIL_MARGIN && !gone {
                    return;
                }
                self.routes[route].strike(now);
                self.routes[route].cold_since = None;
                self.suspect(route, now, &format!("failure share {share:.2}"), out);
            }
        }
    }

    /// A refusal as full: suspends all that the limit binds, widens the gap. Connects out then tell no more.
    fn refused(&mut self, route: usize, sent: Nanos, now: Nanos, told: Nanos) {
        let gate = self.routes[route].gate;
        let crowd = self.crowd(route);
        let shut_after = (SHUT_AFTER as f64 / crowd) as Nanos;
        // One that opens again in a crowd gets one mail of each first, and the next once that is answered.
        let step = ((GAP_STEP as f64 * crowd) as Nanos).min(LONGEST_GAP);
        let fresh = sent >= self.routes[gate].refused_at;
        let since = *self.routes[gate].refused_since.get_or_insert(now);
        if fresh {
            let share = self.pace(gate) * self.routes[route].stretch; // Many are refused at once.
            let (gap, most) = (&mut self.routes[gate].gap, LONGEST_GAP.max((MOST_SHARES * share) as Nanos));
            *gap = (*gap * 2).clamp(step.max(share as Nanos), most);
            self.routes[gate].refused_at = now;
        }
        for route in self.bound(route) {
            if fresh || told > 0 {
                self.suspend(route, now, told);
            }
            if told >= SHUT_AFTER || (now - since >= shut_after && self.routes[gate].gap > step) {
                self.routes[route].strike(now);
            }
        }
    }

    fn crowd(&self, route: usize) -> f64 {
        let many = (f64::from(self.facts.dispatchers) / FEW).max(1.0).powf(CROWD_POWER);
        if self.pace(route) > 0.0 { 1.0 } else { many }
    }

    /// The time in which its limit, as listed, takes one connect of each dispatcher; nought where none is.
    fn share(&self, route: usize) -> f64 {
        let rate = self.routes[route].entry.rate;
        if rate > 0.0 { f64::from(self.facts.dispatchers) * 1e9 / rate } else { 0.0 }
    }

    /// Whether all can have mails for a limit at once: at one always met a mail waits half its lifetime.
    fn paces(&self, rate: f64) -> bool {
        rate * self.facts.longest_lifetime() as f64 / 2e9 >= f64::from(self.facts.dispatchers)
    }

    fn pace(&self, route: usize) -> f64 {
        if self.paces(self.routes[route].entry.rate) { self.share(route) } else { 0.0 }
    }

    fn suspend(&mut self, route: usize, now: Nanos, told: Nanos) {
        let (crowd, share) = (self.crowd(route), self.share(route).min(self.facts.longest_lifetime() as f64));
        let r = &mut self.routes[route];
        let times = r.wait as f64 / FIRST_WAIT as f64;
        let most = times * (FIRST_WAIT as f64 * CROWD_SPREAD * (crowd - 1.0)).max(share);
        let spread = if crowd > 1.0 { (most * (r.stretch - 0.5)) as Nanos } else { 0 };
        let base = if told > 0 { told } else { r.wait };
        let wait = if told > 0 && r.wait == FIRST_WAIT { told } else { base + spread };
        r.closed_until = r.closed_until.max(now + wait);
        r.wait = if told > 0 && crowd == 1.0 { r.wait } else { (r.wait * 2).min(LONGEST_WAIT) };
    }

    fn tight(&self, route: usize, now: Nanos) -> bool {
        self.tight.get(&self.routes[route].entry.kind.0).is_some_and(|&(_, _, until)| now < until)
    }

    /// How long a connect may go unanswered, by all routes. Could hold slow answers for silence.
    fn silent_after(&self, route: usize, class: usize) -> Nanos {
        let times = SILENT_TIMES * (1.0 - self.missed).max(LEAST_PATIENCE);
        ((times * self.usual(self.routes[route].entry.destination, class)) as Nanos).max(SILENT_FLOOR)
    }

    fn suspect(&mut self, route: usize, now: Nanos, why: &str, out: &mut impl Outlet) {
        self.routes[route].count(now, 0.0);
        let r = &mut self.routes;
        r[route].closed_until = r[route].closed_until.max(now + TRIAL_REST);
        if !std::mem::replace(&mut r[route].suspect, true) {
            out.log(&format!("route {} suspect: {why}", r[route].entry.endpoint.0));
        }
    }

    /// A mail relayed in usual time: not suspect, cold if struck. With shares all try at different times: in
    /// the mean it came back half way since the connect before. Some guess early: paced for longer.
    fn cleared(&mut self, connect: Connect, now: Nanos, took: Nanos, out: &mut impl Outlet) {
        let most = if self.share(connect.route) > 0.0 { self.facts.ramp / 2 } else { 0 };
        let (r, route) = (&mut self.routes, connect.route);
        let (suspect, cold) = (std::mem::take(&mut r[route].suspect), r[route].cold_since);
        let begun = now - most.min(connect.rested / 2);
        let begins = Some(begun).filter(|_| std::mem::take(&mut r[route].struck));
        r[route].cold_since = cold.filter(|since| now < since + self.facts.ramp + most).or(begins);
        let word = match (cold, r[route].cold_since) {
            (None, Some(_)) => "returns cold",
            (_, None) if suspect || cold.is_some() => "open",
            _ => return,
        };
        let (id, share) = (r[route].entry.endpoint.0, r[route].fail);
        out.log(&format!("route {id} {word}: relayed in {} ms, failure share {share:.2}", took / MS));
    }

    /// The space between sends to a cold or struck route: a part of what a cold one bears, by its own former
    /// traffic. Where it had next to none, all together go by one mail in `least`.
    fn space(&self, route: usize, warm: f64, least: Nanos) -> Nanos {
        let f = &self.facts;
        let rate = self.routes[route].traffic / TRAFFIC_SPAN * COLD_ROOM * warm * f.tip_multiple;
        let space = match self.share(route) {
            0.0 => 1.0 / rate.max(1e-18),
            share => share * self.bound(route).len() as f64 / (warm * f.tip_multiple),
        };
        (space.min(f64::from(f.dispatchers) * least as f64) * self.routes[route].stretch) as Nanos
    }

    /// When this mail may go by this route, as things stand; NEVER: not before something else happens.
    fn opens_at(&self, route: usize, mail: &Mail, now: Nanos) -> Nanos {
        let r = &self.routes;
        let row = &self.facts.classes[mail.new.class.0];
        let elsewhere = mail.new.past.ran.is_some_and(|(_, zone)| zone != r[route].entry.zone);
        let bound = matches!(row.repeat, Repeat::Tagged { same_zone: true, .. });
        if !r[route].entry.serving || (bound && elsewhere) {
            return NEVER;
        }
        let (gate, cold) = (r[route].gate, self.facts.cold_share);
        let mut at = r[route].closed_until.max(self.routes[gate].gate_sent_at + self.routes[gate].gap);
        if r[route].suspect {
            // One trial at a time; overdue ones hold up none. Many at once would leave sound routes no slots.
            let most = ((self.facts.slots as f64 * TRIAL_SHARE) as usize).max(1);
            if self.count_out(|o| r[o.route].suspect) >= most
                || self.count_out(|o| o.route == route && now < self.silent_at(o)) > 0
            {
                return NEVER;
            }
            at = at
                .max(self.trial_until)
                .max(r[route].closed_until + if row.repeat == Repeat::OnceOnly { SPARE } else { 0 });
        } else if let Some(since) = r[route].cold_since {
            let ramp = ((now - since) as f64 / self.facts.ramp as f64).min(1.0);
            let space = self.space(route, cold + (1.0 - cold) * ramp, COLD_REST);
            at = at.max(r[route].sent_at + space);
        }
        if r[route].struck {
            // Those told when a shut route opens come apart.
            let space = self.space(route, cold, STRUCK_REST);
            at = at.max(r[route].sent_at.max(r[route].closed_until.saturating_sub(space / 2)) + space);
        }
        at
    }

    fn count_out(&self, sort: impl Fn(&Connect) -> bool) -> usize {
        self.out.chunk_by(|a, b| a.call == b.call).filter(|call| call.iter().any(&sort)).count()
    }

    fn silent_at(&self, o: &Connect) -> Nanos {
        o.at + self.silent_after(o.route, o.class)
    }

    fn worth_at(&self, class: usize, due: Nanos, at: Nanos) -> f64 {
        let row = &self.facts.classes[class];
        let age = at.saturating_sub(due.saturating_sub(row.lifetime));
        let late = age.saturating_sub(row.target_delay) as f64;
        let share = if at >= due {
            0.0
        } else if self.facts.halves {
            0.5f64.powf(late / row.target_delay as f64).max(row.late_share)
        } else {
            1.0 - (1.0 - row.late_share) * late / (row.lifetime - row.target_delay).max(1) as f64
        };
        row.importance * share
    }

    /// What waiting for the horizon would lose of the mail's worth, for its slot time; else it goes by worth.
    fn loss_rate(&self, slot: f64, class: usize, due: Nanos, now: Nanos, horizon: Nanos) -> f64 {
        let at = now + slot as Nanos;
        let (then, later) = (self.worth_at(class, due, at), self.worth_at(class, due, at + horizon));
        ((1.0 + WORTH_ITSELF) * then - later) / slot
    }

    fn turn_at(&self, id: MailId) -> Nanos {
        if self.keys.is_empty() {
            return 0;
        }
        let mail = &self.mails[&id];
        let Some(line) = mail.new.key.and_then(|key| self.keys.get(&key)) else { return 0 };
        if line.mails.front() != Some(&id) || line.loose > 0 {
            return NEVER;
        }
        if mail.new.past.connects > 0 { 0 } else { line.rest_until }
    }

    fn go_on(&mut self, now: Nanos, out: &mut impl Outlet) {
        self.now = now;
        if now >= self.ask_at {
            self.ask_at = NEVER;
            out.ask();
        }
        self.watch_silence(now, out);
        self.end_overdue(now, out);
        self.send_all(now, out);
        if !self.facts.own_door {
            self.make_room(now, out);
        }
        self.free_slot(now, out);
        let at = self.next_wake(now);
        if at < self.wake_at {
            self.wake_at = at;
            out.wake(at - now);
        }
    }

    /// Stops silent routes from taking up the slots. One overdue while others are answered is a lost answer.
    fn watch_silence(&mut self, now: Nanos, out: &mut impl Outlet) {
        for o in self.out.clone() {
            let silent = now >= self.silent_at(&o) && o.at > self.routes[o.route].spoke_at;
            if silent && !self.routes[o.route].suspect {
                let why = format!("oldest connect {} ms unanswered", (now - o.at) / MS);
                self.suspect(o.route, now, &why, out);
            }
        }
    }

    fn end_overdue(&mut self, now: Nanos, out: &mut impl Outlet) {
        let late =
            |o: &&Connect| self.mails[&o.mail].stage == Stage::Out && now >= self.mails[&o.mail].new.due;
        let mut overdue: BTreeSet<MailId> = self.out.iter().filter(late).map(|o| o.mail).collect();
        for (like, line) in &self.waiting {
            // Those alike end by when they are due, unless windows or keys tell of each.
            let each = like.2.is_some() || self.facts.classes[like.1].ordered;
            for &(_, id) in line {
                let mail = &self.mails[&id];
                if !self.may_go_again(mail, now) || self.blocks_key(mail) {
                    overdue.insert(id);
                } else if !each {
                    break;
                }
            }
        }
        overdue.into_iter().for_each(|id| self.give_up(id, out));
    }

    /// Whether a mail that may have run holds up its key, all routes left suspect. Could lose it too soon.
    fn blocks_key(&self, mail: &Mail) -> bool {
        let behind = mail.new.key.and_then(|k| self.keys.get(&k)).map_or(0, |l| l.mails.len());
        let patience = self.facts.classes[mail.new.class.0].target_delay;
        let Some((at, zone)) = mail.new.past.ran.filter(|_| behind > 1) else { return false };
        let sound = |r: &Route| r.entry.zone == zone && r.entry.serving && !r.suspect;
        self.now >= at + patience && !self.cards(mail.new.destination).iter().any(|&r| sound(&self.routes[r]))
    }

    /// At a full hold the destination with most mails waiting gives up the one worth least, for the others.
    fn make_room(&mut self, now: Nanos, out: &mut impl Outlet) {
        while self.mails.values().filter(|m| !m.stage.ended()).count() >= self.facts.holding_room {
            let longest = self.waiting.keys().map(|like| like.0).max_by_key(|&dest| self.backlog(dest));
            let of = self.waiting.iter().filter(|(like, _)| Some(like.0) == longest);
            let worth = |class, &(due, id)| (self.worth_at(class, due, now), due, id);
            let all = of.flat_map(|(like, line)| line.iter().map(move |place| worth(like.1, place)));
            let least = all.min_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
            let Some((_, _, id)) = least else { return };
            self.give_up(id, out);
        }
    }

    fn send_all(&mut self, now: Nanos, out: &mut impl Outlet) {
        while self.count_out(|_| true) < self.facts.slots && now >= self.no_slot_until {
            // Through a long backlog all mails would go out just before their end. Harm: a burst is late.
            let takes = self.waiting.iter().map(|(like, l)| self.usual[like.1] * l.len() as f64).sum::<f64>();
            let horizon = HORIZON.max((takes / self.facts.slots as f64 - SHORT_BACKLOG) as Nanos);
            let mut best: Option<(f64, Nanos, MailId)> = None;
            for (like, line) in self.waiting.iter().filter(|(_, line)| self.has_route(line, now)) {
                let slot = self.usual(like.0, like.1);
                for &(due, id) in line.iter().filter(|&&(_, id)| self.turn_at(id) <= now) {
                    let worth = self.loss_rate(slot, like.1, due, now, horizon);
                    if best.is_none_or(|b| worth > b.0 || (worth == b.0 && (due, id) < (b.1, b.2))) {
                        best = Some((worth, due, id));
                    }
                }
            }
            let Some((_, _, id)) = best else { return };
            let Some(route) = self.deal(id, now) else { return };
            let batch = self.batch(id, route, now);
            self.calls += 1;
            batch.into_iter().for_each(|id| self.send(id, route, now, out));
        }
    }

    /// The mails that go in one call, as the kind allows. A trial goes alone: its silence would hold all.
    fn batch(&self, first: MailId, route: usize, now: Nanos) -> Vec<MailId> {
        let most = self.facts.batch.get(self.routes[route].entry.kind.0).copied().unwrap_or(1);
        let mut rest: Vec<(f64, Nanos, MailId)> = vec![];
        let alone = most < 2 || self.routes[route].suspect;
        let dest = self.mails[&first].new.destination;
        for (like, line) in self.waiting.iter().filter(|(like, _)| !alone && like.0 == dest) {
            let open = |id| self.turn_at(id) <= now && self.opens_at(route, &self.mails[&id], now) <= now;
            let slot = self.usual(dest, like.1);
            let loss = |due| self.loss_rate(slot, like.1, due, now, HORIZON);
            let rows = line.iter().filter(|&&(_, id)| id != first && open(id));
            rest.extend(rows.map(|&(due, id)| (loss(due), due, id)));
        }
        rest.sort_by(|a, b| b.0.total_cmp(&a.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        std::iter::once(first).chain(rest.into_iter().map(|r| r.2)).take(most.max(1)).collect()
    }

    /// With all slots taken and a mail waiting, one overdue call goes. Could bounce a once-only mail early.
    fn free_slot(&mut self, now: Nanos, out: &mut impl Outlet) {
        if self.count_out(|_| true) < self.facts.slots || self.count_out(|c| c.called_off) > 0 {
            return;
        }
        let late = |o: &Connect| {
            let more = if self.repeatable(&self.mails[&o.mail], Some(o.at), now) { 1 } else { 2 };
            let r = &self.routes[o.route];
            (r.suspect || r.spoke_at > o.at) && now >= o.at + more * (self.silent_at(o) - o.at)
        };
        let mut calls = self.out.chunk_by(|a, b| a.call == b.call);
        let Some(call) = calls.find(|c| c.iter().all(&late)).map(|c| c[0].call) else { return };
        let kept = |line: &BTreeSet<(Nanos, MailId)>| {
            self.has_route(line, now) && line.iter().any(|&(_, id)| self.turn_at(id) <= now)
        };
        if self.waiting.values().any(kept) {
            for o in self.out.iter_mut().filter(|o| o.call == call) {
                o.called_off = true;
                out.call_off(o.mail, o.no);
            }
        }
    }

    fn has_route(&self, line: &BTreeSet<(Nanos, MailId)>, now: Nanos) -> bool {
        let Some(mail) = line.first().map(|(_, id)| &self.mails[id]) else { return false };
        let most = ((self.facts.slots as f64 * SLOT_SHARE) as usize).max(2);
        let cards = self.cards(mail.new.destination);
        self.count_out(|o| self.routes[o.route].entry.destination == mail.new.destination) < most
            && cards.iter().any(|&r| self.opens_at(r, mail, now) <= now)
    }

    fn deal(&mut self, id: MailId, now: Nanos) -> Option<usize> {
        let (mail, dest) = (&self.mails[&id], self.mails[&id].new.destination);
        let open: Vec<bool> = self.cards(dest).iter().map(|&r| self.opens_at(r, mail, now) <= now).collect();
        let deck = self.decks.get_mut(&dest)?;
        if !open[deck.dealt..].contains(&true) {
            deck.dealt = 0;
        }
        let open: Vec<usize> = (deck.dealt..deck.cards.len()).filter(|&i| open[i]).collect();
        // In a round each is dealt once; first the one used last, which may have an idle connection.
        let used = |i: usize| Some(deck.cards[i]).filter(|&r| !self.out.iter().any(|o| o.route == r));
        let last = |&i: &usize| used(i).map(|r| self.routes[r].sent_at);
        let latest = open.iter().map(last).max()?;
        let open: Vec<usize> = open.into_iter().filter(|i| last(i) == latest).collect();
        let pick = open[self.rng.range(0..open.len())];
        deck.cards.swap(deck.dealt, pick);
        deck.dealt += 1;
        Some(deck.cards[deck.dealt - 1])
    }

    fn send(&mut self, id: MailId, route: usize, now: Nanos, out: &mut impl Outlet) {
        let mail = &self.mails[&id];
        let (class, no) = (mail.new.class.0, ConnectNo(mail.new.past.connects));
        let left = mail.new.due - now - self.margin;
        let usual = self.usual(mail.new.destination, class);
        let time_out = match self.facts.classes[class].repeat {
            // For a once-only mail a time-out is a bounce; but a hung route must not hold a slot for good.
            Repeat::OnceOnly => TIMEOUT_CEILING,
            _ if self.routes[route].suspect => TRIAL_TIMEOUT,
            _ => ((TIMEOUT_TIMES * usual) as Nanos).clamp(TIMEOUT_FLOOR, TIMEOUT_CEILING),
        };
        let silent = self.silent_after(route, class);
        let time_out = match self.facts.classes[class].repeat {
            // One that would outlast the window leaves time for the repeat, or else is as a once-only's.
            Repeat::Tagged { window, .. } if time_out >= window && window / 3 * 2 >= silent => window / 3 * 2,
            Repeat::Tagged { window, .. } if time_out >= window => TIMEOUT_CEILING,
            _ => time_out,
        };
        let fresh = self.tight(route, now);
        if fresh {
            out.hang_up(self.routes[route].entry.endpoint);
        }
        let with = self.out.last().filter(|o| o.call == self.calls);
        let (rested, call) = (with.map_or(now - self.routes[route].sent_at, |o| o.rested), self.calls);
        let sent = Connect { at: now, mail: id, no, call, class, route, fresh, rested, called_off: false };
        self.out.push(sent);
        self.routes[route].sent_at = now;
        self.routes[route].stretch = self.rng.range(0.5..1.5);
        let gate = self.routes[route].gate;
        self.routes[gate].gate_sent_at = now;
        self.shift(id, Stage::Out, out);
        out.connect(id, self.routes[route].entry.endpoint, time_out.min(left));
    }

    fn next_wake(&self, now: Nanos) -> Nanos {
        let mut at = NEVER;
        let mut note = |t: Nanos| at = if t > now { at.min(t) } else { at };
        note(self.ask_at);
        for o in &self.out {
            note(self.silent_at(o));
            note(2 * self.silent_at(o) - o.at);
            if !self.mails[&o.mail].stage.ended() {
                note(self.mails[&o.mail].new.due);
            }
        }
        for (like, line) in &self.waiting {
            if let Some(&(due, id)) = line.first() {
                note(due - self.margin.min(due));
                if self.count_out(|_| true) < self.facts.slots {
                    let most = if self.facts.classes[like.1].ordered { line.len() } else { 1 };
                    let turns = line.iter().take(most).map(|&(_, id)| self.turn_at(id));
                    let turns: BTreeSet<Nanos> = turns.collect();
                    for &route in self.cards(like.0) {
                        let opens = self.opens_at(route, &self.mails[&id], now).max(self.no_slot_until);
                        turns.iter().for_each(|&turn| note(opens.max(turn)));
                    }
                }
            }
        }
        at
    }
}

impl Route {
    fn strike(&mut self, now: Nanos) {
        self.count(now, 0.0);
        self.struck = true;
    }

    fn open(&self) -> bool {
        !self.suspect && self.cold_since.is_none()
    }

    /// Lets the route's traffic fade up to now and adds to it, while the route is open and sound.
    fn count(&mut self, now: Nanos, relayed: f64) {
        if self.open() && !self.struck {
            let faded = (-((now - self.traffic_at) as f64) / TRAFFIC_SPAN).exp();
            self.traffic = self.traffic * faded + relayed;
            self.traffic_at = now;
        }
    }
}
