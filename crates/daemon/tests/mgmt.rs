//! The parser of operators' calls, the list of disabled endpoints and the metrics, without a socket.

use bellsill_daemon::mgmt::{
    COMPLETED, Call, FAILED, Figures, Gauges, HELD_MOST, ID_MOST, parse, read_held, render,
};

#[test]
fn every_call_is_parsed() {
    assert_eq!(parse(b"ready"), Ok(Call::Ready));
    assert_eq!(parse(b"show-stat"), Ok(Call::ShowStat));
    assert_eq!(parse(b"drain"), Ok(Call::Drain));
    assert_eq!(parse(b"  resume "), Ok(Call::Resume));
    assert_eq!(
        parse(b"disable-server s-5be2a07c"),
        Ok(Call::Disable("s-5be2a07c".into()))
    );
    assert_eq!(
        parse(b"enable-server s-5be2a07c"),
        Ok(Call::Enable("s-5be2a07c".into()))
    );
}

#[test]
fn invalid_calls_are_rejected_with_a_reason() {
    for (line, says) in [
        (&b""[..], "empty"),
        (b"reboot", "unknown call"),
        (b"READY", "unknown call"),
        (b"ready now", "takes no word"),
        (b"disable-server", "needs an endpoint id"),
        (b"enable-server a b", "takes no word"),
        (b"\xff", "UTF-8"),
    ] {
        let why = parse(line).expect_err("an invalid call");
        assert!(why.contains(says), "{line:?}: {why}");
    }
    let long = format!("disable-server {}", "x".repeat(ID_MOST + 1));
    assert!(parse(long.as_bytes()).is_err());
}

#[test]
fn a_list_of_disabled_endpoints_is_read_and_invalid_lines_are_reported() {
    let (disabled, invalid) = read_held("s-1\n\ns-2\ns-1\na b\n");
    assert_eq!(disabled.into_iter().collect::<Vec<_>>(), ["s-1", "s-2"]);
    assert_eq!(invalid, ["line 5: no endpoint id"]);
    let many: String = (0..HELD_MOST + 2).map(|n| format!("s-{n}\n")).collect();
    let (disabled, invalid) = read_held(&many);
    assert_eq!((disabled.len(), invalid.len()), (HELD_MOST, 2));
}

#[test]
fn metrics_are_rendered_for_each_class() {
    let mut metrics = Figures::default();
    metrics.count(1, FAILED);
    metrics.count(0, COMPLETED);
    metrics.count(0, COMPLETED);
    metrics.upstream = 3;
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
