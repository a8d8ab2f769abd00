//! A client of a control process: single requests, and the watch that a dispatcher opens.

use crate::WAIT_TIMEOUT;
use bellsill_directory::line::ScopedLine;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

/// Opens a connection with a read timeout of [`WAIT_TIMEOUT`], so that a test cannot block indefinitely.
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("a timeout");
    stream
}

/// Sends one request on a new connection, and returns the status and the JSON body of the response.
pub fn request(address: SocketAddr, method: &str, target: &str, body: &str) -> (u16, Value) {
    let mut stream = connect(address);
    let length = body.len();
    let head = format!(
        "{method} {target} HTTP/1.1\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    stream
        .write_all(&[head.as_bytes(), body.as_bytes()].concat())
        .expect("a request");
    read_response(&mut stream)
}

/// Reads a response until the connection is closed, and returns its status and JSON body.
pub fn read_response(stream: &mut TcpStream) -> (u16, Value) {
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    let (head, body) = response.split_once("\r\n\r\n").expect("a response head");
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .expect("a status");
    (status, serde_json::from_str(body).expect("a JSON body"))
}

/// A watch: the stream of endpoint list changes sent to a dispatcher.
pub struct Watch {
    reader: BufReader<TcpStream>,
}

impl Watch {
    /// Sends a watch request with these query fields, and reads the response head. Asserts that the status is 200.
    pub fn open(address: SocketAddr, query: &str) -> Watch {
        let mut reader = BufReader::new(connect(address));
        let request = format!("GET /api/targets?follow=1&{query} HTTP/1.1\r\nHost: x\r\n\r\n");
        reader
            .get_mut()
            .write_all(request.as_bytes())
            .expect("a request");
        let mut watch = Watch { reader };
        assert_eq!(watch.read_text_line().split(' ').nth(1), Some("200"));
        while !watch.read_text_line().is_empty() {}
        watch
    }

    fn read_text_line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("a line");
        line.trim_end().to_string()
    }

    /// Returns the next line that is not a heartbeat, or `None` once the watch has ended.
    pub fn next_line(&mut self) -> Option<ScopedLine> {
        loop {
            let size = self.read_text_line();
            if size.is_empty() {
                return None;
            }
            let size = usize::from_str_radix(&size, 16).expect("a chunk size");
            let mut chunk = vec![0; size + 2];
            self.reader.read_exact(&mut chunk).expect("a chunk");
            let line = chunk.trim_ascii();
            if !line.is_empty() {
                return Some(serde_json::from_slice(line).expect("a line"));
            }
        }
    }

    /// Reads up to the first line that satisfies the predicate, and returns all lines including that one. Asserts that
    /// versions never decrease.
    pub fn until(&mut self, predicate: impl Fn(&ScopedLine) -> bool) -> Vec<ScopedLine> {
        let started = Instant::now();
        let mut lines: Vec<ScopedLine> = Vec::new();
        loop {
            let line = self.next_line().expect("a line");
            let last = predicate(&line);
            assert!(
                lines
                    .last()
                    .is_none_or(|previous| previous.version <= line.version),
                "the version decreased"
            );
            lines.push(line);
            if last {
                return lines;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "timed out waiting for a watch line"
            );
        }
    }

    /// Reads until this many buckets have been filled.
    pub fn until_filled(&mut self, buckets: usize) -> Vec<ScopedLine> {
        let mut lines = Vec::new();
        while lines
            .iter()
            .map(|line: &ScopedLine| line.filled.len())
            .sum::<usize>()
            < buckets
        {
            lines.extend(self.until(|line| !line.filled.is_empty()));
        }
        lines
    }
}

/// Returns the ids of the endpoints in these lines, in order and with duplicates.
pub fn endpoint_ids(lines: &[ScopedLine]) -> Vec<String> {
    lines
        .iter()
        .flat_map(|line| line.servers.iter().map(|entry| entry.id.clone()))
        .collect()
}
