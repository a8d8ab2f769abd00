//! Unit tests of the admin request parser, the list of disabled endpoints and the metrics.

use bellsill_daemon::admin::{
    Gauges, MAX_DISABLED, MAX_ENDPOINT_ID_BYTES, MessageResult, Metrics, Request, parse,
    parse_disabled, render,
};

#[test]
fn every_request_is_parsed() {
    assert_eq!(parse(b"ready"), Ok(Request::Ready));
    assert_eq!(parse(b"show-stat"), Ok(Request::ShowStat));
    assert_eq!(parse(b"show-diagnostics"), Ok(Request::ShowDiagnostics));
    assert_eq!(parse(b"drain"), Ok(Request::Drain));
    assert_eq!(parse(b"  resume "), Ok(Request::Resume));
    assert_eq!(
        parse(b"disable-server s-5be2a07c"),
        Ok(Request::Disable("s-5be2a07c".into()))
    );
    assert_eq!(
        parse(b"enable-server s-5be2a07c"),
        Ok(Request::Enable("s-5be2a07c".into()))
    );
}

#[test]
fn invalid_requests_are_rejected_with_a_reason() {
    for (line, reason) in [
        (&b""[..], "empty"),
        (b"reboot", "unknown call"),
        (b"READY", "unknown call"),
        (b"ready now", "takes no word"),
        (b"disable-server", "needs an endpoint id"),
        (b"enable-server a b", "takes no word"),
        (b"\xff", "UTF-8"),
    ] {
        let error = parse(line).expect_err("an invalid request").to_string();
        assert!(error.contains(reason), "{line:?}: {error}");
    }
    let long = format!("disable-server {}", "x".repeat(MAX_ENDPOINT_ID_BYTES + 1));
    assert!(parse(long.as_bytes()).is_err());
}

#[test]
fn a_list_of_disabled_endpoints_is_parsed_and_invalid_lines_are_reported() {
    let (disabled, invalid) = parse_disabled("s-1\n\ns-2\ns-1\na b\n");
    assert_eq!(disabled.into_iter().collect::<Vec<_>>(), ["s-1", "s-2"]);
    assert_eq!(invalid, ["line 5: no endpoint id"]);
    let many: String = (0..MAX_DISABLED + 2).map(|n| format!("s-{n}\n")).collect();
    let (disabled, invalid) = parse_disabled(&many);
    assert_eq!((disabled.len(), invalid.len()), (MAX_DISABLED, 2));
}

#[test]
fn metrics_are_rendered_for_each_class() {
    let mut metrics = Metrics::default();
    metrics.count_message(1, MessageResult::Failed);
    metrics.count_message(0, MessageResult::Completed);
    metrics.count_message(0, MessageResult::Completed);
    metrics.attempts = 3;
    let gauges = Gauges {
        pending: 4,
        members: 5,
        unavailable: 1,
    };
    let text = render(&metrics, &["notice".into(), "payment".into()], &gauges);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.first(), Some(&"SUCCESS"));
    assert_eq!(lines.last(), Some(&"EOT"));
    for line in [
        "dispatcher.downstream_requests.notice.completed=2",
        "dispatcher.downstream_requests.payment.failed=1",
        "dispatcher.downstream_requests.payment.completed=0",
        "dispatcher.upstream_requests=3",
        "dispatcher.pending=4",
        "dispatcher.members=5",
        "dispatcher.members_unavailable=1",
    ] {
        assert!(lines.contains(&line), "{line} in {text}");
    }
}
