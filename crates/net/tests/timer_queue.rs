//! Compares the timer queue with a map of deadlines.

mod property;

use bellsill_net::Nanos;
use bellsill_net::timer_queue::TimerQueue;
use property::check;
use std::collections::BTreeMap;

#[test]
fn each_timer_expires_once_at_its_last_deadline_in_order() {
    fn property(sets: Vec<(u8, u16)>) -> bool {
        let (mut timers, mut model) = (TimerQueue::default(), BTreeMap::new());
        for &(timer, deadline) in &sets {
            timers.set(timer, Nanos::from(deadline));
            model.insert(timer, Nanos::from(deadline));
            if deadline % 7 == 0 {
                timers.cancel(timer);
                model.remove(&timer);
            }
        }
        let mut expected: Vec<(Nanos, u8)> = model
            .into_iter()
            .map(|(timer, deadline)| (deadline, timer))
            .collect();
        expected.sort();
        expected.into_iter().all(|(deadline, timer)| {
            timers.next_deadline() == Some(deadline)
                && (deadline == 0 || timers.pop_expired(deadline - 1).is_none())
                && timers.pop_expired(deadline) == Some(timer)
        }) && timers.next_deadline().is_none()
    }
    check(200, property as fn(Vec<(u8, u16)>) -> bool);
}

/// Guards against a pass over the expired timers that never ends, because a handler sets its timer in the past.
#[test]
fn a_timer_that_is_set_in_the_past_expires_in_the_next_pass() {
    const NOW: Nanos = 100;
    let mut timers = TimerQueue::default();
    timers.set(1, NOW - 1);
    timers.set(2, NOW);
    timers.start_pass(NOW);
    let mut expired = Vec::new();
    while let Some(timer) = timers.pop_expired(NOW) {
        expired.push(timer);
        timers.set(timer, 0);
        timers.set(3, NOW);
    }
    assert_eq!(expired, [1, 2]);
    assert_eq!(timers.next_deadline(), Some(NOW + 1));
    timers.start_pass(NOW + 1);
    let next: Vec<i32> = std::iter::from_fn(|| timers.pop_expired(NOW + 1)).collect();
    assert_eq!(next, [1, 2, 3]);
}
