//! What the auditor found: the rules, their violations and the counts of a run.

use bellsill_core::interface::{MessageId, Nanos};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Violations are always counted, and described up to this many.
const MAX_SAMPLES: usize = 200;

/// A rule, or one way of breaking it. The names are those of runs.jsonl and of reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// 1: not ended within its queue lifetime.
    Lost,
    /// 1: two endings that contradict each other.
    EndedTwice,
    /// 1: something was sent after the ending, or after the queue lifetime.
    AfterEnd,
    /// 2: two attempts of one message in flight at once.
    TwoAtOnce,
    /// 2: a further attempt that its class forbids.
    Repeated,
    /// 2: took effect twice.
    EffectTwice,
    /// 3: something new to an endpoint that is draining or removed, after the grace period.
    Drained,
    /// 4: a cold endpoint was overloaded by those who had seen its outage.
    Tipped,
    /// 5: something was sent during a Retry-After wait.
    ToldWait,
    /// 6: out of order, two of a key at once, or within the key's cooldown.
    Order,
    /// What had been given up was not answered at once.
    HeldBack,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// When it was found.
    pub at: Nanos,
    /// What was violated.
    pub rule: Rule,
    /// By which message, where it is one message's.
    #[serde(rename = "mail")]
    pub message: Option<u64>,
    /// What was observed, in words.
    pub evidence: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let message = self
            .message
            .map_or(String::new(), |m| format!(" mail {m:016x}:"));
        write!(
            f,
            "at {:.3} s, {:?}:{message} {}",
            self.at as f64 / 1e9,
            self.rule,
            self.evidence
        )
    }
}

/// What the auditor found in a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Messages that were submitted.
    #[serde(rename = "mails")]
    pub messages: u64,
    /// Calls that came to endpoints.
    pub calls: u64,
    /// Calls that took effect, or were dropped as repeats.
    pub applied: u64,
    /// Effects of calls whose answer never reached the dispatcher: once applied, not twice sent.
    #[serde(rename = "applied_unheard")]
    pub applied_unanswered: u64,
    /// How often each rule was violated.
    #[serde(rename = "breaks")]
    pub violations: BTreeMap<Rule, u64>,
    /// The first violations, described.
    #[serde(rename = "words")]
    pub samples: Vec<Violation>,
}

impl Verdict {
    /// Whether no rule was violated.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }

    pub(super) fn record(
        &mut self,
        at: Nanos,
        rule: Rule,
        message: Option<MessageId>,
        evidence: String,
    ) {
        *self.violations.entry(rule).or_default() += 1;
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(Violation {
                at,
                rule,
                message: message.map(|m| m.0),
                evidence,
            });
        }
    }
}
