//! The way of a mail through its stages, with the queues and counts that go along.

use super::{Dispatcher, connects::Connect, mails::*};
use crate::interface::*;

impl Dispatcher {
    /// Holds a mail that was taken on; it waits to be sent.
    pub(crate) fn hold(&mut self, new: NewMail) {
        let key = new.key.filter(|_| self.facts.classes[new.class.0].ordered);
        if let Some(key) = key {
            self.keys.join(key, new.id);
        }
        let mail = Mail { new: NewMail { key, ..new }, stage: Stage::Waiting };
        self.waiting.insert(mail.like(), mail.place());
        self.mails.insert(new.id, mail);
    }

    /// Notes the first connect of a mail that may have run.
    pub(crate) fn note_run(&mut self, connect: &Connect, outcome: Outcome) {
        let Some(mail) = self.mails.get_mut(&connect.mail) else { return };
        if outcome.may_have_run() && mail.new.past.ran.is_none() {
            mail.new.past.ran = Some((connect.at, self.routes[connect.route].entry.zone));
        }
    }

    /// The only place where a mail changes its stage: gives the final answers and keeps the counts.
    pub(crate) fn shift(&mut self, id: MailId, to: Stage, out: &mut impl Outlet) {
        let Some(mail) = self.mails.get_mut(&id) else { return };
        let from = std::mem::replace(&mut mail.stage, to);
        let (like, place) = (mail.like(), mail.place());
        if to == Stage::Waiting {
            self.waiting.insert(like, place);
        } else if from == Stage::Waiting {
            self.waiting.remove(like, place);
        }
        match to {
            Stage::Out if from != to => mail.new.past.connects += 1,
            Stage::Deferred if from != to => out.defer(id, self.come_back(id)),
            Stage::Bounced if from != to => out.bounce(id),
            _ => {}
        }
        if to.ended() {
            self.end(id, from);
        }
    }

    /// Lets go of a mail that has ended, once no connect of it is out.
    fn end(&mut self, id: MailId, from: Stage) {
        let still_out = self.out.has(id);
        if !from.ended() {
            self.keys.leave(self.mails[&id].new.key, id, still_out, self.now);
        }
        if !still_out {
            self.mails.remove(&id);
        }
    }
}
