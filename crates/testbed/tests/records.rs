//! Tests the auditor on hand-written observations, at the boundaries between allowed and forbidden behaviour.

use bellsill_core::interface::{
    ClassSettings, DeduplicationScope, DeliverySemantics, EndpointId, MessageId, Nanos,
};
use bellsill_testbed::audit::{AuditSettings, AuditedEndpoint, Auditor, Rule, Slack, Verdict};
use bellsill_testbed::record::{CallNumber, Observation, Submission};
use bellsill_testbed::world::Answer;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

fn class(semantics: DeliverySemantics, ordered: bool) -> ClassSettings {
    ClassSettings {
        priority_weight: 1.0,
        latency_objective: S,
        lifetime: 10 * S,
        late_value_share: 0.4,
        semantics,
        ordered,
    }
}

/// Queue classes by number: idempotent, idempotency key per zone with a window of 4 s, at most once, at most once in order.
/// Two zones with two endpoints each.
fn auditor() -> Auditor {
    Auditor::new(AuditSettings {
        classes: vec![
            class(DeliverySemantics::Idempotent, false),
            class(
                DeliverySemantics::IdempotencyKey {
                    window: 4 * S,
                    scope: DeduplicationScope::Zone,
                },
                false,
            ),
            class(DeliverySemantics::AtMostOnce, false),
            class(DeliverySemantics::AtMostOnce, true),
        ],
        endpoints: [(0, 0), (0, 1), (1, 2), (1, 3)]
            .map(|(zone, rate_limit)| AuditedEndpoint { zone, rate_limit })
            .to_vec(),
        drain_grace: 2 * S,
        key_cooldown: 100 * MS,
        max_attempts: 4,
        slack: Slack::VIRTUAL,
    })
}

fn submit_and_accept(a: &mut Auditor, at: Nanos, message: u64, class: usize) {
    let message = MessageId(message);
    let key = (class == 3).then_some(9);
    let (destination, dispatcher) = (0, 0);
    let deadline = at + 10 * S;
    let arrival = message.0;
    let submission = Submission {
        message,
        arrival,
        class,
        destination,
        key,
        dispatcher,
        deadline,
        resubmitted: false,
    };
    a.observe(at, &Observation::Submitted(submission));
    a.observe(at, &Observation::Accepted { message });
}

fn call(a: &mut Auditor, at: Nanos, no: u64, message: u64, endpoint: u32) {
    let (message, endpoint) = (MessageId(message), EndpointId(endpoint));
    let observation = Observation::Call {
        call: CallNumber(no),
        message,
        endpoint,
        dispatcher: 0,
        started_at: at,
        fresh: true,
    };
    a.observe(at, &observation);
}

fn applied(a: &mut Auditor, at: Nanos, no: u64) {
    a.observe(
        at,
        &Observation::Applied {
            call: CallNumber(no),
            fresh: true,
        },
    );
}

fn answered(a: &mut Auditor, at: Nanos, no: u64, answer: Answer) {
    a.observe(
        at,
        &Observation::Answered {
            call: CallNumber(no),
            answer,
        },
    );
}

fn close_connection(a: &mut Auditor, at: Nanos, no: u64) {
    a.observe(
        at,
        &Observation::ConnectionClosed {
            call: CallNumber(no),
            by_endpoint: false,
        },
    );
}

fn notify(a: &mut Auditor, at: Nanos, message: u64, retry_after: Option<Nanos>) {
    a.observe(
        at,
        &Observation::Notified {
            message: MessageId(message),
            retry_after,
        },
    );
}

fn rules(a: Auditor) -> Vec<Rule> {
    a.finish(60 * S).violations.into_keys().collect()
}

#[test]
fn an_unanswered_call_that_took_effect_counts_as_one_effect() {
    let mut a = auditor();
    submit_and_accept(&mut a, S, 1, 2);
    call(&mut a, S, 1, 1, 0);
    close_connection(&mut a, 3 * S, 1);
    applied(&mut a, 4 * S, 1);
    notify(&mut a, 3 * S + MS, 1, None);
    let verdict = a.finish(60 * S);
    assert!(verdict.passed(), "{verdict:?}");
    assert_eq!(
        (verdict.calls, verdict.applied, verdict.applied_unanswered),
        (1, 1, 1)
    );
}

