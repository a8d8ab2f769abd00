//! A stand-in for endpoints: HTTP/1.1 over TCP, one call at a time on a connection. Everything follows the protocol page;
//! what an endpoint answers is set by the case.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What an endpoint does with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Answers 200 after this many milliseconds.
    Deliver(u64),
    /// Takes the call and answers nothing.
    Hang,
}

/// A call whose last byte has come.
#[derive(Clone, Debug)]
pub struct Call {

    pub destination: u64,
    pub message: String,
    pub body: String,
    /// The status that was answered, and when; 0 for none.
    pub status: u16,
    pub answered_at: u64,
}

struct State {
    name: String,
    destination: u64,
    mode: Mode,
    connections: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Endpoint {
    pub addr: String,
    state: Arc<Mutex<State>>,
}

/// All calls of a run, in the order in which they came.
pub type Calls = Arc<Mutex<Vec<Call>>>;

impl Endpoint {
    pub fn start(name: &str, destination: u64, mode: Mode, calls: &Calls, record: &Record) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let endpoint = Endpoint {
            addr: listener.local_addr().unwrap().to_string(),
            state: Arc::new(Mutex::new(State {
                name: name.to_string(),
                destination,
                mode,
                connections: vec![],
            })),
        };
        record.line(&format!("endpoint {name} of destination {destination} at {}", endpoint.addr));
        let (this, calls, record) = (endpoint.clone(), calls.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                stream.set_nodelay(true).ok();
                this.state.lock().unwrap().connections.push(stream.try_clone().unwrap());
                let (this, calls, record) = (this.clone(), calls.clone(), record.clone());
                thread::spawn(move || this.serve(stream, &calls, &record));
            }
        });
        endpoint
    }

    /// From now on another endpoint has this address. The connections of the one that has gone end.
    pub fn replace(&self, name: &str, destination: u64, record: &Record) {
        let mut state = self.state.lock().unwrap();
        record.line(&format!(
            "endpoint {} has gone; endpoint {name} of destination {destination} starts at {}",
            state.name, self.addr
        ));
        state.name = name.to_string();
        state.destination = destination;
        for connection in state.connections.drain(..) {
            connection.shutdown(Shutdown::Both).ok();
        }
    }

    fn serve(&self, mut stream: TcpStream, calls: &Calls, record: &Record) {
        let mut input = Vec::new();
        loop {
            let Some((head, body)) = read_request(&mut stream, &mut input) else { return };
            let (name, destination, mode) = {
                let state = self.state.lock().unwrap();
                (state.name.clone(), state.destination, state.mode)
            };
            let message = header(&head, "x-trace-id").unwrap_or_default();
            let body = String::from_utf8_lossy(&body).into_owned();
            let status = match mode {
                _ if !head.starts_with("POST /events ") || message.is_empty() => 400,
                Mode::Deliver(_) => 200,
                Mode::Hang => 0,
            };
            // Numbered and recorded before the answer is written.
            let index = {
                let mut calls = calls.lock().unwrap();
                calls.push(Call {
                    destination,
                    message: message.clone(),
                    body: body.clone(),
                    status: 0,
                    answered_at: 0,
                });
                calls.len() - 1
            };
            record.line(&format!(
                "endpoint {name} of destination {destination}: call for message {message}, body {body:?}"
            ));
            let answer = match mode {
                _ if status == 400 => "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n".to_string(),
                Mode::Deliver(after) => {
                    thread::sleep(Duration::from_millis(after));
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_string()
                }
                Mode::Hang => {
                    // Holds the call until the other side gives up, and writes nothing.
                    let mut rest = [0; 1024];
                    while matches!(stream.read(&mut rest), Ok(n) if n > 0) {}
                    record.line(&format!("endpoint {name}: message {message}: the connection ended without an answer"));
                    return;
                }
            };
            {
                let call = &mut calls.lock().unwrap()[index];
                (call.status, call.answered_at) = (status, record.ms());
            }
            record.line(&format!("endpoint {name}: message {message}: answered {status}"));
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Reads one request; none once the connection has ended.
pub fn read_request(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut bytes = [0; 16 * 1024];
    loop {
        if let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let length = header(&head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            if input.len() >= end + 4 + length {
                let body = input[end + 4..end + 4 + length].to_vec();
                input.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        match stream.read(&mut bytes) {
            Ok(n) if n > 0 => input.extend(&bytes[..n]),
            _ => return None,
        }
    }
}

/// The value of a header.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (n, value) = line.split_once(':')?;
        n.trim().eq_ignore_ascii_case(name).then(|| value.trim().to_string())
    })
}
