//! The systems behind a dispatcher: discovery, and the receiver of notifications.

use crate::stand_in::{request, stand_in};
use crate::wait::wait_for;
use serde_json::Value;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Discovery and the receiver of notifications, on one address.
#[derive(Clone)]
pub struct Platform {
    /// Where both listen.
    pub addr: String,
    /// The connections on which the endpoint list is followed.
    pub watches: Arc<Mutex<Vec<TcpStream>>>,
    /// The request line of each watch, which says from where the list is followed.
    pub watch_requests: Arc<Mutex<Vec<String>>>,
    /// All notifications that were accepted, in order.
    pub notifications: Arc<Mutex<Vec<Value>>>,
    /// While set, notifications are read and their connection is closed with no answer.
    pub drop_notifications: Arc<AtomicBool>,
}

impl Platform {
    /// Starts both on a free port; notifications are accepted.
    pub fn start() -> Platform {
        let watches: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let watch_requests: Arc<Mutex<Vec<String>>> = Arc::default();
        let notifications: Arc<Mutex<Vec<Value>>> = Arc::default();
        let drop_notifications = Arc::new(AtomicBool::new(false));
        let (w, s, n, d) = (
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
                    s.lock().unwrap().push(head[0].clone());
                    w.lock().unwrap().push(to.try_clone().unwrap());
                    continue;
                }
                assert_eq!(head[0], "POST /v2/finals HTTP/1.1");
                if d.load(Ordering::SeqCst) {
                    return;
                }
                let lines = String::from_utf8(body).unwrap();
                n.lock().unwrap().extend(
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

    /// Sends the text to all watches, each byte in a chunk of its own.
    pub fn publish(&self, text: &str) {
        wait_for("a watch", || !self.watches.lock().unwrap().is_empty());
        for watch in self.watches.lock().unwrap().iter_mut() {
            for byte in text.bytes() {
                // One that has ended gets no more.
                watch
                    .write_all(&[b'1', b'\r', b'\n', byte, b'\r', b'\n'])
                    .ok();
            }
        }
    }

    /// A copy of all notifications accepted so far.
    pub fn notifications(&self) -> Vec<Value> {
        self.notifications.lock().unwrap().clone()
    }

    /// The first notification of this message.
    pub fn notification(&self, id: &str) -> Option<Value> {
        self.notifications().into_iter().find(|n| n["ref"] == id)
    }
}