#[test]
fn after_a_kill_an_at_most_once_message_may_fail_but_not_be_sent_again() {
    for (sent_again, passes) in [(false, true), (true, false)] {
        let mut a = auditor();
        a.observe(S, &Observation::Ready { dispatcher: 0 });
        submit_and_accept(&mut a, S, 1, 2);
        call(&mut a, S, 1, 1, 0);
        close_connection(&mut a, 2 * S, 1);
        a.observe(2 * S, &Observation::Stopped { dispatcher: 0 });
        a.observe(3 * S, &Observation::Started { dispatcher: 0 });
        a.observe(3 * S, &Observation::Ready { dispatcher: 0 });
        if sent_again {
            call(&mut a, 3 * S + MS, 2, 1, 2);
            answered(&mut a, 3 * S + 2 * MS, 2, Answer::Delivered);
        } else {
            notify(&mut a, 3 * S + MS, 1, None);
        }
        let rules = rules(a);
        assert_eq!(rules.is_empty(), passes, "{rules:?}");
        assert_eq!(rules.contains(&Rule::Repeated), sent_again);
    }
}

#[test]
fn evidence_of_a_double_effect_names_both_zones() {
    let mut a = auditor();
    submit_and_accept(&mut a, S, 1, 2);
    call(&mut a, S, 1, 1, 0);
    applied(&mut a, 2 * S, 1);
    close_connection(&mut a, 2 * S, 1);
    call(&mut a, 3 * S, 2, 1, 3);
    applied(&mut a, 4 * S, 2);
    answered(&mut a, 4 * S, 2, Answer::Delivered);
    let verdict = a.finish(60 * S);
    let violation = verdict
        .samples
        .iter()
        .find(|w| w.rule == Rule::EffectTwice)
        .expect("found");
    assert_eq!((violation.at, violation.message), (4 * S, Some(1)));
    assert!(
        violation.evidence.contains("zone 0") && violation.evidence.contains("zone 1"),
        "{violation}"
    );
}

#[test]
fn repeats_with_an_idempotency_key_stay_within_window_and_zone() {
    for (at, endpoint, passes) in [
        (4 * S, 1, true),
        (4 * S, 2, false),
        (5 * S + 2 * MS, 1, false),
    ] {
        let mut a = auditor();
        submit_and_accept(&mut a, S, 1, 1);
        call(&mut a, S, 1, 1, 0);
        close_connection(&mut a, 2 * S, 1);
        call(&mut a, at, 2, 1, endpoint);
        answered(&mut a, at + S, 2, Answer::Delivered);
        assert_eq!(rules(a).is_empty(), passes, "at {at} to {endpoint}");
    }
}

#[test]
fn retry_after_applies_to_its_rate_limit_until_it_expires_or_the_process_stops() {
    let rate_limited = Answer::RateLimited(Some(3 * S));
    for (at, endpoint, restart, passes) in [
        (3 * S, 0, false, false),
        (3 * S, 1, false, true),
        (4 * S + MS, 0, false, true),
        (3 * S, 0, true, true),
    ] {
        let mut a = auditor();
        submit_and_accept(&mut a, S, 1, 0);
        submit_and_accept(&mut a, S, 2, 0);
        call(&mut a, S, 1, 1, 0);
        answered(&mut a, S + MS, 1, rate_limited);
        if restart {
            a.observe(2 * S, &Observation::Stopped { dispatcher: 0 });
            a.observe(2 * S, &Observation::Ready { dispatcher: 0 });
        }
        call(&mut a, at, 2, 2, endpoint);
        answered(&mut a, at + S, 2, Answer::Delivered);
        notify(&mut a, 5 * S, 1, Some(0));
        let rules = rules(a);
        assert_eq!(rules.is_empty(), passes, "at {at} to {endpoint}: {rules:?}");
    }
}

