//! Request routing: maps a request and a read-only view of the process to the effect that the event loop executes.
//! Nothing is modified here.

use crate::http_server::{Method, Request, Response};
use crate::metrics::Metrics;
use crate::replica::Replica;
use crate::write_request::WriteError;
use bellsill_directory::line::{ScopedLine, Version};
use bellsill_directory::request::{LookUpRequest, RequestedScope, TargetsRequest, WatchRequest};
use bellsill_directory::state::Directory;
use bellsill_directory::watchers::WatchRejected;
use serde::Serialize;
use std::net::SocketAddr;

/// A read-only view of the process.
pub(crate) struct ReadView<'a> {
    pub(crate) replica: &'a Replica,
    pub(crate) metrics: &'a Metrics,
    pub(crate) connections: usize,
    /// The address of the leader; `None` if this process is the leader.
    pub(crate) leader: Option<SocketAddr>,
}

/// The effect of a request, executed by the event loop.
pub(crate) enum Effect {
    Respond(Response),
    OpenWatch(WatchRequest, WatchStart),
    /// Adds destinations to a dispatcher's watch; answered with [`look_up_response`].
    LookUp(LookUpRequest),
    /// A write that the leader applies; answered with [`write_response`].
    Write(WriteKind),
}

/// How a watch starts; used for the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchStart {
    /// A dispatcher that is sent the changes it is missing, or its whole scope if it has no version yet.
    Dispatcher,
    /// A dispatcher that has a version but has to be sent its whole scope again.
    RestartedDispatcher,
    /// A follower that is sent the changes it is missing.
    Follower,
    /// A follower that is sent the complete configuration.
    FollowerTransfer,
}

/// The subject of a write request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteKind {
    Endpoints,
    Members,
    /// Heartbeats of dispatchers that have a watch at a follower.
    Heartbeats,
}

impl ReadView<'_> {
    /// Returns the counters with the gauges filled in.
    fn current_metrics(&self) -> Metrics {
        let directory = self.replica.directory();
        let members = directory.map_or(&[][..], |directory| directory.members());
        let synced = self.replica.synced();
        Metrics {
            version: self.replica.version().0,
            epoch: directory.map_or(0, |directory| directory.epoch().0),
            entries: directory.map_or(0, |directory| directory.entries().len()),
            members: members.len(),
            members_present: members.iter().filter(|member| member.present).count(),
            watchers: self.replica.watchers().len(),
            connections: self.connections,
            records: synced.records,
            syncs: synced.syncs,
            torn_bytes: self.replica.storage().torn_bytes(),
            rejected_snapshots: self.replica.storage().rejected_snapshots(),
            ..self.metrics.clone()
        }
    }
}

/// Returns the effect of a request.
pub(crate) fn serve(request: &Request, view: &ReadView) -> Effect {
    match (request.method, request.path.as_str()) {
        (Method::Get, "/api/targets") => serve_targets(&request.query, view),
        (Method::Get, "/v2/figures") => Effect::Respond(Response::json(&view.current_metrics())),
        (Method::Post, "/api/targets") => serve_write(WriteKind::Endpoints, view),
        (Method::Post, "/v2/members") => serve_write(WriteKind::Members, view),
        (Method::Post, "/v2/presence") => serve_write(WriteKind::Heartbeats, view),
        (_, "/api/targets" | "/v2/figures" | "/v2/members" | "/v2/presence") => {
            Effect::Respond(Response::error(405, "this path does not take this method"))
        }
        _ => Effect::Respond(Response::error(
            404,
            "no such path; there are /api/targets, /v2/members, /v2/presence, /v2/figures",
        )),
    }
}

fn serve_write(write: WriteKind, view: &ReadView) -> Effect {
    match view.leader {
        Some(leader) => Effect::Respond(not_leader(leader)),
        None => Effect::Write(write),
    }
}

