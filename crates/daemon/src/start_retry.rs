//! What fails for a while at a start, in the folder that lasts or for want of a socket, is tried again before clients are
//! answered.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// For so long a start tries again: a platform takes a dispatcher that is not ready within 30 s for failed.
const TRY_FOR: Duration = Duration::from_secs(25);
const TRY_AGAIN: Duration = Duration::from_millis(50);

/// Whether a call may go well if it is made again: the disk is full or fails, or the system is out of something. What the
/// operator has to mend, such as a folder without permission or another's address, ends the start at once.
fn may_pass(e: &io::Error) -> bool {
    use io::ErrorKind::*;
    let of_the_folder = [
        PermissionDenied,
        NotADirectory,
        IsADirectory,
        NotFound,
        ReadOnlyFilesystem,
        ResourceBusy,
    ];
    let of_the_address = [AddrInUse, AddrNotAvailable, InvalidInput];
    let lasting = of_the_folder.contains(&e.kind()) || of_the_address.contains(&e.kind());
    let known = e.raw_os_error().is_some() || e.kind() == StorageFull;
    known && !lasting
}

/// Does something, again and again while it fails in a way that may pass, unless the process is to leave.
pub fn wait_out<T>(leave: &AtomicBool, mut act: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let until = Instant::now() + TRY_FOR;
    let mut said = false;
    loop {
        match act() {
            Err(e) if may_pass(&e) && Instant::now() < until && !leave.load(Ordering::SeqCst) => {
                if !std::mem::replace(&mut said, true) {
                    log::error!("something fails that may pass, the start waits for it: {e}");
                }
                sleep(TRY_AGAIN);
            }
            done => return done,
        }
    }
}
