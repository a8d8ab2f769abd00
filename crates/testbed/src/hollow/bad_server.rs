//! A server that answers watches with lines that must be refused, one kind after the other.

use anyhow::Result;
use bellsill_discovery_client::watch::MAX_SCOPED_LINE_BYTES;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;

const HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadAnswer {
    OverlongLine,
    /// One bit of a line has flipped, so that it is no JSON.
    FlippedBit,
    /// The connection ends within a line.
    TornLine,
    /// A line says to be a whole list, in which nothing is.
    FullList,
    /// The version is before what was told.
    VersionWentBack,
}

pub const BAD_ANSWERS: [BadAnswer; 5] = [
    BadAnswer::OverlongLine,
    BadAnswer::FlippedBit,
    BadAnswer::TornLine,
    BadAnswer::FullList,
    BadAnswer::VersionWentBack,
];

impl BadAnswer {
    /// The body of the answer; it names an endpoint that would be seen in a route table.
    fn body(self) -> Vec<u8> {
        let server = r#"{"id":"endpoint-0000000","addr":"10.9.9.9:9","zone":"r1-z1","kind":"shop","cell":0,"state":"up","v":99999999}"#;
        let line = |version: u64, full: bool| {
            format!("{{\"version\":{version},\"full\":{full},\"servers\":[{server}]}}\n")
                .into_bytes()
        };
        match self {
            BadAnswer::OverlongLine => {
                let mut text = line(99_999_999, false);
                text.splice(0..0, vec![b' '; MAX_SCOPED_LINE_BYTES + 1]);
                text
            }
            BadAnswer::FlippedBit => {
                let mut text = line(99_999_999, false);
                text[1] ^= 0x80;
                text
            }
            BadAnswer::TornLine => {
                let text = line(99_999_999, false);
                text[..text.len() / 2].to_vec()
            }
            BadAnswer::FullList => line(99_999_999, true),
            BadAnswer::VersionWentBack => line(1, false),
        }
    }
}

/// Answers every connection until it is dropped.
pub struct BadServer {
    pub address: SocketAddr,
    answered: Arc<AtomicUsize>,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl BadServer {
    pub fn start() -> Result<BadServer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (answered, over): (Arc<AtomicUsize>, Arc<AtomicBool>) = Default::default();
        let (count, ends) = (Arc::clone(&answered), Arc::clone(&over));
        let thread = std::thread::spawn(move || {
            for connection in listener.incoming() {
                if ends.load(Ordering::Relaxed) {
                    return;
                }
                let number = count.load(Ordering::Relaxed);
                let answer = BAD_ANSWERS[number % BAD_ANSWERS.len()];
                // The dispatcher may close first, once it has seen enough.
                let _ = connection.and_then(|mut connection| say(&mut connection, answer));
                count.fetch_add(1, Ordering::Relaxed);
            }
        });
        Ok(BadServer {
            address,
            answered,
            over,
            thread: Some(thread),
        })
    }

    /// How many connections have been answered.
    pub fn answered(&self) -> usize {
        self.answered.load(Ordering::Relaxed)
    }
}

impl Drop for BadServer {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        // Wakes the thread, which then ends.
        let _ = TcpStream::connect(self.address);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn say(connection: &mut TcpStream, answer: BadAnswer) -> std::io::Result<()> {
    let mut request: Vec<u8> = vec![];
    let mut part = [0; 4096];
    while !request.windows(4).any(|window| window == b"\r\n\r\n") {
        match connection.read(&mut part)? {
            0 => return Ok(()),
            count => request.extend(&part[..count]),
        }
    }
    let body = answer.body();
    connection.write_all(HEAD.as_bytes())?;
    connection.write_all(format!("{:x}\r\n", body.len()).as_bytes())?;
    connection.write_all(&body)?;
    connection.write_all(b"\r\n")?;
    connection.shutdown(Shutdown::Write)?;
    // Until the dispatcher has closed: an end at once would break what it has not read.
    while connection.read(&mut part)? > 0 {}
    Ok(())
}
