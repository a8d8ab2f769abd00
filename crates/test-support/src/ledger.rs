//! Records what clients, endpoints and the platform observe, independently of the dispatcher, and checks the
//! guarantees.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The tolerance for the end of a message after its lifetime.
const END_SLACK: Duration = Duration::from_millis(300);
/// The tolerance for every other limit.
const LIMIT_SLACK: Duration = Duration::from_millis(150);
/// The time after a restarted dispatcher becomes ready during which no notification is overdue.
const READY_SLACK: Duration = Duration::from_millis(1_500);
/// The maximum time from the start of a new process until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long after SIGTERM clients open new connections.
const ACCEPT_TIME: Duration = Duration::from_millis(400);
/// The time after a Retry-After response during which requests do not yet violate it.
const RETRY_AFTER_SLACK: Duration = Duration::from_millis(250);
/// The tolerance for events that are recorded late, because the recording threads share the machine with all others.
const RECORDING_SLACK: Duration = Duration::from_millis(250);

/// The reply that a client received for a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Reply {
    Accepted,
    Refused,
    /// No reply or no connection. The client would submit the message to another dispatcher, so it is not checked.
    None,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Effect {
    Delivered,
    MayHaveRun,
    NeverRan,
}

#[derive(Clone, Debug)]
struct Call {
    started_at: Instant,
    ended_at: Option<Instant>,
    effect: Effect,
}

#[derive(Clone, Debug)]
struct Message {
    window: Option<Duration>,
    /// The end of the message's lifetime.
    deadline: Instant,
    reply: Reply,
    calls: Vec<Call>,
    notified_at: Vec<Instant>,
    /// The connection that was closed without a reply although the complete request had been sent to it.
    unanswered: Option<UnansweredConnection>,
}

/// A new connection that was closed without a reply to the request on it.
#[derive(Clone, Copy, Debug)]
struct UnansweredConnection {
    opened_at: Instant,
    closed_at: Instant,
}

/// A restart of the dispatcher.
#[derive(Clone, Copy, Debug)]
struct Restart {
    /// When the first signal was sent.
    started_at: Instant,
    /// When the process was killed; `None` while it still runs.
    killed_at: Option<Instant>,
    /// When the next process became ready; `None` until then.
    ready_at: Option<Instant>,
}

impl Restart {
    /// Whether a connection may be closed unanswered at this time, because no process serves it.
    fn is_down_at(&self, at: Instant) -> bool {
        self.killed_at.is_some_and(|killed| at >= killed) && !self.is_over_at(at)
    }

    /// Whether a connection opened at this time may be refused or reset, because the process no longer accepts any.
    fn may_refuse_at(&self, at: Instant) -> bool {
        at >= self.started_at + ACCEPT_TIME && !self.is_over_at(at)
    }

    fn is_over_at(&self, at: Instant) -> bool {
        self.ready_at.is_some_and(|ready| at > ready)
    }
}

/// A queue class, with how often its messages may take effect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Class {
    pub(crate) name: &'static str,
    /// The time within which endpoints drop duplicates. Without it, a message may take effect at most once.
    pub(crate) window: Option<Duration>,
}

#[derive(Default)]
pub(crate) struct Ledger {
    messages: BTreeMap<String, Message>,
    restarts: Vec<Restart>,
    /// The Retry-After periods of each limiter: when the response was sent and when the period ends.
    retry_after_periods: BTreeMap<usize, Vec<(Instant, Instant)>>,
    /// The longest delay of a thread that only sleeps, added to the tolerances: the same stall of the machine delays
    /// the ledger and the dispatcher, which the documented limits do not include.
    longest_stall: Duration,
    /// When the process that is not ready yet was started.
    started_at: Option<Instant>,
    violations: Vec<String>,
}

/// The counts and violations of a run.
#[derive(Debug, Default, PartialEq)]
pub struct Verdict {
    /// The number of messages with the reply `OK`.
    pub accepted: usize,
    /// The number of messages with the reply `BUSY`.
    pub refused: usize,
    /// The number of messages that an endpoint accepted.
    pub delivered: usize,
    /// The number of messages with a notification.
    pub notified: usize,
    /// The longest stall of the machine.
    pub longest_stall: Duration,
    /// A description of each violated guarantee.
    pub violations: Vec<String>,
}

impl std::fmt::Display for Verdict {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Verdict {
            accepted,
            refused,
            delivered,
            notified,
            longest_stall,
            violations,
        } = self;
        write!(
            f,
            "accepted {accepted}, refused {refused}, delivered {delivered}, notified {notified}, "
        )?;
        write!(
            f,
            "machine stalled {} ms, violations {}",
            longest_stall.as_millis(),
            violations.len()
        )
    }
}

impl Ledger {
    /// Records a stall of the machine, measured as the delay of a thread.
    pub(crate) fn machine_stalled(&mut self, time: Duration) {
        self.longest_stall = self.longest_stall.max(time);
    }

