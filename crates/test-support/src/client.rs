//! A client that submits messages to a dispatcher.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A client connection to a dispatcher.
pub struct Client {
    /// The stream that requests are written to.
    pub writer: TcpStream,
    /// A buffered reader for the replies.
    pub reader: BufReader<TcpStream>,
}

/// Opens a connection with a read timeout of one minute.
pub fn connect(addr: &str) -> std::io::Result<Client> {
    let stream = TcpStream::connect(addr)?;
    // The same timeout as in `wait_for`.
    stream.set_read_timeout(Some(Duration::from_secs(60)))?;
    Ok(Client {
        reader: BufReader::new(stream.try_clone()?),
        writer: stream,
    })
}

/// Encodes a `MSG.PUT` request.
pub fn put(id: &str, fields: &str, body: &str) -> Vec<u8> {
    let arguments = ["MSG.PUT", "0000000000000000", id, fields, body];
    let arguments: String = arguments
        .iter()
        .map(|a| format!("${}\r\n{a}\r\n", a.len()))
        .collect();
    format!("*5\r\n{arguments}").into_bytes()
}

/// Returns a message id that is unique within this process.
pub fn new_id() -> String {
    format!(
        "{:016x}",
        0xb0_0000 + NEXT_ID.fetch_add(1, Ordering::SeqCst)
    )
}

impl Client {
    /// Reads the next reply line, without its line terminator.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        line.trim_end().to_string()
    }

    /// Sends these bytes and returns the first line of the reply.
    pub fn send(&mut self, bytes: &[u8]) -> String {
        self.writer.write_all(bytes).unwrap();
        self.line()
    }

    /// Submits a message, asserts that it is accepted, and returns its id.
    pub fn message(&mut self, class: &str, destination: u64, ms: u64, body: &str) -> String {
        let id = new_id();
        let reply = self.send(&put(
            &id,
            &format!("c={class},d={ms},k=k{id},dest={destination}"),
            body,
        ));
        assert_eq!(reply, "+OK");
        id
    }
}
