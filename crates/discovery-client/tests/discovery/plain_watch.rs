//! Tests of the calls of a plain watch: events in, commands out.

use crate::fixtures::{
    RESPONSE_HEAD, SECOND, address, chunk, find_connect, find_timer, plain_watch, receive, start,
};
use bellsill_discovery_client::backoff::{CONNECT_TIMEOUT, FIRST_LINE_TIMEOUT, SILENCE_TIMEOUT};
use bellsill_discovery_client::watch::LATE_CALL_TIMEOUT;
use bellsill_discovery_client::{CallId, Command, Received, Timer, Watch};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

#[test]
fn a_plain_watch_request_has_fixed_bytes_and_the_last_applied_version() {
    let mut watch = plain_watch();
    let (call, at, request) = start(&mut watch);
    assert_eq!(at, address(1));
    assert_eq!(
        request,
        "GET /api/targets?follow=1&since=0 HTTP/1.1\r\nHost: 127.0.0.1:1\r\n\r\n"
    );
    watch.set_version(41);
    let commands = watch.call_failed(SECOND, call);
    let retry_at = find_timer(&commands, Timer::Reconnect).unwrap();
    let (_, _, request) = find_connect(&watch.timer_fired(retry_at, Timer::Reconnect)).unwrap();
    assert!(request.starts_with("GET /api/targets?follow=1&since=41 HTTP/1.1\r\n"));
}

#[test]
fn a_late_plain_call_stays_open_and_the_first_with_a_line_serves() {
    let mut watch = plain_watch();
    let (first, ..) = start(&mut watch);
    let commands = watch.connected(SECOND, first);
    assert_eq!(
        find_timer(&commands, Timer::Call(first)),
        Some(SECOND + FIRST_LINE_TIMEOUT)
    );
    let late = watch.timer_fired(SECOND + FIRST_LINE_TIMEOUT, Timer::Call(first));
    assert_eq!(
        find_timer(&late, Timer::Call(first)),
        Some(LATE_CALL_TIMEOUT),
        "the timeout counts from the start of the call"
    );
    assert!(!late.contains(&Command::Close(first)));
    let retry_at = find_timer(&late, Timer::Reconnect).unwrap();
    let (second, ..) = find_connect(&watch.timer_fired(retry_at, Timer::Reconnect)).unwrap();
    let received = receive(
        &mut watch,
        retry_at,
        first,
        &format!("{RESPONSE_HEAD}{}", chunk("\n")),
    );
    assert!(received.documents.is_empty());
    assert!(received.commands.contains(&Command::Close(second)));
    assert_eq!(
        find_timer(&received.commands, Timer::Call(first)),
        Some(retry_at + SILENCE_TIMEOUT)
    );
}

#[test]
fn a_plain_call_that_does_not_connect_in_time_is_closed() {
    let mut watch = plain_watch();
    let (first, ..) = start(&mut watch);
    let commands = watch.timer_fired(CONNECT_TIMEOUT, Timer::Call(first));
    assert!(
        commands.contains(&Command::Close(first))
            && find_timer(&commands, Timer::Reconnect).is_some()
    );
    assert_eq!(watch.counters().timed_out, 1);
    assert!(
        watch.call_failed(CONNECT_TIMEOUT, first).is_empty(),
        "a closed call is ignored"
    );
}

#[test]
fn a_plain_watch_with_a_new_address_reconnects_at_once_from_version_zero() {
    let mut watch = plain_watch();
    let (first, ..) = start(&mut watch);
    watch.set_version(41);
    assert!(
        watch.relocate(SECOND, address(1)).is_empty(),
        "the address is unchanged"
    );
    let commands = watch.relocate(SECOND, address(2));
    assert!(commands.contains(&Command::Close(first)));
    let (_, at, request) = find_connect(&commands).unwrap();
    assert!(at == address(2) && request.contains("since=0 "));
}

