//! An upgrade that fails: the new process is killed while the old one serves on.

use crate::process::SIGTERM;
use crate::settings::ljubljana_depot;
use crate::world::{Put, run_clients};
use crate::{Site, Verdict};
use std::time::Duration;

/// When the new process is started, and when it is killed (without the disruption: when the old one gets SIGTERM).
const UPGRADE_AT: u64 = 3_000;
const KILL_AT: u64 = 6_000;
/// Clients hand in messages until then.
const CLIENTS_UNTIL: u64 = 9_000;
/// 30 messages a second, as one of three dispatchers gets.
const EVERY_MS: u64 = 33;
/// How long a call takes.
const WORK_MS: u64 = 200;
const LIFETIME_MS: u64 = 8_000;
/// A clump for one destination, about as many as it takes in 3 s.
const CLUMP_AT: u64 = 5_500;
const CLUMP: u64 = 60;
const BODY_BYTES: usize = 212;

pub fn run(site: &Site) -> Result<Verdict, String> {
    let world = &site.world;
    let kinds = ["grocers", "couriers", "farms"];
    for (dest, kind) in (1..).zip(kinds) {
        for zone in ["hall-a", "hall-b"] {
            world.endpoint(dest, zone, kind, WORK_MS);
        }
    }
    site.write_config(&ljubljana_depot(12_000), 3.0);
    let mut old = site.start_first("old")?;
    let put = |at, dest, n: u64| Put {
        at,
        class: if n.is_multiple_of(5) {
            "payment"
        } else {
            "notice"
        },
        tagged: !n.is_multiple_of(5),
        order_key: 0,
        dest,
        lifetime: LIFETIME_MS,
        bytes: BODY_BYTES,
        fresh: n.is_multiple_of(2),
    };
    let begin = world.now();
    let steady = (0..)
        .map(|n| (begin + n * EVERY_MS, n))
        .take_while(|(at, _)| *at < CLIENTS_UNTIL);
    let mut puts: Vec<Put> = steady.map(|(at, n)| put(at, 1 + n % 3, n)).collect();
    // A clump comes from clients of its own, each with a new connection.
    puts.extend((0..CLUMP).map(|n| Put {
        fresh: true,
        ..put(CLUMP_AT + 2 * n, 2, n)
    }));
    let clients = run_clients(world, &site.listen, puts);

    world.sleep_until(UPGRADE_AT);
    let mut new = site.start("new");
    if !new.wait_ready(Duration::from_secs(6)) {
        return Err("the new process is not ready within 6 s".into());
    }
    world.note("platform: new is ready");
    world.sleep_until(KILL_AT);
    world.note(format!(
        "platform: new answers `ready`: {}",
        new.call("ready")
    ));
    if site.trouble {
        new.kill();
        world.note("the new process is killed (SIGKILL); the old one serves on");
    } else {
        old.signal(SIGTERM);
        world.note("platform: SIGTERM to old");
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    world.sleep_until(CLIENTS_UNTIL + LIFETIME_MS + 3_000);
    let serving = if site.trouble { &mut old } else { &mut new };
    if let Some(status) = serving.ended() {
        return Err(format!("{} has ended: {status}", serving.name));
    }
    world.note(format!(
        "platform: {} answers `ready`: {}",
        serving.name,
        serving.call("ready")
    ));
    Ok(site.judge_lost(KILL_AT + 3_700 + 1_500))
}
