//! An upgrade while messages with the same ordering key come in.

use crate::process::SIGTERM;
use crate::settings::head_office;
use crate::world::{Put, run_clients};
use crate::{Site, Verdict};
use std::time::Duration;

const UPGRADE_AT: u64 = 4_000;
const SIGTERM_AT: u64 = 8_000;
const KILL_AFTER: u64 = 3_700;
const CLIENTS_UNTIL: u64 = 10_000;
const LIFETIME_MS: u64 = 8_000;
/// How long a call takes.
const WORK_MS: u64 = 600;
/// Two messages with one key come this long after one another, and the next two this long after the first of them.
const KEY_GAP_MS: u64 = 450;
const KEY_PAUSE_MS: u64 = 1_900;
const KEYS: u64 = 12;
/// Every time limit is 50 ms longer on sockets.
const SLACK_MS: u64 = 50;

pub fn run(site: &Site) -> Result<Verdict, String> {
    let world = &site.world;
    for dest in 1..=3 {
        for zone in ["bldg-a", "bldg-b"] {
            world.endpoint(dest, zone, "card-issuer", WORK_MS);
        }
    }
    site.write_config(&head_office(), 3.0);
    let mut old = site.start_first("old")?;
    let begin = world.now();
    let mut puts = vec![];
    for key in 1..=KEYS {
        let first = begin + key * KEY_PAUSE_MS / KEYS;
        for pair in (first..CLIENTS_UNTIL).step_by(KEY_PAUSE_MS as usize) {
            puts.extend([pair, pair + KEY_GAP_MS].map(|at| Put {
                at,
                class: "trip-charge",
                tagged: true,
                order_key: key,
                dest: 1 + key % 3,
                lifetime: LIFETIME_MS,
                bytes: 212,
                fresh: true,
            }));
        }
    }
    let clients = run_clients(world, &site.listen, puts);
    let mut from = 0;
    if site.trouble {
        world.sleep_until(UPGRADE_AT);
        let mut new = site.start("new");
        if !new.wait_ready(Duration::from_secs(6)) {
            return Err("the new process is not ready within 6 s".into());
        }
        world.note("platform: new is ready");
        from = world.now();
        world.sleep_until(SIGTERM_AT);
        old.signal(SIGTERM);
        world.note("platform: SIGTERM to old");
        let mut status = None;
        while status.is_none() && world.now() < SIGTERM_AT + KILL_AFTER {
            std::thread::sleep(Duration::from_millis(10));
            status = old.ended();
        }
        world.note(format!("platform: old has ended: {status:?}"));
        old = new;
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    world.sleep_until(CLIENTS_UNTIL + LIFETIME_MS + 500);
    world.note(format!(
        "platform: {} answers `ready`: {}",
        old.name,
        old.call("ready")
    ));
    Ok(judge_order(site, from))
}

/// Judges the rule "order is kept" until SIGTERM: no call goes out for a message while an earlier one with its key, whose
/// client had heard that it is taken on before this one was sent, has not ended. Earlier ones that were taken on before
/// `from` are left out: they were taken on before the new process had begun.
fn judge_order(site: &Site, from: u64) -> Verdict {
    let messages = site.world.messages.lock().expect("a lock").clone();
    let mut broken = vec![];
    let mut pairs = 0;
    for (later_id, later) in messages.iter().filter(|m| m.1.sent + WORK_MS < SIGTERM_AT) {
        for (id, m) in messages.iter().filter(|m| m.1.order_key == later.order_key) {
            if m.taken
                .is_none_or(|taken| taken <= from || taken >= later.sent)
            {
                continue;
            }
            pairs += 1;
            let end = m.end().unwrap_or(u64::MAX);
            let early = later.calls.iter().filter(|call| call.0 + SLACK_MS < end);
            broken.extend(early.map(|call| {
                format!(
                    "out of turn: key {}: {later_id} went out at {} ms, while {id} (taken on at {} ms) was out until {end} ms",
                    m.order_key,
                    call.0,
                    m.taken.unwrap_or(0)
                )
            }));
        }
    }
    site.world.note(format!(
        "result: {} handed in, {} taken on, {pairs} pairs with one key, {} calls out of turn",
        messages.len(),
        messages.values().filter(|m| m.taken.is_some()).count(),
        broken.len()
    ));
    let held = broken.is_empty();
    broken.into_iter().for_each(|line| site.world.note(line));
    if pairs == 0 {
        return Verdict::NotRun("no two messages had one key".into());
    }
    if held { Verdict::Held } else { Verdict::Broken }
}
