//! The endpoints of a soak run, which all of its dispatchers share.

use super::members::Members;
use super::servers::{HANGING_LIMITER, serve_calls};
use crate::stand_in::stand_in;
use serde_json::{Value, json};

/// The endpoints, and the dispatchers that call them.
pub struct SharedEndpoints {
    pub(super) members: Members,
    /// The entries of the endpoint list.
    pub(super) entries: Vec<Value>,
}

impl SharedEndpoints {
    /// Starts the endpoints: two of one destination with a common limiter, and one of another.
    pub fn start() -> SharedEndpoints {
        let members = Members::default();
        let start_endpoint = |limiter: usize| {
            let members = members.clone();
            stand_in(move |stream| serve_calls(stream, limiter, &members))
        };
        let endpoints = [
            ("e0", 7, 0, "shops"),
            ("e1", 7, 0, "shops"),
            ("e2", 8, HANGING_LIMITER, "banks"),
        ];
        let entries = endpoints.map(|(id, cell, limiter, kind)| {
            json!({"id": id, "addr": start_endpoint(limiter), "zone": "north", "kind": kind, "cell": cell,
                "state": "up"})
        });
        SharedEndpoints {
            entries: entries.to_vec(),
            members,
        }
    }
}
