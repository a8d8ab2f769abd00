//! For each rule a dispatcher that breaks it on purpose: a scripted peer, played on real sockets by the program itself. The
//! auditor must convict it of that rule; the same peer without a defect, and the real dispatcher, are acquitted.

mod common;

use bellsill_testbed::audit::Rule;
use bellsill_testbed::run::RunLine;
use common::*;

const WORLD: &str = r#"
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

const FAILING: &str =
    "[[troubles]]\nwhat = 'failing'\nshare = 1.0\nfrom_s = 0.2\nto_s = 2.0\npart = 0.6\n";
const DRAINED: &str = "[[troubles]]\nwhat = 'drained'\nzone = 'hall-b'\nfrom_s = 0.2\nto_s = 2.4\n";
const SHUT: &str =
    "[[troubles]]\nwhat = 'shut'\ndestination = 0\nfrom_s = 0.4\nto_s = 1.9\ncold = false\n";
fn played(defect: &str, world: &str) -> RunLine {
    let lab = TestDirectory::new(&format!("broken-{defect}"), world);
    lab.command(&["run", "--program", scripted_peer().to_str().unwrap()])
        .env("SCRIPTED_DEFECT", defect)
        .output()
        .unwrap();
    lab.lines().remove(0)
}

fn convicted(defect: &str, faults: &str, rule: Rule) {
    let line = played(defect, &format!("{WORLD}{faults}"));
    assert!(
        line.verdict.violations.contains_key(&rule),
        "{defect}: {:?}, {:?}",
        line.verdict,
        line.faults
    );
    let words = line
        .verdict
        .samples
        .iter()
        .find(|w| w.rule == rule)
        .expect("in words");
    assert!(
        !words.evidence.is_empty() && (words.message.is_some() || rule == Rule::Tipped),
        "{words}"
    );
}

#[test]
fn a_peer_without_a_defect_is_acquitted() {
    for faults in [FAILING, DRAINED, SHUT] {
        let line = played("none", &format!("{WORLD}{faults}"));
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
fn rule_1_mails_without_an_end() {
    convicted("lost", FAILING, Rule::Lost);
}

#[test]
fn rule_1_two_ends() {
    convicted("ended-twice", FAILING, Rule::EndedTwice);
}

#[test]
fn rule_1_sent_after_the_end() {
    convicted("after-end", "", Rule::AfterEnd);
}

#[test]
fn rule_2_two_connects_at_once() {
    convicted("two-at-once", "", Rule::TwoAtOnce);
}

#[test]
fn rule_2_once_only_sent_again() {
    convicted("repeated", FAILING, Rule::Repeated);
}

#[test]
fn rule_2_an_effect_in_two_zones() {
    convicted("effect-twice", "", Rule::EffectTwice);
}

#[test]
fn rule_3_sent_to_a_draining_endpoint() {
    convicted("drained", DRAINED, Rule::Drained);
}

#[test]
fn rule_4_a_cold_endpoint_pushed_over() {
    // The peer knows of no cold endpoints: all that waited for the opening comes at once.
    let shut = SHUT.replace("cold = false", "cold = true");
    let line = played(
        "cold",
        &format!("{WORLD}cold_share = 0.05\ntip_window_ms = 1000\n{shut}"),
    );
    assert!(
        line.verdict.violations.contains_key(&Rule::Tipped),
        "{:?}",
        line.verdict
    );
}

#[test]
fn rule_5_sent_while_a_told_wait_runs() {
    convicted("told-wait", SHUT, Rule::ToldWait);
}

#[test]
fn rule_6_out_of_order() {
    convicted("order", "", Rule::Order);
}

#[test]
fn what_was_given_up_is_held_back() {
    convicted("held-back", FAILING, Rule::HeldBack);
}

#[test]
fn the_real_dispatcher_is_acquitted_through_a_kill() {
    let program = dispatcher();
    let killed = "[[troubles]]\nwhat = 'killed'\ndispatcher = 0\nfrom_s = 0.9\nto_s = 1.5\n";
    let lab = TestDirectory::new("real", &format!("{WORLD}{FAILING}{killed}"));
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
