//! Which dispatchers have a watch at any control process, as the leader learns it, and which of them count as present.

use crate::time::SECOND;
use bellsill_net::Nanos;
use bellsill_placement::{Member, MemberName};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// If the last check is longer ago, the process itself was suspended: that time does not count as any dispatcher's absence.
const SUSPENDED_AFTER: Nanos = 3 * SECOND;

/// A line of `POST /v2/presence`: a dispatcher has a watch at a follower.
#[derive(Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(crate) dispatcher: MemberName,
}

/// When each dispatcher was last seen.
pub struct Presence {
    last_seen: HashMap<MemberName, Nanos>,
    /// The absence of a dispatcher that was never seen counts from here.
    started: Nanos,
    grace: Nanos,
    last_check: Nanos,
}

impl Presence {
    /// No dispatcher has been seen yet; one counts as absent after the grace.
    pub fn new(now: Nanos, grace: Nanos) -> Presence {
        Presence {
            last_seen: HashMap::new(),
            started: now,
            grace,
            last_check: now,
        }
    }

    /// A dispatcher has a watch at some process, or was declared just now.
    pub fn record_seen(&mut self, member: &MemberName, now: Nanos) {
        match self.last_seen.get_mut(member) {
            Some(last_seen) => *last_seen = now,
            None => {
                self.last_seen.insert(member.clone(), now);
            }
        }
    }

    /// The members whose presence differs from what is recorded, with their new presence. To be called each second.
    pub fn changed(&mut self, members: &[Member], now: Nanos) -> Vec<Member> {
        self.discount_suspension(now);
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

    /// A suspended process sees nobody: all dispatchers would seem absent at once, and every bucket would move.
    fn discount_suspension(&mut self, now: Nanos) {
        let suspended = now.saturating_sub(self.last_check);
        self.last_check = now;
        if suspended > SUSPENDED_AFTER {
            self.started += suspended;
            self.last_seen
                .values_mut()
                .for_each(|last_seen| *last_seen = now.min(*last_seen + suspended));
        }
    }

    /// An absent member becomes present once it is seen; a present one becomes absent after the grace.
    fn is_present(&self, member: &Member, now: Nanos) -> bool {
        let last_seen = self.last_seen.get(&member.name).copied();
        let counted_from = match member.present {
            true => Some(last_seen.unwrap_or(self.started)),
            false => last_seen,
        };
        counted_from.is_some_and(|from| now.saturating_sub(from) <= self.grace)
    }
}
