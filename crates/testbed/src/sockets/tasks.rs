//! Tasks that advance the world's clock, carry out slow effects and measure stalls.

use super::state::Shared;
use super::{endpoints, processes};
use crate::audit::AuditedEndpoint;
use crate::world::Effect;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Interval at which this thread checks for its own stalls.
const STALL_CHECK: Duration = Duration::from_millis(5);

/// Advances the world whenever its next timer is due.
pub(super) async fn clock(shared: Rc<Shared>) {
    loop {
        let next = shared.state.borrow().world.next_timer();
        let next = next.map(|at| shared.instant(at));
        match next {
            Some(at) => {
                tokio::select! {
                    () = tokio::time::sleep_until(at) => {}
                    () = shared.timer_changed.notified() => {}
                }
            }
            None => shared.timer_changed.notified().await,
        }
        shared.state.borrow_mut().advance();
    }
}

/// Carries out effects that change listeners, published lists or processes.
pub(super) async fn carry_out_effects(
    shared: Rc<Shared>,
    mut from: mpsc::UnboundedReceiver<Effect>,
) {
    while let Some(effect) = from.recv().await {
        match effect {
            Effect::ReachabilityChanged { endpoint, .. } => {
                // Applies the current reachability, which may have changed since the effect was sent.
                if let Err(e) = endpoints::update_listener(&shared, endpoint) {
                    shared.with(|s| {
                        s.fault(format!(
                            "endpoint {}: listener could not be updated: {e}",
                            endpoint.0
                        ))
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
                        s.fault(format!(
                            "endpoint {}: listener could not be updated: {e}",
                            endpoint.0
                        ))
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

/// Records the longest time for which this thread was stalled.
pub(super) async fn watch_stalls(longest: Rc<RefCell<Duration>>) {
    loop {
        let from = Instant::now();
        tokio::time::sleep(STALL_CHECK).await;
        let stall = from.elapsed().saturating_sub(STALL_CHECK);
        let mut longest = longest.borrow_mut();
        *longest = (*longest).max(stall);
    }
}
