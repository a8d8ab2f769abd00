//! What the journal carries over a kill to the next process or the one beside, and its room on the disk.

mod common;

use bellsill_daemon::journal::Recovered;
use common::*;
use serde_json::json;
use std::sync::atomic::Ordering;

#[test]
fn after_sigkill_each_message_goes_on_as_its_class_allows() {
    let (hung, shut) = (
        Endpoint::start(Does::Hangs),
        Endpoint::start(Does::Says("429 Full\r\nRetry-After: 1000")),
    );
    let mut rig = Rig::new(&[(&hung, 7), (&shut, 8)]);
    rig.json["settings"]["services"][0]["window-ns"] = json!(60_000_000_000u64);
    rig.start();
    let mut client = rig.client();
    let (tagged, once) = (
        client.message("notice", 7, 19_000, "t"),
        client.message("payment", 7, 19_000, "o"),
    );
    wait_for("both calls", || hung.calls().len() == 2);
    let waits = client.message("payment", 8, 19_000, "w");
    wait_for("a refusal", || rig.never_ran(&waits));
    rig.kill();
    hung.does(OK);
    shut.does(OK);
    rig.start();
    wait_for("the tagged message again", || {
        hung.calls().iter().filter(|c| c.body == "t").count() == 2
    });
    wait_for("the message that never ran", || {
        shut.calls().iter().filter(|c| c.body == "w").count() == 2
    });
    wait_for("the end of the other", || {
        rig.platform.notice(&once).is_some()
    });
    assert_eq!(rig.platform.notice(&once).unwrap()["result"], "dead");
    assert_eq!(
        hung.calls().iter().filter(|c| c.body == "o").count(),
        1,
        "it may have run"
    );
    wait_for("all to be over", || rig.kept() == Recovered::default());
    assert_eq!(
        rig.platform.notices().len(),
        1,
        "{tagged} and {waits} are relayed"
    );
    // Relayed messages are over: the next process does nothing for them.
    rig.kill();
    rig.start();
    let last = rig.client().message("notice", 7, 8000, "last");
    wait_for("a later message", || {
        hung.calls().iter().any(|c| c.header("X-Trace-Id") == last)
    });
    assert_eq!(
        (
            hung.calls().len(),
            shut.calls().len(),
            rig.platform.notices().len()
        ),
        (4, 2, 1)
    );
}

#[test]
fn a_notice_is_owed_until_the_platform_has_it() {
    let e = Endpoint::start(Does::Says("500 Oops"));
    let full = Endpoint::start(Does::Says("429 Full\r\nRetry-After: 1000"));
    let mut rig = Rig::new(&[(&e, 7), (&full, 99)]);
    rig.platform.deaf.store(true, Ordering::SeqCst);
    rig.start();
    let mut client = rig.client();
    let once = client.message("payment", 7, 8000, "may have run");
    wait_for("the call", || e.calls().len() == 1);
    let unserved = client.message("notice", 99, 100, "nowhere to go");
    rig.kill();
    rig.start();
    assert_eq!(rig.platform.notices().len(), 0);
    rig.platform.deaf.store(false, Ordering::SeqCst);
    wait_for("both notices", || rig.platform.notices().len() >= 2);
    assert_eq!(rig.platform.notice(&once).unwrap()["result"], "dead");
    let bounced = rig.platform.notice(&unserved).unwrap();
    assert!(bounced["result"] == "bounced" && bounced["wait_ms"].is_u64());
    assert_eq!(e.calls().len(), 1);
}

#[test]
fn a_second_process_in_a_folder_in_use_starts_beside_it_and_takes_over_its_messages() {
    let hung = Endpoint::start(Does::Hangs);
    let mut rig = Rig::new(&[(&hung, 7)]);
    rig.json["settings"]["services"][0]["window-ns"] = json!(60_000_000_000u64);
    rig.start();
    let mut client = rig.client();
    let (tagged, once) = (
        client.message("notice", 7, 19_000, "t"),
        client.message("payment", 7, 19_000, "o"),
    );
    wait_for("both calls", || hung.calls().len() == 2);
    // A new version: the same folder and the same clients' address, while the old one still runs.
    let mut old = rig.child.take().unwrap();
    rig.start();
    let state = rig.folder.join("state");
    wait_for("a journal of its own", || state.join("mails.1").exists());
    assert!(
        old.try_wait().unwrap().is_none()
            && rig.child.as_mut().unwrap().try_wait().unwrap().is_none()
    );
    hung.does(OK);
    old.kill().unwrap();
    old.wait().unwrap();
    wait_for("the old journal taken over", || {
        !state.join("mails").exists()
    });
    wait_for("the tagged message again", || {
        hung.calls().iter().filter(|c| c.body == "t").count() == 2
    });
    wait_for("the end of the once-only one", || {
        rig.platform.notice(&once).is_some()
    });
    assert_eq!(rig.platform.notice(&once).unwrap()["result"], "dead");
    assert_eq!(
        hung.calls().iter().filter(|c| c.body == "o").count(),
        1,
        "it may have run"
    );
    assert_eq!(rig.platform.notices().len(), 1, "{tagged} is relayed");
    // What was taken over is not done again by the process after it. Killed before it has read the platform's answer, this
    // one would leave the notice owed, to be told once more: that does no harm, but is not what is shown here.
    wait_for("the ends in the journal", || {
        rig.kept_in("mails.1") == Recovered::default()
    });
    rig.kill();
    rig.start();
    let last = rig.client().message("notice", 7, 8000, "last");
    wait_for("a later message", || {
        hung.calls().iter().any(|c| c.header("X-Trace-Id") == last)
    });
    assert_eq!((hung.calls().len(), rig.platform.notices().len()), (4, 1));
}

#[test]
fn the_disk_limit_is_kept_and_told_as_busy() {
    let e = Endpoint::start(Does::Says("429 Full\r\nRetry-After: 1"));
    let mut rig = Rig::new(&[(&e, 7)]);
    rig.json["limits"]["disk_mb"] = json!(0.4);
    rig.start();
    let mut client = rig.client();
    let body = "x".repeat(30_000);
    let used = || {
        let files = std::fs::read_dir(rig.folder.join("state"))
            .unwrap()
            .flatten();
        files
            .map(|f| f.metadata().map_or(0, |m| m.len().div_ceil(512) * 512))
            .sum::<u64>()
    };
    let mut answers = Vec::new();
    for _ in 0..40 {
        let id = fresh();
        answers.push(client.says(&put(&id, "c=payment,d=20000,k=x,dest=7", &body)));
        assert!(used() <= 400_000);
    }
    assert_eq!(
        (answers[0].as_str(), answers[39].as_str()),
        ("+OK", "-BUSY")
    );
    // Once messages are over there is room again, however much was written before.
    e.does(OK);
    wait_for("room for many more", || {
        let answer = client.says(&put(&fresh(), "c=notice,d=20000,k=x,dest=7", &body));
        assert!(used() <= 400_000);
        e.calls().len() > 40 && answer == "+OK"
    });
}
