//! Clients that hand in messages.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static IDS: AtomicU64 = AtomicU64::new(1);

/// A connection to a dispatcher, with a side to write to and one to read from.
pub struct Client {
    /// Requests go here.
    pub writer: TcpStream,
    /// Replies come here.
    pub reader: BufReader<TcpStream>,
}

/// Opens a connection whose reads fail after a minute.
pub fn connect(to: &str) -> std::io::Result<Client> {
    let stream = TcpStream::connect(to)?;
    // It fails after a minute, as in `wait_for`.
    stream.set_read_timeout(Some(Duration::from_secs(60)))?;
    Ok(Client {
        reader: BufReader::new(stream.try_clone()?),
        writer: stream,
    })
}

/// The bytes of a `MSG.PUT` request.
pub fn put(id: &str, fields: &str, body: &str) -> Vec<u8> {
    let words = ["MSG.PUT", "0000000000000000", id, fields, body];
    let words: String = words
        .iter()
        .map(|w| format!("${}\r\n{w}\r\n", w.len()))
        .collect();
    format!("*5\r\n{words}").into_bytes()
}

/// A message id that no other call of this process returns.
pub fn new_id() -> String {
    format!("{:016x}", 0xb0_0000 + IDS.fetch_add(1, Ordering::SeqCst))
}

impl Client {
    /// The next line of the replies, without its end.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        line.trim_end().to_string()
    }

    /// Sends these bytes, and returns the first line of the reply.
    pub fn send(&mut self, bytes: &[u8]) -> String {
        self.writer.write_all(bytes).unwrap();
        self.line()
    }

    /// Hands in a message that has to be accepted, and returns its id.
    pub fn message(&mut self, class: &str, cell: u64, ms: u64, body: &str) -> String {
        let id = new_id();
        let answer = self.send(&put(
            &id,
            &format!("c={class},d={ms},k=k{id},dest={cell}"),
            body,
        ));
        assert_eq!(answer, "+OK");
        id
    }
}
