//! Usual answer times, and how long a connect is waited for.

use super::*;

/// Time-outs, as multiples of the usual answer time, with floor and ceiling.
const TIMEOUT_TIMES: f64 = 8.0;
const TIMEOUT_FLOOR: Nanos = 2_000 * MS;
const TIMEOUT_CEILING: Nanos = 8_000 * MS;
/// How long a trial may take: a crawling route answers, and a tagged mail must be repeatable after it.
const TRIAL_TIMEOUT: Nanos = 5_000 * MS;
/// The least weight of one answer in the usual answer times, and the usual time before any is known.
const PACE_WEIGHT: f64 = 0.1;
pub(super) const FIRST_USUAL: f64 = 300e6;

impl Dispatcher {
    /// Takes in an answer that was not late.
    pub(super) fn learn_usual(&mut self, route: usize, class: usize, took: Nanos) {
        let destination = self.routes[route].entry.destination;
        let (usual, deck) = (&mut self.usual[class], self.routes.deck_mut(destination));
        let pace = 1.0 + deck.slower;
        *usual += PACE_WEIGHT * (took as f64 / pace - *usual);
        let seen = (took as f64 / *usual).max(0.1);
        deck.answers += 1.0;
        deck.slower += (1.0 / (1.0 + deck.answers)).max(PACE_WEIGHT) * (seen - pace);
    }

    /// How long a connect of this mail by this route is waited for.
    pub(super) fn time_out(&self, mail: &NewMail, route: usize) -> Nanos {
        let (class, repeat) = (mail.class.0, self.facts.classes[mail.class.0].repeat);
        let time_out = match repeat {
            // For a once-only mail a time-out is a bounce; but a hung route must not hold a slot for good.
            Repeat::OnceOnly => TIMEOUT_CEILING,
            _ if self.routes[route].suspect => TRIAL_TIMEOUT,
            _ => self.usual_time_out(mail),
        };
        let silent = self.silent_after(route, class);
        match repeat {
            // One that would outlast the window leaves time for the repeat, or else is as a once-only's.
            Repeat::Tagged { window, .. } if time_out >= window && window / 3 * 2 >= silent => window / 3 * 2,
            Repeat::Tagged { window, .. } if time_out >= window => TIMEOUT_CEILING,
            _ => time_out,
        }
    }

    fn usual_time_out(&self, mail: &NewMail) -> Nanos {
        let times = TIMEOUT_TIMES * self.usual(mail.destination, mail.class.0);
        (times as Nanos).clamp(TIMEOUT_FLOOR, TIMEOUT_CEILING)
    }
}