#[test]
fn bytes_without_a_complete_line_do_not_count_as_activity() {
    let mut watch = plain_watch();
    let (call, ..) = start(&mut watch);
    let received = receive(
        &mut watch,
        SECOND,
        call,
        &format!("{RESPONSE_HEAD}{}", chunk("{\"version\":")),
    );
    assert_eq!(received, Received::default());
    let received = receive(&mut watch, SECOND, call, &chunk("3}\n{\"a\":\n1}\n"));
    assert_eq!(
        received.documents,
        [b"{\"version\":3}".to_vec(), b"{\"a\":\n1}".to_vec()]
    );
}

/// The lines of a document as chunks of a few kilobytes, each read before the next one arrives.
fn receive_in_pieces(watch: &mut Watch, call: CallId, text: &str) -> Vec<Vec<u8>> {
    const PIECE_BYTES: usize = 4096;
    let mut documents = receive(watch, SECOND, call, RESPONSE_HEAD).documents;
    for piece in text.as_bytes().chunks(PIECE_BYTES) {
        let piece = chunk(std::str::from_utf8(piece).unwrap());
        documents.extend(receive(watch, SECOND, call, &piece).documents);
    }
    documents
}

/// Guards against a list whose reading takes time quadratic in its lines, during which nobody else is served.
#[test]
fn an_indented_list_of_sixty_thousand_endpoints_is_read_in_linear_time() {
    const ENDPOINTS: usize = 60_000;
    // A reader that parses everything again for each line needs hours.
    const TIME_LIMIT: Duration = Duration::from_secs(10);
    let servers: Vec<_> = (0..ENDPOINTS)
        .map(|n| json!({"id": format!("e{n}"), "addr": "10.0.0.1:9000", "cell": n, "state": "up"}))
        .collect();
    let list = json!({"version": 2, "full": true, "servers": servers});
    let text = format!("{}\n", serde_json::to_string_pretty(&list).unwrap());
    let mut watch = plain_watch();
    let (call, ..) = start(&mut watch);
    let started = Instant::now();
    let documents = receive_in_pieces(&mut watch, call, &text);
    assert!(started.elapsed() < TIME_LIMIT, "{:?}", started.elapsed());
    assert_eq!(documents.len(), 1);
    assert_eq!(
        serde_json::from_slice::<Value>(&documents[0]).unwrap(),
        list
    );
}

/// Guards against lines that begin a document and never end it: they must not hide a later one.
#[test]
fn a_document_is_found_behind_lines_that_are_not_one() {
    const DOCUMENT: &str = r#"{"version":3,"servers":[]}"#;
    for broken in [
        "{",
        "{\"a\":",
        "{\"a\": 1,",
        "{\"a\": \"never closed",
        "{\"a\": \"\\",
        "{\"a\": \"never\nclosed",
        "}",
        "[1, 2]]",
        "{} {}",
        "nul",
        "\u{1}",
    ] {
        let mut watch = plain_watch();
        let (call, ..) = start(&mut watch);
        let documents = receive_in_pieces(
            &mut watch,
            call,
            &format!("{broken}\n{DOCUMENT}\n{DOCUMENT}\n"),
        );
        assert!(
            documents.contains(&DOCUMENT.as_bytes().to_vec()),
            "behind {broken:?}"
        );
    }
}

/// Guards against a document that is read differently because of where its lines or its pieces end.
#[test]
fn a_document_in_any_layout_is_the_same_document() {
    let value = json!({"version": 7, "servers": [{"id": "a \"b\" \\ {[", "weight": -1.5e3, "x": [null, true, []]}]});
    let pretty = serde_json::to_string_pretty(&value).unwrap();
    for text in [
        value.to_string(),
        pretty.clone(),
        pretty.replace('\n', "\r\n"),
        pretty.replace('\n', "\n\n \t"),
        pretty.replace(',', "\n,\n"),
    ] {
        let mut watch = plain_watch();
        let (call, ..) = start(&mut watch);
        let documents = receive_in_pieces(&mut watch, call, &format!("\n{text}\n\n{text}\n"));
        assert_eq!(documents.len(), 2, "{text}");
        for document in documents {
            assert_eq!(serde_json::from_slice::<Value>(&document).unwrap(), value);
        }
    }
}
