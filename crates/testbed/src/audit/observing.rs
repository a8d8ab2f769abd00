//! Applies each observation to the state of the auditor and runs the checks of the rules.

use super::state::{
    Auditor, Call, DispatcherState, Ending, MessageState, OrderedKey, PossibleEffect, RETENTION,
};
use super::verdict::{Rule, Verdict};
use crate::record::{CallNumber, Observation, Submission};
use crate::world::Answer;
use bellsill_core::interface::{EndpointId, MessageId, Nanos};
use std::cmp::Reverse;

/// A call received by an endpoint.
pub(super) struct ObservedCall {
    pub(super) at: Nanos,
    pub(super) call: CallNumber,
    pub(super) message: MessageId,
    pub(super) endpoint: EndpointId,
    pub(super) dispatcher: usize,
    pub(super) started_at: Nanos,
}

/// State of a message before its latest call.
pub(super) struct EarlierAttempts {
    pub(super) class: usize,
    pub(super) dispatcher: usize,
    pub(super) deadline: Nanos,
    pub(super) in_flight: Option<CallNumber>,
    pub(super) ending: Option<(Ending, Nanos)>,
    pub(super) first: Option<PossibleEffect>,
    pub(super) last: Option<PossibleEffect>,
}

impl Auditor {
    /// Processes one observation. Times must not decrease.
    pub fn observe(&mut self, at: Nanos, observation: &Observation) {
        self.advance(at);
        match observation {
            Observation::Submitted(submission) => self.submitted(*submission),
            Observation::Accepted { message } => self.accepted(at, *message),
            Observation::Rejected { message, .. } => drop(self.messages.remove(message)),
            Observation::Abandoned { message } => {
                if let Some(m) = self.messages.get_mut(message) {
                    m.abandoned = true;
                }
            }
            &Observation::Call {
                call,
                message,
                endpoint,
                dispatcher,
                started_at,
                ..
            } => self.called(&ObservedCall {
                at,
                call,
                message,
                endpoint,
                dispatcher,
                started_at,
            }),
            Observation::Answered { call, answer } => self.answered(at, *call, *answer),
            Observation::ConnectionClosed { call, .. } => self.connection_closed(at, *call),
            Observation::Applied { call, fresh } => self.applied(at, *call, *fresh),
            Observation::Notified {
                message,
                retry_after: Some(_),
            } => self.notified(at, *message, Ending::Rejected),
            Observation::Notified { message, .. } => self.notified(at, *message, Ending::Failed),
            &Observation::EndpointListed {
                dispatcher,
                endpoint,
                serving,
            } => self.endpoint_listed(at, dispatcher, endpoint, serving),
            &Observation::Overloaded {
                endpoint,
                informed_calls,
                all_calls,
            } => self.check_cold_return(at, endpoint, informed_calls, all_calls),
            Observation::Started { .. }
            | Observation::Stopped { .. }
            | Observation::Ready { .. } => self.dispatcher_changed(at, observation),
        }
    }

    /// Runs all checks that are due and discards expired calls.
    fn advance(&mut self, now: Nanos) {
        while let Some(Reverse((at, _))) = self.suspicions.peek()
            && *at < now
        {
            let Some(Reverse((at, suspicion))) = self.suspicions.pop() else {
                break;
            };
            self.resolve(at, suspicion);
        }
        while let Some(&Reverse((at, message))) = self.deadline_checks.peek()
            && at < now
        {
            self.deadline_checks.pop();
            self.check_deadline(at, message);
        }
        while self.call_expiry.front().is_some_and(|f| f.0 < now) {
            let Some((_, call)) = self.call_expiry.pop_front() else {
                break;
            };
            self.calls.remove(&call);
            self.ended_calls.remove(&call);
        }
    }

    /// Runs the remaining checks at the end of the run and returns the verdict.
    pub fn finish(mut self, now: Nanos) -> Verdict {
        self.advance(now + self.settings.slack.reordering + 1);
        let mut overdue: Vec<MessageId> = self
            .messages
            .keys()
            .copied()
            .filter(|m| self.is_overdue(*m, now))
            .collect();
        overdue.sort_unstable();
        for message in overdue {
            let evidence = "no end by the end of the run".into();
            self.report_violation(now, Rule::Lost, Some(message), evidence);
        }
        self.verdict
    }

    fn submitted(&mut self, submission: Submission) {
        self.verdict.messages += 1;
        let check_at = submission.deadline + self.settings.slack.ending;
        self.deadline_checks
            .push(Reverse((check_at, submission.message)));
        self.messages
            .insert(submission.message, MessageState::new(submission));
    }

