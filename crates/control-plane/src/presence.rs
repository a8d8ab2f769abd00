//! Which dispatchers have a watch, as the writer hears it, and which of them count as present.

use bellsill_net::Nanos;
use bellsill_placement::{Member, MemberName};
use std::collections::HashMap;

/// A process that looked last so long before was itself away: nothing of that time counts as a dispatcher's absence.
const AWAY: Nanos = 3_000_000_000;

/// When each dispatcher was heard of last.
pub struct Presence {
    heard: HashMap<MemberName, Nanos>,
    /// Who was never heard of counts from here.
    started: Nanos,
    grace: Nanos,
    looked: Nanos,
}

impl Presence {
    pub fn new(now: Nanos, grace: Nanos) -> Presence {
        Presence {
            heard: HashMap::new(),
            started: now,
            grace,
            looked: now,
        }
    }

    /// A dispatcher has a watch somewhere, or was declared just now.
    pub fn heard_of(&mut self, member: &MemberName, now: Nanos) {
        match self.heard.get_mut(member) {
            Some(heard) => *heard = now,
            None => drop(self.heard.insert(member.clone(), now)),
        }
    }

    /// The members whose presence is another than it is said to be, as they are now. To be called each second.
    pub fn changed(&mut self, members: &[Member], now: Nanos) -> Vec<Member> {
        self.pass_over_own_absence(now);
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

    /// A process that stood still heard nobody: all would seem gone at once, and every bucket would move.
    fn pass_over_own_absence(&mut self, now: Nanos) {
        let away = now.saturating_sub(self.looked);
        self.looked = now;
        if away > AWAY {
            self.started += away;
            self.heard
                .values_mut()
                .for_each(|heard| *heard = now.min(*heard + away));
        }
    }

    /// Who is out comes in once heard of; who is in goes out after the grace.
    fn is_present(&self, member: &Member, now: Nanos) -> bool {
        let heard = self.heard.get(&member.name).copied();
        let counted_from = match member.present {
            true => Some(heard.unwrap_or(self.started)),
            false => heard,
        };
        counted_from.is_some_and(|from| now.saturating_sub(from) <= self.grace)
    }
}
