//! The watch on discovery: followed over breaks, and moved on SIGHUP.

mod common;

use common::*;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::io::Read;
use std::sync::atomic::Ordering;

#[test]
fn the_watch_is_followed_over_splits_bad_lines_and_breaks() {
    let (first, second) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut rig = Rig::new(&[(&first, 7)]);
    rig.start();
    let mut client = rig.client();
    let tell = |version: u64, entries: Vec<Value>| {
        rig.platform.tell("\n{\"not\": json\n{\"version\":true}\n\n");
        let line = json!({"version": version, "full": false, "servers": entries});
        rig.platform.tell(&format!("{line}\n"));
    };
    let nonsense = json!({"id": "e9", "addr": "nowhere", "zone": "z", "kind": "k", "cell": 7, "state": "up"});
    tell(2, vec![nonsense, second.entry("e1", 7, "up"), first.entry("e0", 7, "draining")]);
    wait_for("mails at the newcomer", || {
        client.mail("notice", 7, 8000, "to whom");
        !second.calls().is_empty()
    });
    for _ in 0..10 {
        client.mail("notice", 7, 8000, "not to the first");
    }
    let bodies = |e: &Endpoint, body: &str| e.calls().iter().filter(|c| c.body == body).count();
    wait_for("all of them", || bodies(&second, "not to the first") == 10);
    assert_eq!(bodies(&first, "not to the first"), 0);
    // The watch breaks: it is taken up again after the last version, and goes on.
    for watch in rig.platform.watches.lock().unwrap().drain(..) {
        watch.shutdown(std::net::Shutdown::Both).unwrap();
    }
    let since = || rig.platform.since.lock().unwrap().last().cloned().unwrap();
    wait_for("a new watch", || since().contains("since=2 "));
    tell(3, vec![first.entry("e0", 7, "up"), second.entry("e1", 7, "removed")]);
    wait_for("mails at the first again", || {
        client.mail("notice", 7, 8000, "back");
        bodies(&first, "back") > 0
    });
}

#[test]
fn of_an_endpoint_twice_in_one_list_nothing_new_goes_to_it_if_it_drains() {
    let (first, second) = (Endpoint::start(OK), Endpoint::start(OK));
    let mut rig = Rig::new(&[(&first, 7), (&second, 7)]);
    let servers = rig.json["known"]["servers"].as_array_mut().unwrap();
    let drains = first.entry("e0", 7, "draining");
    servers.insert(0, drains);
    let twice = second.entry("e1", 7, "up");
    servers.push(twice);
    rig.start();
    let mut client = rig.client();
    for n in 1..9 {
        client.mail("payment", 7, 8000, "x");
        wait_for("the mail at the second", || second.calls().len() == n || !first.calls().is_empty());
    }
    assert_eq!(first.calls().len(), 0);
}

#[test]
fn a_watch_that_falls_silent_is_asked_for_anew_from_where_it_was() {
    let mut rig = Rig::new(&[]);
    rig.start();
    rig.platform.tell(&format!("{}\n", json!({"version": 5, "full": false, "servers": []})));
    // The stand-in keeps the connection open and sends nothing more.
    wait_for("another watch", || rig.platform.since.lock().unwrap().iter().any(|s| s.contains("since=5 ")));
}

#[test]
fn on_sighup_discovery_moves_and_a_bad_configuration_is_not_taken() {
    let (failing, other) = (Endpoint::start(Does::Says("500 Oops")), Endpoint::start(OK));
    let mut rig = Rig::new(&[(&failing, 7)]);
    rig.platform.deaf.store(true, Ordering::SeqCst);
    rig.start();
    rig.platform.tell(&format!("{}\n", json!({"version": 90, "full": false, "servers": []})));
    let mut client = rig.client();
    let once = client.mail("payment", 7, 8000, "may have run");
    wait_for("the call", || failing.calls().len() == 1);
    let old = std::mem::replace(&mut rig.platform, Platform::start());
    // What cannot be taken changes nothing.
    std::fs::write(rig.folder.join("config.json"), "{\"listen\":").unwrap();
    rig.signal(Signal::HUP);
    assert_eq!(client.says(b"PING\r\n"), "+PONG");
    rig.json["discovery"] = "nowhere".into();
    drop(rig.command("check"));
    rig.signal(Signal::HUP);
    assert_eq!(client.says(b"PING\r\n"), "+PONG");
    assert_eq!(rig.platform.since.lock().unwrap().len(), 0);
    // A new discovery takes over the watch, from the beginning, and the notices that are owed; the rest stays.
    rig.json["discovery"] = rig.platform.addr.clone().into();
    rig.json["listen"] = "127.0.0.1:1".into();
    drop(rig.command("check"));
    rig.signal(Signal::HUP);
    wait_for("the notice", || rig.platform.notice(&once).is_some());
    rig.platform
        .tell(&format!("{}\n", json!({"version": 3, "full": true, "servers": [other.entry("e1", 7, "up")]})));
    assert!(rig.platform.since.lock().unwrap()[0].contains("since=0 "));
    wait_for("a mail by the new list", || {
        client.mail("notice", 7, 8000, "to whom");
        !other.calls().is_empty()
    });
    let mut end = [0];
    wait_for("the end of the old watch", || {
        old.watches.lock().unwrap().iter().all(|w| matches!((&*w).read(&mut end), Ok(0)))
    });
}
