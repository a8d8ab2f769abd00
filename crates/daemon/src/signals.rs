//! Signals, as flags and a byte on a pipe that wakes the event loop.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// What a dispatcher is told from outside: a byte on `wake` has it look at the two.
pub struct Signals {
    pub wake: UnixStream,
    /// It is to leave.
    pub shutdown: Arc<AtomicBool>,
    /// It is to read its configuration again.
    pub reload: Arc<AtomicBool>,
}

impl Signals {
    /// SIGTERM and SIGINT tell it to leave, SIGHUP to read its configuration again.
    pub fn install() -> io::Result<Signals> {
        let (wake, sender) = UnixStream::pair()?;
        let signals = Signals {
            wake,
            shutdown: Arc::default(),
            reload: Arc::default(),
        };
        for (signal, what) in [
            (SIGTERM, &signals.shutdown),
            (SIGINT, &signals.shutdown),
            (SIGHUP, &signals.reload),
        ] {
            // In this order: whoever is woken finds what for.
            signal_hook::flag::register(signal, Arc::clone(what))?;
            signal_hook::low_level::pipe::register(signal, sender.try_clone()?)?;
        }
        Ok(signals)
    }
}
