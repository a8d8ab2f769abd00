//! Recording of sent attempts.

use super::{Dispatcher, attempts::Attempt};
use crate::interface::{AttemptNumber, MessageId};

impl Dispatcher {
    /// Records an attempt to send a waiting message as part of the latest call.
    pub(crate) fn record_send(&mut self, message: MessageId, route: usize, fresh_connection: bool) {
        let idle_for = self.now - self.routes[route].last_sent_at;
        let attempt = Attempt {
            sent_at: self.now,
            message,
            number: AttemptNumber(self.messages[&message].attempts),
            call: self.latest_call,
            class: self.messages[&message].class,
            route,
            fresh_connection,
            idle_for: self
                .in_flight
                .latest_of(self.latest_call)
                .map_or(idle_for, |first| first.idle_for),
            cancelled: false,
        };
        self.in_flight.push(attempt);
        self.routes[route].last_sent_at = self.now;
        self.routes.limiter_mut(route).last_sent_at = self.now;
    }
}
