//! The timer queue against a sorted map.

mod property;

use bellsill_net::Nanos;
use bellsill_net::timer_queue::TimerQueue;
use property::check;
use std::collections::BTreeMap;

#[test]
fn timers_expire_in_order_once_at_the_time_set_last() {
    fn property(sets: Vec<(u8, u16)>) -> bool {
        let (mut timers, mut model) = (TimerQueue::default(), BTreeMap::new());
        for &(what, at) in &sets {
            timers.set(what, Nanos::from(at));
            model.insert(what, Nanos::from(at));
            if at % 7 == 0 {
                timers.cancel(what);
                model.remove(&what);
            }
        }
        let mut expected: Vec<(Nanos, u8)> =
            model.into_iter().map(|(what, at)| (at, what)).collect();
        expected.sort();
        expected.into_iter().all(|(at, what)| {
            timers.next_deadline() == Some(at)
                && (at == 0 || timers.pop_expired(at - 1).is_none())
                && timers.pop_expired(at) == Some(what)
        }) && timers.next_deadline().is_none()
    }
    check(200, property as fn(Vec<(u8, u16)>) -> bool);
}
