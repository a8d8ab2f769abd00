//! Watches, and helpers that feed events to them and search the commands that they return.

use crate::layout::empty_list;
use bellsill_discovery_client::backoff::Backoff;
use bellsill_discovery_client::{CallId, Command, Received, ScopedOptions, Timer, Watch};
use bellsill_net::Nanos;
use bellsill_net::ring_buffer::RingBuffer;
use std::net::SocketAddr;

pub(crate) const SECOND: Nanos = 1_000_000_000;
pub(crate) const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub(crate) fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub(crate) fn plain_watch() -> Watch {
    Watch::plain(address(1), Backoff::new(7, 3))
}

pub(crate) fn scoped_watch(seed: u64) -> Watch {
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

/// The first [`Command::Connect`]: the call, its address and its request.
pub(crate) fn find_connect(commands: &[Command]) -> Option<(CallId, SocketAddr, String)> {
    commands.iter().find_map(|command| match command {
        Command::Connect {
            call,
            address,
            request,
        } => Some((*call, *address, String::from_utf8(request.clone()).unwrap())),
        _ => None,
    })
}

/// The time to which `wanted` is set, if it is.
pub(crate) fn find_timer(commands: &[Command], wanted: Timer) -> Option<Nanos> {
    commands.iter().find_map(|command| match command {
        Command::SetTimer(timer, at) if *timer == wanted => Some(*at),
        _ => None,
    })
}

/// Starts a watch, and returns its first call.
pub(crate) fn start(watch: &mut Watch) -> (CallId, SocketAddr, String) {
    find_connect(&watch.start(0, 0))
        .expect("without a drain grace period the first call is made at once")
}

/// A chunk of a body in chunked transfer encoding.
pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub(crate) fn receive(watch: &mut Watch, now: Nanos, call: CallId, text: &str) -> Received {
    let mut input = RingBuffer::new(text.len().max(1));
    assert!(input.push(text.as_bytes()));
    watch.received(now, call, &mut input, false)
}

/// A scoped watch that is served, with the serving call and the address of its server.
pub(crate) fn serving_watch() -> (Watch, CallId, SocketAddr) {
    let mut watch = scoped_watch(1);
    let (call, at, _) = start(&mut watch);
    let text = r#"{"version":4,"full":false,"log":"c0ffee","servers":[]}"#;
    let received = receive(
        &mut watch,
        SECOND,
        call,
        &format!("{RESPONSE_HEAD}{}", chunk(&format!("{text}\n"))),
    );
    watch.apply(&received.documents[0]).unwrap();
    (watch, call, at)
}

pub(crate) fn lookup_response(servers: &str) -> String {
    let text = format!(r#"{{"version":4,"full":false,"log":"c0ffee","servers":[{servers}]}}"#);
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    )
}

pub(crate) const ENTRY: &str =
    r#"{"id":"x","addr":"10.0.0.1:9000","zone":"z","kind":"k","cell":47,"state":"up","v":2}"#;

pub(crate) fn nothing_in_use(_: u64) -> bool {
    false
}
