//! A watch under random events. Guards against a stalled watch: one that neither has a call that may serve it nor a
//! timer that makes the next one, and so waits for an event that never occurs.

use crate::fixtures::{
    ENTRY, RESPONSE_HEAD, SECOND, address, chunk, lookup_response, nothing_in_use, receive,
    scoped_watch,
};
use bellsill_discovery_client::backoff::Backoff;
use bellsill_discovery_client::{CallId, Command, Timer, Watch};
use bellsill_net::Nanos;
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;

/// Simulates the owner of the sockets: the open connections and the timers of a watch.
struct SimulatedSockets {
    watch: Watch,
    now: Nanos,
    open: BTreeMap<CallId, String>,
    timers: BTreeMap<Timer, Nanos>,
}

impl SimulatedSockets {
    fn new(mut watch: Watch) -> SimulatedSockets {
        let commands = watch.start(0, SECOND);
        let mut sockets = SimulatedSockets {
            watch,
            now: 0,
            open: BTreeMap::new(),
            timers: BTreeMap::new(),
        };
        sockets.execute(commands);
        sockets
    }

    fn execute(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Connect { call, request, .. } => {
                    let request = String::from_utf8(request).unwrap();
                    assert!(
                        self.open.insert(call, request).is_none(),
                        "call ids are not reused"
                    );
                }
                Command::Close(call) => assert!(
                    self.open.remove(&call).is_some(),
                    "only open calls are closed"
                ),
                Command::SetTimer(timer, at) => drop(self.timers.insert(timer, at)),
                Command::ClearTimer(timer) => drop(self.timers.remove(&timer)),
            }
        }
    }

    fn fire_next_timer(&mut self) {
        let next = self
            .timers
            .iter()
            .min_by_key(|(_, at)| **at)
            .map(|(timer, at)| (*timer, *at));
        let Some((timer, at)) = next else { return };
        self.timers.remove(&timer);
        self.now = self.now.max(at);
        let commands = self.watch.timer_fired(self.now, timer);
        self.execute(commands);
    }

    /// Receives one of several texts on one of the open connections.
    fn receive(&mut self, call_choice: u8, text_choice: u8) {
        let Some(call) = self
            .open
            .keys()
            .nth(usize::from(call_choice) % self.open.len().max(1))
            .copied()
        else {
            return;
        };
        let list = r#"{"version":4,"full":false,"log":"c0ffee","servers":[]}"#;
        let text = match text_choice % 8 {
            0 => format!("{RESPONSE_HEAD}{}", chunk(&format!("{list}\n"))),
            1 => format!("{RESPONSE_HEAD}{}", chunk("\n")),
            2 => chunk("\n"),
            3 => lookup_response(ENTRY),
            4 => "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".to_string(),
            5 => "nonsense\r\n\r\n".to_string(),
            6 => format!("{RESPONSE_HEAD}{}0\r\n\r\n", chunk("{\"version\":4")),
            _ => chunk("{\"version\""),
        };
        let received = receive(&mut self.watch, self.now, call, &text);
        self.execute(received.commands);
        for document in received.documents {
            if self.watch.apply(&document).is_err() {
                let commands = self.watch.call_failed(self.now, call);
                self.execute(commands);
            }
        }
    }

    fn step(&mut self, (event, choice): (u8, u8)) {
        let call = self
            .open
            .keys()
            .nth(usize::from(choice) % self.open.len().max(1))
            .copied();
        let commands = match (event % 6, call) {
            (0 | 1, _) => return self.fire_next_timer(),
            (2, Some(call)) => self.watch.connected(self.now, call),
            (3, Some(call)) => self.watch.call_failed(self.now, call),
            (4, _) => {
                let requested =
                    self.watch
                        .request_lookup(self.now, u64::from(choice), &nothing_in_use);
                requested
                    .map(|requested| requested.commands)
                    .unwrap_or_default()
            }
            _ => return self.receive(choice, event / 6),
        };
        self.execute(commands);
    }

    /// Checks that every open call has a timeout, and that without an open watch call the next one is scheduled.
    fn check(&self) {
        for call in self.open.keys() {
            assert!(
                self.timers.contains_key(&Timer::Call(*call)),
                "{call:?} has no timeout"
            );
        }
        for timer in self.timers.keys() {
            assert!(
                !matches!(timer, Timer::Call(call) if !self.open.contains_key(call)),
                "{timer:?} has no call"
            );
        }
        let watches = self
            .open
            .values()
            .filter(|request| request.contains("follow=1"))
            .count();
        let lookups = self.open.len() - watches;
        assert!(
            watches > 0 || self.timers.contains_key(&Timer::Reconnect),
            "no watch call is open or scheduled"
        );
        assert!(lookups <= 1, "more than one lookup in flight");
        if let Some(list) = self.watch.list() {
            assert!(watches <= 1, "more than one scoped watch call open");
            let is_pending = list.pending().next().is_some() && self.watch.serving().is_some();
            let is_due = lookups == 1 || self.timers.contains_key(&Timer::LookupRetry);
            assert!(
                !is_pending || is_due,
                "no lookup of the pending destinations is in flight or scheduled"
            );
        }
    }
}

#[test]
fn a_watch_never_stalls_under_random_events() {
    fn property(is_scoped: bool, seed: u64, steps: Vec<(u8, u8)>) {
        let watch = if is_scoped {
            scoped_watch(seed)
        } else {
            Watch::plain(address(1), Backoff::new(seed, 3))
        };
        let mut sockets = SimulatedSockets::new(watch);
        for step in steps {
            sockets.step(step);
            sockets.check();
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 20_261_203))
        .tests(3_000)
        .quickcheck(property as fn(bool, u64, Vec<(u8, u8)>));
}
