//! Clients that submit messages until they are stopped.

use super::members::member_id;
use super::scenario::Scenario;
use super::servers::Shared;
use crate::client::{Client, connect, put};
use crate::ledger::{Class, Reply};
use rand::RngExt;
use rand_pcg::Pcg64;
use std::io::{BufRead, Read, Write};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// How long a client waits for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum time until a connection with a partial request gets an error or is closed.
const PARTIAL_REQUEST_LIMIT: Duration = Duration::from_secs(3);

/// The result of one request on one connection.
enum RequestResult {
    Replied(String),
    Closed,
    /// No connection, or no reply in time.
    NoReply,
}

fn send_request(client: &mut Client, bytes: &[u8]) -> RequestResult {
    client.writer.set_read_timeout(Some(REPLY_TIMEOUT)).ok();
    if client.writer.write_all(bytes).is_err() {
        return RequestResult::Closed;
    }
    let mut line = String::new();
    match client.reader.read_line(&mut line) {
        Ok(0) => RequestResult::Closed,
        Ok(_) if line.ends_with('\n') => RequestResult::Replied(line.trim_end().to_string()),
        Ok(_) => RequestResult::Closed,
        Err(e)
            if matches!(
                e.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ) =>
        {
            RequestResult::NoReply
        }
        Err(_) => RequestResult::Closed,
    }
}

/// A client that submits one message after another on a persistent connection.
pub(super) struct Sender {
    pub(super) listen: String,
    pub(super) scenario: Scenario,
    pub(super) shared: Arc<Shared>,
    pub(super) random: Pcg64,
    /// The open connection, and when it was opened.
    pub(super) connection: Option<(Client, Instant)>,
    /// The first half of the ids of this dispatcher's messages.
    pub(super) member: u32,
}

impl Sender {
    pub(super) fn run(mut self) {
        while !self.shared.stop.load(Ordering::SeqCst) {
            if self
                .shared
                .faults
                .send_partial_requests
                .load(Ordering::SeqCst)
                && self.random.random_range(0..20) == 0
            {
                self.send_partial_request();
            }
            self.submit();
            let pause = self.scenario.pause.as_millis() as u64;
            std::thread::sleep(Duration::from_millis(
                self.random.random_range(pause / 2..pause * 3 / 2 + 1),
            ));
        }
    }

    /// Sends part of a request on a separate connection, which stays open until it gets an error or is closed.
    fn send_partial_request(&self) {
        let Ok(mut client) = connect(&self.listen) else {
            return;
        };
        client
            .writer
            .write_all(b"*5\r\n$7\r\nMSG.PUT\r\n$16\r\n00000000")
            .ok();
        let shared = Arc::clone(&self.shared);
        std::thread::spawn(move || {
            let started_at = Instant::now();
            client
                .writer
                .set_read_timeout(Some(2 * PARTIAL_REQUEST_LIMIT))
                .ok();
            let _read = client.reader.read(&mut [0; 64]);
            shared
                .ledger()
                .partial_request_ended(started_at, PARTIAL_REQUEST_LIMIT);
        });
    }

    fn submit(&mut self) {
        let id = member_id(self.member);
        let is_idempotent = self.random.random_range(0..2) == 0;
        let lifetime = self.random.random_range(self.scenario.lifetimes_ms.clone());
        let class = match is_idempotent {
            true => Class {
                name: "notice",
                window: Some(self.scenario.window),
            },
            false => Class {
                name: "payment",
                window: None,
            },
        };
        let destination = self.random.random_range(7..9);
        let fields = format!("c={},d={lifetime},k=k{id},dest={destination}", class.name);
        let body_bytes = self.random.random_range(self.scenario.body_bytes.clone());
        let bytes = put(&id, &fields, &"x".repeat(body_bytes));
        self.shared
            .ledger()
            .submitted(&id, class, Duration::from_millis(lifetime));
        if self.scenario.new_connection_share > 0
            && self.random.random_range(0..100) < self.scenario.new_connection_share
        {
            self.connection = None;
        }
        let reused = self.connection.is_some();
        let (mut result, mut opened_at) = self.send_request(&bytes);
        if reused && matches!(result, RequestResult::Closed) {
            // The dispatcher may have closed the idle connection before it read the request: tries a new connection.
            (result, opened_at) = self.send_request(&bytes);
        }
        // Above the connection limit, new connections may be closed before the request is read.
        if matches!(result, RequestResult::Closed) && self.scenario.idle_clients == 0 {
            self.shared.ledger().closed_without_reply(&id, opened_at);
        }
        match result {
            RequestResult::Replied(reply) if reply == "+OK" => {
                self.shared.ledger().replied(&id, Reply::Accepted)
            }
            RequestResult::Replied(reply) if reply.starts_with("-BUSY") => {
                self.shared.ledger().replied(&id, Reply::Refused);
            }
            RequestResult::Replied(reply) => panic!("{id}: unexpected reply {reply}"),
            RequestResult::Closed | RequestResult::NoReply => {}
        }
    }

    /// Sends a request on the open connection or on a new one, and returns the result and when the connection was opened.
    fn send_request(&mut self, bytes: &[u8]) -> (RequestResult, Instant) {
        let now = Instant::now();
        let open = || connect(&self.listen).map(|client| (client, now));
        let Ok((mut client, opened_at)) = self.connection.take().map_or_else(open, Ok) else {
            return (RequestResult::NoReply, now);
        };
        let result = send_request(&mut client, bytes);
        if matches!(result, RequestResult::Replied(_)) {
            self.connection = Some((client, opened_at));
        }
        (result, opened_at)
    }
}
