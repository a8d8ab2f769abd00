//! Generates the configuration file of a dispatcher.

use super::platform;
use super::state::State;
use crate::spec::{Class, Repeat};
use crate::world::time::ms;

/// Returns the configuration for start number `start` of a dispatcher, with the list its agent currently has.
pub(super) fn config(state: &State, dispatcher: usize, start: u32) -> serde_json::Value {
    use serde_json::json;
    let plan = &state.world.plan;
    let (d, r, derived) = (
        &plan.spec.dispatchers,
        &plan.spec.rules,
        plan.dispatcher_settings(dispatcher, start),
    );
    let class = |c: &Class| {
        let repeat = match c.repeat {
            Repeat::Redeliverable => "idempotent",
            Repeat::Tagged => "deduplicated",
            Repeat::OnceOnly => "at_most_once",
        };
        json!({
            "name": c.name, "repeat": repeat, "worth": c.importance, "aim-ns": ms(c.target_ms),
            "deadline-ns": ms(c.lifetime_ms), "late-share": c.late_share, "window-ns": ms(c.window_ms),
            "dedup-scope": if c.same_zone { "dc" } else { "all" }, "in-turn": c.ordered_keys > 0,
        })
    };
    let list = state.world.listing(state.published[dispatcher]);
    json!({
        "name": format!("d{dispatcher}"),
        "listen": state.net.listen(dispatcher).to_string(),
        "discovery": state.net.platform(dispatcher).to_string(),
        "seed": format!("{:016x}", derived.seed),
        "limits": {"cores": 1.0, "memory_mb": d.memory_mb, "sockets": d.sockets, "disk_mb": d.disk_mb},
        "known": platform::full_list(state, state.published[dispatcher], &list),
        "settings": {
            "balancers": d.count,
            "dcs": plan.spec.world.zones,
            "flavors": plan.spec.kinds.iter().map(|k| &k.name).collect::<Vec<_>>(),
            "family-info": {"decay": "halves", "own-limits": derived.per_endpoint_limits, "workers": derived.max_in_flight},
            "services": plan.spec.classes.iter().map(class).collect::<Vec<_>>(),
            "limits": {
                "max-open": derived.queue_capacity, "max-attempts": derived.max_attempts,
                "connect-timeout-ns": derived.connect_timeout, "keepalive-ns": ms(d.keep_alive_ms),
                "retry-after": derived.max_retry_after.is_some(),
                "max-retry-after-ns": derived.max_retry_after.unwrap_or(0),
            },
            "guarantees": {
                "cold-share": r.cold_share, "ramp-time-ns": ms(r.ramp_ms), "tip-multiple": r.tip_multiple,
                "overload-for-ns": ms(r.tip_window_ms), "drain-grace-ns": ms(r.drain_grace_ms),
                "turn-gap-ns": ms(r.key_rest_ms),
            },
            "tick-ns": derived.clock_resolution,
        }
    })
}
