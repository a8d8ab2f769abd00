//! Signals, as flags and a byte on a pipe that wakes the event loop.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// What the process is asked for from outside. A byte on `wake` has the event loop look at the flags.
pub struct Signals {
    /// The receiving end of the pipe.
    pub wake: UnixStream,
    /// Shutdown is requested.
    pub shutdown: Arc<AtomicBool>,
    /// The configuration is to be read again.
    pub reload: Arc<AtomicBool>,
}

impl Signals {
    /// SIGTERM and SIGINT request shutdown, SIGHUP a reload.
    pub fn install() -> io::Result<Signals> {
        let (wake, sender) = UnixStream::pair()?;
        let signals = Signals {
            wake,
            shutdown: Arc::default(),
            reload: Arc::default(),
        };
        for (signal, flag) in [
            (SIGTERM, &signals.shutdown),
            (SIGINT, &signals.shutdown),
            (SIGHUP, &signals.reload),
        ] {
            // The flag is set before the byte is written, so that the loop finds it when it wakes up.
            signal_hook::flag::register(signal, Arc::clone(flag))?;
            signal_hook::low_level::pipe::register(signal, sender.try_clone()?)?;
        }
        Ok(signals)
    }

    /// Splits off the receiving end of the pipe.
    pub(crate) fn split(self) -> (UnixStream, SignalFlags) {
        let flags = SignalFlags {
            shutdown: self.shutdown,
            reload: self.reload,
        };
        (self.wake, flags)
    }
}

/// The flags that signals set.
pub(crate) struct SignalFlags {
    shutdown: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl SignalFlags {
    /// The flag of a requested shutdown, for what waits at the start.
    pub(crate) fn shutdown(&self) -> &AtomicBool {
        &self.shutdown
    }

    /// Whether shutdown is requested.
    pub(crate) fn shutdown_requested(&self) -> bool {
        self.shutdown.load(Ordering::SeqCst)
    }

    /// Whether a reload was requested since this was asked last.
    pub(crate) fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::SeqCst)
    }
}
