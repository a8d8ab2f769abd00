//! Signal handling: a signal sets a flag and writes a byte to a socket pair that wakes the event loop (a self-pipe).

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The flags that signal handlers set, and the socket that tells the event loop to check them.
pub struct Signals {
    /// The receiving end of the self-pipe; it becomes readable after a signal.
    pub wake: UnixStream,
    /// Set when shutdown is requested.
    pub shutdown: Arc<AtomicBool>,
    /// Set when a configuration reload is requested.
    pub reload: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the handlers: SIGTERM and SIGINT request shutdown, SIGHUP requests a reload.
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
            // Handlers run in the order of registration: the flag is set before the byte wakes the event loop.
            signal_hook::flag::register(signal, Arc::clone(flag))?;
            signal_hook::low_level::pipe::register(signal, sender.try_clone()?)?;
        }
        Ok(signals)
    }

    /// Separates the receiving end of the self-pipe from the flags.
    pub(crate) fn split(self) -> (UnixStream, SignalFlags) {
        let flags = SignalFlags {
            shutdown: self.shutdown,
            reload: self.reload,
        };
        (self.wake, flags)
    }
}

/// The flags that signal handlers set.
pub(crate) struct SignalFlags {
    shutdown: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl SignalFlags {
    /// The shutdown flag, which startup checks while it retries.
    pub(crate) fn shutdown(&self) -> &AtomicBool {
        &self.shutdown
    }

    /// Whether shutdown is requested.
    pub(crate) fn shutdown_requested(&self) -> bool {
        self.shutdown.load(Ordering::SeqCst)
    }

    /// Returns whether a reload was requested since the last call, and clears the flag.
    pub(crate) fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::SeqCst)
    }
}