fn serve_targets(query: &str, view: &ReadView) -> Effect {
    match TargetsRequest::parse(query) {
        Ok(TargetsRequest::Watch(request)) => serve_watch(request, view),
        Ok(TargetsRequest::LookUp(request)) => serve_look_up(request, view),
        Err(error) => Effect::Respond(Response::error(400, &error.to_string())),
    }
}

fn serve_watch(request: WatchRequest, view: &ReadView) -> Effect {
    let Some(directory) = view.replica.directory() else {
        return Effect::Respond(no_configuration());
    };
    let same_history = request.log.as_ref() == Some(directory.log());
    if view.leader.is_none() && same_history && request.since > directory.version() {
        log::warn!(
            "a watcher has version {}, the leader only {}: the state directory of the leader is out of date",
            request.since.0,
            directory.version().0
        );
    }
    let start = match request.scope {
        RequestedScope::Complete if same_history && directory.history().covers(request.since) => {
            WatchStart::Follower
        }
        RequestedScope::Complete => WatchStart::FollowerTransfer,
        RequestedScope::Member { .. }
            if request.since > Version(0)
                && !directory.can_resume_from(request.log.as_ref(), request.since) =>
        {
            WatchStart::RestartedDispatcher
        }
        RequestedScope::Member { .. } => WatchStart::Dispatcher,
    };
    Effect::OpenWatch(request, start)
}

fn serve_look_up(request: LookUpRequest, view: &ReadView) -> Effect {
    let Some(directory) = view.replica.directory() else {
        return Effect::Respond(no_configuration());
    };
    if directory.member(&request.dispatcher).is_none() {
        return Effect::Respond(watch_rejection(WatchRejected::NotMember));
    }
    Effect::LookUp(request)
}

/// Creates the response to a lookup: the endpoints of the requested destinations.
pub(crate) fn look_up_response(directory: &Directory, request: &LookUpRequest) -> Response {
    let destinations: Vec<u64> = request.destinations.iter().copied().collect();
    Response::json(&ScopedLine {
        version: directory.version(),
        log: directory.log().0.clone(),
        servers: directory.look_up(&destinations),
        ..ScopedLine::default()
    })
}

/// The body of the response to an accepted write.
#[derive(Serialize)]
struct WriteAccepted {
    version: Version,
}

/// Creates the response to a write: the version that includes it, or the reason for its rejection.
pub(crate) fn write_response(result: Result<Version, WriteError>) -> Response {
    match result {
        Ok(version) => Response::json(&WriteAccepted { version }),
        Err(error @ WriteError::NoConfiguration) => Response::error(503, &error.to_string()),
        Err(error @ (WriteError::InvalidLine(_) | WriteError::Apply(_))) => {
            Response::error(400, &error.to_string())
        }
    }
}

/// The body of the response to a write that reached a follower.
#[derive(Serialize)]
struct NotLeader {
    error: &'static str,
    writer: SocketAddr,
}

/// Creates the response to a write that reached a follower; it names the address of the leader.
pub(crate) fn not_leader(leader: SocketAddr) -> Response {
    let body = NotLeader {
        error: "this control process follows another; send writes to the writer",
        writer: leader,
    };
    Response {
        status: 421,
        ..Response::json(&body)
    }
}

/// Creates the response of a follower that has not received the configuration yet.
pub(crate) fn no_configuration() -> Response {
    Response::error(503, &WriteError::NoConfiguration.to_string())
}

/// Creates the response to a rejected watch or lookup.
pub(crate) fn watch_rejection(reason: WatchRejected) -> Response {
    match reason {
        WatchRejected::NotMember => Response::error(
            404,
            "dispatcher: not a declared member; POST /v2/members declares",
        ),
        WatchRejected::NoWatch => {
            Response::error(409, "dispatcher: it has no watch at this process")
        }
        WatchRejected::TooManyDestinations => Response::error(
            429,
            "cells: the watch has too many of them; name some in forget",
        ),
        WatchRejected::Behind => {
            Response::error(503, "this process is behind what the dispatcher knows")
        }
    }
}
