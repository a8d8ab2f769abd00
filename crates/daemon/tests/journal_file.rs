//! Tests the journal's file without a dispatcher: against a model, and after damage, an interrupted compaction or
//! adoption.

mod property;

use bellsill_core::interface::{MessageId, Nanos};
use bellsill_daemon::clock;
use bellsill_daemon::journal::{
    JournalError, JournaledAttempt, JournaledMessage, MessageJournal, Recovered, Resolution,
};
use property::check;
use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;

/// A temporary directory that is removed when dropped.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(name: &str) -> TempDirectory {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{name}-{}", std::process::id()));
        // An earlier run that was killed may have left the directory.
        std::fs::remove_dir_all(&path).ok();
        std::fs::create_dir_all(&path).unwrap();
        TempDirectory(path)
    }

    /// The disk usage of its files, in whole blocks.
    fn disk_bytes(&self) -> u64 {
        let files = std::fs::read_dir(&self.0).unwrap().flatten();
        files
            .map(|f| f.metadata().unwrap().len().div_ceil(512) * 512)
            .sum()
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

/// Applies one step to the journal and, if that succeeds, to the model of its contents.
fn apply_step(
    journal: &mut MessageJournal,
    model: &mut Recovered,
    (action, number, size): (u8, u8, u16),
) -> Result<(), JournalError> {
    let id = MessageId(u64::from(number % 16));
    let position = model.messages.iter().position(|m| m.id == id);
    let mut pending_ids = model.pending_notifications.iter().map(|pending| pending.0);
    let is_pending = pending_ids.any(|pending| pending == id);
    match (action % 6, position) {
        (0 | 1, None) if !is_pending => {
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
                .extend(resolution.map(|resolution| (id, resolution)));
        }
        (5, _) if is_pending => {
            journal.append_notified(id)?;
            model
                .pending_notifications
                .retain(|pending| pending.0 != id);
        }
        _ => {}
    }
    Ok(())
}

/// Adopts other journals; returns what was adopted, and whether adoption is incomplete.
fn adopt(journal: &mut MessageJournal) -> (Recovered, bool) {
    let adopted = journal.adopt();
    (adopted.recovered, adopted.is_incomplete)
}

#[test]
fn a_reopened_journal_holds_what_was_written_within_its_quota() {
    fn property(steps: Vec<(u8, u8, u16)>, torn: Vec<u8>) -> bool {
        const QUOTA: u64 = 60_000;
        let directory = TempDirectory::new("journal");
        let (mut journal, recovered) = MessageJournal::open(&directory.0, QUOTA).unwrap();
        let mut model = recovered;
        // Repeats the steps so that the file is compacted several times.
        for (i, &step) in steps.iter().cycle().take(steps.len() * 10).enumerate() {
            // A full journal rejects new messages and attempts and stays unchanged; it must not reject records that end
            // them.
            let rejected = apply_step(&mut journal, &mut model, step).is_err();
            assert!(!rejected || step.0 % 6 < 3, "step {step:?} rejected");
            assert!(
                directory.disk_bytes() <= QUOTA,
                "{} bytes of {QUOTA}",
                directory.disk_bytes()
            );
            if i % 50 == 49 {
                drop(journal);
                let path = directory.0.join("mails");
                std::fs::OpenOptions::new()
                    .append(true)
                    .open(path)
                    .unwrap()
                    .write_all(&torn)
                    .unwrap();
                let (opened, mut recovered) = MessageJournal::open(&directory.0, QUOTA).unwrap();
                recovered
                    .pending_notifications
                    .sort_by_key(|pending| pending.0);
                model.pending_notifications.sort_by_key(|pending| pending.0);
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
    let directory = TempDirectory::new("compaction");
    let (mut journal, mut model) = MessageJournal::open(&directory.0, 60_000).unwrap();
    apply_step(&mut journal, &mut model, (0, 1, 100)).unwrap();
    drop(journal);
    std::fs::write(directory.0.join("mails.next"), b"half").unwrap();
    let (_, recovered) = MessageJournal::open(&directory.0, 60_000).unwrap();
    assert!(recovered == model && !directory.0.join("mails.next").exists());
}

#[test]
fn a_journal_adopts_another_once_its_process_has_ended() {
    let directory = TempDirectory::new("adopt");
    let (mut old, mut model) = MessageJournal::open(&directory.0, 60_000).unwrap();
    for step in [
        (0, 1, 100),
        (0, 2, 50),
        (2, 1, 7),
        (3, 1, 1),
        (0, 3, 9),
        (4, 3, 1),
    ] {
        apply_step(&mut old, &mut model, step).unwrap();
    }
    let (mut new, recovered) = MessageJournal::open(&directory.0, 60_000).unwrap();
    assert_eq!(recovered, Recovered::default());
    // While a process holds the old journal, nothing is adopted from it.
    let (adopted, is_incomplete) = adopt(&mut new);
    assert!(is_incomplete && adopted == Recovered::default());
    drop(old);
    let (adopted, is_incomplete) = adopt(&mut new);
    assert!(!is_incomplete && adopted == model && !directory.0.join("mails").exists());
    // The adopted records now belong to the new journal: opened again, they are there exactly once.
    drop(new);
    let (mut again, recovered) = MessageJournal::open(&directory.0, 60_000).unwrap();
    let (adopted, is_incomplete) = adopt(&mut again);
    assert!(!is_incomplete && recovered == Recovered::default() && adopted == model);
}

/// Guards against messages without an owner, because adoption waits for space for a copy (issue 56), and against partial
/// adoption, which would lose the rest of the journal or treat messages that have ended since as new.
#[test]
fn a_journal_without_capacity_adopts_another_completely_at_once_and_merges_it_later() {
    let directory = TempDirectory::new("adopt-later");
    let (mut old, mut model) = MessageJournal::open(&directory.0, 60_000).unwrap();
    for n in 0..5 {
        apply_step(&mut old, &mut model, (0, n, 4_000)).unwrap();
    }
    let (mut new, _) = MessageJournal::open(&directory.0, 60_000).unwrap();
    let mut own = Recovered::default();
    for n in 8..13 {
        apply_step(&mut new, &mut own, (0, n, 4_000)).unwrap();
    }
    drop(old);
    assert!(adopt(&mut new) == (model.clone(), true) && directory.0.join("mails").exists());
    assert!(adopt(&mut new) == (Recovered::default(), true));
    for n in 8..13 {
        apply_step(&mut new, &mut own, (4, n, 0)).unwrap();
    }
    assert!(adopt(&mut new) == (Recovered::default(), false));
    assert!(!directory.0.join("mails").exists());
    drop(new);
    let (mut again, _) = MessageJournal::open(&directory.0, 60_000).unwrap();
    assert!(adopt(&mut again) == (model, false));
}

/// Guards against a message that is adopted again after its end: a journal that was merged and could not be emptied was read
/// again after the one that names it had been merged in turn.
#[test]
fn a_merged_journal_that_was_not_emptied_is_not_adopted_again_after_a_further_merge() {
    let directory = TempDirectory::new("merged-twice");
    let open = || MessageJournal::open(&directory.0, 60_000).unwrap().0;
    let [mut first, mut second, mut third] = [open(), open(), open()];
    third.append_accepted(&message(1)).unwrap();
    third.append_accepted(&message(2)).unwrap();
    drop(third);
    let source_path = directory.0.join("mails.2");
    let source = std::fs::read(&source_path).unwrap();
    assert_eq!(adopt(&mut second).0.messages.len(), 2);
    // As if the file could not be emptied.
    std::fs::write(&source_path, &source).unwrap();
    second.append_resolved(MessageId(1), None).unwrap();
    drop(second);
    // A process that is about to read the file holds its lock while the first one merges the second one's journal.
    let held = std::fs::File::open(&source_path).unwrap();
    held.lock().unwrap();
    assert_eq!(adopt(&mut first).0.messages.len(), 1);
    assert!(!directory.0.join("mails.1").exists(), "it was merged");
    drop(held);
    let (adopted, is_incomplete) = adopt(&mut first);
    assert_eq!(adopted, Recovered::default());
    assert!(!is_incomplete && !source_path.exists());
}

/// A message with a deadline 1000 s ahead on the dispatcher's clock.
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

/// Frames a payload as a record, independently of the journal's code.
fn frame(payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_le_bytes();
    let checksum = crc32fast::hash(payload).to_le_bytes();
    [&length[..], &checksum[..], payload].concat()
}

/// Encodes numbers as records contain them.
fn encode_numbers(values: &[u64]) -> Vec<u8> {
    values.iter().flat_map(|n| n.to_le_bytes()).collect()
}

/// Encodes bytes as records contain them, after their length.
fn encode_bytes(bytes: &[u8]) -> Vec<u8> {
    [&(bytes.len() as u32).to_le_bytes()[..], bytes].concat()
}

/// Guards against a change of the file format: other versions of the program write and read these bytes.
#[test]
fn each_kind_of_record_has_its_recorded_format() {
    let directory = TempDirectory::new("format");
    let (mut other, _) = MessageJournal::open(&directory.0, 60_000).unwrap();
    other.append_accepted(&message(8)).unwrap();
    let (mut journal, _) = MessageJournal::open(&directory.0, 60_000).unwrap();
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
    let source = std::fs::read(directory.0.join("mails")).unwrap();
    assert_eq!(adopt(&mut journal).0.messages.len(), 1);

    let accepted_record = |message: &JournaledMessage| {
        let head = encode_numbers(&[message.id.0, 0, 7, message.deadline]);
        let rest = [
            encode_bytes(b"payment"),
            encode_bytes(b""),
            encode_bytes(&message.body),
        ]
        .concat();
        frame(&[b"M", &head[..], &rest[..]].concat())
    };
    let bytes = std::fs::read(directory.0.join("mails.1")).unwrap();
    let clock_length = u32::from_le_bytes(bytes[..4].try_into().unwrap()) as usize;
    let (clock, records) = bytes.split_at(8 + clock_length);
    assert_eq!(clock[8..17], *b"S\0\0\0\0\0\0\0\0");
    // Two times follow, then the boot id after its length.
    let boot_id_length = u32::from_le_bytes(clock[33..37].try_into().unwrap()) as usize;
    assert_eq!(clock.len(), 37 + boot_id_length);
    let adopted = &source[source.len() - accepted_record(&accepted).len()..];
    let source_length = (source.len() as u64).to_le_bytes();
    let source_checksum = crc32fast::hash(&source).to_le_bytes();
    let expected = [
        accepted_record(&accepted),
        frame(&[b"C", &encode_numbers(&[9, 5])[..], &encode_bytes(b"north")].concat()),
        frame(&[b"O", &encode_numbers(&[9])[..], &[1]].concat()),
        frame(&[b"E", &encode_numbers(&[9])[..], &[0], &encode_numbers(&[0])].concat()),
        frame(&[b"E", &encode_numbers(&[9])[..], &[1], &encode_numbers(&[0])].concat()),
        frame(&[b"E", &encode_numbers(&[9])[..], &[2], &encode_numbers(&[7])].concat()),
        frame(&[b"N", &encode_numbers(&[9])[..]].concat()),
        frame(
            &[
                b"A",
                &encode_numbers(&[0])[..],
                &source_length,
                &source_checksum,
                &encode_bytes(adopted),
            ]
            .concat(),
        ),
    ];
    assert_eq!(records, expected.concat());
}

/// Guards against a notification that is recovered twice: an end stands twice in the file where compaction has written it
/// just before its own record.
#[test]
fn an_end_that_was_written_twice_is_recovered_once() {
    let directory = TempDirectory::new("twice");
    let (mut journal, _) = MessageJournal::open(&directory.0, 60_000).unwrap();
    journal.append_accepted(&message(9)).unwrap();
    for _ in 0..2 {
        let resolution = Some(Resolution::Failed);
        journal.append_resolved(MessageId(9), resolution).unwrap();
    }
    drop(journal);
    let (_, recovered) = MessageJournal::open(&directory.0, 60_000).unwrap();
    assert_eq!(
        recovered.pending_notifications,
        [(MessageId(9), Resolution::Failed)]
    );
}

/// Guards against the loss of the records after a damaged one. The second open reads the file that the first has
/// repaired.
#[test]
fn records_after_damaged_bytes_are_read() {
    let directory = TempDirectory::new("damage");
    let path = directory.0.join("mails");
    let (mut journal, _) = MessageJournal::open(&directory.0, 60_000).unwrap();
    (1..=3).for_each(|id| journal.append_accepted(&message(id)).unwrap());
    drop(journal);
    let mut bytes = std::fs::read(&path).unwrap();
    let record = (bytes.len() - 80) / 3;
    let second = bytes.len() - 2 * record + 40;
    bytes[second..second + 20].fill(0xee);
    std::fs::write(&path, &bytes).unwrap();
    for _ in 0..2 {
        let (_, recovered) = MessageJournal::open(&directory.0, 60_000).unwrap();
        let ids: Vec<u64> = recovered
            .messages
            .iter()
            .map(|message| message.id.0)
            .collect();
        assert_eq!(ids, [1, 3], "all records but the damaged one");
    }
}

/// Earlier versions of the program wrote times on the wall clock, and no clock record.
#[test]
fn times_of_an_older_journal_are_converted_to_the_dispatcher_clock() {
    let directory = TempDirectory::new("older");
    let deadline = clock::wall_now() + 60_000_000_000;
    let fields = [
        vec![b'M'],
        encode_numbers(&[9, 5, 7, deadline]),
        encode_bytes(b"notice"),
        encode_bytes(b"t"),
        encode_bytes(b"body"),
    ]
    .concat();
    std::fs::write(directory.0.join("mails"), frame(&fields)).unwrap();
    for _ in 0..2 {
        let (_, recovered) = MessageJournal::open(&directory.0, 60_000).unwrap();
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

/// Fills the journal with messages of ids from `first` on until the quota rejects another.
fn fill(journal: &mut MessageJournal, first: u64) {
    let accepted = (first..).take_while(|&id| journal.append_accepted(&message(id)).is_ok());
    assert!(
        accepted.count() > 3,
        "the quota has space for some messages"
    );
}

/// A record of an earlier version, without a clock record before it, of a message with a deadline 60 s ahead.
fn older_record(id: u64) -> Vec<u8> {
    let deadline = clock::wall_now() + 60_000_000_000;
    let fields = [
        vec![b'M'],
        encode_numbers(&[id, 5, 7, deadline]),
        encode_bytes(b"notice"),
        encode_bytes(b"t"),
        encode_bytes(&[b'x'; 2_000]),
    ];
    frame(&fields.concat())
}

fn assert_deadline_in_a_minute(message: &JournaledMessage) {
    let remaining = message.deadline.saturating_sub(clock::now());
    assert!(
        (50_000_000_000..=60_000_000_000).contains(&remaining),
        "{remaining} ns left"
    );
}

/// Guards against a journal that nobody owns because rewriting its times needs space (issue 56). The times that are added
/// later are on another clock than those before.
#[test]
fn a_journal_with_outdated_times_is_adopted_without_space_for_a_copy() {
    let directory = TempDirectory::new("older-adopted");
    let (mut journal, _) = MessageJournal::open(&directory.0, 20_000).unwrap();
    fill(&mut journal, 100);
    let older: Vec<u8> = (1..=5).flat_map(older_record).collect();
    std::fs::write(directory.0.join("mails.1"), &older).unwrap();
    let adopted = journal.adopt();
    assert_eq!(adopted.recovered.messages.len(), 5);
    adopted
        .recovered
        .messages
        .iter()
        .for_each(assert_deadline_in_a_minute);
    let sent_at = clock::now();
    journal
        .append_attempt(MessageId(3), sent_at, "north")
        .unwrap();
    journal.append_resolved(MessageId(4), None).unwrap();
    drop(journal);

    let (mut journal, _) = MessageJournal::open(&directory.0, 20_000).unwrap();
    let messages = journal.adopt().recovered.messages;
    let ids: Vec<u64> = messages.iter().map(|message| message.id.0).collect();
    assert_eq!(ids, [1, 2, 3, 5]);
    messages.iter().for_each(assert_deadline_in_a_minute);
    assert_eq!(messages[2].attempts[0].sent_at, sent_at);
}

/// Guards against a start that fails because rewriting the own journal needs space (issue 56).
#[test]
fn a_journal_with_outdated_times_is_opened_without_space_for_a_copy() {
    let directory = TempDirectory::new("older-opened");
    let older: Vec<u8> = (1..=5).flat_map(older_record).collect();
    std::fs::write(directory.0.join("mails"), &older).unwrap();
    for _ in 0..2 {
        let (mut journal, recovered) = MessageJournal::open(&directory.0, 14_000).unwrap();
        assert_eq!(recovered.messages.len(), 5);
        recovered
            .messages
            .iter()
            .for_each(assert_deadline_in_a_minute);
        journal.append_attempt(MessageId(3), 7, "north").unwrap();
    }
}

/// Guards against attempts that cannot start, and ends that are only kept in memory, after the other process of an upgrade
/// has ended: a file that had grown beside its journal left no space for compaction, and then nothing was appended.
#[test]
fn a_file_that_grew_beside_another_one_takes_further_records() {
    const QUOTA: u64 = 160_000;
    let directory = TempDirectory::new("grown");
    let (mut journal, _) = MessageJournal::open(&directory.0, QUOTA).unwrap();
    let (other, _) = MessageJournal::open(&directory.0, QUOTA).unwrap();
    // The journal looks for others that often.
    std::thread::sleep(Duration::from_millis(21));
    for id in 1..=124 {
        journal.append_accepted(&message(id)).unwrap();
        journal.append_resolved(MessageId(id), None).unwrap();
    }
    fill(&mut journal, 1_000);
    drop(other);
    let (_, is_incomplete) = adopt(&mut journal);
    assert!(!is_incomplete && !directory.0.join("mails.1").exists());
    journal
        .append_attempt(MessageId(1_000), 7, "north")
        .unwrap();
    journal.append_outcome(MessageId(1_000), false).unwrap();
    for id in 1_000..1_040 {
        journal.append_resolved(MessageId(id), None).unwrap();
    }
    // With these ended, compaction fits again, and so do new messages.
    journal.append_accepted(&message(2_000)).unwrap();
    assert!(directory.disk_bytes() <= QUOTA);
}

/// Guards against a damaged journal that nobody owns because replacing it needs space (issue 56).
#[test]
fn a_damaged_journal_is_adopted_without_space_for_a_copy() {
    let directory = TempDirectory::new("damaged-adopted");
    let (mut journal, _) = MessageJournal::open(&directory.0, 20_000).unwrap();
    let (mut other, _) = MessageJournal::open(&directory.0, 20_000).unwrap();
    (1..=9).for_each(|id| other.append_accepted(&message(id)).unwrap());
    fill(&mut journal, 100);
    drop(other);
    let path = directory.0.join("mails.1");
    let mut bytes = std::fs::read(&path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle..middle + 20].fill(0xee);
    bytes.extend(b"torn");
    std::fs::write(&path, &bytes).unwrap();
    assert_eq!(journal.adopt().recovered.messages.len(), 8);
    journal.append_attempt(MessageId(9), 7, "north").unwrap();
    drop(journal);

    let (mut journal, _) = MessageJournal::open(&directory.0, 20_000).unwrap();
    let messages = journal.adopt().recovered.messages;
    assert_eq!(messages.len(), 8);
    assert_eq!(messages[7].attempts.len(), 1);
}

/// Guards against a time without an owner that is counted from a failure before the journal had one.
#[test]
fn a_failed_adoption_before_a_journal_had_an_owner_does_not_count() {
    const OWNED_TIME: Duration = Duration::from_secs(1);
    let directory = TempDirectory::new("owned-after-failure");
    let (mut journal, _) = MessageJournal::open(&directory.0, 1_000_000).unwrap();
    let other_path = directory.0.join("mails.1");
    std::fs::create_dir(&other_path).unwrap();
    assert!(adopt(&mut journal).1);
    assert_eq!(journal.adoption_counters().failed_attempts, 1);
    std::fs::remove_dir(&other_path).unwrap();
    let (mut other, _) = MessageJournal::open(&directory.0, 1_000_000).unwrap();
    other.append_accepted(&message(1)).unwrap();
    std::thread::sleep(OWNED_TIME);
    assert!(adopt(&mut journal).1);
    drop(other);
    adopt(&mut journal);
    let counters = journal.adoption_counters();
    assert_eq!(counters.adopted, 1);
    assert!(Duration::from_nanos(counters.longest_unowned) < OWNED_TIME / 2);
}

#[test]
fn a_message_beyond_the_quota_fails_with_disk_quota() {
    let directory = TempDirectory::new("quota");
    let (mut journal, _) = MessageJournal::open(&directory.0, 4_000).unwrap();
    let appended: Vec<_> = (0..10)
        .map(|id| journal.append_accepted(&message(id)))
        .collect();
    assert!(appended[0].is_ok());
    assert!(matches!(appended[9], Err(JournalError::DiskQuota)));
    assert!(
        !journal.has_pending_writes(),
        "reaching the quota is no write failure"
    );
}
