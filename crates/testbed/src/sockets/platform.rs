//! Simulates the platform agent of a dispatcher: serves the endpoint list and the watch on it, and receives notifications.

use super::http::content_length;
use super::state::{Listing, Shared, State};
use crate::load::{RetryReason, arrival_of, next_submission};
use crate::record::Observation;
use crate::world::ListState;
use anyhow::Result;
use bellsill_core::interface::MessageId;
use serde_json::{Value, json};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Interval of heartbeats on a watch without changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
const MAX_REQUEST_BYTES: usize = 4 << 20;

fn entry(
    state: &State,
    endpoint: bellsill_core::interface::EndpointId,
    listed: ListState,
) -> Value {
    let (plan, spec) = (state.world.endpoint(endpoint), &state.world.plan.spec);
    let list_state = match listed {
        ListState::Up => "up",
        ListState::Draining => "draining",
        ListState::Removed => "removed",
    };
    json!({
        "id": format!("e-{:06}", endpoint.0), "addr": state.net.endpoint(endpoint).to_string(),
        "zone": spec.world.zones[plan.zone], "kind": spec.kinds[plan.kind].name, "cell": plan.destination,
        "state": list_state, "weight": 1.0, "started_ms": 0,
    })
}

pub(super) fn full_list(state: &State, version: usize, list: &Listing) -> Value {
    let servers: Vec<Value> = list
        .iter()
        .map(|(e, listed)| entry(state, *e, *listed))
        .collect();
    json!({"version": version, "full": true, "servers": servers})
}

pub(super) fn listen(shared: &Rc<Shared>, dispatcher: usize) -> Result<()> {
    let at = shared.state.borrow().net.platform(dispatcher);
    let listener = std::net::TcpListener::bind(at)?;
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            // Errors need no handling here: the dispatcher reconnects.
            let shared = Rc::clone(&shared);
            tokio::task::spawn_local(async move { drop(serve(shared, dispatcher, stream).await) });
        }
    });
    Ok(())
}

/// Records the list changes that have been written to a dispatcher, each version once.
pub(super) fn record_written(state: &mut State, dispatcher: usize, version: usize) {
    let from = state.written[dispatcher];
    state.written[dispatcher] = version.max(from);
    let changes: Vec<_> = state.world.changes(from.min(version), version).to_vec();
    for change in changes {
        let serving = change.listed == ListState::Up;
        state.observe(Observation::EndpointListed {
            dispatcher,
            endpoint: change.endpoint,
            serving,
        });
    }
}

async fn serve(shared: Rc<Shared>, dispatcher: usize, mut stream: TcpStream) -> Result<()> {
    let mut input = Vec::new();
    loop {
        // Copies the request out of the input, because `head` borrows the buffer that is drained below.
        let read = {
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut head = httparse::Request::new(&mut headers);
            match head.parse(&input)? {
                httparse::Status::Partial => None,
                httparse::Status::Complete(length) => {
                    let size = content_length(&head).unwrap_or(0);
                    let path = head.path.unwrap_or("").to_string();
                    (input.len() >= length + size)
                        .then(|| (path, input[length..length + size].to_vec(), length + size))
                }
            }
        };
        let Some((path, body, taken)) = read else {
            anyhow::ensure!(
                input.len() < MAX_REQUEST_BYTES,
                "request longer than {MAX_REQUEST_BYTES} bytes"
            );
            if stream.read_buf(&mut input).await? == 0 {
                return Ok(());
            }
            continue;
        };
        input.drain(..taken);
        if path == "/v2/finals" {
            let valid = notifications_received(&shared, &body);
            let status = if valid {
                "204 No Content"
            } else {
                "400 Bad Request"
            };
            stream
                .write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes())
                .await?;
        } else if let Some(since) = path.strip_prefix("/api/targets?follow=1&since=") {
            return watch(&shared, dispatcher, &mut stream, since.parse().unwrap_or(0)).await;
        } else if path == "/api/targets" {
            let text = shared.with(|s| {
                let version = s.published[dispatcher];
                full_list(s, version, &s.world.listing(version)).to_string()
            });
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            stream.write_all((head + &text).as_bytes()).await?;
        } else {
            stream
                .write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                .await?;
        }
    }
}

async fn watch(
    shared: &Rc<Shared>,
    dispatcher: usize,
    stream: &mut TcpStream,
    since: usize,
) -> Result<()> {
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await?;
    let mut at = since;
    let mut first = true;
    loop {
        let changed = shared.list_changed[dispatcher].notified();
        tokio::pin!(changed);
        // Registered before the version is read, so that no change is missed while a line is written.
        changed.as_mut().enable();
        let version = shared.state.borrow().published[dispatcher];
        if version > at || first {
            let line = shared.with(|s| {
                let known = at >= s.world.first_version() && at <= version;
                match known {
                    false => full_list(s, version, &s.world.listing(version)),
                    true => {
                        let changes = s.world.changes(at, version).to_vec();
                        let servers: Vec<Value> = changes
                            .iter()
                            .map(|c| entry(s, c.endpoint, c.listed))
                            .collect();
                        json!({"version": version, "full": false, "servers": servers})
                    }
                }
            });
            write_chunk(stream, &format!("{line}\n")).await?;
            shared.with(|s| record_written(s, dispatcher, version));
            (at, first) = (version, false);
            continue;
        }
        let mut byte = [0; 64];
        tokio::select! {
            () = &mut changed => {}
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => write_chunk(stream, "\n").await?,
            read = stream.read(&mut byte) => if read? == 0 { return Ok(()) },
        }
    }
}

async fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream
        .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
        .await
}

/// Records the notifications in a request body and schedules the retries of bounced messages. Returns false, and records
/// none, if a line is invalid.
fn notifications_received(shared: &Rc<Shared>, body: &[u8]) -> bool {
    let mut read = vec![];
    for line in body
        .split(|b| *b == b'\n')
        .filter(|l| !l.trim_ascii().is_empty())
    {
        let Ok(json) = serde_json::from_slice::<Value>(line) else {
            return false;
        };
        let id = json["ref"]
            .as_str()
            .and_then(|id| u64::from_str_radix(id, 16).ok());
        let deferred = match json["result"].as_str() {
            Some("dead") => None,
            Some("bounced") => Some(json["wait_ms"].as_f64().map_or(0, crate::world::time::ms)),
            _ => return false,
        };
        let Some(id) = id else { return false };
        read.push((MessageId(id), deferred));
    }
    for (message, deferred) in read {
        let reason = shared.with(|s| {
            s.observe(Observation::Notified {
                message,
                retry_after: deferred,
            });
            let known = s.messages.get(&message).cloned()?;
            let (reason, attempts, now) = (
                RetryReason::rejected_after(deferred?),
                arrival_of(message).1,
                s.now(),
            );
            let next = next_submission(&s.world.plan, &known.arrival, attempts, reason, now)?;
            Some((known.arrival, attempts + 1, next))
        });
        if let Some((arrival, attempts, (at, to))) = reason {
            super::clients::submit_later(shared, arrival, attempts, at, to);
        }
    }
    true
}
