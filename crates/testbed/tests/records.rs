//! The auditor on records that are written down here one by one, for what must be told apart exactly.

use bellsill_core::interface::{
    ClassSettings, DeduplicationScope, DeliverySemantics, EndpointId, MessageId, Nanos,
};
use bellsill_testbed::audit::{AuditSettings, AuditedEndpoint, Auditor, Rule, Slack, Verdict};
use bellsill_testbed::record::{CallNumber, Observation, Submission};
use bellsill_testbed::world::Answer;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

fn class(repeat: DeliverySemantics, ordered: bool) -> ClassSettings {
    ClassSettings {
        priority_weight: 1.0,
        latency_objective: S,
        lifetime: 10 * S,
        late_value_share: 0.4,
        semantics: repeat,
        ordered,
    }
}

/// Redeliverable, tagged within a zone for 4 s, once-only, once-only in order; two zones with two endpoints each.
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

fn taken(a: &mut Auditor, at: Nanos, message: u64, class: usize) {
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

fn broken(a: &mut Auditor, at: Nanos, no: u64) {
    a.observe(
        at,
        &Observation::ConnectionClosed {
            call: CallNumber(no),
            by_endpoint: false,
        },
    );
}

fn notice(a: &mut Auditor, at: Nanos, message: u64, deferred: Option<Nanos>) {
    a.observe(
        at,
        &Observation::Notified {
            message: MessageId(message),
            retry_after: deferred,
        },
    );
}

fn rules(a: Auditor) -> Vec<Rule> {
    a.finish(60 * S).violations.into_keys().collect()
}

#[test]
fn a_call_that_applied_and_was_never_answered_is_applied_once_not_sent_twice() {
    let mut a = auditor();
    taken(&mut a, S, 1, 2);
    call(&mut a, S, 1, 1, 0);
    broken(&mut a, 3 * S, 1);
    applied(&mut a, 4 * S, 1);
    notice(&mut a, 3 * S + MS, 1, None);
    let verdict = a.finish(60 * S);
    assert!(verdict.passed(), "{verdict:?}");
    assert_eq!(
        (verdict.calls, verdict.applied, verdict.applied_unanswered),
        (1, 1, 1)
    );
}

#[test]
fn killed_before_the_first_byte_a_once_only_mail_may_be_bounced_but_not_sent() {
    for (sent, kept) in [(false, true), (true, false)] {
        let mut a = auditor();
        a.observe(S, &Observation::Ready { dispatcher: 0 });
        taken(&mut a, S, 1, 2);
        call(&mut a, S, 1, 1, 0);
        broken(&mut a, 2 * S, 1);
        a.observe(2 * S, &Observation::Stopped { dispatcher: 0 });
        a.observe(3 * S, &Observation::Started { dispatcher: 0 });
        a.observe(3 * S, &Observation::Ready { dispatcher: 0 });
        if sent {
            call(&mut a, 3 * S + MS, 2, 1, 2);
            answered(&mut a, 3 * S + 2 * MS, 2, Answer::Delivered);
        } else {
            notice(&mut a, 3 * S + MS, 1, None);
        }
        let rules = rules(a);
        assert_eq!(rules.is_empty(), kept, "{rules:?}");
        assert_eq!(rules.contains(&Rule::Repeated), sent);
    }
}

#[test]
fn an_effect_twice_in_two_zones_names_both() {
    let mut a = auditor();
    taken(&mut a, S, 1, 2);
    call(&mut a, S, 1, 1, 0);
    applied(&mut a, 2 * S, 1);
    broken(&mut a, 2 * S, 1);
    call(&mut a, 3 * S, 2, 1, 3);
    applied(&mut a, 4 * S, 2);
    answered(&mut a, 4 * S, 2, Answer::Delivered);
    let verdict = a.finish(60 * S);
    let words = verdict
        .samples
        .iter()
        .find(|w| w.rule == Rule::EffectTwice)
        .expect("found");
    assert_eq!((words.at, words.message), (4 * S, Some(1)));
    assert!(
        words.evidence.contains("zone 0") && words.evidence.contains("zone 1"),
        "{words}"
    );
}

#[test]
fn a_tagged_mail_stays_in_its_window_and_its_zone() {
    for (at, endpoint, kept) in [
        (4 * S, 1, true),
        (4 * S, 2, false),
        (5 * S + 2 * MS, 1, false),
    ] {
        let mut a = auditor();
        taken(&mut a, S, 1, 1);
        call(&mut a, S, 1, 1, 0);
        broken(&mut a, 2 * S, 1);
        call(&mut a, at, 2, 1, endpoint);
        answered(&mut a, at + S, 2, Answer::Delivered);
        assert_eq!(rules(a).is_empty(), kept, "at {at} to {endpoint}");
    }
}

#[test]
fn a_told_wait_binds_its_gate_until_it_ends_or_the_process_does() {
    let told = Answer::RateLimited(Some(3 * S));
    for (at, endpoint, restart, kept) in [
        (3 * S, 0, false, false),
        (3 * S, 1, false, true),
        (4 * S + MS, 0, false, true),
        (3 * S, 0, true, true),
    ] {
        let mut a = auditor();
        taken(&mut a, S, 1, 0);
        taken(&mut a, S, 2, 0);
        call(&mut a, S, 1, 1, 0);
        answered(&mut a, S + MS, 1, told);
        if restart {
            a.observe(2 * S, &Observation::Stopped { dispatcher: 0 });
            a.observe(2 * S, &Observation::Ready { dispatcher: 0 });
        }
        call(&mut a, at, 2, 2, endpoint);
        answered(&mut a, at + S, 2, Answer::Delivered);
        notice(&mut a, 5 * S, 1, Some(0));
        let rules = rules(a);
        assert_eq!(rules.is_empty(), kept, "at {at} to {endpoint}: {rules:?}");
    }
}

#[test]
fn order_holds_per_key_with_its_rest() {
    for (ends, next, kept) in [
        (Answer::Delivered, 2 * S + MS, true),
        (Answer::ServerError, 2 * S + 50 * MS, false),
        (Answer::RateLimited(None), 2 * S + 50 * MS, false),
    ] {
        let mut a = auditor();
        taken(&mut a, S, 1, 3);
        taken(&mut a, S + MS, 2, 3);
        call(&mut a, S + MS, 1, 1, 0);
        answered(&mut a, 2 * S, 1, ends);
        // Not over: it is another's turn only once this has ended.
        call(&mut a, next, 2, 2, 1);
        answered(&mut a, next + S, 2, Answer::Delivered);
        notice(&mut a, next + 2 * S, 1, None);
        assert_eq!(!rules(a).contains(&Rule::Order), kept, "{ends:?}");
    }
    let mut a = auditor();
    taken(&mut a, S, 1, 3);
    taken(&mut a, S + MS, 2, 3);
    call(&mut a, S + MS, 1, 1, 0);
    broken(&mut a, 2 * S, 1);
    notice(&mut a, 2 * S, 1, None);
    call(&mut a, 2 * S + 60 * MS, 2, 2, 1);
    answered(&mut a, 3 * S, 2, Answer::Delivered);
    assert_eq!(rules(a), [Rule::Order], "within the key's rest");
}

#[test]
fn ends_are_one_and_in_time() {
    let mut a = auditor();
    for message in 1..=4 {
        taken(&mut a, S, message, 0);
    }
    notice(&mut a, 2 * S, 1, None);
    // The same notice again is no second end.
    notice(&mut a, 3 * S, 1, None);
    notice(&mut a, 3 * S, 2, Some(S));
    notice(&mut a, 4 * S, 2, None);
    call(&mut a, 5 * S, 1, 3, 0);
    answered(&mut a, 6 * S, 1, Answer::Delivered);
    // A dispatcher may give up a message whose 200 it never read.
    notice(&mut a, 6 * S, 3, None);
    let verdict = a.finish(60 * S);
    let of = |rule| {
        verdict
            .samples
            .iter()
            .filter(|w| w.rule == rule)
            .map(|w| w.message)
            .collect::<Vec<_>>()
    };
    assert_eq!(of(Rule::EndedTwice), [Some(2)]);
    assert_eq!(of(Rule::Lost), [Some(4)]);
    assert_eq!(verdict.samples.len(), 2, "{verdict:?}");
}

#[test]
fn what_a_client_never_heard_of_counts_for_nothing() {
    let mut a = auditor();
    taken(&mut a, S, 1, 2);
    a.observe(
        S,
        &Observation::Abandoned {
            message: MessageId(1),
        },
    );
    call(&mut a, S, 1, 1, 0);
    applied(&mut a, 2 * S, 1);
    let again = Submission {
        message: MessageId(2),
        arrival: 1,
        class: 2,
        destination: 0,
        key: None,
        dispatcher: 1,
        deadline: 9 * S,
        resubmitted: true,
    };
    a.observe(2 * S, &Observation::Submitted(again));
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
