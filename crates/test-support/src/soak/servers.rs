//! The endpoints, which respond at random, and the platform. Both record in the ledger what they receive.

use super::members::Members;
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
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The sleep by which stalls of the machine are measured.
const STALL_PROBE: Duration = Duration::from_millis(5);
/// The delay of that sleep up to which it does not count as a stall.
const STALL_THRESHOLD: Duration = Duration::from_millis(50);
/// The maximum time for which an endpoint holds a call without a response.
const MAX_HANG: Duration = Duration::from_secs(30);

/// The limiter of the destination that may hang by itself.
pub(super) const HANGING_LIMITER: usize = 1;

/// The state that the threads of a soak run share.
pub(super) struct Shared {
    pub(super) ledger: Mutex<Ledger>,
    pub(super) faults: FaultSwitches,
    pub(super) response_shares: [u32; 4],
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

/// Returns the message id from the header of a call.
fn message_id(head: &[String]) -> String {
    head.iter()
        .find_map(|line| line.strip_prefix("X-Trace-Id: "))
        .unwrap_or("none")
        .to_string()
}

/// Waits until the peer closes the connection, up to [`MAX_HANG`].
fn wait_for_close(from: &mut BufReader<TcpStream>) {
    from.get_ref().set_read_timeout(Some(MAX_HANG)).ok();
    let _read = from.read(&mut [0; 64]);
}

/// Returns how long ago the kernel received the last bytes of a connection. The thread that reads them may have been
/// delayed since.
fn time_since_last_receive(stream: &TcpStream) -> Duration {
    // SAFETY: `tcp_info` consists of integers only, so zeroes are valid, and the kernel writes at most `length` bytes.
    let elapsed_ms = unsafe {
        let mut info: libc::tcp_info = std::mem::zeroed();
        let mut length = std::mem::size_of::<libc::tcp_info>() as libc::socklen_t;
        let info_pointer = std::ptr::from_mut(&mut info).cast();
        let result = libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info_pointer,
            &mut length,
        );
        if result == 0 {
            info.tcpi_last_data_recv
        } else {
            0
        }
    };
    Duration::from_millis(elapsed_ms.into())
}

/// Serves one connection to an endpoint. Endpoints with the same `limiter` share their Retry-After periods. The run of the
/// dispatcher that calls decides how it is answered.
pub(super) fn serve_calls(stream: TcpStream, limiter: usize, members: &Members) {
    let Ok(mut to) = stream.try_clone() else {
        return;
    };
    let mut from = BufReader::new(stream);
    let mut last_caller: Option<Arc<Shared>> = None;
    loop {
        if last_caller
            .is_some_and(|run| run.faults.close_idle.load(Ordering::SeqCst) && run.draw(0..3) == 0)
        {
            return;
        }
        let Some((head, _body)) = request(&mut from) else {
            return;
        };
        let id = message_id(&head);
        let Some(shared) = members.run_of(&id) else {
            members.stray_call(&id);
            return;
        };
        last_caller = Some(Arc::clone(&shared));
        if !serve_call(&mut from, &mut to, &Call { id: &id, limiter }, &shared) {
            return;
        }
    }
}

/// A call that an endpoint has read.
struct Call<'a> {
    id: &'a str,
    limiter: usize,
}

/// Answers a call as the run decides, and returns whether the connection stays open.
fn serve_call(
    from: &mut BufReader<TcpStream>,
    to: &mut TcpStream,
    call: &Call<'_>,
    shared: &Shared,
) -> bool {
    let index = shared.ledger().call_started(
        call.id,
        call.limiter,
        time_since_last_receive(from.get_ref()),
    );
    std::thread::sleep(Duration::from_millis(shared.draw(1..12)));
    let end_call = |effect| shared.ledger().call_ended(call.id, index, effect);
    let hangs_here = call.limiter == HANGING_LIMITER
        && shared.faults.hang_one_destination.load(Ordering::SeqCst);
    if hangs_here || shared.faults.hang.load(Ordering::SeqCst) {
        wait_for_close(from);
        end_call(Effect::MayHaveRun);
        return false;
    }
    let [delivered, retry_after, error, _closed] = shared.response_shares;
    let written = match shared.draw(0..100) as u32 {
        n if n < delivered => {
            let truncate =
                shared.faults.truncate_responses.load(Ordering::SeqCst) && shared.draw(0..4) == 0;
            if truncate {
                // The status line is incomplete, so the dispatcher cannot tell whether the message was delivered.
                to.write_all(b"HTTP/1.1 20").ok();
                end_call(Effect::MayHaveRun);
                return false;
            }
            end_call(Effect::Delivered);
            to.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        }
        n if n < delivered + retry_after => {
            let retry_after_ms = shared.draw(50..400);
            shared
                .ledger()
                .retry_after_sent(call.limiter, Duration::from_millis(retry_after_ms));
            end_call(Effect::NeverRan);
            let seconds = retry_after_ms as f64 / 1000.0;
            write!(
                to,
                "HTTP/1.1 429 Full\r\nRetry-After: {seconds:.3}\r\nContent-Length: 0\r\n\r\n"
            )
        }
        n if n < delivered + retry_after + error => {
            end_call(Effect::MayHaveRun);
            to.write_all(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")
        }
        _ => {
            end_call(Effect::MayHaveRun);
            return false;
        }
    };
    written.is_ok()
}

/// Serves one connection to the platform: a watch of discovery, or notifications.
pub(super) fn serve_platform(stream: TcpStream, shared: &Shared) {
    let Ok(mut to) = stream.try_clone() else {
        return;
    };
    let mut from = BufReader::new(stream);
    while let Some((head, body)) = request(&mut from) {
        if head[0].starts_with("GET ") {
            if shared.faults.discovery_silent.load(Ordering::SeqCst) {
                return wait_for_close(&mut from);
            }
            to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                .ok();
            while !shared.faults.discovery_silent.load(Ordering::SeqCst)
                && to.write_all(b"1\r\n\n\r\n").is_ok()
                && !shared.stop.load(Ordering::SeqCst)
            {
                std::thread::sleep(Duration::from_millis(500));
            }
            return wait_for_close(&mut from);
        }
        let lines = String::from_utf8(body).unwrap();
        for line in lines.lines() {
            let notification: Value = serde_json::from_str(line).unwrap();
            shared
                .ledger()
                .notified(notification["ref"].as_str().unwrap());
        }
        if to.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
            return;
        }
    }
}

/// Sleeps repeatedly, and records how late each sleep ends as a stall of the machine.
pub(super) fn measure_machine_stalls(shared: &Shared) {
    while !shared.stop.load(Ordering::SeqCst) {
        let started_at = Instant::now();
        std::thread::sleep(STALL_PROBE);
        let delay = started_at.elapsed().saturating_sub(STALL_PROBE);
        if delay > STALL_THRESHOLD {
            shared.ledger().machine_stalled(delay);
        }
    }
}
