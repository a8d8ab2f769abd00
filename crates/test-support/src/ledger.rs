//! An account of what clients, endpoints and the platform saw, kept outside the dispatcher, and the verdict on it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What counts as in time beyond a message's own time, and beyond every other limit.
const END_SLACK: Duration = Duration::from_millis(300);
const LIMIT_SLACK: Duration = Duration::from_millis(150);
/// Until this long after a restarted dispatcher is ready no notification is overdue.
const READY_SLACK: Duration = Duration::from_millis(1_500);
/// A restarted dispatcher is ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Requests this soon after a Retry-After are not counted against it.
const WAIT_SLACK: Duration = Duration::from_millis(250);
/// What the account itself may lag behind what it records: its threads share the machine with everything else.
const RECORDING_SLACK: Duration = Duration::from_millis(250);

/// What a client heard of a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Heard {
    Accepted,
    Refused,
    /// No answer, or no connection: the client handed it in elsewhere, and it counts no more.
    Nothing,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Effect {
    Delivered,
    MayHaveRun,
    NeverRan,
}

#[derive(Clone, Debug)]
struct Call {
    began: Instant,
    ended: Option<Instant>,
    effect: Effect,
}

#[derive(Clone, Debug)]
struct Message {
    window: Option<Duration>,
    due: Instant,
    heard: Heard,
    calls: Vec<Call>,
    notices: Vec<Instant>,
    /// When its connection was closed unanswered though the complete request had been sent to a live dispatcher.
    closed_at: Option<Instant>,
}

/// How often a message of a class may take effect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Class {
    pub(crate) name: &'static str,
    /// Repeats are dropped within this span; none: it may take effect once.
    pub(crate) window: Option<Duration>,
}

#[derive(Default)]
pub(crate) struct Ledger {
    messages: BTreeMap<String, Message>,
    /// From the signal of a restart until the next process was ready; none while it is not.
    restarts: Vec<(Instant, Option<Instant>)>,
    /// The Retry-After periods of each limiter: from the response to their end.
    waits: BTreeMap<usize, Vec<(Instant, Instant)>>,
    /// The longest time for which the machine held up a thread that only sleeps: the account and the dispatcher were held up
    /// as well, beyond what the pages name.
    stalled: Duration,
    /// When the process that is to be ready was started.
    down_since: Option<Instant>,
    wrong: Vec<String>,
}

/// What the account came to.
#[derive(Debug, Default, PartialEq)]
pub struct Verdict {
    /// Messages whose clients got an `OK`.
    pub accepted: usize,
    /// Messages whose clients got a `BUSY`.
    pub refused: usize,
    /// Messages that an endpoint accepted.
    pub delivered: usize,
    /// Messages with a notification.
    pub notified: usize,
    /// For how long the machine stood still at the most.
    pub longest_stall: Duration,
    /// Each broken rule, in words.
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
    /// A thread that only sleeps was delayed by this much.
    pub(crate) fn stalled(&mut self, time: Duration) {
        self.stalled = self.stalled.max(time);
    }

    /// A client is about to hand in a message.
    pub(crate) fn handed_in(&mut self, id: &str, class: Class, lifetime: Duration) {
        let message = Message {
            window: class.window,
            due: Instant::now() + lifetime,
            heard: Heard::Nothing,
            calls: vec![],
            notices: vec![],
            closed_at: None,
        };
        self.messages.insert(id.to_string(), message);
    }

    pub(crate) fn heard(&mut self, id: &str, heard: Heard) {
        self.messages.get_mut(id).unwrap().heard = heard;
    }

    /// A client's new connection was closed with no answer once its request was written.
    pub(crate) fn closed_unanswered(&mut self, id: &str) {
        self.messages.get_mut(id).unwrap().closed_at = Some(Instant::now());
    }

    /// A call came whole so long ago; its number among those of the message. That it was not read before is the machine's
    /// doing.
    pub(crate) fn call_began(&mut self, id: &str, limiter: usize, ago: Duration) -> usize {
        let now = Instant::now() - ago;
        self.stalled(ago);
        let last_restart = self.restarts.last().map(|restart| restart.0);
        let bound = |&&(told, until): &&(Instant, Instant)| {
            last_restart.is_none_or(|at| told > at)
                && told + WAIT_SLACK < now
                && now + LIMIT_SLACK < until
        };
        if self
            .waits
            .get(&limiter)
            .is_some_and(|waits| waits.iter().any(|wait| bound(&wait)))
        {
            self.wrong.push(format!(
                "{id}: called while limiter {limiter} had told to wait"
            ));
        }
        let Some(message) = self.messages.get_mut(id) else {
            self.wrong
                .push(format!("{id}: called, and nobody handed it in"));
            return 0;
        };
        message.calls.push(Call {
            began: now,
            ended: None,
            effect: Effect::MayHaveRun,
        });
        message.calls.len() - 1
    }

    /// A call is over: answered, or its connection has ended.
    pub(crate) fn call_ended(&mut self, id: &str, number: usize, effect: Effect) {
        if let Some(call) = self
            .messages
            .get_mut(id)
            .and_then(|message| message.calls.get_mut(number))
        {
            call.ended = Some(Instant::now());
            call.effect = effect;
        }
    }

    pub(crate) fn told_to_wait(&mut self, limiter: usize, wait: Duration) {
        let now = Instant::now();
        self.waits
            .entry(limiter)
            .or_default()
            .push((now, now + wait));
    }

    pub(crate) fn noticed(&mut self, id: &str) {
        match self.messages.get_mut(id) {
            Some(message) => message.notices.push(Instant::now()),
            None => self
                .wrong
                .push(format!("{id}: a notice, and nobody handed it in")),
        }
    }

