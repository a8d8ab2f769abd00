//! Runs a scripted peer with one deliberate defect per rule in place of the dispatcher, on real sockets. The auditor must
//! report a violation of that rule, and none for the peer without a defect or for the real dispatcher.

mod common;

use bellsill_testbed::audit::Rule;
use bellsill_testbed::run::RunLine;
use common::*;

const EXPERIMENT: &str = r#"
title = "A small world"
seeds = [5]
[run]
drive = "sockets"
seconds = 2.5
late_ms = 500
[world]
zones = ["hall-a", "hall-b"]
destinations = 3
endpoints_each = 2
list_lag_ms = [0, 50]
[[kinds]]
name = "shops"
share = 1
headroom = 4
told_share = 1.0
[[classes]]
name = "notice"
share = 0.4
target_ms = 1500
lifetime_ms = 2500
repeat = "redeliverable"
service_ms = [20, 40]
[[classes]]
name = "order"
share = 0.3
target_ms = 1500
lifetime_ms = 4000
repeat = "redeliverable"
ordered_keys = 2
service_ms = [30, 60]
[[classes]]
name = "payment"
share = 0.3
target_ms = 1500
lifetime_ms = 3500
repeat = "once-only"
service_ms = [20, 40]
[load]
rate = 40
retries = 0
[dispatchers]
count = 1
[rules]
drain_grace_ms = 300
"#;

const FAILING_ENDPOINTS: &str =
    "[[troubles]]\nwhat = 'failing'\nshare = 1.0\nfrom_s = 0.2\nto_s = 2.0\npart = 0.6\n";
const DRAINED_ZONE: &str =
    "[[troubles]]\nwhat = 'drained'\nzone = 'hall-b'\nfrom_s = 0.2\nto_s = 2.4\n";
const CLOSED_DESTINATION: &str =
    "[[troubles]]\nwhat = 'shut'\ndestination = 0\nfrom_s = 0.4\nto_s = 1.9\ncold = false\n";

fn run_scripted_peer(defect: &str, experiment: &str) -> RunLine {
    let lab = TestDirectory::new(&format!("broken-{defect}"), experiment);
    lab.command(&["run", "--program", scripted_peer().to_str().unwrap()])
        .env("SCRIPTED_DEFECT", defect)
        .output()
        .unwrap();
    lab.lines().remove(0)
}

fn assert_violation_detected(defect: &str, faults: &str, rule: Rule) {
    let line = run_scripted_peer(defect, &format!("{EXPERIMENT}{faults}"));
    assert!(
        line.verdict.violations.contains_key(&rule),
        "{defect}: {:?}, {:?}",
        line.verdict,
        line.faults
    );
    let violation = line
        .verdict
        .samples
        .iter()
        .find(|w| w.rule == rule)
        .expect("a stored sample of the violation");
    assert!(
        !violation.evidence.is_empty() && (violation.message.is_some() || rule == Rule::Tipped),
        "{violation}"
    );
}

#[test]
fn a_peer_without_a_defect_passes() {
    for faults in [FAILING_ENDPOINTS, DRAINED_ZONE, CLOSED_DESTINATION] {
        let line = run_scripted_peer("none", &format!("{EXPERIMENT}{faults}"));
        assert!(line.verdict.passed(), "{faults}: {:?}", line.verdict);
        assert!(
            line.faults.is_empty() && line.verdict.applied > 50,
            "{:?}, {:?}",
            line.faults,
            line.verdict
        );
    }
}

#[test]
fn rule_1_messages_without_an_ending() {
    assert_violation_detected("lost", FAILING_ENDPOINTS, Rule::Lost);
}

#[test]
fn rule_1_contradictory_endings() {
    assert_violation_detected("ended-twice", FAILING_ENDPOINTS, Rule::EndedTwice);
}

#[test]
fn rule_1_sent_after_the_ending() {
    assert_violation_detected("after-end", "", Rule::AfterEnd);
}

#[test]
fn rule_2_concurrent_attempts() {
    assert_violation_detected("two-at-once", "", Rule::TwoAtOnce);
}

#[test]
fn rule_2_at_most_once_message_repeated() {
    assert_violation_detected("repeated", FAILING_ENDPOINTS, Rule::Repeated);
}

#[test]
fn rule_2_effects_in_two_zones() {
    assert_violation_detected("effect-twice", "", Rule::EffectTwice);
}

#[test]
fn rule_3_sent_to_a_draining_endpoint() {
    assert_violation_detected("drained", DRAINED_ZONE, Rule::Drained);
}

#[test]
fn rule_4_cold_endpoint_overloaded() {
    // The peer does not treat cold endpoints differently: it sends all waiting messages at once when the endpoint returns.
    let cold_return = CLOSED_DESTINATION.replace("cold = false", "cold = true");
    let line = run_scripted_peer(
        "cold",
        &format!("{EXPERIMENT}cold_share = 0.05\ntip_window_ms = 1000\n{cold_return}"),
    );
    assert!(
        line.verdict.violations.contains_key(&Rule::Tipped),
        "{:?}",
        line.verdict
    );
}

#[test]
fn rule_5_sent_during_a_retry_after_wait() {
    assert_violation_detected("told-wait", CLOSED_DESTINATION, Rule::ToldWait);
}

#[test]
fn rule_6_out_of_order() {
    assert_violation_detected("order", "", Rule::Order);
}

#[test]
fn messages_without_further_attempts_are_held_back() {
    assert_violation_detected("held-back", FAILING_ENDPOINTS, Rule::HeldBack);
}

#[test]
fn the_dispatcher_passes_through_a_kill() {
    let program = dispatcher();
    let killed = "[[troubles]]\nwhat = 'killed'\ndispatcher = 0\nfrom_s = 0.9\nto_s = 1.5\n";
    let lab = TestDirectory::new("real", &format!("{EXPERIMENT}{FAILING_ENDPOINTS}{killed}"));
    lab.command(&["run", "--program", program.to_str().unwrap()])
        .output()
        .unwrap();
    let line = lab.lines().remove(0);
    assert!(
        line.verdict.passed() && line.faults.is_empty(),
        "{:?}, {:?}",
        line.verdict,
        line.faults
    );
    assert!(
        line.verdict.applied > 50 && line.results.share > 0.3,
        "{:?}",
        line.verdict
    );
}
