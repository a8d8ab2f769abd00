//! The journal's file, without a dispatcher: against a model, and after damage, a kill or another process.

mod property;

use bellsill_core::interface::{MessageId, Nanos};
use bellsill_daemon::clock;
use bellsill_daemon::journal::{
    JournalError, JournaledAttempt, JournaledMessage, MessageJournal, Recovered, Resolution,
};
use property::check;
use std::io::Write;
use std::path::PathBuf;

/// A folder that is removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{name}-{}", std::process::id()));
        // Of an earlier run that was killed, if any.
        std::fs::remove_dir_all(&path).ok();
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    /// What its files take of the disk, in whole blocks.
    fn size(&self) -> u64 {
        let files = std::fs::read_dir(&self.0).unwrap().flatten();
        files
            .map(|f| f.metadata().unwrap().len().div_ceil(512) * 512)
            .sum()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

/// Behavior one step on the journal and on the model of what it holds.
fn step(
    journal: &mut MessageJournal,
    model: &mut Recovered,
    (action, number, size): (u8, u8, u16),
) -> Result<(), JournalError> {
    let id = MessageId(u64::from(number % 16));
    let position = model.messages.iter().position(|m| m.id == id);
    match (action % 6, position) {
        (0 | 1, None) if !model.pending_notifications.iter().any(|o| o.0 == id) => {
            let message = JournaledMessage {
                id,
                class: "notice".into(),
                key: u64::from(action),
                destination: u64::from(size),
                deadline: Nanos::from(size) * 1_000,
                idempotency_key: format!("t{number}"),
                body: vec![action; usize::from(size % 4096)],
                attempts: vec![],
            };
            journal.append_accepted(&message)?;
            model.messages.push(message);
        }
        (2, Some(position)) => {
            journal.append_attempt(id, Nanos::from(size), "north")?;
            let attempt = JournaledAttempt {
                sent_at: Nanos::from(size),
                zone: "north".into(),
                may_have_run: None,
            };
            model.messages[position].attempts.push(attempt);
        }
        (3, Some(position)) if !model.messages[position].attempts.is_empty() => {
            journal.append_outcome(id, size % 2 == 0)?;
            model.messages[position]
                .attempts
                .last_mut()
                .unwrap()
                .may_have_run = Some(size % 2 == 0);
        }
        (4, Some(position)) => {
            let resolution = [
                None,
                Some(Resolution::Failed),
                Some(Resolution::Rejected {
                    retry_after: Nanos::from(size),
                }),
            ][size as usize % 3];
            journal.append_resolved(id, resolution)?;
            model.messages.remove(position);
            model
                .pending_notifications
                .extend(resolution.map(|e| (id, e)));
        }
        (5, _) if model.pending_notifications.iter().any(|o| o.0 == id) => {
            journal.append_notified(id)?;
            model.pending_notifications.retain(|o| o.0 != id);
        }
        _ => {}
    }
    Ok(())
}

/// What the journal adopts, and whether it has to try again.
fn adopt(journal: &mut MessageJournal) -> (Recovered, bool) {
    let adopted = journal.adopt();
    (adopted.recovered, adopted.is_incomplete)
}

#[test]
fn a_reopened_journal_holds_what_was_written_within_its_quota() {
    fn property(steps: Vec<(u8, u8, u16)>, torn: Vec<u8>) -> bool {
        const QUOTA: u64 = 60_000;
        let folder = Folder::new("journal");
        let (mut journal, recovered) = MessageJournal::open(&folder.0, QUOTA).unwrap();
        let mut model = recovered;
        // Many times over, so that the file is compacted again and again.
        for (i, one) in steps.iter().cycle().take(steps.len() * 10).enumerate() {
            // A full journal rejects messages and attempts and stays as it was; it must not reject what ends them.
            let rejected = step(&mut journal, &mut model, *one).is_err();
            assert!(!rejected || one.0 % 6 < 3, "step {one:?} rejected");
            assert!(folder.size() <= QUOTA, "{} bytes of {QUOTA}", folder.size());
            if i % 50 == 49 {
                drop(journal);
                let path = folder.0.join("mails");
                std::fs::OpenOptions::new()
                    .append(true)
                    .open(path)
                    .unwrap()
                    .write_all(&torn)
                    .unwrap();
                let (opened, mut recovered) = MessageJournal::open(&folder.0, QUOTA).unwrap();
                recovered.pending_notifications.sort_by_key(|o| o.0);
                model.pending_notifications.sort_by_key(|o| o.0);
                assert_eq!(recovered, model);
                journal = opened;
            }
        }
        true
    }
    check(20, property as fn(Vec<(u8, u8, u16)>, Vec<u8>) -> bool);
}

#[test]
fn an_interrupted_compaction_leaves_the_old_journal() {
    let folder = Folder::new("compaction");
    let (mut journal, mut model) = MessageJournal::open(&folder.0, 60_000).unwrap();
    step(&mut journal, &mut model, (0, 1, 100)).unwrap();
    drop(journal);
    std::fs::write(folder.0.join("mails.next"), b"half").unwrap();
    let (_, recovered) = MessageJournal::open(&folder.0, 60_000).unwrap();
    assert!(recovered == model && !folder.0.join("mails.next").exists());
}

#[test]
fn a_journal_adopts_another_once_its_process_has_ended() {
    let folder = Folder::new("adopt");
    let (mut old, mut model) = MessageJournal::open(&folder.0, 60_000).unwrap();
    for one in [
        (0, 1, 100),
        (0, 2, 50),
        (2, 1, 7),
        (3, 1, 1),
        (0, 3, 9),
        (4, 3, 1),
    ] {
        step(&mut old, &mut model, one).unwrap();
    }
    let (mut new, recovered) = MessageJournal::open(&folder.0, 60_000).unwrap();
    assert_eq!(recovered, Recovered::default());
    // While a process holds the old one, nothing of it is adopted.
    let (adopted, held) = adopt(&mut new);
    assert!(held && adopted == Recovered::default());
    drop(old);
    let (adopted, held) = adopt(&mut new);
    assert!(!held && adopted == model && !folder.0.join("mails").exists());
    // What was adopted is the new one's own from now on: opened again, it is there once.
    drop(new);
    let (mut again, recovered) = MessageJournal::open(&folder.0, 60_000).unwrap();
    let (adopted, held) = adopt(&mut again);
    assert!(!held && recovered == Recovered::default() && adopted == model);
}

/// Of a journal adopted by half, the rest would have been lost, and messages that ended since taken for new.
#[test]
fn a_journal_without_capacity_adopts_another_completely_later() {
    let folder = Folder::new("adopt-later");
    let (mut old, mut model) = MessageJournal::open(&folder.0, 60_000).unwrap();
    for n in 0..5 {
        step(&mut old, &mut model, (0, n, 4_000)).unwrap();
    }
    let (mut new, _) = MessageJournal::open(&folder.0, 60_000).unwrap();
    let mut own = Recovered::default();
    for n in 8..13 {
        step(&mut new, &mut own, (0, n, 4_000)).unwrap();
    }
    drop(old);
    assert_eq!(adopt(&mut new), (Recovered::default(), true));
    for n in 8..13 {
        step(&mut new, &mut own, (4, n, 0)).unwrap();
    }
    assert_eq!(adopt(&mut new), (model, false));
}

/// A message whose deadline is far in the future of the dispatcher's clock.
fn message(id: u64) -> JournaledMessage {
    JournaledMessage {
        id: MessageId(id),
        class: "payment".into(),
        key: 0,
        destination: 7,
        deadline: clock::now() + 1_000_000_000_000,
        idempotency_key: String::new(),
        body: vec![b'x'; 300],
        attempts: vec![],
    }
}

/// A record as every version of the journal frames it.
fn framed(payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_le_bytes();
    let checksum = crc32fast::hash(payload).to_le_bytes();
    [&length[..], &checksum[..], payload].concat()
}

/// Numbers as records have them.
fn numbers(numbers: &[u64]) -> Vec<u8> {
    numbers.iter().flat_map(|n| n.to_le_bytes()).collect()
}

/// Bytes as records have them, after their length.
fn text(bytes: &[u8]) -> Vec<u8> {
    [&(bytes.len() as u32).to_le_bytes()[..], bytes].concat()
}

/// The files of earlier versions have these bytes, and later versions read them.
#[test]
fn each_kind_of_record_has_its_recorded_format() {
    let folder = Folder::new("format");
    let (mut other, _) = MessageJournal::open(&folder.0, 60_000).unwrap();
    other.append_accepted(&message(8)).unwrap();
    let (mut journal, _) = MessageJournal::open(&folder.0, 60_000).unwrap();
    let accepted = message(9);
    journal.append_accepted(&accepted).unwrap();
    journal.append_attempt(MessageId(9), 5, "north").unwrap();
    journal.append_outcome(MessageId(9), true).unwrap();
    let rejected = Resolution::Rejected { retry_after: 7 };
    for resolution in [None, Some(Resolution::Failed), Some(rejected)] {
        journal.append_resolved(MessageId(9), resolution).unwrap();
    }
    journal.append_notified(MessageId(9)).unwrap();
    drop(other);
    let source = std::fs::read(folder.0.join("mails")).unwrap();
    assert_eq!(adopt(&mut journal).0.messages.len(), 1);

    let accepted_record = |message: &JournaledMessage| {
        let head = numbers(&[message.id.0, 0, 7, message.deadline]);
        let rest = [text(b"payment"), text(b""), text(&message.body)].concat();
        framed(&[b"M", &head[..], &rest[..]].concat())
    };
    let bytes = std::fs::read(folder.0.join("mails.1")).unwrap();
    let clock_length = u32::from_le_bytes(bytes[..4].try_into().unwrap()) as usize;
    let (clock, records) = bytes.split_at(8 + clock_length);
    assert_eq!(clock[8..17], *b"S\0\0\0\0\0\0\0\0");
    // Two times, and the id of the boot after its length.
    let boot_id_length = u32::from_le_bytes(clock[33..37].try_into().unwrap()) as usize;
    assert_eq!(clock.len(), 37 + boot_id_length);
    let adopted = &source[source.len() - accepted_record(&accepted).len()..];
    let source_length = (source.len() as u64).to_le_bytes();
    let source_checksum = crc32fast::hash(&source).to_le_bytes();
    let expected = [
        accepted_record(&accepted),
        framed(&[b"C", &numbers(&[9, 5])[..], &text(b"north")].concat()),
        framed(&[b"O", &numbers(&[9])[..], &[1]].concat()),
        framed(&[b"E", &numbers(&[9])[..], &[0], &numbers(&[0])].concat()),
        framed(&[b"E", &numbers(&[9])[..], &[1], &numbers(&[0])].concat()),
        framed(&[b"E", &numbers(&[9])[..], &[2], &numbers(&[7])].concat()),
        framed(&[b"N", &numbers(&[9])[..]].concat()),
        framed(
            &[
                b"A",
                &numbers(&[0])[..],
                &source_length,
                &source_checksum,
                &text(adopted),
            ]
            .concat(),
        ),
    ];
    assert_eq!(records, expected.concat());
}

/// Damage in the middle of a file is not its end: what follows is read, and the file is complete afterwards.
#[test]
fn records_behind_damaged_bytes_are_read() {
    let folder = Folder::new("damage");
    let path = folder.0.join("mails");
    let (mut journal, _) = MessageJournal::open(&folder.0, 60_000).unwrap();
    (1..=3).for_each(|id| journal.append_accepted(&message(id)).unwrap());
    drop(journal);
    let mut bytes = std::fs::read(&path).unwrap();
    let record = (bytes.len() - 80) / 3;
    let second = bytes.len() - 2 * record + 40;
    bytes[second..second + 20].fill(0xee);
    std::fs::write(&path, &bytes).unwrap();
    for _ in 0..2 {
        let (_, recovered) = MessageJournal::open(&folder.0, 60_000).unwrap();
        let ids: Vec<u64> = recovered
            .messages
            .iter()
            .map(|message| message.id.0)
            .collect();
        assert_eq!(ids, [1, 3], "all but the damaged one");
    }
}

/// A journal of a program that had its times on the wall clock is still read.
#[test]
fn an_older_journal_s_times_are_translated_to_the_dispatcher_s_clock() {
    let folder = Folder::new("older");
    let deadline = clock::wall_now() + 60_000_000_000;
    let fields = [
        vec![b'M'],
        numbers(&[9, 5, 7, deadline]),
        text(b"notice"),
        text(b"t"),
        text(b"body"),
    ]
    .concat();
    std::fs::write(folder.0.join("mails"), framed(&fields)).unwrap();
    for _ in 0..2 {
        let (_, recovered) = MessageJournal::open(&folder.0, 60_000).unwrap();
        let remaining = recovered.messages[0].deadline.saturating_sub(clock::now());
        assert!(
            (50_000_000_000..=60_000_000_000).contains(&remaining),
            "{remaining} ns left"
        );
        assert_eq!(
            (recovered.messages[0].id.0, recovered.messages[0].key),
            (9, 5)
        );
    }
}

#[test]
fn a_message_beyond_the_quota_fails_with_disk_quota() {
    let folder = Folder::new("quota");
    let (mut journal, _) = MessageJournal::open(&folder.0, 4_000).unwrap();
    let appended: Vec<_> = (0..10)
        .map(|id| journal.append_accepted(&message(id)))
        .collect();
    assert!(appended[0].is_ok());
    assert!(matches!(appended[9], Err(JournalError::DiskQuota)));
    assert!(!journal.has_unwritten(), "a full quota is no fault");
}