    /// A client that stopped in the middle of a request got an error or was closed, or waits no longer for that.
    pub(crate) fn bad_client_ended(&mut self, began: Instant, owed: Duration) {
        let took = began.elapsed();
        if took > owed + LIMIT_SLACK
            && !self
                .restarts
                .iter()
                .any(|(_, ready)| ready.is_none_or(|r| r >= began))
        {
            self.wrong.push(format!(
                "a client that stopped half way was owed an end for {} ms",
                took.as_millis()
            ));
        }
    }

    /// A signal that ends the process, or the first of several.
    pub(crate) fn restart_began(&mut self) {
        self.restarts.push((Instant::now(), None));
    }

    /// The next process is started.
    pub(crate) fn started_again(&mut self) {
        self.down_since = Some(Instant::now());
    }

    pub(crate) fn restart_ended(&mut self) {
        let took = self
            .down_since
            .take()
            .map_or(Duration::ZERO, |since| since.elapsed());
        if took > READY_WITHIN {
            self.wrong
                .push(format!("ready after {} ms", took.as_millis()));
        }
        self.restarts.last_mut().unwrap().1 = Some(Instant::now());
    }

    /// When a message that falls due then is overdue: no notice is while a dispatcher restarts.
    fn overdue_at(&self, due: Instant) -> Instant {
        let mut at = due + END_SLACK + self.stalled;
        for (from, ready) in &self.restarts {
            let until = ready.map(|ready| ready + READY_SLACK);
            if *from <= at && until.is_none_or(|until| at <= until) {
                at = until.unwrap_or(at + Duration::from_secs(3600));
            }
        }
        at
    }

    /// Whether all that was accepted has its end.
    pub(crate) fn all_ended(&self) -> bool {
        let ended = |m: &Message| !m.notices.is_empty() || m.delivered().is_some();
        self.messages
            .values()
            .all(|m| m.heard != Heard::Accepted || ended(m))
    }

    /// The verdict at this moment; what is still in time is not yet judged as lost.
    pub(crate) fn verdict(&self) -> Verdict {
        let mut verdict = Verdict {
            violations: self.wrong.clone(),
            longest_stall: self.stalled,
            ..Verdict::default()
        };
        for (id, message) in &self.messages {
            let breaks = message.breaks(self.stalled, |due| self.overdue_at(due));
            verdict
                .violations
                .extend(breaks.into_iter().map(|what| format!("{id}: {what}")));
            verdict.accepted += usize::from(message.heard == Heard::Accepted);
            verdict.refused += usize::from(message.heard == Heard::Refused);
            verdict.delivered += usize::from(message.delivered().is_some());
            verdict.notified += usize::from(!message.notices.is_empty());
            if let Some(at) = message.closed_at
                && !self.is_restarting(at)
            {
                verdict
                    .violations
                    .push(format!("{id}: read, and closed with no answer"));
            }
        }
        verdict
    }

    fn is_restarting(&self, at: Instant) -> bool {
        self.restarts
            .iter()
            .any(|(from, ready)| at >= *from && ready.is_none_or(|ready| at <= ready))
    }
}

/// A moment in Unix time, as the dispatcher's log writes it.
fn wall_time(at: Instant) -> f64 {
    let ago = at.elapsed();
    (SystemTime::now() - ago)
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
}

impl Message {
    fn delivered(&self) -> Option<Instant> {
        self.calls
            .iter()
            .find(|call| call.effect == Effect::Delivered)
            .and_then(|call| call.ended)
    }

    /// The rules that the dispatcher broke with this message.
    fn breaks(&self, stalled: Duration, overdue_at: impl Fn(Instant) -> Instant) -> Vec<String> {
        let mut broken = Vec::new();
        if self.heard == Heard::Refused && !self.calls.is_empty() {
            broken.push("refused, and called all the same".to_string());
        }
        // What its client gave up and handed in elsewhere counts for nothing.
        if self.heard != Heard::Accepted {
            return broken;
        }
        let overdue = overdue_at(self.due);
        let end = self
            .delivered()
            .into_iter()
            .chain(self.notices.first().copied())
            .min();
        match end {
            None if Instant::now() > overdue => {
                broken.push("lost: neither delivered nor noticed".into())
            }
            Some(end) if end > overdue => broken.push(format!(
                "lost: its end came {} ms too late",
                (end - overdue).as_millis()
            )),
            _ => {}
        }
        self.check_effects(&mut broken);
        if let Some(notice) = self.notices.first() {
            let slack = RECORDING_SLACK + stalled;
            for call in self
                .calls
                .iter()
                .filter(|call| call.began > *notice + slack)
            {
                let after = (call.began - *notice).as_millis();
                broken.push(format!(
                    "called {after} ms after its notice, which came at {:.3}",
                    wall_time(*notice)
                ));
            }
        }
        for pair in self.calls.windows(2) {
            if pair[0]
                .ended
                .is_none_or(|ended| ended > pair[1].began + RECORDING_SLACK + stalled)
            {
                broken.push("two calls at once".into());
            }
        }
        broken
    }

    fn check_effects(&self, broken: &mut Vec<String>) {
        let ran: Vec<&Call> = self
            .calls
            .iter()
            .filter(|call| call.effect != Effect::NeverRan)
            .collect();
        let Some(first) = ran.first() else { return };
        match self.window {
            None if ran.len() > 1 => broken.push(format!("ran {} times", ran.len())),
            Some(window) => {
                // Counted from the first that may have run; a later call that never ran did no harm, but was a breach.
                let late = self
                    .calls
                    .iter()
                    .filter(|call| call.began > first.began + window + LIMIT_SLACK);
                let late = late.count();
                if late > 0 {
                    broken.push(format!("called {late} times after its window"));
                }
            }
            None => {}
        }
    }
}
