//! Stand-ins for endpoints, and their entries in the endpoint list.

use crate::stand_in::{request, stand_in};
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// A delivery request that an endpoint received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The request line and the headers.
    pub head: Vec<String>,
    /// The body of the message.
    pub body: String,
    /// The number of the connection, counted from 0 for each endpoint.
    pub connection: u64,
}

impl ReceivedRequest {
    /// Returns the value of this header, or an empty string if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.head
            .iter()
            .find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
            .unwrap_or("")
    }
}

/// How an endpoint handles a request.
#[derive(Clone, Copy, PartialEq)]
pub enum Behavior {
    /// Sends this status line (without the HTTP version), optionally followed by headers.
    Responds(&'static str),
    /// Sends such a response, then closes the connection.
    RespondsAndCloses(&'static str),
    /// Reads the request and never responds; the connection stays open.
    Hangs,
    /// Closes the connection without a response.
    Closes,
    /// Writes this text as is, and keeps the connection open.
    Writes(&'static str),
}

/// An HTTP server that records each request and handles it according to its current behavior.
#[derive(Clone)]
pub struct Endpoint {
    /// The address at which it listens.
    pub addr: String,
    /// All requests so far, in order of arrival.
    pub requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    /// How it handles the next request.
    pub behavior: Arc<Mutex<Behavior>>,
}

impl Endpoint {
    /// Starts an endpoint on a free port.
    pub fn start(behavior: Behavior) -> Endpoint {
        let (requests, behavior) = (Arc::new(Mutex::new(vec![])), Arc::new(Mutex::new(behavior)));
        let (received, current_behavior, connections) = (
            Arc::clone(&requests),
            Arc::clone(&behavior),
            Arc::new(AtomicU64::new(0)),
        );
        let addr = stand_in(move |stream| {
            let connection = connections.fetch_add(1, Ordering::SeqCst);
            let mut to = stream.try_clone().unwrap();
            let mut from = BufReader::new(stream);
            while let Some((head, body)) = request(&mut from) {
                let body = String::from_utf8(body).unwrap();
                let behavior = *current_behavior.lock().unwrap();
                received.lock().unwrap().push(ReceivedRequest {
                    head,
                    body,
                    connection,
                });
                let result = match behavior {
                    Behavior::Responds(response) | Behavior::RespondsAndCloses(response) => {
                        write!(to, "HTTP/1.1 {response}\r\nContent-Length: 2\r\n\r\nok")
                    }
                    Behavior::Hangs => Ok(()),
                    Behavior::Closes => return,
                    Behavior::Writes(text) => to.write_all(text.as_bytes()),
                };
                if result.is_err() || matches!(behavior, Behavior::RespondsAndCloses(_)) {
                    return;
                }
            }
        });
        Endpoint {
            addr,
            requests,
            behavior,
        }
    }

    /// Sets the behavior for all further requests, including those on open connections.
    pub fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// Returns a copy of all requests so far.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// Returns how many requests it has received for this message.
    pub fn received(&self, id: &str) -> usize {
        self.requests()
            .iter()
            .filter(|request| request.header("X-Trace-Id") == id)
            .count()
    }

    /// Returns its entry in the endpoint list, with this id.
    pub fn entry(&self, id: &str, destination: u64, state: &str) -> Value {
        entry(id, &self.addr, destination, state)
    }
}

/// The behavior that accepts every message.
pub const OK: Behavior = Behavior::Responds("200 OK");

/// Returns an entry of the endpoint list.
pub fn entry(id: &str, addr: &str, destination: u64, state: &str) -> Value {
    json!({"id": id, "addr": addr, "zone": "north", "kind": "shops", "cell": destination, "state": state})
}

/// Returns the entry of an endpoint that accepts messages.
pub fn up(id: &str, addr: &str, destination: u64) -> Value {
    entry(id, addr, destination, "up")
}
