//! Tests of the calls of a scoped watch: events in, commands out.

use crate::fixtures::{
    RESPONSE_HEAD, SECOND, chunk, find_connect, find_timer, plain_watch, receive, scoped_watch,
    start,
};
use bellsill_discovery_client::watch::{MAX_SCOPED_LINE_BYTES, SCOPED_SILENCE_TIMEOUT};
use bellsill_discovery_client::{Command, Timer};
use std::collections::BTreeSet;
use std::net::SocketAddr;

#[test]
fn a_response_other_than_200_fails_the_call() {
    let mut watch = scoped_watch(1);
    let (call, ..) = start(&mut watch);
    let received = receive(
        &mut watch,
        SECOND,
        call,
        "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
    );
    assert!(received.commands.contains(&Command::Close(call)));
    assert_eq!((watch.counters().rejected, watch.counters().failed), (1, 1));
}

#[test]
fn a_silent_scoped_watch_continues_from_its_list_at_another_server() {
    let mut watch = scoped_watch(1);
    let (call, at, request) = start(&mut watch);
    assert_eq!(
        request,
        format!("GET /api/targets?follow=1&since=0&dispatcher=d1 HTTP/1.1\r\nHost: {at}\r\n\r\n")
    );
    let text =
        r#"{"version":4,"full":false,"log":"c0ffee","gained":[1],"filled":[1],"servers":[]}"#;
    let received = receive(
        &mut watch,
        SECOND,
        call,
        &format!("{RESPONSE_HEAD}{}", chunk(&format!("{text}\n\n"))),
    );
    assert_eq!(
        find_timer(&received.commands, Timer::Call(call)),
        Some(SECOND + SCOPED_SILENCE_TIMEOUT)
    );
    assert_eq!(received.documents, [text.as_bytes()]);
    watch.apply(&received.documents[0]).unwrap();
    let commands = watch.timer_fired(SECOND + SCOPED_SILENCE_TIMEOUT, Timer::Call(call));
    let retry_at = find_timer(&commands, Timer::Reconnect).unwrap();
    assert!(retry_at <= SECOND + SCOPED_SILENCE_TIMEOUT + SECOND / 2);
    let (_, next, request) = find_connect(&watch.timer_fired(retry_at, Timer::Reconnect)).unwrap();
    assert_ne!(next, at);
    assert!(request.contains("since=4&log=c0ffee&dispatcher=d1&buckets=1 HTTP"));
}

#[test]
fn each_server_is_tried_once_before_any_is_retried_in_an_order_per_dispatcher() {
    let order = |seed: u64| -> Vec<SocketAddr> {
        let mut watch = scoped_watch(seed);
        let mut tried = vec![start(&mut watch)];
        let mut now = 0;
        for _ in 1..18 {
            let commands = watch.call_failed(now, tried.last().unwrap().0);
            now = find_timer(&commands, Timer::Reconnect).unwrap();
            tried.push(find_connect(&watch.timer_fired(now, Timer::Reconnect)).unwrap());
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
        "x".repeat(MAX_SCOPED_LINE_BYTES + 1),
        format!("{}\n", "x".repeat(MAX_SCOPED_LINE_BYTES + 1)),
    ] {
        let mut watch = scoped_watch(1);
        let (call, ..) = start(&mut watch);
        let received = receive(
            &mut watch,
            SECOND,
            call,
            &format!("{RESPONSE_HEAD}{}", chunk(&text)),
        );
        assert!(received.documents.is_empty() && received.commands.contains(&Command::Close(call)));
        assert_eq!(watch.counters().overlong_lines, 1);
    }
}

#[test]
fn the_end_of_the_response_body_closes_the_call() {
    for mut watch in [plain_watch(), scoped_watch(1)] {
        let (call, ..) = start(&mut watch);
        let text = format!("{RESPONSE_HEAD}{}0\r\n\r\n", chunk("{\"version\":4}\n"));
        let received = receive(&mut watch, SECOND, call, &text);
        assert_eq!(
            received.documents.len(),
            1,
            "documents before the end are returned"
        );
        assert!(received.commands.contains(&Command::Close(call)));
    }
}
