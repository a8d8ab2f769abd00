//! The slot table against lists of ids that are in use and ids that are not any more.

mod property;

use bellsill_net::slot_table::{SlotId, SlotTable};
use property::check;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Id(u64);

impl SlotId for Id {
    fn from_raw(raw: u64) -> Self {
        Id(raw)
    }
    fn raw(self) -> u64 {
        self.0
    }
}

#[test]
fn an_id_of_a_removed_slot_finds_nothing() {
    fn property(steps: Vec<(bool, usize)>) -> bool {
        let (mut slots, mut open, mut stale) =
            (SlotTable::<Id, usize>::default(), Vec::new(), Vec::new());
        steps.into_iter().all(|(add, n)| {
            if add || open.is_empty() {
                open.push((slots.insert(|_| n), n));
            } else {
                let (id, n) = open.swap_remove(n % open.len());
                assert_eq!(slots.remove(id), Some(n));
                stale.push(id);
            }
            open.iter().all(|(id, n)| slots.get(*id) == Some(n))
                && stale.iter().all(|id| slots.get(*id).is_none())
                && slots.len() == open.len()
        })
    }
    check(200, property as fn(Vec<(bool, usize)>) -> bool);
}
