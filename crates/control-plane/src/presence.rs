//! The leader's record of which dispatchers have a watch at any control process, and which members count as present.

use crate::time::SECOND;
use bellsill_net::Nanos;
use bellsill_placement::{Member, MemberName};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A longer interval between two checks means that the process itself was suspended. That time does not count as the
/// absence of any dispatcher.
const MAX_CHECK_INTERVAL: Nanos = 3 * SECOND;

/// A line of `POST /v2/presence`, which says that a dispatcher has a watch at a follower.
#[derive(Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(crate) dispatcher: MemberName,
}

/// Tracks when each dispatcher was last seen.
pub struct Presence {
    last_seen: HashMap<MemberName, Nanos>,
    /// The absence of a dispatcher that was never seen counts from this time.
    started: Nanos,
    grace: Nanos,
    last_check: Nanos,
}

impl Presence {
    /// Creates a tracker that has seen no dispatcher. A member that is not seen for `grace` counts as absent.
    pub fn new(now: Nanos, grace: Nanos) -> Presence {
        Presence {
            last_seen: HashMap::new(),
            started: now,
            grace,
            last_check: now,
        }
    }

    /// Records that a dispatcher has a watch at a control process, or was just declared.
    pub fn record_seen(&mut self, member: &MemberName, now: Nanos) {
        match self.last_seen.get_mut(member) {
            Some(last_seen) => *last_seen = now,
            None => {
                self.last_seen.insert(member.clone(), now);
            }
        }
    }

    /// Returns the members whose presence differs from the recorded one, with their new presence. Must be called once a
    /// second.
    pub fn changed_members(&mut self, members: &[Member], now: Nanos) -> Vec<Member> {
        self.exclude_suspension(now);
        let changed = members
            .iter()
            .filter(|member| member.present != self.is_present(member, now));
        changed
            .map(|member| Member {
                present: !member.present,
                ..member.clone()
            })
            .collect()
    }

    /// Excludes the time in which this process was suspended. Otherwise all dispatchers would count as absent at once,
    /// and every bucket would be reassigned.
    fn exclude_suspension(&mut self, now: Nanos) {
        let elapsed = now.saturating_sub(self.last_check);
        self.last_check = now;
        if elapsed > MAX_CHECK_INTERVAL {
            self.started += elapsed;
            self.last_seen
                .values_mut()
                .for_each(|last_seen| *last_seen = now.min(*last_seen + elapsed));
        }
    }

    /// An absent member becomes present once it is seen; a present one becomes absent after the grace.
    fn is_present(&self, member: &Member, now: Nanos) -> bool {
        let last_seen = self.last_seen.get(&member.name).copied();
        let absent_since = match member.present {
            true => Some(last_seen.unwrap_or(self.started)),
            false => last_seen,
        };
        absent_since.is_some_and(|from| now.saturating_sub(from) <= self.grace)
    }
}
