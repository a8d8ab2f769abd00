//! An upgrade while the endpoints of one destination hang and the messages that wait for it take up disk space.

use crate::process::SIGTERM;
use crate::settings::ljubljana_depot;
use crate::world::{Put, run_clients};
use crate::{Site, Verdict};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The disk limit of the page's example, in decimal megabytes.
const DISK_MB: f64 = 3.0;
const HANG_AT: u64 = 3_000;
const HANG_UNTIL: u64 = HANG_AT + 18_000;
const UPGRADE_AT: u64 = 7_500;
/// The old process gets SIGTERM then, and SIGKILL 3.7 s later if it has not ended.
const SIGTERM_AT: u64 = 9_500;
const KILL_AFTER: u64 = 3_700;
/// Clients hand in messages until then.
const CLIENTS_UNTIL: u64 = 20_000;
/// 30 messages a second, as one of three dispatchers gets.
const EVERY_MS: u64 = 33;
const LIFETIME_MS: u64 = 12_000;
const WORK_MS: u64 = 130;
const BODY_BYTES: usize = 24 * 1024;

pub fn run(site: &Site) -> Result<Verdict, String> {
    let world = &site.world;
    let kinds = ["grocers", "couriers", "farms"];
    let mut hanging = vec![];
    for (dest, kind) in (1..).zip(kinds) {
        for zone in ["hall-a", "hall-b"] {
            let endpoint = world.endpoint(dest, zone, kind, WORK_MS);
            if dest == 1 {
                hanging.push(endpoint);
            }
        }
    }
    site.write_config(&ljubljana_depot(LIFETIME_MS), DISK_MB);
    let mut old = site.start_first("old")?;
    let begin = world.now();
    let steady = (0..)
        .map(|n| (begin + n * EVERY_MS, n))
        .take_while(|(at, _)| *at < CLIENTS_UNTIL);
    let put = |(at, n): (u64, u64)| Put {
        at,
        class: if n.is_multiple_of(5) {
            "payment"
        } else {
            "notice"
        },
        tagged: !n.is_multiple_of(5),
        order_key: 0,
        dest: 1 + n % 3,
        lifetime: LIFETIME_MS,
        bytes: BODY_BYTES,
        fresh: n.is_multiple_of(2),
    };
    let clients = run_clients(world, &site.listen, steady.map(put).collect());

    let hang = |hangs: bool| {
        if site.trouble {
            hanging
                .iter()
                .for_each(|e| e.hangs.store(hangs, Ordering::SeqCst));
            world.note(format!("the endpoints of destination 1 hang: {hangs}"));
        }
    };
    world.sleep_until(HANG_AT);
    hang(true);
    world.sleep_until(UPGRADE_AT);
    let mut new = site.start("new");
    if !new.wait_ready(Duration::from_secs(6)) {
        return Err("the new process is not ready within 6 s".into());
    }
    world.note("platform: new is ready");
    world.sleep_until(SIGTERM_AT);
    old.signal(SIGTERM);
    world.note("platform: SIGTERM to old");
    let mut status = None;
    while status.is_none() && world.now() < SIGTERM_AT + KILL_AFTER {
        std::thread::sleep(Duration::from_millis(10));
        status = old.ended();
    }
    world.note(format!("platform: old has ended: {status:?}"));
    old.kill();
    world.sleep_until(HANG_UNTIL);
    hang(false);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    world.sleep_until(CLIENTS_UNTIL + LIFETIME_MS + 3_000);
    if let Some(status) = new.ended() {
        return Err(format!("new has ended: {status}"));
    }
    world.note(format!(
        "platform: new answers `ready`: {}",
        new.call("ready")
    ));
    Ok(site.judge_lost(SIGTERM_AT + KILL_AFTER + 1_500))
}
