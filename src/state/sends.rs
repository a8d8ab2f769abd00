//! What is noted when a connect is sent.

use super::{Dispatcher, connects::Connect};
use crate::interface::*;

impl Dispatcher {
    /// Notes a connect of a mail that waited, as one more of the latest call.
    pub(crate) fn note_sent(&mut self, mail: MailId, route: usize, fresh: bool) {
        let new = self.mails[&mail].new;
        let rests = self.now - self.routes[route].sent_at;
        let connect = Connect {
            at: self.now,
            mail,
            no: ConnectNo(new.past.connects),
            call: self.calls,
            class: new.class.0,
            route,
            fresh,
            rested: self.out.latest_of(self.calls).map_or(rests, |first| first.rested),
            called_off: false,
        };
        self.out.push(connect);
        self.routes[route].sent_at = self.now;
        self.routes.limit_mut(route).sent_at = self.now;
    }
}