    /// Records that a client is about to submit a message.
    pub(crate) fn submitted(&mut self, id: &str, class: Class, lifetime: Duration) {
        let message = Message {
            window: class.window,
            deadline: Instant::now() + lifetime,
            reply: Reply::None,
            calls: vec![],
            notified_at: vec![],
            unanswered: None,
        };
        self.messages.insert(id.to_string(), message);
    }

    pub(crate) fn replied(&mut self, id: &str, reply: Reply) {
        self.messages.get_mut(id).unwrap().reply = reply;
    }

    /// Records that a client's new connection was closed without a reply after the request was written.
    pub(crate) fn closed_without_reply(&mut self, id: &str, opened_at: Instant) {
        self.messages.get_mut(id).unwrap().unanswered = Some(UnansweredConnection {
            opened_at,
            closed_at: Instant::now(),
        });
    }

    /// Records a call whose request arrived completely this long ago, and returns the call's index among those of the
    /// message. The delay until it was read counts as a stall of the machine.
    pub(crate) fn call_started(&mut self, id: &str, limiter: usize, ago: Duration) -> usize {
        let now = Instant::now() - ago;
        self.machine_stalled(ago);
        let last_restart = self.restarts.last().map(|restart| restart.started_at);
        let is_in_force = |&&(received, until): &&(Instant, Instant)| {
            last_restart.is_none_or(|at| received > at)
                && received + RETRY_AFTER_SLACK < now
                && now + LIMIT_SLACK < until
        };
        if self
            .retry_after_periods
            .get(&limiter)
            .is_some_and(|periods| periods.iter().any(|period| is_in_force(&period)))
        {
            self.violations.push(format!(
                "{id}: called during a Retry-After period of limiter {limiter}"
            ));
        }
        let Some(message) = self.messages.get_mut(id) else {
            self.violations
                .push(format!("{id}: called, but never submitted"));
            return 0;
        };
        message.calls.push(Call {
            started_at: now,
            ended_at: None,
            effect: Effect::MayHaveRun,
        });
        message.calls.len() - 1
    }

    /// Records the end of a call, by a response or the end of its connection.
    pub(crate) fn call_ended(&mut self, id: &str, index: usize, effect: Effect) {
        if let Some(call) = self
            .messages
            .get_mut(id)
            .and_then(|message| message.calls.get_mut(index))
        {
            call.ended_at = Some(Instant::now());
            call.effect = effect;
        }
    }

    /// Records that a Retry-After response is sent.
    pub(crate) fn retry_after_sent(&mut self, limiter: usize, period: Duration) {
        let now = Instant::now();
        self.retry_after_periods
            .entry(limiter)
            .or_default()
            .push((now, now + period));
    }

    pub(crate) fn notified(&mut self, id: &str) {
        match self.messages.get_mut(id) {
            Some(message) => message.notified_at.push(Instant::now()),
            None => self.violations.push(format!(
                "{id}: notification for a message that was never submitted"
            )),
        }
    }

    /// Records that a client with a partial request received an error or the end of its connection, or timed out
    /// waiting for either.
    pub(crate) fn partial_request_ended(&mut self, started_at: Instant, limit: Duration) {
        let took = started_at.elapsed();
        if took > limit + LIMIT_SLACK
            && !self
                .restarts
                .iter()
                .any(|restart| restart.ready_at.is_none_or(|ready| ready >= started_at))
        {
            self.violations.push(format!(
                "a connection with a partial request stayed open for {} ms",
                took.as_millis()
            ));
        }
    }

    /// Records the first signal that ends the process.
    pub(crate) fn restart_started(&mut self) {
        self.restarts.push(Restart {
            started_at: Instant::now(),
            killed_at: None,
            ready_at: None,
        });
    }

    /// Records that the process is about to be killed.
    pub(crate) fn process_killed(&mut self) {
        if let Some(restart) = self.restarts.last_mut() {
            restart.killed_at.get_or_insert_with(Instant::now);
        }
    }

    /// Records something else that the dispatcher must not do.
    pub(crate) fn violated(&mut self, description: String) {
        self.violations.push(description);
    }

    /// Records the start of the next process.
    pub(crate) fn process_started(&mut self) {
        self.started_at = Some(Instant::now());
    }

    /// Records that the next process is ready.
    pub(crate) fn restart_ended(&mut self) {
        let took = self
            .started_at
            .take()
            .map_or(Duration::ZERO, |since| since.elapsed());
        if took > READY_TIMEOUT {
            self.violations.push(format!(
                "the restarted process was ready only after {} ms",
                took.as_millis()
            ));
        }
        self.restarts.last_mut().unwrap().ready_at = Some(Instant::now());
    }

    /// Returns when a message with this deadline is overdue. No notification is overdue during a restart.
    fn overdue_at(&self, deadline: Instant) -> Instant {
        let mut at = deadline + END_SLACK + self.longest_stall;
        for restart in &self.restarts {
            let until = restart.ready_at.map(|ready| ready + READY_SLACK);
            if restart.started_at <= at && until.is_none_or(|until| at <= until) {
                at = until.unwrap_or(at + Duration::from_secs(3600));
            }
        }
        at
    }

