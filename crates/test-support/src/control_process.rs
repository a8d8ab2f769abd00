//! Control processes that run in threads of the test process.

use crate::WAIT_TIMEOUT;
use crate::control_client::request;
use bellsill_control_plane::config::Config;
use bellsill_control_plane::{Stop, process};
use serde_json::Value;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The body of `POST /v2/members` for four dispatchers, one in each zone of [`config_text`].
pub const MEMBERS: &str = "\
{\"name\":\"north-a\",\"zone\":\"north-1\"}
{\"name\":\"north-b\",\"zone\":\"north-2\"}
{\"name\":\"south-a\",\"zone\":\"south-1\",\"weight\":1.0}
{\"name\":\"south-b\",\"zone\":\"south-2\"}
";

/// A listener that is kept open, so that a control process has the same address after a restart.
pub struct ReservedAddress {
    listener: TcpListener,
    /// The address of the listener.
    pub address: SocketAddr,
}

impl ReservedAddress {
    /// Binds a free loopback port. Connections are not accepted until a process is started.
    pub fn reserve() -> ReservedAddress {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        ReservedAddress { listener, address }
    }

    /// Starts a control process on this address. `role` and `more` are added to its configuration; see [`config_text`].
    pub fn start(&self, state: &Path, role: &str, more: &str) -> RunningProcess {
        let config =
            Config::parse(&config_text(self.address, state, role, more)).expect("a configuration");
        let (wake, waker) = UnixStream::pair().expect("a pair of sockets");
        let requested: Arc<AtomicBool> = Arc::default();
        let stop = Stop {
            wake,
            requested: requested.clone(),
        };
        let listener = self.listener.try_clone().expect("a listener");
        let thread = std::thread::spawn(move || {
            process::run_on(listener, config, stop).map_err(|e| e.to_string())
        });
        RunningProcess {
            address: self.address,
            thread: Some(thread),
            waker,
            requested,
        }
    }

    /// Starts a leader, which accepts writes.
    pub fn start_leader(&self, state: &Path) -> RunningProcess {
        self.start(state, "role = \"writer\"", "")
    }

    /// Starts a follower, which replicates the log of the leader at this address.
    pub fn start_follower(&self, state: &Path, leader: SocketAddr) -> RunningProcess {
        self.start(
            state,
            &format!("role = \"follower\"\nwriter = \"{leader}\""),
            "",
        )
    }
}

/// Returns the text of a configuration file with two regions of two zones each. `role` and `more` are lines of TOML.
pub fn config_text(listen: SocketAddr, state: &Path, role: &str, more: &str) -> String {
    let state = state.display();
    format!(
        "name = \"control\"\nlisten = \"{listen}\"\nstate = \"{state}\"\n{role}\nbuckets_per_region = 8\n{more}\n\
         [[zones]]\nname = \"north-1\"\nregion = \"north\"\n[[zones]]\nname = \"north-2\"\nregion = \"north\"\n\
         [[zones]]\nname = \"south-1\"\nregion = \"south\"\n[[zones]]\nname = \"south-2\"\nregion = \"south\"\n"
    )
}

/// A control process that runs in a thread until it is stopped or dropped.
pub struct RunningProcess {
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    thread: Option<JoinHandle<Result<(), String>>>,
    waker: UnixStream,
    requested: Arc<AtomicBool>,
}

impl RunningProcess {
    /// Stops the process and waits until it has exited.
    pub fn stop(mut self) -> Result<(), String> {
        self.stop_and_join()
    }

    /// Waits until the process exits without being stopped.
    pub fn wait_for_exit(mut self) -> Result<(), String> {
        self.thread
            .take()
            .expect("the process is running")
            .join()
            .expect("no panic")
    }

    fn stop_and_join(&mut self) -> Result<(), String> {
        self.requested.store(true, Ordering::SeqCst);
        // The write fails if the process has already exited, since its end of the socket is closed.
        self.waker.write_all(b"x").ok();
        self.thread
            .take()
            .map_or(Ok(()), |thread| thread.join().expect("no panic"))
    }

    /// Returns the metrics: the response body of `GET /v2/figures`.
    pub fn metrics(&self) -> Value {
        request(self.address, "GET", "/v2/figures", "").1
    }

    /// Polls the metrics until they satisfy the predicate, and returns them. Panics after [`WAIT_TIMEOUT`] with a
    /// message that contains `what`.
    pub fn wait_for(&self, what: &str, predicate: impl Fn(&Value) -> bool) -> Value {
        let started = Instant::now();
        loop {
            let metrics = self.metrics();
            if predicate(&metrics) {
                return metrics;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "timed out waiting for {what}: {metrics}"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until the process has applied the log up to this version.
    pub fn wait_for_version(&self, version: u64) -> Value {
        self.wait_for("the version", |metrics| {
            metrics["version"].as_u64() >= Some(version)
        })
    }

    /// Writes endpoint entries, one JSON object per line, and returns the version assigned to them.
    pub fn write(&self, body: &str) -> u64 {
        let (status, response) = request(self.address, "POST", "/api/targets", body);
        assert_eq!(status, 200, "{response}");
        response["version"].as_u64().expect("a version")
    }

    /// Declares [`MEMBERS`], and waits until buckets are assigned to them.
    pub fn declare(&self) {
        let (status, response) = request(self.address, "POST", "/v2/members", MEMBERS);
        assert_eq!(status, 200, "{response}");
        self.wait_for("the assignment", |metrics| {
            metrics["epoch"].as_u64() >= Some(1)
        });
    }
}

impl Drop for RunningProcess {
    fn drop(&mut self) {
        // Errors are ignored here; a test that expects one calls `stop` or `wait_for_exit`.
        self.stop_and_join().ok();
    }
}
