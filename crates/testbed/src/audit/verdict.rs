//! Result of an audit: the rules, their violations and the counters of a run.

use bellsill_core::interface::{MessageId, Nanos};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of violations stored with evidence; further ones are only counted.
const MAX_SAMPLES: usize = 200;

/// A rule, or one way of violating it. The names are stored in `runs.jsonl` and shown in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// 1: the message did not end within its queue lifetime.
    Lost,
    /// 1: the message had two contradictory endings.
    EndedTwice,
    /// 1: an attempt was sent after the ending or after the queue lifetime.
    AfterEnd,
    /// 2: two attempts of one message were in flight at the same time.
    TwoAtOnce,
    /// 2: another attempt was sent although the queue class forbids it.
    Repeated,
    /// 2: the message took effect twice.
    EffectTwice,
    /// 3: a new attempt was sent to a draining or removed endpoint after the grace period.
    Drained,
    /// 4: a cold endpoint was overloaded by dispatchers that had seen its outage.
    Tipped,
    /// 5: an attempt was sent during a Retry-After wait.
    ToldWait,
    /// 6: messages of a key were sent out of order, concurrently or within the key's cooldown.
    Order,
    /// A message without further possible attempts was not rejected or failed promptly.
    HeldBack,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// Time at which it was detected.
    pub at: Nanos,
    /// The violated rule.
    pub rule: Rule,
    /// The message concerned, if the violation concerns a single one.
    #[serde(rename = "mail")]
    pub message: Option<u64>,
    /// Description of the observed events.
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

/// Result of the audit of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Number of submitted messages.
    #[serde(rename = "mails")]
    pub messages: u64,
    /// Number of calls received by endpoints.
    pub calls: u64,
    /// Number of calls that took effect or were dropped as duplicates.
    pub applied: u64,
    /// Number of effects of calls whose response never reached the dispatcher; each is one effect, not a repeat.
    #[serde(rename = "applied_unheard")]
    pub applied_unanswered: u64,
    /// Number of violations per rule.
    #[serde(rename = "breaks")]
    pub violations: BTreeMap<Rule, u64>,
    /// The first violations, with evidence.
    #[serde(rename = "words")]
    pub samples: Vec<Violation>,
}

impl Verdict {
    /// Returns whether no rule was violated.
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