    /// Whether every accepted message was delivered or has a notification.
    pub(crate) fn all_ended(&self) -> bool {
        let ended = |m: &Message| !m.notified_at.is_empty() || m.delivered_at().is_some();
        self.messages
            .values()
            .all(|m| m.reply != Reply::Accepted || ended(m))
    }

    /// Checks what was recorded until now. Messages that are not overdue yet do not count as lost.
    pub(crate) fn verdict(&self) -> Verdict {
        let mut verdict = Verdict {
            violations: self.violations.clone(),
            longest_stall: self.longest_stall,
            ..Verdict::default()
        };
        for (id, message) in &self.messages {
            let violations =
                message.violations(self.longest_stall, |deadline| self.overdue_at(deadline));
            verdict.violations.extend(
                violations
                    .into_iter()
                    .map(|violation| format!("{id}: {violation}")),
            );
            verdict.accepted += usize::from(message.reply == Reply::Accepted);
            verdict.refused += usize::from(message.reply == Reply::Refused);
            verdict.delivered += usize::from(message.delivered_at().is_some());
            verdict.notified += usize::from(!message.notified_at.is_empty());
            if message
                .unanswered
                .is_some_and(|connection| self.owes_reply_on(connection))
            {
                verdict.violations.push(format!(
                    "{id}: request read, but the connection was closed without a reply"
                ));
            }
        }
        verdict
    }

    /// Whether the dispatcher owed a reply on a connection that it closed. After SIGTERM it accepts connections and
    /// serves open ones up to the kill.
    fn owes_reply_on(&self, connection: UnansweredConnection) -> bool {
        !self.restarts.iter().any(|restart| {
            restart.is_down_at(connection.closed_at) || restart.may_refuse_at(connection.opened_at)
        })
    }
}

/// Converts to seconds of Unix time, as in the dispatcher's log.
fn wall_time(at: Instant) -> f64 {
    let ago = at.elapsed();
    (SystemTime::now() - ago)
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
}

impl Message {
    fn delivered_at(&self) -> Option<Instant> {
        self.calls
            .iter()
            .find(|call| call.effect == Effect::Delivered)
            .and_then(|call| call.ended_at)
    }

    /// Describes the guarantees that the dispatcher violated for this message.
    fn violations(
        &self,
        longest_stall: Duration,
        overdue_at: impl Fn(Instant) -> Instant,
    ) -> Vec<String> {
        let mut violations = Vec::new();
        if self.reply == Reply::Refused && !self.calls.is_empty() {
            violations.push("called although the reply was BUSY".to_string());
        }
        // Without a reply the client submits the message elsewhere, so nothing else is guaranteed.
        if self.reply != Reply::Accepted {
            return violations;
        }
        let overdue = overdue_at(self.deadline);
        let end = self
            .delivered_at()
            .into_iter()
            .chain(self.notified_at.first().copied())
            .min();
        match end {
            None if Instant::now() > overdue => {
                violations.push("lost: neither delivered nor notified".into())
            }
            Some(end) if end > overdue => violations.push(format!(
                "lost: delivered or notified {} ms too late",
                (end - overdue).as_millis()
            )),
            _ => {}
        }
        self.check_effects(&mut violations);
        if let Some(notified_at) = self.notified_at.first() {
            let slack = RECORDING_SLACK + longest_stall;
            for call in self
                .calls
                .iter()
                .filter(|call| call.started_at > *notified_at + slack)
            {
                let after = (call.started_at - *notified_at).as_millis();
                violations.push(format!(
                    "called {after} ms after its notification at {:.3}",
                    wall_time(*notified_at)
                ));
            }
        }
        for pair in self.calls.windows(2) {
            if pair[0]
                .ended_at
                .is_none_or(|ended| ended > pair[1].started_at + RECORDING_SLACK + longest_stall)
            {
                violations.push("two calls at the same time".into());
            }
        }
        violations
    }

    fn check_effects(&self, violations: &mut Vec<String>) {
        let effective: Vec<&Call> = self
            .calls
            .iter()
            .filter(|call| call.effect != Effect::NeverRan)
            .collect();
        let Some(first) = effective.first() else {
            return;
        };
        match self.window {
            None if effective.len() > 1 => {
                violations.push(format!("may have taken effect {} times", effective.len()))
            }
            Some(window) => {
                // The window starts with the first call that may have run. A later call is a violation even if it had
                // no effect.
                let late = self
                    .calls
                    .iter()
                    .filter(|call| call.started_at > first.started_at + window + LIMIT_SLACK);
                let late = late.count();
                if late > 0 {
                    violations.push(format!(
                        "called {late} times after the end of its idempotency window"
                    ));
                }
            }
            None => {}
        }
    }
}
