//! Scripted changes of a run: faults begin and end, dispatchers are signalled, the endpoint list is delayed.

use super::effects::{Answer, Effect, ListState};
use super::endpoint::{Condition, Endpoint};
use super::plan::ScriptedChange;
use super::state::World;
use super::time::{START, secs};
use crate::spec::FaultKind;
use bellsill_core::interface::EndpointId;

impl World {
    pub(super) fn apply_change(&mut self, i: usize) {
        match self.plan.script[i].1.clone() {
            ScriptedChange::ListLag(lag) => self.lag += lag,
            ScriptedChange::ListFrozen(frozen) => {
                self.list_frozen = frozen;
                if !frozen {
                    self.publish_list();
                }
            }
            ScriptedChange::Signal(dispatcher, signal) => self
                .effects
                .push_back(Effect::DispatcherSignalled { dispatcher, signal }),
            ScriptedChange::BeginFault { fault, endpoints } => {
                self.apply_fault(fault, &endpoints, true)
            }
            ScriptedChange::EndFault { fault, endpoints } => {
                self.apply_fault(fault, &endpoints, false)
            }
        }
    }

    pub(super) fn apply_fault(&mut self, t: usize, endpoints: &[usize], begins: bool) {
        let fault = self.plan.spec.faults[t].clone();
        match fault.what {
            FaultKind::LimitLowered => {
                let mut rate_limits: Vec<usize> = endpoints
                    .iter()
                    .map(|&e| self.plan.endpoints[e].rate_limit)
                    .collect();
                rate_limits.dedup();
                for g in rate_limits {
                    self.rate_limits[g].lowered.retain(|l| l.0 != t);
                    if begins {
                        self.rate_limits[g]
                            .lowered
                            .push((t, fault.part.unwrap_or(1.0)));
                    }
                }
            }
            FaultKind::Drained => {
                for &e in endpoints {
                    if begins {
                        self.record_change(e, ListState::Draining);
                    } else {
                        self.remove(e);
                    }
                }
                self.publish_list();
            }
            FaultKind::Replaced => {
                for &e in endpoints {
                    if begins {
                        self.remove(e);
                    } else {
                        let plan = self.plan.endpoints[e].clone();
                        self.plan.endpoints.push(plan);
                        self.endpoints.push(Endpoint::new(Some(self.now)));
                        let new = self.endpoints.len() - 1;
                        self.cold.push(new);
                        self.effects.push_back(Effect::EndpointAdded {
                            endpoint: EndpointId(new as u32),
                        });
                        self.record_change(new, ListState::Up);
                    }
                }
                self.publish_list();
            }
            _ => {
                for &e in endpoints {
                    let before = self.endpoints[e].condition;
                    self.endpoints[e].faults.retain(|x| *x != t);
                    if begins {
                        self.endpoints[e].faults.push(t);
                    }
                    self.endpoints[e].condition = self.condition(e);
                    self.condition_changed(
                        e,
                        before,
                        fault.cold.unwrap_or(fault.what.cold_after()),
                    );
                }
            }
        }
    }

    pub(super) fn remove(&mut self, e: usize) {
        self.endpoints[e].removed = true;
        self.collapse(e);
        self.cold.retain(|c| *c != e);
        self.record_change(e, ListState::Removed);
        self.report_reachability(e);
    }

    /// The combined condition of an endpoint under all of its active faults.
    pub(super) fn condition(&self, e: usize) -> Condition {
        let mut c = Condition::HEALTHY;
        for &t in &self.endpoints[e].faults {
            let fault = &self.plan.spec.faults[t];
            let part = fault.part.unwrap_or(0.0);
            let combine = |a: f64| 1.0 - (1.0 - a) * (1.0 - part);
            match fault.what {
                FaultKind::Down => c.down = true,
                FaultKind::Reset => c.reset = true,
                FaultKind::Silent => c.silent = true,
                FaultKind::Hung => c.hung = true,
                FaultKind::Shut => c.shut_until = c.shut_until.max(Some(START + secs(fault.to_s))),
                FaultKind::Slow => c.slow *= fault.times.unwrap_or(1.0),
                FaultKind::Failing => c.failing = combine(c.failing),
                FaultKind::AnswersLost => c.lost = combine(c.lost),
                FaultKind::AnswersSpoilt => c.malformed = combine(c.malformed),
                FaultKind::Reaped => c.reaped = true,
                _ => {}
            }
        }
        c
    }

    pub(super) fn condition_changed(&mut self, e: usize, before: Condition, cold_after: bool) {
        let is = self.endpoints[e].condition;
        let was_out = before.down || before.silent || before.hung || before.shut_until.is_some();
        if is.down && !before.down || before.silent && !is.silent {
            self.collapse(e);
        }
        if was_out && !self.endpoints[e].in_outage() && cold_after {
            let endpoint = &mut self.endpoints[e];
            endpoint.cold_since = Some(self.now);
            endpoint.recent_calls.clear();
            endpoint.calls_in_sample = 0;
            if !self.cold.contains(&e) {
                self.cold.push(e);
            }
        }
        if before.hung && !is.hung {
            let stalled = std::mem::take(&mut self.endpoints[e].stalled);
            stalled.into_iter().for_each(|call| self.finish(call));
            self.start_queued_calls(e);
            // Calls beyond the queue's capacity are rejected.
            while self.endpoints[e].queue.len() > self.plan.endpoints[e].queue {
                let Some(call) = self.endpoints[e].queue.pop_back() else {
                    break;
                };
                self.answer(call, Answer::RateLimited(None));
            }
        }
        self.report_reachability(e);
    }
}