    fn accepted(&mut self, at: Nanos, id: MessageId) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        message.accepted_at = Some(at);
        if let Some(key) = OrderedKey::of(&message.submission) {
            let queue = self.keys.entry(key).or_default();
            queue.messages.push_back((id, at));
        }
    }

    fn endpoint_listed(
        &mut self,
        at: Nanos,
        dispatcher: usize,
        endpoint: EndpointId,
        serving: bool,
    ) {
        if serving {
            self.draining_since.remove(&(dispatcher, endpoint));
        } else {
            self.draining_since
                .entry((dispatcher, endpoint))
                .or_insert(at);
        }
    }

    fn dispatcher_changed(&mut self, at: Nanos, observation: &Observation) {
        match observation {
            Observation::Started { dispatcher } => {
                self.dispatchers.entry(*dispatcher).or_default();
            }
            Observation::Stopped { dispatcher } => {
                let stopped = DispatcherState {
                    ready_since: None,
                    stopped_at: Some(at),
                };
                self.dispatchers.insert(*dispatcher, stopped);
                self.retry_after_waits.retain(|(d, _), _| d != dispatcher);
            }
            Observation::Ready { dispatcher } => {
                self.dispatchers.entry(*dispatcher).or_default().ready_since = Some(at);
            }
            _ => {}
        }
    }

    fn called(&mut self, call: &ObservedCall) {
        self.verdict.calls += 1;
        let known = Call {
            message: call.message,
            endpoint: call.endpoint,
            dispatcher: call.dispatcher,
        };
        self.calls.insert(call.call, known);
        self.check_draining(call);
        self.check_retry_after(call);
        let zone = self.endpoint(call.endpoint).zone;
        let Some(message) = self.messages.get_mut(&call.message) else {
            let endpoint = call.endpoint.0;
            let evidence = format!("sent to endpoint {endpoint}, but nobody handed it in");
            self.report_violation(call.at, Rule::AfterEnd, Some(call.message), evidence);
            return;
        };
        let earlier = EarlierAttempts {
            class: message.submission.class,
            dispatcher: message.submission.dispatcher,
            deadline: message.submission.deadline,
            in_flight: message.in_flight.replace(call.call),
            ending: message.ending,
            first: message.possible_effects.first().copied(),
            last: message.possible_effects.last().copied(),
        };
        message.attempts += 1;
        message.exhausted_since = None;
        message.possible_effects.push(PossibleEffect {
            call: call.call,
            sent_at: call.started_at,
            zone,
        });
        if message.abandoned {
            return;
        }
        let key = message.submission.key;
        self.check_sent_in_time(call, &earlier);
        self.check_single_attempt(call, &earlier);
        self.check_repeat(call, &earlier);
        if let Some(key) = key {
            let dispatcher = call.dispatcher;
            self.check_order(call, OrderedKey { dispatcher, key });
        }
    }

    /// Marks a call as no longer in flight. Returns it if both the call and its message are still known.
    fn call_ended(&mut self, at: Nanos, call: CallNumber) -> Option<Call> {
        let known = self.calls.get(&call)?;
        let ended = Call { ..*known };
        self.call_expiry.push_back((at + RETENTION, call));
        let message = self.messages.get_mut(&ended.message)?;
        if message.in_flight == Some(call) {
            message.in_flight = None;
        }
        let dispatcher = ended.dispatcher;
        if let Some(key) = message.submission.key
            && let Some(queue) = self.keys.get_mut(&OrderedKey { dispatcher, key })
        {
            queue.in_flight.remove(&(call, ended.message));
        }
        Some(ended)
    }

    fn answered(&mut self, at: Nanos, call: CallNumber, answer: Answer) {
        self.ended_calls.entry(call).or_default().answer = Some(answer);
        let Some(ended) = self.call_ended(at, call) else {
            return;
        };
        let id = ended.message;
        if let Answer::RateLimited(Some(wait)) = answer {
            self.note_retry_after(at, ended.dispatcher, ended.endpoint, wait);
        }
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        match answer {
            Answer::RateLimited(_) => message.possible_effects.retain(|p| p.call != call),
            Answer::Delivered if message.ending.is_none() => {
                message.ending = Some((Ending::Delivered, at));
                self.leave_key_queue(id);
            }
            _ => {}
        }
        self.note_exhausted(at, id);
    }

    fn connection_closed(&mut self, at: Nanos, call: CallNumber) {
        let end = self.ended_calls.entry(call).or_default();
        if end.closed_at.replace(at).is_some() || end.answer.is_some() {
            return;
        }
        if let Some(ended) = self.call_ended(at, call) {
            self.start_cooldown(at, ended.dispatcher, ended.message);
            self.note_exhausted(at, ended.message);
        }
    }
}
