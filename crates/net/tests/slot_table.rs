//! Compares the slot table with lists of live and stale ids under random operations.

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
fn an_id_of_a_removed_entry_does_not_resolve() {
    fn property(steps: Vec<(bool, usize)>) -> bool {
        let (mut table, mut live, mut stale) =
            (SlotTable::<Id, usize>::default(), Vec::new(), Vec::new());
        steps.into_iter().all(|(add, n)| {
            if add || live.is_empty() {
                live.push((table.insert(|_| n), n));
            } else {
                let (id, n) = live.swap_remove(n % live.len());
                assert_eq!(table.remove(id), Some(n));
                stale.push(id);
            }
            live.iter().all(|(id, n)| table.get(*id) == Some(n))
                && stale.iter().all(|id| table.get(*id).is_none())
                && table.len() == live.len()
        })
    }
    check(200, property as fn(Vec<(bool, usize)>) -> bool);
}
