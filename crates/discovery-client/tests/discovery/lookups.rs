//! The lookups of a scoped watch.

use crate::driver::{
    ENTRY, HEAD, SECOND, begin, chunk, connects, lookup_answer, nothing_in_use, receives, scoped,
    served, timer,
};
use bellsill_discovery_client::{Command, Received, Timer};

#[test]
fn lookups_go_to_the_serving_server_and_are_batched() {
    let (mut watch, _, at) = served();
    let first = watch.request_lookup(SECOND, 47, &nothing_in_use).unwrap();
    let (lookup, server, request) = connects(&first.commands).unwrap();
    assert_eq!(server, at);
    assert!(request.starts_with("GET /api/targets?dispatcher=d1&cells=47 HTTP/1.1\r\n"));
    // Destinations that are wanted meanwhile wait for the answer, and are then looked up in one request.
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
            .request_lookup(0, 47, &nothing_in_use)
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
        let wanted = watch.request_lookup(SECOND, 47, &nothing_in_use).unwrap();
        let (lookup, ..) = connects(&wanted.commands).unwrap();
        let received = receives(&mut watch, SECOND, lookup, answer);
        assert!(received.commands.contains(&Command::Close(lookup)));
        let retry_at = timer(&received.commands, Timer::LookupRetry).unwrap();
        assert!(
            watch
                .request_lookup(SECOND, 48, &nothing_in_use)
                .unwrap()
                .commands
                .is_empty(),
            "it backs off"
        );
        let again = watch.timer_fired(retry_at, Timer::LookupRetry);
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
    let wanted = watch.request_lookup(SECOND, 47, &nothing_in_use).unwrap();
    let (lookup, ..) = connects(&wanted.commands).unwrap();
    let broken = watch.call_failed(SECOND, call);
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
        let wanted = watch
            .request_lookup(SECOND, destination, &nothing_in_use)
            .unwrap();
        let (lookup, _, request) = connects(&wanted.commands).unwrap();
        assert_eq!(
            request.contains("&cells=45&forget=41 "),
            destination == 45,
            "{request}"
        );
        receives(&mut watch, SECOND, lookup, &lookup_answer(""));
    }
    assert!(watch.list().unwrap().evicted().is_empty());
}

#[test]
fn a_new_watch_clears_the_evicted_destinations() {
    let (mut watch, call, _) = served();
    for destination in 41..=45 {
        watch
            .request_lookup(SECOND, destination, &nothing_in_use)
            .unwrap();
    }
    assert_eq!(watch.list().unwrap().evicted(), [41]);
    let retry_at = timer(&watch.call_failed(SECOND, call), Timer::Reconnect).unwrap();
    watch.timer_fired(retry_at, Timer::Reconnect);
    assert!(
        watch.list().unwrap().evicted().is_empty(),
        "its request names what is cached"
    );
}
