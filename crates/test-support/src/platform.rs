//! Stand-ins for the systems that a dispatcher connects to: discovery and the notification receiver.

use crate::stand_in::{request, stand_in};
use crate::wait::wait_for;
use serde_json::Value;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Discovery and the notification receiver, on one address.
#[derive(Clone)]
pub struct Platform {
    /// The address of both.
    pub addr: String,
    /// The connections of the watches of the endpoint list.
    pub watches: Arc<Mutex<Vec<TcpStream>>>,
    /// The request line of each watch, which contains the version that the watch starts from.
    pub watch_requests: Arc<Mutex<Vec<String>>>,
    /// All accepted notifications, in order of arrival.
    pub notifications: Arc<Mutex<Vec<Value>>>,
    /// While set, notification requests are read and the connection is closed without a response.
    pub drop_notifications: Arc<AtomicBool>,
}

impl Platform {
    /// Starts both on a free port, with notifications accepted.
    pub fn start() -> Platform {
        let watches: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let watch_requests: Arc<Mutex<Vec<String>>> = Arc::default();
        let notifications: Arc<Mutex<Vec<Value>>> = Arc::default();
        let drop_notifications = Arc::new(AtomicBool::new(false));
        let (open_watches, requests_seen, accepted, dropping) = (
            Arc::clone(&watches),
            Arc::clone(&watch_requests),
            Arc::clone(&notifications),
            Arc::clone(&drop_notifications),
        );
        let addr = stand_in(move |stream| {
            let mut to = stream.try_clone().unwrap();
            let mut from = BufReader::new(stream);
            while let Some((head, body)) = request(&mut from) {
                if head[0].starts_with("GET /api/targets?follow=1&since=") {
                    to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .unwrap();
                    requests_seen.lock().unwrap().push(head[0].clone());
                    open_watches.lock().unwrap().push(to.try_clone().unwrap());
                    continue;
                }
                assert_eq!(head[0], "POST /v2/finals HTTP/1.1");
                if dropping.load(Ordering::SeqCst) {
                    return;
                }
                let lines = String::from_utf8(body).unwrap();
                accepted.lock().unwrap().extend(
                    lines
                        .lines()
                        .map(|l| serde_json::from_str::<Value>(l).unwrap()),
                );
                to.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").unwrap();
            }
        });
        Platform {
            addr,
            watches,
            watch_requests,
            notifications,
            drop_notifications,
        }
    }

    /// Sends the text to all watches, each byte in a separate chunk.
    pub fn publish(&self, text: &str) {
        wait_for("a watch", || !self.watches.lock().unwrap().is_empty());
        for watch in self.watches.lock().unwrap().iter_mut() {
            for byte in text.bytes() {
                // The write fails if the watch has ended.
                watch
                    .write_all(&[b'1', b'\r', b'\n', byte, b'\r', b'\n'])
                    .ok();
            }
        }
    }

    /// Returns a copy of all notifications accepted so far.
    pub fn notifications(&self) -> Vec<Value> {
        self.notifications.lock().unwrap().clone()
    }

    /// Returns the first notification of this message, if any.
    pub fn notification(&self, id: &str) -> Option<Value> {
        self.notifications().into_iter().find(|n| n["ref"] == id)
    }
}
