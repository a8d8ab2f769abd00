//! The calls of a watch: events in, commands out.

mod common;

use bellsill_discovery_client::backoff::{Backoff, FIRST_LINE_WITHIN, SILENT_FOR, UP_WITHIN};
use bellsill_discovery_client::watch::{KEPT_FOR, LONGEST_SCOPED_LINE, SCOPED_SILENT_FOR};
use bellsill_discovery_client::{CallId, Command, Received, ScopedOptions, Timer, Watch};
use bellsill_net::Nanos;
use bellsill_net::ring_buffer::RingBuffer;
use common::empty_list;
use quickcheck::{Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const SECOND: Nanos = 1_000_000_000;
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn plain() -> Watch {
    Watch::plain(address(1), Backoff::new(7, 3))
}

fn scoped(seed: u64) -> Watch {
    let servers = (1..=9).map(address).collect();
    Watch::scoped(
        ScopedOptions {
            dispatcher: "d1".into(),
            servers,
            seed,
        },
        empty_list(4),
    )
}

/// The call that is connected, with its address and request.
fn connects(commands: &[Command]) -> Option<(CallId, SocketAddr, String)> {
    commands.iter().find_map(|command| match command {
        Command::Connect {
            call,
            address,
            request,
        } => Some((*call, *address, String::from_utf8(request.clone()).unwrap())),
        _ => None,
    })
}

fn timer(commands: &[Command], which: Timer) -> Option<Nanos> {
    commands.iter().find_map(|command| match command {
        Command::SetTimer(timer, at) if *timer == which => Some(*at),
        _ => None,
    })
}

/// Makes the first call of a watch.
fn begin(watch: &mut Watch) -> (CallId, SocketAddr, String) {
    connects(&watch.start(0, 0)).expect("without a grace the call is made at once")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn receives(watch: &mut Watch, now: Nanos, call: CallId, text: &str) -> Received {
    let mut input = RingBuffer::new(text.len().max(1));
    assert!(input.push(text.as_bytes()));
    watch.received(now, call, &mut input, false)
}

#[test]
fn a_plain_watch_request_has_fixed_bytes_and_the_last_applied_version() {
    let mut watch = plain();
    let (call, at, request) = begin(&mut watch);
    assert_eq!(at, address(1));
    assert_eq!(
        request,
        "GET /api/targets?follow=1&since=0 HTTP/1.1\r\nHost: 127.0.0.1:1\r\n\r\n"
    );
    watch.told(41);
    let commands = watch.broken(SECOND, call);
    let retry_at = timer(&commands, Timer::Reconnect).unwrap();
    let (_, _, request) = connects(&watch.timer_fired(retry_at, Timer::Reconnect)).unwrap();
    assert!(request.starts_with("GET /api/targets?follow=1&since=41 HTTP/1.1\r\n"));
}

#[test]
fn a_late_plain_call_stays_open_and_the_first_with_a_line_serves() {
    let mut watch = plain();
    let (first, ..) = begin(&mut watch);
    let up = watch.connected(SECOND, first);
    assert_eq!(
        timer(&up, Timer::Call(first)),
        Some(SECOND + FIRST_LINE_WITHIN)
    );
    let late = watch.timer_fired(SECOND + FIRST_LINE_WITHIN, Timer::Call(first));
    assert_eq!(
        timer(&late, Timer::Call(first)),
        Some(KEPT_FOR),
        "counted from when it was made"
    );
    assert!(!late.contains(&Command::Close(first)));
    let retry_at = timer(&late, Timer::Reconnect).unwrap();
    let (second, ..) = connects(&watch.timer_fired(retry_at, Timer::Reconnect)).unwrap();
    let received = receives(
        &mut watch,
        retry_at,
        first,
        &format!("{HEAD}{}", chunk("\n")),
    );
    assert!(received.documents.is_empty());
    assert!(received.commands.contains(&Command::Close(second)));
    assert_eq!(
        timer(&received.commands, Timer::Call(first)),
        Some(retry_at + SILENT_FOR)
    );
}

#[test]
fn a_plain_call_that_does_not_connect_is_abandoned() {
    let mut watch = plain();
    let (first, ..) = begin(&mut watch);
    let commands = watch.timer_fired(UP_WITHIN, Timer::Call(first));
    assert!(
        commands.contains(&Command::Close(first)) && timer(&commands, Timer::Reconnect).is_some()
    );
    assert_eq!(watch.counters().timed_out, 1);
    assert!(watch.broken(UP_WITHIN, first).is_empty(), "it is gone");
}

#[test]
fn a_relocated_plain_watch_reconnects_at_once_from_version_zero() {
    let mut watch = plain();
    let (first, ..) = begin(&mut watch);
    watch.told(41);
    assert!(
        watch.relocate(SECOND, address(1)).is_empty(),
        "it has that address already"
    );
    let commands = watch.relocate(SECOND, address(2));
    assert!(commands.contains(&Command::Close(first)));
    let (_, at, request) = connects(&commands).unwrap();
    assert!(at == address(2) && request.contains("since=0 "));
}

#[test]
fn bytes_without_a_complete_line_do_not_show_that_a_watch_is_alive() {
    let mut watch = plain();
    let (call, ..) = begin(&mut watch);
    let received = receives(
        &mut watch,
        SECOND,
        call,
        &format!("{HEAD}{}", chunk("{\"version\":")),
    );
    assert_eq!(received, Received::default());
    let received = receives(&mut watch, SECOND, call, &chunk("3}\n{\"a\":\n1}\n"));
    assert_eq!(
        received.documents,
        [b"{\"version\":3}".to_vec(), b"{\"a\":\n1}".to_vec()]
    );
}

#[test]
fn an_answer_other_than_200_fails_the_call() {
    let mut watch = scoped(1);
    let (call, ..) = begin(&mut watch);
    let received = receives(
        &mut watch,
        SECOND,
        call,
        "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
    );
    assert!(received.commands.contains(&Command::Close(call)));
    assert_eq!((watch.counters().refused, watch.counters().failed), (1, 1));
}

#[test]
fn a_scoped_watch_requests_what_its_list_lacks() {
    let mut watch = scoped(1);
    let (call, at, request) = begin(&mut watch);
    assert_eq!(
        request,
        format!("GET /api/targets?follow=1&since=0&dispatcher=d1 HTTP/1.1\r\nHost: {at}\r\n\r\n")
    );
    let text =
        r#"{"version":4,"full":false,"log":"c0ffee","gained":[1],"filled":[1],"servers":[]}"#;
    let received = receives(
        &mut watch,
        SECOND,
        call,
        &format!("{HEAD}{}", chunk(&format!("{text}\n\n"))),
    );
    assert_eq!(
        timer(&received.commands, Timer::Call(call)),
        Some(SECOND + SCOPED_SILENT_FOR)
    );
    assert_eq!(received.documents, [text.as_bytes()]);
    watch.apply(&received.documents[0]).unwrap();
    let commands = watch.timer_fired(SECOND + SCOPED_SILENT_FOR, Timer::Call(call));
    let retry_at = timer(&commands, Timer::Reconnect).unwrap();
    assert!(retry_at <= SECOND + SCOPED_SILENT_FOR + SECOND / 2);
    let (_, next, request) = connects(&watch.timer_fired(retry_at, Timer::Reconnect)).unwrap();
    assert_ne!(next, at);
    assert!(request.contains("since=4&log=c0ffee&dispatcher=d1&buckets=1 HTTP"));
}

#[test]
fn each_server_is_tried_once_before_any_is_retried_in_an_order_per_dispatcher() {
    let order = |seed: u64| -> Vec<SocketAddr> {
        let mut watch = scoped(seed);
        let mut tried = vec![begin(&mut watch)];
        let mut now = 0;
        for _ in 1..18 {
            let commands = watch.broken(now, tried.last().unwrap().0);
            now = timer(&commands, Timer::Reconnect).unwrap();
            tried.push(connects(&watch.timer_fired(now, Timer::Reconnect)).unwrap());
        }
        tried.into_iter().map(|(_, at, _)| at).collect()
    };
    let first = order(1);
    assert_eq!(first[..9].iter().collect::<BTreeSet<_>>().len(), 9);
    assert_eq!(first[..9], first[9..]);
    assert_eq!(order(1), first);
    assert!((2..12).any(|seed| order(seed)[0] != first[0]));
}

#[test]
fn an_overlong_line_fails_a_scoped_call() {
    for text in [
        "x".repeat(LONGEST_SCOPED_LINE + 1),
        format!("{}\n", "x".repeat(LONGEST_SCOPED_LINE + 1)),
    ] {
        let mut watch = scoped(1);
        let (call, ..) = begin(&mut watch);
        let received = receives(&mut watch, SECOND, call, &format!("{HEAD}{}", chunk(&text)));
        assert!(received.documents.is_empty() && received.commands.contains(&Command::Close(call)));
        assert_eq!(watch.counters().overlong_lines, 1);
    }
}

/// A scoped watch that is served, with the call and the address that serve it.
fn served() -> (Watch, CallId, SocketAddr) {
    let mut watch = scoped(1);
    let (call, at, _) = begin(&mut watch);
    let text = r#"{"version":4,"full":false,"log":"c0ffee","servers":[]}"#;
    let received = receives(
        &mut watch,
        SECOND,
        call,
        &format!("{HEAD}{}", chunk(&format!("{text}\n"))),
    );
    watch.apply(&received.documents[0]).unwrap();
    (watch, call, at)
}

fn lookup_answer(servers: &str) -> String {
    let text = format!(r#"{{"version":4,"full":false,"log":"c0ffee","servers":[{servers}]}}"#);
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    )
}

const ENTRY: &str =
    r#"{"id":"x","addr":"10.0.0.1:9000","zone":"z","kind":"k","cell":47,"state":"up","v":2}"#;

fn nothing_in_use(_: u64) -> bool {
    false
}

#[test]
fn lookups_go_to_the_serving_server_and_are_batched() {
    let (mut watch, _, at) = served();
    let first = watch.want(SECOND, 47, &nothing_in_use).unwrap();
    let (lookup, server, request) = connects(&first.commands).unwrap();
    assert_eq!(server, at);
    assert!(request.starts_with("GET /api/targets?dispatcher=d1&cells=47 HTTP/1.1\r\n"));
    // Destinations that are wanted meanwhile wait for the answer, and are then looked up in one request.
    assert!(
        watch
            .want(SECOND, 48, &nothing_in_use)
            .unwrap()
            .commands
            .is_empty()
    );
    assert!(
        watch
            .want(SECOND, 49, &nothing_in_use)
            .unwrap()
            .commands
            .is_empty()
    );
    let received = receives(&mut watch, SECOND, lookup, &lookup_answer(ENTRY));
    assert_eq!(received.looked_up.changed.len(), 1);
    assert!(received.commands.contains(&Command::Close(lookup)));
    let (_, _, request) = connects(&received.commands).unwrap();
    assert!(request.contains("&cells=48,49 "));
}

#[test]
fn a_lookup_waits_until_the_watch_is_served() {
    let mut watch = scoped(1);
    let (call, ..) = begin(&mut watch);
    assert!(
        watch
            .want(0, 47, &nothing_in_use)
            .unwrap()
            .commands
            .is_empty()
    );
    let received = receives(&mut watch, SECOND, call, &format!("{HEAD}{}", chunk("\n")));
    assert!(
        connects(&received.commands)
            .unwrap()
            .2
            .contains("&cells=47 ")
    );
}

#[test]
fn a_failed_lookup_is_retried_after_a_delay() {
    let answers = [
        "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
    ];
    for answer in answers {
        let (mut watch, ..) = served();
        let wanted = watch.want(SECOND, 47, &nothing_in_use).unwrap();
        let (lookup, ..) = connects(&wanted.commands).unwrap();
        let received = receives(&mut watch, SECOND, lookup, answer);
        assert!(received.commands.contains(&Command::Close(lookup)));
        let retry_at = timer(&received.commands, Timer::LookUp).unwrap();
        assert!(
            watch
                .want(SECOND, 48, &nothing_in_use)
                .unwrap()
                .commands
                .is_empty(),
            "it backs off"
        );
        let again = watch.timer_fired(retry_at, Timer::LookUp);
        assert!(connects(&again).unwrap().2.contains("&cells=47,48 "));
        assert_eq!(
            (watch.counters().lookups, watch.counters().failed_lookups),
            (2, 1)
        );
    }
}

#[test]
fn a_lookup_ends_with_its_watch_and_is_retried_at_the_next_server() {
    let (mut watch, call, at) = served();
    let wanted = watch.want(SECOND, 47, &nothing_in_use).unwrap();
    let (lookup, ..) = connects(&wanted.commands).unwrap();
    let broken = watch.broken(SECOND, call);
    assert!(broken.contains(&Command::Close(lookup)));
    assert_eq!(
        receives(&mut watch, SECOND, lookup, &lookup_answer(ENTRY)),
        Received::default()
    );
    let retry_at = timer(&broken, Timer::Reconnect).unwrap();
    let (next, elsewhere, request) =
        connects(&watch.timer_fired(retry_at, Timer::Reconnect)).unwrap();
    assert!(elsewhere != at && !request.contains("cells"));
    let received = receives(
        &mut watch,
        retry_at,
        next,
        &format!("{HEAD}{}", chunk("\n")),
    );
    let (_, asked, request) = connects(&received.commands).unwrap();
    assert!(asked == elsewhere && request.contains("&cells=47 "));
}

#[test]
fn an_evicted_destination_is_named_in_the_next_lookup() {
    let (mut watch, ..) = served();
    for destination in 41..=45 {
        let wanted = watch.want(SECOND, destination, &nothing_in_use).unwrap();
        let (lookup, _, request) = connects(&wanted.commands).unwrap();
        assert_eq!(
            request.contains("&cells=45&forget=41 "),
            destination == 45,
            "{request}"
        );
        receives(&mut watch, SECOND, lookup, &lookup_answer(""));
    }
    assert!(watch.list().unwrap().to_forget().is_empty());
}

#[test]
fn a_new_watch_clears_the_evicted_destinations() {
    let (mut watch, call, _) = served();
    for destination in 41..=45 {
        watch.want(SECOND, destination, &nothing_in_use).unwrap();
    }
    assert_eq!(watch.list().unwrap().to_forget(), [41]);
    let retry_at = timer(&watch.broken(SECOND, call), Timer::Reconnect).unwrap();
    watch.timer_fired(retry_at, Timer::Reconnect);
    assert!(
        watch.list().unwrap().to_forget().is_empty(),
        "its request names what is cached"
    );
}

#[test]
fn the_end_of_a_body_ends_the_watch() {
    for mut watch in [plain(), scoped(1)] {
        let (call, ..) = begin(&mut watch);
        let text = format!("{HEAD}{}0\r\n\r\n", chunk("{\"version\":4}\n"));
        let received = receives(&mut watch, SECOND, call, &text);
        assert_eq!(
            received.documents.len(),
            1,
            "documents before the end count"
        );
        assert!(received.commands.contains(&Command::Close(call)));
    }
}

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
                let commands = self.watch.broken(self.now, call);
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
            (3, Some(call)) => self.watch.broken(self.now, call),
            (4, _) => {
                let wanted = self.watch.want(self.now, u64::from(which), &nothing_in_use);
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
            let is_due = lookups == 1 || self.timers.contains_key(&Timer::LookUp);
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
