//! Endpoints that a dispatcher delivers to, and their entries in the list of endpoints.

use crate::stand_in::{request, stand_in};
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// A delivery request that came to an endpoint.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The request line and the headers.
    pub head: Vec<String>,
    /// The body of the message.
    pub body: String,
    /// Counts the connections of its endpoint.
    pub connection: u64,
}

impl ReceivedRequest {
    /// The value of this header, empty if it is not there.
    pub fn header(&self, name: &str) -> &str {
        self.head
            .iter()
            .find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
            .unwrap_or("")
    }
}

/// What an endpoint does with a call.
#[derive(Clone, Copy, PartialEq)]
pub enum Behavior {
    /// Answers with this: status line without its version, further headers.
    Responds(&'static str),
    /// Answers, then closes the connection.
    RespondsAndCloses(&'static str),
    /// Reads the request and never answers; the connection stays open.
    Hangs,
    /// Closes the connection with no answer.
    Closes,
    /// Writes just this, and keeps the connection open.
    Writes(&'static str),
}

/// An HTTP server that records what comes and treats it as it was last told to.
#[derive(Clone)]
pub struct Endpoint {
    /// Where it listens.
    pub addr: String,
    /// All requests so far, in the order in which they came.
    pub requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    /// What it does with the next request.
    pub behavior: Arc<Mutex<Behavior>>,
}

impl Endpoint {
    /// Starts an endpoint on a free port.
    pub fn start(behavior: Behavior) -> Endpoint {
        let (requests, behavior) = (Arc::new(Mutex::new(vec![])), Arc::new(Mutex::new(behavior)));
        let (seen, way, conns) = (
            Arc::clone(&requests),
            Arc::clone(&behavior),
            Arc::new(AtomicU64::new(0)),
        );
        let addr = stand_in(move |stream| {
            let connection = conns.fetch_add(1, Ordering::SeqCst);
            let mut to = stream.try_clone().unwrap();
            let mut from = BufReader::new(stream);
            while let Some((head, body)) = request(&mut from) {
                let body = String::from_utf8(body).unwrap();
                let behavior = *way.lock().unwrap();
                seen.lock().unwrap().push(ReceivedRequest {
                    head,
                    body,
                    connection,
                });
                let done = match behavior {
                    Behavior::Responds(answer) | Behavior::RespondsAndCloses(answer) => {
                        write!(to, "HTTP/1.1 {answer}\r\nContent-Length: 2\r\n\r\nok")
                    }
                    Behavior::Hangs => Ok(()),
                    Behavior::Closes => return,
                    Behavior::Writes(text) => to.write_all(text.as_bytes()),
                };
                if done.is_err() || matches!(behavior, Behavior::RespondsAndCloses(_)) {
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

    /// Treats requests like this from now on, on connections that are open too.
    pub fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// A copy of all requests so far.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// How many requests came for a message.
    pub fn received(&self, id: &str) -> usize {
        self.requests()
            .iter()
            .filter(|call| call.header("X-Trace-Id") == id)
            .count()
    }

    /// Its entry in the list of endpoints, under this id.
    pub fn entry(&self, id: &str, cell: u64, state: &str) -> Value {
        entry(id, &self.addr, cell, state)
    }
}

/// Accepts every message.
pub const OK: Behavior = Behavior::Responds("200 OK");

/// An entry of the list of endpoints; `cell` is the number of its destination.
pub fn entry(id: &str, addr: &str, cell: u64, state: &str) -> Value {
    json!({"id": id, "addr": addr, "zone": "north", "kind": "shops", "cell": cell, "state": state})
}

/// The entry of an endpoint that takes messages.
pub fn up(id: &str, addr: &str, cell: u64) -> Value {
    entry(id, addr, cell, "up")
}
