//! A client of a control process: single requests, and the watch of a dispatcher.

use crate::WAIT_TIMEOUT;
use bellsill_directory::line::ScopedLine;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

/// A connection whose reads fail after [`WAIT_TIMEOUT`] rather than block a test for good.
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("a timeout");
    stream
}

/// One request on a connection of its own: the status, and the body as JSON.
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

/// Reads a response up to the end of its connection: the status, and the body as JSON.
pub fn read_response(stream: &mut TcpStream) -> (u16, Value) {
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .expect("a status");
    (status, serde_json::from_str(body).expect("a body of JSON"))
}

/// The stream of endpoint list changes that a dispatcher follows.
pub struct Watch {
    reader: BufReader<TcpStream>,
}

impl Watch {
    /// Sends the watch request with these query fields, and reads the head of the answer, which must be 200.
    pub fn open(address: SocketAddr, query: &str) -> Watch {
        let mut reader = BufReader::new(connect(address));
        let request = format!("GET /api/targets?follow=1&{query} HTTP/1.1\r\nHost: x\r\n\r\n");
        reader
            .get_mut()
            .write_all(request.as_bytes())
            .expect("a request");
        let mut watch = Watch { reader };
        assert_eq!(watch.text_line().split(' ').nth(1), Some("200"));
        while !watch.text_line().is_empty() {}
        watch
    }

    fn text_line(&mut self) -> String {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("a line");
        line.trim_end().to_string()
    }

    /// The next line that is not empty; none once the watch has ended.
    pub fn next_line(&mut self) -> Option<ScopedLine> {
        loop {
            let size = self.text_line();
            if size.is_empty() {
                return None;
            }
            let size = usize::from_str_radix(&size, 16).expect("a size");
            let mut chunk = vec![0; size + 2];
            self.reader.read_exact(&mut chunk).expect("a chunk");
            let line = chunk.trim_ascii();
            if !line.is_empty() {
                return Some(serde_json::from_slice(line).expect("a line"));
            }
        }
    }

    /// Reads until the wanted line has come, and returns all up to it.
    pub fn until(&mut self, wanted: impl Fn(&ScopedLine) -> bool) -> Vec<ScopedLine> {
        let started = Instant::now();
        let mut lines: Vec<ScopedLine> = Vec::new();
        loop {
            let line = self.next_line().expect("a line");
            let last = wanted(&line);
            assert!(
                lines
                    .last()
                    .is_none_or(|before| before.version <= line.version),
                "the version went back"
            );
            lines.push(line);
            if last {
                return lines;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "the line did not come");
        }
    }

    /// Reads until these many buckets have been filled.
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

/// The ids of the endpoints that these lines name, in their order and with repeats.
pub fn endpoint_ids(lines: &[ScopedLine]) -> Vec<String> {
    lines
        .iter()
        .flat_map(|line| line.servers.iter().map(|entry| entry.id.clone()))
        .collect()
}
