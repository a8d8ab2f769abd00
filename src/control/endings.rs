//! Whether a mail goes again, when it is given up, and with which answer.

use super::*;

impl Dispatcher {
    /// Whether connects, lifetime and window allow one more connect.
    pub(super) fn may_go_again(&self, mail: &Mail) -> bool {
        mail.new.past.connects < self.facts.max_connects
            && self.now + self.margin < mail.new.due
            && self.repeatable(mail, None, self.now)
    }

    /// Whether earlier connects, and one of `then` that may have run, allow one that begins now.
    pub(super) fn repeatable(&self, mail: &Mail, then: Option<Nanos>, now: Nanos) -> bool {
        match (mail.new.past.ran.map(|ran| ran.0).or(then), self.facts.classes[mail.new.class.0].repeat) {
            (None, _) | (_, Repeat::Redeliverable) => true,
            (Some(at), Repeat::Tagged { window, .. }) => now + self.facts.tick < at + window,
            (Some(_), Repeat::OnceOnly) => false,
        }
    }

    /// After a connect that may still run its key rests.
    pub(super) fn rest_key(&mut self, end: &ConnectEnd) {
        let mail = &self.mails[&end.mail];
        let Some(line) = self.keys.get_mut(mail.new.key) else { return };
        line.loose -= u32::from(mail.stage.ended());
        if matches!(end.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::CalledOff) {
            line.rest_until = self.now + self.facts.key_rest + self.facts.tick;
        }
    }

    /// What becomes of a mail after a connect of it has ended.
    pub(super) fn continue_mail(&mut self, end: &ConnectEnd, out: &mut impl Outlet) {
        let mail = &self.mails[&end.mail];
        let over = end.over || end.outcome == Outcome::Relayed;
        match mail.stage {
            Stage::Out if over => self.shift(end.mail, Stage::Over, out),
            Stage::Out if self.may_go_again(mail) => self.shift(end.mail, Stage::Waiting, out),
            Stage::Out => self.give_up(end.mail, out),
            stage => self.shift(end.mail, stage, out),
        }
    }

    /// Gives the final answer: deferred where that is harmless, else bounced.
    pub(super) fn give_up(&mut self, id: MailId, out: &mut impl Outlet) {
        let mail = &self.mails[&id];
        let harmless = !self.out.has(id)
            && match (mail.new.past.ran, self.facts.classes[mail.new.class.0].repeat) {
                (None, _) | (_, Repeat::Redeliverable) => true,
                (Some((at, _)), Repeat::Tagged { window, same_zone: false }) => mail.new.due <= at + window,
                _ => false,
            };
        self.shift(id, if harmless { Stage::Deferred } else { Stage::Bounced }, out);
    }

    /// When a client had best come back: when a route of the destination opens again.
    pub(crate) fn come_back(&self, id: MailId) -> Nanos {
        let cards = self.routes.cards(self.mails[&id].new.destination);
        let serving = cards.iter().map(|&card| &self.routes[card]).filter(|route| route.entry.serving);
        let soonest = serving.map(|route| route.closed_until).min().unwrap_or(0);
        soonest.saturating_sub(self.now).min(self.facts.max_come_back)
    }

    pub(super) fn end_overdue(&mut self, out: &mut impl Outlet) {
        let mails = self.out.iter().map(|connect| &self.mails[&connect.mail]);
        let late = mails.filter(|mail| mail.stage == Stage::Out && self.now >= mail.new.due);
        let mut overdue: BTreeSet<MailId> = late.map(|mail| mail.new.id).collect();
        for (like, line) in self.waiting.lines() {
            // Those alike end by when they are due, unless windows or keys tell of each.
            let each = like.ran_in.is_some() || self.facts.classes[like.class].ordered;
            for place in line {
                let mail = &self.mails[&place.id];
                if !self.may_go_again(mail) || self.blocks_key(mail) {
                    overdue.insert(place.id);
                } else if !each {
                    break;
                }
            }
        }
        overdue.into_iter().for_each(|id| self.give_up(id, out));
    }

    /// Whether a mail that may have run holds up its key, all routes left suspect. Could lose it too soon.
    fn blocks_key(&self, mail: &Mail) -> bool {
        let behind = self.keys.get(mail.new.key).map_or(0, |line| line.mails.len());
        let patience = self.facts.classes[mail.new.class.0].target_delay;
        let Some((at, zone)) = mail.new.past.ran.filter(|_| behind > 1) else { return false };
        let sound = |route: &Route| route.entry.zone == zone && route.entry.serving && !route.suspect;
        let cards = self.routes.cards(mail.new.destination);
        self.now >= at + patience && !cards.iter().any(|&card| sound(&self.routes[card]))
    }
}
