//! The endpoints, which answer by chance, and the platform; each records in the ledger what it saw.

use super::scenario::FaultSwitches;
use crate::ledger::{Effect, Ledger};
use crate::stand_in::request;
use rand::RngExt;
use rand_pcg::Pcg64;
use serde_json::Value;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How often the machine is looked at, and what of a sleep's lateness is none of its stalls.
const BEAT: Duration = Duration::from_millis(5);
const NO_STALL: Duration = Duration::from_millis(50);
/// What a hanging endpoint holds a call for at most.
const HANG_FOR: Duration = Duration::from_secs(30);

/// What the threads of a world share.
pub(super) struct Shared {
    pub(super) ledger: Mutex<Ledger>,
    pub(super) faults: FaultSwitches,
    pub(super) answers: [u32; 4],
    pub(super) stop: AtomicBool,
    pub(super) random: Mutex<Pcg64>,
}

impl Shared {
    pub(super) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap()
    }

    fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.random.lock().unwrap().random_range(range)
    }
}

/// Reads the id out of a call's head.
fn id_of(head: &[String]) -> String {
    head.iter()
        .find_map(|line| line.strip_prefix("X-Trace-Id: "))
        .unwrap_or("none")
        .to_string()
}

/// Waits until the other side has closed, or for as long as an endpoint hangs.
fn wait_for_end(from: &mut BufReader<TcpStream>) {
    from.get_ref().set_read_timeout(Some(HANG_FOR)).ok();
    let _read = from.read(&mut [0; 64]);
}

/// How long ago the last bytes of a connection came, as the kernel saw it: a thread that reads them late may have been
/// held up.
fn last_came(stream: &TcpStream) -> Duration {
    // SAFETY: the structure is plain numbers, and the kernel writes no more of it than its length says.
    let came_ms = unsafe {
        let mut info: libc::tcp_info = std::mem::zeroed();
        let mut length = std::mem::size_of::<libc::tcp_info>() as libc::socklen_t;
        let at = std::ptr::from_mut(&mut info).cast();
        let done = libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            at,
            &mut length,
        );
        if done == 0 {
            info.tcpi_last_data_recv
        } else {
            0
        }
    };
    Duration::from_millis(came_ms.into())
}

/// One connection to an endpoint; a limiter is what its waits bind.
pub(super) fn serve_calls(stream: TcpStream, limiter: usize, shared: &Shared) {
    let Ok(mut to) = stream.try_clone() else {
        return;
    };
    let mut from = BufReader::new(stream);
    let mut served = 0;
    loop {
        if served > 0 && shared.faults.close_idle.load(Ordering::SeqCst) && shared.draw(0..3) == 0 {
            return;
        }
        let Some((head, _body)) = request(&mut from) else {
            return;
        };
        served += 1;
        let id = id_of(&head);
        let call = shared
            .ledger()
            .call_began(&id, limiter, last_came(from.get_ref()));
        std::thread::sleep(Duration::from_millis(shared.draw(1..12)));
        let end = |effect| shared.ledger().call_ended(&id, call, effect);
        if shared.faults.hang.load(Ordering::SeqCst) {
            wait_for_end(&mut from);
            return end(Effect::MayHaveRun);
        }
        let [delivered, full, error, _closed] = shared.answers;
        let written = match shared.draw(0..100) as u32 {
            n if n < delivered => {
                let cut = shared.faults.truncate_responses.load(Ordering::SeqCst)
                    && shared.draw(0..4) == 0;
                if cut {
                    // Not the complete status line: whether it was delivered cannot be known.
                    to.write_all(b"HTTP/1.1 20").ok();
                    return end(Effect::MayHaveRun);
                }
                end(Effect::Delivered);
                to.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            }
            n if n < delivered + full => {
                let wait_ms = shared.draw(50..400);
                shared
                    .ledger()
                    .told_to_wait(limiter, Duration::from_millis(wait_ms));
                end(Effect::NeverRan);
                let seconds = wait_ms as f64 / 1000.0;
                write!(
                    to,
                    "HTTP/1.1 429 Full\r\nRetry-After: {seconds:.3}\r\nContent-Length: 0\r\n\r\n"
                )
            }
            n if n < delivered + full + error => {
                end(Effect::MayHaveRun);
                to.write_all(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")
            }
            _ => return end(Effect::MayHaveRun),
        };
        if written.is_err() {
            return;
        }
    }
}

/// One connection to the platform: discovery's watch, or notices.
pub(super) fn serve_platform(stream: TcpStream, shared: &Shared) {
    let Ok(mut to) = stream.try_clone() else {
        return;
    };
    let mut from = BufReader::new(stream);
    while let Some((head, body)) = request(&mut from) {
        if head[0].starts_with("GET ") {
            if shared.faults.discovery_silent.load(Ordering::SeqCst) {
                return wait_for_end(&mut from);
            }
            to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                .ok();
            while !shared.faults.discovery_silent.load(Ordering::SeqCst)
                && to.write_all(b"1\r\n\n\r\n").is_ok()
                && !shared.stop.load(Ordering::SeqCst)
            {
                std::thread::sleep(Duration::from_millis(500));
            }
            return wait_for_end(&mut from);
        }
        let lines = String::from_utf8(body).unwrap();
        for line in lines.lines() {
            let notice: Value = serde_json::from_str(line).unwrap();
            shared.ledger().noticed(notice["ref"].as_str().unwrap());
        }
        if to.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
            return;
        }
    }
}

/// Sleeps again and again, and notes for how long the machine held it up.
pub(super) fn watch_machine(shared: &Shared) {
    while !shared.stop.load(Ordering::SeqCst) {
        let began = Instant::now();
        std::thread::sleep(BEAT);
        let late = began.elapsed().saturating_sub(BEAT);
        if late > NO_STALL {
            shared.ledger().stalled(late);
        }
    }
}
