//! State files written by an earlier version of the program (commit c1890ee) are still read.

use bellsill_core::interface::MessageId;
use bellsill_daemon::admin::load_disabled;
use bellsill_daemon::journal::{JournaledMessage, MessageJournal, Recovered, Resolution};
use bellsill_test_support::dispatcher_process::DispatcherProcess;
use bellsill_test_support::program;
use std::path::{Path, PathBuf};

const DISK_BYTES: u64 = 10_000_000;
const SECOND: u64 = 1_000_000_000;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// A temporary copy of a fixture directory: opening a journal may compact its file.
struct FixtureCopy(PathBuf);

impl FixtureCopy {
    fn of(name: &str) -> FixtureCopy {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("stored-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        for file in std::fs::read_dir(fixture(name)).unwrap() {
            let file = file.unwrap();
            std::fs::copy(file.path(), directory.join(file.file_name())).unwrap();
        }
        FixtureCopy(directory)
    }
}

impl Drop for FixtureCopy {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).unwrap();
    }
}

/// Checks the two pending messages: the first has two attempts with outcomes, the second one attempt without an
/// outcome.
fn assert_pending(messages: &[JournaledMessage], first: u64) {
    let [idempotent, at_most_once] = messages else {
        panic!("two pending messages: {messages:?}")
    };
    assert_eq!(idempotent.id, MessageId(first));
    assert_eq!(
        (
            idempotent.class.as_str(),
            idempotent.idempotency_key.as_str()
        ),
        ("notice", "key-1")
    );
    assert_eq!((idempotent.key, idempotent.destination), (first % 3, 7));
    assert_eq!(idempotent.body, b"body 1\r\n\0");
    let attempts: Vec<_> = idempotent
        .attempts
        .iter()
        .map(|attempt| (attempt.zone.as_str(), attempt.may_have_run))
        .collect();
    assert_eq!(attempts, [("north", Some(false)), ("south", Some(true))]);
    assert_eq!(
        idempotent.attempts[1].sent_at - idempotent.attempts[0].sent_at,
        1_000_000
    );
    assert_eq!(at_most_once.id, MessageId(first + 1));
    assert_eq!(
        (
            at_most_once.class.as_str(),
            at_most_once.idempotency_key.as_str()
        ),
        ("payment", "")
    );
    assert_eq!(at_most_once.key, (first + 1) % 3);
    assert_eq!(at_most_once.body, b"body 2\r\n\0");
    assert_eq!(at_most_once.attempts.len(), 1);
    assert_eq!(at_most_once.attempts[0].zone, "south");
    assert_eq!(at_most_once.attempts[0].may_have_run, None);
    // They were accepted a moment apart, with times to live one second apart.
    let difference = at_most_once.deadline - idempotent.deadline;
    assert!(
        (SECOND..SECOND + SECOND / 10).contains(&difference),
        "{difference} ns"
    );
}

fn ids(numbers: std::ops::Range<u64>) -> Vec<MessageId> {
    numbers.map(MessageId).collect()
}

/// Adopts other journals; returns what was adopted, and whether adoption is incomplete.
fn adopt(journal: &mut MessageJournal) -> (Recovered, bool) {
    let adopted = journal.adopt();
    (adopted.recovered, adopted.is_incomplete)
}

#[test]
fn a_journal_with_every_kind_of_record_is_read() {
    let directory = FixtureCopy::of("journal");
    let (mut journal, recovered) = MessageJournal::open(&directory.0, DISK_BYTES).unwrap();
    assert_eq!(
        recovered.messages.len(),
        4,
        "two own and two adopted messages"
    );
    assert_pending(&recovered.messages[..2], 0x11);
    assert_pending(&recovered.messages[2..], 0x21);
    assert_eq!(
        recovered.pending_notifications,
        [
            (MessageId(0x14), Resolution::Failed),
            (
                MessageId(0x15),
                Resolution::Rejected {
                    retry_after: 1_500_000_000
                }
            ),
            (MessageId(0x24), Resolution::Failed),
            (
                MessageId(0x25),
                Resolution::Rejected {
                    retry_after: 1_500_000_000
                }
            ),
        ]
    );
    assert_eq!(adopt(&mut journal), (Recovered::default(), false));
    let resolved = journal.take_resolved();
    assert_eq!(&resolved[..4], ids(0x13..0x17));
}

#[test]
fn a_journal_with_a_torn_tail_is_read_up_to_it() {
    let directory = FixtureCopy::of("journal-torn");
    let (_, recovered) = MessageJournal::open(&directory.0, DISK_BYTES).unwrap();
    assert_pending(&recovered.messages, 0x11);
    let pending = [
        (MessageId(0x14), Resolution::Failed),
        (
            MessageId(0x15),
            Resolution::Rejected {
                retry_after: 1_500_000_000,
            },
        ),
        // The torn record is the platform's confirmation of this notification.
        (MessageId(0x16), Resolution::Failed),
    ];
    assert_eq!(recovered.pending_notifications, pending);
}

#[test]
fn the_journal_of_another_process_is_adopted() {
    let directory = FixtureCopy::of("journal-to-adopt");
    let (mut journal, recovered) = MessageJournal::open(&directory.0, DISK_BYTES).unwrap();
    assert_pending(&recovered.messages, 0x11);
    let (adopted, is_incomplete) = adopt(&mut journal);
    assert!(!is_incomplete);
    assert_pending(&adopted.messages, 0x21);
    assert_eq!(
        adopted.pending_notifications,
        [
            (MessageId(0x24), Resolution::Failed),
            (
                MessageId(0x25),
                Resolution::Rejected {
                    retry_after: 1_500_000_000
                }
            ),
        ]
    );
    let all = [ids(0x13..0x17), ids(0x23..0x27)].concat();
    assert_eq!(journal.take_resolved(), all);
    // Opens a copy: a process that another test is just starting may have inherited the file, and with it the lock.
    let copy = directory.0.join("again");
    std::fs::create_dir(&copy).unwrap();
    std::fs::copy(directory.0.join("mails"), copy.join("mails")).unwrap();
    let (_, again) = MessageJournal::open(&copy, DISK_BYTES).unwrap();
    assert_eq!(
        (again.messages.len(), again.pending_notifications.len()),
        (4, 4)
    );
}

#[test]
fn the_list_of_disabled_endpoints_is_read() {
    let disabled = load_disabled(&fixture("disabled")).unwrap();
    assert!(disabled.iter().eq(["endpoint-2", "s-5be2a07c"]));
}

#[test]
fn the_scope_file_is_read() {
    let mut process = DispatcherProcess::new(program!(), &[]);
    process.config["mgmt"] = process.admin_addr(0).into();
    std::fs::copy(fixture("scope"), process.dir.join("state/scope")).unwrap();
    let installation = process.dir.join("installation.toml");
    // No process listens on the address of the control process.
    let text = "dispatcher = \"d1\"\nzone = \"north\"\ncontrol = [\"127.0.0.1:1\"]\nbuckets_per_region = 4\n\
        cache_destinations = 8\n\
        zones = [{name = \"north\", region = \"a\"}, {name = \"south\", region = \"b\"}]\n";
    std::fs::write(&installation, text).unwrap();
    let mut command = process.command("serve");
    command.arg("--installation").arg(&installation);
    process.start_command(command);
    let metric = |name: &str| process.metric(&format!("scope.{name}"));
    assert_eq!((metric("destinations"), metric("cached")), (3, 1));
    assert_eq!((metric("version"), metric("refused_files")), (3, 0));
}
