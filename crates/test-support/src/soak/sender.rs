//! Clients that hand in messages until they are stopped.

use super::scenario::Scenario;
use super::servers::Shared;
use crate::client::{Client, connect, new_id, put};
use crate::ledger::{Class, Heard};
use rand::RngExt;
use rand_pcg::Pcg64;
use std::io::{BufRead, Read, Write};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// How long a client waits for an answer.
const ANSWER_WITHIN: Duration = Duration::from_millis(400);
/// Within this time a client that stops in the middle of a request gets an error or is closed.
const BAD_CLIENT_OWED: Duration = Duration::from_secs(3);

/// What became of one request on one connection.
enum Asked {
    Answered(String),
    Closed,
    Silent,
}

fn ask(client: &mut Client, bytes: &[u8]) -> Asked {
    client.writer.set_read_timeout(Some(ANSWER_WITHIN)).ok();
    if client.writer.write_all(bytes).is_err() {
        return Asked::Closed;
    }
    let mut line = String::new();
    match client.reader.read_line(&mut line) {
        Ok(0) => Asked::Closed,
        Ok(_) if line.ends_with('\n') => Asked::Answered(line.trim_end().to_string()),
        Ok(_) => Asked::Closed,
        Err(e)
            if matches!(
                e.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ) =>
        {
            Asked::Silent
        }
        Err(_) => Asked::Closed,
    }
}

/// A client that hands in message after message on a connection that it keeps.
pub(super) struct Sender {
    pub(super) listen: String,
    pub(super) scenario: Scenario,
    pub(super) shared: Arc<Shared>,
    pub(super) random: Pcg64,
    pub(super) kept: Option<Client>,
}

impl Sender {
    pub(super) fn run(mut self) {
        while !self.shared.stop.load(Ordering::SeqCst) {
            if self.shared.faults.stop_half_way.load(Ordering::SeqCst)
                && self.random.random_range(0..20) == 0
            {
                self.stop_half_way();
            }
            self.hand_in();
            let pause = self.scenario.pause.as_millis() as u64;
            std::thread::sleep(Duration::from_millis(
                self.random.random_range(pause / 2..pause * 3 / 2 + 1),
            ));
        }
    }

    /// A connection of its own on which half a request is sent, and which stays open until it gets an error or is closed.
    fn stop_half_way(&self) {
        let Ok(mut client) = connect(&self.listen) else {
            return;
        };
        client
            .writer
            .write_all(b"*5\r\n$7\r\nMSG.PUT\r\n$16\r\n00000000")
            .ok();
        let shared = Arc::clone(&self.shared);
        std::thread::spawn(move || {
            let began = Instant::now();
            client
                .writer
                .set_read_timeout(Some(2 * BAD_CLIENT_OWED))
                .ok();
            let _read = client.reader.read(&mut [0; 64]);
            shared.ledger().bad_client_ended(began, BAD_CLIENT_OWED);
        });
    }

    fn hand_in(&mut self) {
        let id = new_id();
        let tagged = self.random.random_range(0..2) == 0;
        let lifetime = self.random.random_range(self.scenario.lifetimes_ms.clone());
        let class = match tagged {
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
        let bytes = put(&id, &fields, "a message");
        self.shared
            .ledger()
            .handed_in(&id, class, Duration::from_millis(lifetime));
        let resting = self.kept.is_some();
        let mut asked = self.ask(&bytes);
        if resting && matches!(asked, Asked::Closed) {
            // Its end crossed the request: once more on a new connection.
            asked = self.ask(&bytes);
        }
        // In a crowd new connections may be shut unread.
        if matches!(asked, Asked::Closed) && self.scenario.idle_clients == 0 {
            self.shared.ledger().closed_unanswered(&id);
        }
        match asked {
            Asked::Answered(answer) if answer == "+OK" => {
                self.shared.ledger().heard(&id, Heard::Accepted)
            }
            Asked::Answered(answer) if answer.starts_with("-BUSY") => {
                self.shared.ledger().heard(&id, Heard::Refused);
            }
            Asked::Answered(answer) => panic!("{id}: {answer}"),
            Asked::Closed | Asked::Silent => {}
        }
    }

    fn ask(&mut self, bytes: &[u8]) -> Asked {
        let Ok(mut client) = self.kept.take().map_or_else(|| connect(&self.listen), Ok) else {
            return Asked::Silent;
        };
        let asked = ask(&mut client, bytes);
        if matches!(asked, Asked::Answered(_)) {
            self.kept = Some(client);
        }
        asked
    }
}
