//! The tasks that let the world's time pass and carry out what takes its time.

use super::state::Shared;
use super::{endpoints, processes};
use crate::audit::AuditedEndpoint;
use crate::world::Effect;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// How often this thread checks for its own stalls.
const STALL_CHECK: Duration = Duration::from_millis(5);

/// Lets the world's own moments come.
pub(super) async fn clock(shared: Rc<Shared>) {
    loop {
        let next = shared.state.borrow().world.next_timer();
        let next = next.map(|at| shared.instant(at));
        match next {
            Some(at) => {
                tokio::select! {
                    () = tokio::time::sleep_until(at) => {}
                    () = shared.sooner.notified() => {}
                }
            }
            None => shared.sooner.notified().await,
        }
        shared.state.borrow_mut().advance();
    }
}

/// What the world asks for that takes its time.
pub(super) async fn carry_out_effects(
    shared: Rc<Shared>,
    mut from: mpsc::UnboundedReceiver<Effect>,
) {
    while let Some(effect) = from.recv().await {
        match effect {
            Effect::ReachabilityChanged { endpoint, .. } => {
                // As it is by now, not as it was when this was sent.
                if let Err(e) = endpoints::update_listener(&shared, endpoint) {
                    shared.with(|s| {
                        s.fault(format!("endpoint {} could not be set up: {e}", endpoint.0))
                    });
                }
            }
            Effect::EndpointAdded { endpoint } => {
                shared.with(|s| {
                    let plan = s.world.endpoint(endpoint).clone();
                    let endpoint = AuditedEndpoint {
                        zone: plan.zone,
                        rate_limit: plan.rate_limit,
                    };
                    s.ledger.audit.endpoint_appeared(endpoint);
                    s.listeners.resize_with(s.world.endpoints(), || None);
                });
                if let Err(e) = endpoints::update_listener(&shared, endpoint) {
                    shared.with(|s| {
                        s.fault(format!("endpoint {} could not be set up: {e}", endpoint.0))
                    });
                }
            }
            Effect::ListPublished {
                dispatcher,
                version,
            } => {
                let published = &mut shared.state.borrow_mut().published[dispatcher];
                *published = (*published).max(version);
                shared.list_changed[dispatcher].notify_waiters();
            }
            Effect::DispatcherSignalled { dispatcher, signal } => {
                processes::signal(&shared, dispatcher, signal)
            }
            _ => {}
        }
    }
}

/// Notes the longest time for which this thread was stalled.
pub(super) async fn watch_stalls(worst: Rc<RefCell<Duration>>) {
    loop {
        let from = Instant::now();
        tokio::time::sleep(STALL_CHECK).await;
        let over = from.elapsed().saturating_sub(STALL_CHECK);
        let mut worst = worst.borrow_mut();
        *worst = (*worst).max(over);
    }
}
