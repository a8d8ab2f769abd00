//! A watch under random events: it never waits for something that will not happen.

use crate::driver::{
    ENTRY, HEAD, SECOND, address, chunk, lookup_answer, nothing_in_use, receives, scoped,
};
use bellsill_discovery_client::backoff::Backoff;
use bellsill_discovery_client::{CallId, Command, Timer, Watch};
use bellsill_net::Nanos;
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;

/// The owner of the sockets as a watch sees it: open connections, and timers.
struct Sockets {
    watch: Watch,
    now: Nanos,
    open: BTreeMap<CallId, String>,
    timers: BTreeMap<Timer, Nanos>,
}

impl Sockets {
    fn new(mut watch: Watch) -> Sockets {
        let commands = watch.start(0, SECOND);
        let mut sockets = Sockets {
            watch,
            now: 0,
            open: BTreeMap::new(),
            timers: BTreeMap::new(),
        };
        sockets.carry_out(commands);
        sockets
    }

    fn carry_out(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Connect { call, request, .. } => {
                    let request = String::from_utf8(request).unwrap();
                    assert!(
                        self.open.insert(call, request).is_none(),
                        "a call is made once"
                    );
                }
                Command::Close(call) => assert!(self.open.remove(&call).is_some(), "it was open"),
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
        self.carry_out(commands);
    }

    /// Something is received on one of the open connections.
    fn receive(&mut self, which: u8, what: u8) {
        let Some(call) = self
            .open
            .keys()
            .nth(usize::from(which) % self.open.len().max(1))
            .copied()
        else {
            return;
        };
        let list = r#"{"version":4,"full":false,"log":"c0ffee","servers":[]}"#;
        let text = match what % 8 {
            0 => format!("{HEAD}{}", chunk(&format!("{list}\n"))),
            1 => format!("{HEAD}{}", chunk("\n")),
            2 => chunk("\n"),
            3 => lookup_answer(ENTRY),
            4 => "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".to_string(),
            5 => "nonsense\r\n\r\n".to_string(),
            6 => format!("{HEAD}{}0\r\n\r\n", chunk("{\"version\":4")),
            _ => chunk("{\"version\""),
        };
        let received = receives(&mut self.watch, self.now, call, &text);
        self.carry_out(received.commands);
        for document in received.documents {
            if self.watch.apply(&document).is_err() {
                let commands = self.watch.call_failed(self.now, call);
                self.carry_out(commands);
            }
        }
    }

    fn step(&mut self, (kind, which): (u8, u8)) {
        let call = self
            .open
            .keys()
            .nth(usize::from(which) % self.open.len().max(1))
            .copied();
        let commands = match (kind % 6, call) {
            (0 | 1, _) => return self.fire_next_timer(),
            (2, Some(call)) => self.watch.connected(self.now, call),
            (3, Some(call)) => self.watch.call_failed(self.now, call),
            (4, _) => {
                let wanted = self
                    .watch
                    .request_lookup(self.now, u64::from(which), &nothing_in_use);
                wanted.map(|wanted| wanted.commands).unwrap_or_default()
            }
            _ => return self.receive(which, kind / 6),
        };
        self.carry_out(commands);
    }

    /// Each call has a timeout, and without a call that may serve one is due.
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
            "no call is due"
        );
        assert!(lookups <= 1, "one lookup at a time");
        if let Some(list) = self.watch.list() {
            assert!(watches <= 1, "one watch at a time");
            let is_pending = list.pending().next().is_some() && self.watch.serving().is_some();
            let is_due = lookups == 1 || self.timers.contains_key(&Timer::LookupRetry);
            assert!(
                !is_pending || is_due,
                "a pending destination is never looked up"
            );
        }
    }
}

#[test]
fn a_watch_always_has_a_next_step_of_its_own() {
    fn property(scoped_one: bool, seed: u64, steps: Vec<(u8, u8)>) {
        let watch = if scoped_one {
            scoped(seed)
        } else {
            Watch::plain(address(1), Backoff::new(seed, 3))
        };
        let mut sockets = Sockets::new(watch);
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