#[test]
fn messages_of_a_key_are_ordered_and_respect_the_cooldown() {
    for (answer, next, passes) in [
        (Answer::Delivered, 2 * S + MS, true),
        (Answer::ServerError, 2 * S + 50 * MS, false),
        (Answer::RateLimited(None), 2 * S + 50 * MS, false),
    ] {
        let mut a = auditor();
        submit_and_accept(&mut a, S, 1, 3);
        submit_and_accept(&mut a, S + MS, 2, 3);
        call(&mut a, S + MS, 1, 1, 0);
        answered(&mut a, 2 * S, 1, answer);
        // Unless delivered, the first message has not ended yet, so the second must not be sent.
        call(&mut a, next, 2, 2, 1);
        answered(&mut a, next + S, 2, Answer::Delivered);
        notify(&mut a, next + 2 * S, 1, None);
        assert_eq!(!rules(a).contains(&Rule::Order), passes, "{answer:?}");
    }
    let mut a = auditor();
    submit_and_accept(&mut a, S, 1, 3);
    submit_and_accept(&mut a, S + MS, 2, 3);
    call(&mut a, S + MS, 1, 1, 0);
    close_connection(&mut a, 2 * S, 1);
    notify(&mut a, 2 * S, 1, None);
    call(&mut a, 2 * S + 60 * MS, 2, 2, 1);
    answered(&mut a, 3 * S, 2, Answer::Delivered);
    assert_eq!(rules(a), [Rule::Order], "within the key's cooldown");
}

#[test]
fn each_message_ends_once_and_in_time() {
    let mut a = auditor();
    for message in 1..=4 {
        submit_and_accept(&mut a, S, message, 0);
    }
    notify(&mut a, 2 * S, 1, None);
    // A repeated notification of the same ending is not a second ending.
    notify(&mut a, 3 * S, 1, None);
    notify(&mut a, 3 * S, 2, Some(S));
    notify(&mut a, 4 * S, 2, None);
    call(&mut a, 5 * S, 1, 3, 0);
    answered(&mut a, 6 * S, 1, Answer::Delivered);
    // A dispatcher that never read the 200 response may report the message as failed.
    notify(&mut a, 6 * S, 3, None);
    let verdict = a.finish(60 * S);
    let messages_violating = |rule| {
        verdict
            .samples
            .iter()
            .filter(|w| w.rule == rule)
            .map(|w| w.message)
            .collect::<Vec<_>>()
    };
    assert_eq!(messages_violating(Rule::EndedTwice), [Some(2)]);
    assert_eq!(messages_violating(Rule::Lost), [Some(4)]);
    assert_eq!(verdict.samples.len(), 2, "{verdict:?}");
}

#[test]
fn effects_of_abandoned_messages_are_ignored() {
    let mut a = auditor();
    submit_and_accept(&mut a, S, 1, 2);
    a.observe(
        S,
        &Observation::Abandoned {
            message: MessageId(1),
        },
    );
    call(&mut a, S, 1, 1, 0);
    applied(&mut a, 2 * S, 1);
    let resubmission = Submission {
        message: MessageId(2),
        arrival: 1,
        class: 2,
        destination: 0,
        key: None,
        dispatcher: 1,
        deadline: 9 * S,
        resubmitted: true,
    };
    a.observe(2 * S, &Observation::Submitted(resubmission));
    a.observe(
        2 * S,
        &Observation::Accepted {
            message: MessageId(2),
        },
    );
    call(&mut a, 3 * S, 2, 2, 1);
    applied(&mut a, 4 * S, 2);
    answered(&mut a, 4 * S, 2, Answer::Delivered);
    assert!(rules(a).is_empty());
}

#[test]
fn a_stored_verdict_keeps_its_field_names() {
    const STORED: &str = r#"{"mails":1,"calls":2,"applied":2,"applied_unheard":1,"breaks":{"two-at-once":1},"words":[{"at":5,"rule":"two-at-once","mail":7,"evidence":"sent"}]}"#;
    let verdict: Verdict = serde_json::from_str(STORED).unwrap();
    assert_eq!((verdict.messages, verdict.applied_unanswered), (1, 1));
    assert_eq!(verdict.violations[&Rule::TwoAtOnce], 1);
    assert_eq!(verdict.samples[0].message, Some(7));
    assert_eq!(serde_json::to_string(&verdict).unwrap(), STORED);
}
