//! Tests of the lookups of a scoped watch.

use crate::fixtures::{
    ENTRY, RESPONSE_HEAD, SECOND, chunk, find_connect, find_timer, lookup_response, nothing_in_use,
    receive, scoped_watch, serving_watch, start,
};
use bellsill_discovery_client::{Command, Received, Timer};

#[test]
fn lookups_go_to_the_serving_server_and_are_batched() {
    let (mut watch, _, at) = serving_watch();
    let first = watch.request_lookup(SECOND, 47, &nothing_in_use).unwrap();
    let (lookup, server, request) = find_connect(&first.commands).unwrap();
    assert_eq!(server, at);
    assert!(request.starts_with("GET /api/targets?dispatcher=d1&cells=47 HTTP/1.1\r\n"));
    // Destinations that are requested while a lookup is in flight are looked up together in the next request.
    assert!(
        watch
            .request_lookup(SECOND, 48, &nothing_in_use)
            .unwrap()
            .commands
            .is_empty()
    );
    assert!(
        watch
            .request_lookup(SECOND, 49, &nothing_in_use)
            .unwrap()
            .commands
            .is_empty()
    );
    let received = receive(&mut watch, SECOND, lookup, &lookup_response(ENTRY));
    assert_eq!(received.looked_up.changed.len(), 1);
    assert!(received.commands.contains(&Command::Close(lookup)));
    let (_, _, request) = find_connect(&received.commands).unwrap();
    assert!(request.contains("&cells=48,49 "));
}

#[test]
fn a_lookup_waits_until_the_watch_is_served() {
    let mut watch = scoped_watch(1);
    let (call, ..) = start(&mut watch);
    assert!(
        watch
            .request_lookup(0, 47, &nothing_in_use)
            .unwrap()
            .commands
            .is_empty()
    );
    let received = receive(
        &mut watch,
        SECOND,
        call,
        &format!("{RESPONSE_HEAD}{}", chunk("\n")),
    );
    assert!(
        find_connect(&received.commands)
            .unwrap()
            .2
            .contains("&cells=47 ")
    );
}

#[test]
fn a_failed_lookup_is_retried_after_a_delay() {
    let responses = [
        "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
    ];
    for response in responses {
        let (mut watch, ..) = serving_watch();
        let requested = watch.request_lookup(SECOND, 47, &nothing_in_use).unwrap();
        let (lookup, ..) = find_connect(&requested.commands).unwrap();
        let received = receive(&mut watch, SECOND, lookup, response);
        assert!(received.commands.contains(&Command::Close(lookup)));
        let retry_at = find_timer(&received.commands, Timer::LookupRetry).unwrap();
        assert!(
            watch
                .request_lookup(SECOND, 48, &nothing_in_use)
                .unwrap()
                .commands
                .is_empty(),
            "no lookup is made during the backoff"
        );
        let again = watch.timer_fired(retry_at, Timer::LookupRetry);
        assert!(find_connect(&again).unwrap().2.contains("&cells=47,48 "));
        assert_eq!(
            (watch.counters().lookups, watch.counters().failed_lookups),
            (2, 1)
        );
    }
}

#[test]
fn a_lookup_ends_with_its_watch_and_is_retried_at_the_next_server() {
    let (mut watch, call, at) = serving_watch();
    let requested = watch.request_lookup(SECOND, 47, &nothing_in_use).unwrap();
    let (lookup, ..) = find_connect(&requested.commands).unwrap();
    let broken = watch.call_failed(SECOND, call);
    assert!(broken.contains(&Command::Close(lookup)));
    assert_eq!(
        receive(&mut watch, SECOND, lookup, &lookup_response(ENTRY)),
        Received::default()
    );
    let retry_at = find_timer(&broken, Timer::Reconnect).unwrap();
    let (next, next_server, request) =
        find_connect(&watch.timer_fired(retry_at, Timer::Reconnect)).unwrap();
    assert!(next_server != at && !request.contains("cells"));
    let received = receive(
        &mut watch,
        retry_at,
        next,
        &format!("{RESPONSE_HEAD}{}", chunk("\n")),
    );
    let (_, lookup_server, request) = find_connect(&received.commands).unwrap();
    assert!(lookup_server == next_server && request.contains("&cells=47 "));
}

#[test]
fn an_evicted_destination_is_named_in_the_next_lookup() {
    let (mut watch, ..) = serving_watch();
    for destination in 41..=45 {
        let requested = watch
            .request_lookup(SECOND, destination, &nothing_in_use)
            .unwrap();
        let (lookup, _, request) = find_connect(&requested.commands).unwrap();
        assert_eq!(
            request.contains("&cells=45&forget=41 "),
            destination == 45,
            "{request}"
        );
        receive(&mut watch, SECOND, lookup, &lookup_response(""));
    }
    assert!(watch.list().unwrap().evicted().is_empty());
}

#[test]
fn a_new_watch_clears_the_evicted_destinations() {
    let (mut watch, call, _) = serving_watch();
    for destination in 41..=45 {
        watch
            .request_lookup(SECOND, destination, &nothing_in_use)
            .unwrap();
    }
    assert_eq!(watch.list().unwrap().evicted(), [41]);
    let retry_at = find_timer(&watch.call_failed(SECOND, call), Timer::Reconnect).unwrap();
    watch.timer_fired(retry_at, Timer::Reconnect);
    assert!(
        watch.list().unwrap().evicted().is_empty(),
        "the request names the cached destinations, so evicted ones are released"
    );
}
